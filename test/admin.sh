#!/usr/bin/env bash
# Tests the administration API and the commands with nodes in two data centres.
cd "$(dirname "$0")/.." || exit 1
. test/harness.bash
BIN=$BUILD/mulberryferry-san

OPERATOR_KEY=all-key
start_store
start_node a1 north
start_node b1 south
start_upstream deep b1 deep --slots 4 --service-us 200000 --fixed
start_upstream front a1 front --slots 64 --connections 64 --sub "GET /deep"
start_upstream issue a1 issue --slots 4 --service-us 60000000 --fixed

cat >"$WORK/first.json" <<END
// Comments are allowed.
{"release": "first", "after": 0, "added": {
	"services": [{"name": "front", "team": "red"},
		{"name": "deep", "team": "red"},
		{"name": "issue", "team": "red"}],
	"accounts": [{"name": "acc", "team": "red", "rate": 100, "burst": 50},
		{"name": "slow", "team": "blue", "rate": 0.01, "burst": 1}],
	"keys": [{"id": "k1", "account": "acc", "hash": "$(key_hash caller)"},
		{"id": "k2", "account": "slow", "hash": "$(key_hash slow-key)"}],
	"routes": [
		{"name": "front", "team": "red", "method": "GET",
		 "path": "/front", "service": "front", "shed": "last",
		 "deadline_ms": 3000, "retries": 1},
		{"name": "deep", "team": "red", "method": "GET",
		 "path": "/deep", "service": "deep", "shed": "last",
		 "deadline_ms": 3000, "retries": 1},
		{"name": "brief", "team": "red", "method": "GET",
		 "path": "/brief", "service": "issue", "shed": "last",
		 "deadline_ms": 300, "retries": 0},
		{"name": "nowhere", "team": "red", "method": "GET",
		 "path": "/nowhere", "service": "gone", "shed": "last",
		 "deadline_ms": 3000, "retries": 0},
		{"name": "issue", "team": "red", "method": "POST",
		 "path": "/issue", "service": "issue", "shed": "middle",
		 "once": true, "deadline_ms": 60000, "retries": 0}],
	"operators": [{"name": "all", "hash": "$(key_hash "$OPERATOR_KEY")"},
		{"name": "red-desk", "team": "red",
		 "hash": "$(key_hash red-key)"},
		{"name": "screen", "read_only": true,
		 "hash": "$(key_hash screen-key)"}]}}
END
sed -i 's/"services": \[/"services": [{"name": "gone", "team": "red"},/' \
	"$WORK/first.json"

# expect CODE COMMAND...: runs the command, which must exit with CODE; writes
# its output to WORK/out.
expect() {
	local want=$1 got
	shift
	"$@" >"$WORK/out" 2>&1
	got=$?
	[ $got = "$want" ] || fail "exit $got, not $want: $* $(cat "$WORK/out")"
}

# says TEXT: WORK/out must contain TEXT.
says() {
	grep -qF -- "$1" "$WORK/out" || fail "no '$1' in: $(cat "$WORK/out")"
}

# status_is CODE NODE METHOD PATH [CURL OPTIONS]: the admin API must answer
# with status CODE; writes the response to WORK/out.
status_is() {
	local want=$1
	shift
	admin "$@" >"$WORK/out"
	[ "$(tail -n 1 "$WORK/out")" = "$want" ] ||
		fail "not $want: $* $(cat "$WORK/out")"
}

# with_key KEY COMMAND...: runs the command with KEY as the operator's key.
with_key() {
	local MULBERRYFERRY_KEY=$1
	export MULBERRYFERRY_KEY
	shift
	"$@"
}

# note RELEASE ACCOUNT RATE [MEMBERS]: writes a release note that changes the
# rate of an account to WORK/RELEASE.json; MEMBERS is JSON to append.
note() {
	printf '{"release": "%s", "changed": {"accounts": [{"name": "%s",
		"rate": %s}]}%s}' "$1" "$2" "$3" "${4:-}" >"$WORK/$1.json"
}

