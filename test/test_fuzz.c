#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include <gsl/gsl_rng.h>
#include <sodium.h>

#include "conf/conf.h"
#include "node/node.h"
#include "wire/wire.h"

/*
 * Feeds mutations of valid input, from a fixed seed, to every decoder. Each
 * must decode or refuse its input without leaks; memory errors are caught by
 * the sanitizers. FUZZ_ROUNDS in the environment sets the number of rounds.
 */
#define SEED 20
#define ROUNDS 3000
#define MUTATIONS_MAX 6
#define INPUT_MAX 4096

static gsl_rng *rng;

static size_t rounds(void)
{
	const char *text = getenv("FUZZ_ROUNDS");

	return text ? strtoul(text, NULL, 10) : ROUNDS;
}

static size_t random_below(size_t n)
{
	return gsl_rng_uniform_int(rng, n);
}

static size_t mutate_once(uint8_t *p, size_t len)
{
	static const uint8_t boundary_bytes[] = {0,    0x7f, 0x80, 0xc0,
						 0xc4, 0xdb, 0xdc, 0xdd,
						 0xdf, 0xff, '{',  '"'};
	size_t at = random_below(len), n;

	switch (random_below(5)) {
	case 0:
		p[at] ^= (uint8_t)(1U << random_below(8));
		return len;
	case 1:
		p[at] = boundary_bytes[random_below(sizeof(boundary_bytes))];
		return len;
	case 2:
		return at + 1; /* truncate */
	case 3:
		n = random_below(len - at) + 1;
		memmove(p + at, p + at + n, len - at - n);
		return len - n ? len - n : 1;
	default:
		n = random_below(len - at) + 1;
		if (len + n > INPUT_MAX)
			return len;
		memmove(p + at + n, p + at, len - at);
		return len + n;
	}
}

static size_t mutate(uint8_t *p, const void *input, size_t len)
{
	size_t n = 1 + random_below(MUTATIONS_MAX);

	memcpy(p, input, len);
	while (n--)
		len = mutate_once(p, len);
	return len;
}

/* Runs a decoder on mutations of input; returns how many it accepted. */
static size_t fuzz_decoder(const void *input, size_t len,
			   bool (*decode)(const uint8_t *p, size_t len))
{
	uint8_t *copy, buf[INPUT_MAX];
	size_t accepted = 0, i, n;

	assert_true(len && len <= INPUT_MAX);
	assert_true(decode(input, len));
	for (i = 0; i < rounds(); i++) {
		n = mutate(buf, input, len);
		/* On the heap, so that AddressSanitizer sees an overread. */
		copy = malloc(n);
		memcpy(copy, buf, n);
		accepted += decode(copy, n);
		free(copy);
	}
	return accepted;
}

static bool decode_frame(const uint8_t *p, size_t len)
{
	struct error err;
	struct frame f;

	if (frame_decode(&f, p, len, &err) < 0)
		return false;
	frame_free(&f);
	return true;
}

static void mutated_frames_are_decoded_or_refused(void **state)
{
	struct frame f = {.kind = FRAME_CALL, .stream = 7};
	struct buffer out = {0};

	(void)state;
	copy_name(f.call.head.request, REQUEST_ID_SIZE, "root.1");
	copy_name(f.call.head.service, NAME_SIZE, "history");
	addr_parse(&f.call.head.upstream, "10.0.0.1:80");
	f.call.message.target = strdup("/rafts/7/history?x=1");
	copy_name(f.call.message.method, METHOD_SIZE, "GET");
	message_add_header(&f.call.message, "accept", "*/*");
	f.call.body_len = 100;
	assert_int_equal(frame_encode(&f, &out), 0);
	assert_true(fuzz_decoder(out.data, out.len, decode_frame) < rounds());
	message_free(&f.call.message);
	buffer_free(&out);
}

static bool decode_peer_msg(const uint8_t *p, size_t len)
{
	struct peer_msg m;
	struct error err;

	if (peer_msg_decode(&m, p, len, &err) < 0)
		return false;
	peer_msg_free(&m);
	return true;
}

