#!/usr/bin/env bash
# Tests nodes of two builds in one group: links, datagrams, members, account
# limits and claims between them, one store, and a rolling replacement of each
# build by the other under load.
#   OLD_BIN=... NEW_BIN=... bash test/mixed/mixed.sh
# Guards against a change of the protocols or of stored data that makes the two
# builds incompatible.
cd "$(dirname "$0")/../.."
. test/harness.bash
OLD_BIN=${OLD_BIN:?names the program of the earlier build}
NEW_BIN=${NEW_BIN:-$BUILD/mulberryferry}

NAMES=(a1 a2 b1 b2)
declare -A PROGRAM=([a1]=$OLD_BIN [a2]=$NEW_BIN [b1]=$OLD_BIN [b2]=$NEW_BIN)

start() { # NAME: starts the node with the program of its build
	BIN=${PROGRAM[$1]} start_node "$1" "${1%?}"
}

# restart NAME PROGRAM: starts the node with its earlier settings and addresses.
restart() {
	local name=$1 l var
	for l in callers services nodes admin; do
		var="${l}_$name"
		sed -i "s/\"$l\": \"127.0.0.1:0\"/\"$l\": \"${!var}\"/" \
			"$WORK/$name.json"
	done
	mv "$WORK/$name.log" "$WORK/$name.log.$RANDOM"
	run_node "$name" "$2" node --settings "$WORK/$name.json"
	wait_for 10 grep -q event=listening "$WORK/$name.log" ||
		fail "$name did not start again: $(cat "$WORK/$name.log")"
	wait_for 20 ready "$name" || fail "$name has no configuration"
}

callers() { # NAME: prints the node's address for callers
	local var="callers_$1"
	echo "${!var}"
}

# load NAME SECONDS TARGET...: runs a load without retries in the background.
load() {
	local name=$1 seconds=$2 to
	shift 2
	to=$(printf '"%s",' "$@")
	cat >"$WORK/$name.plan" <<-END
	{"to": [${to%,}], "seconds": $seconds, "seed": 1, "streams": [
		{"name": "read", "key": "one", "method": "GET",
		 "path": "/read", "rate": 60, "deadline_ms": 10000,
		 "retries": 0},
		{"name": "issue", "key": "one", "method": "POST",
		 "path": "/issue", "rate": 10, "deadline_ms": 10000,
		 "retries": 0, "once": true}]}
	END
	run "$name" "$TOOLS/caller" "$WORK/$name.plan"
}

# tally NAME KEY: prints a total from the report of a load.
tally() {
	sed -n "s/^stream=total .*\b$2=\([0-9]*\).*/\1/p" "$WORK/$1.out"
}

one=(-H "Authorization: Bearer one")
done_at() { # NODE PATH: succeeds if the outcome of the call is done
	call "$1" GET "$2" "${one[@]}" | grep -qi "outcome: done"
}

issue() { # NODE KEY: sends a once-only request; prints the response
	call "$1" POST /issue "${one[@]}" -H "Idempotency-Key: $2" -d x
}

issued() { issue "$1" "$2" | grep -qi "outcome: done"; }

runs_of() { # KEY: prints how often it ran, over all upstreams of service back
	local n sum=0
	for m in "${NAMES[@]}"; do
		n=$(counts "up-$m" "$1")
		sum=$((sum + ${n:-0}))
	done
	echo $sum
}

alive() { # NODE NUMBER: succeeds if it lists at least NUMBER alive members
	[ "$(admin "$1" GET /v1/status | grep -o '"alive"' | wc -l)" -ge "$2" ]
}

start_store
for n in "${NAMES[@]}"; do
	start "$n"
done
{
	echo '{"release": "first", "added": {"services": ['
	for n in "${NAMES[@]}"; do
		echo "{\"name\": \"at-$n\", \"retry_percent\": 100},"
	done
	echo '{"name": "back", "retry_percent": 100}], "routes": ['
	for n in "${NAMES[@]}"; do
		echo "{\"name\": \"at-$n\", \"method\": \"GET\", \"path\":
			\"/at-$n\", \"service\": \"at-$n\", \"shed\": \"last\",
			\"deadline_ms\": 5000, \"retries\": 1},"
	done
	cat <<-END
		{"name": "read", "method": "GET", "path": "/read",
		 "service": "back", "shed": "last", "deadline_ms": 10000,
		 "retries": 4},
		{"name": "issue", "method": "POST", "path": "/issue",
		 "service": "back", "shed": "last", "once": true,
		 "deadline_ms": 10000, "retries": 4}],
	"accounts": [{"name": "port", "rate": 5000, "burst": 5000},
		{"name": "small", "rate": 20, "burst": 20}],
	"keys": [{"id": "k1", "account": "port",
		"hash": "$(key_hash one)"},
		{"id": "k2", "account": "small",
		"hash": "$(key_hash two)"}]}}
	END
} >"$WORK/first.json"
BIN=$OLD_BIN apply_note a1 "$WORK/first.json"
for n in "${NAMES[@]}"; do
	wait_for 10 ready "$n" || fail "$n has no configuration"
	start_upstream "up-$n" "$n" back --slots 32 --connections 32 \
		--service-us 100000 --fixed
	start_upstream "own-$n" "$n" "at-$n" --slots 8 --connections 8 \
		--service-us 100 --fixed
