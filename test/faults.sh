#!/usr/bin/env bash
# Tests faults with real processes: upstreams that leave, are killed or send
# invalid responses, nodes that are killed or suspended, a store outage, keys
# withdrawn on open connections, two operators at once, and whether requests
# refused as not run did not run.
. "$(dirname "$0")/harness.bash"
BIN=$BUILD/mulberryferry-san

one=(-H "Authorization: Bearer one")

# read_at NODE [CURL OPTIONS]: prints the outcome of one read.
read_at() {
	local node=$1
	shift
	call "$node" GET /read "${one[@]}" "$@" |
		sed -n 's/^mulberryferry-outcome: \([a-z-]*\).*/\1/pI'
}

# issue NODE KEY: sends a once-only request; prints its outcome and, if given,
# the reason.
issue() {
	call "$1" POST /issue "${one[@]}" -H "Idempotency-Key: $2" -d body \
		>"$WORK/answer-$2"
	sed -n 's/^mulberryferry-outcome: \([a-z-]*\).*/\1/pI' "$WORK/answer-$2"
	sed -n 's/.*"reason":[ ]*"\([a-z-]*\)".*/\1/p' "$WORK/answer-$2"
}

reads() { [ "$(read_at "$1")" = done ]; }
gone() { ! kill -0 "$1"; }

# ran UPSTREAM KEY: prints how often the request with this idempotency key or
# request ID ran, or the value of the counter KEY.
ran() {
	local n
	n=$(counts "$1" "$2")
	echo "${n:-0}"
}

ran_once() { [ "$(ran "$1" "$2")" = 1 ]; }
more_than() { [ "$(ran "$1" started)" -gt "$2" ]; }

wait_jobs() {
	local pid
	for pid in "$@"; do
		wait "$pid"
	done
}

start_store
start_node a1 east
start_node b1 west
start_node c1 west
cat >"$WORK/note.json" <<END
{"release": "first", "added": {
	"services": [{"name": "back", "retry_percent": 100},
		{"name": "odd", "retry_percent": 100},
		{"name": "narrow", "retry_percent": 10}],
	"routes": [
		{"name": "read", "method": "GET", "path": "/read",
		 "service": "back", "shed": "middle", "deadline_ms": 15000,
		 "retries": 6},
		{"name": "issue", "method": "POST", "path": "/issue",
		 "service": "back", "shed": "middle", "once": true,
		 "deadline_ms": 15000, "retries": 2},
		{"name": "odd", "method": "GET", "path": "/odd/{how}",
		 "service": "odd", "shed": "middle", "deadline_ms": 1500,
		 "retries": 0},
		{"name": "narrow", "method": "GET", "path": "/narrow",
		 "service": "narrow", "shed": "first", "deadline_ms": 1000,
		 "retries": 1}],
	"accounts": [{"name": "port", "rate": 1000, "burst": 1000,
		"weight": 1}],
	"keys": [
		{"id": "k1", "account": "port", "hash": "$(key_hash one)"},
		{"id": "k2", "account": "port", "hash": "$(key_hash two)"},
		{"id": "k3", "account": "port", "hash": "$(key_hash three)"}]}}
END
apply_note a1 "$WORK/note.json"
back=(back --slots 8 --connections 8 --service-us 100 --fixed)
start_upstream up1 b1 "${back[@]}"
for n in a1 b1 c1; do
	wait_for 10 ready $n || fail "$n has no configuration"
	wait_for 10 reads $n || fail "no answer from $n"
done

# An upstream that leaves under load. It exits after three seconds without
# work, so its exit shows that it was given no new work.
control up1 service_us=1500000
two_run() { [ "$(ran up1 running)" = 2 ]; }
for try in 1 2 3 4 5 6; do # a new upstream may have a limit of 1
	jobs=()
	for i in 1 2; do
		read_at a1 >"$WORK/leaving-$i" &
		jobs+=($!)
	done
	wait_for 1 two_run && break
	wait_jobs "${jobs[@]}"
done
two_run || fail "two calls never ran at the same time"
start_upstream up2 c1 "${back[@]}"
kill -TERM "$pid_up1"
tries=600
while kill -0 "$pid_up1" 2>/dev/null; do
	((tries-- > 0)) || fail "an upstream that leaves still receives calls"
	outcome=$(read_at b1)
	[ "$outcome" = done ] ||
		fail "outcome '$outcome' while an upstream leaves"
