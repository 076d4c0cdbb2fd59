#!/usr/bin/env bash
# A faulty upstream sent bytes without end, in a head, a body or between answers,
# and the node that had called it kept them all, ran out of memory and ended with
# the requests of its other callers. Interim answers and answers to others without end
# kept their requests until the deadline.
cd "$(dirname "$0")/.."
. test/harness.bash
BIN=${BIN_OF_ENDLESS:-$BUILD/mulberryferry}
. test/platform.bash

MEMORY_MB=260
HOST_LIMITS='"host_limits": {"memory_mb": '$MEMORY_MB', "descriptors": 4100},
	"limits": {"body_bytes": 16777216},'
MAX_BODY=67108864
EXTRA_ROUTES=',["calm","'$HOST'","/calm/","safe",2,0.5,1,"two",1,true]'
AT_ONCE=200
KINDS="noise line head body length surplus chunks size extension trailers
	interim others"
beat() {
	announce u1 a1 $AT_ONCE
}
# memory_mb: prints the highest resident memory of the node.
memory_mb() {
	awk '/^VmHWM/ {print int($2 / 1024)}' "/proc/$pid_a1/status"
}

start_platform_store
start_platform_node a1 a
put_document 3 one '"key-1"'
run u1 "$TOOLS/platform_faulty"
wait_for 5 test -s "$WORK/u1.out" || fail "u1 did not start"
start_platform_upstream u2 a1 two
# An announcement holds for some seconds only.
serves() {
	beat && status_is 200 a1 /r/0 -H "$(key key-1)"
}
wait_for 15 serves || fail "a1 does not serve"
wait_for 15 status_is 200 a1 /calm/0 || fail "a1 does not serve service two"
at_first=$(memory_mb)

for kind in $KINDS; do
	beat
	curl -s -o /dev/null -m 4 --parallel --parallel-immediate \
		--parallel-max $AT_ONCE -H "Host: $HOST" -H "$(key key-1)" \
		-H "Mulberryferry-Deadline-Ms: 1500" -w '%{http_code}\n' \
		"http://$callers_a1/open/endless-$kind?[1-$AT_ONCE]" \
		>"$WORK/flood" 2>/dev/null &
	flood=$!
	calm=0
	for ((i = 0; i < 20; i++)); do
		status_is 200 a1 /calm/$i && calm=$((calm + 1))
		sleep 0.05
	done
	wait $flood
	echo "$kind: $(sort "$WORK/flood" | uniq -c | tr -s ' \n' ' ')" \
		"memory $(memory_mb) MB (at first $at_first), calm $calm of 20"
	kill -0 "$pid_a1" 2>/dev/null || fail "$kind: the node ended"
	[ "$(memory_mb)" -lt $MEMORY_MB ] ||
		fail "$kind: the node took $(memory_mb) MB of $MEMORY_MB"
	! grep -q "^200" "$WORK/flood" || [ $kind = surplus ] ||
		fail "$kind: passed on as an answer"
	case $kind in interim | others)
		! grep -q "^504" "$WORK/flood" ||
			fail "$kind: read on until the deadline" ;;
	esac
	[ $calm = 20 ] || fail "$kind: $calm of 20 other requests were served"
done
echo "upstream endless passed"