# Without operators in the configuration only the bootstrap key is accepted.
export MULBERRYFERRY_ADMIN=$admin_a1
expect 0 "$BIN" note check "$WORK/first.json"
with_key other expect 1 "$BIN" note apply "$WORK/first.json"
says "status 401"
with_key "" status_is 401 a1 POST /v1/notes --data-binary "@$WORK/first.json"
status_is 503 a1 GET /v1/config
status_is 503 a1 GET /readyz
expect 0 "$BIN" note apply "$WORK/first.json"
says "note 1"
# The note added operators, so the bootstrap key is no longer accepted.
with_key "$OPERATOR_KEY" expect 0 "$BIN" note apply --wait 30 "$WORK/first.json"
says "note 1 (applied before)"
says "in force on 2 of 2 hosts"
echo "ok bootstrap, and wait for two data centres"

# Keys and rights of operators after the first note.
expect 1 "$BIN" status
says "status 401"
with_key caller status_is 401 a1 GET /v1/status
with_key caller status_is 401 a1 POST /v1/notes
with_key screen-key status_is 200 b1 GET /v1/status
note reader acc 90
with_key screen-key status_is 403 a1 POST /v1/notes \
	--data-binary "@$WORK/reader.json"
with_key screen-key status_is 200 a1 POST /v1/notes/check \
	--data-binary "@$WORK/reader.json"
note other-team slow 5
with_key red-key expect 1 "$BIN" note apply "$WORK/other-team.json"
says "status 403"
says "belongs to team blue"
with_key red-key status_is 403 a1 POST /v1/notes/check \
	--data-binary "@$WORK/other-team.json"
note red acc 80
with_key red-key expect 0 "$BIN" note apply --wait 30 "$WORK/red.json"
says "note 2"
export MULBERRYFERRY_KEY=$OPERATOR_KEY
printf '%s\n' "$OPERATOR_KEY" >"$WORK/key"
with_key wrong expect 0 "$BIN" note history --key-file "$WORK/key"
says "red-desk"
says "bootstrap"
echo "ok rights of operators"

# Release notes: repeats, conflicts, invalid notes, If-Match.
expect 0 "$BIN" note apply "$WORK/red.json"
says "applied before"
note late acc 70 ', "after": 1'
expect 3 "$BIN" note apply "$WORK/late.json"
says "touches accounts acc"
note wrong nobody 70
expect 2 "$BIN" note apply "$WORK/wrong.json"
says "there is no account nobody"
expect 2 "$BIN" note check --admin "$admin_b1" "$WORK/wrong.json"
says "changed.accounts[0]"
expect 2 "$BIN" note check "$WORK/wrong.json"
note matched acc 60 ', "after": 2'
status_is 412 a1 POST /v1/notes -H 'If-Match: 1' \
	--data-binary "@$WORK/matched.json"
status_is 400 a1 POST /v1/notes -H 'If-Match: two' \
	--data-binary "@$WORK/matched.json"
status_is 200 a1 POST /v1/notes -H 'If-Match: "2"' \
	--data-binary "@$WORK/matched.json"
expect 0 "$BIN" note show 3
says "release matched, by all"
expect 1 "$BIN" note show 99
says "status 404"
status_is 405 a1 DELETE /v1/notes
status_is 404 a1 GET /v2
echo "ok notes"

# The configuration in force is shown without the hashes of keys.
status_is 200 a1 GET /v1/config
says '"id":"k1"'
says '"name":"red-desk"'
for hash in $(key_hash caller) $(key_hash red-key); do
	! grep -q "$hash" "$WORK/out" ||
		fail "the configuration shows the hash of a key"
done
expect 0 "$BIN" key new --json
key=$(sed -n 's/.*"key": "\([^"]*\)".*/\1/p' "$WORK/out")
says "$(key_hash "$key")"
expect 4 "$BIN" status --admin 127.0.0.1:1
expect 2 "$BIN" status --admin nowhere
expect 2 "$BIN" note
for c in "" note "note check" "note apply" "note show" "note history" key \
	"key new" explain status claims node; do
	# shellcheck disable=SC2086
	expect 0 "$BIN" $c --help
	# shellcheck disable=SC2086
	expect 0 "$BIN" $c --version
	says "mulberryferry"
