#!/usr/bin/env bash
# The store came back from a copy that was older than the secret of links, the
# seeds and a change: the change was passed over, and nodes from before and
# after could not talk to each other. Prints how long each took to be mended.
cd "$(dirname "$0")/.."
. test/harness.bash
. test/platform.bash

CONFIG_S=2  # until a change is in force
REVOKE_S=5  # until a withdrawn key stops
SERVES_S=10 # until a process started after the restore serves

# seconds COMMAND...: prints how long it takes until the command succeeds;
# fails after a minute.
seconds() {
	local start
	start=$(now_ms)
	wait_for 60 "$@" || return 1
	awk -v ms=$(($(now_ms) - start)) 'BEGIN {printf "%.1f", ms / 1000}'
}

# at_most SECONDS LIMIT WHAT: fails if SECONDS is more than LIMIT.
at_most() {
	awk -v s="$1" -v l="$2" 'BEGIN {exit !(s != "" && s <= l)}' ||
		fail "$3 after ${1:-more than 60} s instead of $2"
	echo "ok $3 after $1 s"
}

# refused_everywhere KEY NODE...: succeeds if every node refuses the key.
refused_everywhere() {
	local key=$1 n
	shift
	for n in "$@"; do
		status_is 401 "$n" /r/k -H "$(key "$key")" || return 1
	done
}

# in_use_everywhere KEY NODE...: succeeds if every node accepts the key.
in_use_everywhere() {
	local key=$1 n
	shift
	for n in "$@"; do
		status_is 200 "$n" /r/k -H "$(key "$key")" || return 1
	done
}

# ran_on UPSTREAM NODE: succeeds once a request of NODE ran on UPSTREAM.
ran_on() {
	local id="probe-$1-$2-$((PROBES++))"
	request "$2" /open/x -H "Mulberryferry-Attempt-Id: $id" >/dev/null
	grep -q "$id " "$WORK/$1.out"
}
PROBES=0

# standin ACTION: has the store take a copy (save) or go back to it (restore).
standin() {
	curl -sf -o /dev/null "http://$STORE/standin/$1" || fail "$1"
}

start_platform_store
standin save
start_platform_node a1 a
start_platform_node b1 b
put_document 3 one '"key-1"'
start_platform_upstream u1 a1 one
start_platform_upstream u2 b1 one
for n in a1 b1; do
	wait_for 15 status_is 200 $n /r/0 -H "$(key key-1)" ||
		fail "$n does not serve"
done
for i in 4 5 6; do
	put_document $i one '"key-1"'
done
put_document 9 one '"key-1","key-2"'
wait_for 4 in_use_everywhere key-2 a1 b1 || fail "9 is not in force"

standin restore
put_document 9 one '"key-1","key-2"'
put_document 12 one '"key-1","key-3"'
at_most "$(seconds in_use_everywhere key-3 a1 b1)" $CONFIG_S \
	"a change after the restore is in force"
at_most "$(seconds refused_everywhere key-2 a1 b1)" $REVOKE_S \
	"a key withdrawn after the restore stops"
grep -q "event=store-replaced.* former_era=1 era=2" "$WORK"/[ab]1.log ||
	fail "no event=store-replaced"

start_platform_node c1 c
at_most "$(seconds in_use_everywhere key-1 c1)" $SERVES_S \
	"a process started after the restore serves"
for up in u1 u2; do
	wait_for 20 ran_on $up c1 || fail "c1 does not reach $up"
done
echo "ok processes from before and after the restore reach each other"

standin save
for v in 20 24 28; do
	put_document $v one "\"key-1\",\"key-$v\""
	wait_for 4 in_use_everywhere key-$v a1 b1 c1 || fail "$v is not in force"
	standin restore
	put_document $v one "\"key-1\",\"key-$v\""
	put_document $((v + 1)) one "\"key-1\",\"key-$((v + 1))\""
	at_most "$(seconds in_use_everywhere key-$((v + 1)) a1 b1 c1)" \
		$CONFIG_S "change $((v + 1)) is in force"
	at_most "$(seconds refused_everywhere key-$v a1 b1 c1)" $REVOKE_S \
		"the key of change $v stops"
done
# A process that is killed and started again beside the copy must not have the
# older version in force.
standin save
put_document 40 one '"key-1","key-40"'
wait_for 4 in_use_everywhere key-40 a1 b1 c1 || fail "40 is not in force"
standin restore
kill -KILL "$pid_c1"
start_platform_node d1 c
wait_for 10 grep -q event=config-in-force "$WORK/d1.log" ||
	fail "d1 has no configuration"
first=$(field "$WORK/d1.log" config-in-force number)
[ "$first" = 40 ] || fail "version $first came into force before 40"
echo "ok a process started beside an older copy never had it in force"
put_document 40 one '"key-1","key-40"'
at_most "$(seconds in_use_everywhere key-40 d1)" $SERVES_S \
	"it serves once the version was written again,"
echo "store restore passed"
