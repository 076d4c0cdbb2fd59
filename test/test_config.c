#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "conf/conf.h"

static struct config *apply(struct config *c, const char *text)
{
	struct note_faults f;
	struct config *n = config_apply(c, config_number(c) + 1, text,
					strlen(text), NULL, &f);

	if (!n)
		fail_msg("%s: %s", f.items[0].path, f.items[0].text);
	config_put(c);
	return n;
}

struct match {
	const char *method;
	const char *path;
	const char *route; /* NULL: none */
};

static const char *const patterns[][3] = {
	{"root", "GET", "/"},
	{"literal", "GET", "/rafts/new"},
	{"param", "GET", "/rafts/{id}"},
	{"deep", "GET", "/rafts/{id}/history"},
	{"rest", "GET", "/rafts/**"},
	{"post", "POST", "/rafts/{id}"},
	{"fork", "GET", "/f/a/{x}/c"},
	{"fork2", "GET", "/f/{x}/b/d"},
	{"slash", "GET", "/s/"},
	{"escape", "GET", "/caf%C3%A9/%7Euser"},
};

static const struct match matches[] = {
	{"GET", "/", "root"},
	{"GET", "/?q=/rafts/new", "root"},
	{"GET", "/rafts/new", "literal"},
	{"GET", "/rafts/n%65w?x=1", "literal"},
	{"GET", "/rafts/7", "param"},
	{"GET", "/rafts/7/history", "deep"},
	{"GET", "/rafts/new/history", "deep"},
	{"GET", "/rafts/7/other", "rest"},
	{"GET", "/rafts", "rest"},
	{"GET", "/rafts/", "rest"},
	{"GET", "/rafts//history", "rest"},
	{"POST", "/rafts/7", "post"},
	{"POST", "/rafts/7/history", NULL},
	{"PUT", "/rafts/7", NULL},
	{"GET", "/f/a/b/c", "fork"},
	{"GET", "/f/a/b/d", "fork2"},
	{"GET", "/s/", "slash"},
	{"GET", "/s", NULL},
	{"GET", "/caf%c3%a9/~user", "escape"},
	{"GET", "/Rafts/7", NULL},
	{"GET", "/rafts/7/../8", NULL},
	{"GET", "/rafts/%2e%2E/8", NULL},
	{"GET", "/rafts/%zz", NULL},
	{"GET", "/rafts/%4", NULL},
	{"GET", "rafts/7", NULL},
	{"GET", "", NULL},
	{"A-METHOD-LONGER-THAN-ANY", "/", NULL},
};

static struct config *config_with_patterns(void)
{
	struct buffer b = {0};
	struct config *c = config_new();
	size_t i;

	buffer_printf(&b, "{\"release\": \"r\", \"added\": {\"services\":"
			  "[{\"name\": \"s\"}], \"routes\": [");
	for (i = 0; i < sizeof(patterns) / sizeof(*patterns); i++)
		buffer_printf(&b,
			      "%s{\"name\": \"%s\", \"method\": \"%s\","
			      "\"path\": \"%s\", \"service\": \"s\"}",
			      i ? "," : "", patterns[i][0], patterns[i][1],
			      patterns[i][2]);
	buffer_printf(&b, "]}}");
	c = apply(c, (char *)b.data);
	buffer_free(&b);
	return c;
}

static void most_specific_pattern_matches(void **state)
{
	struct config *c = config_with_patterns();
	const struct route *r;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(matches) / sizeof(*matches); i++) {
		r = config_match(c, matches[i].method, matches[i].path);
		if (!r != !matches[i].route ||
		    (r && strcmp(r->name, matches[i].route)))
			fail_msg("%s: %s", matches[i].path,
				 r ? r->name : "none");
	}
	config_put(c);
}

static void a_very_long_segment_matches_a_parameter(void **state)
{
	struct config *c = config_with_patterns();
	char path[2 * PATTERN_SIZE];

	(void)state;
	memset(path, 'a', sizeof(path));
	memcpy(path, "/rafts/", 7);
	path[sizeof(path) - 1] = 0;
	assert_string_equal(config_match(c, "GET", path)->name, "param");
	config_put(c);
}

static struct config *config_with_accounts(int from, int step, int n)
{
	struct config *c = config_new();
	char text[512];
	int i, id = from;

	for (i = 0; i < n; i++, id = (id + step) % n) {
		snprintf(text, sizeof(text),
			 "{\"release\": \"r%d\", \"added\": {\"accounts\": [{"
			 "\"name\": \"a%d\", \"rate\": %d.25, \"burst\": 2}],"
			 "\"keys\": [{\"id\": \"k%d\", \"account\": \"a%d\","
			 "\"hash\": \"%064x\"}]}}",
			 i, id, id + 1, id, id, id + 1);
		c = apply(c, text);
	}
	return c;
}

