#!/usr/bin/env bash
# Callers took large answers slowly or not at all: the node held all of them in
# memory until it was killed.
cd "$(dirname "$0")/.."
. test/harness.bash
. test/platform.bash

MEMORY_MB=260
READERS=200
ANSWER_BYTES=12000000
SERVED_MIN=95 # percent, of the other callers

HOST_LIMITS="\"host_limits\": {\"memory_mb\": $MEMORY_MB,
	\"descriptors\": 4100}, \"limits\": {\"body_bytes\": 16777216},"

# peak_mb NODE: prints the most memory that a node has used.
peak_mb() {
	local pid="pid_$1"
	awk '/^VmHWM/ {print int($2 / 1024)}' "/proc/${!pid}/status"
}

start_two_hosts

readers=()
for i in $(seq $READERS); do
	curl -s -o /dev/null -m 20 --limit-rate 2k -H "Host: $HOST" \
		-H "$(key key-1)" -H "Mulberryferry-Deadline-Ms: 3000" \
		"http://$callers_a1/r/large?bytes=$ANSWER_BYTES" &
	readers+=($!)
	sleep 0.02
done
load 4
kill "${readers[@]}" 2>/dev/null
wait "${readers[@]}" 2>/dev/null

for n in a1 b1; do
	pid="pid_$n"
	kill -0 "${!pid}" 2>/dev/null || fail "$n ended"
	[ "$(peak_mb $n)" -lt $MEMORY_MB ] ||
		fail "$n used $(peak_mb $n) MB of $MEMORY_MB"
	echo "ok $n used $(peak_mb $n) MB of $MEMORY_MB"
done
[ "$(served_share)" -ge $SERVED_MIN ] ||
	fail "$(served_share) % of the other calls were served"
echo "ok other calls served: $(served_share) %"

# A whole answer still reaches a caller that reads it.
len=$(curl -s -m 10 -H "Host: $HOST" -H "$(key key-1)" \
	-H "Mulberryferry-Deadline-Ms: 3000" \
	"http://$callers_a1/r/large?bytes=$ANSWER_BYTES" | wc -c)
[ "$len" = $ANSWER_BYTES ] || fail "$len bytes of $ANSWER_BYTES arrived"
echo "ok a whole answer of $ANSWER_BYTES bytes arrived"

echo "slow readers passed"
