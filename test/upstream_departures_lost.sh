#!/usr/bin/env bash
# A leave was acknowledged, and all that knew of it ended at once: the next process
# took a late heartbeat for ready, and the upstream got requests until its end.
# Guards against that for each pair of what is lost (the store's latest writes, or
# the store itself for a while; one, some or all processes), early or late, and
# against upstreams that stay out of use after it. FULL=1 runs every combination,
# else each pair once.
cd "$(dirname "$0")/.."
. test/harness.bash
. test/platform.bash

DRAIN_MS=2000
CERTAIN_S=10 # until processes vouch for a host that is restarted
NODES="a1 b1 c1"

# beat STATE: prints the next heartbeat of u1.
beat() {
	SEQUENCE=$((SEQUENCE + 1))
	echo "{\"service\":\"one\",\"address\":\"$(listening u1)\",\"zone\":\"a\",
		\"version\":\"v1\",\"slots\":16,\"state\":\"$1\",
		\"cold_remaining_s\":0,\"sequence\":$SEQUENCE,\"born\":$BORN}"
}

# told CALL BODY: sends it to a1, which has to acknowledge it.
told() {
	local status
	status=$(tell a1 i-u1 "$1" "$2")
	[ "$status" = 200 ] || fail "$CASE: $1 got $status"
}

serves() {
	status_is 200 "$1" "$2" -H "$(key key-1)"
}

# lose_store HOW, return_store HOW: what the store loses, from its point in time.
lose_store() {
	case $1 in
	silent) store_fault silent=1 ;;
	copy) curl -sf -o /dev/null "http://$STORE/standin/save" ;;
	esac
}
return_store() {
	case $1 in
	silent) store_fault silent=0 ;;
	copy) curl -sf -o /dev/null "http://$STORE/standin/restore" ;;
	esac
}

# kill_nodes NODES STORE: kills them at the same moment and starts them again. A
# store that goes back to its copy does so in between.
kill_nodes() {
	local n pid
	for n in $1; do
		pid="pid_$n"
		kill -KILL "${!pid}"
	done
	sleep 0.3
	[ "$2" = copy ] && return_store copy
	for n in $1; do
		restart_platform_node "$n" KILL 2>/dev/null
	done
}

# lost STORE NODES WHEN HOW: u1 leaves as HOW says, a moment after the store is
# lost, and the processes of NODES are killed early or late after that. Three
# heartbeats from before arrive late, each later one with a higher sequence.
lost() {
	local late=() late_runs i n gap=0
	CASE="$4, store $1, $2 killed $3"
	[ "$3" = late ] && gap=1.5
	SEQUENCE=0 BORN=$(now_ms)
	upstream_fault u1 draining=0
	told heartbeat "$(beat ready)"
	wait_for 10 serves b1 /r/0 || fail "$CASE: u1 is not used at first"
	for i in 1 2 3; do
		late+=("$(beat ready)")
		SEQUENCE=$((SEQUENCE + i))
	done
	lose_store "$1"
	sleep 0.2
	upstream_fault u1 draining=1 # which its health says too
	if [ "$4" = draining ]; then
		told heartbeat "$(beat draining)"
	else
		told deregister "{\"born\":$BORN}"
	fi
	left=$(now_ms)
	sleep $gap
	kill_nodes "$2" "$1"
	[ "$1" = silent ] && return_store silent
	for n in $2; do
		wait_for 15 grep -q "event=config-in-force" "$WORK/$n.log" ||
			fail "$CASE: $n has no configuration"
	done
	for i in 0 1 2; do
		tell a1 i-u1 heartbeat "${late[i]}" >/dev/null
		sleep 0.5
	done
	while [ $(($(now_ms) - left)) -le $DRAIN_MS ]; do
		sleep 0.1
	done
	for i in 1 2 3 4 5 6; do
		for n in $NODES; do
			request $n /r/$i -H "$(key key-1)" >/dev/null
		done
		sleep 0.2
	done
	late_runs=$(runs u1 $((left + DRAIN_MS)) | wc -l)
	[ "$late_runs" = 0 ] ||
		fail "$CASE: $late_runs requests later than drain_s"
	# What lives on is used again, and so is a new start.
	wait_for 8 serves c1 /live/ || fail "$CASE: the upstream of b1 is not used"
	echo "ok $CASE"
}

start_platform_store
for n in $NODES; do
	start_platform_node $n ${n%1}
done
EXTRA_ROUTES=",[\"live\", \"$HOST\", \"/live/\", \"safe\", 2, 0.5, 1, \"two\", 2, false]" \
	put_document 3 one '"key-1"'
run u1 "$TOOLS/platform_upstream" --listen 127.0.0.1:0 --node 127.0.0.1:9 \
	--service one --instance i-u1 --work-ms 5
wait_for 5 test -s "$WORK/u1.out" || fail "u1 did not start"
start_platform_upstream live b1 two
for n in $NODES; do
	wait_for 15 serves $n /live/ || fail "$n does not serve"
done

whens=(early late)
hows=(deregister draining)
i=0
for store in up silent copy; do
	for killed in a1 "a1 b1" "$NODES"; do
		if [ "${FULL:-}" ]; then
			for when in early late; do
				for how in deregister draining; do
					lost $store "$killed" $when $how
				done
			done
		else
			lost $store "$killed" ${whens[i % 2]} ${hows[i / 2 % 2]}
			i=$((i + 1))
		fi
	done
done

# Heartbeats that stay at the old address keep an upstream in use.
CASE="after a kill of all processes"
SEQUENCE=0 BORN=$(now_ms)
upstream_fault u1 draining=0
kill_nodes "$NODES" up
for ((i = 0; i < CERTAIN_S + 3; i++)); do
	told heartbeat "$(beat ready)"
	sleep 1
done
serves a1 /r/0 || fail "$CASE: u1 is not in use though it says it is ready"

# With those of the other hosts running for long, one is certain at once.
restart_platform_node a1 KILL
wait_for 3 grep -q "event=departures-certain" "$WORK/a1.log" ||
	fail "a1 is not certain though the others have run on"
echo "upstream departures lost passed"
