#!/usr/bin/env bash
# soak.sh SEED [SECONDS]: runs nodes with the platform interface, their store
# and their upstreams as real processes. Injects signals and store faults, which
# may overlap and are chosen by SEED, while callers send once-only requests. The
# store also comes back from older copies, and upstreams name limits or say that
# they leave; one request crashes each upstream that runs it, and comes again
# all the time. Then compares what callers and upstreams recorded with the
# promises: no request ran twice, each one answered with 200 ran, none answered
# with 429, 503, 408 or 421 ran, no upstream got more than its limit allows, the
# request that crashes was run three times more at most, later than 3 s after the
# third end, none reached an upstream later than drain_s after its leave was
# acknowledged, and the newest configuration is in force. Prints a summary and keeps no files;
# ends only the processes that it started.
# With SOAK_COLD=1, upstreams also become cold again, which crashes them if many
# requests arrive before their heartbeat, and none may get more than its cold rate
# allows. No request crashes upstreams then, and no upstream is suspended, as it
# would see the requests of seconds at once.
cd "$(dirname "$0")/../.."
BIN=${BIN_OF_SOAK:-${BUILD:-build}/mulberryferry-san}
. test/harness.bash

SEED=${1:?seed}
SECONDS_OF_FAULTS=${2:-12}
RANDOM=$SEED
HOST=h.example
NODES=(a1 a2 b1 b2)
CALLERS=6
declare -A ENDING=()
LEAVE_MS=5000      # from the leave of an upstream to its end
LEFT_AFTER_MS=2300 # drain_s, and some time for the request to arrive
LIMIT=20      # requests a second that an upstream names
LIMIT_MAX=$((LIMIT * 6 + 5)) # most requests in 4 s
LIMIT_AFTER_MS=3000 # from then on the limit holds
STABILITY_MS=3000   # until every host refuses a request that crashes
LATE_RUNS_MAX=3
VERSION=3
COLD=${SOAK_COLD:-}
COLD_MS=8000
COLD_PER_S=5.4
COLD_MAX=16         # most requests in a second: 1.5 x 5.4 + 8
COLD_AFTER_MS=3000  # until a node that was suspended has read a heartbeat
FAULTS=14
COLD_COLUMNS= COLD_VALUES= COLD_PROMISES= UPSTREAM_OPTIONS="--crash-on crashing"
if [ -n "$COLD" ]; then
	FAULTS=16
	COLD_COLUMNS=', "cold_start_s", "cold_per_s"'
	COLD_VALUES=", 8, $COLD_PER_S"
	COLD_PROMISES=', "cold_overshoot=1.5", "cold_slack=8"'
	UPSTREAM_OPTIONS="--cold-ms $COLD_MS --cold-per-s $COLD_PER_S"
fi
RECOVERY_S=20 # the users' bound of 15 s plus one start under the sanitizers

# draw N: sets DRAWN to a random number from 0 to N-1. It is not printed, as
# RANDOM would not advance if draw ran in a subshell.
draw() {
	DRAWN=$((RANDOM % $1))
}

pause_ms() {
	sleep "$(printf '%d.%03d' $(($1 / 1000)) $(($1 % 1000)))"
}

write_settings() { # NAME CALLERS SERVICES READY NODES ADMIN
	cat >"$WORK/$1.json" <<-END
	{"host": "$1", "data_centre": "${1%?}", "region": "test",
	"interface": "platform", "listen": {"callers": "$2", "services": "$3",
	"ready": "$4", "nodes": "$5", "admin": "$6"},
	"upstream": {"service": "front"},
	"store": {"kind": "platform", "address": "$STORE",
	"calls_per_second": 100},
	"share_groups": 4, "share_hold_s": 60, "data_centres": ["a", "b"],
	"promises": ["revoke_s=5", "drain_s=2", "grace_s=6",
	"budget_ratio=0.2"$COLD_PROMISES]}
	END
}

