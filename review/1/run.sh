#!/usr/bin/env bash
# Clients that send further safe requests before the first one was answered.
CASE=1
. "$(dirname "$0")/../common.bash"
DEPTH=40 # requests that such a client sends at once on a connection
UPSTREAM=target/review/wide_upstream
QUOTA="0, 0" # no limit
DATA_CENTRES='"a"'

# Small deployments of their own: whether the fault is seen depends on where
# the memory of a process lies.
DEPLOYMENTS="1 2 3 4 5 6 7 8 9 10"
for n in $DEPLOYMENTS; do
	start_store
	put_document 3
	start_node a$n a one
	start_upstream u_a$n a$n one 500
done
for n in $DEPLOYMENTS; do
	wait_for 15 serves a$n || cannot_run "a$n does not serve"
done
sleep 4

[ "$TROUBLE" = 1 ] || DEPTH=1
# crowd NODE PIPELINING_CLIENTS: one round at a node; ends the script if its
# process crashes.
crowd() {
	local pid="pid_$1" callers="callers_$1" status ran lost
	: >"$WORK/clients"
	record "at_ms=$(now_ms) node=$1 pipelining_clients=$2 depth=$DEPTH"
	target/review/pipeline "${!callers}" "$2" $DEPTH 0 \
		>"$WORK/clients" || return
	cat "$WORK/clients" >>"$RECORD"
	rounds=$((rounds + 1))
	kill -0 "${!pid}" 2>/dev/null && return
	wait "${!pid}" 2>/dev/null
	status=$?
	ran=$(grep -h "run GET /r/" "$WORK"/u_*.out | wc -l)
	lost=$(grep -c "kept=1 .*answered=0 .*end=\(reset\|closed\)" "$WORK/clients")
	record "node $1 ended by itself with status $status," \
		"requests run so far: $ran, kept connections closed without an answer: $lost"
	[ "$lost" -gt 3 ] && [ "$ran" -ge "$lost" ] &&
		verdict 1 "LOST: $1 crashed with status $status, $lost kept connections were closed without an answer"
}
rounds=0
for n in $DEPLOYMENTS; do
	crowd a$n 16 # 512 requests at a time
done
[ $rounds -gt 4 ] || cannot_run "only $rounds rounds"
verdict 0 "held: no process crashed in $rounds rounds"
