#!/usr/bin/env bash
# A new upstream got the full load while it was cold, crashed, and so on: it must
# get its cold rate, also if its node is killed, and all of its load when warm.
cd "$(dirname "$0")/.."
. test/harness.bash
. test/platform.bash

COLD_MS=3000
COLD_PER_S=5.4
ALLOWED=16 # in a second: one and a half times the rate, and 8
COLD_COLUMNS=', "cold_start_s", "cold_per_s"'
COLD_VALUES=", 3, $COLD_PER_S"
MORE_PROMISES=', "cold_overshoot=1.5", "cold_slack=8"'

# most_in_window: prints the most of the times read in one second.
most_in_window() {
	sort -n | awk '{t[NR] = $1; while ($1 - t[first + 1] > 1000) first++
		if (NR - first > most) most = NR - first} END {print most + 0}'
}

# cold_since UPSTREAM: prints when it last became cold.
cold_since() {
	sed -n 's/^cold at_ms=//p' "$WORK/$1.out" | tail -n 1
}

# check_cold UPSTREAM FROM_MS: fails if the upstream got too many requests or
# crashed between FROM_MS and the end of its cold period.
check_cold() {
	local most end=$(($(cold_since "$1") + COLD_MS))
	most=$(runs "$1" "$2" | awk -v e=$end '$1 < e' | most_in_window)
	[ "$most" -le $ALLOWED ] || fail "$1 got $most in a second"
	grep -q "^crash" "$WORK/$1.out" && fail "$1 crashed"
	echo "ok $1 got at most $most in a second while cold, allowed $ALLOWED"
}

# start_cold NAME NODE: starts a cold upstream.
start_cold() {
	start_platform_upstream "$1" "$2" one 10 --cold-ms $COLD_MS \
		--cold-per-s $COLD_PER_S --crash-on crashing
}

# turn_cold UPSTREAM NODE: makes it cold and waits until its node knows.
turn_cold() {
	local pid="pid_$1" log="$WORK/$2.log" count
	count=$(grep -c event=upstream-cold "$log")
	kill -USR1 "${!pid}"
	wait_for 3 cold_events_above "$log" "$count" ||
		fail "$2 has no event=upstream-cold"
}

cold_events_above() {
	[ "$(grep -c event=upstream-cold "$1")" -gt "$2" ]
}

# is_over UPSTREAM: succeeds if its cold period is over.
is_over() {
	[ "$(now_ms)" -gt $(($(cold_since "$1") + COLD_MS + 500)) ]
}

# warm_since NODE: succeeds if its upstream was cold and is warm.
warm_since() {
	grep -q "event=upstream-warm service=one" "$WORK/$1.log"
}

start_platform_store
start_platform_node a1 a
start_platform_node b1 b
put_document 3 one '"key-1"'
wait_for 10 grep -q "event=config-in-force number=3" "$WORK/a1.log"
wait_for 10 grep -q "event=config-in-force number=3" "$WORK/b1.log"

load 5 &
load=$!
sleep 0.5
start_cold u1 a1
start_cold u2 b1
wait $load
check_cold u1 0
check_cold u2 0
warm_since a1 || fail "no event=upstream-warm"
: >"$WORK/statuses"
load 3
[ "$(served_share)" -ge 90 ] || fail "$(served_share) % are served when warm"
echo "ok $(served_share) % are served once all upstreams are warm"

: >"$WORK/statuses"
load 3 &
load=$!
sleep 0.5
turn_cold u1 a1
heard=$(now_ms)
wait $load
check_cold u1 "$heard"
[ "$(served_share)" -ge 95 ] || fail "$(served_share) % are served beside u1"
echo "ok $(served_share) % are served while one upstream is cold again"

# The next process of the node does not know what the killed one has sent.
wait_for 5 is_over u1
load 4 &
load=$!
sleep 0.5
for l in callers services nodes admin ready; do
	var="${l}_a1"
	sed -i "s/\"$l\": \"127.0.0.1:0\"/\"$l\": \"${!var}\"/" "$WORK/a1.json"
done
turn_cold u1 a1
heard=$(now_ms)
sleep 0.4
kill -KILL "$pid_a1"
run_node a1 "$BIN" node --settings "$WORK/a1.json"
wait_for 5 grep -q event=upstream-cold "$WORK/a1.log" ||
	fail "the new process does not know that its upstream is cold"
wait $load
check_cold u1 "$heard"

# A cold upstream may crash by its load: that must not refuse its requests.
wait_for 5 is_over u1
turn_cold u1 a1
turn_cold u2 b1
for i in 1 2 3; do
	request a1 /r/crashing -H "$(key key-1)" >/dev/null
done
cat "$WORK"/u?.out | grep -q "^crash" || fail "no upstream crashed"
wait_for 3 grep -qs event=upstream-ended "$WORK/a1.log" "$WORK/b1.log" ||
	fail "no event=upstream-ended"
grep -q event=poison-suspect "$WORK"/?1.log &&
	fail "the end of a cold upstream counts against a request"
echo "ok the end of a cold upstream is no evidence against a request"

echo "upstream cold passed"
