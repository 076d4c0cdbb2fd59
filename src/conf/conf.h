/*
 * Settings of one process, release notes, and the configuration that results
 * from applying the notes in order. Only settings_load does I/O.
 */
#ifndef CONF_CONF_H
#define CONF_CONF_H

#include "base/base.h"

#define SECRET_SIZE 32
#define KEY_HASH_SIZE 32
#define SEEDS_MAX 16
#define PASS_HEADERS_MAX 32
#define METHOD_SIZE 16
#define PATTERN_SIZE 256
#define NOTE_TEXT_MAX (512 * 1024) /* bytes */
#define RELEASES_KEPT 8192	   /* latest notes whose release is kept */

/* Order in which requests are shed: SHED_FIRST first, SHED_LAST last. */
enum shed_class {
	SHED_FIRST,
	SHED_MIDDLE,
	SHED_LAST,
};
#define SHED_CLASSES 3

enum overload_mode {
	OVERLOAD_ENFORCE,
	OVERLOAD_OBSERVE, /* decide and log, but refuse nothing */
	OVERLOAD_OFF,	  /* FIFO queues, three unconditional retries */
};

enum store_kind {
	STORE_NONE,	/* every call ends as STORE_NOT_DONE */
	STORE_ETCD,	/* JSON gateway of etcd v3 over HTTP */
	STORE_MEMORY,	/* in process memory, for single nodes and tests */
	STORE_PLATFORM, /* API of the users' platform; see platform/ */
};

/* Protocol between a node and its callers and upstreams. */
enum interface {
	INTERFACE_OWN,
	INTERFACE_PLATFORM, /* see platform/ */
};

/* Service levels that a platform's operators require of a host; 0: none. */
struct promises {
	int64_t drain_us;  /* how long a leaving upstream may get calls */
	int64_t revoke_us; /* until a withdrawn key is refused everywhere */
	int64_t config_us; /* until a configuration is in force on every host */
	int64_t stop_grace_us;	 /* from the stop signal to the kill */
	double retry_ratio;	 /* retries per request of a service */
	double retry_slack;	 /* retries beyond the ratio, over all hosts */
	int64_t retry_window_us; /* window in which they are counted */
	/* A cold upstream gets its rate x overshoot + slack requests a second. */
	double cold_overshoot;
	double cold_slack;
	/* Until no request reaches an evacuated data centre; 0: not used. */
	int64_t evacuation_us;
};

/* Settings of one node, read once at start. */
struct settings {
	char host[NAME_SIZE];
	char data_centre[NAME_SIZE];
	char region[NAME_SIZE];
	struct addr callers;
	struct addr services;
	struct addr nodes;
	struct addr admin;
	struct addr ready;    /* readiness probes of this host; may be unset */
	struct addr upstream; /* only this one may announce, if set */
	char service[NAME_SIZE]; /* of the upstream on this host, or empty */
	enum interface interface;
	struct promises promises;
	struct addr seeds[SEEDS_MAX];
	size_t seed_count;
	enum store_kind store_kind;
	struct addr store;
	uint32_t store_calls_s;	     /* this node's limit, calls per second */
	uint8_t secret[SECRET_SIZE]; /* zero: read from the store */
	/* Hash of a key accepted while there are no operators; zero: none. */
	uint8_t bootstrap_operator[KEY_HASH_SIZE];
	/* Lower-case names of additional headers that are passed on. */
	char headers[PASS_HEADERS_MAX][NAME_SIZE];
	size_t header_count;
	size_t body_limit;	   /* bytes of one request or response body */
	size_t memory_limit;	   /* bytes of all bodies held at once */
	uint32_t requests_max;	   /* requests held at once */
	uint32_t connections_max;  /* connections of callers */
	uint32_t records_max;	   /* decisions kept for `explain` */
	uint32_t host_memory_mb;   /* if set, gives memory_limit, records_max */
	uint32_t host_descriptors; /* if set, gives connections_max */
	int64_t stop_grace_us;	   /* longest wait of a planned stop */
	int64_t share_hold_us;	   /* see hold_us of quota_options; 0: 1 h */
	uint32_t share_groups;	   /* see groups of quota_options; 0: none */
	uint32_t data_centres;	   /* listed, including this one; 0: none */
	int log_priority;
	/* Calls to other data centres are decided by policy/spill.c. */
	bool crossing;
	double cost_per_mb;	 /* of a million bytes that cross */
	double wait_worth_per_s; /* of a second less for one request */
};

int settings_load(struct settings *s, const char *path, struct error *err);
int settings_parse(struct settings *s, const char *text, const char *name,
		   struct error *err);

#define REGIONS_MAX 8 /* home regions of a route or account */

