#!/usr/bin/env bash
# Routes that were added, taken away and added again, or came with thousands of
# others, were answered with 404 by a host that had the document, or too late.
cd "$(dirname "$0")/.."
. test/harness.bash
. test/platform.bash

CONFIG_MS=2000 # until a change is in force
ROUTES=7000

# extra_route NAME PREFIX: prints a row for EXTRA_ROUTES.
extra_route() {
	printf ',["%s","%s","%s","safe",2,0.5,2,"one",2,false]' "$1" $HOST "$2"
}

# everywhere STATUS PATH: succeeds if both nodes answer with the status.
everywhere() {
	status_is "$1" a1 "$2" -H "$(key key-1)" &&
		status_is "$1" b1 "$2" -H "$(key key-1)"
}

# in_force STATUS PATH WHAT: fails unless that is so in time.
in_force() {
	local start took
	start=$(now_ms)
	wait_for 30 everywhere "$1" "$2" || fail "$3: not in half a minute"
	took=$(($(now_ms) - start))
	[ $took -le $CONFIG_MS ] || fail "$3 after $took ms"
	echo "ok $3 after $took ms"
}

start_two_hosts
version=4
for round in 1 2 3; do
	EXTRA_ROUTES=$(extra_route added /added/)
	put_document $((version++)) one '"key-1"'
	in_force 200 /added/x "round $round: a route is added"
	EXTRA_ROUTES=
	put_document $((version++)) one '"key-1"'
	in_force 404 /added/x "round $round: it is taken away"
done

EXTRA_ROUTES=$(for i in $(seq $ROUTES); do
	extra_route "many-$i" "/many-$((i % 97))/$i/"
done)
put_document $((version++)) one '"key-1"'
in_force 200 "/many-$((ROUTES % 97))/$ROUTES/x" "$ROUTES routes are added"
put_document $((version++)) one '"key-1","key-2"'
EXTRA_ROUTES=
put_document $((version++)) one '"key-1"'
in_force 404 "/many-1/1/x" "they are taken away"
echo "config routes passed"
