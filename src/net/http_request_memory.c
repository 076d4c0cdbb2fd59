#include "net/http_impl.h"

#define LARGE_BODY (256 * 1024)
#define LARGE_DIVISOR 4 /* 1/4 is left to others, beside a large one */
/* A body is copied on its way to the upstream, an unread response is not. */
#define UNREAD_DIVISOR 2

void net_limit_requests(struct net *net, size_t max)
{
	net->requests_max = max;
}

int request_memory_hold(struct net *net, size_t *held, size_t size,
			size_t unread)
{
	size_t max = net->requests_max;

	if (size <= *held)
		return 0;
	if (size > LARGE_BODY && net->requests_held > *held)
		max -= max / LARGE_DIVISOR;
	if (max &&
	    net->requests_held - *held + size + unread / UNREAD_DIVISOR > max)
		return -1;
	net->requests_held += size - *held;
	*held = size;
	return 0;
}

void request_memory_release(struct net *net, size_t *held)
{
	net->requests_held -= *held;
	*held = 0;
}