done
wait_jobs "${jobs[@]}"
for i in 1 2; do
	[ "$(cat "$WORK/leaving-$i")" = done ] ||
		fail "in flight at an upstream that leaves: $(cat "$WORK/leaving-$i")"
done
echo "ok an upstream that leaves finishes its work and gets no more"

# An upstream is killed with calls in flight while another one is available.
control up2 service_us=5000000
issue a1 dies-1 >"$WORK/dies" &
once=$!
wait_for 10 ran_once up2 dies-1 || fail "dies-1 does not run"
base=$(ran up2 started)
read_at a1 >"$WORK/dies-read" &
idempotent=$!
wait_for 10 more_than up2 "$base" || fail "the read does not run"
start_upstream up3 b1 "${back[@]}"
kill -KILL "$pid_up2"
wait_jobs $once $idempotent
[ "$(head -n 1 "$WORK/dies")" = unknown ] ||
	fail "once-only at a killed upstream: $(cat "$WORK/answer-dies-1")"
[ "$(ran up3 dies-1)" = 0 ] || fail "dies-1 ran twice"
[ "$(cat "$WORK/dies-read")" = done ] ||
	fail "read at a killed upstream: $(cat "$WORK/dies-read")"
outcome=$(issue c1 dies-1 | head -n 1)
[ "$outcome" = unknown ] ||
	fail "a repeat of dies-1: $(cat "$WORK/answer-dies-1")"
[ "$(ran up3 dies-1)" = 0 ] || fail "a repeat of dies-1 ran"
echo "ok killed upstream: once-only is unknown and not run again, reads go on"

# An upstream that sends the kind of response named in the request path.
cat >"$WORK/odd.pl" <<'END'
use IO::Socket::INET;
$| = 1;
$SIG{CHLD} = 'IGNORE';
my $l = IO::Socket::INET->new(Listen => 64, LocalAddr => '127.0.0.1',
	LocalPort => 0) or die;
print 'listening=127.0.0.1:', $l->sockport, "\n";
my $ok = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n";
my %answers = (
	complete => $ok . "Content-Length: 5\r\n\r\nhello",
	garbage => join('', map { chr(33 + $_ * 7 % 90) } 1 .. 3000) . "\r\n\r\n",
	binary => "\0\377\1\2" x 500,
	half => $ok . "Content-Length: 100\r\n\r\nten bytes.",
	header => "HTTP/1.1 200 OK\r\nContent-Le",
	chunk => $ok . "Transfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n",
	unended => $ok . "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
	nothing => '');
while (1) {
	my $c = $l->accept or next;
	next if fork;
	while (1) {
		my ($in, $how) = ('', '');
		while ($in !~ /\r\n\r\n/) {
			sysread($c, $in, 4096, length $in) or exit;
		}
		$how = $1 if $in =~ m{^GET /odd/(\w+)};
		print "ran=$how\n";
		sleep 5 if $how eq 'silent';
		syswrite($c, $answers{$how});
		exit if $how ne 'complete';
	}
}
END
announce_odd() {
	while :; do
		curl -s -o /dev/null -X PUT -H 'Content-Type: application/json' \
			-d "{\"service\": \"odd\", \"address\": \"$1\",
			\"slots\": 8, \"connections\": 8, \"state\": \"ready\"}" \
			"http://$services_c1/mulberryferry/v1/announcement"
		sleep 1
	done
}
run odd perl "$WORK/odd.pl"
wait_for 5 test -s "$WORK/odd.out" || fail "odd upstream did not start"
run announce-odd announce_odd "$(listening odd)"
odd() { call "$1" GET "/odd/$2" "${one[@]}" >"$WORK/odd.answer"; }
odd_done() { odd "$1" complete && grep -qi "outcome: done" "$WORK/odd.answer"; }
for how in garbage binary half header chunk unended nothing silent; do
	wait_for 30 odd_done a1 || fail "before $how: $(cat "$WORK/odd.answer")"
	odd a1 $how
	grep -q "ran=$how" "$WORK/odd.out" || fail "$how was not sent"
	grep -qi "outcome: unknown" "$WORK/odd.answer" ||
		fail "upstream answers '$how': $(cat "$WORK/odd.answer")"
	[ "$(grep -c "ran=$how" "$WORK/odd.out")" = 1 ] ||
		fail "$how was sent again"
	echo "ok an upstream that answers '$how': unknown, and sent once"
