#!/usr/bin/env bash
# Runs a node and an upstream in each of two regions, with routes and accounts
# that have home regions, and suspends the processes of one region, which is
# then out of reach for the other. Guards against requests that leave their
# home regions: as first attempts, as retries, as sub-calls, and when only the
# other region is left.
cd "$(dirname "$0")/.."
. test/harness.bash
. test/platform.bash

# home_document VERSION MOVED: prints a configuration in which the home region
# of the route moved is MOVED.
home_document() {
	local row='"safe",2,0.5,2'
	cat <<-END
	{"version": $1, "routes": {"columns": ["name", "host", "prefix",
	"route_kind", "timeout_s", "target_latency_s", "priority", "service",
	"max_attempts", "allow_anonymous", "allowed_regions"], "rows": [
	["r", "$HOST", "/r/", $row, "one", 2, false, null],
	["east", "$HOST", "/east/", $row, "one", 3, false, ["east"]],
	["west", "$HOST", "/west/", $row, "one", 3, false, ["west"]],
	["both", "$HOST", "/both/", $row, "one", 3, false, ["east", "west"]],
	["moved", "$HOST", "/moved/", $row, "one", 2, false, $2],
	["long", "$HOST", "/long/", $row, "slow", 2, false, null],
	["open", "$HOST", "/open/", $row, "one", 2, true, null]]},
	"services": {"columns": ["name", "max_connections"],
	"rows": [["one", 64], ["slow", 64]]},
	"tenants": {"columns": ["name", "api_keys", "priority", "rate_per_s",
	"burst", "allowed_regions"], "rows": [
	["any", ["key-1"], 1, 1000, 200, null],
	["at-home", ["key-east"], 1, 1000, 200, ["east"]],
	["abroad", ["key-west"], 1, 1000, 200, ["west"]]]}}
	END
}

put_home_document() {
	home_document "$@" | curl -sf -o /dev/null -X PUT --data-binary @- \
		"http://$STORE/standin/document" || fail "document $1"
}

# ran UPSTREAM PATTERN: prints how many matching requests an upstream ran.
ran() {
	grep "^run" "$WORK/$1.out" | grep -c -- "$2"
}

# ran_only UPSTREAM OTHER COUNT PATTERN
ran_only() {
	[ "$(ran "$2" "$4")" = 0 ] || fail "$4 ran outside its home regions"
	[ "$(ran "$1" "$4")" -ge "$3" ] || fail "$4 ran less than $3 times"
}

start_platform_store
REGION=east start_platform_node e1 a
REGION=west start_platform_node w1 b
put_home_document 3 null
start_platform_upstream u-e e1 one 5
start_platform_upstream u-slow e1 slow 1500
start_platform_upstream u-w w1 one 5
for n in e1 w1; do
	for path in /r/0 /east/0 /west/0; do
		wait_for 15 status_is 200 $n $path -H "$(key key-1)" ||
			fail "$n does not serve $path"
	done
	for key in key-east key-west; do
		wait_for 15 status_is 200 $n /r/0 -H "$(key $key)" ||
			fail "$n does not serve $key"
	done
done

for ((i = 0; i < 20; i++)); do
	expect 200 w1 "/east/a$i" -H "$(key key-1)"
	expect 200 e1 "/west/a$i" -H "$(key key-1)"
	expect 200 w1 "/r/home$i" -H "$(key key-east)"
	expect 200 e1 "/r/abroad$i" -H "$(key key-west)"
	expect 200 w1 "/both/east$i" -H "$(key key-east)"
done
ran_only u-e u-w 20 "/east/a"
ran_only u-w u-e 20 "/west/a"
ran_only u-e u-w 20 "/r/home"
ran_only u-w u-e 20 "/r/abroad"
ran_only u-e u-w 20 "/both/east"
echo "ok requests stay in the home regions of route, of account and of both"

