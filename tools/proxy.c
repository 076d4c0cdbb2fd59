/*
 * Loopback proxy that makes connections go silent. On SIGUSR1, all open
 * connections stay open and pass nothing on any more, for good; new ones work.
 */
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/tcp.h"

#define TICK_US (5 * USEC_PER_MSEC)

struct pair;

struct side {
	struct tcp tcp;
	struct side *other;
	struct pair *pair;
};

struct pair {
	struct pair *next;
	struct side caller;
	struct side target;
	bool silent;
};

static struct {
	struct net *net;
	struct tcp_listener listener;
	struct pair *pairs;
	struct addr to;
	char listen[ADDR_TEXT_SIZE];
} proxy = {.listen = "127.0.0.1:0"};

static volatile sig_atomic_t stopped, silenced;

static void close_pair(struct pair *p)
{
	struct pair **at = &proxy.pairs;

	while (*at != p)
		at = &(*at)->next;
	*at = p->next;
	tcp_close(&p->caller.tcp);
	tcp_close(&p->target.tcp);
	net_free_later(proxy.net, p, free);
}

static void on_opened(struct tcp *t)
{
	(void)t;
}

static void on_data(struct tcp *t, const uint8_t *data, size_t len)
{
	struct side *s = t->owner;

	if (!s->pair->silent && tcp_write(&s->other->tcp, data, len) < 0)
		close_pair(s->pair);
}

static void on_ended(struct tcp *t, enum tcp_end how)
{
	struct side *s = t->owner;

	(void)how;
	if (s->pair->silent)
		tcp_close(t);
	else
		close_pair(s->pair);
}

static void on_drained(struct tcp *t)
{
	(void)t;
}

static const struct tcp_handler handler = {.opened = on_opened,
					   .data = on_data,
					   .ended = on_ended,
					   .drained = on_drained};

static void accepted(struct tcp_listener *l, int fd, const char *peer)
{
	struct pair *p = calloc(1, sizeof(*p));

	(void)l;
	(void)peer;
	if (!p)
		abort();
	p->caller.pair = p->target.pair = p;
	p->caller.other = &p->target;
	p->target.other = &p->caller;
	p->next = proxy.pairs;
	proxy.pairs = p;
	tcp_adopt(&p->caller.tcp, proxy.net, fd, &handler, &p->caller);
	if (tcp_connect(&p->target.tcp, proxy.net, &proxy.to, &handler,
			&p->target) < 0)
		close_pair(p);
}

static void tick(void *ctx, int64_t now)
{
	struct pair *p;

	(void)ctx;
	(void)now;
	if (stopped)
		net_stop(proxy.net);
	if (!silenced)
		return;
	silenced = 0;
	for (p = proxy.pairs; p; p = p->next)
		p->silent = true;
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	switch (key) {
	case 'l':
		copy_name(proxy.listen, sizeof(proxy.listen), arg);
		return 0;
	case 't':
		if (addr_parse(&proxy.to, arg) < 0)
			argp_error(state, "--to takes an address and port");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_option options[] = {
	{"listen", 'l', "ADDR", 0, "Listen on ADDR (127.0.0.1:0)", 0},
	{"to", 't', "ADDR", 0, "Connect each caller to ADDR", 0},
	{0}};

static const struct argp argp = {
	.options = options,
	.parser = parse_option,
	.doc = "Passes TCP connections on.\v"
	       "SIGUSR1 makes all open connections go silent."};

static void on_signal(int number)
{
	if (number == SIGUSR1)
		silenced = 1;
	else
		stopped = 1;
}

int main(int argc, char **argv)
{
	char text[ADDR_TEXT_SIZE];
	struct error err = {0};
	struct addr a;

	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	signal(SIGUSR1, on_signal);
	proxy.net = net_open(&err);
	proxy.listener.accepted = accepted;
	if (!proxy.net || !proxy.to.port || addr_parse(&a, proxy.listen) < 0 ||
	    tcp_listen(&proxy.listener, proxy.net, &a, &err) < 0 ||
	    net_every(proxy.net, TICK_US, tick, NULL) < 0) {
		fprintf(stderr, "proxy: %s\n",
			proxy.to.port ? err.text : "--to is missing");
		return EXIT_FAILURE;
	}
	tcp_listener_addr(&proxy.listener, &a);
	addr_format(&a, text);
	printf("listening=%s\n", text);
	fflush(stdout);
	net_run(proxy.net);
	while (proxy.pairs)
		close_pair(proxy.pairs);
	tcp_listener_close(&proxy.listener);
	net_close(proxy.net);
	return EXIT_SUCCESS;
}
