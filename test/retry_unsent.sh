#!/usr/bin/env bash
# Requests that were placed at a host which had just ended failed although their
# route allows a retry: it was lent with the call, and lost with it, though
# nothing of the call had been sent.
cd "$(dirname "$0")/.."
. test/harness.bash
BIN=${BIN_OF_UNSENT:-$BUILD/mulberryferry-san}

start_store
start_node a1 a
start_node b1 a
cat >"$WORK/note.json" <<END
{"release": "first", "added": {
	"services": [{"name": "back", "retry_percent": 100}],
	"routes": [{"name": "read", "method": "GET", "path": "/read",
		"service": "back", "shed": "last", "deadline_ms": 5000,
		"retries": 1}],
	"accounts": [{"name": "port", "rate": 5000, "burst": 5000,
		"weight": 1}],
	"keys": [{"id": "k1", "account": "port",
		"hash": "$(key_hash one)"}]}}
END
apply_note a1 "$WORK/note.json"
for n in a1 b1; do
	wait_for 10 ready $n || fail "$n has no configuration"
	start_upstream "up-$n" $n back --slots 32 --connections 32 \
		--service-us 1000 --fixed
done
# read_status: sends a request to a1, prints its status.
read_status() {
	call a1 GET /read -H "Authorization: Bearer one" |
		sed -n 's/^HTTP[^ ]* \([0-9]*\).*/\1/p' | tail -n 1
}
serves() {
	[ "$(read_status)" = 200 ]
}
started=0
serves_at_b1() {
	serves && [ "$(counts up-b1 started)" -gt "$started" ]
}
wait_for 15 serves_at_b1 || fail "a1 sends nothing to b1"

# outcome ID: sends a request to a1; leaves its status and whether it ran.
outcome() {
	call a1 GET /read -H "Authorization: Bearer one" |
		sed -n 's/\r$//; s/^HTTP[^ ]* //p; s/^mulberryferry-outcome: //p' |
		paste -s -d ' ' >"$WORK/outcome.$1"
}

# round: ends b1 while a1 places requests, and starts it again.
round() {
	local pids=() i
	kill -KILL "$pid_b1"
	wait "$pid_b1" 2>/dev/null
	for ((i = 0; i < 20; i++)); do
		outcome $i &
		pids+=($!)
	done
	wait "${pids[@]}"
	sort "$WORK"/outcome.* | uniq -c >"$WORK/outcomes"
	! grep "502.*not-run" "$WORK/outcomes" ||
		fail "not sent again: $(grep -h "event=refused.*link-lost" \
			"$WORK/a1.log" | tail -n 1)"
	for l in callers services nodes admin; do
		var="${l}_b1"
		sed -i "s/\"$l\": \"127.0.0.1:0\"/\"$l\": \"${!var}\"/" \
			"$WORK/b1.json"
	done
	run_node b1 "$BIN" node --settings "$WORK/b1.json"
	wait_for 15 serves_at_b1 || fail "b1 does not serve again"
}

for ((n = 0; n < 8; n++)); do
	started=$(counts up-b1 started)
	round
	grep -q "event=retried.*reason=link-lost" "$WORK/a1.log" && break
done
grep -q "event=retried.*reason=link-lost" "$WORK/a1.log" ||
	fail "no request was placed at the host that had ended"
echo "ok a call that was not sent costs no retry"
echo "retry unsent passed"
