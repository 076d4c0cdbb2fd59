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
libs="libwebsockets json-c libsodium libxxhash gsl"
# shellcheck disable=SC2046,SC2086
gcc -std=gnu11 -O2 -D_GNU_SOURCE -Isrc -I. $(pkg-config --cflags $libs) -o \
	target/review/wide_upstream target/review/wide_upstream.c \
	target/libmulberryferry.a $(pkg-config --libs $libs) -lmsgpackc \
	-lhttp_parser -lev -lm
