#!/usr/bin/env bash
# Requests of a route with max_attempts 1 run on two backends, if their runs make
# calls of their own and the answer is lost.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../stand-2/common.bash"

LOSSY="b1 b2 b3" # of six: share 0.5

start_store
for i in 1 2 3 4 5 6; do
	start_node n$i one
done
start_node n7 two
configure 3 "[\"r\", \"$HOST\", \"/r/\", \"safe\", 5, 1.2, 2, \"one\", 1, false],
	[\"i\", \"$HOST\", \"/inner/\", \"safe\", 2, 0.8, 2, \"two\", 2, true]" \
	'["one", 730], ["two", 730]'
for i in 1 2 3 4 5 6; do
	start_backend b$i n$i one 20 105 "call=$HOST/inner/x" lose=call
done
start_backend b7 n7 two 5 105
wait_for 20 serves n1 /r/warm || could_not "n1 does not serve"
wait_for 20 serves n1 /r/call-warm || could_not "calls are not served"
sleep 2

note "traffic begins"
clients n1 key-1 5000 3600 3 GET /r/plain aa &
PLAIN=$!
sleep 4
if [ "$TROUBLE" != 0 ]; then
	note "answer_lost begins at $LOSSY"
	for b in $LOSSY; do
		pid=pid_$b
		kill -USR1 "${!pid}"
	done
fi
clients n1 key-1 5000 40 100 GET /r/call bb
if [ "$TROUBLE" != 0 ]; then
	note "answer_lost ends"
	for b in $LOSSY; do
		pid=pid_$b
		kill -USR2 "${!pid}"
	done
fi
wait $PLAIN
sleep 1

# The backends, by request, on which it ran.
grep -o 'backend b[1-6] runs [0-9a-f]*' "$RECORD" | sort -u |
	awk '{n[$4]++} END {for (id in n) if (n[id] > 1) print id, n[id]}' |
	sort >"$WORK/over"
# What the lossy backends ran while they lost answers, and what they lost of it.
awk '/answer_lost begins/ {on = 1} /answer_lost ends/ {on = 0}
	on && $2 == "backend" && $3 ~ /^b[123]$/ {n[$4]++}
	END {printf "lost %d of %d\n", n["loses-answer"], n["runs"]}' "$RECORD" \
	>"$WORK/dose"
note "answers of the lossy backends: $(cat "$WORK/dose")"
ran=$(grep -c 'backend b[1-6] runs ' "$RECORD")
lost=$(grep -c ' loses-answer ' "$RECORD")
over=$(wc -l <"$WORK/over")
note "$ran runs, $lost answers lost, $over requests on more than one backend:" \
	"$(tr '\n' ';' <"$WORK/over")"
grep " script " "$RECORD" | tail -n 1
[ "$ran" -gt 1000 ] || could_not "too few runs"
[ "$over" -le 3 ] || exit 1
