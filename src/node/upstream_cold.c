/* Whether the upstreams of this host are cold, from what they announce. */
#include "node/gates.h"

#include <stdio.h>

/*
 * Without a document no cold rate is known, but an upstream that announces to
 * be cold may still get calls from other nodes.
 */
#define RATE_UNKNOWN 1.0
/* Of an upstream whose cold period has no known end. */
#define PRESUMED_US (10 * USEC_PER_SEC)
/* Heartbeats may arrive late: one sent before the end of its process is. */
#define HEARTBEAT_LATE_US (3 * USEC_PER_SEC)
/* Entries are not told of a change of the end of a cold period below this. */
#define PUBLISHED_PRECISION_US (500 * USEC_PER_MSEC)
/* The upstream is on this host: if it listens, it says so at once. */
#define PROBE_TIMEOUT_US (30 * USEC_PER_MSEC)

static double cold_rate(const struct node *n, const struct local_upstream *u)
{
	const struct service *s;

	if (!n->config)
		return n->settings.promises.cold_overshoot > 0 ? RATE_UNKNOWN
							       : 0;
	s = config_service(n->config, u->info.service);
	return s ? s->cold_per_s : 0;
}

static void log_cold(const struct local_upstream *u, double rate,
		     int64_t left_us)
{
	char addr[ADDR_TEXT_SIZE], text[32];
	struct log_line line;

	addr_format(&u->info.addr, addr);
	snprintf(text, sizeof(text), "%.1f", rate);
	log_start(&line, LOG_NOTICE,
		  left_us ? "upstream-cold" : "upstream-warm");
	log_str(&line, "service", u->info.service);
	log_str(&line, "upstream", addr);
	log_str(&line, "requests_s", text);
	log_int(&line, "remaining_ms", left_us / USEC_PER_MSEC);
	log_emit(&line);
}

/*
 * Publishes the state. Two cold periods in a row are published with different
 * values, as entries may miss the warm state between them.
 */
static void publish(struct node *n, struct local_upstream *u, int64_t left_us,
		    int64_t now)
{
	uint32_t ms = (uint32_t)((left_us + USEC_PER_MSEC - 1) / USEC_PER_MSEC);

	if (ms && ms == u->cold_last_ms)
		ms++;
	if (ms)
		u->cold_last_ms = ms;
	u->info.cold_ms = ms;
	u->cold_published_us = now + left_us;
	gates_publish_upstreams(n, now);
}

void upstream_cold_update(struct node *n, struct local_upstream *u, int64_t now)
{
	double rate = now < u->cold_until_us ? cold_rate(n, u) : 0;
	int64_t left_us, moved_us;
	bool was_cold = u->cold;

	if (!rate && !was_cold)
		return;
	gate_set_cold(u->gate, rate, u->cold_until_us, now);
	left_us = gate_cold_left_us(u->gate, now);
	if (left_us > PRESUMED_US)
		left_us = PRESUMED_US;
	u->cold = left_us > 0;
	if (u->cold != was_cold)
		log_cold(u, rate, left_us);
	moved_us = now + left_us - u->cold_published_us;
	if (u->cold != was_cold || (u->cold_until_us != INT64_MAX &&
				    (moved_us > PUBLISHED_PRECISION_US ||
				     moved_us < -PUBLISHED_PRECISION_US)))
		publish(n, u, left_us, now);
}

void upstream_cold_heard(struct node *n, struct local_upstream *u,
			 int64_t left_us, int64_t now)
{
	u->cold_announced_us = left_us ? now + left_us : 0;
	if (u->cold_end_seen_us &&
	    now - u->cold_end_seen_us < HEARTBEAT_LATE_US)
		return;
	u->cold_end_seen_us = 0;
	u->cold_until_us = u->cold_announced_us;
	upstream_cold_update(n, u, now);
}

bool upstream_cold_is_announced(const struct node *n,
				const struct local_upstream *u, int64_t now)
{
	return now < u->cold_announced_us && cold_rate(n, u) > 0;
}

void gates_presume_cold(struct node *n, struct local_upstream *u, int64_t now)
{
	u->cold_until_us = INT64_MAX;
	upstream_cold_update(n, u, now);
}

void upstream_cold_end_seen(struct node *n, struct local_upstream *u,
			    int64_t now)
{
	u->cold_end_seen_us = now;
	gates_presume_cold(n, u, now);
}

static void on_probed(void *ctx, uint64_t upstream, enum listen_state state,
		      int64_t now)
{
	struct local_upstream *u = gates_upstream(ctx, upstream);

	if (u && state == LISTEN_REFUSED)
		upstream_cold_end_seen(ctx, u, now);
}

void upstream_cold_unreachable(struct node *n, struct local_upstream *u,
			       int64_t now)
{
	struct listen_probe_options o = {.addr = u->info.addr,
					 .timeout_us = PROBE_TIMEOUT_US,
					 .ctx = n,
					 .tag = u->handle,
					 .done = on_probed};

	if (cold_rate(n, u) <= 0)
		return;
	gates_presume_cold(n, u, now);
	/* Without a probe, the next heartbeat decides. */
	net_probe(n->net, &o, now);
}

uint32_t upstream_cold_retry_after_ms(struct node *n,
				      const struct local_upstream *u,
				      int64_t now)
{
	int64_t left_us = gate_cold_left_us(u->gate, now);
	const struct service *s = NULL;

	if (n->config)
		s = config_service(n->config, u->info.service);
	/* The end of a presumed cold period is not known. */
	if (s && left_us > s->cold_start_us)
		left_us = s->cold_start_us;
	if (left_us > PRESUMED_US)
		left_us = PRESUMED_US;
	return cold_retry_after_ms(left_us, s ? s->cold_start_us : 0,
				   node_random(n));
}
