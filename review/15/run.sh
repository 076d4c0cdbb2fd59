#!/usr/bin/env bash
# Case 15: clients read slowly; see claim.txt.
CASE=$(dirname "$0")
cd "$CASE/../.." || exit 2
CASE=review/15
. review/stand-3/common.bash

ONE="a1 a2 a3"
zones=(a b c)
i=0
RATE=0 # bytes a millisecond; 0: as fast as they come
[ "$TROUBLE" = 0 ] || RATE=3000

start_store
for n in $ONE b1; do
	start_node $n ${zones[i++ % 3]} $([[ $n = a* ]] && echo one || echo two)
done
put_config 3 '["dl", "h.example", "/dl/", "safe", 6, 1.5, 1, "one", 2, false,
	null]' '["one", "/health", 1336], ["two", "/health", 1336]'
for n in $ONE; do
	start_backend o_$n $n one 206 90
done
for n in $ONE b1; do
	wait_for 20 serves $n "/dl/probe?bytes=100" || cannot "$n does not serve"
done

# 16 clients of one machine, on kept connections: each sends two requests at
# once, every seven seconds, for answers of 8 MB.
clients slow b1 16 20 7000 GET "/dl/first?bytes=8000000,/dl/second?bytes=8000000" \
	0 6000 2 $RATE
guard 26 $ONE b1 2>/dev/null
sleep 1

# A request counts if it was passed on to a backend, got no byte of an answer,
# and its connection was closed before the client's deadline. Answers of which
# only a part came don't count.
cat "$WORK"/o_*.out | sed -n 's/^run .* id=\([^ ]*\) .*/\1/p' | sort >"$WORK/ran"
sed -n 's/^request id=\([^ ]*\) .*took_ms=\([0-9]*\) got=closed$/\1 \2/p' \
	"$WORK/slow.out" | awk '$2 < 6000 {print $1}' | sort |
	comm -12 - "$WORK/ran" >"$WORK/lost"
lost=$(wc -l <"$WORK/lost")
{
	echo "TROUBLE=$TROUBLE"
	cat "$WORK/killed" "$WORK/peaks"
	grep -h "event=slow-reader-cut" "$WORK/b1.log" | sed 's/.*event=/b1: /'
	echo "requests, by what they got:"
	sed 's/.*got=//' "$WORK/slow.out" | sort | uniq -c
	echo "what ran: $(wc -l <"$WORK/ran")"
	echo "passed on and closed without an answer: $(tr '\n' ' ' <"$WORK/lost")"
	echo "lost: $lost (the rule allows 3)"
} >"$CASE/record.txt"
tail -n 1 "$CASE/record.txt"
[ "$lost" -le 3 ]
