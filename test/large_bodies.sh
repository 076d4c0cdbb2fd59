#!/usr/bin/env bash
# Callers sent large bodies at once. Those being read counted for nothing, so the
# node outgrew its memory and was ended, with all other calls.
cd "$(dirname "$0")/.."
. test/harness.bash
. test/platform.bash

MEMORY_MB=260
SENDERS=22
BODY_BYTES=15000000
MAX_BODY=67108864
HOST_LIMITS="\"host_limits\": {\"memory_mb\": $MEMORY_MB,
	\"descriptors\": 4100}, \"limits\": {\"body_bytes\": 16777216},"

# send_body NAME [CURL OPTIONS]: leaves the status and whether the answer says
# when to come back.
send_body() {
	curl -s -o /dev/null -m 12 -D "$WORK/$1.head" -w '%{http_code}\n' \
		-H "Host: $HOST" -H "$(key key-1)" -H "Expect:" \
		-H "Mulberryferry-Deadline-Ms: 3000" "${@:2}" \
		--data-binary "@$WORK/large" "http://$callers_a1/r/$1" \
		>"$WORK/$1.sent"
}

start_two_hosts
head -c $BODY_BYTES /dev/zero >"$WORK/large"
senders=()
for i in $(seq $SENDERS); do
	send_body large-$i --limit-rate 4M &
	senders+=($!)
done
load 4
wait "${senders[@]}"

peak=$(awk '/^VmHWM/ {print int($2 / 1024)}' "/proc/$pid_a1/status")
[ -n "$peak" ] || fail "a1 ended"
[ "$peak" -lt $MEMORY_MB ] || fail "a1 used $peak MB of $MEMORY_MB"
echo "ok a1 used $peak MB of $MEMORY_MB"
[ "$(served_share)" = 100 ] || fail "$(served_share) % of the others served"
echo "ok all other calls served"
ran=0 refused=0
for i in $(seq $SENDERS); do
	case $(cat "$WORK/large-$i.sent") in
	200) ran=$((ran + 1)) ;;
	503)
		refused=$((refused + 1))
		grep -qi "^retry-after:" "$WORK/large-$i.head" ||
			fail "a refusal does not say when to come back"
		;;
	*) fail "a sender got $(cat "$WORK/large-$i.sent")" ;;
	esac
done
[ $ran -gt 0 ] || fail "no large body arrived"
[ "$(cat "$WORK"/u?.out | grep -c "run POST /r/large")" = $ran ] ||
	fail "a refused body ran"
send_body last
[ "$(cat "$WORK/last.sent")" = 200 ] || fail "a later body got $(cat "$WORK/last.sent")"
echo "ok $ran large bodies ran, $refused were refused as not run"
echo "large bodies passed"
