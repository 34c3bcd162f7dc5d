/** @file address.h Socket addresses as text "IP:port" or "[IPv6]:port". */
#ifndef ADDRESS_H
#define ADDRESS_H

#include <stdbool.h>
#include <sys/socket.h>

/** Parses a numeric IP address, no host name, with a port from 0 to 65535. */
bool address_parse(const char *text, struct sockaddr_storage *out);
/** Whether @a text is an address to connect to: well-formed, its port not 0. */
bool address_can_connect(const char *text);
/** Size of the address structure for the family of @a ss. */
socklen_t address_bytes(const struct sockaddr_storage *ss);

#endif