/* Releases are not compared: they depend on the order of the notes. */
static void assert_equal_accounts(struct config *a, struct config *b)
{
	const struct account *x = NULL, *y = NULL;

	do {
		x = config_next_account(a, x);
		y = config_next_account(b, y);
		assert_int_equal(!x, !y);
		if (x)
			assert_memory_equal(x, y, sizeof(*x));
	} while (x);
}

static void item_order_is_independent_of_history(void **state)
{
	struct config *a = config_with_accounts(0, 1, 997);
	struct config *b = config_with_accounts(5, 31, 997);

	(void)state;
	assert_equal_accounts(a, b);
	config_put(a);
	config_put(b);
}

static void snapshots_round_trip(void **state)
{
	struct config *a = config_with_accounts(0, 1, 500), *b,
		      *c = config_with_patterns();
	struct buffer x = {0}, y = {0};
	uint8_t hash[KEY_HASH_SIZE] = {0};
	struct error err;

	(void)state;
	hash[KEY_HASH_SIZE - 1] = 7;
	assert_int_equal(config_pack(a, &x), 0);
	b = config_unpack(x.data, x.len, &err);
	assert_non_null(b);
	assert_equal_accounts(a, b);
	assert_string_equal(config_key(b, hash)->id, "k6");
	assert_int_equal(config_number(b), 500);
	assert_int_equal(config_release_number(b, "r7"), 8);
	assert_int_equal(config_pack(b, &y), 0);
	assert_int_equal(x.len, y.len);
	assert_memory_equal(x.data, y.data, x.len);
	config_put(a);
	config_put(b);
	buffer_free(&x);
	assert_int_equal(config_pack(c, &x), 0);
	b = config_unpack(x.data, x.len, &err);
	assert_string_equal(config_match(b, "GET", "/rafts/7")->name, "param");
	config_put(b);
	config_put(c);
	buffer_free(&x);
	buffer_free(&y);
}

static struct config *config_with_homes(void)
{
	struct config *c = config_with_accounts(0, 1, 3);

	return apply(c, "{\"release\": \"h\", \"added\": {\"services\": "
			"[{\"name\": \"s\"}], \"routes\": [{\"name\": \"r\", "
			"\"method\": \"GET\", \"path\": \"/\", \"service\": "
			"\"s\", \"allowed_regions\": [\"north\"]}]}, "
			"\"changed\": {\"accounts\": [{\"name\": \"a1\", "
			"\"allowed_regions\": [\"west\", \"east\"]}]}}");
}

/*
 * Guards against a snapshot that loses home regions, and against one without
 * any that a node of an earlier build cannot read.
 */
static void snapshots_keep_home_regions(void **state)
{
	struct config *a = config_with_homes(), *b;
	struct config *plain = config_with_accounts(0, 1, 3);
	struct buffer x = {0}, y = {0};
	struct error err;
	size_t i;

	(void)state;
	assert_int_equal(config_pack(plain, &x), 0);
	assert_int_equal(x.data[0], 1);
	x.len = 0;
	assert_int_equal(config_pack(a, &x), 0);
	assert_int_equal(x.data[0], 2);
	b = config_unpack(x.data, x.len, &err);
	assert_non_null(b);
	assert_equal_accounts(a, b);
	assert_true(region_set_has(&config_route(b, "r")->home, "north"));
	assert_int_equal(config_account(b, "a0")->home.count, 0);
	assert_int_equal(config_pack(b, &y), 0);
	assert_int_equal(x.len, y.len);
	assert_memory_equal(x.data, y.data, x.len);
	config_put(b);
	for (i = 0; i < x.len; i++)
		assert_null(config_unpack(x.data, i, &err));
	y.len = 0;
	assert_int_equal(config_show(a, "accounts", &y), 0);
	assert_non_null(strstr((char *)y.data, "\"allowed_regions\":"
					       "[\"west\",\"east\"]"));
	config_put(a);
	config_put(plain);
	buffer_free(&x);
	buffer_free(&y);
}

static void malformed_snapshots_are_rejected(void **state)
{
	struct config *a = config_with_accounts(0, 1, 3), *b;
	static const uint8_t huge_array[] = {1, 0xdd, 255, 255, 255, 255};
	struct buffer x = {0};
	struct error err;
	size_t i;
	uint8_t old;

	(void)state;
	assert_int_equal(config_pack(a, &x), 0);
	for (i = 0; i < x.len; i++) {
		assert_null(config_unpack(x.data, i, &err));
		/* A corrupt byte may be accepted, but must not crash. */
		old = x.data[i];
		x.data[i] = (uint8_t)(old ^ 0xc1);
		b = config_unpack(x.data, x.len, &err);
		config_put(b);
		x.data[i] = old;
	}
	assert_null(config_unpack(huge_array, sizeof(huge_array), &err));
	config_put(a);
	buffer_free(&x);
}

