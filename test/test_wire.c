#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>
#include <msgpack.h>
#include <sodium.h>

#include "wire/wire.h"

static struct member_info member(const char *host)
{
	struct member_info m = {.incarnation = 1700000000000000,
				.version = 7,
				.state = MEMBER_SUSPECT,
				.upstream_count = 1};

	copy_name(m.host, sizeof(m.host), host);
	copy_name(m.data_centre, sizeof(m.data_centre), "aktau");
	addr_parse(&m.node_addr, "10.0.0.1:7000");
	addr_parse(&m.admin, "[fe80::1]:7001");
	copy_name(m.upstreams[0].service, NAME_SIZE, "history");
	m.upstreams[0].slots = 90;
	m.departure_count = 1;
	m.departures[0] = (struct departure){7, INT64_MAX, DEPARTED_FOR_GOOD};
	return m;
}

static void fill_call(struct frame *f)
{
	struct call_head *h = &f->call.head;

	f->stream = 5;
	copy_name(h->request, sizeof(h->request), "r1");
	copy_name(h->service, sizeof(h->service), "history");
	addr_parse(&h->upstream, "127.0.0.1:8080");
	h->cls = SHED_LAST;
	h->admit_hash = UINT16_MAX;
	h->once = true;
	h->shed_unreported[SHED_MIDDLE] = 3;
	h->account_home = (struct home){
		.regions = {UINT64_MAX, 7}, .count = 2, .bounded = true};
	copy_name(f->call.message.method, METHOD_SIZE, "POST");
	f->call.message.target = strdup("/rafts/7?full=1");
	message_add_header(&f->call.message, "accept", "*/*");
	f->call.body_len = 70000;
}

static void fill_answer(struct frame *f)
{
	f->answer.head.outcome = OUTCOME_NOT_RUN;
	f->answer.head.reason = REASON_SHED;
	f->answer.head.admission.admitted[SHED_FIRST] = 1234;
	f->answer.head.leaving = true;
	f->answer.message.status = 503;
	f->answer.message.target = strdup("");
}

static void fill_body(struct frame *f)
{
	f->body.data = (const uint8_t *)"bytes";
	f->body.len = 5;
}

static void fill_peer(struct frame *f)
{
	struct peer_msg *m = calloc(1, sizeof(*m));

	assert_non_null(m);
	m->kind = PEER_PROBE;
	addr_parse(&m->from, "10.0.0.2:7000");
	m->config_number = 12;
	m->probe.sequence = 99;
	m->probe.changes = calloc(2, sizeof(*m->probe.changes));
	m->probe.changes[0] = member("h1");
	m->probe.changes[1] = member("h2");
	m->probe.change_count = 2;
	f->peer_msg = m;
}

static void fill_nothing(struct frame *f)
{
	f->stream = UINT32_MAX;
}

static const struct {
	enum frame_kind kind;
	void (*fill)(struct frame *f);
} frames[] = {
	{FRAME_CALL, fill_call},      {FRAME_ANSWER, fill_answer},
	{FRAME_BODY, fill_body},      {FRAME_CREDIT, fill_nothing},
	{FRAME_CANCEL, fill_nothing}, {FRAME_PEER_MSG, fill_peer},
	{FRAME_PING, fill_nothing},
};
#define FRAMES (sizeof(frames) / sizeof(*frames))

static void encode(size_t i, struct buffer *out)
{
	struct frame f = {.kind = frames[i].kind};

	frames[i].fill(&f);
	assert_int_equal(frame_encode(&f, out), 0);
	frame_free(&f);
}

static void frames_round_trip(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < FRAMES; i++) {
		struct buffer once = {0}, twice = {0};
		struct frame f;

		encode(i, &once);
		assert_int_equal(frame_decode(&f, once.data, once.len, NULL),
				 0);
		assert_int_equal(f.kind, frames[i].kind);
		assert_int_equal(frame_encode(&f, &twice), 0);
		assert_int_equal(once.len, twice.len);
		assert_memory_equal(once.data, twice.data, once.len);
		frame_free(&f);
		buffer_free(&once);
		buffer_free(&twice);
	}
}

