/**
 * @file publish.h
 * Status objects that wait to be written, the newest of each name. Callable
 * from any thread, but publish_flush() from one at a time.
 */
#ifndef PUBLISH_H
#define PUBLISH_H

#include "object_api.h"

struct publish;

struct publish *publish_new(void);
void publish_free(struct publish *p);
/** See feed_publish(). */
void publish_put(struct publish *p, const char *name, const char *rank_field,
		 uint64_t rank, json_t *value);
/** Writes what waits; what fails waits on. False when something failed. */
bool publish_flush(struct publish *p, struct object_api *api,
		   hm_time call_limit);

#endif
