#!/usr/bin/env bash
# Measures overload with real processes in the layout of either deployment.
# The last service of the call chain is the bottleneck. Each run measures
# overload mode `enforce` and, as the baseline, `off`.
. "$(dirname "$0")/common.bash"

DEPLOYMENT=${1:-aralsk}
RANDOM_SEED=1
SERVICE_US=20000

case $DEPLOYMENT in
aralsk)
	CENTRES=(aktau atyrau bautino kuryk)
	SLOTS=2
	SPEC="workshop 16 2000 GET /certificates/1
certify 16 2000 GET /rafts/1/history
history $SLOTS $SERVICE_US"
	;;
trinacria)
	CENTRES=(palermo catania messina)
	SLOTS=3
	SPEC="rosters 24 2000 GET /cases/1
casefiles 24 2000 GET /thresholds/1
eligibility $SLOTS $SERVICE_US"
	;;
*)
	fail "unknown deployment $DEPLOYMENT"
	;;
esac
CAPACITY=$((${#CENTRES[@]} * SLOTS * 1000000 / SERVICE_US))
read -r FRONT _ <<<"$SPEC"

write_note() {
	local accounts= keys= i comma=
	for i in 1 2 3 4 5 6 7 8; do
		accounts+="$comma{\"name\": \"account-$i\", \"rate\": 20000,
			\"burst\": 10000, \"weight\": 1}"
		keys+="$comma{\"id\": \"k$i\", \"account\": \"account-$i\",
			\"hash\": \"$(key_hash "key-$i")\"}"
		comma=,
	done
	local services= service routes= path
	comma=
	while read -r service _; do
		services+="$comma{\"name\": \"$service\", \"retry_percent\": 10}"
		comma=,
	done <<<"$SPEC"
	for path in last middle first; do
		routes+="{\"name\": \"$path\", \"method\": \"GET\",
			\"path\": \"/$path\", \"service\": \"$FRONT\",
			\"shed\": \"$path\", \"deadline_ms\": 1000,
			\"retries\": 3},"
	done
	comma=
	while read -r service _ _ _ path; do
		[ -n "$path" ] || continue
		routes+="$comma{\"name\": \"sub${path//\//-}\",
			\"method\": \"GET\", \"path\": \"$path\",
			\"service\": \"$(sed -n "/GET ${path//\//\\/}\$/{n;s/ .*//p}" \
				<<<"$SPEC")\",
			\"shed\": \"middle\", \"deadline_ms\": 1000,
			\"retries\": 1}"
		comma=,
	done <<<"$SPEC"
	echo "{\"release\": \"measure\", \"added\": {\"services\": [$services],
		\"routes\": [$routes], \"accounts\": [$accounts],
		\"keys\": [$keys]}}" >"$WORK/note.json"
}

# mixed_streams TIMES: prints streams of all accounts and shed classes with a
# total rate of TIMES the capacity: 20 % last, 40 % middle, 40 % first.
mixed_streams() {
	local i rate list=()
	for i in 1 2 3 4 5 6 7 8; do
		rate=$(awk -v c="$CAPACITY" -v t="$1" 'BEGIN { print c * t / 8 }')
		list+=("$(stream "last-$i" "key-$i" /last \
			"$(awk -v r="$rate" 'BEGIN { print r * .2 }')")")
		list+=("$(stream "middle-$i" "key-$i" /middle \
			"$(awk -v r="$rate" 'BEGIN { print r * .4 }')")")
		list+=("$(stream "first-$i" "key-$i" /first \
			"$(awk -v r="$rate" 'BEGIN { print r * .4 }')")")
	done
	printf '%s\n' "${list[@]}" | tr '\n' ' ' | sed 's/} {/},{/g'
}

# total_runs: prints the number of requests that all upstreams have started.
total_runs() {
	local name
	for name in "${UPSTREAMS[@]}"; do
		counts "$name" started
	done | sum
}

# metric_sum NAME: prints the sum of a counter over all nodes.
metric_sum() {
	local name
	for name in "${NODES[@]}"; do
		metric "$name" "$1"
	done | sum
}

# measure_overload MODE RUN: applies a load of three times the capacity. Sets
# goodput to the ratio of good answers to capacity, last to the success ratio
# of shed class last, and wasted to the percentage of executions wasted.
measure_overload() {
	local file="$WORK/3x-$1-$2" before seconds=6
	before="$(total_runs) $(metric_sum wasted)"
	load $seconds "$2" "$file" "$(mixed_streams 3)"
	wasted="$(total_runs) $(metric_sum wasted)"
	goodput=$(ratio "$(value "$file" total good)" \
		$((CAPACITY * seconds)))
	last=$(ratio "$(grep '^stream=last-' "$file" |
		sed 's/.*\bgood=\([0-9]*\).*/\1/' | sum)" \
		"$(grep '^stream=last-' "$file" |
			sed 's/.*\bjobs=\([0-9]*\).*/\1/' | sum)")
	wasted=$(awk -v a="$before" -v b="$wasted" 'BEGIN {
		split(a, x); split(b, y)
		r = y[1] - x[1]
		printf "%.3f", r ? 100 * (y[2] - x[2]) / r : 0 }')
	cp "$file" "$BUILD/measure-$DEPLOYMENT-3x-$1-$2.txt"
}

# goodput_before FILE: prints the good answers per 100 ms from second 1 to 5,
# before the slowdown.
goodput_before() {
	awk '{ split($1, t, "="); split($4, g, "=")
		if (t[2] >= 1000 && t[2] < 5000) s += g[2] }
		END { print s / 40 }' "$1"
}

# recovery FILE END BEFORE: prints the seconds from END (ms) to the start of
# the first second with at least 95 % of the goodput that `enforce` had before
# the slowdown; -1 if there is none.
recovery() {
	awk -v end="$2" -v before="$3" '
	{ split($1, t, "="); split($4, g, "=")
	  last = int(t[2] / 100) * 100
	  good[last] += g[2] }
	END {
		for (i = end; i <= last - 1000; i += 100) {
			s = 0
			for (j = 0; j < 1000; j += 100) s += good[i + j] / 10
			if (s >= .95 * before) { print (i - end) / 1000; exit }
		}
		print -1
	}' "$1"
}

# measure_slowdown MODE RUN: sets recovered for a load of 1.2 times the capacity
# during which the bottleneck service takes five times as long for 10 s.
measure_slowdown() {
	local file="$WORK/slow-$1-$2" name
	SERIES="$WORK/series"
	(
		sleep 5
		for name in "${UPSTREAMS[@]}"; do
			case $name in
			*-"$BOTTLENECK")
				control "$name" service_us=$((SERVICE_US * 5))
				;;
			esac
		done
		sleep 10
		for name in "${UPSTREAMS[@]}"; do
			case $name in
			*-"$BOTTLENECK") control "$name" service_us=$SERVICE_US ;;
			esac
		done
	) &
	load 23 "$2" "$file" "$(mixed_streams 1.2)"
	wait $!
	SERIES=
	[ "$1" = enforce ] && before=$(goodput_before "$WORK/series")
	recovered=$(recovery "$WORK/series" 15000 "$before")
	cp "$WORK/series" "$BUILD/measure-$DEPLOYMENT-recovery-$1-$2.txt"
}

