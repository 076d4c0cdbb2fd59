/*
 * Measures time and memory of the configuration as a function of the number
 * of accounts, with 2 keys per account, 330 services and 6 routes per service.
 */
#include <malloc.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "conf/conf.h"

#define SERVICES 330
#define ROUTES_PER_SERVICE 6
#define KEYS_PER_ACCOUNT 2
#define ACCOUNTS_PER_NOTE 500
#define APPLY_RUNS 201
#define LOOKUPS 200000

static struct config *apply(struct config *c, const char *text, size_t len)
{
	struct note_faults faults;
	struct config *next =
		config_apply(c, config_number(c) + 1, text, len, NULL, &faults);

	if (!next) {
		fprintf(stderr, "%s: %s\n", faults.items[0].path,
			faults.items[0].text);
		exit(1);
	}
	config_put(c);
	return next;
}

static struct config *add_services(struct config *c)
{
	struct buffer b = {0};
	int i, j;

	buffer_printf(&b, "{\"release\": \"s\", \"added\": {\"services\": [");
	for (i = 0; i < SERVICES; i++)
		buffer_printf(&b, "%s{\"name\": \"service-%d\"}", i ? "," : "",
			      i);
	buffer_printf(&b, "], \"routes\": [");
	for (i = 0; i < SERVICES; i++)
		for (j = 0; j < ROUTES_PER_SERVICE; j++)
			buffer_printf(&b,
				      "%s{\"name\": \"route-%d-%d\", "
				      "\"method\": \"GET\", \"service\": "
				      "\"service-%d\", \"path\": "
				      "\"/service-%d/{item}/part-%d\"}",
				      i || j ? "," : "", i, j, i, i, j);
	buffer_printf(&b, "]}}");
	c = apply(c, (char *)b.data, b.len);
	buffer_free(&b);
	return c;
}

static void key_hash_hex(char hex[2 * KEY_HASH_SIZE + 1], int account, int key)
{
	uint8_t hash[KEY_HASH_SIZE];
	char text[32];

	snprintf(text, sizeof(text), "key-%d-%d", account, key);
	key_hash(hash, text);
	sodium_bin2hex(hex, 2 * KEY_HASH_SIZE + 1, hash, sizeof(hash));
}

static struct config *add_accounts(struct config *c, int from, int n)
{
	char hex[2 * KEY_HASH_SIZE + 1];
	struct buffer b = {0};
	int i, j;

	buffer_printf(&b, "{\"release\": \"a%d\", \"added\": {\"accounts\": [",
		      from);
	for (i = from; i < from + n; i++)
		buffer_printf(&b,
			      "%s{\"name\": \"account-%d\", \"rate\": 100, "
			      "\"burst\": 20}",
			      i > from ? "," : "", i);
	buffer_printf(&b, "], \"keys\": [");
	for (i = from; i < from + n; i++)
		for (j = 0; j < KEYS_PER_ACCOUNT; j++) {
			key_hash_hex(hex, i, j);
			buffer_printf(&b,
				      "%s{\"id\": \"key-%d-%d\", \"account\": "
				      "\"account-%d\", \"hash\": \"%s\"}",
				      i > from || j ? "," : "", i, j, i, hex);
		}
	buffer_printf(&b, "]}}");
	c = apply(c, (char *)b.data, b.len);
	buffer_free(&b);
	return c;
}

static void print(const char *name, double value, const char *unit, int n)
{
	printf("measure=%s value=%.2f unit=%s n=%d\n", name, value, unit, n);
}

/*
 * Builds a configuration and prints the time in which its last account note,
 * the one for the largest configuration, was built and applied.
 */
static struct config *build_config(int accounts)
{
	struct config *c = add_services(config_new());
	int64_t start = 0;
	int i;

	for (i = 0; i < accounts; i += ACCOUNTS_PER_NOTE) {
		start = clock_monotonic_us();
		c = add_accounts(c, i, ACCOUNTS_PER_NOTE);
	}
	print("config_apply_500_accounts_ms",
	      (double)(clock_monotonic_us() - start) / 1e3, "ms", accounts);
	return c;
}

