/** @file address.c Parses "IP:port" and "[IPv6]:port". */
#include "address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>

#define PORT_MAX 65535
#define PORT_DIGITS_MAX 5

static bool parse_port(const char *text, in_port_t *out)
{
	unsigned int port = 0;
	size_t i;

	for (i = 0; text[i]; i++) {
		if (text[i] < '0' || text[i] > '9' || i == PORT_DIGITS_MAX)
			return false;
		port = port * 10 + (unsigned int)(text[i] - '0');
	}
	*out = htons((in_port_t)port);
	return i > 0 && port <= PORT_MAX;
}

/* Copies the IP part without brackets; false if it is malformed or too long. */
static bool copy_host(const char *text, const char *colon, char *host,
		      size_t bytes)
{
	size_t length = (size_t)(colon - text);

	if (text[0] == '[') {
		if (length < 2 || text[length - 1] != ']')
			return false;
		text++;
		length -= 2;
	}
	if (length >= bytes)
		return false;
	memcpy(host, text, length);
	host[length] = '\0';
	return true;
}

bool address_parse(const char *text, struct sockaddr_storage *out)
{
	struct sockaddr_in *v4 = (struct sockaddr_in *)out;
	struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)out;
	const char *colon = strrchr(text, ':');
	char host[INET6_ADDRSTRLEN];
	in_port_t port;

	memset(out, 0, sizeof(*out));
	if (!colon || !parse_port(colon + 1, &port) ||
	    !copy_host(text, colon, host, sizeof(host)))
		return false;
	if (text[0] == '[') {
		v6->sin6_family = AF_INET6;
		v6->sin6_port = port;
		return inet_pton(AF_INET6, host, &v6->sin6_addr) == 1;
	}
	v4->sin_family = AF_INET;
	v4->sin_port = port;
	return inet_pton(AF_INET, host, &v4->sin_addr) == 1;
}

bool address_can_connect(const char *text)
{
	struct sockaddr_storage ss;

	if (!address_parse(text, &ss))
		return false;
	if (ss.ss_family == AF_INET6)
		return ((struct sockaddr_in6 *)&ss)->sin6_port != 0;
	return ((struct sockaddr_in *)&ss)->sin_port != 0;
}

socklen_t address_bytes(const struct sockaddr_storage *ss)
{
	return ss->ss_family == AF_INET6 ? sizeof(struct sockaddr_in6)
					 : sizeof(struct sockaddr_in);
}
