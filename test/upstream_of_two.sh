#!/usr/bin/env bash
# One of the two upstreams of a service garbled every answer: callers beside it
# lost half of their calls, as the other one is in another data centre, nothing
# was ejected, and retries that were allowed were not made.
cd "$(dirname "$0")/.."
. test/harness.bash
. test/platform.bash

SERVED_MIN=95 # percent

start_two_hosts
load 2
: >"$WORK/statuses"

upstream_fault u1 unsigned=1
load 5
[ "$(served_share)" -ge $SERVED_MIN ] ||
	fail "$(served_share) % of the calls were served"
echo "ok served beside a garbling upstream: $(served_share) %"

for i in $(seq 20); do
	request a1 /once/$i -H "$(key key-1)" \
		-H "Mulberryferry-Attempt-Id: once-$i" >/dev/null
done
twice=$(cat "$WORK/u1.out" "$WORK/u2.out" | grep -o 'once-[0-9]*' | sort |
	uniq -d | wc -l)
[ "$twice" = 0 ] || fail "$twice once-only calls ran twice"
echo "ok no once-only call ran twice"

kill -KILL "$pid_u2"
upstream_fault u1 unsigned=0
wait_for 20 status_is 200 a1 /r/last -H "$(key key-1)" ||
	fail "the last upstream does not serve"
upstream_fault u1 unsigned=1
load 2
upstream_fault u1 unsigned=0
wait_for 2 status_is 200 a1 /r/last -H "$(key key-1)" ||
	fail "the last upstream was left out"
echo "ok the last upstream is never left out"

echo "upstream of two passed"
