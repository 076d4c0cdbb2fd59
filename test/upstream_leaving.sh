#!/usr/bin/env bash
# An upstream that said only in its answers that it leaves got requests until
# its end: it must get none more than drain_s after the first such answer.
cd "$(dirname "$0")/.."
. test/harness.bash
. test/platform.bash

start_platform_store
start_platform_node a1 a
start_platform_node b1 b
put_document 3 one '"key-1"'
start_platform_upstream u1 a1 one 30
start_platform_upstream u2 b1 one 30
for n in a1 b1; do
	wait_for 15 status_is 200 $n /r/0 -H "$(key key-1)" ||
		fail "$n does not serve"
done

upstream_fault u1 leaving=1
start=$(now_ms)
load 5
late=$(runs u1 $((start + 2500)) | wc -l)
[ "$late" = 0 ] || fail "$late requests reached an upstream that had left"
[ "$(served_share)" -ge 95 ] || fail "$(served_share) % were served"
grep -q event=upstream-leaving "$WORK/a1.log" || fail "no event=upstream-leaving"
echo "ok an upstream that leaves by its answers gets nothing new"
echo "upstream leaving passed"
