#!/usr/bin/env bash
# A new version of the configuration adds a tenant whose name has 66 bytes.
CASE=5
. "$(dirname "$0")/../common.bash"
NAME=Rete-Sportello-Legale-Trinacria-Ufficio-Accoglienza-Palermo-Centro
[ "$TROUBLE" = 1 ] || NAME=Rete-Sportello-Legale-Trinacria
CONFIG_MS=2000 # config_s of the site
WATCH_MS=12000

start_store
start_node a1 a one
start_node b1 b one
put_document 3
start_upstream u1 a1 one 5
start_upstream u2 b1 one 5
wait_for 15 serves a1 || cannot_run "a1 does not serve"
wait_for 15 serves b1 || cannot_run "b1 does not serve"
sleep 4

sed -e 's/"version": 3/"version": 4/' \
	-e "s/\[\"acc\"/[\"$NAME\", [\"key-2\"], 1, 1000, 500], [\"acc\"/" \
	"$WORK/document.json" >"$WORK/second.json"
client "$STORE" /standin/document -H "Host: store" -X PUT \
	--body "$WORK/second.json" | grep -q "status=20" ||
	cannot_run "the store did not take version 4"
acknowledged=$(now_ms)
record "version=4 acknowledged_ms=$acknowledged name_bytes=${#NAME}"

# ask NODE KEY NAME: one request; sets STATUS.
ask() {
	local callers="callers_$1" answer
	n=$((n + 1))
	answer=$(client "${!callers}" "/r/$n" -H "Host: $HOST" \
		-H "Authorization: Bearer $2" -H "Mulberryferry-Deadline-Ms: 5000" \
		-H "Mulberryferry-Attempt-Id: $(printf %016x $n)")
	STATUS=$(sed -n 's/.* status=\([0-9]*\) .*/\1/p' <<<"$answer")
	record "after_ms=$(($(now_ms) - acknowledged)) node=$1 key=$2 $answer"
}
n=0 late=0 broken=0 refused=0 asked=0
while [ $(($(now_ms) - acknowledged)) -lt $WATCH_MS ]; do
	for node in a1 b1; do
		sent=$(($(now_ms) - acknowledged))
		ask $node key-2
		if [ $sent -gt $CONFIG_MS ]; then
			late=$((late + 1))
			[ "$STATUS" = 401 ] && broken=$((broken + 1))
		fi
		ask $node key-1
		asked=$((asked + 1))
		[ "$STATUS" = 503 ] && refused=$((refused + 1))
	done
	sleep 0.5
done
grep -h event=document-refused "$WORK"/?1.log | tail -n 2 >>"$RECORD"
record "new_key_asked_later_than_config_s=$late answered_401=$broken"
record "old_key_asked=$asked answered_503=$refused"
[ $late -gt 10 ] || cannot_run "only $late requests"
[ $broken = 0 ] && verdict 0 "held: $late requests with the new key, none was answered 401"
verdict 1 "CONFIG: $broken of $late requests with the new key got 401 later than config_s; $refused of $asked with the old key got 503"
