#!/usr/bin/env bash
# Some clients of one host send long bodies at the same time. The platform
# ends a process that needs more memory than the host's limit.
CASE=5
. "$(dirname "$0")/../common.bash"
MEMORY_KB=$((260 * 1024)) # limits.memory_mb of the site
BODY=15000000		  # max_body_bytes is 67,108,864
SENDERS=24		  # a host has about 30 clients
SEND_RATE=4000000	  # bytes a second
WAITING=8		  # requests that wait for an answer meanwhile

start_store
start_node a1 a one
start_node b1 b one
put_document 3
start_upstream u1 a1 one 2000
start_upstream u2 b1 one 2000
wait_for 20 serves a1 || cannot_run "a1 does not serve"
wait_for 20 serves b1 || cannot_run "b1 does not serve"

[ "$TROUBLE" = 1 ] || SENDERS=0
sleep 4
record "started_ms=$(now_ms) senders=$SENDERS body_bytes=$BODY"
CLIENT_PIDS=()
for ((i = 1; i <= SENDERS; i++)); do
	request a1 "/r/long$i" -X POST --body-bytes $BODY --send-rate $SEND_RATE \
		-H "Mulberryferry-Attempt-Id: 000000000000e$(printf %03d $i)" \
		>"$WORK/sender$i" &
	CLIENT_PIDS+=($!)
	PIDS+=($!)
done
peak=0 killed=0
for ((t = 0; t < 100; t++)); do
	if [ "$t" = 0 ]; then
		for ((i = 1; i <= WAITING; i++)); do
			request a1 "/once/$i" -X POST --warm "/r/0" \
				-H "Mulberryferry-Attempt-Id: 000000000000d$(printf %03d $i)" \
				>"$WORK/waiting$i" &
			CLIENT_PIDS+=($!)
			PIDS+=($!)
		done
	fi
	rss=$(sed -n 's/^VmRSS:[^0-9]*\([0-9]*\).*/\1/p' "/proc/$pid_a1/status" 2>/dev/null)
	[ "${rss:-0}" -gt "$peak" ] && peak=$rss
	if [ "${rss:-0}" -gt "$MEMORY_KB" ] && [ "$killed" = 0 ]; then
		killed=1
		record "the platform ends a1 at_ms=$(now_ms) memory_kb=$rss"
		kill -KILL "$pid_a1"
	fi
	sleep 0.05
done
wait "${CLIENT_PIDS[@]}"
record "peak_kb=$peak limit_kb=$MEMORY_KB"
for ((i = 1; i <= SENDERS; i++)); do
	record "sender $i: $(cat "$WORK/sender$i")"
done
for ((i = 1; i <= WAITING; i++)); do
	record "waiting $i: $(cat "$WORK/waiting$i")"
done
grep -h "run POST" "$WORK"/u?.out >>"$RECORD"
answered=$(cat "$WORK"/waiting? | grep -c "status=200 .*end=complete")
closed=$(cat "$WORK"/waiting? | grep -c "end=closed\|end=reset")
ran=$(grep -h "run POST /once" "$WORK"/u?.out | wc -l)
record "answered=$answered closed=$closed ran=$ran killed=$killed"
[ $((answered + closed)) = $WAITING ] || cannot_run "not every request was sent"
[ "$killed" = 1 ] && [ "$closed" -gt 3 ] && [ "$ran" -gt 3 ] &&
	verdict 1 "LOST: the process outgrew its memory, $closed of $WAITING requests that ran were closed without an answer"
verdict 0 "held: peak $peak KB, $closed of $WAITING requests closed"
