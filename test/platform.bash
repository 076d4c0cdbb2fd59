# Functions for the scripts that run nodes with the platform interface, to be
# sourced after harness.bash.

HOST=h.example

# document VERSION SERVICE KEYS: prints a configuration with a route for the
# requests of accounts, one for once-only requests and one that needs no key,
# and the rows of EXTRA_ROUTES.
document() {
	local route='"safe",2,0.5,2,"'$2'",2,false'
	local once='"unsafe",2,0.5,0,"'$2'",2,false'
	local open='"safe",2,0.5,1,"'$2'",2,true'
	cat <<-END
	{"version": $1, "routes": {"columns": ["name", "host", "prefix",
	"route_kind", "timeout_s", "target_latency_s", "priority", "service",
	"max_attempts", "allow_anonymous"], "rows": [
	["r", "$HOST", "/r/", $route], ["once", "$HOST", "/once/", $once],
	["open", "$HOST", "/open/", $open]${EXTRA_ROUTES:-}]},
	"services": {"columns": ["name", "max_connections",
	"health_path"${COLD_COLUMNS:-}],
	"rows": [["one", 64, "/health"${COLD_VALUES:-}],
	["two", 64, "/health"${COLD_VALUES:-}]]},
	"limits": {"max_header_bytes": 16384, "max_body_bytes": ${MAX_BODY:-100000},
	"header_timeout_s": 3, "idle_timeout_s": 15},
	"tenants": {"columns": ["name", "api_keys", "priority", "rate_per_s",
	"burst"], "rows": [["acc", [$3], 1, 1000, 200],
	["few", ["key-few"], 1, 2, 4]]}}
	END
}

# put_document VERSION SERVICE KEYS: writes the configuration to the store.
put_document() {
	document "$@" | curl -sf -o /dev/null -X PUT --data-binary @- \
		"http://$STORE/standin/document" || fail "document $1"
}

# store_fault QUERY: sets faults of the store.
store_fault() {
	curl -sf -o /dev/null "http://$STORE/standin/faults?$1"
}

# upstream_fault NAME QUERY: sets faults of an upstream.
upstream_fault() {
	curl -sf -o /dev/null "http://$(listening "$1")/standin/faults?$2"
}

# request NODE PATH [CURL OPTIONS]: prints the status; leaves the headers in
# WORK/head and the body in WORK/body.
request() {
	local callers="callers_$1" path=$2
	shift 2
	curl -s -o "$WORK/body" -D "$WORK/head" -w '%{http_code}' -m 5 \
		-H "Host: $HOST" -H "Mulberryferry-Deadline-Ms: 3000" \
		-H "X-Extra: kept" "$@" "http://${!callers}$path"
}

# key KEY: prints the header that carries a client's key.
key() {
	echo "Authorization: Bearer $1"
}

# expect STATUS NODE PATH [CURL OPTIONS]: fails unless the status is as given.
expect() {
	local status
	status=$(request "${@:2}")
	[ "$status" = "$1" ] || fail "${*:3}: status $status instead of $1," \
		"$(cat "$WORK/body")"
}

# status_is STATUS NODE PATH [CURL OPTIONS]: succeeds if the status is as given.
status_is() {
	[ "$(request "${@:2}")" = "$1" ]
}

# start_platform_node NAME DATA_CENTRE
start_platform_node() {
	local name=$1 dc=$2 l
	cat >"$WORK/$name.json" <<-END
	{
		"host": "$name", "data_centre": "$dc",
		"region": "${REGION:-test}",
		"interface": "platform",
		"listen": {"callers": "127.0.0.1:0", "services": "127.0.0.1:0",
			"ready": "127.0.0.1:0", "nodes": "127.0.0.1:0",
			"admin": "127.0.0.1:0"},
		"upstream": {"service": "front"}, "bootstrap_operator": "$BOOTSTRAP",
		"store": {"kind": "platform", "address": "$STORE",
			"calls_per_second": 100},
		${HOST_LIMITS:-}
		"promises": ["revoke_s=${REVOKE_S:-2}", "drain_s=2", "grace_s=6",
			"budget_ratio=0.2", ${PROMISES:-}"not_known=1"${MORE_PROMISES:-}]
	}
	END
	run_node "$name" "$BIN" node --settings "$WORK/$name.json"
	wait_for 10 grep -q event=listening "$WORK/$name.log" ||
		fail "$name did not start: $(cat "$WORK/$name.log")"
	for l in callers services nodes admin ready; do
		eval "${l}_$name=$(field "$WORK/$name.log" listening $l)"
	done
}

# start_platform_upstream NAME NODE SERVICE [WORK_MS [OPTIONS]]
start_platform_upstream() {
	local services="services_$2"
	run "$1" "$TOOLS/platform_upstream" --listen 127.0.0.1:0 \
		--node "${!services}" --service "$3" --instance "$1" \
		--work-ms "${4:-5}" "${@:5}"
	wait_for 5 test -s "$WORK/$1.out" || fail "$1 did not start"
}

