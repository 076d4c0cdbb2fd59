#!/usr/bin/env bash
# Checks configurations with the command, by itself and on nodes of both
# interfaces. Guards against exit codes that let a deployment script go on with
# a faulty document, and against a check that changes what is in force.
cd "$(dirname "$0")/.."
. test/harness.bash
. test/platform.bash

# check CODE ARGUMENTS...: runs the check; fails unless it ends with the code.
# Its standard output is left in WORK/check.out.
check() {
	local code
	"$BIN" config check "${@:2}" >"$WORK/check.out" 2>"$WORK/check.err"
	code=$?
	[ "$code" = "$1" ] || fail "config check ${*:2}: exit code $code" \
		"instead of $1: $(cat "$WORK/check.out" "$WORK/check.err")"
}

# says TEXT: fails unless the last check printed a line with the text.
says() {
	grep -qF -- "$1" "$WORK/check.out" ||
		fail "no '$1' in: $(cat "$WORK/check.out")"
}

document 3 one '"key-1"' >"$WORK/now.json"
document 4 two '"key-1","key-2"' >"$WORK/next.json"
sed 's/"few", \["key-few"\], 1, 2, 4/"few", [], 1, 2, 4/' "$WORK/now.json" \
	>"$WORK/warned.json"
sed 's/"few", \["key-few"\], 1, 2, 4/"few", ["key-few"], 1, 2, 0.5/' \
	"$WORK/now.json" >"$WORK/wrong.json"
head -c 300 "$WORK/now.json" >"$WORK/cut.json"

check 0 "$WORK/now.json"
[ -s "$WORK/check.out" ] && fail "findings: $(cat "$WORK/check.out")"
check 1 "$WORK/warned.json"
says "warning: account-without-key: account few: "
check 2 "$WORK/wrong.json"
says "error: burst-below-one: account few: "
check 2 "$WORK/cut.json"
says "error: malformed: "
check 2 "$WORK/none.json"
check 2
check 2 --json "$WORK/wrong.json"
says '"kind":"burst-below-one"'
says '"error":1'
check 0 "$WORK/next.json" --against "$WORK/now.json"
says 'difference: changed: route r: service: "one" -> "two"'
says "difference: added: key "
check 0 "$WORK/now.json" --against "$WORK/now.json"
[ -s "$WORK/check.out" ] && fail "differences: $(cat "$WORK/check.out")"
check 2 "$WORK/now.json" --against "$WORK/cut.json"
check 2 "$WORK/now.json" --against "$WORK/now.json" --node 127.0.0.1:1
grep -q "key-[1f]" "$WORK/check.out" && fail "a key was printed"
echo "ok files are checked, compared and told apart by the exit code"

start_platform_store
start_platform_node a1 a
check 0 "$WORK/now.json" --node "$admin_a1"
[ -s "$WORK/check.out" ] && fail "findings: $(cat "$WORK/check.out")"
put_document 3 one '"key-1"'
wait_for 15 grep -q "event=config-in-force number=3" "$WORK/a1.log" ||
	fail "the document is not in force"
check 0 "$WORK/next.json" --node "$admin_a1"
says 'difference: changed: route r: service: "one" -> "two"'
check 2 "$WORK/wrong.json" --node "$admin_a1"
says "error: burst-below-one: account few: "
says "difference: changed: account few: burst: 4.0 -> 0.5"
# Not 1, which would pass for warnings.
MULBERRYFERRY_KEY=key-1 check 2 "$WORK/next.json" --node "$admin_a1"
[ -s "$WORK/check.out" ] && fail "no operator: $(cat "$WORK/check.out")"
[ "$(grep -c event=config-in-force "$WORK/a1.log")" = 1 ] ||
	fail "a check changed the configuration"
store_fault silent=1
check 0 "$WORK/next.json" --node "$admin_a1"
says "difference: "
store_fault silent=0
kill -KILL "$pid_a1"
wait "$pid_a1" 2>/dev/null
check 4 "$WORK/next.json" --node "$admin_a1"
echo "ok a node compares to what is in force there, also without the store"

cat >"$WORK/first.json" <<-END
	{"release": "first", "added": {"accounts": [{"name": "acc", "rate": 5,
	"burst": 5}], "keys": [{"id": "k", "account": "acc",
	"hash": "$(key_hash key-1)"}]}}
END
cat >"$WORK/change.json" <<-END
	{"release": "home", "changed": {"accounts": [
	{"name": "acc", "allowed_regions": ["south"]}]}}
END
check 0 "$WORK/first.json"
STORE_KIND=memory start_node n1 a
apply_note n1 "$WORK/first.json"
wait_for 20 ready n1 || fail "n1 has no configuration"
check 0 "$WORK/change.json" --node "$admin_n1"
says 'account acc: allowed_regions: null -> ["south"]'
check 2 "$WORK/change.json"
says "error: malformed: changed.accounts[0]: there is no account acc"
echo "ok a release note is checked against the configuration in force"
echo "config check passed"