for n in e1 w1; do
	expect 503 $n /east/none -H "$(key key-west)" \
		-H "Mulberryferry-Attempt-Id: none-$n"
	grep -q '"no-home-upstream"' "$WORK/body" ||
		fail "reason: $(cat "$WORK/body")"
	grep -q '"not-run"' "$WORK/body" || fail "outcome: $(cat "$WORK/body")"
	grep -qi "^retry-after" "$WORK/head" || fail "no Retry-After header"
	admin=admin_$n
	"$BIN" explain --admin "${!admin}" "none-$n" >"$WORK/explained" ||
		fail "explain: $(cat "$WORK/explained")"
	grep -q "no-home-upstream" "$WORK/explained" ||
		fail "explain names no reason: $(cat "$WORK/explained")"
	grep -q "none-$n .*inputs=\"route=east account=west\"" \
		"$WORK/$n.log" || fail "no regions in the log"
done
ran_only u-e u-w 0 "/east/none"
ran_only u-w u-e 0 "/east/none"
echo "ok a request without a region in common is rejected as not run"

request w1 /long/b -H "$(key key-east)" \
	-H "Mulberryferry-Attempt-Id: rootb" >/dev/null &
root_pid=$!
wait_for 5 grep -q "rootb " "$WORK/u-slow.out" || fail "rootb did not start"
for ((i = 0; i < 20; i++)); do
	expect 200 e1 "/open/sub$i" -H "Mulberryferry-Attempt-Id: rootb.c$i"
done
wait "$root_pid"
ran_only u-e u-w 20 "/open/sub"
echo "ok sub-calls stay in the home regions of their root's account"

kill -STOP "$pid_e1" "$pid_u_e" "$pid_u_slow"
for ((i = 0; i < 8; i++)); do
	status=$(request w1 "/east/cut$i" -H "$(key key-1)")
	[ "$status" = 200 ] && fail "/east/cut$i was served"
done
wait_for 15 status_is 200 w1 /r/cut -H "$(key key-1)" ||
	fail "the west does not serve without the east"
wait_for 30 status_is 503 w1 /east/gone -H "$(key key-1)" ||
	fail "status $(cat "$WORK/head")"
grep -q '"no-home-upstream"' "$WORK/body" || fail "$(cat "$WORK/body")"
ran_only u-w u-e 0 "/east/\(cut\|gone\)"
[ "$(ran u-w '/east/')" = 0 ] || fail "the west ran a request of the east"
kill -CONT "$pid_e1" "$pid_u_e" "$pid_u_slow"
wait_for 30 status_is 200 w1 /east/back -H "$(key key-1)" ||
	fail "the east is not used after the cut"
echo "ok a region that is out of reach is not replaced by another"

kill -STOP "$pid_w1" "$pid_u_w"
wait_for 15 status_is 200 e1 /east/alone -H "$(key key-1)" ||
	fail "the east does not serve alone"
status=$(request e1 /west/alone -H "$(key key-1)")
[ "$status" = 200 ] && fail "/west/alone was served"
[ "$(ran u-e '/west/')" = 0 ] || fail "the east ran a request of the west"
kill -CONT "$pid_w1" "$pid_u_w"
wait_for 30 status_is 200 e1 /west/back -H "$(key key-1)" ||
	fail "the west is not used after the cut"
echo "ok each region serves alone what is at home there"

put_home_document 4 '["east"]'
sleep 2.5 # config_s
before=$(ran u-w /moved/)
for ((i = 0; i < 20; i++)); do
	expect 200 w1 "/moved/d$i" -H "$(key key-1)"
done
[ "$(ran u-w /moved/)" = "$before" ] || fail "changed home regions not applied"
put_home_document 5 '["west"]'
sleep 2.5
for ((i = 0; i < 20; i++)); do
	expect 200 e1 "/moved/e$i" -H "$(key key-1)"
done
[ "$(ran u-e /moved/e)" = 0 ] || fail "moved home regions not applied"
echo "ok changed home regions apply within 2.5 s"

put_home_document 6 '[]'
wait_for 5 grep -q "event=document-refused" "$WORK/e1.log" ||
	fail "an empty list of regions was accepted"
grep "event=document-refused" "$WORK/e1.log" | grep -q "moved" ||
	fail "the refusal does not name the route"
expect 200 e1 /moved/f -H "$(key key-1)"
[ "$(ran u-e /moved/f)" = 0 ] || fail "a refused document came into force"
echo "ok a document with an empty list is refused and names the route"

echo "home regions passed"