# start_platform_store: starts the platform's store and sets STORE.
start_platform_store() {
	run store "$TOOLS/platform_store"
	wait_for 5 test -s "$WORK/store.out" || fail "store did not start"
	STORE=$(listening store)
}

# start_two_hosts [WORK_MS]: starts the store, the nodes a1 and b1, and beside
# each an upstream of service one, u1 and u2; waits until both nodes serve.
start_two_hosts() {
	local n
	start_platform_store
	start_platform_node a1 a
	start_platform_node b1 b
	put_document 3 one '"key-1"'
	start_platform_upstream u1 a1 one "${1:-5}"
	start_platform_upstream u2 b1 one "${1:-5}"
	for n in a1 b1; do
		wait_for 15 status_is 200 $n /r/0 -H "$(key key-1)" ||
			fail "$n does not serve"
	done
}

LOAD_GAP_S=0.025 # between two requests of load

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

# served_share: prints the share of statuses 200 in percent.
served_share() {
	awk '{n++; ok += $1 == 200} END {print int(100 * ok / n)}' \
		"$WORK/statuses"
}

# evacuate DATA_CENTRE, evacuate_end DATA_CENTRE: writes and removes the order
# in the store.
evacuate() {
	curl -sf -o /dev/null -X PUT "http://$STORE/standin/evacuate/$1" ||
		fail "evacuate $1"
}
evacuate_end() {
	curl -sf -o /dev/null -X DELETE "http://$STORE/standin/evacuate/$1" ||
		fail "end the evacuation of $1"
}

# restart_platform_node NAME SIGNAL: ends the node by the signal and starts it
# again at its addresses.
restart_platform_node() {
	local pid="pid_$1" l var
	kill -"$2" "${!pid}"
	wait "${!pid}" 2>/dev/null
	cat "$WORK/$1.log" >>"$WORK/$1.all"
	for l in callers services ready nodes admin; do
		var="${l}_$1"
		sed -i "s/\"$l\": \"[^\"]*\"/\"$l\": \"${!var}\"/" \
			"$WORK/$1.json"
	done
	run_node "$1" "$BIN" node --settings "$WORK/$1.json"
	wait_for 10 grep -q event=listening "$WORK/$1.log" ||
		fail "$1 did not start again: $(cat "$WORK/$1.log")"
}

# tell NODE INSTANCE CALL BODY: sends a heartbeat or deregistration to the node
# and prints the status.
tell() {
	local services="services_$1"
	curl -s -o /dev/null -w '%{http_code}' -m 2 -d "$4" \
		-H "Content-Type: application/json" \
		"http://${!services}/mulberryferry/instances/$2/$3"
}

# announce UPSTREAM NODE [SLOTS]: sends a heartbeat for an upstream of service one
# that sends none itself, and another one to the address that the node names for
# later ones.
SEQUENCE=0
announce() {
	local to="services_$2" named
	named=${!to}
	while [ "$named" ]; do
		SEQUENCE=$((SEQUENCE + 1))
		to=$named
		curl -sf -o "$WORK/announced" -m 2 -d "{\"service\":\"one\",
			\"address\":\"$(listening "$1")\",\"zone\":\"a\",
			\"version\":\"v1\",\"slots\":${3:-16},\"state\":\"ready\",
			\"cold_remaining_s\":0,\"sequence\":$SEQUENCE,
			\"born\":1700000000000}" \
			-H "Content-Type: application/json" \
			"http://$to/mulberryferry/instances/i-$1/heartbeat" ||
			return 1
		named=$(sed -n 's/.*"heartbeat_url":"\([^"]*\)".*/\1/p' \
			"$WORK/announced")
		[ "$named" != "$to" ] || named=
	done
}

# put_entry KEY VALUE: writes an entry as another writer would.
put_entry() {
	{
		printf '{"expected_revision":[],"deletes":[],"writes":[{"key":"%s","value":"' "$1"
		printf %s "$2" | base64 -w 0
		printf '"}]}'
	} | curl -sf -o /dev/null -m 5 -d @- "http://$STORE/mulberryferry/kv-txn" ||
		fail "cannot write $1"
}

VERSION=3 # of the document in force
# all_follow WHAT: a1 and b1 run, put the next version in force and serve.
all_follow() {
	local n pid
	VERSION=$((VERSION + 1))
	put_document $VERSION one '"key-1"'
	for n in a1 b1; do
		pid="pid_$n"
		kill -0 "${!pid}" 2>/dev/null ||
			fail "$1: $n ended: $(tail -n 3 "$WORK/$n.log")"
		grep "Sanitizer\|runtime error" "$WORK/$n.log" && fail "$1: $n"
		wait_for 10 grep -q "config-in-force number=$VERSION " \
			"$WORK/$n.log" || fail "$1: $n does not follow"
		wait_for 10 status_is 200 $n /r/0 -H "$(key key-1)" ||
			fail "$1: $n does not serve: $(cat "$WORK/body")" \
				"$(tail -n 3 "$WORK/$n.log")"
	done
}
