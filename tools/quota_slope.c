/*
 * Measures the cost of account limits in one node as a function of the number
 * of accounts: memory, the time to apply a configuration, and CPU time of the
 * ticks of a node that owns every account. Time is simulated.
 */
#include <malloc.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "conf/conf.h"
#include "control/control.h"
#include "store/store.h"

#define ACCOUNTS_PER_NOTE 500
#define TICK_US (5 * USEC_PER_MSEC)
#define SETTLE_TICKS 4000
#define MEASURED_TICKS 2000
#define START_US (1000 * USEC_PER_SEC)

/* The node is alone in its group, so every send fails. */
static int fail_send(void *ctx, const struct addr *to, struct peer_msg *msg,
		     int64_t now)
{
	(void)ctx;
	(void)to;
	(void)msg;
	(void)now;
	return -1;
}

static int fail_datagram(void *ctx, const struct addr *to, struct peer_msg *msg)
{
	return fail_send(ctx, to, msg, 0);
}

static void ignore_wake(void *ctx, const char *account, int64_t now)
{
	(void)ctx;
	(void)account;
	(void)now;
}

static struct config *add_accounts(struct config *c, int from, int n)
{
	struct note_faults faults = {0};
	struct buffer b = {0};
	struct config *next;
	int i;

	buffer_printf(&b, "{\"release\": \"a%d\", \"added\": {\"accounts\": [",
		      from);
	for (i = from; i < from + n; i++)
		buffer_printf(&b,
			      "%s{\"name\": \"account-%d\", \"rate\": 300, "
			      "\"burst\": 300}",
			      i > from ? "," : "", i);
	buffer_printf(&b, "]}}");
	next = config_apply(c, config_number(c) + 1, (char *)b.data, b.len,
			    NULL, &faults);
	buffer_free(&b);
	if (!next) {
		fprintf(stderr, "%s: %s\n", faults.items[0].path,
			faults.items[0].text);
		exit(1);
	}
	config_put(c);
	return next;
}

static void print_measure(const char *name, double value, const char *unit,
			  int n)
{
	printf("measure=%s value=%.4g unit=%s n=%d\n", name, value, unit, n);
	fflush(stdout);
}

static double ms_since(clock_t start)
{
	return (double)(clock() - start) * 1e3 / CLOCKS_PER_SEC;
}

static size_t allocated(void)
{
	struct mallinfo2 m = mallinfo2();

	return m.uordblks + m.hblkhd;
}

static int64_t run_ticks(struct quota *q, struct store *store, int n,
			 int64_t now)
{
	for (; n > 0; n--) {
		now += TICK_US;
		store_tick(store, now);
		quota_tick(q, now);
	}
	return now;
}

static void measure(int accounts)
{
	struct memory_store *memory = memory_store_new();
	struct store *store = store_open_memory(memory);
	struct members_options mo = {.io = {NULL, fail_send, fail_datagram},
				     .seed = 1};
	struct quota_options qo = {.io = {NULL, fail_send, fail_datagram},
				   .store = store,
				   .incarnation = 1,
				   .seed = 1,
				   .wake = ignore_wake};
	struct config *c = config_new();
	struct quota *q;
	int64_t now = START_US;
	clock_t start;
	size_t before;
	int i;

	for (i = 0; i < accounts; i += ACCOUNTS_PER_NOTE)
		c = add_accounts(c, i, ACCOUNTS_PER_NOTE);
	addr_parse(&qo.self, "127.0.0.1:7000");
	mo.self.node_addr = qo.self;
	mo.self.incarnation = qo.incarnation;
	copy_name(mo.self.host, NAME_SIZE, "host");
	copy_name(mo.self.data_centre, NAME_SIZE, "east");
	qo.members = members_new(&mo, now);
	before = allocated();
	q = quota_new(&qo, now);
	quota_config(q, c, now);
	print_measure("quota_memory", (double)(allocated() - before) / 1e6,
		      "MB", accounts);
	start = clock();
	quota_config(q, c, now);
	print_measure("quota_config_ms", ms_since(start), "ms", accounts);
	now = run_ticks(q, store, SETTLE_TICKS, now);
	start = clock();
	run_ticks(q, store, MEASURED_TICKS, now);
	print_measure("quota_cpu",
		      ms_since(start) * USEC_PER_MSEC /
			      (MEASURED_TICKS * TICK_US) * 100,
		      "%", accounts);
	quota_free(q);
	members_free(qo.members);
	store_close(store);
	config_put(c);
}

int main(void)
{
	static const int sizes[] = {500, 1000, 2000, 4000, 10000};
	size_t i;

	if (sodium_init() < 0)
		return 1;
	log_set_level(LOG_CRIT);
	for (i = 0; i < sizeof(sizes) / sizeof(*sizes); i++)
		measure(sizes[i]);
	return 0;
}
