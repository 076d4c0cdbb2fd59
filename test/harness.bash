# Functions for the scripts in test/ and tools/, to be sourced. They start
# nodes, the store and upstreams as processes, wait until these listen, send
# requests to them, and end each by its process id when the script exits.

set -u
BUILD=${BUILD:-build}
BIN=${BIN:-$BUILD/mulberryferry}
TOOLS=${TOOLS:-$BUILD/tools}
WORK=$(mktemp -d)
PIDS=()
SECRET=$(printf '5a%.0s' $(seq 32))
# The bootstrap operator's key, which is valid while the configuration has no
# operators, and its BLAKE2b-256 hash.
export MULBERRYFERRY_KEY=test-operator
BOOTSTRAP=$(printf %s "$MULBERRYFERRY_KEY" | b2sum -l 256 | cut -d ' ' -f 1)

fail() {
	echo "FAILED: $*" >&2
	exit 1
}

# Kills the started processes, newest first, and waits for each to end.
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

# wait_for SECONDS COMMAND...: repeats the command every 50 ms until it
# succeeds. Fails after SECONDS * 20 retries; the time that the command itself
# takes is not counted.
wait_for() {
	local tries=$(($1 * 20))
	shift
	while ! "$@" >/dev/null 2>&1; do
		((tries-- > 0)) || return 1
		sleep 0.05
	done
}

# field FILE EVENT KEY: prints the value of KEY in the first log line of EVENT.
field() {
	sed -n "s/.*event=$2 .*\b$3=\([^ ]*\).*/\1/p" "$1" | head -n 1
}

# run NAME COMMAND...: runs the command in the background, with its standard
# output in WORK/NAME.out, its standard error in WORK/NAME.log and its process
# id in pid_NAME. A "-" in NAME becomes "_" in this and all other variables.
run() {
	local name=$1
	shift
	"$@" >"$WORK/$name.out" 2>"$WORK/$name.log" &
	PIDS+=($!)
	eval "pid_${name//-/_}=$!"
}

# run_node NAME COMMAND...: as run, with both outputs in WORK/NAME.log.
run_node() {
	local name=$1
	shift
	"$@" >"$WORK/$name.log" 2>&1 &
	PIDS+=($!)
	eval "pid_${name//-/_}=$!"
}

# listening NAME: prints the address on which a process listens.
listening() {
	sed -n 's/^listening=//p' "$WORK/$1.out" | head -n 1
}

# start_store [OPTIONS]: starts the test store and sets STORE to its address.
start_store() {
	run store "$TOOLS/store" "$@"
	wait_for 5 test -s "$WORK/store.out" || fail "store did not start"
	STORE=$(listening store)
}

# start_node NAME DATA_CENTRE [MORE SETTINGS]: starts a node and sets
# callers_NAME, services_NAME, nodes_NAME and admin_NAME to its addresses. The
# first node becomes the seed of the later ones, unless SEEDS is set.
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

# start_upstream NAME NODE SERVICE [OPTIONS]: starts an upstream that announces
# itself to NODE and sets addr_NAME to its address.
start_upstream() {
	local name=$1 node=${2//-/_} service=$3
	shift 3
	local services="services_$node"
	run "$name" "$TOOLS/upstream" --node "${!services}" \
		--service "$service" "$@"
	wait_for 5 test -s "$WORK/$name.out" || fail "$name did not start"
	eval "addr_${name//-/_}=$(listening "$name")"
}

# admin NODE METHOD PATH [CURL OPTIONS]: prints the response body of the admin
# API, then the status on a line of its own.
admin() {
	local node="admin_${1//-/_}" method=$2 path=$3
	shift 3
	curl -s -w '\n%{http_code}\n' -X "$method" \
		-H "Authorization: Bearer $MULBERRYFERRY_KEY" "$@" \
		"http://${!node}$path"
}

# ready NODE: succeeds if the node has a configuration and serves requests.
ready() {
	local admin="admin_${1//-/_}"
	curl -sf -o /dev/null "http://${!admin}/readyz"
}

# key_hash KEY: prints the BLAKE2b-256 hash of a key, as release notes hold it.
key_hash() {
	printf %s "$1" | b2sum -l 256 | cut -d ' ' -f 1
}

# apply_note NODE FILE [OPTIONS]: applies a release note; the script fails
# unless it is accepted.
apply_note() {
	local admin="admin_${1//-/_}" file=$2
	shift 2
	"$BIN" note apply --admin "${!admin}" "$@" "$file" \
		>"$WORK/apply.out" 2>&1 || fail "note $file: $(cat "$WORK/apply.out")"
}

# call NODE METHOD PATH [CURL OPTIONS]: prints the response with its headers.
call() {
	local callers="callers_${1//-/_}" method=$2 path=$3
	shift 3
	curl -s -i -m 20 -X "$method" "$@" "http://${!callers}$path"
}

# counts NAME KEY: prints one counter of an upstream.
counts() {
	local addr="addr_${1//-/_}"
	# The response does not end with a newline, and sed would add none.
	{
		curl -s "http://${!addr}/mulberryferry/v1/counts"
		echo
	} | sed -n "s/.*\"$2\":[ ]*\([0-9]*\).*/\1/p"
}

# control NAME QUERY: changes the options of a running upstream.
control() {
	local addr="addr_${1//-/_}"
	curl -sf -o /dev/null -X PUT \
		"http://${!addr}/mulberryferry/v1/control?$2"
}

# faults QUERY: sets the faults that the running test store simulates.
faults() {
	curl -sf -o /dev/null -X PUT "http://$STORE/standin/faults?$1"
}

# metric NODE NAME: prints a counter of a node, mulberryferry_NAME_total.
metric() {
	local admin="admin_${1//-/_}"
	curl -s "http://${!admin}/metrics" |
		sed -n "s/^mulberryferry_$2_total \([0-9]*\)$/\1/p"
}
