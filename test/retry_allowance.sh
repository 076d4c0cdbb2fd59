#!/usr/bin/env bash
# Requests of a route with max_attempts 1 ran on two and three upstreams: the
# retries that a lost run's calls had left were added to the request's own.
cd "$(dirname "$0")/.."
. test/harness.bash
BIN=${BIN_OF_ALLOWANCE:-$BUILD/mulberryferry-san}
. test/platform.bash

EXTRA_ROUTES=',["single","'$HOST'","/single/","safe",2,0.5,2,"one",1,false],
	["double","'$HOST'","/double/","safe",2,0.5,2,"one",2,false],
	["sub","'$HOST'","/sub/","safe",2,0.5,1,"two",3,true]'
beat() {
	announce u1 a1 && announce u2 b1
}

start_platform_store
start_platform_node a1 a
start_platform_node b1 b
put_document 3 one '"key-1"'
run u1 "$TOOLS/platform_faulty" "$callers_a1"
run u2 "$TOOLS/platform_faulty" "$callers_b1"
start_platform_upstream u3 b1 two
for u in u1 u2; do
	wait_for 5 test -s "$WORK/$u.out" || fail "$u did not start"
done
# An announcement holds for some seconds only.
serves() {
	beat && status_is 200 a1 /single/0 -H "$(key key-1)"
}
wait_for 15 serves ||
	fail "a1 does not serve"
wait_for 15 status_is 200 a1 /sub/0 || fail "a1 does not serve service two"

# ask PATH ID: sends a request, prints its status.
ask() {
	request a1 "$1" -H "$(key key-1)" -H "Mulberryferry-Attempt-Id: $2"
}
# The ratio of the service allows retries to a share of its requests only.
earned=0
earn_retries() {
	local i
	for ((i = 0; i < 30; i++)); do
		earned=$((earned + 1))
		ask "$1" "$(printf 'cccc%04x' $earned)" >/dev/null
	done
}
# runs_of ID: prints how often a request ran.
runs_of() {
	cat "$WORK/u1.out" "$WORK/u2.out" | grep -c "^run $1$"
}

# lose PATH ID: sends requests until one has run, and sets RUNS to how often.
lose() {
	local try id
	for try in 1 2 3 4 5 6 7 8 9; do
		beat
		earn_retries "$1/plain"
		id=$2$try
		ask "$1/call-lost" "$id" >/dev/null
		RUNS=$(runs_of "$id")
		[ "$RUNS" = 0 ] || return 0
	done
	fail "no request to $1 ran"
}

again=0
for i in 1 2 3 4 5 6 7 8; do
	lose /single "aaaa00$i"
	[ "$RUNS" -le 1 ] || fail "a request ran $RUNS times of 1:" \
		"$(grep "event=retried request=aaaa00$i" "$WORK/a1.log")"
	lose /double "bbbb00$i"
	[ "$RUNS" -le 2 ] || fail "a request ran $RUNS times of 2:" \
		"$(grep "event=retried request=bbbb00$i" "$WORK/a1.log")"
	again=$((again + RUNS - 1))
done
[ "$(cat "$WORK/u1.out" "$WORK/u2.out" | grep -c '^called .* 200')" -ge 8 ] ||
	fail "the lost runs made no calls"
[ "$again" -ge 1 ] || fail "no request was sent again"
echo "ok a lost run's calls buy its request no retries ($again within max_attempts)"
echo "retry allowance passed"