done
wait_for 30 odd_done c1 || fail "after faults: $(cat "$WORK/odd.answer")"

# The node that holds the gate of up3 is killed with calls in flight while
# another node has an upstream.
control up3 service_us=5000000
issue a1 gate-1 >"$WORK/gate" &
once=$!
wait_for 10 ran_once up3 gate-1 || fail "gate-1 does not run"
base=$(ran up3 started)
read_at a1 >"$WORK/gate-read" &
idempotent=$!
wait_for 10 more_than up3 "$base" || fail "the read does not run"
start_upstream up4 c1 "${back[@]}"
kill -KILL "$pid_b1"
wait_jobs $once $idempotent
[ "$(head -n 1 "$WORK/gate")" = unknown ] ||
	fail "once-only at a killed node: $(cat "$WORK/answer-gate-1")"
[ "$(ran up3 gate-1)" = 1 ] && [ "$(ran up4 gate-1)" = 0 ] ||
	fail "gate-1 ran $(ran up3 gate-1) and $(ran up4 gate-1) times"
[ "$(cat "$WORK/gate-read")" = done ] ||
	fail "read at a killed node: $(cat "$WORK/gate-read")"
echo "ok killed node: once-only is unknown and ran once, reads go on"

# The node that holds the gate of up4 is suspended and resumed while another
# node has an upstream.
start_node d1 east
wait_for 10 ready d1 || fail "d1 has no configuration"
start_upstream up5 d1 "${back[@]}"
has_work() { reads a1 && more_than "$1" 0; }
wait_for 10 has_work up5 || fail "up5 gets no work"
kill -STOP "$pid_c1"
wait_for 30 reads a1 || fail "no reads with a node paused"
for i in $(seq 20); do
	reads a1 || fail "read $i with a node paused"
done
base=$(ran up4 started)
kill -CONT "$pid_c1"
works_again() { reads c1 && more_than up4 "$base"; }
wait_for 30 works_again || fail "a node that was paused gets no work"
echo "ok a paused node: reads go on, and it works again afterwards"

# A new node starts and a key is withdrawn during a store outage.
faults down=1
start_node e1 east
wait_for 30 ready e1 || fail "e1 does not start from its peers"
wait_for 10 reads e1 || fail "e1 serves no reads"
echo "ok a new node starts from its peers with the store down"
echo '{"release": "second", "withdrawn": {"keys": ["k3"]}}' \
	>"$WORK/withdraw.json"
"$BIN" note apply --admin "$admin_a1" "$WORK/withdraw.json" \
	>"$WORK/down.out" 2>&1 && fail "applied with the store down"
three() { call "$1" GET /read -H "Authorization: Bearer three"; }
faults down=0
applied() {
	"$BIN" note apply --admin "$admin_e1" "$WORK/withdraw.json" \
		>"$WORK/down.out" 2>&1
}
wait_for 30 applied || fail "withdrawal after outage: $(cat "$WORK/down.out")"
refused() { three "$1" | grep -q bad-key; }
for n in a1 c1 d1 e1; do
	wait_for 20 refused $n || fail "$n still accepts the key"
done
echo "ok a withdrawal refused in an outage takes effect when sent again"

# A key is withdrawn while a connection that uses it stays open.
exec 3<>"/dev/tcp/${callers_a1%:*}/${callers_a1##*:}"
call_on_open() { # sends one request on the connection; sets status and body
	local line length=0
	printf 'GET /read HTTP/1.1\r\nHost: a\r\n%s\r\n\r\n' \
		"Authorization: Bearer two" >&3
	read -r -t 20 _ status _ <&3 || return 1
	while read -r -t 20 line <&3 && [ -n "${line%$'\r'}" ]; do
		[[ ${line,,} =~ ^content-length:\ *([0-9]+) ]] &&
			length=${BASH_REMATCH[1]}
	done
	LC_ALL=C read -r -t 20 -N "$length" body <&3
}
call_on_open || fail "no answer on an open connection"
[ "$status" = 200 ] || fail "before the withdrawal: $status $body"
echo '{"release": "third", "withdrawn": {"keys": ["k2"]}}' \
	>"$WORK/withdraw-2.json"