static void mutated_peer_messages_are_decoded_or_refused(void **state)
{
	struct member_info members[2] = {{.state = MEMBER_ALIVE},
					 {.state = MEMBER_DEAD}};
	struct peer_msg m = {.kind = PEER_PROBE, .incarnation = 5};
	struct buffer out = {0};

	(void)state;
	copy_name(members[0].host, NAME_SIZE, "a1");
	copy_name(members[0].data_centre, NAME_SIZE, "aktau");
	addr_parse(&members[0].node_addr, "10.0.0.1:7000");
	members[0].upstream_count = 1;
	copy_name(members[0].upstreams[0].service, NAME_SIZE, "history");
	members[0].departure_count = 1;
	members[0].departures[0].started_ms = 5;
	m.probe.changes = members;
	m.probe.change_count = 2;
	assert_int_equal(peer_msg_encode(&m, &out), 0);
	assert_true(fuzz_decoder(out.data, out.len, decode_peer_msg) <
		    rounds());
	buffer_free(&out);
}

static const uint8_t secret[SECRET_SIZE] = {3};

static bool open_datagram(const uint8_t *p, size_t len)
{
	struct buffer out = {0};
	bool ok = datagram_open(secret, p, len, &out) == 0;

	buffer_free(&out);
	return ok;
}

static void mutated_datagrams_are_refused(void **state)
{
	struct buffer out = {0};

	(void)state;
	assert_int_equal(datagram_seal(secret, "hello", 5, &out), 0);
	/*
	 * Mutations can cancel out and give the original datagram, which is
	 * accepted; no other is.
	 */
	assert_true(fuzz_decoder(out.data, out.len, open_datagram) <
		    rounds() / 20);
	buffer_free(&out);
}

static const char note[] =
	"{\"release\":\"r1\",\"added\":{\"services\":[{\"name\":\"history\","
	"\"retry_percent\":10}],\"routes\":[{\"name\":\"h\",\"method\":\"GET\","
	"\"path\":\"/rafts/{id}/history\",\"service\":\"history\","
	"\"shed\":\"first\",\"deadline_ms\":100,\"retries\":1}],"
	"\"accounts\":[{\"name\":\"a\",\"rate\":5,\"burst\":2}]}}";

static struct config *apply(const uint8_t *p, size_t len)
{
	struct config *empty = config_new(), *c;
	struct note_faults faults = {0};

	c = config_apply(empty, 1, (const char *)p, len, NULL, &faults);
	assert_true(c || faults.n);
	note_faults_free(&faults);
	config_put(empty);
	return c;
}

static bool read_note(const uint8_t *p, size_t len)
{
	struct config *c = apply(p, len);

	if (c)
		config_put(c);
	return c;
}

static void mutated_notes_are_decoded_or_refused(void **state)
{
	(void)state;
	assert_true(fuzz_decoder(note, strlen(note), read_note) < rounds());
}

static bool unpack(const uint8_t *p, size_t len)
{
	struct error err;
	struct config *c = config_unpack(p, len, &err);

	if (c)
		config_put(c);
	return c;
}

static void mutated_snapshots_are_decoded_or_refused(void **state)
{
	struct config *c = apply((const uint8_t *)note, strlen(note));
	struct buffer out = {0};

	(void)state;
	assert_non_null(c);
	assert_int_equal(config_pack(c, &out), 0);
	assert_true(fuzz_decoder(out.data, out.len, unpack) < rounds());
	buffer_free(&out);
	config_put(c);
}

static bool read_announcement(const uint8_t *p, size_t len)
{
	struct upstream_info u;
	struct error err;

	return announcement_read(&u, (const char *)p, len, &err) == 0;
}

static void mutated_announcements_are_decoded_or_refused(void **state)
{
	static const char text[] =
		"{\"service\":\"history\",\"address\":\"127.0.0.1:80\","
		"\"slots\":90,\"connections\":650,\"state\":\"ready\"}";

	(void)state;
	assert_true(fuzz_decoder(text, strlen(text), read_announcement) <
		    rounds());
}

static int set_up(void **state)
{
	(void)state;
	if (sodium_init() < 0)
		return -1;
	rng = gsl_rng_alloc(gsl_rng_taus2);
	gsl_rng_set(rng, SEED);
	return 0;
}

static int tear_down(void **state)
{
	(void)state;
	gsl_rng_free(rng);
	return 0;
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(mutated_frames_are_decoded_or_refused),
		cmocka_unit_test(mutated_peer_messages_are_decoded_or_refused),
		cmocka_unit_test(mutated_datagrams_are_refused),
		cmocka_unit_test(mutated_notes_are_decoded_or_refused),
		cmocka_unit_test(mutated_snapshots_are_decoded_or_refused),
		cmocka_unit_test(mutated_announcements_are_decoded_or_refused),
	};

	return cmocka_run_group_tests(tests, set_up, tear_down);
}
