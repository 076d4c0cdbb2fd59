/* Internal to the notes controller. */
#ifndef CONTROL_NOTES_IMPL_H
#define CONTROL_NOTES_IMPL_H

#include "control/control.h"
#include "control/evacuations/evacuations.h"

#define NOTE_CACHE_SLOTS 1024 /* a power of two */
#define NOTES_AHEAD_MAX 24    /* cached before their predecessor arrives */
/* Applied notes in the cache at most. */
#define NOTES_SERVED_MAX (NOTE_CACHE_SLOTS - NOTES_AHEAD_MAX)
#define NOTE_CACHE_BYTES_MAX (8 * 1024 * 1024)
#define PEER_PAYLOAD_MAX (48 * 1024) /* bytes in one message */
#define SNAPSHOT_BYTES_MAX (32 * 1024 * 1024)
#define SNAPSHOT_INTERVAL_NOTES 500
#define STORE_TIMEOUT_US (2 * USEC_PER_SEC)
#define TRANSFERS_MAX 4
#define NOTE_KEY_SIZE 64

struct cached_note {
	uint64_t number; /* 0: empty */
	size_t len;
	char *text;
};

#define OPEN_READS_MAX 3 /* of the document */

/* One read of the document and the evacuations. */
struct range_read {
	bool open;
	int64_t started_us;
	uint32_t history; /* see store_replacements */
	uint32_t pages;
	char after[STORE_KEY_SIZE]; /* last key of the page before, or "" */
	struct evacuation_set set;
};

/* Reading from the store; one fetch runs at a time. */
enum fetch_step {
	FETCH_IDLE,
	FETCH_HEAD,
	FETCH_LIST,
	FETCH_SNAPSHOT_HEAD,
	FETCH_SNAPSHOT_PART,
};

struct fetch {
	enum fetch_step step;
	int64_t started_us;
	int64_t next_us;     /* earliest start of the next fetch */
	uint32_t open_reads; /* of the document */
	struct range_read ranges[OPEN_READS_MAX];
	int64_t answer_us; /* time that the last answer to one took */
	uint32_t failures;
	uint32_t store_behind;	   /* consecutive fetches */
	uint64_t head;		   /* newest number in the store */
	int64_t head_mod_revision; /* 0 if absent */
	int64_t revision;	   /* of the store when head was read */
	uint64_t snapshot;	   /* number */
	uint32_t part;
	uint32_t parts;
	struct buffer bytes;
};

/* Value of snapshot/head. The previous snapshot stays in the store too. */
struct snapshot_head {
	uint64_t number;
	uint32_t parts;
	uint64_t previous;
	uint32_t previous_parts;
};

enum writer_step {
	WRITER_IDLE,
	WRITER_HEAD,
	WRITER_PART,
	WRITER_SWITCH,
	WRITER_SWEEP,
};

/* Writing snapshots to the store. */
struct snapshot_writer {
	enum writer_step step;
	int64_t next_us;
	bool write_scheduled;
	uint64_t stored_number; /* newest snapshot in the store */
	int64_t head_mod_revision;
	struct snapshot_head old;
	struct snapshot_head head;
	struct buffer bytes;
	uint32_t part;
	uint64_t sweep; /* number of the next note to remove */
};

/* Asked of a peer; the answer proves nothing later than that time. */
struct question {
	uint64_t id; /* 0: none */
	int64_t asked_us;
};

#define QUESTIONS_MAX 16 /* a power of two */

/* Outgoing snapshot. */
struct transfer {
	struct addr to;
	uint64_t question; /* that it answers */
	uint32_t part;
	bool active;
};

/* Incoming snapshot. */
struct reassembly {
	struct addr from;
	uint64_t number;
	uint32_t part; /* next expected */
	uint32_t parts;
	struct buffer bytes;
};

/* How a configuration came to this node. */
enum notes_road {
	ROAD_READ,
	ROAD_WATCH,
	ROAD_PEER,
	ROAD_NOTE, /* a note applied to the one before, from anywhere */
};

struct append;
struct history;

struct notes {
	struct notes_options o;
	struct config *config; /* number 0 before the first */
	int64_t started_us;
	int64_t confirmed_us; /* when our number was last known newest */
	bool confirmed;
	uint64_t rejected_number; /* last note that failed to apply */
	uint64_t draws;		  /* calls of notes_random */

	struct cached_note note_cache[NOTE_CACHE_SLOTS];
	size_t note_cache_bytes;
	uint64_t note_cache_first; /* lowest number that may be cached */

	bool is_reader;
	uint64_t watch;
	struct fetch fetch;
	struct append *appends;
	struct history *histories;
	struct snapshot_writer writer;

