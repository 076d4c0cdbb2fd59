/* Home regions, with three regions and no traffic between nodes. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#include "node/gates.h"
#include "platform/platform.h"
#include "policy/home.h"

#define PER_REGION 40 /* upstreams; more than a node uses of one service */
#define PICKS 500

static const char *const regions[] = {"east", "north", "west"};
#define REGIONS (sizeof(regions) / sizeof(*regions))

static struct region_set set_of(const char *names)
{
	struct region_set s = {0};
	char copy[128], *name, *rest = copy;

	copy_name(copy, sizeof(copy), names);
	while ((name = strtok_r(rest, " ", &rest)))
		assert_int_equal(region_set_add(&s, name), 0);
	return s;
}

struct narrow_case {
	const char *route;
	const char *account;
	const char *allowed;
};

/* Guards against a union, or "anywhere", in place of an intersection. */
static void homes_of_route_and_account_both_apply(void **state)
{
	static const struct narrow_case cases[] = {
		{"", "", "east north west"},
		{"east", "", "east"},
		{"", "west", "west"},
		{"east north", "north west", "north"},
		{"east", "west", ""},
		{"east north west", "west east", "east west"},
		{"nowhere", "", ""},
	};
	struct region_set route, account, allowed;
	struct home h;
	size_t i, k;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		route = set_of(cases[i].route);
		account = set_of(cases[i].account);
		allowed = set_of(cases[i].allowed);
		memset(&h, 0, sizeof(h));
		home_narrow(&h, &route);
		home_narrow(&h, &account);
		for (k = 0; k < REGIONS; k++)
			if (home_permits(&h, name_hash(regions[k])) !=
			    region_set_has(&allowed, regions[k]))
				fail_msg("%s and %s: %s", cases[i].route,
					 cases[i].account, regions[k]);
		assert_int_equal(region_sets_meet(&route, &account),
				 allowed.count ||
					 !strcmp(cases[i].route, "nowhere"));
	}
}

static struct node *open_node(const char *region)
{
	static const char format[] =
		"{\"host\":\"h\",\"data_centre\":\"z\",\"region\":\"%s\","
		"\"interface\":\"platform\",\"listen\":{"
		"\"callers\":\"127.0.0.1:0\",\"services\":\"127.0.0.1:0\","
		"\"ready\":\"127.0.0.1:0\",\"nodes\":\"127.0.0.1:0\","
		"\"admin\":\"127.0.0.1:0\"},\"upstream\":{\"service\":\"s\"},"
		"\"store\":{\"kind\":\"none\"},"
		"\"secret\":\"00112233445566778899aabbccddeeff"
		"00112233445566778899aabbccddeeff\","
		"\"promises\":[\"drain_s=2\",\"revoke_s=5\"],"
		"\"log_level\":\"err\"}";
	struct error err = {0};
	struct settings s;
	char text[1024];
	struct node *n;

	snprintf(text, sizeof(text), format, region);
	assert_int_equal(settings_parse(&s, text, "f", &err), 0);
	n = node_open(&s, NULL, &err);
	assert_non_null(n);
	return n;
}

/* Puts a document in force in which /a/ and account acc have these homes. */
static void set_config(struct node *n, uint64_t number, const char *route_home,
		       const char *account_home)
{
	struct route r = {.name = "r",
			  .method = "*",
			  .service = "s",
			  .host_prefix = "h.example/a/"};
	struct account a = {.name = "acc", .weight = 1, .unlimited = true};
	struct service s = {.name = "s"};
	struct config *c = config_new();

	r.home = set_of(route_home);
	a.home = set_of(account_home);
	assert_int_equal(config_add_service(c, &s), 0);
	assert_int_equal(config_add_route(c, &r), 0);
	assert_int_equal(config_add_account(c, &a), 0);
	assert_int_equal(config_publish(c, number, "v", "{}", 2), 0);
	if (n->config)
		config_put(n->config);
	n->config = c;
}

