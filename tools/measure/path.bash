#!/usr/bin/env bash
# Measures the cost of a call through two nodes: added latency, CPU time,
# upstream connections and memory. BASE_BIN names the program of an earlier
# commit, which gives the baseline of node_calls_per_core_s.
. "$(dirname "$0")/common.bash"

LOW_RATE=200
HIGH_RATE=2000
SECONDS_EACH=4
NEW_BIN=$BIN

write_note() {
	cat >"$WORK/note.json" <<-END
	{"release": "path", "added": {
		"services": [{"name": "back", "retry_percent": 10}],
		"routes": [{"name": "r", "method": "GET", "path": "/r",
			"service": "back", "shed": "last",
			"deadline_ms": 5000, "retries": 1}],
		"accounts": [{"name": "acc", "rate": 100000,
			"burst": 100000, "weight": 1}],
		"keys": [{"id": "k", "account": "acc",
			"hash": "$(key_hash one)"}]}}
	END
}

path_answers() {
	call entry GET /r -H "Authorization: Bearer one" |
		grep -q "outcome: done"
}

# start_path: starts a store, an entry node, a gate node and its upstream.
start_path() {
	start_store
	start_node entry east ', "log_level": "notice"'
	start_node gate west ', "log_level": "notice"'
	apply_note entry "$WORK/note.json"
	start_upstream up gate back --slots 64 --connections 64 \
		--service-us 1000 --fixed
	wait_for 20 path_answers || fail "no answer through two nodes"
}

# stop_path: kills all processes of start_path and removes their logs.
stop_path() {
	local pid
	for pid in "${PIDS[@]}"; do
		kill -KILL "$pid"
		wait "$pid" 2>/dev/null
	done
	PIDS=()
	rm -f "$WORK"/*.out "$WORK"/*.log
	SEEDS=
}

# send ADDRESS RATE SEED FILE: sends calls to ADDRESS for SECONDS_EACH and
# writes the caller's report to FILE.
send() {
	echo "{\"to\": [\"$1\"], \"seconds\": $SECONDS_EACH, \"seed\": $3,
		\"streams\": [$(stream s one /r "$2")]}" >"$WORK/plan.json"
	"$TOOLS/caller" "$WORK/plan.json" >"$4" || fail "caller"
}

# cpu_ticks: prints the CPU time of both nodes in clock ticks.
cpu_ticks() {
	awk '{ n += $14 + $15 } END { print n }' \
		"/proc/$pid_entry/stat" "/proc/$pid_gate/stat"
}

# calls_per_core SEED: prints the calls that one node handles per second of
# CPU time; each call is handled by two nodes.
calls_per_core() {
	local before after
	before=$(cpu_ticks)
	send "$callers_entry" $HIGH_RATE "$1" "$WORK/full"
	after=$(cpu_ticks)
	awk -v n="$(value "$WORK/full" total good)" -v t=$((after - before)) \
		-v hz="$(getconf CLK_TCK)" 'BEGIN { print 2 * n * hz / t }'
}

# rss_mb: prints the peak memory of the larger node in MB.
rss_mb() {
	awk '/VmHWM/ && $2 > most { most = $2 }
		END { print most / 1024 }' \
		"/proc/$pid_entry/status" "/proc/$pid_gate/status"
}

write_note
for ((run = 1; run <= RUNS; run++)); do
	if [ -n "${BASE_BIN:-}" ]; then
		BIN=$BASE_BIN
		start_path
		base+=("$(calls_per_core $run)")
		stop_path
	fi
	BIN=$NEW_BIN
	start_path
	send "$addr_up" $LOW_RATE $run "$WORK/direct"
	send "$callers_entry" $LOW_RATE $run "$WORK/path"
	added+=("$(awk -v p="$(value "$WORK/path" total p99_ms)" \
		-v d="$(value "$WORK/direct" total p99_ms)" \
		'BEGIN { print p - d }')")
	calls+=("$(calls_per_core $run)")
	opened+=("$(awk -v c="$(metric gate upstream_connections)" \
		-v n="$(metric gate upstream_runs)" \
		'BEGIN { print 1000 * c / n }')")
	rss+=("$(rss_mb)")
	stop_path
done
emit added_latency_p99_ms ms 1.2 - "${added[@]}"
emit node_calls_per_core_s calls/s - \
	"$([ -n "${BASE_BIN:-}" ] && median "${base[@]}" || echo -)" \
	"${calls[@]}"
emit upstream_connections_per_1000_calls connections - - "${opened[@]}"
emit node_rss_mb MB 128 - "${rss[@]}"
echo "load average $(cut -d ' ' -f 1-3 /proc/loadavg) on $(nproc) cores" >&2
