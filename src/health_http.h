/** @file health_http.h Answers health checks and requests for metrics. */
#ifndef HEALTH_HTTP_H
#define HEALTH_HTTP_H

#include <glib.h>
#include <stdbool.h>

#include "loop.h"

struct health_http;

/**
 * Addresses to listen on and paths to answer; an empty address disables its
 * listener.
 */
struct health_options {
	const char *health_address;
	const char *health_path;
	const char *metrics_address;
	const char *metrics_path;
	/**
	 * Called for each request for metrics: appends them as text to @a out.
	 */
	void (*metrics)(void *owner, GString *out);
	void *owner;
};

/** Opens the listeners. @return NULL with errno set on failure */
struct health_http *health_http_new(struct loop *loop,
				    const struct health_options *options);
void health_http_free(struct health_http *h);
/**
 * Sets the HTTP status that answers health checks: 200 when @a ready, otherwise
 * 503.
 */
void health_http_ready(struct health_http *h, bool ready);

#endif