start_soaked_node() { # NAME
	run_node "$1" "$BIN" node --settings "$WORK/$1.json"
	cat "$WORK/$1.log" >>"$WORK/$1.all" 2>/dev/null
	wait_for 10 grep -q event=listening "$WORK/$1.log" ||
		fail "seed $SEED: $1 did not start: $(tail -5 "$WORK/$1.log")"
}

pid_of() {
	local var="pid_$1"
	echo "${!var}"
}

# Signals a node to end and marks it for start_ended. Does not wait, so that
# other faults can occur while the process ends.
stop_node() { # NAME SIGNAL
	kill -CONT "$(pid_of "$1")" 2>/dev/null
	kill -"$2" "$(pid_of "$1")" 2>/dev/null
	ENDING[$1]=1
}

ALL_ABOVE_MS=1400 # some kills end all processes at once
kill_nodes() { # NAME MS
	local n
	if [ "$2" -le $ALL_ABOVE_MS ]; then
		stop_node "$1" KILL
		return
	fi
	for n in "${NODES[@]}"; do
		stop_node "$n" KILL
	done
}

# Restarts the nodes whose process has ended since stop_node.
start_ended() {
	local n
	for n in "${!ENDING[@]}"; do
		kill -0 "$(pid_of "$n")" 2>/dev/null && continue
		cat "$WORK/$n.log" >>"$WORK/$n.all"
		start_soaked_node "$n"
		unset "ENDING[$n]"
	done
}

# Writes the configuration, of version VERSION; the store may be suspended.
put_document() {
	curl -sf -m 10 -o /dev/null -X PUT --data-binary @- \
		"http://$STORE/standin/document" <<-END || fail "document"
	{"version": $VERSION, "routes": {"columns": ["name", "host", "prefix",
	"route_kind", "timeout_s", "target_latency_s", "priority", "service",
	"max_attempts", "allow_anonymous"], "rows": [
	["once", "$HOST", "/once/", "unsafe", 2, 0.5, 0, "one", 2, false]]},
	"services": {"columns": ["name", "max_connections"$COLD_COLUMNS],
	"rows": [["one", 64$COLD_VALUES]]},
	"limits": {"max_header_bytes": 16384, "max_body_bytes": 100000,
	"header_timeout_s": 3, "idle_timeout_s": 15},
	"tenants": {"columns": ["name", "api_keys", "priority", "rate_per_s",
	"burst"], "rows": [["acc", ["key-1"], 1, 4000, 4000]]}}
	END
}

# issue NODE ID: sends a once-only request and prints the status.
issue() {
	local callers="callers_$1"
	curl -s -o "$WORK/body-$2" -w '%{http_code}' -m 4 -X POST \
		-H "Host: $HOST" -H "Authorization: Bearer key-1" \
		-H "Mulberryferry-Attempt-Id: $2" -d "$2" \
		-H "Mulberryferry-Deadline-Ms: 2000" "http://${!callers}/once/$2"
	rm -f "$WORK/body-$2"
}