done
echo "ok configuration, keys and help"

# Each path of docs/openapi.json answers with a status documented there, also
# without a key and with one that is no operator's.
awk '/^  "\//{split($0, p, "\""); path = p[2]}
	/^   "(get|post)":/{split($0, m, "\""); method = toupper(m[2])
		print method, path}' docs/openapi.json >"$WORK/operations"
[ "$(wc -l <"$WORK/operations")" -ge 17 ] || fail "operations not found"
# documented METHOD PATH CODE: succeeds if docs/openapi.json lists the status.
documented() {
	awk -v path="$2" -v method="$1" -v code="$3" '
		/^  "\//{split($0, p, "\""); at = p[2]}
		/^   "(get|post)":/{split($0, m, "\""); how = toupper(m[2])}
		at == path && how == method && $0 ~ "^     \"" code "\": " {
			found = 1
		}
		END {exit !found}' docs/openapi.json
}
while read -r method path; do
	for key in "" caller "$OPERATOR_KEY"; do
		with_key "$key" admin a1 "$method" "${path/\{number\}/1}" \
			>"$WORK/out"
		code=$(tail -n 1 "$WORK/out")
		documented "$method" "$path" "$code" ||
			fail "$method $path returns undocumented status $code"
	done
done <"$WORK/operations"
echo "ok every path of docs/openapi.json"

# explain shows each kind of decision, at all hops, whichever host is asked.

# call ID KEY METHOD PATH [CURL OPTIONS]: sends a request to b1, writes the
# response body to WORK/answer and prints the status.
call() {
	local id=$1 key=$2 method=$3 path=$4
	shift 4
	curl -s -o "$WORK/answer" -w '%{http_code}' -X "$method" \
		-H "Authorization: Bearer $key" -H "X-Request-Id: $id" "$@" \
		"http://$callers_b1$path"
}
# lists_ready NODE ADDRESS: succeeds if the node lists the upstream as ready.
lists_ready() {
	local admin="admin_${1//-/_}"
	"$BIN" status --admin "${!admin}" | grep -q "^    .* $2 .* ready"
}
for node in a1 b1; do
	for upstream in "$addr_front" "$addr_deep" "$addr_issue"; do
		wait_for 20 lists_ready $node "$upstream" ||
			fail "$node does not list $upstream as ready"
	done
done
# call_returns CODE ID KEY METHOD PATH: succeeds if the status is CODE.
call_returns() {
	local want=$1
	shift
	[ "$(call "$@")" = "$want" ]
}
wait_for 20 call_returns 200 warm caller GET /front ||
	fail "no request is answered"
call_returns 200 ok-1 caller GET /front ||
	fail "not answered: $(cat "$WORK/answer")"
for node in "$admin_b1" "$admin_a1"; do
	expect 0 "$BIN" explain --admin "$node" ok-1
	says "Request ok-1 ended with status 200 (answered)."
	says "host b1: admitted it for client account acc on route front"
	says "host a1: queued it for the upstream at $addr_front"
	says "host a1: gave it to the upstream at $addr_front"
	says "host a1, sub-call ok-1.1: admitted it"
	says "host b1, sub-call ok-1.1: gave it to the upstream at $addr_deep"
	says "host b1: answered it with status 200"
done
[ "$(sed -n 's/ host.*//p' "$WORK/out")" = \
	"$(sed -n 's/ host.*//p' "$WORK/out" | sort)" ] ||
	fail "not in order of time: $(cat "$WORK/out")"
call_returns 504 brief-1 caller GET /brief || fail "not stopped"
expect 0 "$BIN" explain brief-1
says "stopped it with status 504 (deadline)"
says "It may have run."
call_returns 503 none-1 caller GET /nowhere || fail "not refused"
expect 0 "$BIN" explain none-1
says "refused it with status 503 (no-upstream)"
says "It was not run."
wait_for 20 call_returns 429 slow-1 slow-key GET /deep ||
	fail "never over its rate"
