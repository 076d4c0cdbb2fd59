#!/usr/bin/env bash
# Runs two nodes with the platform interface against stand-ins for the store
# and the upstreams of the users' platform.
cd "$(dirname "$0")/.."
. test/harness.bash
. test/platform.bash

start_platform_store
start_platform_node a1 a
start_platform_node b1 b
expect 503 a1 /r/1 -H "$(key key-1)"
grep -qi "^retry-after" "$WORK/head" || fail "no Retry-After header"
put_document 3 one '"key-1","key-2"'
start_platform_upstream u1 a1 one
start_platform_upstream u2 b1 two
wait_for 10 status_is 200 a1 /r/1 -H "$(key key-1)" || fail "a1 does not serve"
wait_for 10 status_is 200 b1 /r/1 -H "$(key key-1)" || fail "b1 does not serve"
echo "ok the document is in force on nodes that found each other"

expect 200 b1 "/r/2?x=%2F" -H "$(key key-1)" \
	-H "Mulberryferry-Attempt-Id: 9c41d07be2a35f68" \
	-H "Mulberryferry-Tenant: forged" \
	-H "Mulberryferry-Caller-Service: forged"
grep -q "^ran /r/2?x=%2F" "$WORK/body" || fail "body $(cat "$WORK/body")"
grep -qi "^mulberryferry-response-signature: 1.2" "$WORK/head" ||
	fail "no signature"
line=$(grep "9c41d07be2a35f68" "$WORK/u1.out")
for expected in "mulberryferry-tenant=acc" "authorization=-" "host=$HOST" \
	"mulberryferry-caller-service=front" "x-extra=kept" \
	"mulberryferry-expected-instance=u1"; do
	[[ $line == *" $expected"* ]] || fail "$expected is not in $line"
done
expect 200 a1 /r/3 -H "$(key key-1)" -H "Transfer-Encoding: chunked" -d abc
grep -q "run POST /r/3 body=3" "$WORK/u1.out" ||
	fail "the chunked body did not reach the upstream"
echo "ok requests reach upstreams unchanged, without forged headers"

expect 401 a1 /r/4 -H "$(key unknown)"
expect 401 a1 /r/4
expect 404 a1 /none/4 -H "$(key key-1)"
expect 200 a1 /open/4
request a1 /r/5 -H "$(key key-few)" >/dev/null
for ((i = 0; i < 20; i++)); do
	status=$(request a1 /r/5 -H "$(key key-few)")
	[ "$status" = 429 ] && break
done
[ "$status" = 429 ] || fail "the rate of an account is not enforced"
echo "ok keys, routes and rates are enforced"

start_platform_upstream slow b1 one 1500
wait_for 10 grep -q "service=one.*slots=16" "$WORK/b1.log"
for ((i = 0; i < 50; i++)); do
	request b1 /r/6 -H "$(key key-1)" \
		-H "Mulberryferry-Attempt-Id: root$i" >/dev/null &
	root_pid=$!
	wait_for 5 grep -q "root$i " "$WORK/u1.out" "$WORK/slow.out"
	grep -q "root$i " "$WORK/slow.out" && break
	wait "$root_pid"
done
[ $i -lt 50 ] || fail "no request reached the slow upstream"
# A caller's next try, with the id of its first one, a dot and a number, was taken
# for a sub-call: it ran without account and with the key, or without any key.
expect 401 b1 /r/6 -H "Mulberryferry-Attempt-Id: root$i.2"
expect 401 b1 /r/6 -H "$(key unknown)" -H "Mulberryferry-Attempt-Id: root$i.3"
request b1 /r/6 -H "$(key key-1)" -H "Mulberryferry-Attempt-Id: root$i.4" >/dev/null &
next_pid=$!
# The sub-call takes as long as its parent but started later, so it is ended
# when its parent ends.
expect 504 b1 /open/6 -H "Mulberryferry-Attempt-Id: root$i.child"
wait "$root_pid" "$next_pid"
wait_for 5 grep -qs "request=root$i.child root=root$i " "$WORK/b1.log" ||
	fail "sub-call not recognised as one: $(grep "root$i" "$WORK"/*.log)"
grep "root$i.child" "$WORK"/u1.out "$WORK"/slow.out | grep -q "tenant=-" ||
	fail "a sub-call carries an account"
echo "ok a sub-call inherits from the request that makes it, and ends with it"
line=$(grep -h "root$i.4 " "$WORK/u1.out" "$WORK/slow.out")
[[ $line == *" mulberryferry-tenant=acc "*" authorization=- "* ]] ||
	fail "a next try ran as $line"
echo "ok a dotted id of a caller replaces neither key nor account"

