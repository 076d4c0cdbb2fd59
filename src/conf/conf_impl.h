/* Private to src/conf. */
#ifndef CONF_CONF_IMPL_H
#define CONF_CONF_IMPL_H

#include <json-c/json.h>

#include "conf/conf.h"

#define JSON_DEPTH_MAX 16
#define JSON_MEMBERS_MAX 64 /* of one object */
#define JSON_PATH_SIZE sizeof(((struct note_fault *)0)->path)

/* Items are immutable, reference counted and shared between configurations. */
void *item_new(const void *from, size_t size);
void *item_get(void *item);
void item_put(void *item);

#define SECTION_SHARDS 512

/*
 * A persistent hash table: copies share all shards, and a change copies only
 * the shard that holds the key. Iteration is in order of the key's hash, so it
 * does not depend on the order of insertions.
 */
struct section {
	size_t key_offset;
	size_t key_len; /* 0: a NUL-terminated string */
	size_t n;
	struct shard *shards[SECTION_SHARDS];
};

void section_copy(struct section *to, const struct section *from);
void section_free(struct section *s);
void *section_find(const struct section *s, const void *key);
void *section_next(const struct section *s, const void *after);
int section_put(struct section *s, void *item);
int section_remove(struct section *s, const void *key);

/* Routes by method and pattern; shared by configurations with equal routes. */
struct trie;

struct trie *trie_new(void);
struct trie *trie_get(struct trie *t);
void trie_put(struct trie *t);
int trie_add(struct trie *t, const struct route *r, const struct route **taken);
const struct route *trie_match(const struct trie *t, const char *method,
			       const char *path);
const char *pattern_fault(const char *pattern);

enum section_kind {
	SECTION_SERVICES,
	SECTION_ROUTES,
	SECTION_ACCOUNTS,
	SECTION_KEYS,
	SECTION_OPERATORS,
};
#define SECTIONS 5

struct release {
	uint64_t name; /* hash */
	uint64_t text; /* hash */
};

#define REPEATS_MAX 64

/* An item added under a name, or a key, that was there already. */
struct repeat {
	enum section_kind kind;
	char name[NAME_SIZE];
	char first[NAME_SIZE]; /* accounts of a key */
	char last[NAME_SIZE];
};

/* The name of an account that does not fit into NAME_SIZE. */
struct long_name {
	char account[NAME_SIZE];
	char text[];
};

struct config {
	uint32_t refs;
	uint64_t number;
	uint64_t first_release; /* oldest number in releases */
	char release[NAME_SIZE];
	enum overload_mode mode;
	struct section by_name[SECTIONS];
	struct section keys_by_hash;
	struct section operators_by_hash;
	struct section routes_by_host_prefix;
	struct buffer host_prefix_lens; /* bitmap of the lengths in use */
	struct section splits;		/* by host_prefix */
	struct section long_names;
	struct caller_limits limits;
	uint32_t lowest_rank; /* of all accounts; the largest number */
	bool account_homes;   /* see config_has_account_homes */
	struct buffer source;
	struct trie *trie;
	/* Of a configuration that is not from notes; see config_check. */
	struct repeat repeats[REPEATS_MAX];
	size_t repeat_count;
	struct release releases[RELEASES_KEPT]; /* ring, indexed by number */
};

bool config_has_host_prefix_len(const struct config *c, size_t len);
void host_prefix_key(char key[PATTERN_SIZE], const char *host, size_t host_len,
		     const char *path, size_t len);
struct config *config_clone(const struct config *c);
int config_put_item(struct config *c, enum section_kind kind, void *item);
int config_remove_item(struct config *c, enum section_kind kind,
		       const char *name);
void config_set_number(struct config *c, uint64_t number, const char *release,
		       const char *text, size_t len);

/* Tracks the path of the member being read and collects faults. */
struct reader {
	struct note_faults *faults;
	char path[JSON_PATH_SIZE];
	size_t len;
};

size_t reader_enter(struct reader *r, const char *member);
size_t reader_enter_index(struct reader *r, size_t i);
void reader_leave(struct reader *r, size_t len);
void reader_fault(struct reader *r, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
void reader_fault_at(struct reader *r, const char *path, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

enum field_kind {
	FIELD_NAME,    /* char[NAME_SIZE] */
	FIELD_METHOD,  /* char[METHOD_SIZE] */
	FIELD_PATTERN, /* char[PATTERN_SIZE] */
	FIELD_BOOL,    /* bool */
	FIELD_COUNT,   /* uint32_t */
	FIELD_BYTES,   /* size_t */
	FIELD_NUMBER,  /* double */
	FIELD_TIME,    /* int64_t, microseconds */
	FIELD_CHOICE,  /* int */
	FIELD_HASH,    /* uint8_t[32] */
	FIELD_ADDR,    /* struct addr */
	FIELD_REGIONS, /* struct region_set */
	FIELD_OBJECT,
	FIELD_OTHER, /* known here, but read elsewhere */
};

/* One member of a JSON object and the struct member it is read into. */
struct field {
	const char *name;
	size_t offset;
	double min;
	double max;
	int64_t unit_us;	    /* of FIELD_TIME */
	const char *const *choices; /* of FIELD_CHOICE, NULL-terminated */
	const struct field *fields; /* of FIELD_OBJECT */
	size_t field_count;
	enum field_kind kind;
	bool required;
};

void fields_read(struct reader *r, struct json_object *obj,
		 const struct field *fields, size_t n, void *out, bool partial);
int field_name(struct reader *r, struct json_object *v, char name[NAME_SIZE]);
int field_addr(struct reader *r, struct json_object *v, struct addr *a);
void field_regions(struct reader *r, struct json_object *v,
		   struct region_set *out);
struct json_object *field_json(const struct field *f, const char *at);
struct json_object *regions_json(const struct region_set *s);

struct json_object *json_read(const char *text, size_t len, unsigned *line,
			      struct error *err);
void check_duplicates(const char *text, size_t len, struct reader *r);
unsigned line_of_path(const char *text, size_t len, const char *path);
unsigned line_at(const char *text, size_t len, size_t offset);

/* One kind of item: its section in notes, its members and their defaults. */
struct kind_info {
	const char *section;  /* "accounts" */
	const char *singular; /* "account" */
	const char *id;	      /* member that names the item */
	size_t size;
	const struct field *fields;
	size_t field_count;
	const void *defaults;
};

extern const struct kind_info kinds[SECTIONS];
extern const char *const overload_modes[];

/* Every item starts with its name. */
union item {
	char name[NAME_SIZE];
	struct service service;
	struct route route;
	struct account account;
	struct access_key key;
	struct operator_key operator_key;
};

#define REFERRERS_SIZE 120

/* An item that a note adds, changes or withdraws. */
struct item_change {
	char name[NAME_SIZE];
	char path[JSON_PATH_SIZE];	/* in the note */
	const void *old;		/* before the note; NULL if added */
	char referrers[REFERRERS_SIZE]; /* items that still refer to it */
	struct item_change *next;
};

/* State of applying one note. */
struct change {
	struct reader r;
	const struct config *base;
	struct config *next;
	const char *team; /* NULL: items of any team may change */
	struct item_change *items[SECTIONS]; /* in the order of the note */
	struct item_change **tails[SECTIONS];
	struct section changes_by_name[SECTIONS];
};

struct item_change *find_item_change(struct change *ch, enum section_kind kind,
				     const char *name);
void check_change(struct change *ch);
int build_trie(struct change *ch);

#endif