/* Announces the upstreams of a region as members in a state. */
static void announce(struct node *n, size_t region, enum member_state state)
{
	struct member_info m = {.state = state, .upstream_count = 1};
	char addr[32];
	int i;

	for (i = 0; i < PER_REGION; i++) {
		snprintf(addr, sizeof(addr), "10.%zu.0.%d:7000", region, i + 1);
		addr_parse(&m.node_addr, addr);
		snprintf(addr, sizeof(addr), "10.%zu.0.%d:80", region, i + 1);
		addr_parse(&m.upstreams[0].addr, addr);
		copy_name(m.region, sizeof(m.region), regions[region]);
		/* The node's own data centre is in the first region. */
		copy_name(m.data_centre, sizeof(m.data_centre),
			  region ? regions[region] : "z");
		copy_name(m.upstreams[0].service, NAME_SIZE, "s");
		m.upstreams[0].slots = 10;
		directory_update(n->directory, &m, 1);
	}
}

static struct node *open_with_regions(void)
{
	struct node *n = open_node("east");
	size_t i;

	for (i = 0; i < REGIONS; i++)
		announce(n, i, MEMBER_ALIVE);
	return n;
}

static struct request *add_request(struct node *n)
{
	struct request *r;
	uint64_t handle;
	void *item;

	handle = table_add(&n->requests, &item);
	r = item;
	r->handle = handle;
	r->config = config_get(n->config);
	r->route = config_route(r->config, "r");
	r->account = config_account(r->config, "acc");
	r->service = "s";
	r->stage = STAGE_PLACE;
	copy_name(r->message.method, METHOD_SIZE, "GET");
	r->message.target = strdup("/a/b");
	message_add_header(&r->message, "host", "h.example");
	return r;
}

static void end_request(struct node *n, struct request *r)
{
	request_refuse(n, r, REASON_CANCELLED, OUTCOME_NOT_RUN, 0);
}

/*
 * Fails if picks reach another region than these; "" means no upstream. The
 * balancer prefers local upstreams, so picks need not reach all of them.
 */
static void assert_picked(struct node *n, struct request *r, const char *names)
{
	struct region_set expected = set_of(names);
	const struct known_upstream *u;
	bool used[REGIONS] = {false};
	uint64_t handle;
	size_t i, k;

	for (i = 0; i < PICKS; i++) {
		handle = candidates_pick(n, r, (int64_t)i);
		if (!handle != !expected.count)
			fail_msg("%s: picked %s", names,
				 handle ? "one" : "none");
		u = directory_get(n->directory, handle);
		for (k = 0; u && k < REGIONS; k++)
			used[k] |= u->region == name_hash(regions[k]);
		/* Retries avoid the upstreams tried; they stay at home too. */
		memmove(r->tried + 1, r->tried,
			(TRIED_MAX - 1) * sizeof(*r->tried));
		r->tried[0] = handle;
	}
	for (k = 0; k < REGIONS; k++)
		if (used[k] && !region_set_has(&expected, regions[k]))
			fail_msg("%s: sent to %s", names, regions[k]);
}

/* As assert_picked; fails also unless exactly these regions are permitted. */
static void assert_home(struct node *n, struct request *r, const char *names)
{
	struct region_set expected = set_of(names);
	size_t k;

	assert_picked(n, r, names);
	for (k = 0; k < REGIONS; k++)
		if (home_permits(&r->home, name_hash(regions[k])) !=
		    region_set_has(&expected, regions[k]))
			fail_msg("%s: wrong for %s", names, regions[k]);
}

/*
 * Load: a route at home in a remote region while this data centre has spare
 * upstreams. Guards against local ones that fill the subset, or are faster.
 */
static void first_attempts_and_retries_stay_at_home(void **state)
{
	static const struct narrow_case cases[] = {
		{"west", "", "west"},
		{"", "north", "north"},
		{"east west", "west north", "west"},
		{"east", "west", ""},
	};
	struct node *n = open_with_regions();
	struct request *r;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		set_config(n, i + 1, cases[i].route, cases[i].account);
		r = add_request(n);
		assert_home(n, r, cases[i].allowed);
		assert_int_equal(home_refusal(r), REASON_NO_HOME_UPSTREAM);
		end_request(n, r);
	}
	set_config(n, 9, "", "");
	r = add_request(n);
	assert_non_null(directory_get(n->directory, candidates_pick(n, r, 0)));
	assert_int_equal(home_refusal(r), REASON_NO_UPSTREAM);
	end_request(n, r);
	node_close(n);
}

