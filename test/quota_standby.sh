#!/usr/bin/env bash
# A host that held the tokens of its data centre's accounts died, and a third of
# their limits was gone until its slices were reclaimed by halves. The standby
# takes the slice, and neither a pause of the new holder nor its return lets
# the account exceed its limit.
cd "$(dirname "$0")/.."
. test/harness.bash

RATE=2 BURST=6
NAMES=(a1 a2 a3)

holder() { # prints the node that last logged the whole share
	local n
	for n in "${NAMES[@]}"; do
		grep -h 'event=account-share.* share=1.0000' "$WORK/$n.log" |
			tail -n 1 | sed "s/$/ node=$n/"
	done | sort -t T -k 1.5 | tail -n 1 | sed -n 's/.* node=//p'
}

has_holder() {
	[ -n "$(holder)" ]
}

holder_is_not() { # NODE
	[ "$(holder)" != "$1" ]
}

served() { # NODE: succeeds if the node answers a read
	call "$1" GET /read -H "Authorization: Bearer one" |
		grep -qi "outcome: done"
}

# requests SECONDS NODE...: sends reads to the nodes in turn, and adds what was
# served to SERVED.
requests() {
	local end=$((SECONDS + $1)) n
	shift
	while [ $SECONDS -lt $end ]; do
		for n in "$@"; do
			served "$n" && SERVED=$((SERVED + 1))
		done
	done
}

start_store
more=', "share_groups": 1, "share_hold_s": 60, "data_centres": ["a"]'
for n in "${NAMES[@]}"; do
	start_node "$n" a "$more"
done
cat >"$WORK/note.json" <<END
{"release": "first", "added": {
	"services": [{"name": "back"}],
	"routes": [{"name": "read", "method": "GET", "path": "/read",
		"service": "back", "deadline_ms": 5000}],
	"accounts": [{"name": "port", "rate": $RATE, "burst": $BURST}],
	"keys": [{"id": "k1", "account": "port",
		"hash": "$(key_hash one)"}]}}
END
apply_note a1 "$WORK/note.json"
for n in "${NAMES[@]}"; do
	wait_for 10 ready "$n" || fail "$n has no configuration"
	start_upstream "up-$n" "$n" back --slots 8
done
wait_for 20 has_holder || fail "no node holds the slice"
first=$(holder)
wait_for 20 served "$first" || fail "no answer"
sleep 1

pid="pid_$first"
kill -KILL "${!pid}"
begin=$SECONDS SERVED=0
wait_for 5 holder_is_not "$first" || fail "no standby took the slice"
second=$(holder)
for n in "${NAMES[@]}"; do
	[ "$n" = "$first" ] || [ "$n" = "$second" ] || third=$n
done
echo "ok $second took the slice of $first"
requests 5 "$third" "$second"
[ "$SERVED" -ge 5 ] || fail "$SERVED served in 5 s after the kill"

# The paused holder finds its lease at an end, and must not spend its tokens.
sleep 3
pid="pid_$second"
kill -STOP "${!pid}"
wait_for 5 holder_is_not "$second" || fail "no standby for the paused holder"
kill -CONT "${!pid}"
echo "ok $third took the slice of the paused $second"
requests 3 "$second" "$third"
bound=$((BURST + RATE * (SECONDS - begin + 1)))
echo "served $SERVED after the kill, bound $bound"
[ "$SERVED" -le "$bound" ] || fail "limit exceeded"
[ "$SERVED" -ge 9 ] || fail "too few served"
