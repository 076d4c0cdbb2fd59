#!/usr/bin/env bash
# A backend leaves soon after the node next to it was stopped and started again.
CASE=5
. "$(dirname "$0")/../common.bash"
DRAIN_MS=2000 # drain_s of the site
SERVES_MS=6000 # the backend serves on for so long after the acknowledgement
WORK_MS=1000

start_store
start_node a1 a one
start_node b1 b two
put_document 3
# Its heartbeats are sent by this script, those of its own go nowhere.
run u1 target/tools/platform_upstream --listen 127.0.0.1:0 \
	--node 127.0.0.1:9 --service one --instance i-7f3a91c2 \
	--work-ms $WORK_MS
wait_for 5 grep -q listening "$WORK/u1.out" || cannot_run "u1 did not start"
BORN=$(now_ms)
sequence=0

# beat: writes the next heartbeat. tell CALL FILE: sends it to the node.
beat() {
	sequence=$((sequence + 1))
	echo "{\"service\":\"one\",\"address\":\"$(listening u1)\",\"zone\":\"a\"," \
		"\"version\":\"v1\",\"slots\":16,\"state\":\"ready\"," \
		"\"cold_remaining_s\":0,\"sequence\":$sequence,\"born\":$BORN}" \
		>"$WORK/beat$sequence"
}
tell() {
	local answer
	answer=$(client "$services_a1" "/mulberryferry/instances/i-7f3a91c2/$1" \
		-H "Host: node" -X POST -H "Content-Type: application/json" --body "$2")
	record "at_ms=$(now_ms) $1 $(cat "$2") -> $answer"
	[[ $answer == *"status=200 "* ]]
}
once() {
	request b1 "/once/$1" -X POST -H "Mulberryferry-Attempt-Id: $(printf %016x "$1")"
}
echo "{\"born\":$BORN}" >"$WORK/leave"

for ((i = 0; i < 4; i++)); do
	beat
	tell heartbeat "$WORK/beat$sequence" || cannot_run "no acknowledgement"
	sleep 1.5
done
wait_for 10 serves b1 || cannot_run "b1 does not serve"

if [ "$TROUBLE" = 1 ]; then
	kill -TERM "$pid_a1"
	record "sigterm_at_ms=$(now_ms) node=a1"
	wait_for 8 grep -q event=stopped "$WORK/a1.log"
	wait "$pid_a1"
	# The same settings, with the addresses that it had.
	sed -i -e "s/\"callers\": \"[^\"]*\"/\"callers\": \"$callers_a1\"/" \
		-e "s/\"services\": \"[^\"]*\"/\"services\": \"$services_a1\"/" \
		-e "s/\"ready\": \"[^\"]*\"/\"ready\": \"$ready_a1\"/" \
		-e "s/\"nodes\": \"[^\"]*\"/\"nodes\": \"$nodes_a1\"/" \
		-e "s/\"admin\": \"[^\"]*\"/\"admin\": \"$admin_a1\"/" "$WORK/a1.json"
	run again target/mulberryferry node --settings "$WORK/a1.json"
	wait_for 5 grep -q event=listening "$WORK/again.out" ||
		cannot_run "a1 did not start again: $(tail -n 2 "$WORK/again.out")"
	record "started_again_at_ms=$(now_ms) node=a1"
fi
sleep 0.2
beat # sent now, arrives 1 s later
sleep 0.2
tell deregister "$WORK/leave" || cannot_run "the leave was not acknowledged"
acknowledged=$(now_ms)
sleep 0.8
tell heartbeat "$WORK/beat$sequence"
# From 3.4 s after its start on (stability_s is 3) a1 is in touch again.
sleep 2.2
CLIENT_PIDS=()
for ((i = 1; $(now_ms) - acknowledged < SERVES_MS; i++)); do
	once $i >"$WORK/once$i" &
	CLIENT_PIDS+=($!)
	PIDS+=($!)
	sleep 0.2
done
kill -KILL "$pid_u1"
record "backend_ended_at_ms=$(now_ms)"
wait "${CLIENT_PIDS[@]}"
late=0
while read -r at; do
	[ $((at - acknowledged)) -gt $DRAIN_MS ] && late=$((late + 1))
done < <(sed -n 's/^run POST \/once.* at_ms=\([0-9]*\) .*/\1/p' "$WORK/u1.out")
grep "run POST /once" "$WORK/u1.out" >>"$RECORD"
for ((i = 1; i <= ${#CLIENT_PIDS[@]}; i++)); do
	record "client $i: $(cat "$WORK/once$i")"
done
lost=$(cat "$WORK"/once* | grep -c "status=502 ")
record "acknowledged_ms=$acknowledged reached_later_than_drain_s=$late answered_502=$lost of=${#CLIENT_PIDS[@]}"
[ "$late" = 0 ] && verdict 0 "held: no request reached the backend later than drain_s"
verdict 1 "DRAIN: $late requests reached the backend later than drain_s after the acknowledgement; $lost once-only requests were lost as it ended"
