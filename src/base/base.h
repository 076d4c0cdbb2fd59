/*
 * Utilities for all parts: errors, log lines, buffers, handle tables,
 * addresses, names, clocks, counters and latency histograms.
 */
#ifndef BASE_BASE_H
#define BASE_BASE_H

#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <syslog.h>

#define USEC_PER_MSEC INT64_C(1000)
#define USEC_PER_SEC INT64_C(1000000)

#define NAME_SIZE 64	   /* service, route, account, host; with NUL */
#define REQUEST_ID_SIZE 97 /* request identity; with NUL */

enum error_code {
	ERROR_NONE,
	ERROR_INPUT,
	ERROR_LIMIT,
	ERROR_IO,
	ERROR_AUTH,
	ERROR_TIMEOUT,
	ERROR_CONFLICT,
	ERROR_NOT_FOUND,
	ERROR_MEMORY,
	ERROR_STATE,
};

/* step is the operation that failed, peer the remote end or the file. */
struct error {
	enum error_code code;
	char step[32];
	char peer[64];
	char text[320];
};

int error_set(struct error *err, enum error_code code, const char *step,
	      const char *peer, const char *fmt, ...)
	__attribute__((format(printf, 5, 6)));
const char *error_code_name(enum error_code code);

#define LOG_LINE_SIZE 1024

struct log_line {
	int priority;
	size_t len;
	char text[LOG_LINE_SIZE];
};

void log_set_level(int priority);
/*
 * Before log_open, each line is written to stderr at once. After it, lines
 * are queued and log_flush writes them to fd without blocking; lines beyond
 * the size of the queue or the rate limit are dropped and counted.
 */
void log_open(int fd);
void log_flush(int64_t now);
bool log_enabled(int priority);
void log_start(struct log_line *line, int priority, const char *event);
void log_str(struct log_line *line, const char *key, const char *value);
void log_int(struct log_line *line, const char *key, int64_t value);
void log_emit(struct log_line *line);
void log_error(int priority, const char *event, const struct error *err);

/* A byte string that grows up to a limit given with each append. */
struct buffer {
	uint8_t *data;
	size_t len;
	size_t size;
};

/* Makes room for size bytes in all, and no more; -1 when out of memory. */
int buffer_reserve(struct buffer *b, size_t size);
int buffer_append(struct buffer *b, const void *data, size_t len, size_t limit);
int buffer_printf(struct buffer *b, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
void buffer_free(struct buffer *b);

#define TABLE_BLOCK_MIN 16U /* items in the first block; a power of two */
#define TABLE_BLOCKS 28	    /* each after the first doubles the table */

/*
 * A table of items addressed by handles. A handle holds a generation and an
 * index, so that it becomes invalid when its item is removed; zero is never
 * a valid handle. An item stays at its address until it is removed.
 */
struct table {
	size_t item_size;
	uint32_t size;
	uint32_t max;
	uint32_t count;
	uint32_t free_head;
	uint32_t block_count;
	uint8_t *blocks[TABLE_BLOCKS];
};

void table_init(struct table *t, size_t item_size, uint32_t max);
void table_free(struct table *t);
uint64_t table_add(struct table *t, void **item);
void *table_get(const struct table *t, uint64_t handle);
void table_remove(struct table *t, uint64_t handle);
uint64_t table_next(const struct table *t, uint64_t after, void **item);

/* IP address and port; IPv4 is stored as an IPv4-mapped IPv6 address. */
struct addr {
	uint8_t ip[16];
	uint16_t port;
};

#define ADDR_TEXT_SIZE 64

int addr_parse(struct addr *a, const char *text);
void addr_format(const struct addr *a, char text[ADDR_TEXT_SIZE]);
void addr_format_ip(const struct addr *a, char text[ADDR_TEXT_SIZE]);
bool addr_equal(const struct addr *a, const struct addr *b);
bool addr_is_set(const struct addr *a);

uint64_t name_hash(const char *name);
uint64_t pair_hash(uint64_t a, uint64_t b);
int copy_name(char *to, size_t size, const char *from);
void name_fit(char to[NAME_SIZE], const char *from);
bool name_is_fitted(const char *name);

int64_t clock_monotonic_us(void);
int64_t clock_wall_us(void);
void format_wall_time(int64_t wall_us, char text[32]);

void random_token(char *text, size_t size);

/* Counters of the process; each has a row in counters.c. */
enum counter {
	COUNTER_REQUESTS,
	COUNTER_SUB_CALLS,
	COUNTER_ANSWERED,
	COUNTER_REFUSED,
	COUNTER_SHED,
	COUNTER_OVER_RATE,
	COUNTER_RETRIES,
	COUNTER_CANCELLED,
	COUNTER_WASTED,
	COUNTER_UPSTREAM_RUNS,
	COUNTER_UPSTREAM_CONNECTIONS,
	COUNTER_UPSTREAM_FAILURES,
	COUNTER_UPSTREAM_ENDS,
	COUNTER_POISON_REFUSED,
	COUNTER_COLD_REFUSED,
	COUNTER_EVACUATED,
	COUNTER_LINKS_OPENED,
	COUNTER_LINK_FRAMES,
	COUNTER_LINK_BYTES,
	COUNTER_CONTROL_MESSAGES,
	COUNTER_CONTROL_BYTES,
	COUNTER_DATAGRAMS,
	COUNTER_AUTH_FAILURES,
	COUNTER_STORE_READS,
	COUNTER_STORE_WRITES,
	COUNTER_STORE_UNKNOWN,
	COUNTER_STORE_DENIED,
	COUNTER_STORE_REPLACED,
	COUNTER_STORE_SILENT,
	COUNTER_SLOW_READERS,
	COUNTER_LOANS_REQUESTED,
	COUNTER_LOANS_GRANTED,
	COUNTER_LOANS_NO_TOKENS,
	COUNTER_LOANS_NO_ANSWER,
	COUNTER_LOANS_LATE,
	COUNTER_OVER_RATE_NO_ANSWER,
	COUNTER_OVER_RATE_ELSEWHERE,
	COUNTER_LEASES_LOST,
	COUNTER_SLICES_TAKEN,
	COUNTER_CLAIMS,
	COUNTER_NOTES_APPLIED,
	COUNTER_LOG_LINES,
	COUNTER_LOG_LOST,
	COUNTER_COUNT
};

void counter_add(enum counter c, uint64_t n);
uint64_t counter_get(enum counter c);
int counters_write(struct buffer *out);

/* Latency histograms of the process; each has a row in latency.c. */
enum latency {
	LATENCY_REQUEST,  /* of a caller's request, to its end */
	LATENCY_QUEUE,	  /* of a call, in the queue of a local gate */
	LATENCY_UPSTREAM, /* of a call, at a local upstream */
	LATENCY_COUNT,
};

void latency_add(enum latency l, int64_t us);
uint64_t latency_count(enum latency l);
int latencies_write(struct buffer *out);

#endif
