#!/usr/bin/env bash
# Case 14: a leave is acknowledged while the store is out, and all processes are
# killed before they could write it; see claim.txt.
CASE=$(dirname "$0")
cd "$CASE/../.." || exit 2
CASE=review/14
. review/stand-3/common.bash

DRAIN_MS=2000  # drain_s of the site
SERVES_MS=9500 # the backend serves on for so long after the acknowledgement

start_store
start_node a1 a one
start_node b1 b two
start_node c1 c two
put_config 3 '["once", "h.example", "/once/", "unsafe", 3, 1, 0, "one", 1, false,
	null], ["r", "h.example", "/r/", "safe", 3, 1, 1, "two", 2, false, null]' \
	'["one", "/health", 730], ["two", "/health", 730]'
start_backend t_b1 b1 two 105 20
start_backend t_c1 c1 two 105 20
# The heartbeats of this one are sent by the script; its own go nowhere.
run leaver $STANDS/backend3 127.0.0.1:9 one i-leaver 105 300
wait_for 5 test -s "$WORK/leaver.out" || cannot "no backend"
BORN=$(date +%s%3N)
sequence=0

now() {
	$STANDS/clients3 now
}

# beat: makes the next heartbeat. tell CALL BODY: sends it to the node beside.
beat() {
	sequence=$((sequence + 1))
	BEAT="{\"service\":\"one\",\"address\":\"$(listening leaver)\",
		\"zone\":\"a\",\"version\":\"v1\",\"slots\":105,\"state\":\"ready\",
		\"cold_remaining_s\":0,\"sequence\":$sequence,\"born\":$BORN}"
}
tell() {
	local status
	status=$(curl -s -o /dev/null -w '%{http_code}' -m 1 -X POST \
		-H "Content-Type: application/json" -d "$2" \
		"http://$services_a1/mulberryferry/instances/i-leaver/$1")
	echo "$(now) $1 $(tr -d '\n\t' <<<"$2") -> $status" >>"$WORK/events"
	[ "$status" = 200 ]
}

for ((i = 0; i < 5; i++)); do
	beat
	tell heartbeat "$BEAT" || sleep 1
	sleep 1.5
done
for n in a1 b1 c1; do
	wait_for 20 serves $n "/r/probe" || cannot "$n does not serve /r/"
done
# /once/ is unsafe; a GET will do to see that the route is served.
wait_for 10 serves b1 "/once/probe" || cannot "b1 does not serve /once/"
beat
tell heartbeat "$BEAT" || tell heartbeat "$BEAT" || cannot "no acknowledgement"

if [ "$TROUBLE" != 0 ]; then
	curl -sf -o /dev/null "http://$STORE/standin/faults?silent=1"
	echo "$(now) the store is down (silent)" >>"$WORK/events"
fi
sleep 0.2
beat # sent now, arrives later
sleep 0.2
for ((i = 0; i < 4; i++)); do
	tell deregister "{\"born\":$BORN}" && break
done
((i < 4)) || cannot "the leave was not acknowledged"
acknowledged=$(now)
sleep 0.5
if [ "$TROUBLE" != 0 ]; then
	kill -KILL "$pid_a1" "$pid_b1" "$pid_c1" 2>/dev/null
	echo "$(now) all processes are killed" >>"$WORK/events"
	sleep 1.1
	for n in a1 b1 c1; do
		restart_node $n
	done
	echo "$(now) started again" >>"$WORK/events"
	sleep 0.2
	curl -sf -o /dev/null "http://$STORE/standin/faults?silent=0"
	echo "$(now) the store is back" >>"$WORK/events"
else
	sleep 1.3
fi
sleep 1.2
tell heartbeat "$BEAT"
# stability_s after the start and the store's return, all are in touch again.
while [ $(($(now) - acknowledged)) -lt 6600 ]; do
	sleep 0.05
done
clients late b1 4 2 200 POST /once/x 2500
while [ $(($(now) - acknowledged)) -lt $SERVES_MS ]; do
	sleep 0.05
done
kill -KILL "$pid_leaver" 2>/dev/null
sleep 0.5

sed -n 's/^run at_ms=\([0-9]*\) id=\(late[^ ]*\) .*/\1 \2/p' "$WORK/leaver.out" |
	awk -v t=$((acknowledged + DRAIN_MS)) '$1 > t' >"$WORK/reached"
reached=$(wc -l <"$WORK/reached")
{
	echo "TROUBLE=$TROUBLE"
	cat "$WORK/events"
	echo "acknowledged at $acknowledged; what reached it later (time, id):"
	cat "$WORK/reached"
	echo "requests to it, by what they got:"
	sed 's/.*got=//' "$WORK/late.out" | sort | uniq -c
	grep -h "event=departure\|event=leave\|event=upstream-\(ready\|leaving\)" \
		"$WORK/a1.log" | sed 's/.*event=/a1: /'
	echo "reached the backend over 2 s after its leave: $reached" \
		"(the rule allows none)"
} >"$CASE/record.txt"
tail -n 1 "$CASE/record.txt"
[ "$reached" -eq 0 ]