static int compare_times(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

/*
 * Returns the median time of applying a note to the same configuration. Exits
 * if the note is rejected.
 */
static double apply_us(const struct config *c, const char *text)
{
	int64_t times[APPLY_RUNS], start;
	struct note_faults faults;
	struct config *next;
	int i;

	for (i = 0; i < APPLY_RUNS; i++) {
		start = clock_monotonic_us();
		next = config_apply(c, config_number(c) + 1, text, strlen(text),
				    NULL, &faults);
		times[i] = clock_monotonic_us() - start;
		if (!next)
			exit(1);
		config_put(next);
	}
	qsort(times, APPLY_RUNS, sizeof(*times), compare_times);
	i = APPLY_RUNS / 2;
	return (double)times[i];
}

static void measure_apply(const struct config *c, int n)
{
	print("config_apply_account_us",
	      apply_us(c, "{\"release\": \"x\", \"changed\": {\"accounts\": "
			  "[{\"name\": \"account-7\", \"rate\": 5}]}}"),
	      "us", n);
	print("config_apply_key_us",
	      apply_us(c, "{\"release\": \"x\", \"withdrawn\": {\"keys\": "
			  "[\"key-7-0\"]}}"),
	      "us", n);
	print("config_apply_route_us",
	      apply_us(c, "{\"release\": \"x\", \"changed\": {\"routes\": "
			  "[{\"name\": \"route-7-1\", \"retries\": 1}]}}"),
	      "us", n);
}

static void measure_lookups(const struct config *c, int n)
{
	uint8_t hash[KEY_HASH_SIZE];
	char path[64], key[32];
	int64_t start = clock_monotonic_us();
	int i, found = 0;

	for (i = 0; i < LOOKUPS; i++) {
		snprintf(path, sizeof(path), "/service-%d/%d/part-%d?q=1",
			 i % SERVICES, i, i % ROUTES_PER_SERVICE);
		found += config_match(c, "GET", path) != NULL;
	}
	print("config_match_ns",
	      (double)(clock_monotonic_us() - start) * 1e3 / LOOKUPS, "ns", n);
	start = clock_monotonic_us();
	for (i = 0; i < LOOKUPS; i++) {
		snprintf(key, sizeof(key), "key-%d-0", i % n);
		key_hash(hash, key);
		found += config_key(c, hash) != NULL;
	}
	print("config_key_ns",
	      (double)(clock_monotonic_us() - start) * 1e3 / LOOKUPS, "ns", n);
	if (found != 2 * LOOKUPS)
		exit(1);
}

static void measure_snapshot(const struct config *c, int n)
{
	struct buffer b = {0};
	struct error err;
	struct config *copy;
	int64_t start = clock_monotonic_us(), packed;

	if (config_pack(c, &b) < 0)
		exit(1);
	packed = clock_monotonic_us();
	copy = config_unpack(b.data, b.len, &err);
	if (!copy)
		exit(1);
	print("config_pack_ms", (double)(packed - start) / 1e3, "ms", n);
	print("config_unpack_ms", (double)(clock_monotonic_us() - packed) / 1e3,
	      "ms", n);
	print("config_snapshot_kb", (double)b.len / 1e3, "kB", n);
	config_put(copy);
	buffer_free(&b);
}

int main(void)
{
	static const int sizes[] = {1000, 4000, 10000};
	struct config *c;
	size_t i, before;

	for (i = 0; i < sizeof(sizes) / sizeof(*sizes); i++) {
		before = mallinfo2().uordblks;
		c = build_config(sizes[i]);
		malloc_trim(0);
		print("config_memory_kb",
		      (double)(mallinfo2().uordblks - before) / 1e3, "kB",
		      sizes[i]);
		measure_apply(c, sizes[i]);
		measure_lookups(c, sizes[i]);
		measure_snapshot(c, sizes[i]);
		config_put(c);
	}
	return 0;
}