done
cat >"$WORK/second.json" <<END
{"release": "second", "after": 1, "changed": {"accounts": [
	{"name": "port", "rate": 6000}]}}
END
BIN=$NEW_BIN apply_note b2 "$WORK/second.json" --wait 10
echo "ok notes applied by either build are in force on all nodes"

for entry in "${NAMES[@]}"; do
	wait_for 10 alive "$entry" 4 || fail "$entry does not see four members"
	for gate in "${NAMES[@]}"; do
		wait_for 10 done_at "$entry" "/at-$gate" ||
			fail "no answer through $entry and $gate"
	done
done
echo "ok calls through each pair of entry and gate, sixteen pairs"

for pair in a1:a2 a2:a1 b1:a2 b2:a1; do
	first=${pair%:*} second=${pair#*:} key=once-${pair/:/-}
	wait_for 10 issued "$first" "$key" || fail "$key: no answer"
	wait_for 10 issued "$second" "$key" || fail "$key: no repeat"
	[ "$(runs_of "$key")" = 1 ] || fail "$key ran $(runs_of "$key") times"
done
echo "ok a repeat at the other build gets the first answer, and runs once"

began=$(date +%s%N)
for n in "${NAMES[@]}"; do
	(
		for i in $(seq 60); do
			call "$n" GET "/at-$n" -H "Authorization: Bearer two" |
				grep -ci "outcome: done"
		done >"$WORK/small-$n"
	) &
	jobs_small+=($!)
done
wait "${jobs_small[@]}"
ms=$((($(date +%s%N) - began) / 1000000))
passed=$(cat "$WORK"/small-* | grep -c 1)
echo "small account: $passed of 240 in $ms ms, limit $((20 + 20 * ms / 1000))"
[ "$passed" -gt 0 ] || fail "the small account was never served"
[ "$passed" -le $((20 + 20 * ms / 1000)) ] || fail "account over its rate"
echo "ok an account stays within rate and burst over nodes of both builds"

load warm 5 $(for n in "${NAMES[@]}"; do callers "$n"; done)
wait "$pid_warm"
cut=0 jobs=0
# replace NAME PROGRAM: stops the node as planned under load and restarts it
# with PROGRAM. Adds to jobs and cut the requests sent and those cut, failed or
# unknown.
replace() {
	local n=$1 pid l m others=()
	for m in "${NAMES[@]}"; do
		[ "$m" = "$n" ] || others+=("$(callers "$m")")
	done
	load "others-$n" 8 "${others[@]}"
	load "self-$n" 1 "$(callers "$n")"
	sleep 1
	pid="pid_$n"
	kill -TERM "${!pid}"
	wait_for 60 grep -q event=stopped "$WORK/$n.log" || fail "$n hangs"
	wait "${!pid}"
	[ "$(field "$WORK/$n.log" stopped cut_calls)" = 0 ] ||
		fail "$n: $(grep event=stopped "$WORK/$n.log")"
	cut=$((cut + $(field "$WORK/$n.log" stopped cut_requests)))
	restart "$n" "$2"
	for l in "self-$n" "others-$n"; do
		pid="pid_${l//-/_}"
		wait "${!pid}" || fail "load: $(cat "$WORK/$l.log")"
		jobs=$((jobs + $(tally "$l" jobs)))
		cut=$((cut + $(tally "$l" failed) + $(tally "$l" unknown)))
	done
	wait_for 20 done_at "$n" /read || fail "$n does not serve again"
}
replace a1 "$NEW_BIN"
replace b1 "$NEW_BIN"
echo "ok old replaced by new: $jobs requests, $cut cut, failed or unknown"
replace a2 "$OLD_BIN"
replace b2 "$OLD_BIN"
echo "ok new replaced by old: $jobs requests in all, $cut cut"
[ "$cut" = 0 ] || fail "$cut requests cut, failed or unknown"

for n in "${NAMES[@]}"; do
	pid="pid_$n"
	kill -KILL "${!pid}"
	wait "${!pid}" 2>/dev/null
done
for n in "${NAMES[@]}"; do
	restart "$n" "$NEW_BIN"
	wait_for 20 done_at "$n" /read || fail "$n does not serve after all died"
done
for key in once-a1-a2 once-a2-a1; do
	wait_for 20 issued a1 "$key" || fail "$key: no answer from the store"
	[ "$(runs_of "$key")" = 1 ] || fail "$key ran $(runs_of "$key") times"
done
echo "ok all nodes new on what the store has of both builds"
grep -l "link-refused\|malformed" "$WORK"/*.log* && fail "a peer was refused"
echo "mixed passed"
