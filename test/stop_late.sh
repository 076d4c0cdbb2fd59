#!/usr/bin/env bash
# Requests that came late in the grace of a planned stop were taken and passed
# on, and cut with no answer at its end, though they may not be repeated.
cd "$(dirname "$0")/.."
. test/harness.bash
BIN=${BIN_OF_LATE:-$BUILD/mulberryferry-san}
. test/platform.bash

WORK_MS=1500
EXTRA_ROUTES=',["free","'$HOST'","/free/","unsafe",5,0.5,1,"one",1,true],
	["keyed","'$HOST'","/keyed/","unsafe",5,0.5,1,"one",1,false]'
start_two_hosts $WORK_MS

# send PATH ID [CURL OPTIONS]: sends a request to a1 in the background, which
# leaves "ID STATUS" in WORK/sent.
send() {
	local path=$1 id=$2
	shift 2
	echo "$id $(curl -s -o /dev/null -w '%{http_code}' -m 8 -X POST \
		-H "Host: $HOST" -H "Mulberryferry-Deadline-Ms: 5000" \
		-H "Mulberryferry-Attempt-Id: $id" "$@" \
		"http://$callers_a1$path")" >>"$WORK/sent" &
	SENT+=($!)
}
SENT=()

# Sends requests all through the stop, so that the node has work until its end.
run_until_stopped() {
	while kill -0 "$pid_a1" 2>/dev/null; do
		i=$((i + 1))
		send /free/x "$(printf 'aaaa%04x' $i)"
		send /free/x "$(printf 'bbbb%04x.1' $i)"
		send /keyed/x "$(printf 'cccc%04x' $i)" -H "$(key key-1)"
		sleep 0.1
	done
}
i=0
kill -TERM "$pid_a1"
run_until_stopped
wait "${SENT[@]}"
wait "$pid_a1"
grep -q "Sanitizer\|runtime error" "$WORK/a1.log" &&
	fail "$(grep -A9 'Sanitizer\|runtime error' "$WORK/a1.log")"

# What ran, and got no answer or one of the node in its place.
cat "$WORK/u1.out" "$WORK/u2.out" |
	sed -n 's/^run .* mulberryferry-attempt-id=\([^ ]*\) .*/\1/p' |
	sort >"$WORK/ran"
awk '$2 != 200 && $2 != 503 {print $1}' "$WORK/sent" | sort >"$WORK/unanswered"
cut=$(comm -12 "$WORK/ran" "$WORK/unanswered" | wc -l)
echo "$(wc -l <"$WORK/sent") sent, $(wc -l <"$WORK/ran") ran, $cut of them cut:" \
	"$(grep event=stopped "$WORK/a1.log" | sed 's/.*stopped//')"
[ "$(grep -c 503 "$WORK/sent")" -gt 0 ] || fail "no request came late"
[ "$cut" = 0 ] || fail "requests ran and were cut: $(comm -12 "$WORK/ran" \
	"$WORK/unanswered" | sed 's/....\(\.1\)*$//' | sort | uniq -c)"
echo "stop late passed"
