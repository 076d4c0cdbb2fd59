#include "net/socket_addr.h"

#include <string.h>

#define V4_OFFSET 12

/* Converts a to *sa (IPv4 if v4-mapped) and returns the length of *sa. */
socklen_t addr_to_sockaddr(const struct addr *a, union socket_addr *sa)
{
	static const uint8_t prefix[V4_OFFSET] = {[10] = 0xff, [11] = 0xff};

	memset(sa, 0, sizeof(*sa));
	if (memcmp(a->ip, prefix, sizeof(prefix))) {
		sa->v6.sin6_family = AF_INET6;
		sa->v6.sin6_port = htons(a->port);
		memcpy(&sa->v6.sin6_addr, a->ip, sizeof(a->ip));
		return sizeof(sa->v6);
	}
	sa->v4.sin_family = AF_INET;
	sa->v4.sin_port = htons(a->port);
	memcpy(&sa->v4.sin_addr, a->ip + V4_OFFSET, 4);
	return sizeof(sa->v4);
}

/* Converts *sa to *a; an IPv4 address becomes v4-mapped. */
void addr_from_sockaddr(const union socket_addr *sa, struct addr *a)
{
	memset(a, 0, sizeof(*a));
	if (sa->any.sa_family == AF_INET6) {
		memcpy(a->ip, &sa->v6.sin6_addr, sizeof(a->ip));
		a->port = ntohs(sa->v6.sin6_port);
		return;
	}
	a->ip[10] = 0xff;
	a->ip[11] = 0xff;
	memcpy(a->ip + V4_OFFSET, &sa->v4.sin_addr, 4);
	a->port = ntohs(sa->v4.sin_port);
}
