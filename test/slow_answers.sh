#!/usr/bin/env bash
# Callers with small receive buffers that read their answers, but slowly.
cd "$(dirname "$0")/.."
. test/harness.bash
. test/platform.bash

HOST_LIMITS="\"host_limits\": {\"memory_mb\": 260, \"descriptors\": 4100},
	\"limits\": {\"body_bytes\": 16777216},"

# read_slowly NODE NAME PATH [OPTIONS]: a once-only request; the line about its
# answer goes to WORK/NAME.
read_slowly() {
	local callers="callers_$1"
	"$TOOLS/slow_reader" --to "${!callers}" --method POST "$3" \
		--header "Host: $HOST" --header "$(key key-1)" \
		--header "Content-Length: 0" "${@:4}" >"$WORK/$2" &
	readers+=($!)
}

# all_whole COUNT WHAT: waits for the readers and checks each answer.
all_whole() {
	local whole
	wait "${readers[@]}"
	readers=()
	whole=$(cat "$WORK"/reader* | awk '{sub(".*=", "", $2); sub(".*=", "", $3)}
		$1 == "status=200" && $2 == $3 {n++} END {print n + 0}')
	[ "$whole" = "$1" ] || fail "$whole of $1 $2 were whole:" \
		"$(cat "$WORK"/reader* | sort | uniq -c)"
	rm "$WORK"/reader*
	echo "ok $whole $2 are whole"
}

start_two_hosts
readers=()

# Readers that went on all the while were cut off at an eighth of the host's
# memory, by the order in which their answers were written.
for i in $(seq 34); do
	read_slowly a1 "reader$i" "/once/bytes=1500000" --rate 300000
done
all_whole 34 "answers of steady readers"

# The kernel's time-out for data that is not acknowledged ended readers that had
# no room for 3 s, where the node means to wait for 15 s.
for i in $(seq 8); do
	read_slowly a1 "reader$i" "/once/bytes=30000" \
		--pause-at 1000 --pause-ms 6000
done
all_whole 8 "answers of readers that paused for 6 s"

# A planned stop waited until each request had its answer, not until the caller
# had taken it: it was cut, and the stop said that nothing was.
for i in $(seq 4); do
	read_slowly a1 "reader$i" "/once/bytes=1500000" --rate 300000
	read_slowly b1 "reader-b$i" "/once/bytes=1500000" --rate 300000
done
sleep 0.5 # until the answers have begun
kill -TERM "$pid_a1"
all_whole 8 "answers of readers during a stop"
wait_for 5 grep -q event=stopped "$WORK/a1.log" || fail "a1 did not stop"
grep -q "event=stopped .*cut_requests=0 cut_calls=0 cut_answers=0" \
	"$WORK/a1.log" || fail "$(grep event=stopped "$WORK/a1.log")"

echo "slow answers passed"