# measure_greedy_account MODE RUN: sets worst, the lowest success ratio among
# the other accounts while account 1 sends ten times its share.
measure_greedy_account() {
	local file="$WORK/greedy-$1-$2" i list=() share
	share=$(awk -v c="$CAPACITY" 'BEGIN { print c / 8 }')
	for i in 2 3 4 5 6 7 8; do
		list+=("$(stream "a-$i" "key-$i" /middle \
			"$(awk -v s="$share" 'BEGIN { print s * .9 }')")")
	done
	list+=("$(stream a-1 key-1 /middle \
		"$(awk -v s="$share" 'BEGIN { print s * 10 }')")")
	load 6 "$2" "$file" "$(IFS=, && echo "${list[*]}")"
	worst=$(grep '^stream=a-[2-8]' "$file" | sed \
		's/.*\bjobs=\([0-9]*\).*\bgood=\([0-9]*\).*/\2 \1/' |
		awk '{ r = $1 / $2; if (NR == 1 || r < w) w = r } END { print w }')
}

BOTTLENECK=$(tail -n 1 <<<"$SPEC" | cut -d ' ' -f 1)
start_store
write_note
start_fleet "${CENTRES[@]}"
for mode in enforce off; do
	set_mode $mode
	for ((run = 1; run <= RUNS; run++)); do
		measure_overload $mode $run
		eval "goodput_$mode+=($goodput) last_$mode+=($last)"
		eval "wasted_$mode+=($wasted)"
		sleep 2
		measure_greedy_account $mode $run
		eval "worst_$mode+=($worst)"
		sleep 2
	done
	SLOW_RUNS=2
	[ $mode = off ] && SLOW_RUNS=1 # off never recovers: 1 run
	for ((run = 1; run <= SLOW_RUNS; run++)); do
		measure_slowdown $mode $run
		eval "recovered_$mode+=($recovered)"
		sleep 2
	done
done
emit goodput_3x_ratio_$DEPLOYMENT ratio 0.95 \
	"$(median "${goodput_off[@]}")" "${goodput_enforce[@]}"
emit last_shed_success_3x_$DEPLOYMENT ratio 0.99 \
	"$(median "${last_off[@]}")" "${last_enforce[@]}"
emit wasted_work_3x_$DEPLOYMENT percent 5 \
	"$(median "${wasted_off[@]}")" "${wasted_enforce[@]}"
emit worst_account_share_$DEPLOYMENT ratio 0.95 \
	"$(median "${worst_off[@]}")" "${worst_enforce[@]}"
emit recovery_s_$DEPLOYMENT s 2 \
	"$(median "${recovered_off[@]}")" "${recovered_enforce[@]}"