# send_requests CALLER: sends requests to the nodes in turn until the file
# "stop" exists.
send_requests() {
	local i=0 id node
	while [ ! -e "$WORK/stop" ]; do
		node=${NODES[($1 + i) % ${#NODES[@]}]}
		i=$((i + 1))
		id=$(printf '%04x%04x%08x' "$SEED" "$1" "$i")
		echo "$id $node $(issue "$node" "$id")" >>"$WORK/seen-$1"
	done
}

# send_crashing: sends the same request, which crashes upstreams, to the nodes in
# turn until the file "stop" exists.
send_crashing() {
	local i=0 callers
	while [ ! -e "$WORK/stop" ]; do
		callers=callers_${NODES[i++ % ${#NODES[@]}]}
		curl -s -o /dev/null -m 3 -X POST -d same -H "Host: $HOST" \
			-H "Authorization: Bearer key-1" \
			-H "Mulberryferry-Attempt-Id: $(printf 'eeee%012x' $i)" \
			-H "Mulberryferry-Deadline-Ms: 2000" \
			"http://${!callers}/once/crashing"
		sleep 0.7
	done
}

# late_runs: prints how often the request that crashes ran later than
# STABILITY_MS after the third upstream had ended under it.
late_runs() {
	local third
	third=$(cat "$WORK"/up_*.out | sed -n 's/^crash at_ms=//p' | sort -n |
		sed -n 3p)
	cat "$WORK"/up_*.out |
		sed -n 's/^run .* at_ms=\([0-9]*\) .*=eeee.*/\1/p' |
		awk -v from="${third:-0}" -v s=$STABILITY_MS '
		from && $1 >= from + s {n++} END {print n + 0}'
}

# Suspends a process for MS milliseconds. Resumes it in the background, so that
# faults may overlap.
suspend_process() { # NAME MS
	local pid
	pid=$(pid_of "$1")
	kill -STOP "$pid" 2>/dev/null
	(pause_ms "$2"; kill -CONT "$pid" 2>/dev/null) &
}

# Goes back to the last copy; the operator writes again and makes a change.
restore_store() {
	curl -sf -m 10 -o /dev/null "http://$STORE/standin/restore" ||
		fail "seed $SEED: restore"
	put_document
	VERSION=$((VERSION + 1))
	put_document
}

# upstream_says NODE QUERY: changes what the upstream of NODE says of itself.
upstream_says() {
	curl -sf -m 2 -o /dev/null "http://$(listening "up_$1")/standin/faults?$2"
}

# Lets the upstream of NODE name a limit from now on.
limit_upstream() {
	upstream_says "$1" "limit=$LIMIT" || return
	[ -e "$WORK/limited-$1" ] || date +%s%3N >"$WORK/limited-$1"
}

# most_runs NODE: prints the most runs of its upstream in 4 s under the limit.
most_runs() {
	sed -n 's/^run .* at_ms=\([0-9]*\) .*/\1/p' "$WORK/up_$1.out" |
		awk -v from="$(cat "$WORK/limited-$1")" -v a=$LIMIT_AFTER_MS '
		$1 < from + a {next}
		{t[++n] = $1; while ($1 - t[first + 1] > 4000) first++
		if (n - first > most) most = n - first} END {print most + 0}'
}

# runs_after_leave: prints the runs of upstreams that had left. One that was
# suspended reads requests long after they arrived.
runs_after_leave() {
	local n
	for n in "${NODES[@]}"; do
		[ -z "$COLD" ] && grep -q "^fault 5 $n " "$WORK/faults" &&
			continue
		sed -n 's/^\(left\) at_ms=\([0-9]*\)$/\1 \2/p
			s/^\(run\) .* at_ms=\([0-9]*\) .*/\1 \2/p
			s/^\(listening\)=.*/\1 0/p' "$WORK/up_$n.out" |
			awk -v a=$LEFT_AFTER_MS -v n=$n '
			$1 == "listening" {left = 0}
			$1 == "left" {left = $2}
			$1 == "run" && left && $2 > left + a {
				print n, "ran", $2 - left, "ms after its leave"}'
	done
}

# most_cold NODE: prints the most runs of its upstream in a second while cold.
most_cold() {
	sed -n 's/^\(cold\) at_ms=\([0-9]*\)$/\1 \2/p
		s/^\(run\) .* at_ms=\([0-9]*\) .*/\1 \2/p' "$WORK/up_$1.out" |
		awk -v a=$COLD_AFTER_MS -v c=$COLD_MS '
		$1 == "cold" {if ($2 > to) from = $2 + a
			to = $2 + c; first = n; next}
		$2 < from || $2 > to {first = n; next}
		{t[++n] = $2; while ($2 - t[first + 1] > 1000) first++
		if (n - first > most) most = n - first} END {print most + 0}'
}

# Injects one random fault.
inject_fault() {
	local node up ms
	draw ${#NODES[@]}
	node=${NODES[DRAWN]}
	up=up_$node
	draw 2000
	ms=$((200 + DRAWN))
	draw $FAULTS
	echo "fault $DRAWN $node $ms" >>"$WORK/faults"
	case $DRAWN in
	0 | 1) suspend_process "$node" "$ms" ;;
	2) kill_nodes "$node" "$ms" ;;
	3 | 4) stop_node "$node" TERM ;;
	5) [ -n "$COLD" ] || suspend_process "$up" "$ms" ;;
	6) suspend_process store "$ms" ;;
	7) curl -sf -m 2 -o /dev/null \
		"http://$STORE/standin/faults?lose_next=3" ;;
	8) kill -HUP "$(pid_of "$node")" 2>/dev/null ;;
	9) curl -sf -m 2 -o /dev/null "http://$STORE/standin/save" ;;
	10 | 11) restore_store ;;
	12) limit_upstream "$node" ;;
	13) upstream_says "$node" leaving=1
		(pause_ms "$ms"; upstream_says "$node" leaving=0) & ;;
	14 | 15) kill -USR1 "$(pid_of "$up")" ;;
	esac
}

