#!/usr/bin/env bash
# Two nodes on the users' platform, with stand-ins of its store and upstreams.
cd "$(dirname "$0")/.."
. test/harness.bash

HOST=h.example

# document VERSION SERVICE KEYS: a configuration with one route for the
# account's requests, one that needs no key, and one that may run once only.
document() {
	local route='"safe",2,0.5,2,"'$2'",2,false'
	local once='"unsafe",2,0.5,0,"'$2'",2,false'
	local open='"safe",2,0.5,1,"'$2'",2,true'
	cat <<-END
	{"version": $1, "routes": {"columns": ["name", "host", "prefix",
	"route_kind", "timeout_s", "target_latency_s", "priority", "service",
	"max_attempts", "allow_anonymous"], "rows": [
	["r", "$HOST", "/r/", $route], ["once", "$HOST", "/once/", $once],
	["open", "$HOST", "/open/", $open]]},
	"services": {"columns": ["name", "max_connections"],
	"rows": [["one", 64], ["two", 64]]},
	"limits": {"max_header_bytes": 16384, "max_body_bytes": 100000,
	"header_timeout_s": 3, "idle_timeout_s": 15},
	"tenants": {"columns": ["name", "api_keys", "priority", "rate_per_s",
	"burst"], "rows": [["acc", [$3], 1, 1000, 200],
	["few", ["key-few"], 1, 2, 4]]}}
	END
}

put_document() {
	document "$@" | curl -sf -o /dev/null -X PUT --data-binary @- \
		"http://$STORE/standin/document" || fail "document $1"
}

store_fault() {
	curl -sf -o /dev/null "http://$STORE/standin/faults?$1"
}

upstream_fault() {
	curl -sf -o /dev/null "http://$(listening "$1")/standin/faults?$2"
}

# ask NODE PATH [CURL OPTIONS]: the status; headers and body in WORK.
ask() {
	local callers="callers_$1" path=$2
	shift 2
	curl -s -o "$WORK/body" -D "$WORK/head" -w '%{http_code}' -m 5 \
		-H "Host: $HOST" -H "Mulberryferry-Deadline-Ms: 3000" \
		-H "X-Extra: kept" "$@" "http://${!callers}$path"
}

key() {
	echo "Authorization: Bearer $1"
}

want() {
	local status
	status=$(ask "${@:2}")
	[ "$status" = "$1" ] || fail "${*:3}: status $status instead of $1," \
		"$(cat "$WORK/body")"
}

gives() {
	[ "$(ask "${@:2}")" = "$1" ]
}

start_platform_node() {
	local name=$1 dc=$2 l
	cat >"$WORK/$name.json" <<-END
	{
		"host": "$name", "data_centre": "$dc", "region": "test",
		"interface": "platform",
		"listen": {"callers": "127.0.0.1:0", "services": "127.0.0.1:0",
			"ready": "127.0.0.1:0", "nodes": "127.0.0.1:0",
			"admin": "127.0.0.1:0"},
		"upstream": {"service": "front"},
		"store": {"kind": "platform", "address": "$STORE",
			"calls_per_second": 100},
		"promises": ["revoke_s=2", "drain_s=2", "grace_s=6",
			"budget_ratio=0.2", "not_known=1"]
	}
	END
	run_node "$name" "$BIN" node --settings "$WORK/$name.json"
	wait_for 10 grep -q event=listening "$WORK/$name.log" ||
		fail "$name did not start: $(cat "$WORK/$name.log")"
	for l in callers services nodes admin ready; do
		eval "${l}_$name=$(field "$WORK/$name.log" listening $l)"
	done
}

start_platform_upstream() {
	local services="services_$2"
	run "$1" "$TOOLS/platform_upstream" --listen 127.0.0.1:0 \
		--node "${!services}" --service "$3" --instance "$1" \
		--work-ms "${4:-5}"
	wait_for 5 test -s "$WORK/$1.out" || fail "$1 did not start"
}

run store "$TOOLS/platform_store"
wait_for 5 test -s "$WORK/store.out" || fail "store did not start"
STORE=$(listening store)
start_platform_node a1 a
start_platform_node b1 b
want 503 a1 /r/1 -H "$(key key-1)"
grep -qi "^retry-after" "$WORK/head" || fail "no time to come back"
put_document 3 one '"key-1","key-2"'
start_platform_upstream u1 a1 one
start_platform_upstream u2 b1 two
wait_for 10 gives 200 a1 /r/1 -H "$(key key-1)" || fail "a1 does not serve"
wait_for 10 gives 200 b1 /r/1 -H "$(key key-1)" || fail "b1 does not serve"
echo "ok the document is in force, and nodes found each other"

want 200 b1 "/r/2?x=%2F" -H "$(key key-1)" \
	-H "Mulberryferry-Attempt-Id: 9c41d07be2a35f68" \
	-H "Mulberryferry-Tenant: forged" \
	-H "Mulberryferry-Caller-Service: forged"
grep -q "^ran /r/2?x=%2F" "$WORK/body" || fail "body $(cat "$WORK/body")"
grep -qi "^mulberryferry-response-signature: 1.2" "$WORK/head" ||
	fail "no signature"
