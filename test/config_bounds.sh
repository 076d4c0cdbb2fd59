#!/usr/bin/env bash
# A valid version of the configuration with a value that a node had no room for
# was refused as a whole: what it moved and withdrew stayed in force, and some
# seconds later all keys were refused. Guards against bounds of our own on
# lengths, counts, sizes, rates, times, weights and fractions of a document.
cd "$(dirname "$0")/.."
. test/harness.bash
. test/platform.bash

CONFIG_S=2 # config_s of the deployments
VERSION=3
USUAL_LIMITS='{"max_header_bytes": 16384, "max_body_bytes": 100000,
	"header_timeout_s": 3, "idle_timeout_s": 15}'

# rows N TEXT: prints N rows from TEXT, in which # becomes 1 to N.
rows() {
	awk -v n="$1" -v text="$2" 'BEGIN {
		for (i = 1; i <= n; i++) {
			row = text
			gsub("#", i, row)
			printf ",%s", row
		}
	}'
}

# long N: prints N letters.
long() {
	head -c "$1" /dev/zero | tr '\0' n
}

# bounded: prints a document. The route /r/ goes to SERVICE and needs KEY; the
# route /vVERSION/ is in this version only. Other variables replace its values.
bounded() {
	cat <<-END
	{"version": $VERSION, "routes": {"columns": ["name", "host", "prefix",
	"route_kind", "timeout_s", "target_latency_s", "priority", "service",
	"max_attempts", "allow_anonymous", "traffic_split"], "rows": [
	["r", "$HOST", "/r/", "safe", ${TIMEOUT:-2}, ${TARGET:-0.5},
	${PRIORITY:-2}, "$SERVICE", ${ATTEMPTS:-2}, false, ${SPLIT:-null}],
	["v$VERSION", "$HOST", "/v$VERSION/", "safe", 2, 0.5, 2, "$SERVICE", 2,
	false, null]${ROUTES:-}]},
	"services": {"columns": ["name", "max_connections"],
	"rows": [["one", ${CONNECTIONS:-64}], ["two", 64]${SERVICES:-}]},
	"limits": ${LIMITS:-$USUAL_LIMITS},
	"tenants": {"columns": ["name", "api_keys", "priority", "rate_per_s",
	"burst"], "rows": [["acc", ["$KEY"], ${RANK:-1}, ${RATE:-1000},
	${BURST:-200}]${TENANTS:-}]}}
	END
}

# is_in_force NODE: whether the node serves the version as a whole, and nothing
# that it withdrew.
is_in_force() {
	local was=$((VERSION - 1))
	status_is 200 "$1" /v$VERSION/x -H "$(key "$KEY")" &&
		status_is 401 "$1" /v$VERSION/x -H "$(key "$OLD_KEY")" &&
		status_is 404 "$1" /v$was/x -H "$(key "$KEY")"
}

# moved NODE: whether the node's requests to /r/ go to SERVICE alone.
moved() {
	local path=/r/v$VERSION-$1
	status_is 200 "$1" "$path" -H "$(key "$KEY")" &&
		grep -q "run GET $path " "$WORK/$SERVICE.out"
}

# takes WHAT [VARIABLE=VALUE]: puts the next version in force on all nodes,
# within config_s. Values that are too large for an environment are given so.
takes() {
	local n "${2:-n}"
	VERSION=$((VERSION + 1))
	OLD_KEY=$KEY KEY=key-$VERSION
	if [ "$SERVICE" = one ]; then SERVICE=two; else SERVICE=one; fi
	bounded >"$WORK/document.json"
	curl -sf -o /dev/null -X PUT --data-binary "@$WORK/document.json" \
		"http://$STORE/standin/document" ||
		fail "$1: the store did not take $(wc -c <"$WORK/document.json") bytes"
	for n in a1 b1; do
		wait_for $CONFIG_S is_in_force $n || fail "$1: $n has not version" \
			"$VERSION: $(grep -h document "$WORK/$n.log" | tail -n 1)"
		[ -n "${SPLIT:-}" ] || wait_for 1 moved $n ||
			fail "$1: $n runs requests at the old service"
		status_is 200 $n /r/y -H "$(key "$KEY")" || fail "$1: $n /r/"
	done
	echo "ok $1"
}

# answers STATUS PATH [CURL OPTIONS]: fails unless both nodes answer so.
answers() {
	expect "$1" a1 "${@:2}" -H "$(key "$KEY")"
	expect "$1" b1 "${@:2}" -H "$(key "$KEY")"
}

# As deploy/settings.json has it.
HOST_LIMITS='"share_hold_s": 60, "share_groups": 8, "data_centres": ["a", "b"],'

# new_key NODE KEY: fails unless the key is served once its account has tokens.
new_key() {
	wait_for 5 status_is 200 "$1" /r/x -H "$(key "$2")" ||
		fail "$1 refuses ${2:0:20}, a new key"
}

start_platform_store
start_platform_node a1 a
start_platform_node b1 b
start_platform_upstream one a1 one
start_platform_upstream two b1 two
SERVICE=two KEY=key-0
bounded | curl -sf -o /dev/null -X PUT --data-binary @- \
	"http://$STORE/standin/document" || fail "the first document"
for n in a1 b1; do
	wait_for 15 status_is 200 $n /r/0 -H "$(key $KEY)" ||
		fail "$n does not serve"
done