# serves NODE: succeeds if a once-only request with a new ID returns 200.
serves() {
	PROBE=$((PROBE + 1))
	[ "$(issue "$1" "$(printf 'ffff%012x' "$PROBE")")" = 200 ]
}

run store "$TOOLS/platform_store"
wait_for 5 test -s "$WORK/store.out" || fail "store did not start"
STORE=$(listening store)
curl -sf -o /dev/null "http://$STORE/standin/save"
put_document
for n in "${NODES[@]}"; do
	write_settings "$n" 127.0.0.1:0 127.0.0.1:0 127.0.0.1:0 127.0.0.1:0 \
		127.0.0.1:0
	start_soaked_node "$n"
	for l in callers services ready nodes admin; do
		eval "${l}_$n=$(field "$WORK/$n.log" listening $l)"
	done
	var="services_$n"
	services=${!var}
	run "up_$n" "$TOOLS/platform_upstream" --listen 127.0.0.1:0 \
		--node "$services" --service one --instance "i-$n" --work-ms 30 \
		--down-ms 1000 $UPSTREAM_OPTIONS
	write_settings "$n" "$(eval echo "\$callers_$n")" "$services" \
		"$(eval echo "\$ready_$n")" "$(eval echo "\$nodes_$n")" \
		"$(eval echo "\$admin_$n")"
done
PROBE=0
for n in "${NODES[@]}"; do
	wait_for 15 serves "$n" || fail "seed $SEED: $n does not serve"
done

callers=()
for ((c = 0; c < CALLERS; c++)); do
	send_requests "$c" &
	callers+=($!)
done
if [ -z "$COLD" ]; then
	send_crashing &
	callers+=($!)
fi
end=$((SECONDS + SECONDS_OF_FAULTS))
rounds=0
while [ "$SECONDS" -lt "$end" ]; do
	inject_fault
	# In turn, so that the other faults of a seed stay the same.
	rounds=$((rounds + 1))
	[ $((rounds % 4)) = 1 ] &&
		upstream_says "${NODES[rounds / 4 % 4]}" leave_ms=$LEAVE_MS
	start_ended
	draw 900
	pause_ms $((100 + DRAWN))
done
for n in "${NODES[@]}" store; do
	kill -CONT "$(pid_of "$n")" 2>/dev/null
	[ "$n" = store ] || kill -CONT "$(pid_of "up_$n")"
done
while [ "${#ENDING[@]}" -gt 0 ]; do
	start_ended
	sleep 0.1
done
for n in "${NODES[@]}"; do
	wait_for "$RECOVERY_S" serves "$n" ||
		fail "seed $SEED: $n does not serve again; $(cat "$WORK/faults")"
