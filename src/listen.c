/** @file listen.c Opens listening sockets. */
#include "listen.h"

#include <errno.h>
#include <unistd.h>

#include "address.h"

static int bind_socket(const struct sockaddr_storage *ss)
{
	int fd = socket(ss->ss_family,
			SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int on = 1;

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (const struct sockaddr *)ss, address_bytes(ss)) ||
	    listen(fd, SOMAXCONN)) {
		int saved_errno = errno;

		close(fd);
		errno = saved_errno;
		return -1;
	}
	return fd;
}

int listen_on(const char *address)
{
	struct sockaddr_storage ss;

	if (address_parse(address, &ss))
		return bind_socket(&ss);
	errno = EINVAL;
	return -1;
}
