#include "node/node.h"

#include <stdlib.h>

/*
 * Fraction of the promised retry ratio that is spent on retries of a service.
 * A retried run repeats its sub-calls, and every service below counts these
 * against its own ratio: up to 13 calls.
 */
#define PROMISED_RATIO_FRACTION 0.05
/* Kept small because all hosts may spend their reserves at once. */
#define PROMISED_RESERVE_TOKENS 1.0

/* The retry ratio of one service on this node. */
struct service_retries {
	char name[NAME_SIZE];
	struct retry_ratio ratio;
	UT_hash_handle hh;
};

/* Used when out of memory: allows no retries. */
static struct retry_ratio no_retries;

static uint32_t retry_percent_of(struct node *n, const char *service)
{
	const struct service *s = config_service(n->config, service);
	double promised = n->settings.promises.retry_ratio;

	if (promised > 0)
		return (uint32_t)(promised * PROMISED_RATIO_FRACTION * 100);
	return s ? s->retry_percent : 0;
}

/* Returns the retry ratio of a service under the configuration in force. */
struct retry_ratio *service_retry_ratio(struct node *n, const char *service)
{
	struct service_retries *s;
	uint32_t percent = retry_percent_of(n, service);

	HASH_FIND_STR(n->retries, service, s);
	if (!s) {
		s = calloc(1, sizeof(*s));
		if (!s)
			return &no_retries;
		copy_name(s->name, sizeof(s->name), service);
		retry_ratio_init(&s->ratio, percent);
		if (n->settings.promises.retry_ratio > 0) {
			s->ratio.reserve = PROMISED_RESERVE_TOKENS;
			s->ratio.tokens = 0;
		}
		HASH_ADD_STR(n->retries, name, s);
	}
	s->ratio.percent = percent;
	return &s->ratio;
}

void service_retries_free(struct node *n)
{
	struct service_retries *s = n->retries, *next;

	HASH_CLEAR(hh, n->retries);
	for (; s; s = next) {
		next = s->hh.next;
		free(s);
	}
}
