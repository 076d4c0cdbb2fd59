#!/usr/bin/env bash
# Tests a rolling restart of all nodes under load: no request is cut, and none
# ends as failed or unknown. Callers leave a node when it announces its stop.
. "$(dirname "$0")/harness.bash"
BIN=${BIN_OF_STOP:-$BUILD/mulberryferry-san}

NAMES=(a1 a2 b1 b2)

# load NAME SECONDS TARGET...: runs a load without retries in the background. Each
# has a seed, and so idempotency keys, of its own: beside another of the same keys
# its requests would be answered as those that run already.
LOADS=0
load() {
	local name=$1 seconds=$2 to
	shift 2
	LOADS=$((LOADS + 1))
	to=$(printf '"%s",' "$@")
	cat >"$WORK/$name.plan" <<-END
	{"to": [${to%,}], "seconds": $seconds, "seed": $LOADS, "streams": [
		{"name": "read", "key": "one", "method": "GET",
		 "path": "/read", "rate": 60, "deadline_ms": 10000,
		 "retries": 0},
		{"name": "issue", "key": "one", "method": "POST",
		 "path": "/issue", "rate": 10, "deadline_ms": 10000,
		 "retries": 0, "once": true}]}
	END
	run "$name" "$TOOLS/caller" "$WORK/$name.plan"
}

# tally NAME KEY: prints a total from the report of a load.
tally() {
	sed -n "s/^stream=total .*\b$2=\([0-9]*\).*/\1/p" "$WORK/$1.out"
}

# restart NAME: starts the node with its earlier settings and addresses.
restart() {
	local name=$1 l var
	for l in callers services nodes admin; do
		var="${l}_$name"
		sed -i "s/\"$l\": \"127.0.0.1:0\"/\"$l\": \"${!var}\"/" \
			"$WORK/$name.json"
	done
	mv "$WORK/$name.log" "$WORK/$name.log.before"
	run_node "$name" "$BIN" node --settings "$WORK/$name.json"
	wait_for 10 grep -q event=listening "$WORK/$name.log" ||
		fail "$name did not start again: $(cat "$WORK/$name.log")"
	wait_for 20 ready "$name" || fail "$name has no configuration"
}

# serves NODE: succeeds if the node answers a read.
serves() {
	call "$1" GET /read -H "Authorization: Bearer one" |
		grep -qi "outcome: done"
}

running_at() { # UPSTREAM: succeeds if it has work in flight
	[ "$(counts "$1" running)" -gt 0 ]
}

callers() { # NAME: prints the node's address for callers
	local var="callers_$1"
	echo "${!var}"
}

others() { # NAME: prints the other nodes' addresses for callers
	local n
	for n in "${NAMES[@]}"; do
		[ "$n" = "$1" ] || callers "$n"
	done
}

start_store
for n in "${NAMES[@]}"; do
	start_node "$n" "${n%?}"
done
cat >"$WORK/note.json" <<END
{"release": "first", "added": {
	"services": [{"name": "back", "retry_percent": 100}],
	"routes": [
		{"name": "read", "method": "GET", "path": "/read",
		 "service": "back", "shed": "last", "deadline_ms": 10000,
		 "retries": 4},
		{"name": "issue", "method": "POST", "path": "/issue",
		 "service": "back", "shed": "last", "once": true,
		 "deadline_ms": 10000, "retries": 4}],
	"accounts": [{"name": "port", "rate": 5000, "burst": 5000,
		"weight": 1}],
	"keys": [{"id": "k1", "account": "port",
		"hash": "$(key_hash one)"}]}}
END
apply_note a1 "$WORK/note.json"
for n in "${NAMES[@]}"; do
	wait_for 10 ready "$n" || fail "$n has no configuration"
	start_upstream "up-$n" "$n" back --slots 32 --connections 32 \
		--service-us 100000 --fixed
done
for n in "${NAMES[@]}"; do
	wait_for 10 serves "$n" || fail "no answer from $n"
done
load warm 5 $(for n in "${NAMES[@]}"; do callers "$n"; done)
wait "$pid_warm"

cut=0 jobs=0
for n in "${NAMES[@]}"; do
	# The node receives requests for one second and is stopped while
	# responses to some of them are due.
	load "others-$n" 8 $(others "$n")
	load "self-$n" 1 "$(callers "$n")"
	wait_for 5 running_at "up-$n" || fail "up-$n has no work"
	sleep 0.5
	pid="pid_$n"
	kill -TERM "${!pid}"
	wait_for 60 grep -q event=stopped "$WORK/$n.log" ||
		fail "$n did not stop"
	wait "${!pid}"
	grep -q "Sanitizer\|runtime error" "$WORK/$n.log" &&
		fail "$n: $(grep -A9 'Sanitizer\|runtime error' "$WORK/$n.log")"
	[ "$(field "$WORK/$n.log" stopped cut_calls)$(field "$WORK/$n.log" stopped cut_answers)" = 00 ] ||
		fail "$n: $(grep event=stopped "$WORK/$n.log")"
	cut=$((cut + $(field "$WORK/$n.log" stopped cut_requests)))
	restart "$n"
	for load in "self-$n" "others-$n"; do
		pid="pid_${load//-/_}"
		wait "${!pid}" || fail "load: $(cat "$WORK/$load.log")"
		jobs=$((jobs + $(tally "$load" jobs)))
		cut=$((cut + $(tally "$load" failed) + $(tally "$load" unknown)))
		echo "$load: $(grep stream=total "$WORK/$load.out")"
	done
	wait_for 20 serves "$n" || fail "$n does not serve after its restart"
done
[ "$jobs" -gt 0 ] || fail "no requests were sent"
echo "requests=$jobs"
echo "cut=$cut"
[ "$cut" = 0 ] || fail "$cut requests cut, failed or unknown"
for n in "${NAMES[@]}"; do
	grep -q "Sanitizer\|runtime error" "$WORK/$n.log" &&
		fail "$n: $(grep -A9 'Sanitizer\|runtime error' "$WORK/$n.log")"
done
echo "stop passed"
