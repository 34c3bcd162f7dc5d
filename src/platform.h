/**
 * @file platform.h
 * Client of the platform's object API. Blocking calls run on threads of their
 * own; EV_CONTRACT, EV_DATABASE, EV_INSTANCES and EV_PLATFORM are delivered
 * on the loop's thread.
 *
 * Protocol (JSON over HTTP):
 *
 *	GET    /objects/KIND              {"version": V, "items": [OBJECT]}
 *	GET    /objects/KIND?watch=1&from=V&wait_ms=T
 *	                                  changes after version V; an empty
 *	                                  list when none came within T ms
 *	GET    /objects/KIND/NAME         OBJECT
 *	PUT    /objects/KIND/NAME         {"if_version": V, "value": {...}}
 *	                                  new OBJECT, or 409 with the current
 *	                                  OBJECT
 *	DELETE /objects/KIND/NAME?if_version=V
 *	GET    /instances                 {"items": [{"name", "zone",
 *	                                  "address", "state"}]}
 *
 * OBJECT is {"kind", "name", "version", "deleted", "value"}. All objects share
 * one increasing sequence of versions. if_version 0 requires that the object
 * does not exist.
 */
#ifndef PLATFORM_H
#define PLATFORM_H

#include "loop.h"
#include "sink.h"

/** Kinds of objects that hyssopmount uses. */
#define KIND_CONTRACT "contract"
#define KIND_DATABASE "database"
#define KIND_STATUS "status"
/** One for each zone that is to be evacuated, named like the zone. */
#define KIND_EVACUATION "evacuation"

struct platform;

/** An entry of the platform's instance list. */
struct platform_instance {
	char name[NAME_BYTES];
	char address[ADDRESS_BYTES]; /**< address of its peer listener */
	uint16_t zone;
	bool leaving;
};

struct platform_options {
	const char *address;	  /**< "IP:port" */
	const char *const *zones; /**< zone names, indexed by zone number */
	uint16_t zone_count;
	hm_time call_limit;
	hm_time watch_wait; /**< longest wait of one watch call */
	hm_time list_every; /**< interval between reads of the lists */
	uint64_t seed;	    /**< random seed of the jitter of waits */
	/**
	 * whether contracts are watched from the start, see platform_watch()
	 */
	bool watch;
	/** Called on the loop's thread with each instance list read. */
	void (*instances)(void *owner, const struct platform_instance *list,
			  uint32_t count);
};

struct platform *platform_new(struct loop *loop,
			      const struct platform_options *options,
			      struct sink sink);
void platform_free(struct platform *p);
/**
 * Starts or ends watching contracts. An instance that doesn't watch reads the
 * contract list rarely and gets changes from its peers.
 */
void platform_watch(struct platform *p, bool watch);
/**
 * Publishes the primary of a database group as a status object. Best effort;
 * a status with a higher term is never overwritten.
 */
void platform_announce(struct platform *p, const char *database,
		       const char *primary, uint64_t term);
/** Number of calls made to the platform so far, for metrics. */
uint64_t platform_calls(const struct platform *p);

#endif
