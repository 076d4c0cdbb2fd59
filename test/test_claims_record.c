#include "claims_fixture.h"

#include "control/claims/claims_impl.h"

#include <gsl/gsl_rng.h>

#define MUTATIONS 200000

/* The only record in the store, read and written without a node. */
struct raw_record {
	char key[STORE_KEY_SIZE];
	uint8_t value[1024];
	size_t len;
	int64_t mod_revision;
};

static void on_raw(void *ctx, uint64_t tag, const struct store_result *r,
		   int64_t now)
{
	struct raw_record *raw = ctx;

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

static void raw_call(struct raw_record *raw, const struct store_op *op)
{
	struct store_done done = {.ctx = raw, .fn = on_raw};
	struct store *s = store_open_memory(fixture.memory);

	store_submit(s, op, &done, fixture.now);
	store_tick(s, fixture.now);
	store_close(s);
}

static void raw_read(struct raw_record *raw)
{
	struct store_op op = {.kind = STORE_LIST, .list = {.prefix = ""}};

	raw_call(raw, &op);
}

static void raw_write(struct raw_record *raw, bool remove)
{
	struct store_write write = {raw->key, raw->value, raw->len, 0, remove};
	struct store_op op = {.kind = STORE_TXN,
			      .txn = {.writes = &write, .write_count = 1}};

	raw_call(raw, &op);
}

static void check_late_write(bool missed_at_first)
{
	struct store_faults none = {0}, lose = {.lose_response = true};
	struct raw_record raw = {0};

	set_faults(0, lose);
	assert_int_equal(repeat(0, 0), CLAIM_STORE_UNAVAILABLE);
	raw_read(&raw);
	if (missed_at_first)
		raw_write(&raw, true);
	set_faults(0, none);
	run_ms(2000);
	assert_true(claims_idle(fixture.claims[0]));
	raw_write(&raw, false);
	assert_int_equal(repeat(1, 0), CLAIM_RUNNING);
	run_ms(15000);
	assert_int_equal(repeat(1, 0), CLAIM_FRESH);
}

/*
 * A write of unknown result may reach the store after the claim was discarded.
 * Its record must be removed, or the key would stay claimed.
 */
static void late_write_is_removed(void **state)
{
	check_late_write(false);
	tear_down(state);
	set_up(state);
	check_late_write(true);
}

/* The node that wrote the record knows that its request never ran. */
static void late_write_does_not_block_its_own_node(void **state)
{
	struct store_faults none = {0}, lose = {.lose_response = true};
	struct raw_record raw = {0};

	(void)state;
	set_faults(0, lose);
	assert_int_equal(repeat(0, 0), CLAIM_STORE_UNAVAILABLE);
	raw_read(&raw);
	set_faults(0, none);
	run_ms(2000);
	raw_write(&raw, false);
	assert_int_equal(repeat(0, 0), CLAIM_FRESH);
	run_ms(30000);
	assert_int_equal(repeat(1, 0), CLAIM_RUNNING);
}

/*
 * If an operator deletes a record by hand, another node can claim the key. The
 * first holder must not overwrite that claim with its outcome.
 */
static void outcome_never_overwrites_another_claim(void **state)
{
	struct request *r = begin(0, 0, 1);
	struct raw_record raw = {0};

	(void)state;
	run_ms(100);
	raw_read(&raw);
	raw_write(&raw, true);
	fixture.held[0] = 0;
	assert_int_equal(repeat(1, 0), CLAIM_FRESH);
	finish(r, 10);
	run_ms(500);
	assert_true(claims_idle(fixture.claims[0]));
	assert_int_equal(repeat(2, 0), CLAIM_RUNNING);
}

static void malformed_record_is_unresolved(void **state)
{
	static const uint8_t zeros[8];
	struct raw_record raw = {0};

	(void)state;
	assert_int_equal(repeat(0, 0), CLAIM_FRESH);
	raw_read(&raw);
	memcpy(raw.value, zeros, sizeof(zeros));
	raw_write(&raw, false);
	assert_int_equal(repeat(1, 0), CLAIM_UNRESOLVED);
}

static void records_round_trip(void **state)
{
	struct claim_record in = {.state = RECORD_DONE,
				  .holder = "[::1]:9",
				  .incarnation = UINT64_MAX,
				  .request = "r",
				  .token = "t",
				  .account = "a",
				  .route = "o",
				  .fingerprint = 7,
				  .wall_us = 8,
				  .status = 201,
				  .content_type = "text/plain",
				  .body = (const uint8_t *)"body",
				  .body_len = 4};
	struct claim_record out;
	struct buffer b = {0};

	(void)state;
	assert_int_equal(record_encode(&in, &b), 0);
	assert_int_equal(record_decode(&out, b.data, b.len), 0);
	assert_memory_equal(out.body, "body", 4);
	out.body = in.body;
	assert_memory_equal(&in, &out, sizeof(in));
	buffer_free(&b);
}

/* Malformed records are rejected, and never read past their end. */
static void mutated_records_stay_within_bounds(void **state)
{
	struct claim_record in = {.holder = "127.0.0.1:1",
				  .content_type = "text/plain",
				  .body = (const uint8_t *)"body",
				  .body_len = 4};
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
	struct claim_record out;
	struct buffer b = {0};
	uint8_t *copy;
	size_t len;
	int i;

	(void)state;
	assert_int_equal(record_encode(&in, &b), 0);
	for (i = 0; i < MUTATIONS; i++) {
		len = gsl_rng_uniform_int(rng, b.len + 1);
		/* Own allocation, so that a read past its end is detected. */
		copy = malloc(len + 1);
		memcpy(copy, b.data, len);
		copy = realloc(copy, len ? len : 1);
		if (len)
			copy[gsl_rng_uniform_int(rng, len)] =
				(uint8_t)gsl_rng_uniform_int(rng, 256);
		if (!record_decode(&out, copy, len) && out.body_len)
			assert_true(out.body >= copy &&
				    out.body + out.body_len <= copy + len);
		free(copy);
	}
	buffer_free(&b);
	gsl_rng_free(rng);
}

#define CLAIMS_TEST(fn) cmocka_unit_test_setup_teardown(fn, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(records_round_trip),
		cmocka_unit_test(mutated_records_stay_within_bounds),
		CLAIMS_TEST(late_write_is_removed),
		CLAIMS_TEST(late_write_does_not_block_its_own_node),
		CLAIMS_TEST(outcome_never_overwrites_another_claim),
		CLAIMS_TEST(malformed_record_is_unresolved),
	};

	log_set_level(LOG_CRIT);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
