#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start, into
# target/review-3: the project's stand-in for the platform's store, and those of
# review/stand-3. To be run after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
make -j8 BUILD=$out $out/tools/platform_store >/dev/null
for p in backend3 clients3; do
	gcc -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -Wno-format-truncation \
		-pthread -o $out/$p review/stand-3/$p.c review/stand-3/net3.c
done