static void calls_keep_every_field(void **state)
{
	struct buffer b = {0};
	struct frame f;

	(void)state;
	encode(0, &b);
	assert_int_equal(frame_decode(&f, b.data, b.len, NULL), 0);
	assert_int_equal(f.stream, 5);
	assert_string_equal(f.call.head.service, "history");
	assert_int_equal(f.call.head.upstream.port, 8080);
	assert_int_equal(f.call.head.cls, SHED_LAST);
	assert_true(f.call.head.once);
	assert_int_equal(f.call.head.shed_unreported[SHED_MIDDLE], 3);
	assert_true(f.call.head.account_home.bounded);
	assert_int_equal(f.call.head.account_home.count, 2);
	assert_true(f.call.head.account_home.regions[0] == UINT64_MAX);
	assert_int_equal(f.call.head.account_home.regions[1], 7);
	assert_string_equal(f.call.message.target, "/rafts/7?full=1");
	assert_string_equal(message_header(&f.call.message, "accept"), "*/*");
	assert_int_equal(f.call.body_len, 70000);
	frame_free(&f);
	buffer_free(&b);
}

/* Every proper prefix of a frame, and a frame with a byte appended. */
static void truncated_and_overlong_frames_are_refused(void **state)
{
	size_t i, n;

	(void)state;
	for (i = 0; i < FRAMES; i++) {
		struct buffer b = {0};
		struct error err = {0};
		struct frame f;

		encode(i, &b);
		for (n = 0; n < b.len; n++)
			assert_int_equal(frame_decode(&f, b.data, n, &err), -1);
		assert_string_equal(err.step, "frame-decode");
		buffer_append(&b, "", 1, SIZE_MAX);
		assert_int_equal(frame_decode(&f, b.data, b.len, &err), -1);
		buffer_free(&b);
	}
}

/*
 * A changed byte may still decode; memory errors are caught by the sanitizers.
 */
static void corrupted_frames_are_handled_safely(void **state)
{
	static const uint8_t values[] = {0x00, 0x7f, 0xc0, 0xc6, 0xcf,
					 0xdb, 0xdd, 0xdf, 0xff};
	size_t i, n, v;

	(void)state;
	for (i = 0; i < FRAMES; i++) {
		struct buffer b = {0};
		struct frame f;

		encode(i, &b);
		for (n = 0; n < b.len; n++)
			for (v = 0; v < sizeof(values); v++) {
				uint8_t old = b.data[n];

				b.data[n] = values[v];
				if (!frame_decode(&f, b.data, b.len, NULL))
					frame_free(&f);
				b.data[n] = old;
			}
		buffer_free(&b);
	}
}

static void malformed_bytes_are_refused(void **state)
{
	static const struct {
		const char *name;
		uint8_t bytes[12];
		size_t len;
	} cases[] = {
		{"nothing", {0}, 0},
		{"array of four billion", {0xdd, 255, 255, 255, 255}, 5},
		{"bytes past the end", {0x93, 3, 1, 0xc6, 127, 0, 0, 0}, 8},
		{"arrays that add up past the end", {0x92, 0x92, 1, 0x92}, 4},
		{"a map", {0x81, 1, 1}, 3},
		{"a negative number", {0x92, 0xff, 1}, 3},
		{"unknown kind", {0x92, 9, 1}, 3},
		{"kind zero", {0x92, 0, 1}, 3},
		{"missing stream", {0x91, FRAME_CANCEL}, 2},
		{"credit as text", {0x93, FRAME_CREDIT, 1, 0xa1, 'x'}, 5},
		{"unknown peer message",
		 {0x93, FRAME_PEER_MSG, 0, 0x95, 99, 0xc4, 0, 0, 0, 0x90},
		 10},
	};
	struct frame f;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++)
		if (!frame_decode(&f, cases[i].bytes, cases[i].len, NULL))
			fail_msg("%s was decoded", cases[i].name);
}

static void fields_of_newer_versions_are_ignored(void **state)
{
	static const uint8_t some[] = {0x94, FRAME_CREDIT, 1, 5, 0x91, 1};
	uint8_t many[24] = {0xdc, 0, 21, FRAME_CREDIT};
	struct frame f;

	(void)state;
	assert_int_equal(frame_decode(&f, some, sizeof(some), NULL), 0);
	assert_int_equal(f.credit, 5);
	assert_int_equal(frame_decode(&f, many, sizeof(many), NULL), -1);
}