expect 0 "$BIN" explain slow-1
says "refused it with status 429 (over-rate)"
call gone-1 caller GET /deep --max-time 0.05 >"$WORK/code"
expect_cancelled() {
	"$BIN" explain gone-1 >"$WORK/out" 2>&1 &&
		grep -q "cancelled it" "$WORK/out"
}
wait_for 10 expect_cancelled || fail "not cancelled: $(cat "$WORK/out")"
says "the caller went away"
expect 1 "$BIN" explain never-1
says "No host that was asked has a record of request never-1"
echo "ok explain of requests"

# While a host is suspended, explain still shows what the others recorded and
# says that one did not answer.
kill -STOP "$pid_b1"
expect 0 "$BIN" explain ok-1
says "host a1: gave it to the upstream at $addr_front"
says "1 of the 2 hosts asked did not answer"
expect 0 "$BIN" explain --account acc --since 00:00
kill -CONT "$pid_b1"
expect_complete() {
	"$BIN" explain ok-1 >"$WORK/out" 2>&1 &&
		grep -q "host b1: answered it" "$WORK/out"
}
wait_for 20 expect_complete ||
	fail "b1 is not queried again: $(cat "$WORK/out")"
! grep -q "did not answer" "$WORK/out" || fail "b1 is still missing"
echo "ok explain with a suspended host"

# Each command on the operators' pages works as printed there.
cat >"$WORK/page.json" <<END
{"release": "spring-rates", "after": 3,
 "changed": {"accounts": [{"name": "acc", "rate": 55}]}}
END
mkdir "$WORK/bin"
ln -s "$PWD/$BIN" "$WORK/bin/mulberryferry"
page_commands() { # PAGE: prints the commands in its code blocks
	sed -n 's/^    \(mulberryferry .*\)/\1/p' "docs/operators/$1.md"
}
run_page() { # PAGE: runs its commands; each must succeed, --watch must run on
	local command commands
	mapfile -t commands < <(page_commands "$1")
	[ ${#commands[@]} -gt 0 ] || fail "no commands on the page $1"
	for command in "${commands[@]}"; do
		case $command in
		*--watch)
			(cd "$WORK" && PATH=$WORK/bin:$PATH timeout 3 \
				$command >out 2>&1)
			[ $? = 124 ] || fail "$command ended"
			says "host a1"
			;;
		*)
			(cd "$WORK" && PATH=$WORK/bin:$PATH bash -c \
				"$command" >out 2>&1) ||
				fail "$command: $(cat "$WORK/out")"
			;;
		esac
	done
}
for page in administration release-notes keys explain limits overload once-only \
	planned-stops outages; do
	run_page $page
done
echo "ok the commands on the pages"

# A call whose upstream is killed while it runs is retried at another upstream.
start_upstream deep2 a1 deep --slots 4 --service-us 200000 --fixed
wait_for 20 lists_ready b1 "$addr_deep2" || fail "b1 does not list deep2"
# Both stand still until one is killed: the call must not end before that.
kill -STOP "$pid_deep" "$pid_deep2"
call retry-1 caller GET /deep >"$WORK/code" &
caller=$!
expect_forwarded() {
	"$BIN" explain retry-1 >"$WORK/out" 2>&1
	grep -q "gave it to the upstream" "$WORK/out"
}
wait_for 5 expect_forwarded
victim=deep
grep -q "gave it to the upstream at $addr_deep2" "$WORK/out" && victim=deep2
pid=pid_$victim
kill -KILL "${!pid}"
kill -CONT "$pid_deep" "$pid_deep2" 2>/dev/null
wait $caller
expect 0 "$BIN" explain retry-1
says "decided on retry 1"
says "sent it again (retry 1)"
echo "ok explain of a retry"

