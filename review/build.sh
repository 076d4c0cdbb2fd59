#!/usr/bin/env bash
# Builds every stand-in that the cases start, into target/.
set -eu
cd "$(dirname "$0")/.."
make -s -j8 BUILD=target target/tools/platform_store \
	target/tools/platform_upstream
mkdir -p target/review
for source in review/*.c; do
	gcc -O2 -Wall -Wextra -D_GNU_SOURCE -o \
		"target/review/$(basename "$source" .c)" "$source"
done
# The project's upstream, with the 344 slots of the site's service turni in
# place of 16.
sed 's/\\"slots\\":16,/\\"slots\\":344,/' tools/platform_upstream.c \
	>target/review/wide_upstream.c
# The project's upstream, which runs every request and fails each third one that
# has "grey=STATUS" in its target, by that status.
sed 's/^\t\tprint_run(m);/\t\tstatic unsigned int greys;\n\n\t\tprint_run(m);\n\t\tif (strstr(m->target, "grey=") \&\& ++greys % 3 == 0)\n\t\t\tanswer.status = atoi(strstr(m->target, "grey=") + 5);/' \
	tools/platform_upstream.c >target/review/grey_upstream.c
libs="libwebsockets json-c libsodium libxxhash gsl"
for name in wide_upstream grey_upstream; do
	# shellcheck disable=SC2046,SC2086
	gcc -std=gnu11 -O2 -D_GNU_SOURCE -Isrc -I. $(pkg-config --cflags $libs) \
		-o target/review/$name target/review/$name.c \
		target/libmulberryferry.a $(pkg-config --libs $libs) -lmsgpackc \
		-lhttp_parser -lev -lm
done
