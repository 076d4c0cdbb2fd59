#!/usr/bin/env bash
# Clients that send many requests on a connection before the first is answered
# crashed the node: it read a request that had moved. Guards against memory
# used after it was freed, requests that stay behind and answers out of order,
# also with connections that end early and a stop while requests run.
cd "$(dirname "$0")/.."
. test/harness.bash
BIN=${BIN_OF_PIPELINING:-$BUILD/mulberryferry-san}
. test/platform.bash

# requests DEPTH METHOD PREFIX: prints requests; the last one closes.
requests() {
	local i
	for ((i = 1; i <= $1; i++)); do
		printf '%s /r/%s HTTP/1.1\r\nHost: %s\r\n' "$2" "$i" "$HOST"
		printf 'Authorization: Bearer key-1\r\nContent-Length: 0\r\n'
		printf 'Mulberryferry-Attempt-Id: %s%08x\r\n' "$3" "$i"
		printf 'Mulberryferry-Deadline-Ms: %s\r\n' "${DEADLINE_MS:-5000}"
		[ "$i" = "$1" ] && printf 'Connection: close\r\n'
		printf '\r\n'
	done
}

# pipeline NODE DEPTH METHOD PREFIX: sends them at once and keeps the answers in
# WORK/answers-PREFIX.
pipeline() {
	local callers="callers_$1"
	exec 3<>"/dev/tcp/${!callers%:*}/${!callers#*:}"
	requests "${@:2}" >&3
	timeout 15 cat <&3 >"$WORK/answers-$4"
	exec 3>&-
}

# abandon NODE DEPTH METHOD PREFIX: sends them and leaves without reading.
abandon() {
	local callers="callers_$1"
	exec 3<>"/dev/tcp/${!callers%:*}/${!callers#*:}"
	requests "${@:2}" >&3
	sleep 0.05
	exec 3>&-
}

# all_in_order PREFIX DEPTH: every request was answered, in order.
all_in_order() {
	local ids
	ids=$(tr -d '\r' <"$WORK/answers-$1" |
		sed -n "s/^mulberryferry-attempt-id: $1//p")
	[ "$ids" = "$(for ((i = 1; i <= $2; i++)); do
		printf '%08x\n' "$i"; done)" ] ||
		fail "answers $1: $(wc -w <<<"$ids") of $2, or out of order"
}

# survived NODE: the node runs and the sanitizers reported nothing.
survived() {
	local pid="pid_$1"
	kill -0 "${!pid}" 2>/dev/null ||
		fail "$1 ended: $(grep -A9 Sanitizer "$WORK/$1.log")"
	! grep -q "Sanitizer\|runtime error" "$WORK/$1.log" ||
		fail "$(grep -A9 "Sanitizer\|runtime error" "$WORK/$1.log")"
}

EXTRA_ROUTES=', ["slow", "h.example", "/slow/", "safe", 30, 0.5, 2, "one", 2, false]'
start_two_hosts 20
LOADS=()
# As many as fill a table, and some that wait behind them.
pipeline a1 40 GET 00000000
all_in_order 00000000 40
survived a1
for round in 1 2; do
	for ((c = 0; c < 8; c++)); do
		prefix=$(printf '%02x%02x0000' $round $c)
		pipeline a1 40 GET "$prefix" &
		LOADS+=($!)
		pipeline b1 4 POST "${prefix/0000/ffff}" &
		LOADS+=($!)
		abandon a1 40 GET "${prefix/0000/eeee}" &
		LOADS+=($!)
	done
	wait "${LOADS[@]}"
	LOADS=()
	for ((c = 0; c < 8; c++)); do
		prefix=$(printf '%02x%02x0000' $round $c)
		all_in_order "$prefix" 40
		all_in_order "${prefix/0000/ffff}" 4
	done
done
survived a1
survived b1
echo "ok pipelined requests are answered in order, and nothing is freed early"

# Requests that outlast the grace time end with the process.
kill -STOP "$pid_u1" "$pid_u2"
for ((c = 0; c < 40; c++)); do
	node=callers_a1
	((c % 2)) && node=callers_b1
	curl -s -o /dev/null -m 12 -H "Host: $HOST" -H "$(key key-1)" \
		-H "Mulberryferry-Deadline-Ms: 20000" "http://${!node}/slow/$c" &
	LOADS+=($!)
done
sleep 0.5
for n in a1 b1; do
	pid="pid_$n"
	kill -TERM "${!pid}"
done
for n in a1 b1; do
	pid="pid_$n"
	wait "${!pid}"
	status=$?
	grep -q "Sanitizer\|runtime error" "$WORK/$n.log" &&
		fail "$(grep -A12 "Sanitizer\|runtime error" "$WORK/$n.log")"
	[ $status = 0 ] || fail "$n ended with status $status"
	[ "$(field "$WORK/$n.log" stopped cut_requests)" -gt 0 ] ||
		fail "$n had no request left when it ended"
done
wait "${LOADS[@]}"
echo "ok a stop ends the requests that outlast it"
echo "pipelining passed"
