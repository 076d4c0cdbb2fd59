# Starts real processes for the scripts in test/ and tools/, waits until they
# listen, and ends each by its own id. Source it; then use the functions.

set -u
BUILD=${BUILD:-build}
BIN=${BIN:-$BUILD/mulberryferry}
TOOLS=${TOOLS:-$BUILD/tools}
WORK=$(mktemp -d)
PIDS=()
SECRET=$(printf '5a%.0s' $(seq 32))
# The operator's key of the tests while a configuration has no operators,
# and its BLAKE2b-256 hash.
export MULBERRYFERRY_KEY=test-operator
BOOTSTRAP=$(printf %s "$MULBERRYFERRY_KEY" | b2sum -l 256 | cut -d ' ' -f 1)

fail() {
	echo "FAILED: $*" >&2
	exit 1
}

# Ends what was started, newest first, and waits for it.
end_processes() {
	local i
	for ((i = ${#PIDS[@]} - 1; i >= 0; i--)); do
		kill -CONT "${PIDS[i]}" 2>/dev/null
		kill -KILL "${PIDS[i]}" 2>/dev/null
		wait "${PIDS[i]}" 2>/dev/null
	done
	PIDS=()
}

end_all() {
	end_processes
	rm -rf "$WORK"
}
trap end_all EXIT
trap 'exit 143' TERM INT

# wait_for SECONDS COMMAND...: until the command succeeds.
wait_for() {
	local tries=$(($1 * 20))
	shift
	while ! "$@" >/dev/null 2>&1; do
		((tries-- > 0)) || return 1
		sleep 0.05
	done
}

# field FILE EVENT KEY: value of KEY in the first line of that event.
field() {
	sed -n "s/.*event=$2 .*\b$3=\([^ ]*\).*/\1/p" "$1" | head -n 1
}

# run NAME COMMAND...: in the background; output to WORK/NAME.{out,log}.
run() {
	local name=$1
	shift
	"$@" >"$WORK/$name.out" 2>"$WORK/$name.log" &
	PIDS+=($!)
	eval "pid_${name//-/_}=$!"
}

# run_node NAME COMMAND...: the same for a node, which logs to its output.
run_node() {
	local name=$1
	shift
	"$@" >"$WORK/$name.log" 2>&1 &
	PIDS+=($!)
	eval "pid_${name//-/_}=$!"
}

listening() {
	sed -n 's/^listening=//p' "$WORK/$1.out" | head -n 1
}

# start_store: sets STORE to its address.
start_store() {
	run store "$TOOLS/store" "$@"
	wait_for 5 test -s "$WORK/store.out" || fail "store did not start"
	STORE=$(listening store)
}

# start_node NAME DATA_CENTRE [MORE SETTINGS]: sets callers_NAME and so on.
start_node() {
	local name=$1 dc=$2 more=${3:-} seeds=${SEEDS:-} var=${1//-/_} l
	cat >"$WORK/$name.json" <<-END
	{
		"host": "$name", "data_centre": "$dc", "region": "test",
		"listen": {"callers": "127.0.0.1:0", "services": "127.0.0.1:0",
			"nodes": "${NODES_ADDR:-127.0.0.1:0}",
			"admin": "127.0.0.1:0"},
		"seeds": [$seeds],
		"store": {"kind": "${STORE_KIND:-etcd}",
			"address": "${STORE:-127.0.0.1:1}"},
		"secret": "$SECRET", "bootstrap_operator": "$BOOTSTRAP"$more
	}
	END
	run_node "$name" "$BIN" node --settings "$WORK/$name.json"
	wait_for 10 grep -q event=listening "$WORK/$name.log" ||
		fail "$name did not start: $(cat "$WORK/$name.log")"
	for l in callers services nodes admin; do
		eval "${l}_$var=$(field "$WORK/$name.log" listening $l)"
	done
	[ -n "${SEEDS:-}" ] || eval "SEEDS=\"\\\"\$nodes_$var\\\"\""
}

# start_upstream NAME NODE SERVICE [OPTIONS]
start_upstream() {
	local name=$1 node=${2//-/_} service=$3
	shift 3
	local services="services_$node"
	run "$name" "$TOOLS/upstream" --node "${!services}" \
		--service "$service" "$@"
	wait_for 5 test -s "$WORK/$name.out" || fail "$name did not start"
	eval "addr_${name//-/_}=$(listening "$name")"
}

# admin NODE METHOD PATH [CURL OPTIONS]: body, then the status on a line.
admin() {
	local node="admin_${1//-/_}" method=$2 path=$3
	shift 3
	curl -s -w '\n%{http_code}\n' -X "$method" \
		-H "Authorization: Bearer $MULBERRYFERRY_KEY" "$@" \
		"http://${!node}$path"
}

# ready NODE: the node has a configuration and serves.
ready() {
	local admin="admin_${1//-/_}"
	curl -sf -o /dev/null "http://${!admin}/readyz"
}

# key_hash KEY: the BLAKE2b-256 hash that a note carries.
key_hash() {
	printf %s "$1" | b2sum -l 256 | cut -d ' ' -f 1
}

# apply_note NODE FILE [OPTIONS]: fails unless it was accepted.
apply_note() {
	local admin="admin_${1//-/_}" file=$2
	shift 2
	"$BIN" note apply --admin "${!admin}" "$@" "$file" \
		>"$WORK/apply.out" 2>&1 || fail "note $file: $(cat "$WORK/apply.out")"
}

# call NODE METHOD PATH [CURL OPTIONS]: prints the whole answer.
call() {
	local callers="callers_${1//-/_}" method=$2 path=$3
	shift 3
	curl -s -i -m 20 -X "$method" "$@" "http://${!callers}$path"
}

# counts NAME KEY: one number of an upstream's counts.
counts() {
	local addr="addr_${1//-/_}"
	# The answer ends without a newline, which sed would leave out too.
	{
		curl -s "http://${!addr}/mulberryferry/v1/counts"
		echo
	} | sed -n "s/.*\"$2\":[ ]*\([0-9]*\).*/\1/p"
}

# control NAME QUERY: changes an upstream while it runs.
control() {
	local addr="addr_${1//-/_}"
	curl -sf -o /dev/null -X PUT \
		"http://${!addr}/mulberryferry/v1/control?$2"
}

# faults QUERY: changes the store while it runs.
faults() {
	curl -sf -o /dev/null -X PUT "http://$STORE/standin/faults?$1"
}

# metric NODE NAME: the value of a counter of a node.
metric() {
	local admin="admin_${1//-/_}"
	curl -s "http://${!admin}/metrics" |
		sed -n "s/^mulberryferry_$2_total \([0-9]*\)$/\1/p"
}
