#!/usr/bin/env bash
# Case 15: a configuration has a higher limit, and does not come into force; see
# claim.txt.
CASE=$(dirname "$0")
cd "$CASE/../.." || exit 2
CASE=review/15
. review/stand-3/common.bash

NODES="a1 a2 b1 b2"
zones=(a b a b)
i=0

start_store
for n in $NODES; do
	start_node $n ${zones[i++]} $([[ $n = a* ]] && echo one || echo two)
done
SERVICES='["one", "/health", 730], ["two", "/health", 730]'
put_config 3 '["r", "h.example", "/r/", "safe", 3, 1, 1, "one", 2, false, null]' \
	"$SERVICES"
for n in a1 a2; do
	start_backend o_$n $n one 105 20
done
for n in b1 b2; do
	start_backend t_$n $n two 105 20
done
for n in $NODES; do
	wait_for 20 serves $n /r/probe || cannot "$n does not serve"
done
sleep 4 # until all machines are in touch (stability_s is 3)

for n in $NODES; do
	clients read_$n $n 5 14 100 GET /r/x 2500
done
sleep 3
# The next version moves the route to the other service, and lets clients send
# bodies of up to 1 GiB.
[ "$TROUBLE" = 0 ] || MAX_BODY=1073741824
put_config 4 '["r", "h.example", "/r/", "safe", 3, 1, 1, "two", 2, false, null]' \
	"$SERVICES"
acknowledged=$($STANDS/clients3 now)
sleep 13

# Requests sent later than config_s (2 s) after that, and run by the old service.
cat "$WORK"/o_*.out | sed -n 's/^run .* id=\([^ ]*\) .*/\1/p' | sort >"$WORK/old"
cat "$WORK"/read_*.out |
	sed -n 's/^request id=\([^ ]*\) sent_ms=\([0-9]*\) .*/\1 \2/p' |
	awk -v t=$((acknowledged + 2000)) '$2 > t {print $1}' | sort >"$WORK/late"
stale=$(comm -12 "$WORK/old" "$WORK/late" | wc -l)
{
	echo "TROUBLE=$TROUBLE"
	echo "max_body_bytes of version 4: ${MAX_BODY:-67108864}"
	echo "version 4 acknowledged at $acknowledged ms"
	echo "requests by what they got, per second from then on:"
	cat "$WORK"/read_*.out |
		sed -n 's/.* sent_ms=\([0-9]*\) .*got=\(.*\)/\1 \2/p' |
		awk -v t=$acknowledged '$1 >= t {print int(($1 - t) / 1000), $2}' |
		sort -n | uniq -c
	echo "sent: $(cat "$WORK"/read_*.out | wc -l), answered with success:" \
		"$(cat "$WORK"/read_*.out | grep -c 'got=200+')," \
		"run by the old service: $(wc -l <"$WORK/old")," \
		"by the new one: $(cat "$WORK"/t_*.out | grep -c '^run ')"
	echo "runs at the old service after config_s:" \
		"$(comm -12 "$WORK/old" "$WORK/late" | head -n 5 | tr '\n' ' ')..."
	grep -h "event=document-refused" "$WORK/a1.log" | sed 's/.*event=/a1: /' |
		sort | uniq -c
	for n in $NODES; do
		is_ready $n || echo "$n says that it is not ready"
	done
	echo "run as only version 3 allows, sent 2 s after version 4 and later:" \
		"$stale (the rule allows none)"
} >"$CASE/record.txt"
tail -n 1 "$CASE/record.txt"
[ "$stale" -eq 0 ]
