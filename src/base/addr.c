#include "base/base.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Prefix of IPv4-mapped IPv6 addresses. */
static const uint8_t v4_prefix[12] = {0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff};

static int parse_ip(struct addr *a, const char *ip)
{
	if (inet_pton(AF_INET6, ip, a->ip) == 1)
		return 0;
	memcpy(a->ip, v4_prefix, sizeof(v4_prefix));
	return inet_pton(AF_INET, ip, a->ip + sizeof(v4_prefix)) == 1 ? 0 : -1;
}

/* Parses "1.2.3.4:80" or "[::1]:80"; returns -1 when malformed. */
int addr_parse(struct addr *a, const char *text)
{
	const char *colon = strrchr(text, ':');
	char ip[INET6_ADDRSTRLEN];
	char *end;
	size_t len;
	long port;

	if (!colon || !colon[1])
		return -1;
	len = (size_t)(colon - text);
	if (len >= 2 && text[0] == '[' && text[len - 1] == ']') {
		text++;
		len -= 2;
	}
	if (!len || len >= sizeof(ip))
		return -1;
	memcpy(ip, text, len);
	ip[len] = 0;
	port = strtol(colon + 1, &end, 10);
	if (*end || port < 0 || port > UINT16_MAX)
		return -1;
	a->port = (uint16_t)port;
	return parse_ip(a, ip);
}

/* Formats the IP address without the port. */
void addr_format_ip(const struct addr *a, char text[ADDR_TEXT_SIZE])
{
	if (!memcmp(a->ip, v4_prefix, sizeof(v4_prefix)))
		inet_ntop(AF_INET, a->ip + sizeof(v4_prefix), text,
			  ADDR_TEXT_SIZE);
	else
		inet_ntop(AF_INET6, a->ip, text, ADDR_TEXT_SIZE);
}

/* Formats IP address and port as addr_parse reads them. */
void addr_format(const struct addr *a, char text[ADDR_TEXT_SIZE])
{
	char host[ADDR_TEXT_SIZE];
	bool v4 = !memcmp(a->ip, v4_prefix, sizeof(v4_prefix));

	addr_format_ip(a, host);
	snprintf(text, ADDR_TEXT_SIZE, v4 ? "%.45s:%u" : "[%.45s]:%u", host,
		 a->port);
}

/* Compares IP address and port. */
bool addr_equal(const struct addr *a, const struct addr *b)
{
	return a->port == b->port && !memcmp(a->ip, b->ip, sizeof(a->ip));
}

/* Whether the address or port is set, that is, not all zero. */
bool addr_is_set(const struct addr *a)
{
	static const struct addr none;

	return memcmp(a->ip, none.ip, sizeof(a->ip)) || a->port;
}
