/* Conversion between struct addr and socket addresses. */
#ifndef NET_SOCKET_ADDR_H
#define NET_SOCKET_ADDR_H

#include <netinet/in.h>
#include <sys/socket.h>

#include "base/base.h"

union socket_addr {
	struct sockaddr any;
	struct sockaddr_in v4;
	struct sockaddr_in6 v6;
};

socklen_t addr_to_sockaddr(const struct addr *a, union socket_addr *sa);
void addr_from_sockaddr(const union socket_addr *sa, struct addr *a);

#endif
