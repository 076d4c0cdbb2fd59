#!/usr/bin/env bash
# The kind of a route changed while a once-only request of it ran, and its
# upstream died: the request must not run again, and later ones may.
cd "$(dirname "$0")/.."
. test/harness.bash
. test/platform.bash

WORK_MS=1500

# runs_of ID: prints how often a request ran.
runs_of() {
	cat "$WORK/u1.out" "$WORK/u2.out" | grep -c "^run .* \?$1 "
}

# has_run ID: succeeds once a request runs.
has_run() {
	[ "$(runs_of "$1")" -gt 0 ]
}

# put_kind VERSION KIND: writes a configuration with another kind for the route
# that runs once.
put_kind() {
	document "$1" one '"key-1"' | sed "s/\"unsafe\"/\"$2\"/" |
		curl -sf -o /dev/null -X PUT --data-binary @- \
			"http://$STORE/standin/document" || fail "document $1"
}

# send ID: sends a request of the route in the background; its status goes to
# WORK/ID.status.
send() {
	curl -s -o /dev/null -w '%{http_code}' -m 8 -H "Host: $HOST" \
		-H "$(key key-1)" -H "Mulberryferry-Attempt-Id: $1" \
		-H "Mulberryferry-Deadline-Ms: 6000" \
		"http://$callers_a1/once/$1" >"$WORK/$1.status" &
	SENT=$!
}

# kill_upstream_of ID: kills the upstream at which a request runs.
kill_upstream_of() {
	local u=u2
	grep -q "$1 " "$WORK/u1.out" && u=u1
	local pid="pid_$u"
	kill -KILL "${!pid}"
}

start_two_hosts $WORK_MS

send first
wait_for 5 has_run first || fail "the request does not run"
put_kind 4 download
sleep 0.5
kill_upstream_of first
wait $SENT
[ "$(runs_of first)" = 1 ] || fail "ran $(runs_of first) times"
[ "$(cat "$WORK/first.status")" = 502 ] ||
	fail "status $(cat "$WORK/first.status") instead of 502"
echo "ok a request keeps the kind that it began with"

send second
wait $SENT
[ "$(cat "$WORK/second.status")" = 200 ] ||
	fail "status $(cat "$WORK/second.status") of a later request"
echo "ok later requests are served"

put_kind 5 upload
wait_for 5 grep -q "event=document-refused.*once.*upload" "$WORK/a1.log" ||
	fail "no event=document-refused that names the route and the kind"
status_is 200 a1 /open/x || fail "the former configuration is not in force"
echo "ok a document with an unknown kind is refused, the former stays"

echo "kind change passed"