/* Load: the home region is cut off while two others have capacity. */
static void a_region_cut_off_is_not_replaced(void **state)
{
	struct node *n = open_with_regions();
	struct request *r;

	(void)state;
	set_config(n, 1, "west", "");
	r = add_request(n);
	announce(n, 2, MEMBER_DEAD);
	assert_picked(n, r, "");
	assert_int_equal(home_refusal(r), REASON_NO_HOME_UPSTREAM);
	assert_string_equal(r->inputs, "route=west");
	announce(n, 2, MEMBER_ALIVE);
	assert_picked(n, r, "west");
	end_request(n, r);
	node_close(n);
}

/*
 * Guards against a host that is known by the region of its earlier process
 * when it is started again with other settings.
 */
static void a_host_may_move_to_another_region(void **state)
{
	struct member_info m = {.state = MEMBER_ALIVE, .upstream_count = 1};
	struct node *n = open_node("east");
	struct request *r;
	size_t i;

	(void)state;
	addr_parse(&m.node_addr, "10.9.0.1:7000");
	addr_parse(&m.upstreams[0].addr, "10.9.0.1:80");
	copy_name(m.upstreams[0].service, NAME_SIZE, "s");
	set_config(n, 1, "west", "");
	r = add_request(n);
	for (i = 0; i < REGIONS; i++) {
		copy_name(m.region, sizeof(m.region), regions[i]);
		directory_update(n->directory, &m, 1);
		assert_picked(n, r, strcmp(regions[i], "west") ? "" : "west");
	}
	end_request(n, r);
	node_close(n);
}

/* Load: requests under way when the home regions change. */
static void old_and_new_home_regions_both_apply(void **state)
{
	struct node *n = open_with_regions();
	struct request *r;

	(void)state;
	set_config(n, 1, "east west", "");
	r = add_request(n);
	set_config(n, 2, "west north", "");
	assert_picked(n, r, "west");
	set_config(n, 3, "", "north west");
	assert_picked(n, r, "west");
	set_config(n, 4, "north", "");
	assert_picked(n, r, "");
	end_request(n, r);
	node_close(n);
}

static struct request *add_sub_call(struct node *n, struct call *parent)
{
	struct request *r = add_request(n);

	r->account = NULL;
	r->stage = STAGE_CONTEXT;
	copy_name(r->id, sizeof(r->id), "root1.x");
	if (parent)
		assert_int_equal(filter_context(n, r, 0), FILTER_NEXT);
	r->id_from_caller = true;
	r->presumed_sub_call = !parent;
	return r;
}

/*
 * Guards against sub-calls that lose the home regions of their root's account:
 * when the account was withdrawn while the request ran, and when the gate was
 * restarted and does not know the parent.
 */
static void sub_calls_keep_the_home_of_their_root(void **state)
{
	struct node *n = open_with_regions();
	struct call_head head = {
		.request = "root1", .root = "root1", .account = "gone"};
	struct region_set east = set_of("east"), both = set_of("east north");
	struct message none = {0};
	struct request *r;
	struct call *c;

	(void)state;
	set_config(n, 1, "", "");
	home_narrow(&head.account_home, &both);
	c = call_add(n, REPLY_LOCAL, 0, &head, &none, 0);
	assert_int_equal(call_index_add(n, c), 0);
	c->started_us = 1;
	r = add_sub_call(n, c);
	assert_int_equal(r->parent, c->handle);
	assert_null(r->account);
	assert_home(n, r, "east north");
	end_request(n, r);

	r = add_sub_call(n, NULL);
	assert_home(n, r, "east north west");
	end_request(n, r);
	set_config(n, 2, "", "east");
	r = add_sub_call(n, NULL);
	assert_home(n, r, "east");
	assert_true(home_permits(&r->account_home, name_hash(east.names[0])));
	end_request(n, r);
	call_free(n, c);
	node_close(n);
}

/*
 * An entry that is cut off from the platform sends by an old document. Its call
 * must not run at a gate that has a newer one, whether it just arrived or is
 * queued.
 */
static void gates_reject_calls_that_are_not_at_home(void **state)
{
	struct call_head head = {
		.request = "q", .root = "q", .route = "r", .account = "acc"};
	struct region_set west = set_of("west"), east = set_of("east");
	struct node *n = open_node("east");

	(void)state;
	assert_true(gates_is_home(n, &head));
	set_config(n, 1, "", "");
	assert_true(gates_is_home(n, &head));
	set_config(n, 2, "east", "");
	assert_true(gates_is_home(n, &head));
	set_config(n, 3, "west", "");
	assert_false(gates_is_home(n, &head));
	set_config(n, 4, "", "west");
	assert_false(gates_is_home(n, &head));
	set_config(n, 5, "", "");
	home_narrow(&head.account_home, &west);
	assert_false(gates_is_home(n, &head));
	home_narrow(&head.account_home, &east);
	assert_false(gates_is_home(n, &head));
	node_close(n);
}