static void oldest_releases_are_forgotten(void **state)
{
	struct config *c = config_new();
	char text[64];
	int i;

	(void)state;
	for (i = 1; i <= RELEASES_KEPT + 2; i++) {
		snprintf(text, sizeof(text), "{\"release\": \"r%d\"}", i);
		c = apply(c, text);
	}
	assert_int_equal(config_release_number(c, "r2"), 0);
	assert_int_equal(config_release_number(c, "r3"), 3);
	assert_int_equal(config_release_number(c, "r4000"), 4000);
	config_put(c);
}

static void sections_are_shown_without_hashes(void **state)
{
	struct config *c = config_with_accounts(0, 1, 1);
	struct buffer b = {0};

	(void)state;
	assert_int_equal(config_show(c, "accounts", &b), 0);
	assert_string_equal(
		b.data, "[{\"name\":\"a0\",\"team\":\"\",\"rate\":1.25,"
			"\"burst\":2.0,\"weight\":1,\"refuse_stale_s\":0}]");
	b.len = 0;
	assert_int_equal(config_show(c, NULL, &b), 0);
	assert_non_null(strstr((char *)b.data,
			       "\"keys\":[{\"id\":\"k0\",\"account\":"
			       "\"a0\"}]"));
	assert_int_equal(config_show(c, "secrets", &b), -1);
	config_put(c);
	buffer_free(&b);
}

struct example {
	const char *dir;
	const char *const *data_centres;
	const char *last;  /* name of a route that is shed last */
	const char *first; /* name of a route that is shed first */
	const char *once;  /* name of a route that runs at most once */
	const char *key;
	const char *account;
};

static const char *const aralsk_dcs[] = {"aktau", "atyrau", "bautino", "kuryk",
					 NULL};
static const char *const trinacria_dcs[] = {"palermo", "catania", "messina",
					    NULL};

static const struct example examples[] = {
	{"aralsk", aralsk_dcs, "raft-readiness", "raft-history",
	 "certificate-issue", "demo-aralsk-inspectors", "inspectors"},
	{"trinacria", trinacria_dcs, "screening", "roster-lookup", "case-open",
	 "demo-trinacria-volunteers", "volunteers"},
};

static struct config *load_note(const char *path)
{
	struct buffer b = {0};
	char piece[4096];
	FILE *f = fopen(path, "re");
	struct config *c;
	size_t n;

	assert_non_null(f);
	while ((n = fread(piece, 1, sizeof(piece), f)) > 0)
		assert_int_equal(buffer_append(&b, piece, n, NOTE_TEXT_MAX), 0);
	fclose(f);
	assert_int_equal(buffer_append(&b, "", 1, NOTE_TEXT_MAX), 0);
	c = apply(config_new(), (char *)b.data);
	buffer_free(&b);
	return c;
}

static void examples_apply(void **state)
{
	const struct example *e = examples;
	const char *const *dc;
	uint8_t hash[KEY_HASH_SIZE];
	struct settings s;
	struct error err;
	struct config *c;
	char path[128];

	(void)state;
	for (; e < examples + sizeof(examples) / sizeof(*examples); e++) {
		snprintf(path, sizeof(path), "examples/%s/note.json", e->dir);
		c = load_note(path);
		assert_int_equal(config_route(c, e->last)->shed, SHED_LAST);
		assert_int_equal(config_route(c, e->first)->shed, SHED_FIRST);
		assert_true(config_route(c, e->once)->once);
		key_hash(hash, e->key);
		assert_string_equal(config_key(c, hash)->account, e->account);
		config_put(c);
		for (dc = e->data_centres; *dc; dc++) {
			snprintf(path, sizeof(path),
				 "examples/%s/settings-%s.json", e->dir, *dc);
			if (settings_load(&s, path, &err) < 0)
				fail_msg("%s", err.text);
			assert_string_equal(s.data_centre, *dc);
			snprintf(path, sizeof(path),
				 "demo-%s-operator-bootstrap", e->dir);
			key_hash(hash, path);
			assert_memory_equal(s.bootstrap_operator, hash,
					    sizeof(hash));
		}
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(most_specific_pattern_matches),
		cmocka_unit_test(a_very_long_segment_matches_a_parameter),
		cmocka_unit_test(item_order_is_independent_of_history),
		cmocka_unit_test(snapshots_round_trip),
		cmocka_unit_test(snapshots_keep_home_regions),
		cmocka_unit_test(malformed_snapshots_are_rejected),
		cmocka_unit_test(oldest_releases_are_forgotten),
		cmocka_unit_test(sections_are_shown_without_hashes),
		cmocka_unit_test(examples_apply),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