static void oversized_fields_are_refused(void **state)
{
	uint8_t big[FRAME_PAYLOAD_MAX + 1] = {0};
	struct frame f = {.kind = FRAME_BODY};
	struct peer_msg m = {.kind = PEER_NOTE};
	struct buffer b = {0};

	(void)state;
	f.body.data = big;
	f.body.len = sizeof(big);
	assert_int_equal(frame_encode(&f, &b), 0);
	assert_int_equal(frame_decode(&f, b.data, b.len, NULL), -1);
	b.len = 0;
	m.note.text.data = calloc(1, PEER_BYTES_MAX + 1);
	m.note.text.len = PEER_BYTES_MAX + 1;
	assert_int_equal(peer_msg_encode(&m, &b), 0);
	peer_msg_free(&m);
	assert_int_equal(peer_msg_decode(&m, b.data, b.len, NULL), -1);
	buffer_free(&b);
}

/* A note of a build without evacuations has four fields or three. */
static void notes_carry_evacuations(void **state)
{
	struct peer_msg m = {.kind = PEER_NOTE}, back;
	struct buffer b = {0};
	size_t without;
	int i;

	(void)state;
	m.note.question = 7;
	assert_int_equal(peer_msg_encode(&m, &b), 0);
	assert_int_equal(peer_msg_decode(&back, b.data, b.len, NULL), 0);
	assert_false(back.note.evacuations.known);
	assert_int_equal(back.note.question, 7);
	peer_msg_free(&back);
	without = b.len;
	m.note.evacuations.known = true;
	m.note.evacuations.era = 3;
	m.note.evacuations.revision = 99;
	m.note.evacuations.n = EVACUATIONS_MAX;
	for (i = 0; i < EVACUATIONS_MAX; i++) {
		m.note.evacuations.items[i].data_centre[0] = (char)('a' + i);
		m.note.evacuations.items[i].age_ms = 1000 * i;
	}
	b.len = 0;
	assert_int_equal(peer_msg_encode(&m, &b), 0);
	assert_true(b.len > without);
	assert_int_equal(peer_msg_decode(&back, b.data, b.len, NULL), 0);
	assert_memory_equal(&back.note.evacuations, &m.note.evacuations,
			    sizeof(m.note.evacuations));
	peer_msg_free(&back);
	buffer_free(&b);
}

static void peer_messages_round_trip(void **state)
{
	enum peer_msg_kind kind;

	(void)state;
	for (kind = PEER_PROBE; kind <= PEER_STANDBY; kind++) {
		struct peer_msg m = {.kind = kind, .config_number = 3};
		struct buffer once = {0}, twice = {0};

		addr_parse(&m.from, "10.0.0.2:7000");
		assert_int_equal(peer_msg_encode(&m, &once), 0);
		assert_int_equal(peer_msg_decode(&m, once.data, once.len, NULL),
				 0);
		assert_int_equal(m.kind, kind);
		assert_int_equal(m.config_number, 3);
		assert_int_equal(peer_msg_encode(&m, &twice), 0);
		assert_int_equal(once.len, twice.len);
		assert_memory_equal(once.data, twice.data, once.len);
		peer_msg_free(&m);
		buffer_free(&once);
		buffer_free(&twice);
	}
}

static void poison_facts_keep_every_field(void **state)
{
	struct peer_msg m = {.kind = PEER_POISON}, read;
	struct buffer b = {0};
	size_t i, j;

	(void)state;
	m.poison.n = POISON_FACTS_MAX;
	for (i = 0; i < POISON_FACTS_MAX; i++) {
		struct poison_facts *f = &m.poison.items[i];

		f->id.low = UINT64_MAX;
		f->id.high = UINT64_MAX - i;
		f->epoch = UINT64_MAX - i;
		f->end_count = (uint8_t)(POISON_ENDS_MAX - i);
		for (j = 0; j < f->end_count; j++)
			f->ends[j] = UINT64_MAX - j;
		f->tried = i % 2;
		memset(f->service, 'x', sizeof(f->service) - 1);
	}
	assert_int_equal(peer_msg_encode(&m, &b), 0);
	assert_true(b.len < DATAGRAM_MAX - 100);
	assert_int_equal(peer_msg_decode(&read, b.data, b.len, NULL), 0);
	assert_int_equal(read.poison.n, m.poison.n);
	assert_memory_equal(read.poison.items, m.poison.items,
			    sizeof(m.poison.items));
	buffer_free(&b);
}