done
for n in "${NODES[@]}"; do
	wait_for 10 grep -q "event=config-in-force number=$VERSION " \
		"$WORK/$n.log" ||
		fail "seed $SEED: $n lacks version $VERSION: $(grep -h \
			"config-in-force\|store-replaced" "$WORK/$n.log")"
done
touch "$WORK/stop"
wait "${callers[@]}"
sleep 3 # time in which a request that is still queued would wrongly run

cat "$WORK"/up_*.out | grep -o 'mulberryferry-attempt-id=[0-9a-f]*' |
	cut -d= -f2 | sort >"$WORK/ran"
cat "$WORK"/seen-* | sort >"$WORK/seen"
twice=$(uniq -d "$WORK/ran")
[ -z "$twice" ] || fail "seed $SEED: ran twice: $twice"
for status in 200 429 503 408 421; do
	awk -v s="$status" '$3 == s {print $1}' "$WORK/seen" |
		sort >"$WORK/status-$status"
done
lost=$(comm -23 "$WORK/status-200" "$WORK/ran")
[ -z "$lost" ] || fail "seed $SEED: answered with 200 but not run: $lost"
for status in 429 503 408 421; do
	false=$(comm -12 "$WORK/status-$status" "$WORK/ran")
	[ -z "$false" ] ||
		fail "seed $SEED: answered with $status but run: $(grep "$false" \
			"$WORK"/*.all "$WORK"/*.log)"
done
for n in "${NODES[@]}"; do
	grep -q "Sanitizer\|runtime error" "$WORK/$n.log" "$WORK/$n.all" &&
		fail "seed $SEED: $(grep -h -A9 'Sanitizer\|runtime error' \
			"$WORK/$n.log" "$WORK/$n.all")"
done
for n in "${NODES[@]}"; do
	[ -e "$WORK/limited-$n" ] || continue
	most=$(most_runs "$n")
	[ "$most" -le "$LIMIT_MAX" ] ||
		fail "seed $SEED: up_$n named $LIMIT a second and got $most" \
			"in 4 s; $(cat "$WORK/faults")"
done
for n in "${NODES[@]}"; do
	[ -n "$COLD" ] || continue
	most=$(most_cold "$n")
	[ "$most" -le "$COLD_MAX" ] ||
		fail "seed $SEED: up_$n got $most in a second while cold;" \
			"$(cat "$WORK/faults")"
done
# Each return to the cold state may end one, before its heartbeat is read.
if [ -n "$COLD" ]; then
	returns=$(grep -c "^fault 1[45] " "$WORK/faults")
	ends=$(cat "$WORK"/up_*.out | grep -c '^crash ')
	[ "$ends" -le "$returns" ] ||
		fail "seed $SEED: $ends upstreams ended by their load, after" \
			"$returns returns to the cold state"
fi
[ "$(late_runs)" -le $LATE_RUNS_MAX ] ||
	fail "seed $SEED: a request that crashes ran $(late_runs) times too" \
		"late; $(cat "$WORK/faults" "$WORK"/*.log | grep "^fault\|poison")"
after=$(runs_after_leave)
[ -z "$after" ] || fail "seed $SEED: $after; $(cat "$WORK/faults")"
[ -s "$WORK/status-200" ] || fail "seed $SEED: nothing was served"
echo "seed=$SEED faults=$(wc -l <"$WORK/faults")" \
	"requests=$(wc -l <"$WORK/seen") ran=$(wc -l <"$WORK/ran")" \
	"served=$(wc -l <"$WORK/status-200")" \
	"ended=$(cat "$WORK"/up_*.out | grep -c '^crash ') late=$(late_runs)" \
	"left=$(cat "$WORK"/up_*.out | grep -c '^left ')" \
	"not_run=$(cat "$WORK"/status-{429,503,408,421} | wc -l)"
