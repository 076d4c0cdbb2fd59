#!/usr/bin/env bash
# Tests release notes with real processes: lost responses of the store, a store
# outage, a slow store, a killed, a suspended and a new node, and two operators
# at once.
. "$(dirname "$0")/harness.bash"
BIN=$BUILD/mulberryferry-san

note() { # RELEASE AFTER RATE: writes WORK/RELEASE.json
	cat >"$WORK/$1.json" <<-JSON
	{"release": "$1", "after": $2, "changed": {"accounts": [
		{"name": "port", "rate": $3}]}}
	JSON
}

logged_in_force() { # NODE NUMBER: the node logged the note as in force
	grep -q "event=config-in-force number=$2 " "$WORK/$1.log"
}

in_force() { # NUMBER NODES...: waits until the note is in force on the nodes
	local number=$1 n
	shift
	for n in "$@"; do
		wait_for 20 logged_in_force "$n" "$number" ||
			fail "note $number is not in force on $n"
	done
}

start_store
for n in a1 a2; do start_node $n east; done
for n in b1 b2; do start_node $n west; done

cat >"$WORK/first.json" <<JSON
{"release": "first", "added": {"accounts": [
	{"name": "port", "rate": 10, "burst": 5}]}}
JSON
apply_note a1 "$WORK/first.json"
in_force 1 a1 a2 b1 b2
echo "ok in force on all nodes"

note lost 1 11
faults lose_percent=100
apply_note b2 "$WORK/lost.json"
faults lose_percent=0
in_force 2 a1 a2 b1 b2
apply_note a1 "$WORK/lost.json"
! logged_in_force a1 3 || fail "a repeated note was numbered as note 3"
echo "ok a lost store response is resolved, and a repeated note recognised"

kill -KILL "$pid_a2"
kill -STOP "$pid_b1"
note paused 2 12
apply_note a1 "$WORK/paused.json"
in_force 3 a1 b2
! logged_in_force b1 3 || fail "b1 is not suspended"
faults down=1
start_node a3 east
in_force 3 a3
wait_for 10 ready a3 || fail "a3 is not ready"
echo "ok a new node starts from its peers during a store outage"

note out 3 13
"$BIN" note apply --admin "$admin_a1" "$WORK/out.json" \
	>"$WORK/apply.out" 2>&1 && fail "a note was accepted without a store"
grep -q "nothing was written" "$WORK/apply.out" ||
	fail "no message that nothing was written: $(cat "$WORK/apply.out")"
kill -CONT "$pid_b1"
in_force 3 b1
echo "ok a resumed node gets the note from peers, no note is written"

faults "down=0&latency_ms=300"
apply_note a1 "$WORK/out.json"
in_force 4 a1 a3 b1 b2
faults latency_ms=0
echo "ok a slow store"

note left 4 14
note right 4 15
"$BIN" note apply --admin "$admin_a1" "$WORK/left.json" \
	>"$WORK/left.out" 2>&1 &
left=$!
"$BIN" note apply --admin "$admin_b1" "$WORK/right.json" \
	>"$WORK/right.out" 2>&1
right=$?
wait $left
left=$?
case $left$right in
03) loser=right ;;
30) loser=left ;;
*) fail "two operators at once ended with $left and $right" ;;
esac
grep -q "touches accounts port" "$WORK/$loser.out" ||
	fail "the conflict is not named: $(cat "$WORK/$loser.out")"
in_force 5 a1 a3 b1 b2
echo "ok two operators at once: one conflict, which names the account"

for n in a1 a3 b1 b2; do
	grep -o "event=config-in-force number=[0-9]*" "$WORK/$n.log" |
		cut -d = -f 3 >"$WORK/$n.numbers"
	sort -nu "$WORK/$n.numbers" | cmp -s - "$WORK/$n.numbers" ||
		fail "numbers of $n fell: $(tr '\n' ' ' <"$WORK/$n.numbers")"
	grep -q "Sanitizer\|runtime error" "$WORK/$n.log" &&
		fail "$n: $(grep -A9 'Sanitizer\|runtime error' "$WORK/$n.log")"
done
echo "ok note numbers never decreased"
echo "notes passed"