# With 96 or more fields of a caller, those that nodes set were left out.
for count in 90 95 96 97 200 1500; do
	fields=()
	for ((i = 0; i < count; i++)); do
		fields+=(-H "p$i: v")
	done
	for node in a1 b1; do
		expect 200 $node /r/many -H "$(key key-1)" "${fields[@]}" \
			-H "Mulberryferry-Attempt-Id: fields$count$node"
		line=$(grep -h "fields$count$node " "$WORK/u1.out" "$WORK/slow.out")
		for expected in "mulberryferry-tenant=acc" "authorization=-" \
			"mulberryferry-caller-service=front"; do
			[[ $line == *" $expected"* ]] ||
				fail "$count fields: $expected is not in $line"
		done
		[[ $line != *"expected-instance=- "* ]] ||
			fail "$count fields: no expected instance in $line"
	done
done
fields=()
for ((i = 0; i < 3000; i++)); do
	fields+=(-H "p$i: v")
done
expect 431 a1 /r/many -H "$(key key-1)" "${fields[@]}"
echo "ok the number of header fields of a caller leaves out none of ours"

# An upstream that ran a request and failed with a status that means "not run",
# without saying so, had its answer passed on: callers sent the request again.
for status in 503 429 408 421; do
	upstream_fault u1 fail_status=$status
	upstream_fault slow fail_status=$status
	expect 502 a1 /once/8 -X POST -H "$(key key-1)" \
		-H "Mulberryferry-Attempt-Id: fails$status"
	[ "$(cat "$WORK"/u1.out "$WORK"/slow.out | grep -c fails$status)" = 1 ] ||
		fail "a once-only request that failed with $status ran again"
	expect $status a1 /r/8 -H "$(key key-1)"
done
upstream_fault u1 fail_status=500
upstream_fault slow fail_status=500
expect 500 a1 /once/8 -X POST -H "$(key key-1)"
upstream_fault u1 fail_status=0
upstream_fault slow fail_status=0
echo "ok no failure of a once-only request passes for not run"

upstream_fault u1 unsigned=1
upstream_fault slow unsigned=1
expect 502 a1 /once/7 -X POST -H "$(key key-1)" \
	-H "Mulberryferry-Attempt-Id: once7"
[ "$(cat "$WORK"/u1.out "$WORK"/slow.out | grep -c once7)" = 1 ] ||
	fail "a once-only request was sent again"
upstream_fault u1 "unsigned=0&full=1"
upstream_fault slow "unsigned=0&full=1"
expect 503 a1 /once/8 -X POST -H "$(key key-1)"
grep -qi "^retry-after" "$WORK/head" || fail "no Retry-After header"
upstream_fault u1 full=0
upstream_fault slow full=0
echo "ok no success without a signature, and 503 only for requests not run"

kill -HUP "$pid_a1"
wait_for 5 grep -q event=reloaded "$WORK/a1.log" || fail "no reload"
expect 200 a1 /r/9 -H "$(key key-1)"
echo "ok requests are served after a reload"

put_document 9 two '"key-2"'
wait_for 2 status_is 401 a1 /r/10 -H "$(key key-1)" ||
	fail "a1 accepts a revoked key"
wait_for 2 status_is 401 b1 /r/10 -H "$(key key-1)" ||
	fail "b1 accepts a revoked key"
expect 200 a1 /r/10 -H "$(key key-2)"
put_document 4 one '"key-1"'
sleep 1.5
expect 401 a1 /r/11 -H "$(key key-1)"
grep "/r/11" "$WORK/u1.out" && fail "an older document came into force"
echo "ok a new document is in force within seconds, an older one never"

put_document 10 two '"key-2"'
wait_for 4 status_is 200 a1 /r/12 -H "$(key key-2)" || fail "a1 does not serve"
wait_for 4 status_is 200 b1 /r/12 -H "$(key key-2)" || fail "b1 does not serve"
store_fault silent=1
wait_for 6 status_is 503 a1 /r/12 -H "$(key key-2)" ||
	fail "a1 accepts keys long after the store became unavailable"
wait_for 6 status_is 503 b1 /r/12 -H "$(key key-2)" ||
	fail "b1 accepts keys long after the store became unavailable"
[ "$(curl -s -o /dev/null -w '%{http_code}' \
	"http://$ready_a1/mulberryferry/ready")" = 503 ] || fail "still ready: $(curl -s -i "http://$ready_a1/mulberryferry/ready")"
expect 200 a1 /open/12
store_fault silent=0
wait_for 6 status_is 200 a1 /r/13 -H "$(key key-2)" || fail "a1 did not recover"
[ "$(curl -s -o /dev/null -w '%{http_code}' \
	"http://$ready_a1/mulberryferry/ready")" = 200 ] || fail "not ready"
echo "ok keys are soon refused without the store, and calls without a key go on"

upstream_fault u2 draining=1
wait_for 5 grep -q event=upstream-leaving "$WORK/b1.log" ||
	fail "no event=upstream-leaving"
sleep 2
expect 503 a1 /r/14 -H "$(key key-2)"
upstream_fault u2 draining=0
wait_for 5 status_is 200 a1 /r/15 -H "$(key key-2)" ||
	fail "u2 is not used after it stopped draining"
echo "ok a leaving upstream gets no new requests"
echo "platform passed"
