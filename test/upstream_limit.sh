#!/usr/bin/env bash
# An upstream names a limit in its answers, and later that it leaves: it must
# get no more than that, and another upstream must serve the rest.
cd "$(dirname "$0")/.."
. test/harness.bash
. test/platform.bash

LIMIT=5	       # requests a second that u1 names
WINDOW_MS=4000 # window of the users' rule
ALLOWED=$((LIMIT * 6 + 5)) # one and a half times the limit in 4 s, and 5
LOAD_GAP_S=0.025 # between two requests

# now_ms: prints the wall time.
now_ms() {
	date +%s%3N
}

# load SECONDS: sends requests to both nodes in turn, without waiting for the
# answers, and adds their statuses to WORK/statuses.
load() {
	local end=$(($(now_ms) + $1 * 1000)) i=0 node
	while [ "$(now_ms)" -lt "$end" ]; do
		node=callers_a1
		((i++ % 2)) && node=callers_b1
		curl -s -o /dev/null -w '%{http_code}\n' -m 5 \
			-H "Host: $HOST" -H "$(key key-1)" \
			-H "Mulberryferry-Deadline-Ms: 3000" \
			"http://${!node}/r/$i" >>"$WORK/statuses" &
		LOAD_PIDS+=($!)
		sleep "$LOAD_GAP_S"
	done
	wait "${LOAD_PIDS[@]}"
	LOAD_PIDS=()
}
LOAD_PIDS=()

# runs UPSTREAM FROM_MS: prints the times of its runs from FROM_MS on.
runs() {
	sed -n 's/^run .* at_ms=\([0-9]*\) .*/\1/p' "$WORK/$1.out" |
		awk -v from="$2" '$1 >= from'
}

# most_in_window: prints the most of the times read in one WINDOW_MS.
most_in_window() {
	awk -v w=$WINDOW_MS '{t[NR] = $1; while ($1 - t[first + 1] > w) first++
		if (NR - first > most) most = NR - first} END {print most + 0}'
}

# served_share: prints the share of statuses 200 in percent.
served_share() {
	awk '{n++; ok += $1 == 200} END {print int(100 * ok / n)}' \
		"$WORK/statuses"
}

start_platform_store
start_platform_node a1 a
start_platform_node b1 b
put_document 3 one '"key-1"'
start_platform_upstream u1 a1 one 30
start_platform_upstream u2 b1 one 30
for n in a1 b1; do
	wait_for 15 status_is 200 $n /r/0 -H "$(key key-1)" ||
		fail "$n does not serve"
done

upstream_fault u1 limit=$LIMIT
start=$(now_ms)
load 10
most=$(runs u1 $((start + 3000)) | most_in_window)
[ "$most" -le $ALLOWED ] ||
	fail "an upstream that takes $LIMIT a second got $most in 4 s"
[ "$(served_share)" -ge 95 ] || fail "$(served_share) % were served"
echo "ok most in 4 s: $most, allowed $ALLOWED; served: $(served_share) %"

upstream_fault u1 limit=
load 4
most=$(runs u1 "$start" | tail -n 200 | most_in_window)
[ "$most" -gt $ALLOWED ] || fail "a limit that ended still holds: $most in 4 s"
echo "ok a limit that is no longer named ends"

for text in -3 abc nan 1e999; do
	upstream_fault u1 "limit=$text"
	request a1 /r/x -H "$(key key-1)" >/dev/null
	request b1 /r/x -H "$(key key-1)" >/dev/null
done
load 2
grep -q "event=upstream-limit-refused" "$WORK/a1.log" ||
	fail "no event=upstream-limit-refused"
upstream_fault u1 limit=
echo "ok limits that are no number are refused"

: >"$WORK/statuses"
upstream_fault u1 leaving=1
start=$(now_ms)
load 5
late=$(runs u1 $((start + 2500)) | wc -l)
[ "$late" = 0 ] || fail "$late requests reached an upstream that had left"
[ "$(served_share)" -ge 95 ] || fail "$(served_share) % were served"
grep -q event=upstream-leaving "$WORK/a1.log" || fail "no event=upstream-leaving"
echo "ok an upstream that leaves by its answers gets nothing new"
echo "upstream limit passed"