static void datagrams_need_the_secret(void **state)
{
	static const uint8_t secret[SECRET_SIZE] = {1}, other[SECRET_SIZE];
	struct buffer sealed = {0}, again = {0}, out = {0};
	uint8_t big[DATAGRAM_MAX] = {0};
	size_t i;

	(void)state;
	assert_int_equal(datagram_seal(secret, "probe", 5, &sealed), 0);
	assert_int_equal(datagram_seal(secret, "probe", 5, &again), 0);
	assert_memory_not_equal(sealed.data, again.data, sealed.len);
	assert_int_equal(datagram_open(other, sealed.data, sealed.len, &out),
			 -1);
	for (i = 0; i < sealed.len; i++) {
		sealed.data[i] ^= 1;
		assert_int_equal(
			datagram_open(secret, sealed.data, sealed.len, &out),
			-1);
		sealed.data[i] ^= 1;
		assert_int_equal(datagram_open(secret, sealed.data, i, &out),
				 -1);
	}
	assert_int_equal(datagram_open(secret, sealed.data, sealed.len, &out),
			 0);
	assert_memory_equal(out.data, "probe", 5);
	assert_int_equal(datagram_seal(secret, big, sizeof(big), &out), -1);
	buffer_free(&sealed);
	buffer_free(&again);
	buffer_free(&out);
}

static void every_reason_has_a_code_status_and_sentence(void **state)
{
	int r, other;

	(void)state;
	for (r = 0; r < REASON_COUNT; r++) {
		const char *s = reason_sentence((enum reason)r);

		assert_true(reason_status((enum reason)r) >= 200);
		assert_true(strlen(s) > 20 && s[strlen(s) - 1] == '.');
		for (other = 0; other < r; other++)
			assert_string_not_equal(
				reason_code((enum reason)r),
				reason_code((enum reason)other));
	}
	assert_int_equal(reason_status(REASON_OVER_RATE), 429);
	assert_int_equal(reason_status(REASON_CLAIM_UNKNOWN), 409);
	assert_int_equal(reason_status(REASON_DEADLINE), 504);
}

/*
 * During an upgrade members of the build before do not send whether upstreams
 * are cold: their messages must be read, and mean that they are warm.
 */
static void upstreams_of_older_builds_are_warm(void **state)
{
	static const uint8_t tail[] = {UPSTREAM_READY, 99};
	struct member_info m = member("h1");
	struct peer_msg msg = {.kind = PEER_MEMBERS}, read = {0};
	struct buffer b = {0};
	uint8_t *head, *cold;

	(void)state;
	addr_parse(&msg.from, "10.0.0.2:7000");
	m.upstreams[0].cold_ms = tail[1];
	msg.members.items = &m;
	msg.members.n = 1;
	assert_int_equal(peer_msg_encode(&msg, &b), 0);
	assert_int_equal(peer_msg_decode(&read, b.data, b.len, NULL), 0);
	assert_int_equal(read.members.items[0].upstreams[0].cold_ms, tail[1]);
	peer_msg_free(&read);
	/* A list of six fields becomes one of five, without the last. */
	head = memmem(b.data, b.len, "\x96\xa7history", 9);
	assert_non_null(head);
	cold = memmem(head, (size_t)(b.data + b.len - head), tail, 2);
	assert_non_null(cold);
	*head = 0x95;
	memmove(cold + 1, cold + 2, (size_t)(b.data + b.len - cold - 2));
	b.len--;
	assert_int_equal(peer_msg_decode(&read, b.data, b.len, NULL), 0);
	assert_int_equal(read.members.items[0].upstreams[0].slots, 90);
	assert_int_equal(read.members.items[0].upstreams[0].cold_ms, 0);
	peer_msg_free(&read);
	buffer_free(&b);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(frames_round_trip),
		cmocka_unit_test(calls_keep_every_field),
		cmocka_unit_test(truncated_and_overlong_frames_are_refused),
		cmocka_unit_test(corrupted_frames_are_handled_safely),
		cmocka_unit_test(malformed_bytes_are_refused),
		cmocka_unit_test(fields_of_newer_versions_are_ignored),
		cmocka_unit_test(oversized_fields_are_refused),
		cmocka_unit_test(notes_carry_evacuations),
		cmocka_unit_test(peer_messages_round_trip),
		cmocka_unit_test(upstreams_of_older_builds_are_warm),
		cmocka_unit_test(poison_facts_keep_every_field),
		cmocka_unit_test(datagrams_need_the_secret),
		cmocka_unit_test(every_reason_has_a_code_status_and_sentence),
	};

	if (sodium_init() < 0)
		return 1;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
