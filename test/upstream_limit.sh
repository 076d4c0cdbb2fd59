#!/usr/bin/env bash
# An upstream that names a limit in its answers got as many requests as its slots
# held: it must get no more than the limit, and another must serve the rest.
cd "$(dirname "$0")/.."
. test/harness.bash
. test/platform.bash

LIMIT=5	       # requests a second that u1 names
WINDOW_MS=4000 # window of the users' rule
ALLOWED=$((LIMIT * 6 + 5)) # one and a half times the limit in 4 s, and 5

# most_in_window: prints the most of the times read in one WINDOW_MS.
most_in_window() {
	awk -v w=$WINDOW_MS '{t[NR] = $1; while ($1 - t[first + 1] > w) first++
		if (NR - first > most) most = NR - first} END {print most + 0}'
}

start_two_hosts 30

upstream_fault u1 limit=$LIMIT
start=$(now_ms)
load 10
most=$(runs u1 $((start + 3000)) | most_in_window)
[ "$most" -le $ALLOWED ] ||
	fail "an upstream that takes $LIMIT a second got $most in 4 s"
[ "$(served_share)" -ge 95 ] || fail "$(served_share) % were served"
echo "ok most in 4 s: $most, allowed $ALLOWED; served: $(served_share) %"

upstream_fault u1 limit=
load 4
most=$(runs u1 "$start" | tail -n 200 | most_in_window)
[ "$most" -gt $ALLOWED ] || fail "a limit that ended still holds: $most in 4 s"
echo "ok a limit that is no longer named ends"

for text in -3 abc nan 1e999; do
	upstream_fault u1 "limit=$text"
	request a1 /r/x -H "$(key key-1)" >/dev/null
	request b1 /r/x -H "$(key key-1)" >/dev/null
done
load 2
grep -q "event=upstream-limit-refused" "$WORK/a1.log" ||
	fail "no event=upstream-limit-refused"
upstream_fault u1 limit=
echo "ok limits that are no number are refused"

echo "upstream limit passed"
