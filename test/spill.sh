#!/usr/bin/env bash
# Calls to another data centre with real processes: none at light load, some
# when the own upstream is full, all when it was killed, and none once the other
# data centre is gone. Guards against an entry that keeps calls for itself
# while they are refused, and against one that keeps sending to hosts that died.
cd "$(dirname "$0")/.."
. test/harness.bash

KEY=(-H "Authorization: Bearer one")

# load CALLS AT_ONCE: makes calls at a1, with their statuses in WORK/statuses.
load() {
	curl -s -Z --parallel-max "$2" -m 10 -o /dev/null -w '%{http_code}\n' \
		"${KEY[@]}" "http://$callers_a1/back/[1-$1]" \
		>"$WORK/statuses" 2>/dev/null
}

# crossed REASON: prints the calls that a1 sent across for this reason.
crossed() {
	curl -s "http://$admin_a1/metrics" | sed -n \
		"s/^mulberryferry_crossed_calls_total{.*reason=\"$1\"} //p"
}

fraction() {
	curl -s "http://$admin_a1/metrics" |
		sed -n 's/^mulberryferry_crossing_fraction{.*} //p'
}

served() { grep -c '^200$' "$WORK/statuses"; }
answers() { call a1 GET /back/1 "${KEY[@]}" | grep -q "outcome: done"; }

start_store
start_node a1 east ', "crossing": {"cost_per_mb": 0.01}'
start_node b1 west ', "crossing": {"cost_per_mb": 0.01}'
cat >"$WORK/note.json" <<END
{"release": "first", "added": {
	"services": [{"name": "back", "retry_percent": 10}],
	"routes": [{"name": "back", "method": "GET", "path": "/back/{id}",
		"service": "back", "shed": "middle", "deadline_ms": 5000,
		"retries": 1}],
	"accounts": [{"name": "port", "rate": 100000, "burst": 50000,
		"weight": 1}],
	"keys": [{"id": "k1", "account": "port", "hash": "$(key_hash one)"}]}}
END
apply_note a1 "$WORK/note.json"
start_upstream u1 a1 back --slots 8 --connections 8 --service-us 40000
start_upstream u2 b1 back --slots 60 --connections 60 --service-us 40000
wait_for 10 answers || fail "no answer"
sleep 3.5 # the gates raise their limits for three seconds

load 60 2
[ "$(served)" = 60 ] || fail "$(served) of 60 calls were served"
[ "$(crossed no-room)" = 0 ] || fail "calls crossed at light load"
echo "ok light load stays"

load 2500 30
[ "$(crossed no-room)" -ge 300 ] || fail "$(crossed no-room) calls crossed"
[ "$(counts u2 started)" -ge 300 ] || fail "u2 ran $(counts u2 started)"
grep -q 'event=spill service=back fraction=.* reason=no-room' \
	"$WORK/a1.log" || fail "no line about the fraction"
lines=$(grep -c 'event=spill' "$WORK/a1.log")
echo "ok a full upstream: $(crossed no-room) of 2500 calls crossed," \
	"$(served) served, $lines lines"

kill -KILL "$pid_u1"
wait_for 20 grep -q "event=upstream-\(gone\|silent\|unreachable\)" "$WORK/a1.log" ||
	fail "the upstream was not missed"
before=$(crossed no-upstream)
load 100 4
[ "$(served)" -ge 95 ] || fail "$(served) of 100 calls without an upstream"
[ $(($(crossed no-upstream) - before)) -ge 90 ] ||
	fail "$(crossed no-upstream) calls crossed without an upstream"
echo "ok without a local upstream all calls cross"

start_upstream u3 a1 back --slots 8 --connections 8 --service-us 40000
sleep 4
load 1500 30
kill -KILL "$pid_b1"
load 600 30
lost=$(grep -cv '^\(200\|503\)$' "$WORK/statuses")
[ "$lost" -le 60 ] || fail "$lost of 600 calls were lost to the dead host"
wait_for 10 answers || fail "no answer after the loss"
load 200 4
[ "$(served)" -ge 195 ] || fail "$(served) of 200 calls after the loss"
[ "$(fraction)" = 0.0000 ] || fail "the fraction is $(fraction) after the loss"
echo "ok the other data centre was killed: $lost calls lost, local calls go on"

echo "spill passed"
