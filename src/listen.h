/** @file listen.h Sockets that take connections. */
#ifndef LISTEN_H
#define LISTEN_H

/** A listening, non-blocking socket; -1 with errno set when there is none. */
int listen_on(const char *address);

#endif
