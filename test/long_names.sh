#!/usr/bin/env bash
# A version of the configuration with a name of 66 bytes never came into force,
# and all keys were refused soon after, on every host.
cd "$(dirname "$0")/.."
. test/harness.bash
. test/platform.bash

TENANT=Rete-Sportello-Legale-Trinacria-Ufficio-Accoglienza-Palermo-Centro
OTHER=${TENANT%o}a # differs at its end only
SERVICE=$(printf 'service-with-a-long-name-%.0s' 1 2 3 4)

start_two_hosts
start_platform_upstream u3 a1 "$SERVICE"
document 4 one '"key-1"' | sed \
	-e "s/\[\"acc\"/[\"$TENANT\", [\"key-2\"], 1, 1000, 500], [\"$OTHER\", [\"key-3\"], 1, 1000, 500], &/" \
	-e "s/\[\"once\", /[\"$SERVICE\", \"$HOST\", \"\/long\/\", \"safe\", 2, 0.5, 2, \"$SERVICE\", 2, false], &/" \
	-e "s/\[\"one\", 64/[\"$SERVICE\", 64, null], &/" >"$WORK/document.json"
curl -sf -o /dev/null -X PUT --data-binary "@$WORK/document.json" \
	"http://$STORE/standin/document" || fail "the document was not taken"
wait_for 5 status_is 200 a1 /r/new -H "$(key key-2)" ||
	fail "the new key of a long name is refused"
sleep 4 # until keys of a version that is not proved the newest are refused
for node in a1 b1; do
	wait_for 2 status_is 200 $node /r/old -H "$(key key-1)" ||
		fail "$node refuses the other keys"
	wait_for 2 status_is 200 $node /long/1 -H "$(key key-3)" ||
		fail "$node has no upstream of the service with the long name"
	wait_for 2 status_is 200 $node /r/long$node -H "$(key key-2)" ||
		fail "$node refuses the new key"
done
grep -h "run GET /r/long" "$WORK"/u?.out |
	grep -qv "mulberryferry-tenant=$TENANT " && fail "runs without the name"
grep -q "run GET /long/1 .*mulberryferry-tenant=$OTHER " "$WORK/u3.out" ||
	fail "u3 ran $(cat "$WORK/u3.out")"
grep -h event=document-refused "$WORK"/*.log && fail "a document was refused"
echo "ok names of any length are in force, and upstreams get them whole"
echo "long names passed"