apply_note d1 "$WORK/withdraw-2.json"
tries=400
until call_on_open && [ "$status" = 401 ] && [[ $body == *bad-key* ]]; do
	((tries-- > 0)) ||
		fail "key still accepted on open connection: $status $body"
	sleep 0.05
done
exec 3>&-
echo "ok a withdrawn key is refused on an open connection"

# Two operators apply conflicting notes after the same note number.
number=$(admin a1 GET /v1/notes | grep -o '"number":[ ]*[0-9]*' |
	grep -o '[0-9]*' | sort -n | tail -n 1)
[ -n "$number" ] || fail "no history of notes: $(admin a1 GET /v1/notes)"
for n in a1 c1; do
	echo "{\"release\": \"both-$n\", \"after\": $number, \"changed\":
		{\"accounts\": [{\"name\": \"port\", \"weight\": 2}]}}" \
		>"$WORK/both-$n.json"
done
codes=()
jobs=()
for n in a1 c1; do
	admin="admin_$n"
	"$BIN" note apply --admin "${!admin}" "$WORK/both-$n.json" \
		>"$WORK/both-$n.out" 2>&1 &
	jobs+=($!)
done
for pid in "${jobs[@]}"; do
	wait "$pid"
	codes+=($?)
done
[ "$(printf '%s\n' "${codes[@]}" | sort | tr '\n' ' ')" = "0 3 " ] ||
	fail "two operators: ${codes[*]} $(cat "$WORK"/both-*.out)"
[ "${codes[0]}" = 0 ] && won=a1 lost=c1 || won=c1 lost=a1
grep -q "both-$won.*touches accounts port" "$WORK/both-$lost.out" ||
	fail "the conflict does not name $won: $(cat "$WORK/both-$lost.out")"
echo "ok of two operators at once one gets a conflict"

# A burst of requests to an upstream with one slot: a request refused as not
# run did not run.
start_upstream narrow c1 narrow --slots 1 --connections 1 \
	--service-us 50000 --fixed
narrow() { call "$1" GET /narrow "${one[@]}" "${@:2}"; }
narrow_done() { narrow "$1" | grep -qi "outcome: done"; }
for n in a1 c1 e1; do
	wait_for 10 narrow_done $n || fail "no answer of narrow from $n"
done
before=$(ran narrow started)
jobs=()
for i in $(seq 60); do
	n=(a1 c1 e1)
	narrow "${n[i % 3]}" -H "X-Request-Id: burst-$i" >"$WORK/burst-$i" &
	jobs+=($!)
done
wait_jobs "${jobs[@]}"
done=0 refused=0 unknown=0
for i in $(seq 60); do
	case $(sed -n 's/^mulberryferry-outcome: \([a-z-]*\).*/\1/pI' \
		"$WORK/burst-$i") in
	done)
		done=$((done + 1)) want=1 ;;
	not-run)
		refused=$((refused + 1)) want=0 ;;
	unknown)
		unknown=$((unknown + 1)) want=$(ran narrow "burst-$i") ;;
	*)
		fail "burst-$i: no outcome: $(cat "$WORK/burst-$i")" ;;
	esac
	[ "$(ran narrow "burst-$i")" = "$want" ] ||
		fail "burst-$i ran $(ran narrow "burst-$i") times, response: $(
			cat "$WORK/burst-$i")"
done
[ $refused -gt 0 ] && [ $done -gt 0 ] || fail "burst: $done done, $refused not"
[ "$(ran narrow started)" -ge $((before + done)) ] &&
	[ "$(ran narrow started)" -le $((before + done + unknown)) ] ||
	fail "burst: $done done, $unknown unknown, $(ran narrow started) started"
[ "$(ran narrow max_running)" = 1 ] || fail "more than one ran in one slot"
echo "ok burst on one slot: $done done, $refused not run, $unknown unknown"

for n in a1 b1 c1 d1 e1; do
	grep -q "Sanitizer\|runtime error" "$WORK/$n.log" &&
		fail "$n: $(grep -A9 'Sanitizer\|runtime error' "$WORK/$n.log")"
done
echo "faults passed"