# When the deepest service is overloaded, explain names it as the cause and
# not the service that calls it.
flood() { # sends 60 concurrent calls; succeeds once explain reports shedding
	local i pids=()
	for i in $(seq 60); do
		call "flood-$i" caller GET /front >/dev/null &
		pids+=($!)
	done
	wait "${pids[@]}"
	"$BIN" explain --account acc --since 00:00 >"$WORK/out" 2>&1
	grep -q "Shedding began at" "$WORK/out"
}
wait_for 60 flood || fail "no request was shed: $(cat "$WORK/out")"
says "Service deep caused it"
grep -q " [1-9][0-9]* of them with a status of 500 or above" "$WORK/out" ||
	fail "failed responses are not counted: $(cat "$WORK/out")"
echo "ok explain of an overload"

# What an operator reads afterwards: explain for an account, its counts, and
# the claims left unresolved by a killed host.
expect 0 "$BIN" explain --account slow --since 00:00
says "on route deep refused or stopped (over-rate)."
expect 0 "$BIN" explain --account acc --since 00:00 --json
says '"hosts_answered":2'
status_is 400 a1 GET '/v1/counts?since=yesterday'
status_is 200 a1 GET '/v1/counts?reason=over-rate'
says '"account":"slow"'
! grep -q '"reason":"none"' "$WORK/out" ||
	fail "counts of other reasons are listed"
expect 0 "$BIN" claims --unresolved
says "none"
start_node c1 south
wait_for 20 ready c1 || fail "c1 has no configuration"
callers_b1=$callers_c1
call issue-1 caller POST /issue -H 'Idempotency-Key: i1' >"$WORK/code" &
caller=$!
expect_claim() {
	"$BIN" claims >"$WORK/out" 2>&1 && grep -q "request issue-1" "$WORK/out"
}
wait_for 20 expect_claim || fail "no claim: $(cat "$WORK/out")"
says "running"
kill -KILL "$pid_c1"
wait $caller
expect_unresolved() {
	"$BIN" claims --unresolved >"$WORK/out" 2>&1 &&
		grep -q "unresolved.*request issue-1" "$WORK/out"
}
wait_for 60 expect_unresolved || fail "not unresolved: $(cat "$WORK/out")"
expect 0 "$BIN" explain --account acc --since 00:00
says "Unresolved: request issue-1 of client account acc on route issue"
expect 0 "$BIN" explain issue-1
says "How request issue-1 ended is not known to any host that answered"
echo "ok explain of an account, and claims"

# Status as text: no terminal escapes in a file, and no keys in the logs.
expect 0 "$BIN" status
says "host a1 in north"
says "note 4 (spring-rates) in force on"
! grep -q "$(printf '\033')" "$WORK/out" || fail "terminal escapes in a file"
for key in caller slow-key red-key screen-key "$OPERATOR_KEY" test-operator; do
	! grep -qw -- "$key" "$WORK"/[abc]1.log || fail "$key in a log"
done
kill -TERM "$pid_b1"
wait "$pid_b1"
expect_left() {
	"$BIN" status >"$WORK/out" 2>&1 && grep -q "b1 .* left " "$WORK/out"
}
wait_for 20 expect_left || fail "b1 has not left: $(cat "$WORK/out")"
echo "ok status"

# A node stops cleanly while admin requests wait for a store that is suspended.
start_node d1 south ', "stop_grace_s": 3'
wait_for 20 ready d1 || fail "d1 has no configuration"
kill -STOP "$pid_store"
note hanging acc 50
waiting=()
for path in "note apply $WORK/hanging.json" "note show 1" "note history" \
	"claims" "explain --account acc"; do
	# shellcheck disable=SC2086
	"$BIN" $path --admin "$admin_d1" >"$WORK/waiting" 2>&1 &
	waiting+=($!)
done
wait_for 10 grep -q "event=link-up" "$WORK/d1.log" || fail "d1 has no link"
kill -TERM "$pid_d1"
wait "$pid_d1" || fail "d1 ended with $?: $(tail -n 40 "$WORK/d1.log")"
wait "${waiting[@]}"
kill -CONT "$pid_store"
echo "ok a stop while the store is suspended"
echo "admin passed"
