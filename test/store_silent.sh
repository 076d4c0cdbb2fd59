#!/usr/bin/env bash
# The open connections of all nodes to the store went silent, without a reset,
# and a key was withdrawn: reads waited on one dead connection after another,
# and the key was served long past the time in which changes are in force.
cd "$(dirname "$0")/.."
. test/harness.bash
. test/platform.bash

CONFIG_MS=2000 # until a change is in force
ROUNDS=6

# refused_everywhere KEY: succeeds if both nodes refuse the key.
refused_everywhere() {
	status_is 401 a1 /r/k -H "$(key "$1")" &&
		status_is 401 b1 /r/k -H "$(key "$1")"
}

served_everywhere() {
	status_is 200 a1 /r/k -H "$(key "$1")" &&
		status_is 200 b1 /r/k -H "$(key "$1")"
}

start_platform_store
REAL_STORE=$STORE
run proxy "$TOOLS/proxy" --to "$REAL_STORE"
wait_for 5 test -s "$WORK/proxy.out" || fail "proxy did not start"
STORE=$(listening proxy)
start_platform_node a1 a
start_platform_node b1 b
STORE=$REAL_STORE
put_document 3 one '"key-1"'
start_platform_upstream u1 a1 one
start_platform_upstream u2 b1 one
wait_for 15 served_everywhere key-1 || fail "nodes do not serve"

version=4
silencer=
for round in $(seq $ROUNDS); do
	put_document $version one "\"key-1\",\"key-$round-x\""
	wait_for 10 served_everywhere "key-$round-x" ||
		fail "version $version is not in force"
	# Changes come at different times after the last read of the store.
	sleep "0.$((round * 2 % 10))5"
	kill -USR1 "$pid_proxy"
	# In every other round connections go silent twice more.
	if ((round % 2 == 0)); then
		{
			sleep "0.$((round * 2 % 10))5"
			kill -USR1 "$pid_proxy"
			sleep 0.6
			kill -USR1 "$pid_proxy"
		} &
		silencer=$!
	fi
	sleep 0.05
	put_document $((version + 1)) one '"key-1"'
	start=$(now_ms)
	wait_for 30 refused_everywhere "key-$round-x" ||
		fail "a withdrawn key is served for half a minute"
	took=$(($(now_ms) - start))
	[ $took -le $CONFIG_MS ] || fail "round $round: a withdrawn key" \
		"stopped after $took ms instead of $CONFIG_MS"
	echo "ok round $round: a withdrawn key stopped after $took ms"
	version=$((version + 2))
	[ -z "$silencer" ] || wait "$silencer"
	silencer=
done
