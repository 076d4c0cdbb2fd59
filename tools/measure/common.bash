# Functions of the measurements: start a fleet of nodes and upstreams on one
# machine, generate load plans, and write the lines of measures.kv.
. "$(dirname "${BASH_SOURCE[0]}")/../../test/harness.bash"

OUT=${OUT:-$BUILD/measures.kv}
RUNS=${RUNS:-3}

# emit NAME UNIT TARGET BASELINE VALUE...: appends a line with the median and
# range of the values.
emit() {
	local name=$1 unit=$2 target=$3 baseline=$4
	shift 4
	printf '%s\n' "$@" | sort -g | awk -v name="$name" -v unit="$unit" \
		-v target="$target" -v baseline="$baseline" '
		{ v[NR] = $1 }
		END { printf "measure=%s value=%.6g unit=%s target=%s " \
			"baseline=%s runs=%d low=%.6g high=%.6g\n", name,
			(v[int((NR + 1) / 2)] + v[int(NR / 2) + 1]) / 2, unit,
			target, baseline, NR, v[1], v[NR] }' | tee -a "$OUT"
}

# median VALUE...: prints the median.
median() {
	printf '%s\n' "$@" | sort -g | awk '{ v[NR] = $1 }
		END { printf "%.6g",
			(v[int((NR + 1) / 2)] + v[int(NR / 2) + 1]) / 2 }'
}

# value FILE STREAM KEY: prints a figure of the caller's report.
value() {
	sed -n "s/^stream=$2 .*\b$3=\([-0-9.]*\).*/\1/p" "$1" | head -n 1
}

# ratio A B: prints A / B with four decimals; 0 if B is 0.
ratio() {
	awk -v a="$1" -v b="$2" 'BEGIN { printf "%.4f", b ? a / b : 0 }'
}

# sum: reads numbers, one per line, and prints their sum.
sum() {
	awk '{ s += $1 } END { printf "%g", s }'
}

# start_fleet DC...: starts, in each data centre, a node and an upstream for
# each line of SPEC: "SERVICE SLOTS SERVICE_US [SUB-CALL]".
NODES=()
UPSTREAMS=()
start_fleet() {
	local dc service slots us sub name
	for dc in "$@"; do
		while read -r service slots us sub; do
			name=$dc-$service
			start_node "$name" "$dc" ",
				\"log_level\": \"${LEVEL:-notice}\",
				\"limits\": {\"requests\": 20000}"
			NODES+=("$name")
		done <<<"$SPEC"
	done
	apply_note "${NODES[0]}" "$WORK/note.json"
	for name in "${NODES[@]}"; do
		wait_for 20 ready "$name" || fail "$name is not ready"
	done
	for dc in "$@"; do
		while read -r service slots us sub; do
			name=$dc-$service
			start_upstream "up-$name" "$name" "$service" \
				--slots "$slots" --connections "$slots" \
				--service-us "$us" --seed $((RANDOM_SEED++)) \
				${sub:+--sub "$sub"}
			UPSTREAMS+=("up-$name")
		done <<<"$SPEC"
	done
	sleep 5 # membership, quota slices and cold start settle
}

# set_mode MODE: applies an overload mode to all nodes.
MODE_NUMBER=0
set_mode() {
	MODE_NUMBER=$((MODE_NUMBER + 1))
	echo "{\"release\": \"mode-$MODE_NUMBER\", \"changed\":
		{\"overload\": {\"mode\": \"$1\"}}}" >"$WORK/mode.json"
	apply_note "${NODES[0]}" "$WORK/mode.json"
	sleep 2
}

# targets: prints the callers listeners of the nodes of service FRONT, one for
# each data centre, as a JSON list. The listeners of all nodes would need more
# connections than the caller has.
targets() {
	local name var list=()
	for name in "${NODES[@]}"; do
		[[ $name == *-"$FRONT" ]] || continue
		var="callers_${name//-/_}"
		list+=("\"${!var}\"")
	done
	(IFS=, && echo "${list[*]}")
}

# stream NAME KEY PATH RATE [MORE]: prints one stream of a load plan; MORE is
# appended to its JSON members.
stream() {
	echo "{\"name\": \"$1\", \"key\": \"$2\", \"method\": \"GET\",
		\"path\": \"$3\", \"rate\": $4, \"deadline_ms\": 1000,
		\"retries\": 2, \"retry_delay_ms\": 50${5:-}}"
}

# load SECONDS SEED FILE STREAM...: runs the caller and writes its report to
# FILE.
load() {
	local seconds=$1 seed=$2 file=$3
	shift 3
	(IFS=, && echo "{\"to\": [$(targets)], \"seconds\": $seconds,
		\"seed\": $seed, \"streams\": [$*]}") >"$WORK/plan.json"
	"$TOOLS/caller" ${SERIES:+--series "$SERIES"} "$WORK/plan.json" \
		>"$file" || fail "caller"
}

# stop_fleet: ends all started processes, including the store.
stop_fleet() {
	end_processes
	NODES=()
	UPSTREAMS=()
	SEEDS=
}