/* Names of regions, each once. Unused names are zero. */
struct region_set {
	char names[REGIONS_MAX][NAME_SIZE];
	size_t count; /* 0: any region */
};

bool region_set_has(const struct region_set *s, const char *name);
/* Returns -1 if the name is empty or too long, or the set is full. */
int region_set_add(struct region_set *s, const char *name);
/* Whether some region is in both sets; an empty set has every region. */
bool region_sets_meet(const struct region_set *a, const struct region_set *b);

/*
 * Where a request may go: the intersection of the home regions that apply to
 * it, as hashes of their names. See policy/home.h.
 */
struct home {
	uint64_t regions[REGIONS_MAX];
	uint8_t count;
	bool bounded; /* false: anywhere; true with count 0: nowhere */
};

struct service {
	char name[NAME_SIZE];
	char team[NAME_SIZE];
	uint32_t retry_percent; /* retries allowed per hundred calls */
	uint32_t connections;	/* per upstream, all callers; 0: announced */
	int64_t cold_start_us; /* an upstream is cold after its start; 0: never */
	double cold_per_s;     /* requests a second that a cold one takes */
	char health_path[PATTERN_SIZE]; /* of its upstreams; empty: unknown */
};

/* A service that gets a share of a route's requests, by weight. */
struct weighted_service {
	char service[NAME_SIZE];
	double weight;
};

/* The services that share the requests of a route; see config_add_split. */
struct split {
	char host_prefix[PATTERN_SIZE]; /* of the route */
	size_t n;
	double total; /* of the weights; 0: the first service gets all */
	struct weighted_service parts[];
};

/* Effect of running a request a second time. */
enum route_effect {
	EFFECT_BY_METHOD, /* idempotent if its method is, RFC 9110 9.2.2 */
	EFFECT_IDEMPOTENT,
	EFFECT_NOT_IDEMPOTENT, /* a repeat has effect: run at most once */
};

struct route {
	char name[NAME_SIZE];
	char team[NAME_SIZE];
	char method[METHOD_SIZE];
	char pattern[PATTERN_SIZE]; /* /a/{x}/b; a final ** matches the rest */
	char service[NAME_SIZE];
	enum shed_class shed;
	bool once;	/* at most one execution per idempotency key */
	bool anonymous; /* accepts requests without a key */
	int64_t deadline_us;
	uint32_t retries; /* allowance of a root for its entire chain */
	/* Host and path prefix, or a hash; see route_set_host_prefix. */
	char host_prefix[PATTERN_SIZE];
	size_t host_prefix_len;	   /* without the hash; 0: of host_prefix */
	const struct split *split; /* NULL: all requests go to service */
	enum route_effect effect;
	int64_t target_us; /* target latency of a response; 0: unknown */
	struct region_set home;
};

struct account {
	char name[NAME_SIZE];
	char team[NAME_SIZE];
	double rate;  /* requests per second over all hosts */
	double burst; /* requests */
	uint32_t weight;
	int64_t refuse_stale_us; /* refuse if configuration is older; 0: off */
	bool unlimited;		 /* has no rate limit */
	uint32_t rank;		 /* 0 is the highest; see config_shed_class */
	struct region_set home;
};

/* Limits on what callers may send; 0: not set. */
struct caller_limits {
	size_t head_bytes;
	size_t body_bytes;
	int64_t head_timeout_us; /* until the head is complete */
	int64_t idle_timeout_us; /* between requests on a connection */
};

/* Of a key only its BLAKE2b hash is stored. */
struct access_key {
	char id[NAME_SIZE];
	char account[NAME_SIZE];
	uint8_t hash[KEY_HASH_SIZE];
};

struct operator_key {
	char name[NAME_SIZE];
	char team[NAME_SIZE]; /* empty: every team */
	uint8_t hash[KEY_HASH_SIZE];
	bool read_only;
};

/*
 * The configuration after release note `number`. A config is immutable once
 * it is in force: applying a note creates a new one. Pointers into it are
 * valid until config_put drops the last reference, so a request keeps one.
 */
struct config;

struct config *config_new(void);
struct config *config_get(struct config *c);
void config_put(struct config *c);

uint64_t config_number(const struct config *c);
const char *config_release(const struct config *c);
enum overload_mode config_overload_mode(const struct config *c);
/*
 * Returns the number of the note with this release if it is among the last
 * RELEASES_KEPT, or 0.
 */
uint64_t config_release_number(const struct config *c, const char *release);
/* True if note number is among the last RELEASES_KEPT and had this text. */
bool config_release_text_equal(const struct config *c, uint64_t number,
			       const char *text, size_t len);

