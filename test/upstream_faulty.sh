#!/usr/bin/env bash
# A faulty upstream wrote an earlier refusal once more on a kept connection, and
# a caller was told "not run" of a request that ran, or it ran a second time
# elsewhere. Another stopped within its answer, which must not look whole. A third
# answered with a status of 000, and what its body held was passed on as the answer.
cd "$(dirname "$0")/.."
. test/harness.bash
BIN=${BIN_OF_FAULTY:-$BUILD/mulberryferry-san}
. test/platform.bash

beat() {
	announce u1 a1
}

start_platform_store
start_platform_node a1 a
put_document 3 one '"key-1"'
run u1 "$TOOLS/platform_faulty"
wait_for 5 test -s "$WORK/u1.out" || fail "u1 did not start"
wait_for 15 beat
wait_for 15 status_is 200 a1 /r/0 -H "$(key key-1)" || fail "a1 does not serve"

# issue PATH ID: sends a once-only request, prints its status.
issue() {
	request a1 "$1" -X POST -H "$(key key-1)" -H "Mulberryferry-Attempt-Id: $2"
}
# earn_retries COUNT: sends requests that succeed, of which retries are a share.
earn_retries() {
	local i
	for ((i = 0; i < $1; i++)); do
		earned=$((earned + 1))
		issue /once/plain "$(printf 'cccc%04x' $earned)" >/dev/null
	done
}
earned=0
beat
earn_retries 60
refusals=0
for how in repeat unnamed; do
	for i in 1 2 3 4 5 6 7 8 9 10; do
		beat
		earn_retries 8
		id=$(printf '%s%04x' "${how/repeat/aaaa}" $i)
		status=$(issue "/once/$how" "$id")
		ran=$(grep -c "^run $id$" "$WORK/u1.out")
		[ "$ran" -le 1 ] || fail "$how: $id ran $ran times"
		[ "$status" != 200 ] || [ "$ran" = 1 ] ||
			fail "$how: $id got 200 and did not run"
		case $status in 408 | 421 | 429 | 503)
			[ "$ran" = 0 ] || fail "$how: $id got $status and ran"
			refusals=$((refusals + 1)) ;;
		esac
		# The next request of the connection gets an answer of its own.
		request a1 /r/next -H "$(key key-1)" >/dev/null
		grep -q "^hello$" <(cat "$WORK/body"; echo) ||
			[ "$how" = unnamed ] ||
			fail "$how: the next request got $(cat "$WORK/body")"
	done
done
[ "$(grep -c "^run aaaa" "$WORK/u1.out")" -ge 5 ] ||
	fail "too few second tries reached the upstream"
echo "ok a repeated refusal tells nobody that a request did not run ($refusals true ones)"

whole=$(printf '%s\r\n' 'HTTP/1.1 200 OK' 'Mulberryferry-Attempt-Id: bbbb0000' \
	'Mulberryferry-Response-Signature: 1.2' 'Content-Length: 5' '' | wc -c)
whole=$((whole + 5)) # "hello"
for ((n = 0; n < whole; n += 3)); do
	beat
	status=$(issue "/once/cut-$n" "$(printf 'bbbb%04x' "$n")")
	[ "$status" = 502 ] ||
		fail "an answer that ended after $n bytes got $status"
done
[ "$(issue "/once/cut-$whole" bbbbffff)" = 200 ] ||
	fail "a whole answer is not passed on"
echo "ok answers that end early are not passed on as whole"
i=0
for code in 000 001 099 20 0200 2000 600 999 101 -20; do
	beat
	i=$((i + 1))
	status=$(issue "/once/status-$code" "$(printf 'dddd%04x' $i)")
	[ "$status" = 502 ] || fail "an answer of status $code got $status," \
		"$(cat "$WORK/body")"
	[ "$(grep -c "^run $(printf 'dddd%04x' $i)" "$WORK/u1.out")" = 1 ] ||
		fail "status $code: the request ran again"
done
echo "ok a status that HTTP does not allow is no answer"
echo "upstream faulty passed"
