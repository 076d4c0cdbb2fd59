#!/usr/bin/env bash
# Tests the complete request path with real processes: a chain of three calls
# over two data centres, keys, outcomes, idempotency, withdrawal of a key, and a
# planned stop.
. "$(dirname "$0")/harness.bash"
BIN=$BUILD/mulberryferry-san

check() { # WHAT PATTERN RESPONSE: the response must match the pattern
	grep -qi "$2" <<<"$3" || fail "$1: wanted '$2' in: $3"
	echo "ok $1"
}

start_store
start_node a1 east
start_node a2 east
start_node b1 west
for n in a1 a2 b1; do
	! ready $n || fail "$n is ready without a configuration"
done
check "nothing is served before there is a configuration" not-configured \
	"$(call a1 GET /deep)"

cat >"$WORK/note.json" <<END
{"release": "first", "added": {
	"services": [{"name": "front", "retry_percent": 10},
		{"name": "middle", "retry_percent": 10},
		{"name": "back", "retry_percent": 10}],
	"routes": [
		{"name": "deep", "method": "GET", "path": "/deep",
		 "service": "front", "shed": "last", "deadline_ms": 5000,
		 "retries": 3},
		{"name": "mid", "method": "GET", "path": "/mid",
		 "service": "middle", "shed": "middle", "deadline_ms": 5000,
		 "retries": 1},
		{"name": "back", "method": "GET", "path": "/back/{id}",
		 "service": "back", "shed": "first", "deadline_ms": 5000,
		 "retries": 1},
		{"name": "issue", "method": "POST", "path": "/issue",
		 "service": "back", "shed": "middle", "once": true,
		 "deadline_ms": 5000, "retries": 1},
		{"name": "public", "method": "GET", "path": "/public/**",
		 "service": "back", "shed": "first", "open": true,
		 "deadline_ms": 5000, "retries": 0}],
	"accounts": [
		{"name": "port", "rate": 1000, "burst": 500, "weight": 1},
		{"name": "small", "rate": 1, "burst": 2, "weight": 1}],
	"keys": [
		{"id": "k1", "account": "port", "hash": "$(key_hash one)"},
		{"id": "k2", "account": "small", "hash": "$(key_hash two)"}]}}
END
apply_note a1 "$WORK/note.json"
for n in a1 a2 b1; do
	wait_for 10 ready $n || fail "$n has no configuration"
done
echo "ok one note is in force on all nodes"

start_upstream front a2 front --slots 8 --connections 8 --service-us 100 \
	--sub "GET /mid"
start_upstream middle b1 middle --slots 8 --connections 8 --service-us 100 \
	--sub "GET /back/1"
start_upstream back a2 back --slots 8 --connections 8 --service-us 100

one=(-H "Authorization: Bearer one")
deep() { call "$1" GET /deep "${one[@]}" | grep -q "outcome: done"; }
for n in a1 a2 b1; do
	wait_for 10 deep $n ||
		fail "no answer to a chain of three calls from $n"
done
echo "ok a chain of three calls, from each node"

answer=$(call a1 GET '/back/7?x=1' "${one[@]}" -H "X-Request-Id: mine")
check "complete response" "200 OK" "$answer"
check "identity is returned" "x-request-id: mine" "$answer"
check "no key" "no-key" "$(call a1 GET /back/7)"
check "wrong key" "bad-key" \
	"$(call a1 GET /back/7 -H "Authorization: Bearer nope")"
check "a refusal carries the identity" "x-request-id: mine-2" \
	"$(call a1 GET /back/7 -H "X-Request-Id: mine-2")"
check "bad identity" "bad-request" \
	"$(call a1 GET /back/7 "${one[@]}" -H "X-Request-Id: a b")"
check "open route" "outcome: done" "$(call b1 GET /public/x/y)"
check "no route" "no-route" "$(call b1 GET /nowhere "${one[@]}")"
check "bad deadline" "bad-request" \
	"$(call b1 GET /back/7 "${one[@]}" -H "Mulberryferry-Deadline-Ms: x")"
check "once-only without idempotency key" "no-idempotency-key" \
	"$(call a1 POST /issue "${one[@]}" -d x)"

check "once-only runs" "outcome: done" \
	"$(call a1 POST /issue "${one[@]}" -H "Idempotency-Key: c1" -d x)"
again() {
	call b1 POST /issue "${one[@]}" -H "Idempotency-Key: c1" -d x |
		grep -q "outcome: done"
}
wait_for 5 again || fail "a repeat elsewhere does not get the first answer"
[ "$(counts back c1)" = 1 ] || fail "c1 ran $(counts back c1) times"
echo "ok a repeat elsewhere gets the first answer, and runs once"
check "same key, other body" "idempotency-mismatch" \
	"$(call b1 POST /issue "${one[@]}" -H "Idempotency-Key: c1" -d y)"

refused() {
	call "$1" GET /back/1 -H "Authorization: Bearer two" |
		grep -q "reason\":\"over-rate"
}
wait_for 5 refused a1 || fail "the small account is never over its rate"
echo "ok over rate"
[ "$(counts back saw_authorization)" = 0 ] || fail "an upstream saw a key"
grep -qw "Bearer" "$WORK"/*.log && fail "a key in a log"
echo "ok no upstream and no log sees a key"

cat >"$WORK/withdraw.json" <<END
{"release": "second", "withdrawn": {"keys": ["k1"]}}
END
apply_note b1 "$WORK/withdraw.json"
withdrawn() { call "$1" GET /back/1 "${one[@]}" | grep -q bad-key; }
for n in a1 a2 b1; do
	wait_for 10 withdrawn $n || fail "$n still accepts the key"
done
echo "ok a withdrawn key is refused on all nodes"

kill -TERM "$pid_a1" "$pid_a2" "$pid_b1"
for n in a1 a2 b1; do
	wait_for 30 grep -q event=stopped "$WORK/$n.log" ||
		fail "$n did not stop"
	[ "$(field "$WORK/$n.log" stopped cut_requests)" = 0 ] ||
		fail "$n cut requests"
	grep -q "Sanitizer\|runtime error" "$WORK/$n.log" &&
		fail "$n: $(grep -A9 'Sanitizer\|runtime error' "$WORK/$n.log")"
done
echo "ok planned stop"
echo "path passed"