static void queued_calls_are_dropped_when_their_home_changes(void **state)
{
	struct upstream_announcement up = {.started_ms = 1, .sequence = 1};
	struct node *n = open_node("east");
	int64_t now = clock_monotonic_us();
	struct call_head head = {.request = "q",
				 .root = "q",
				 .service = "s",
				 .route = "r",
				 .deadline_ms = 1000,
				 .cls = SHED_LAST};
	struct message none = {.method = "GET"};
	uint64_t call;
	int i;

	(void)state;
	set_config(n, 1, "", "");
	copy_name(up.instance, sizeof(up.instance), "i");
	copy_name(up.info.service, sizeof(up.info.service), "s");
	addr_parse(&up.info.addr, "127.0.0.1:9");
	up.info.slots = 1;
	gates_announce_platform(n, &up, now);
	head.upstream = up.info.addr;
	for (i = 0; i < 3; i++) {
		snprintf(head.request, sizeof(head.request), "q%d", i);
		none.target = strdup("/a/b");
		call = gates_submit(n, REPLY_LINK, 1000U + i, &head, &none,
				    now);
		assert_int_not_equal(call, 0);
	}
	assert_int_equal(n->calls.count, 3);
	gates_drop_away(n, now);
	assert_int_equal(n->calls.count, 3);
	set_config(n, 2, "west", "");
	gates_drop_away(n, now);
	assert_int_equal(n->calls.count, 1); /* the one that runs */
	copy_name(head.request, sizeof(head.request), "late");
	none.target = strdup("/a/b");
	gates_submit(n, REPLY_LINK, 2000, &head, &none, now);
	assert_int_equal(n->calls.count, 1); /* rejected on arrival */
	node_close(n);
}

/*
 * Load: calls wait for a link to a region that stopped answering while their
 * home regions change. Guards against bodies sent there once the link is up.
 */
static void unsent_calls_are_placed_again(void **state)
{
	static const struct narrow_case cases[] = {
		/* Home regions before and after; regions of the attempt. */
		{"west", "west east", "west"},
		{"west", "", "west"},
		{"west", "north", ""},
	};
	struct member_info m = {.state = MEMBER_ALIVE, .upstream_count = 1};
	struct node *n = open_node("east");
	const struct known_upstream *u;
	struct request *r;
	uint64_t handle;
	size_t i;

	(void)state;
	addr_parse(&m.node_addr, "127.0.0.1:9");
	addr_parse(&m.upstreams[0].addr, "127.0.0.1:9");
	copy_name(m.region, sizeof(m.region), "west");
	copy_name(m.upstreams[0].service, NAME_SIZE, "s");
	directory_update(n->directory, &m, 1);
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		set_config(n, 2 * i + 1, cases[i].route, "");
		r = add_request(n);
		handle = r->handle;
		r->deadline_us = 10 * USEC_PER_SEC;
		assert_int_equal(filter_place(n, r, 0), FILTER_WAIT);
		assert_true(links_is_unsent(n->links, r->link_call));
		set_config(n, 2 * i + 2, cases[i].account, "");
		home_config_changed(n, 0);
		r = request_get(n, handle);
		assert_int_equal(!r, !*cases[i].allowed);
		if (!r)
			continue;
		u = directory_get(n->directory, r->upstream);
		assert_int_equal(u->region, name_hash(cases[i].allowed));
		assert_true(r->in_flight);
		place_cancel(n, r, 0);
		r->in_flight = false;
		end_request(n, r);
	}
	node_close(n);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(homes_of_route_and_account_both_apply),
		cmocka_unit_test(first_attempts_and_retries_stay_at_home),
		cmocka_unit_test(a_region_cut_off_is_not_replaced),
		cmocka_unit_test(a_host_may_move_to_another_region),
		cmocka_unit_test(old_and_new_home_regions_both_apply),
		cmocka_unit_test(sub_calls_keep_the_home_of_their_root),
		cmocka_unit_test(gates_reject_calls_that_are_not_at_home),
		cmocka_unit_test(
			queued_calls_are_dropped_when_their_home_changes),
		cmocka_unit_test(unsent_calls_are_placed_again),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
