/*
 * Stand-in for the users' platform: its key-value store, with faults that can
 * be set at run time, and an endpoint through which operators write the
 * configuration.
 */
#include <argp.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/json.h"
#include "net/net.h"
#include "store/kv.h"

#define HISTORY_MAX 20000
#define BODY_MAX (16 * 1024 * 1024)
#define CONNECTIONS_MAX 1024
#define TICK_US (5 * USEC_PER_MSEC)
#define WATCHES_MAX 256
#define ITEMS_MAX 500 /* per answer to a range request */

#define KV_PATH "/mulberryferry/kv-"
#define EVACUATE_PATH "/standin/evacuate/"
#define OPERATOR_PREFIX "op/" /* only operators write these keys */

/* A long-polling watch that waits for its first event. */
struct watch {
	uint64_t exchange;
	char prefix[STORE_KEY_SIZE];
	uint64_t next_event;
	int64_t until_us;
};

static struct {
	struct net *net;
	struct http_server *server;
	struct kv *kv;
	struct watch watches[WATCHES_MAX];
	size_t watch_count;
	uint32_t refuse_status; /* status returned for every call, or 0 */
	uint32_t unresponsive;	/* leave calls unanswered */
	uint32_t lose_next;	/* number of write answers to drop */
	uint32_t forget_next;	/* number of watches to answer with 410 */
	uint32_t items_max;	/* per answer to a range request */
	uint64_t calls;
	struct kv *saved; /* copy that a restore goes back to */
	int64_t era;	  /* raised by each restore */
	char listen[ADDR_TEXT_SIZE];
} platform = {.items_max = ITEMS_MAX, .era = 1, .listen = "127.0.0.1:0"};

static volatile sig_atomic_t stopped;

static void answer_json(uint64_t exchange, int status, struct json_object *o)
{
	const char *text =
		json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN);
	struct message m = {.status = status};
	char era[24];

	message_add_header(&m, "content-type", "application/json");
	snprintf(era, sizeof(era), "%lld", (long long)platform.era);
	message_add_header(&m, "store-era", era);
	buffer_append(&m.body, text, strlen(text), SIZE_MAX);
	http_server_respond(platform.server, exchange, &m);
	message_free(&m);
	json_object_put(o);
}

static void add_int(struct json_object *o, const char *name, int64_t v)
{
	json_object_object_add(o, name, json_object_new_int64(v));
}

static void add_text(struct json_object *o, const char *name, const char *text)
{
	json_object_object_add(o, name, json_object_new_string(text));
}

/* Returns an answer that holds only the current revision. */
static struct json_object *new_answer(void)
{
	struct json_object *o = json_object_new_object();

	add_int(o, "as_of", kv_revision(platform.kv));
	return o;
}

static void fill_item(struct json_object *o, const struct kv_record *r)
{
	add_text(o, "key", r->key);
	json_add_bytes(o, "value", r->value, r->len);
	add_int(o, "revision", r->mod_revision);
	add_int(o, "created", r->create_revision);
	add_int(o, "lease", r->lease);
}

static int hex(char c)
{
	return c <= '9' ? c - '0' : (c | 32) - 'a' + 10;
}

/* Decodes a query parameter; an absent one yields "". */
static void query_parameter(const char *target, const char *name,
			    char to[STORE_KEY_SIZE])
{
	const char *p = strchr(target, '?');
	size_t n = strlen(name), len = 0;

	while (p && (strncmp(p + 1, name, n) != 0 || p[n + 1] != '='))
		p = strchr(p + 1, '&');
	for (p = p ? p + n + 2 : "";
	     *p && *p != '&' && len < STORE_KEY_SIZE - 1; p++) {
		to[len] = *p;
		if (*p == '%' && p[1] && p[2]) {
			to[len] = (char)(hex(p[1]) << 4 | hex(p[2]));
			p += 2;
		}
		len++;
	}
	to[len] = 0;
}

