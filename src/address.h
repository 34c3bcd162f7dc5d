/** @file address.h Addresses as text "IP:port" or "[IPv6]:port". */
#ifndef ADDRESS_H
#define ADDRESS_H

#include <stdbool.h>
#include <sys/socket.h>

/** Parses IP numbers only, no names; port 0 to 65535. */
bool address_parse(const char *text, struct sockaddr_storage *out);
/** Bytes of the address in use. */
socklen_t address_bytes(const struct sockaddr_storage *ss);

#endif
