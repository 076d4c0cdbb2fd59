#!/usr/bin/env bash
# Case 14: answers of backends are lost, of clients that send further requests
# before the first one is answered; see claim.txt.
CASE=$(dirname "$0")
cd "$CASE/../.." || exit 2
CASE=review/14
. review/stand-3/common.bash

ONE="a1 a2 a3"
TWO="b1 b2 b3 b4 b5"
zones=(a b c)
i=0

start_store
for n in $ONE $TWO; do
	start_node $n ${zones[i++ % 3]} $([[ $n = a* ]] && echo one || echo two)
done
put_config 3 '["dl", "h.example", "/dl/", "safe", 6, 2, 0, "one", 2, false,
	null], ["r", "h.example", "/r/", "safe", 6, 1.5, 1, "two", 2, false,
	null]' '["one", "/health", 2164], ["two", "/health", 1336]'
for n in $ONE; do
	start_backend o_$n $n one 344 60
done
for n in b1 b2 b3; do
	start_backend t_$n $n two 206 90 40
done
for n in b4 b5; do
	start_backend t_$n $n two 206 90
done
for n in $ONE $TWO; do
	wait_for 20 serves $n /r/probe || cannot "$n does not serve /r/"
	wait_for 20 serves $n "/dl/probe?bytes=100" ||
		cannot "$n does not serve /dl/"
done

# 64 clients of b1: each sends eight requests at once, every 2.2 seconds. 10
# others send one at a time, on kept connections.
clients further b1 64 12 2200 GET "/r/first,/dl/next?bytes=1900000" 0 6000 8
clients read b1 10 12 100 GET "/dl/read?bytes=400&work=300" 0 2500
guard 13 $ONE $TWO 2>/dev/null &
guard_pid=$!
sleep 3
if [ "$TROUBLE" != 0 ]; then
	kill -USR1 "$pid_t_b1" "$pid_t_b2" "$pid_t_b3"
	echo "three of five backends lose answers, at_ms=$(date +%s%3N)" \
		>>"$WORK/events"
	sleep 6
	kill -USR1 "$pid_t_b1" "$pid_t_b2" "$pid_t_b3"
	echo "no longer, at_ms=$(date +%s%3N)" >>"$WORK/events"
fi
wait $guard_pid
sleep 1

# A request counts if it was sent on a kept connection, alone, was passed on to
# a backend that loses no answers, and its connection was closed without one.
cat "$WORK"/o_*.out | sed -n 's/^run .* id=\([^ ]*\) .*/\1/p' | sort >"$WORK/ran"
sed -n 's/^request id=\([^ ]*\) .*got=closed$/\1/p' "$WORK/read.out" |
	sort | comm -12 - "$WORK/ran" >"$WORK/lost"
lost=$(wc -l <"$WORK/lost")
{
	echo "TROUBLE=$TROUBLE"
	cat "$WORK/events" "$WORK/killed" "$WORK/peaks" 2>/dev/null
	echo "answers that backends lost: $(cat "$WORK"/t_*.out | grep -c '^lost ')"
	echo "requests of eight at once, by what they got:"
	sed 's/.*got=//' "$WORK/further.out" | sort | uniq -c
	echo "requests sent alone, by what they got:"
	sed 's/.*got=//' "$WORK/read.out" | sort | uniq -c
	echo "what ran: $(cat "$WORK"/o_*.out "$WORK"/t_*.out | grep -c '^run ')"
	echo "passed on and closed without an answer: $(tr '\n' ' ' <"$WORK/lost")"
	echo "lost: $lost (the rule allows 3)"
} >"$CASE/record.txt"
tail -n 1 "$CASE/record.txt"
[ "$lost" -le 3 ]