static void on_key(uint64_t exchange, const char *target)
{
	const struct kv_record *r;
	char key[STORE_KEY_SIZE];
	struct json_object *o = new_answer();

	query_parameter(target, "key", key);
	r = kv_get(platform.kv, key);
	if (r)
		fill_item(o, r);
	answer_json(exchange, r ? 200 : 404, o);
}

static void on_range(uint64_t exchange, const char *target)
{
	char prefix[STORE_KEY_SIZE], after[STORE_KEY_SIZE];
	struct json_object *o = new_answer(), *items = json_object_new_array(),
			   *item;
	const struct kv_record *r;
	size_t at, n = 0;

	query_parameter(target, "prefix", prefix);
	query_parameter(target, "after", after);
	at = kv_lower_bound(platform.kv, *after ? after : prefix);
	for (; (r = kv_at(platform.kv, at)) && n < platform.items_max; at++) {
		if (strncmp(r->key, prefix, strlen(prefix)) != 0)
			break;
		if (!strcmp(r->key, after))
			continue;
		item = json_object_new_object();
		fill_item(item, r);
		json_object_array_add(items, item);
		n++;
	}
	json_object_object_add(o, "items", items);
	json_object_object_add(
		o, "truncated",
		json_object_new_boolean(n == platform.items_max));
	answer_json(exchange, 200, o);
}

/* Answers a watch that has an event or has timed out; else returns false. */
static bool answer_watch(struct watch *w, int64_t now)
{
	struct json_object *o, *events = json_object_new_array(), *event;
	const struct kv_event *e;
	int64_t last = 0;

	while ((e = kv_event(platform.kv, w->next_event))) {
		w->next_event++;
		last = e->entry.mod_revision;
		if (strncmp(e->entry.key, w->prefix, strlen(w->prefix)) != 0)
			continue;
		event = json_object_new_object();
		add_text(event, "key", e->entry.key);
		add_int(event, "revision", e->entry.mod_revision);
		if (e->entry.value)
			json_add_bytes(event, "value", e->entry.value,
				       e->entry.len);
		else
			json_object_object_add(event, "tombstone",
					       json_object_new_boolean(true));
		json_object_array_add(events, event);
	}
	if (!json_object_array_length(events) && now < w->until_us) {
		json_object_put(events);
		return false;
	}
	o = json_object_new_object();
	json_object_object_add(o, "events", events);
	add_int(o, "as_of", last ? last : kv_revision(platform.kv));
	answer_json(w->exchange, 200, o);
	return true;
}

static void on_watch(uint64_t exchange, const char *target, int64_t now)
{
	struct watch w = {.exchange = exchange};
	char after[STORE_KEY_SIZE], wait[STORE_KEY_SIZE];

	query_parameter(target, "prefix", w.prefix);
	query_parameter(target, "after", after);
	query_parameter(target, "wait_ms", wait);
	w.next_event = kv_event_from(platform.kv, atoll(after) + 1);
	w.until_us = now + atoll(wait) * USEC_PER_MSEC;
	if (platform.forget_next) {
		platform.forget_next--;
		w.next_event = 0;
	}
	if (!w.next_event || atoll(after) > kv_revision(platform.kv) ||
	    platform.watch_count == WATCHES_MAX)
		answer_json(exchange, 410, new_answer());
	else if (!answer_watch(&w, now))
		platform.watches[platform.watch_count++] = w;
}

#define TXN_ITEMS_MAX 32

/*
 * A decoded transaction. The keys point into the JSON document; the values
 * are allocated.
 */
struct txn {
	struct store_compare compares[TXN_ITEMS_MAX];
	struct store_write writes[TXN_ITEMS_MAX];
	size_t compare_count;
	size_t write_count;
};

static size_t array_length(struct json_object *list)
{
	return json_object_is_type(list, json_type_array)
		       ? json_object_array_length(list)
		       : 0;
}

