#include "control/claims/claims_impl.h"

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#define PAGE_SIZE 64

/* A listing in progress, read from the store page by page. */
struct claim_listing {
	void *ctx;
	uint64_t tag;
	void (*done)(void *ctx, uint64_t tag, const char *json,
		     const struct error *err);
	struct json_object *claims;
	char after[STORE_KEY_SIZE];
};

static void free_listing(struct claims *c, uint64_t handle)
{
	struct claim_listing **slot = table_get(&c->lists, handle);
	struct claim_listing *l = *slot;

	table_remove(&c->lists, handle);
	json_object_put(l->claims);
	free(l);
}

/* Frees the listings in progress without calling their callbacks. */
void claims_lists_free(struct claims *c)
{
	uint64_t handle = 0;
	void *item;

	while ((handle = table_next(&c->lists, handle, &item)))
		free_listing(c, handle);
	table_free(&c->lists);
}

static void add_text(struct json_object *o, const char *name, const char *text)
{
	json_object_object_add(o, name, json_object_new_string(text));
}

/* Adds a claim that has no outcome, or a malformed record, to the listing. */
static void add_record(struct claims *c, struct claim_listing *l,
		       const struct store_entry *e, int64_t now)
{
	struct json_object *o;
	struct claim_record r;
	char since[32];
	bool runs;

	if (record_decode(&r, e->value, e->len) < 0) {
		o = json_object_new_object();
		add_text(o, "claim", e->key);
		add_text(o, "state", "malformed");
		json_object_array_add(l->claims, o);
		return;
	}
	if (r.state == RECORD_DONE)
		return;
	runs = r.state == RECORD_CLAIMED && claim_holder_alive(c, &r, now);
	format_wall_time(r.wall_us, since);
	o = json_object_new_object();
	add_text(o, "claim", e->key);
	add_text(o, "state", runs ? "running" : "unresolved");
	add_text(o, "account", r.account);
	add_text(o, "route", r.route);
	add_text(o, "request", r.request);
	add_text(o, "holder", r.holder);
	add_text(o, "since", since);
	json_object_array_add(l->claims, o);
}

static void request_page(struct claims *c, struct claim_listing *l,
			 uint64_t handle, int64_t now);

static void page_done(void *ctx, uint64_t tag, const struct store_result *r,
		      int64_t now)
{
	struct claims *c = ctx;
	struct claim_listing **slot = table_get(&c->lists, tag);
	struct claim_listing *l;
	size_t i;

	if (!slot)
		return;
	l = *slot;
	if (r->outcome != STORE_DONE) {
		l->done(l->ctx, l->tag, NULL, &r->err);
		free_listing(c, tag);
		return;
	}
	for (i = 0; i < r->n; i++)
		add_record(c, l, &r->entries[i], now);
	if (r->n == PAGE_SIZE) {
		memcpy(l->after, r->entries[r->n - 1].key, sizeof(l->after));
		request_page(c, l, tag, now);
		return;
	}
	l->done(l->ctx, l->tag, json_object_to_json_string(l->claims), NULL);
	free_listing(c, tag);
}

static void request_page(struct claims *c, struct claim_listing *l,
			 uint64_t handle, int64_t now)
{
	struct store_op op = {
		.kind = STORE_LIST,
		.priority = STORE_CONFIG,
		.list = {.prefix = CLAIM_PREFIX,
			 .after = *l->after ? l->after : NULL,
			 .limit = PAGE_SIZE},
	};

	claim_submit(c, &op, handle, page_done, now);
}

/*
 * Lists the claims without an outcome as a JSON array, each with the state
 * "running", "unresolved" or "malformed". done is called once; on failure json
 * is NULL and err is set.
 */
void claims_list(struct claims *c, void *ctx, uint64_t tag,
		 void (*done)(void *ctx, uint64_t tag, const char *json,
			      const struct error *err),
		 int64_t now)
{
	struct claim_listing *l = calloc(1, sizeof(*l));
	struct error err;
	uint64_t handle;
	void *item;

	handle = l ? table_add(&c->lists, &item) : 0;
	if (!handle) {
		free(l);
		error_set(&err, ERROR_LIMIT, "claims-list", NULL,
			  "too many listings at once");
		done(ctx, tag, NULL, &err);
		return;
	}
	*(struct claim_listing **)item = l;
	l->ctx = ctx;
	l->tag = tag;
	l->done = done;
	l->claims = json_object_new_array();
	request_page(c, l, handle, now);
}
