#!/usr/bin/env bash
# Builds every stand-in that review/6 to review/10 start, into target/review-2.
# To be run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
OUT=target/review-2
mkdir -p "$OUT"
make -j8 BUILD=target target/tools/platform_store
cp target/tools/platform_store "$OUT/"
cd review/stand-2
for program in backend clients say; do
	gcc -std=gnu11 -O1 -g -Wall -Wextra -o "../../$OUT/$program" \
		"$program.c" stand.c -lpthread
done