/* Lookups return NULL if there is no such item. */
const struct service *config_service(const struct config *c, const char *name);
const struct account *config_account(const struct config *c, const char *name);
/*
 * Returns the name that an account has outside: its own, or the long one that
 * it stands for; NULL if that is not known here. c may be NULL.
 */
const char *config_long_name(const struct config *c, const char *account);
const struct route *config_route(const struct config *c, const char *name);
const struct route *config_match(const struct config *c, const char *method,
				 const char *path);
const struct access_key *config_key(const struct config *c,
				    const uint8_t hash[KEY_HASH_SIZE]);
const struct operator_key *config_operator(const struct config *c,
					   const uint8_t hash[KEY_HASH_SIZE]);

/*
 * Returns the class of a request: that of its route, and one class later for
 * each rank of its account above the lowest rank. a may be NULL.
 */
enum shed_class config_shed_class(const struct config *c, const struct route *r,
				  const struct account *a);
/*
 * Returns how many requests an account may save. In a configuration that is not
 * from notes a burst may be missing: with less than this, requests that come
 * unevenly, or at several hosts, would be refused below the rate.
 */
double config_usable_burst(const struct config *c, const struct account *a);
/* Returns the route with the longest path prefix on a host, or NULL. */
const struct route *config_match_host_prefix(const struct config *c,
					     const char *host,
					     const char *path);
/* Whether an account of a configuration that is not from notes has a home. */
bool config_has_account_homes(const struct config *c);
const struct caller_limits *config_limits(const struct config *c);
/* The document the configuration was read from; empty if built from notes. */
const struct buffer *config_source(const struct config *c);

/*
 * Build a configuration that does not come from notes, item by item. It must
 * not be changed after config_publish. Those that return an int return -1 when
 * out of memory, and config_add_route also if another route has the same host
 * and prefix.
 */
int config_add_service(struct config *c, const struct service *s);
/* Sets the host and path prefix of a route, which may have any length. */
void route_set_host_prefix(struct route *r, const char *host,
			   const char *prefix);
/*
 * Splits the requests of a route, which has its host and prefix and is added
 * afterwards, among n services. Each weight is finite and at least 0.
 */
int config_add_split(struct config *c, struct route *r,
		     const struct weighted_service *parts, size_t n);
int config_add_route(struct config *c, const struct route *r);
int config_add_account(struct config *c, const struct account *a);
int config_add_key(struct config *c, const struct access_key *k);
void config_set_limits(struct config *c, const struct caller_limits *l);
int config_add_long_name(struct config *c, const char *account,
			 const char *long_name);
int config_publish(struct config *c, uint64_t number, const char *release,
		   const void *source, size_t len);

/*
 * Iterate over the items of a kind, in the same order on every host. Pass NULL
 * for the first; NULL is returned after the last.
 */
const struct account *config_next_account(const struct config *c,
					  const struct account *after);
const struct service *config_next_service(const struct config *c,
					  const struct service *after);
const struct route *config_next_route(const struct config *c,
				      const struct route *after);
const struct access_key *config_next_key(const struct config *c,
					 const struct access_key *after);
const struct operator_key *
config_next_operator(const struct config *c, const struct operator_key *after);

void key_hash(uint8_t hash[KEY_HASH_SIZE], const char *key);
const char *shed_class_name(enum shed_class cls);
const char *overload_mode_name(enum overload_mode mode);

/* An error in a note and the member's path, as "added.routes[2].path". */
struct note_fault {
	char path[160];
	char text[200];
};

struct note_faults {
	struct note_fault *items;
	size_t n;
};

void note_faults_free(struct note_faults *f);

/* Members of a note that identify it and its place in the sequence. */
struct note_head {
	char release[NAME_SIZE];
	bool has_after;
	uint64_t after; /* number of the note that it must follow */
};

int note_read_head(struct note_head *head, const char *text, size_t len,
		   struct error *err);

/*
 * Applies a note to c as number. Returns the new configuration, or NULL with
 * all faults listed; the caller frees them with note_faults_free. The note may
 * only change items of team; NULL or empty: of any team.
 */
struct config *config_apply(const struct config *c, uint64_t number,
			    const char *text, size_t len, const char *team,
			    struct note_faults *faults);

/* Appends the items that both notes change, as "accounts a, routes b". */
void note_overlap(struct buffer *out, const char *a, size_t a_len,
		  const char *b, size_t b_len);

/* Appends the configuration, or one section of it, as JSON for operators. */
int config_show(const struct config *c, const char *section,
		struct buffer *out);

/* Snapshots: encode the complete configuration as msgpack, and decode it. */
int config_pack(const struct config *c, struct buffer *out);
struct config *config_unpack(const void *data, size_t len, struct error *err);

#endif
