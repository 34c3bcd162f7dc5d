/**
 * @file publish.h
 * Queue of status objects to be written: the newest one of each name. All
 * functions may be called from any thread, publish_flush() only from one
 * thread at a time.
 */
#ifndef PUBLISH_H
#define PUBLISH_H

#include "object_api.h"

struct publish;

struct publish *publish_new(void);
void publish_free(struct publish *p);
/**
 * Queues a status object to be written; the parameters are those of
 * feed_publish().
 */
void publish_put(struct publish *p, const char *name, const char *rank_field,
		 uint64_t rank, json_t *value);
/**
 * Writes the queued objects. At the first failure it returns false and the
 * objects not written stay queued.
 */
bool publish_flush(struct publish *p, struct object_api *api,
		   hm_time call_limit);

#endif
