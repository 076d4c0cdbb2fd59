#!/usr/bin/env bash
# Tests once-only requests with real processes: the store loses responses or is
# down, the entry node is suspended or killed, and callers repeat the request at
# another node.
. "$(dirname "$0")/harness.bash"
BIN=$BUILD/mulberryferry-san

# issue NODE KEY: sends a once-only request; prints its outcome and, if given,
# the reason.
issue() {
	call "$1" POST /issue -H "Authorization: Bearer one" \
		-H "Idempotency-Key: $2" -d body >"$WORK/answer-$1"
	sed -n 's/^mulberryferry-outcome: \([a-z-]*\).*/\1/pI' "$WORK/answer-$1"
	sed -n 's/.*"reason":[ ]*"\([a-z-]*\)".*/\1/p' "$WORK/answer-$1"
}

done_at() { issue "$1" "$2" | grep -q '^done'; }
# issue_gives NODE KEY TEXT: succeeds if the outcome or reason of the request
# matches TEXT.
issue_gives() { issue "$1" "$2" | grep -q "$3"; }

runs() { # KEY: prints how often the request with this key ran
	local n
	n=$(counts back "$1")
	echo "${n:-0}"
}

started() { [ "$(runs "$1")" = 1 ]; }

start_store
start_node a1 east
start_node b1 west
start_node c1 west
cat >"$WORK/note.json" <<END
{"release": "first", "added": {
	"services": [{"name": "back", "retry_percent": 10}],
	"routes": [{"name": "issue", "method": "POST", "path": "/issue",
		"service": "back", "shed": "middle", "once": true,
		"deadline_ms": 3000, "retries": 1}],
	"accounts": [{"name": "port", "rate": 1000, "burst": 500,
		"weight": 1}],
	"keys": [{"id": "k1", "account": "port",
		"hash": "$(key_hash one)"}]}}
END
apply_note a1 "$WORK/note.json"
start_upstream back c1 back --slots 8 --connections 8 --service-us 100 --fixed
for n in a1 b1 c1; do
	wait_for 10 ready $n || fail "$n has no configuration"
	wait_for 10 done_at $n "warm-$n" || fail "no answer from $n"
done

faults lose_percent=30
for i in $(seq 30); do
	issue a1 "lost-$i" >/dev/null &
	wait_for 10 done_at b1 "lost-$i" || fail "lost-$i: $(cat "$WORK/answer-b1")"
	wait $!
	[ "$(runs "lost-$i")" = 1 ] || fail "lost-$i ran $(runs "lost-$i") times"
done
faults lose_percent=0
echo "ok with store responses lost, 30 keys ran once each"

faults down=1
result=$(issue a1 down-1 | tr '\n' ' ')
[ "${result% }" = "not-run store-out" ] || fail "store down: $result"
[ "$(runs down-1)" = 0 ] || fail "ran although refused as not run"
faults down=0
wait_for 10 done_at b1 down-1 || fail "down-1: $(cat "$WORK/answer-b1")"
[ "$(runs down-1)" = 1 ] || fail "down-1 ran $(runs down-1) times"
echo "ok with the store down a refused request does not run, its repeat runs"

control back service_us=1500000
issue a1 paused-1 >/dev/null &
request=$!
wait_for 5 started paused-1 || fail "paused-1 does not run"
wait_for 5 issue_gives b1 paused-1 claim-running ||
	fail "$(cat "$WORK/answer-b1")"
kill -STOP "$pid_a1"
wait_for 30 issue_gives b1 paused-1 claim-unknown ||
	fail "$(cat "$WORK/answer-b1")"
kill -CONT "$pid_a1"
wait $request
control back service_us=100
wait_for 20 done_at a1 warm-again ||
	fail "a1 does not serve after it was resumed"
[ "$(runs paused-1)" = 1 ] || fail "paused-1 ran $(runs paused-1) times"
echo "ok a suspended claim holder, repeats at another node: ran once"

control back service_us=1500000
issue a1 killed-1 >/dev/null &
request=$!
wait_for 5 started killed-1 || fail "killed-1 does not run"
wait_for 5 issue_gives b1 killed-1 claim-running ||
	fail "$(cat "$WORK/answer-b1")"
kill -KILL "$pid_a1"
wait $request
wait_for 30 issue_gives b1 killed-1 claim-unknown ||
	fail "$(cat "$WORK/answer-b1")"
[ "$(runs killed-1)" = 1 ] || fail "killed-1 ran $(runs killed-1) times"
"$BIN" claims --unresolved --admin "$admin_b1" >"$WORK/claims" 2>&1 ||
	fail "claims: $(cat "$WORK/claims")"
grep -q issue "$WORK/claims" || fail "not listed: $(cat "$WORK/claims")"
echo "ok a killed claim holder: unresolved, listed, ran once"

for n in a1 b1 c1; do
	grep -q "Sanitizer\|runtime error" "$WORK/$n.log" &&
		fail "$n: $(grep -A9 'Sanitizer\|runtime error' "$WORK/$n.log")"
done
echo "once passed"