static int read_txn(struct json_object *in, struct txn *t)
{
	struct json_object *expected = json_member(in, "expected_revision");
	struct json_object *puts = json_member(in, "writes");
	struct json_object *deletes = json_member(in, "deletes"), *o;
	struct store_write *w;
	size_t i;

	if (array_length(expected) + array_length(puts) +
		    array_length(deletes) >
	    TXN_ITEMS_MAX)
		return -1;
	for (i = 0; i < array_length(expected); i++) {
		o = json_object_array_get_idx(expected, i);
		t->compares[i].key =
			json_object_get_string(json_member(o, "key"));
		t->compares[i].mod_revision = json_int(o, "revision");
	}
	t->compare_count = array_length(expected);
	for (i = 0; i < array_length(puts); i++) {
		o = json_object_array_get_idx(puts, i);
		w = &t->writes[t->write_count++];
		w->key = json_object_get_string(json_member(o, "key"));
		w->value = json_bytes(o, "value", &w->len);
		w->lease = json_int(o, "lease");
	}
	for (i = 0; i < array_length(deletes); i++) {
		w = &t->writes[t->write_count++];
		w->key = json_object_get_string(
			json_object_array_get_idx(deletes, i));
		w->remove = true;
	}
	return 0;
}

static bool is_operators(const struct txn *t)
{
	size_t i;

	for (i = 0; i < t->write_count; i++)
		if (t->writes[i].key &&
		    !strncmp(t->writes[i].key, OPERATOR_PREFIX,
			     strlen(OPERATOR_PREFIX)))
			return true;
	return false;
}

static struct json_object *compared_items(const struct txn *t)
{
	struct json_object *o = new_answer(), *items = json_object_new_array(),
			   *item;
	const struct kv_record *r;
	size_t at;

	for (at = 0; at < t->compare_count; at++) {
		r = kv_get(platform.kv, t->compares[at].key);
		item = json_object_new_object();
		add_text(item, "key", t->compares[at].key);
		add_int(item, "revision", 0);
		if (r)
			fill_item(item, r);
		json_object_array_add(items, item);
	}
	json_object_object_add(o, "items", items);
	return o;
}

/*
 * Tells whether to drop the response to a write that was executed, as a broken
 * connection would.
 */
static bool lose_response(void)
{
	if (!platform.lose_next)
		return false;
	platform.lose_next--;
	return true;
}

static void on_txn(uint64_t exchange, struct json_object *in, int64_t now)
{
	struct json_object *o = json_object_new_object();
	struct txn t = {.write_count = 0};
	enum kv_status status = KV_CONFLICT;
	size_t i;

	if (read_txn(in, &t) < 0) {
		answer_json(exchange, 400, o);
		return;
	}
	if (is_operators(&t)) {
		for (i = 0; i < t.write_count; i++)
			free((void *)t.writes[i].value);
		answer_json(exchange, 403, o);
		return;
	}
	status = kv_txn(platform.kv, t.compares, t.compare_count, t.writes,
			t.write_count, now);
	for (i = 0; i < t.write_count; i++)
		free((void *)t.writes[i].value);
	if (lose_response()) {
		json_object_put(o);
	} else if (status == KV_DONE) {
		add_int(o, "revision", kv_revision(platform.kv));
		answer_json(exchange, 200, o);
	} else if (status == KV_CONFLICT) {
		json_object_put(o);
		answer_json(exchange, 412, compared_items(&t));
	} else {
		answer_json(exchange, status == KV_NO_LEASE ? 404 : 400, o);
	}
}

static void on_lease(uint64_t exchange, const char *path,
		     struct json_object *in, int64_t now)
{
	struct json_object *o = json_object_new_object();
	const char *id = strrchr(path, '/') + 1;
	uint32_t ttl = (uint32_t)json_int(in, "ttl_s_time");
	bool found = true;