	uint64_t newest_number; /* highest number known to exist */
	int64_t catch_up_us;	/* when to read the store for it; 0: unset */
	bool catching_up;	/* that time has come */
	struct addr newest_from;
	uint64_t pulled_after;
	int64_t next_pull_us;	 /* earliest time of the next pull */
	int64_t reannounce_us;	 /* 0: not scheduled */
	int64_t next_confirm_us; /* request to a peer is due */
	struct question questions[QUESTIONS_MAX];
	uint64_t last_question;
	int64_t asked_us;     /* when a peer was last asked for its proof */
	int64_t announced_us; /* confirmed_us as last announced */
	int64_t document_revision; /* mod_revision, or 0 */
	struct config *held;	   /* not in force before peers were heard */
	int64_t held_read_us;	   /* when the last read of it was sent */
	int64_t heard_us;	   /* first message of a peer; 0: none */
	bool heard_config;	   /* from one that has a configuration */
	uint32_t pull_rounds;	   /* selects the peer */

	struct buffer packed;
	uint64_t packed_number;
	int64_t packed_us;
	struct transfer transfers[TRANSFERS_MAX];
	struct reassembly reassembly;
};

uint64_t notes_number(const struct notes *n);
uint64_t notes_random(struct notes *n);
void notes_confirm(struct notes *n, int64_t at_us);
void notes_add(struct notes *n, uint64_t number, const char *text, size_t len,
	       int64_t now);
void notes_set_config(struct notes *n, struct config *c, enum notes_road road,
		      int64_t now);
int notes_pack(const struct notes *n, struct buffer *out);
struct config *notes_unpack(const struct notes *n, const void *data, size_t len,
			    struct error *err);

int note_cache_put(struct notes *n, uint64_t number, const char *text,
		   size_t len);
const struct cached_note *note_cache_get(const struct notes *n,
					 uint64_t number);
void note_cache_remove(struct notes *n, uint64_t number);
void note_cache_free(struct notes *n);

/* Stored form of a note. */
struct envelope {
	uint64_t number;
	char release[NAME_SIZE];
	char operator_name[NAME_SIZE];
	int64_t wall_us;
	char *text;
	size_t len;
};

int envelope_write(const struct envelope *e, struct buffer *out);
int envelope_read(struct envelope *e, const void *data, size_t len);
void envelope_free(struct envelope *e);
void note_key(char key[NOTE_KEY_SIZE], uint64_t number);
uint64_t note_key_number(const char *key);
void snapshot_key(char key[NOTE_KEY_SIZE], uint64_t number, uint32_t part);
int snapshot_head_read(struct snapshot_head *h, const void *data, size_t len);
int snapshot_head_write(const struct snapshot_head *h, struct buffer *out);
extern const char notes_head_key[];
extern const char snapshot_head_key[];

void fetch_start(struct notes *n, int64_t now);
void fetch_submit(struct notes *n, struct store_op *op,
		  const struct store_done *done, int64_t now);
void fetch_watch(struct notes *n, int64_t now);
void fetch_check_behind(struct notes *n);
int64_t fetch_backoff_us(struct notes *n, int64_t most);
void fetch_tick(struct notes *n, int64_t now);
void fetch_free(struct notes *n);

void document_fetch(struct notes *n, int64_t now);
void document_changed(struct notes *n, const struct store_entry *e,
		      int64_t now);
void document_read_entry(struct notes *n, const struct store_entry *e,
			 int64_t now);
void document_read_ended(struct notes *n, int64_t started_us, bool success,
			 int64_t now);
void range_fetch(struct notes *n, int64_t now);
int64_t note_evacuations_learnt_us(const struct notes *n, int64_t now);
bool note_evacuations_missing(const struct notes *n);
void note_evacuations_write(const struct notes *n, struct peer_msg *msg,
			    int64_t now);
bool note_evacuations_receive(struct notes *n, const struct peer_msg *msg,
			      int64_t now);
void note_evacuations_changed(struct notes *n, const struct store_entry *e,
			      int64_t now);
void document_await(struct notes *n, int64_t now);
void document_release(struct notes *n, int64_t now);
void document_tick(struct notes *n, int64_t now);

void append_fetch_ended(struct notes *n, bool success, int64_t now);
void append_tick(struct notes *n, int64_t now);
void append_free(struct notes *n);

void history_free(struct notes *n);

void snapshot_writer_tick(struct notes *n, int64_t now);
void snapshot_writer_free(struct notes *n);

void peer_tick(struct notes *n, int64_t now);
void peer_push(struct notes *n, const struct cached_note *note, int64_t now);
void peer_announce_number(struct notes *n, int64_t now);
void peer_free(struct notes *n);
void transfer_start(struct notes *n, const struct addr *to, uint64_t question,
		    int64_t now);
void transfer_tick(struct notes *n, int64_t now);
void reassembly_receive(struct notes *n, const struct peer_msg *msg,
			int64_t now);
void send_number(struct notes *n, const struct addr *to, bool on_link,
		 uint64_t question, int64_t now);

#endif