for len in 240 250 260 1000 8000; do
	prefix=/p/$(long $len)/
	ROUTES=",[\"long\", \"$HOST\", \"$prefix\", \"safe\", 2, 0.5, 2, \"one\", 2,
		false, null], [\"short\", \"$HOST\", \"/p/\", \"safe\", 2, 0.5, 2,
		\"two\", 2, false, null]" takes "a prefix of $len bytes"
	answers 200 "${prefix}inside"
	grep -q "run GET ${prefix}inside " "$WORK/one.out" ||
		fail "the longest prefix of $len bytes is not taken"
	answers 200 "${prefix%n/}/outside"
	grep -q "run GET ${prefix%n/}/outside " "$WORK/two.out" ||
		fail "another path of $len bytes goes the same way"
done
name=$(long 300).example
ROUTES=",[\"host\", \"$name\", \"/p/\", \"safe\", 2, 0.5, 2, \"one\", 2, false, null]" \
	takes "a host of 300 bytes"
HOST_SHORT=$HOST HOST=$name
answers 200 /p/x
HOST=$HOST_SHORT
answers 404 /p/x

for n in 9 300; do
	SPLIT="[{\"service\":\"one\",\"weight\":1}$(rows $n '{"service":"one","weight":1}')]" \
		takes "a split of $((n + 1)) services"
done
for weights in "0.5 0" "1e-9 0" "5e-324 0" "1e15 0" "1e308 1e-300" "1e400 1"; do
	set -- $weights
	SPLIT="[{\"service\":\"two\",\"weight\":$2},{\"service\":\"one\",\"weight\":$1}]" \
		takes "weights $weights"
	answers 200 /r/w$VERSION
	[ "$(grep -c "run GET /r/w$VERSION " "$WORK/one.out")" = 2 ] ||
		fail "weights $weights: not all requests go to the first"
done
SPLIT='[{"service":"one","weight":0.3},{"service":"two","weight":0.3}]' \
	takes "weights below a half"
for i in $(seq 20); do
	answers 200 /r/half$i
done
for service in one two; do
	n=$(grep -c "run GET /r/half" "$WORK/$service.out")
	[ "$n" -ge 5 ] || fail "$service got $n of 40 requests instead of half"
done
SPLIT='[{"service":"one","weight":0},{"service":"two","weight":0}]' \
	takes "weights of 0"

for s in 86401 1e9 1e300 1e400; do
	TIMEOUT=$s takes "timeout_s $s"
	TARGET=$s takes "target_latency_s $s"
done
TARGET=1e-9 takes "target_latency_s 1e-9"
for n in 257 1e9 1e12 1e300 1.5; do
	ATTEMPTS=$n takes "max_attempts $n"
done
for n in 0.5 1e12 1e400; do
	PRIORITY=$n takes "priority $n of a route"
	RANK=$n takes "priority $n of a tenant"
done
for n in 1e12 1e300; do
	CONNECTIONS=$n takes "max_connections $n"
done
for n in 1073741824 1e12 1e300 18446744073709551616; do
	LIMITS="{\"max_header_bytes\": $n, \"max_body_bytes\": $n,
		\"header_timeout_s\": $n, \"idle_timeout_s\": $n}" \
		takes "limits of $n"
	answers 200 /r/large -H "X-Long: $(long 20000)" \
		--data-binary "$(long 60000)"
done
LIMITS='{"max_header_bytes": 600, "max_body_bytes": 100,
	"header_timeout_s": 0.5, "idle_timeout_s": 0.5}' takes "small limits"
answers 413 /r/x -d "$(long 101)"
answers 431 /r/x -H "X-Long: $(long 600)"
LIMITS='{"max_header_bytes": 16384, "header_timeout_s": 3,
	"idle_timeout_s": 15}' takes "a limit that is left out"
answers 200 /r/x -d "$(long 101)"
LIMITS=null takes "no limits"
answers 200 /r/x -H "X-Long: $(long 600)" -d "$(long 101)"

for n in 1e9 1e10 1e300 1e400; do
	RATE=$n BURST=$n takes "rate_per_s and burst of $n"
done
for n in 5 0.5 0; do
	RATE=100 BURST=$n takes "burst $n"
	for i in $(seq 10); do
		answers 200 /r/b$i
	done
done
RATE=100 BURST=null takes "no burst"
RATE=5e-324 BURST=100 takes "rate_per_s 5e-324"
RATE=0.25 BURST=40 takes "rate_per_s 0.25"

TENANTS=",[\"$(long 5000)\", [\"$(long 9000)\"], 1, 10, 10]" \
	takes "a tenant's name of 5,000 and a key of 9,000 bytes"
new_key a1 "$(long 9000)"
takes "a tenant with 3,000 keys" \
	"TENANTS=,[\"many\", [\"k0\"$(rows 3000 '"k#"')], 1, 100, 100]"
new_key b1 k2999
takes "5,000 tenants" \
	"TENANTS=$(rows 5000 '["tenant-#",["tenant-key-#"],1,20,20]')"
new_key a1 tenant-key-4999
new_key b1 tenant-key-4999
takes "5,000 services" "SERVICES=$(rows 5000 '["service-#",10]')"
row='["route-#","h.example","/more/#/","safe",2,0.5,2,"one",2,false,null]'
takes "7,000 routes" "ROUTES=$(rows 7000 "$row")"
answers 200 /more/6999/x
takes "a document of nearly 1 MiB" "ROUTES=$(rows 12500 "$row")"
answers 200 /more/12500/x
takes "a short document"
answers 404 /more/1/x
for n in a1 b1; do
	grep -h "event=document-refused\|Sanitizer\|runtime error" "$WORK/$n.log" &&
		fail "$n refused a document"
done
echo "config bounds passed"