	if (!strncmp(path, KV_PATH "lease-end/",
		     strlen(KV_PATH "lease-end/"))) {
		found = kv_lease_revoke(platform.kv, atoll(id), now);
	} else if (!strncmp(path, KV_PATH "keep/", strlen(KV_PATH "keep/"))) {
		found = kv_lease_renew(platform.kv, atoll(id), now);
	} else {
		add_int(o, "lease", kv_lease_grant(platform.kv, ttl, now));
		add_int(o, "ttl_s_time", ttl);
	}
	answer_json(exchange, found ? 200 : 404, o);
}

/* PUT /standin/document: writes the configuration as an operator. */
static void on_document(uint64_t exchange, const struct message *m, int64_t now)
{
	struct store_write w = {
		.key = "op/config", .value = m->body.data, .len = m->body.len};

	kv_txn(platform.kv, NULL, 0, &w, 1, now);
	answer_json(exchange, 200, new_answer());
}

/* PUT or DELETE /standin/evacuate/DATA_CENTRE: orders or ends an evacuation. */
static void on_evacuate(uint64_t exchange, const struct message *m, int64_t now)
{
	char key[STORE_KEY_SIZE];
	struct store_write w = {.key = key,
				.value = "{}",
				.len = 2,
				.remove = !strcmp(m->method, "DELETE")};

	snprintf(key, sizeof(key), OPERATOR_PREFIX "evacuate/%s",
		 m->target + strlen(EVACUATE_PATH));
	kv_txn(platform.kv, NULL, 0, &w, 1, now);
	answer_json(exchange, 200, new_answer());
}

/* GET /standin/save: takes the copy that a later restore goes back to. */
static void on_save(uint64_t exchange)
{
	kv_free(platform.saved);
	platform.saved = kv_clone(platform.kv);
	answer_json(exchange, platform.saved ? 200 : 500, new_answer());
}

/*
 * GET /standin/restore: goes back to the copy, with its revisions, leases and
 * history. Waiting watches are cut.
 */
static void on_restore(uint64_t exchange)
{
	struct kv *copy = platform.saved ? kv_clone(platform.saved) : NULL;

	if (!copy) {
		answer_json(exchange, 500, new_answer());
		return;
	}
	kv_free(platform.kv);
	platform.kv = copy;
	platform.era++;
	while (platform.watch_count)
		answer_json(platform.watches[--platform.watch_count].exchange,
			    410, new_answer());
	answer_json(exchange, 200, new_answer());
}

static void set_fault(const char *target, const char *name, uint32_t *to)
{
	char text[STORE_KEY_SIZE];

	query_parameter(target, name, text);
	if (*text)
		*to = (uint32_t)strtoul(text, NULL, 10);
}

static void on_standin(uint64_t exchange, const struct message *m, int64_t now)
{
	struct json_object *o;

	if (!strcmp(m->target, "/standin/document")) {
		on_document(exchange, m, now);
		return;
	}
	if (!strncmp(m->target, EVACUATE_PATH, strlen(EVACUATE_PATH))) {
		on_evacuate(exchange, m, now);
		return;
	}
	if (!strcmp(m->target, "/standin/save")) {
		on_save(exchange);
		return;
	}
	if (!strcmp(m->target, "/standin/restore")) {
		on_restore(exchange);
		return;
	}
	set_fault(m->target, "refuse", &platform.refuse_status);
	set_fault(m->target, "silent", &platform.unresponsive);
	set_fault(m->target, "lose_next", &platform.lose_next);
	set_fault(m->target, "forget_next", &platform.forget_next);
	set_fault(m->target, "items_max", &platform.items_max);
	o = new_answer();
	add_int(o, "calls", (int64_t)platform.calls);
	answer_json(exchange, 200, o);
}

