#!/usr/bin/env bash
# A node forgot the leave of an upstream that it, or the process before it, had
# acknowledged, took a late heartbeat for ready, and sent the upstream requests
# until its end. Guards against requests later than drain_s after the
# acknowledgement, whatever restarts in between, and against an upstream that is
# not used when it starts again under its id.
cd "$(dirname "$0")/.."
. test/harness.bash
BIN=${BIN_OF_DEPARTURES:-$BUILD/mulberryferry-san}
. test/platform.bash

ID=i-7f3a91c2
DRAIN_MS=2000
WITNESS_S=10 # how long b1 has to run before it can vouch for a1
SEQUENCE=0

# beat STATE: prints the next heartbeat.
beat() {
	SEQUENCE=$((SEQUENCE + 1))
	BEAT="{\"service\":\"one\",\"address\":\"$(listening u1)\",\"zone\":\"a\",
		\"version\":\"v1\",\"slots\":16,\"state\":\"$1\",
		\"cold_remaining_s\":0,\"sequence\":$SEQUENCE,\"born\":$BORN}"
}

# told CALL BODY: sends it to a1, which has to acknowledge it.
told() {
	local status
	status=$(tell a1 $ID "$1" "$2")
	[ "$status" = 200 ] || fail "$CASE: $1 got $status"
}

serves() {
	status_is 200 b1 /r/0 -H "$(key key-1)"
}

# acknowledge HOW: the upstream leaves or drains; sets ACKNOWLEDGED and LATE, a
# heartbeat from before.
acknowledge() {
	beat ready
	LATE=$BEAT
	if [ "$1" = draining ]; then
		beat draining
		told heartbeat "$BEAT"
	else
		told deregister "{\"born\":$BORN}"
	fi
	ACKNOWLEDGED=$(now_ms)
}

# expect_none_late: a late heartbeat arrives; no request follows it.
expect_none_late() {
	local i late
	wait_for 15 grep -q "event=config-in-force" "$WORK/a1.log" ||
		fail "$CASE: a1 has no configuration"
	wait_for 5 grep -q "event=departures-certain" "$WORK/a1.log" ||
		fail "$CASE: a1 does not know all that was acknowledged"
	told heartbeat "$LATE"
	sleep 1
	while [ $(($(now_ms) - ACKNOWLEDGED)) -le $DRAIN_MS ]; do
		sleep 0.1
	done
	for i in 1 2 3 4 5 6; do
		request a1 /r/$i -H "$(key key-1)" >/dev/null
		request b1 /r/$i -H "$(key key-1)" >/dev/null
	done
	late=$(runs u1 $((ACKNOWLEDGED + DRAIN_MS)) | wc -l)
	[ "$late" = 0 ] || fail "$CASE: $late requests later than drain_s"
}

# expect_new_start: a new process with the same id is used at once.
expect_new_start() {
	BORN=$(now_ms)
	SEQUENCE=0
	beat ready
	told heartbeat "$BEAT"
	wait_for 2 serves || fail "$CASE: a new start is not used"
	echo "ok $CASE"
}

start_platform_store
start_platform_node a1 a
start_platform_node b1 b
put_document 3 one '"key-1"'
run u1 "$TOOLS/platform_upstream" --listen 127.0.0.1:0 --node 127.0.0.1:9 \
	--service one --instance $ID --work-ms 5
wait_for 5 test -s "$WORK/u1.out" || fail "u1 did not start"
CASE="first start"
BORN=$(now_ms)
beat ready
wait_for 15 grep -q "event=config-in-force" "$WORK/b1.log"
told heartbeat "$BEAT"
wait_for 10 serves || fail "b1 does not serve"

sleep $WITNESS_S
CASE="a leave that the process after a restart acknowledged"
restart_platform_node a1 TERM
acknowledge leave
expect_none_late
expect_new_start

for signal in TERM KILL; do
	for how in leave draining; do
		CASE="$how acknowledged before a restart by SIG$signal"
		acknowledge $how
		restart_platform_node a1 $signal
		expect_none_late
		expect_new_start
	done
done

CASE="two restarts after a leave"
acknowledge leave
restart_platform_node a1 KILL
restart_platform_node a1 KILL
expect_none_late
expect_new_start

for how in leave draining; do
	for fault in silent=1 refuse=503; do
		CASE="$how acknowledged with the store out ($fault)"
		store_fault $fault
		acknowledge $how
		restart_platform_node a1 KILL
		store_fault "silent=0&refuse=0"
		expect_none_late
		expect_new_start
	done
done

CASE="a leave of a process that the node has not heard of"
BORN=$(now_ms)
acknowledge leave
expect_none_late
expect_new_start

# Neither the store nor another node can keep it: it is no promise.
CASE="a leave that nothing else can keep"
store_fault silent=1
kill -STOP "$pid_b1"
status=$(tell a1 $ID deregister "{\"born\":$BORN}")
[ "$status" = 503 ] || fail "$CASE: got $status"
kill -CONT "$pid_b1"
store_fault silent=0
echo "ok $CASE is not acknowledged"
echo "upstream departures passed"
