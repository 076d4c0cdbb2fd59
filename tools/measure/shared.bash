#!/usr/bin/env bash
# Measures, with real processes, what nodes do together: the time until a
# release note or a key withdrawal is in force, account limits over all nodes,
# once-only requests, planned stops, and the cost of control traffic.
. "$(dirname "$0")/common.bash"

CENTRES=(aktau atyrau bautino kuryk)
DAY_S=86400
LIMITED_RATE=200
LIMITED_BURST=40
LOAD_SECONDS=6
ACCOUNT_RATES=(200 200 25 25 25 25 25 25)

# targets: prints the callers listeners of all nodes as a JSON list. Account
# limits over all nodes are exercised only if calls arrive at each of them.
targets() {
	local name var list=()
	for name in "${NODES[@]}"; do
		var="callers_${name//-/_}"
		list+=("\"${!var}\"")
	done
	(IFS=, && echo "${list[*]}")
}

# start_nodes_up_to N: starts nodes until there are N, spread evenly over the
# data centres.
start_nodes_up_to() {
	local i
	for ((i = ${#NODES[@]}; i < $1; i++)); do
		start_node "n$i" "${CENTRES[i % ${#CENTRES[@]}]}"
		NODES+=("n$i")
	done
	[ -n "${NOTE_APPLIED:-}" ] || return
	for i in "${NODES[@]}"; do
		wait_for 20 ready "$i" || fail "$i is not ready"
	done
}

write_note() {
	local i accounts= keys=
	for i in "${!ACCOUNT_RATES[@]}"; do
		accounts+="{\"name\": \"account-$i\", \"weight\": 1,
			\"rate\": ${ACCOUNT_RATES[i]},
			\"burst\": ${ACCOUNT_RATES[i]}},"
		keys+="{\"id\": \"k$i\", \"account\": \"account-$i\",
			\"hash\": \"$(key_hash "key-$i")\"},"
	done
	for i in $(seq "$RUNS"); do
		keys+="{\"id\": \"gone-$i\", \"account\": \"plenty\",
			\"hash\": \"$(key_hash "gone-$i")\"},"
	done
	cat >"$WORK/note.json" <<-END
	{"release": "measure", "added": {
		"services": [{"name": "back", "retry_percent": 10}],
		"routes": [
			{"name": "read", "method": "GET", "path": "/read",
			 "service": "back", "shed": "middle",
			 "deadline_ms": 1000, "retries": 1},
			{"name": "issue", "method": "POST", "path": "/issue",
			 "service": "back", "shed": "last", "once": true,
			 "deadline_ms": 2000, "retries": 1}],
		"accounts": [$accounts
			{"name": "big", "rate": $LIMITED_RATE, "weight": 1,
			 "burst": $LIMITED_BURST},
			{"name": "plenty", "rate": 5000, "burst": 5000,
			 "weight": 1}],
		"keys": [$keys
			{"id": "big", "account": "big",
			 "hash": "$(key_hash big)"},
			{"id": "plenty", "account": "plenty",
			 "hash": "$(key_hash plenty)"}]}}
	END
}

# seconds_of_day: prints the current UTC time of day, the clock of the logs.
seconds_of_day() {
	date -u +%H:%M:%S.%N | awk -F : '{ printf "%.3f", $1 * 3600 + $2 * 60 + $3 }'
}

# log_times PATTERN FILE...: prints the times of day, in seconds, of the log
# lines that match.
log_times() {
	local pattern=$1
	shift
	grep -h -- "$pattern" "$@" | sed 's/^[^T]*T\([^Z]*\)Z.*/\1/' |
		awk -F : '{ printf "%.3f\n", $1 * 3600 + $2 * 60 + $3 }'
}

# latest SINCE: reads times of day and prints the last one, in seconds after
# SINCE; 0 if none is later.
latest() {
	awk -v since="$1" -v day=$DAY_S '{
		d = $1 - since
		if (d < -day / 2) d += day
		if (d > last) last = d
	} END { printf "%.3f", last + 0 }'
}

node_logs() {
	local name
	for name in "${NODES[@]}"; do
		echo "$WORK/$name.log"
	done
}

note_count=0
# apply_small_note: applies a note that changes one account.
apply_small_note() {
	note_count=$((note_count + 1))
	echo "{\"release\": \"small-$note_count\", \"changed\": {\"accounts\":
		[{\"name\": \"plenty\", \"rate\": $((5000 + note_count))}]}}" \
		>"$WORK/small.json"
	apply_note "${NODES[note_count % ${#NODES[@]}]}" "$WORK/small.json"
}

in_force_everywhere() {
	[ "$(grep -l "event=config-in-force.* release=$1\b" $(node_logs) |
		wc -l)" = ${#NODES[@]} ]
}

# in_force: sets VALUE to the seconds from sending a note until it is in force
# at the last node.
in_force() {
	local since
	since=$(seconds_of_day)
	apply_small_note
	wait_for 30 in_force_everywhere "small-$note_count" ||
		fail "small-$note_count is not in force everywhere"
	VALUE=$(log_times "event=config-in-force.* release=small-$note_count\b" \
		$(node_logs) | latest "$since")
}

key_refused() {
	call "$1" GET /read -H "Authorization: Bearer $2" | grep -q bad-key
}

# withdrawal RUN: sets VALUE to the seconds from sending a note that withdraws a
# key until the last node refuses the key.
withdrawal() {
	local name since
	for name in "${NODES[@]}"; do
		! key_refused "$name" "gone-$1" ||
			fail "gone-$1 is refused before its withdrawal"
	done
	echo "{\"release\": \"gone-$1\", \"withdrawn\":
		{\"keys\": [\"gone-$1\"]}}" >"$WORK/gone.json"
	since=$(seconds_of_day)
	apply_note "${NODES[$1]}" "$WORK/gone.json"
	for name in "${NODES[@]}"; do
		wait_for 30 key_refused "$name" "gone-$1" ||
			fail "$name still accepts gone-$1"
	done
	VALUE=$(seconds_of_day | latest "$since")
}

# over_rate RUN: sends five times the rate of an account to all nodes while one
# of them is suspended for 2 s, and sets VALUE to the largest excess of placed
# requests over rate x window + burst, over all windows that end at a request.
# A request is logged in the millisecond in which it took its token; 1 ms is
# added to each interval, as a log time may be 1 ms early.
over_rate() {
	local since load paused=${NODES[$1]}
	since=$(seconds_of_day)
	load $LOAD_SECONDS "$1" "$WORK/over-$1" "$(stream big big /read \
		$((5 * LIMITED_RATE)) | sed 's/"retries": 2/"retries": 0/')" &
	load=$!
	sleep 2
	kill -STOP "$(pid_of "$paused")"
	sleep 2
	kill -CONT "$(pid_of "$paused")"
	wait $load || fail "load"
	VALUE=$(log_times 'event=placed.* account=big\b' $(node_logs) |
		awk -v since="$since" '$1 >= since' | sort -n |
		awk -v rate=$LIMITED_RATE -v burst=$LIMITED_BURST '
		NR > 1 { level -= rate * ($1 - last + .001) }
		{ if (level < 0) level = 0
		  level++
		  if (level - burst > most) most = level - burst
		  last = $1 }
		END { if (!NR) exit 1; printf "%d", most }') ||
		fail "nothing was placed"
}

pid_of() {
	local var=pid_${1//-/_}
	echo "${!var}"
}

# refused_within_rate RUN: sends 0.9 times the rate of eight accounts to all
# nodes and sets VALUE to the percentage refused.
refused_within_rate() {
	local i list=()
	for i in "${!ACCOUNT_RATES[@]}"; do
		list+=("$(stream "account-$i" "key-$i" /read \
			"$(ratio $((9 * ACCOUNT_RATES[i])) 10)" |
			sed 's/"retries": 2/"retries": 0/')")
	done
	load $LOAD_SECONDS "$1" "$WORK/within-$1" \
		"$(IFS=, && echo "${list[*]}")"
	cp "$WORK/within-$1" "$BUILD/measure-within-$1.txt"
	VALUE=$(ratio "$((100 * $(value "$WORK/within-$1" total refused)))" \
		"$(value "$WORK/within-$1" total jobs)")
}

# leaving RUN: sets VALUE to the seconds from SIGTERM to an upstream until the
# last request that was sent to it.
leaving() {
	local name="leaving-$1" node=${NODES[4 + $1]} since addr load
	start_upstream "$name" "$node" back --slots 32 --connections 32 \
		--service-us 500
	addr="addr_${name//-/_}"
	load 8 "$1" "$WORK/left-$1" "$(stream plenty plenty /read 200)" &
	load=$!
	sleep 5
	[ "$(counts "$name" started)" -gt 0 ] ||
		fail "$name received no requests"
	since=$(seconds_of_day)
	kill -TERM "$(pid_of "$name")"
	wait $load || fail "load"
	VALUE=$(log_times "event=run .*peer=${!addr}\b" $(node_logs) |
		latest "$since")
}

# executed_twice: sets VALUE to the number of idempotency keys that were
# executed more than once while the store drops answers, callers retry at any
# node, and one node is killed.
executed_twice() {
	local name var load
	faults lose_percent=10
	load $LOAD_SECONDS 1 "$WORK/once" "$(stream once plenty /issue 50 |
		sed 's/"method": "GET"/"method": "POST", "once": true/')" &
	load=$!
	sleep 3
	kill -KILL "$(pid_of "${NODES[-1]}")"
	wait $load || fail "load"
	faults lose_percent=0
	unset 'NODES[-1]'
	VALUE=$(for name in "${UPSTREAMS[@]}"; do
		var="addr_${name//-/_}"
		curl -s "http://${!var}/mulberryferry/v1/counts" |
			grep -o '"by_key".*"by_root"' |
			grep -o '"c1-[0-9]*[^:]*":[ ]*[0-9]*'
	done | sed 's/[^c0-9: -]//g' | awk -F : '
		{ n[$1] += $2 }
		END { for (k in n) { keys++; twice += n[k] > 1 }
		if (!keys) exit 1
		print twice + 0 }') || fail "no once-only request ran"
}

# cpu_ns: prints the CPU time of all nodes from schedstat; the tick counters of
# /proc/PID/stat miss processes that run only briefly.
cpu_ns() {
	local name
	for name in "${NODES[@]}"; do
		cut -d ' ' -f 1 "/proc/$(pid_of "$name")/schedstat"
	done | integer_sum
}

# integer_sum: as sum, without the exponents that %g prints for large numbers.
integer_sum() {
	awk '{ s += $1 } END { printf "%.0f", s }'
}

metric_sum() {
	local name
	for name in "${NODES[@]}"; do
		metric "$name" "$1"
	done | integer_sum
}

# control_cost: sets VALUE to the percentage of a core and BYTES to the bytes
# sent per second, per node of an idle fleet with a note every 3 s.
control_cost() {
	local ns bytes since i
	ns=$(cpu_ns)
	bytes=$(metric_sum control_bytes)
	since=$(seconds_of_day)
	for i in 1 2 3 4 5 6; do
		apply_small_note
		sleep 3
	done
	ns=$(($(cpu_ns) - ns))
	bytes=$(($(metric_sum control_bytes) - bytes))
	since=$(seconds_of_day | latest "$since")
	VALUE=$(awk -v t="$since" -v ns=$ns -v n=${#NODES[@]} \
		'BEGIN { print ns / 1e7 / t / n }')
	BYTES=$(awk -v t="$since" -v bytes=$bytes -v n=${#NODES[@]} \
		'BEGIN { print bytes / t / n }')
}

# call_cost: sets VALUE to the CPU time in us of all nodes per call, entry and
# gate together, and RSS to the mean memory of a node in MB.
call_cost() {
	local ns file="$WORK/calls" name
	ns=$(cpu_ns)
	load 5 1 "$file" "$(stream plenty plenty /read 1200)"
	ns=$(($(cpu_ns) - ns))
	VALUE=$(ratio "$ns" "$((1000 * $(value "$file" total good)))")
	RSS=$(for name in "${NODES[@]}"; do
		sed -n 's/^VmRSS:[ \t]*\([0-9]*\).*/\1/p' \
			"/proc/$(pid_of "$name")/status"
	done | awk '{ s += $1 } END { print s / NR / 1000 }')
}

# store_counts: prints the number of calls that the store received.
store_counts() {
	curl -s "http://$STORE/standin/counts" | tr ',{}' '\n\n\n' |
		grep -v 'lost\|open_watches' | sed 's/.*://' | integer_sum
}

# store_cost: sets VALUE to the store calls per second of an idle fleet,
# including started watches.
store_cost() {
	local calls since
	sleep 12
	calls=$(store_counts)
	since=$(seconds_of_day)
	sleep 10
	calls=$(($(store_counts) - calls))
	VALUE=$(seconds_of_day | latest "$since" |
		awk -v calls=$calls '{ printf "%.3f", calls / $1 }')
}

# repeat COMMAND...: runs the command RUNS times with the number of the run
# appended, and collects each VALUE in VALUES.
repeat() {
	local i
	VALUES=()
	for i in $(seq "$RUNS"); do
		"$@" "$i"
		VALUES+=("$VALUE")
	done
}

start_store
start_nodes_up_to 4
write_note
apply_note n0 "$WORK/note.json"
NOTE_APPLIED=1
start_nodes_up_to 4
for i in 0 1 2 3; do
	start_upstream "up-$i" "n$i" back --slots 32 --connections 32 \
		--service-us 500 --fixed
	UPSTREAMS+=("up-$i")
done
store_cost
emit store_calls_s_4 1/s - - "$VALUE"
start_nodes_up_to 8
store_cost
emit store_calls_s_8 1/s - - "$VALUE"
start_nodes_up_to 12
load 5 1 "$WORK/warm" "$(stream plenty plenty /read 400)"
call_cost
emit call_cpu_us us - - "$VALUE"
emit node_memory_mb MB - - "$RSS"
repeat withdrawal
emit key_withdrawal_s s 2 - "${VALUES[@]}"
repeat in_force
emit config_in_force_s s 2 - "${VALUES[@]}"
repeat refused_within_rate
emit refused_within_rate % 0.5 - "${VALUES[@]}"
repeat over_rate
emit over_rate_max requests 0 - "${VALUES[@]}"
repeat leaving
emit leaving_new_work_s s 2 - "${VALUES[@]}"
control_cost
emit control_cpu_pct % 4.4 - "$VALUE"
emit control_bytes_s B/s 22000 - "$BYTES"
start_nodes_up_to 16
store_cost
emit store_calls_s_16 1/s - - "$VALUE"
start_nodes_up_to "${MANY:-30}"
sleep 5
repeat in_force
emit config_in_force_many_s s 2 - "${VALUES[@]}"
executed_twice
emit once_executed_twice requests 0 - "$VALUE"
stop_fleet

BIN_OF_STOP=$BUILD/mulberryferry bash "$(dirname "$0")/../../test/stop.sh" \
	>"$WORK/stop.txt" 2>&1
cut=$(sed -n 's/^cut=//p' "$WORK/stop.txt")
[ -n "$cut" ] || fail "rolling restart: $(cat "$WORK/stop.txt")"
emit cut_by_rolling_restart requests 0 - "$cut"
