#include "admin/admin_impl.h"

#include <string.h>

#include "node/evacuation.h"

/* /readyz reports a configuration that went unconfirmed for this long. */
#define STALE_REPORT_US (60 * USEC_PER_SEC)

static void answer_text(struct admin_call *c, int status, const char *text)
{
	admin_answer(c->node, c->exchange, status, "text/plain", text,
		     strlen(text));
}

/* GET /healthz: 200 while the process runs. */
void admin_healthz(struct admin_call *c)
{
	answer_text(c, 200, "ok\n");
}

/* GET /readyz: 200 if the node has a configuration and is not stopping. */
void admin_readyz(struct admin_call *c)
{
	struct node *n = c->node;
	struct buffer b = {0};
	int64_t stale;

	if (!node_is_configured(n)) {
		answer_text(c, 503, "no configuration yet\n");
		return;
	}
	if (n->stopping) {
		answer_text(c, 503, "stopping\n");
		return;
	}
	stale = notes_stale_us(n->notes, c->now);
	if (stale < STALE_REPORT_US)
		buffer_printf(&b, "ready\n");
	else
		buffer_printf(&b,
			      "ready\ncut off from configuration changes for "
			      "%lld s\n",
			      (long long)(stale / USEC_PER_SEC));
	admin_answer(n, c->exchange, 200, "text/plain", b.data, b.len);
	buffer_free(&b);
}

/* GET /metrics: counters and latency histograms in Prometheus text format. */
void admin_metrics(struct admin_call *c)
{
	struct buffer b = {0};

	if (counters_write(&b) < 0 || latencies_write(&b) < 0 ||
	    spills_write(c->node, &b) < 0)
		answer_text(c, 503, "out of memory\n");
	else
		admin_answer(c->node, c->exchange, 200,
			     "text/plain; version=0.0.4", b.data, b.len);
	buffer_free(&b);
}