line=$(grep "9c41d07be2a35f68" "$WORK/u1.out")
for want in "mulberryferry-tenant=acc" "authorization=-" "host=$HOST" \
	"mulberryferry-caller-service=front" "x-extra=kept" \
	"mulberryferry-expected-instance=u1"; do
	[[ $line == *" $want"* ]] || fail "$want is not in $line"
done
want 200 a1 /r/3 -H "$(key key-1)" -H "Transfer-Encoding: chunked" -d abc
grep -q "run POST /r/3 body=3" "$WORK/u1.out" || fail "chunks"
echo "ok a request reaches its upstream as it was sent, and nothing forged"

want 401 a1 /r/4 -H "$(key unknown)"
want 401 a1 /r/4
want 404 a1 /none/4 -H "$(key key-1)"
want 200 a1 /open/4
ask a1 /r/5 -H "$(key key-few)" >/dev/null
for ((i = 0; i < 20; i++)); do
	status=$(ask a1 /r/5 -H "$(key key-few)")
	[ "$status" = 429 ] && break
done
[ "$status" = 429 ] || fail "an account is not held to its rate"
echo "ok keys, routes and rates"

start_platform_upstream slow b1 one 1500
wait_for 10 grep -q "service=one.*slots=16" "$WORK/b1.log"
for ((i = 0; i < 50; i++)); do
	ask b1 /r/6 -H "$(key key-1)" -H "Mulberryferry-Attempt-Id: root$i" \
		>/dev/null &
	asker=$!
	wait_for 5 grep -q "root$i " "$WORK/u1.out" "$WORK/slow.out"
	grep -q "root$i " "$WORK/slow.out" && break
	wait "$asker"
done
# It ends with its parent, which began earlier and takes as long.
want 504 b1 /open/6 -H "Mulberryferry-Attempt-Id: root$i.child"
wait "$asker"
wait_for 5 grep -qs "request=root$i.child root=root$i " "$WORK/b1.log" ||
	fail "a sub-call is not known as one: $(grep "root$i" "$WORK"/*.log)"
grep "root$i.child" "$WORK"/u1.out "$WORK"/slow.out | grep -q "tenant=-" ||
	fail "a sub-call tells an account"
echo "ok a sub-call inherits from the request that makes it, and ends with it"

upstream_fault u1 unsigned=1
upstream_fault slow unsigned=1
want 502 a1 /once/7 -X POST -H "$(key key-1)" \
	-H "Mulberryferry-Attempt-Id: once7"
[ "$(cat "$WORK"/u1.out "$WORK"/slow.out | grep -c once7)" = 1 ] ||
	fail "what may run once was sent again"
upstream_fault u1 "unsigned=0&full=1"
upstream_fault slow "unsigned=0&full=1"
want 503 a1 /once/8 -X POST -H "$(key key-1)"
grep -qi "^retry-after" "$WORK/head" || fail "no time to come back"
upstream_fault u1 full=0
upstream_fault slow full=0
echo "ok no success without proof, and 503 only for what did not run"

kill -HUP "$pid_a1"
wait_for 5 grep -q event=reloaded "$WORK/a1.log" || fail "no reload"
want 200 a1 /r/9 -H "$(key key-1)"
echo "ok a reload cuts nothing"

put_document 9 two '"key-2"'
wait_for 2 gives 401 a1 /r/10 -H "$(key key-1)" || fail "a1 takes a dead key"
wait_for 2 gives 401 b1 /r/10 -H "$(key key-1)" || fail "b1 takes a dead key"
want 200 a1 /r/10 -H "$(key key-2)"
put_document 4 one '"key-1"'
sleep 1.5
want 401 a1 /r/11 -H "$(key key-1)"
grep "/r/11" "$WORK/u1.out" && fail "an older document came back"
echo "ok a new document is in force in seconds, and an older one never"

put_document 10 two '"key-2"'
wait_for 4 gives 200 a1 /r/12 -H "$(key key-2)" || fail "no way on"
wait_for 4 gives 200 b1 /r/12 -H "$(key key-2)" || fail "no way on"
store_fault silent=1
wait_for 6 gives 503 a1 /r/12 -H "$(key key-2)" ||
	fail "a key is taken without proof"
wait_for 6 gives 503 b1 /r/12 -H "$(key key-2)" || fail "b1 has no proof"
[ "$(curl -s -o /dev/null -w '%{http_code}' \
	"http://$ready_a1/mulberryferry/ready")" = 503 ] || fail "still ready: $(curl -s -i "http://$ready_a1/mulberryferry/ready")"
want 200 a1 /open/12
store_fault silent=0
wait_for 6 gives 200 a1 /r/13 -H "$(key key-2)" || fail "a1 did not recover"
[ "$(curl -s -o /dev/null -w '%{http_code}' \
	"http://$ready_a1/mulberryferry/ready")" = 200 ] || fail "not ready"
echo "ok without the store no key is taken for long, and calls go on"

upstream_fault u2 draining=1
wait_for 5 grep -q event=upstream-leaving "$WORK/b1.log" || fail "no leaving"
sleep 2
want 503 a1 /r/14 -H "$(key key-2)"
upstream_fault u2 draining=0
wait_for 5 gives 200 a1 /r/15 -H "$(key key-2)" || fail "u2 did not stay"
echo "ok a leaving upstream gets nothing new"
echo "platform passed"