static void on_call(uint64_t exchange, const struct message *m, int64_t now)
{
	struct json_object *in = json_parse_complete(m->body.data, m->body.len);
	const char *path = m->target;

	if (!strncmp(path, KV_PATH "key?", strlen(KV_PATH "key?")))
		on_key(exchange, path);
	else if (!strncmp(path, KV_PATH "range?", strlen(KV_PATH "range?")))
		on_range(exchange, path);
	else if (!strncmp(path, KV_PATH "watch?", strlen(KV_PATH "watch?")))
		on_watch(exchange, path, now);
	else if (!strcmp(path, KV_PATH "txn"))
		on_txn(exchange, in, now);
	else
		on_lease(exchange, path, in, now);
	json_object_put(in);
}

static void on_request(void *ctx, uint64_t exchange, struct message *m,
		       const char *peer, int64_t now)
{
	(void)ctx;
	(void)peer;
	kv_expire(platform.kv, now);
	if (!strncmp(m->target, "/standin/", strlen("/standin/"))) {
		on_standin(exchange, m, now);
		return;
	}
	platform.calls++;
	if (platform.unresponsive)
		return;
	if (platform.refuse_status)
		answer_json(exchange, (int)platform.refuse_status,
			    new_answer());
	else if (strncmp(m->target, KV_PATH, strlen(KV_PATH)) != 0)
		answer_json(exchange, 404, new_answer());
	else
		on_call(exchange, m, now);
}

static void on_abandoned(void *ctx, uint64_t exchange, int64_t now)
{
	size_t i;

	(void)ctx;
	(void)now;
	for (i = 0; i < platform.watch_count; i++)
		if (platform.watches[i].exchange == exchange)
			platform.watches[i] =
				platform.watches[--platform.watch_count];
}

static void tick(void *ctx, int64_t now)
{
	size_t i = 0;

	(void)ctx;
	if (stopped)
		net_stop(platform.net);
	while (i < platform.watch_count)
		if (answer_watch(&platform.watches[i], now))
			platform.watches[i] =
				platform.watches[--platform.watch_count];
		else
			i++;
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	(void)state;
	if (key != 'l')
		return ARGP_ERR_UNKNOWN;
	copy_name(platform.listen, sizeof(platform.listen), arg);
	return 0;
}

static const struct argp_option options[] = {
	{"listen", 'l', "ADDR", 0, "Listen on ADDR (127.0.0.1:0)", 0}, {0}};

static const struct argp argp = {
	.options = options,
	.parser = parse_option,
	.doc = "Stand-in for the users' platform.\v"
	       "PUT /standin/document writes the configuration; "
	       "PUT and DELETE /standin/evacuate/DATA_CENTRE order and end an "
	       "evacuation; "
	       "GET /standin/save takes a copy of the store, GET "
	       "/standin/restore goes back to it and raises the era; "
	       "GET /standin/faults?refuse=STATUS&silent=0|1&lose_next=N&"
	       "forget_next=N&items_max=N sets faults and returns the number "
	       "of calls."};

static void on_signal(int number)
{
	(void)number;
	stopped = 1;
}

int main(int argc, char **argv)
{
	struct http_server_options o = {.body_limit = BODY_MAX,
					.connections_max = CONNECTIONS_MAX,
					.on_request = on_request,
					.on_abandoned = on_abandoned};
	char text[ADDR_TEXT_SIZE];
	struct error err = {0};
	struct addr a;

	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	platform.net = net_open(&err);
	platform.kv = kv_new(HISTORY_MAX);
	if (platform.net && platform.kv &&
	    addr_parse(&o.listen, platform.listen) == 0)
		platform.server = http_server_open(platform.net, &o, &err);
	if (!platform.server ||
	    net_every(platform.net, TICK_US, tick, NULL) < 0) {
		fprintf(stderr, "platform_store: %s\n", err.text);
		return EXIT_FAILURE;
	}
	http_server_addr(platform.server, &a);
	addr_format(&a, text);
	printf("listening=%s\n", text);
	fflush(stdout);
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	net_run(platform.net);
	net_close(platform.net);
	kv_free(platform.kv);
	kv_free(platform.saved);
	return EXIT_SUCCESS;
}
