#include "claims_world.h"

/* The one record in the store, read and written past the nodes. */
struct raw {
	char key[STORE_KEY_SIZE];
	uint8_t value[1024];
	size_t len;
	int64_t mod_revision;
};

static void on_raw(void *ctx, uint64_t tag, const struct store_result *r,
		   int64_t now)
{
	struct raw *raw = ctx;

	(void)tag;
	(void)now;
	assert_in_range(r->outcome, STORE_DONE, STORE_DONE);
	if (r->n != 1)
		return;
	memcpy(raw->key, r->entries[0].key, sizeof(raw->key));
	memcpy(raw->value, r->entries[0].value, r->entries[0].len);
	raw->len = r->entries[0].len;
	raw->mod_revision = r->entries[0].mod_revision;
}

static void raw_call(struct raw *raw, const struct store_op *op)
{
	struct store_done done = {.ctx = raw, .fn = on_raw};
	struct store *s = store_open_memory(world.memory);

	store_submit(s, op, &done, world.now);
	store_tick(s, world.now);
	store_close(s);
}

static void raw_read(struct raw *raw)
{
	struct store_op op = {.kind = STORE_LIST, .list = {.prefix = ""}};

	raw_call(raw, &op);
}

static void raw_write(struct raw *raw, bool remove)
{
	struct store_write write = {raw->key, raw->value, raw->len, 0, remove};
	struct store_op op = {.kind = STORE_TXN,
			      .txn = {.writes = &write, .write_count = 1}};

	raw_call(raw, &op);
}

static void late_write(bool missed_at_first)
{
	struct store_faults none = {0}, lose = {.lose_answer = true};
	struct raw raw = {0};

	set_faults(0, lose);
	assert_int_equal(repeat(0, 0), CLAIM_STORE_OUT);
	raw_read(&raw);
	if (missed_at_first)
		raw_write(&raw, true);
	set_faults(0, none);
	run_ms(2000);
	assert_true(claims_idle(world.claims[0]));
	raw_write(&raw, false);
	assert_int_equal(repeat(1, 0), CLAIM_RUNNING);
	run_ms(15000);
	assert_int_equal(repeat(1, 0), CLAIM_FRESH);
}

/* A write whose answer was lost may also reach the store much later. */
static void a_late_write_is_taken_out(void **state)
{
	late_write(false);
	tear_down(state);
	set_up(state);
	late_write(true);
}

/* The node that wrote it knows that it never ran. */
static void a_late_write_does_not_bar_its_own_node(void **state)
{
	struct store_faults none = {0}, lose = {.lose_answer = true};
	struct raw raw = {0};

	(void)state;
	set_faults(0, lose);
	assert_int_equal(repeat(0, 0), CLAIM_STORE_OUT);
	raw_read(&raw);
	set_faults(0, none);
	run_ms(2000);
	raw_write(&raw, false);
	assert_int_equal(repeat(0, 0), CLAIM_FRESH);
	run_ms(30000);
	assert_int_equal(repeat(1, 0), CLAIM_RUNNING);
}

/* Should somebody clear the store by hand, the next holder is left alone. */
static void an_end_never_overwrites_another_claim(void **state)
{
	struct request *r = begin(0, 0, 1);
	struct raw raw = {0};

	(void)state;
	run_ms(100);
	raw_read(&raw);
	raw_write(&raw, true);
	world.held[0] = 0;
	assert_int_equal(repeat(1, 0), CLAIM_FRESH);
	finish(r, 10);
	run_ms(500);
	assert_true(claims_idle(world.claims[0]));
	assert_int_equal(repeat(2, 0), CLAIM_RUNNING);
}

static void a_garbled_record_is_unresolved(void **state)
{
	static const uint8_t zeros[8];
	struct raw raw = {0};

	(void)state;
	assert_int_equal(repeat(0, 0), CLAIM_FRESH);
	raw_read(&raw);
	memcpy(raw.value, zeros, sizeof(zeros));
	raw_write(&raw, false);
	assert_int_equal(repeat(1, 0), CLAIM_UNRESOLVED);
}

#define CLAIMS_TEST(fn) cmocka_unit_test_setup_teardown(fn, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		CLAIMS_TEST(a_late_write_is_taken_out),
		CLAIMS_TEST(a_late_write_does_not_bar_its_own_node),
		CLAIMS_TEST(an_end_never_overwrites_another_claim),
		CLAIMS_TEST(a_garbled_record_is_unresolved),
	};

	log_set_level(LOG_CRIT);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
