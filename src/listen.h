/** @file listen.h Listening TCP sockets. */
#ifndef LISTEN_H
#define LISTEN_H

/**
 * Opens a non-blocking socket that listens on @a address ("IP:port").
 * @return its descriptor, or -1 with errno set
 */
int listen_on(const char *address);

#endif
