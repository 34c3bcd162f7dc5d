/**
 * @file platform.h
 * Client of the platform's object API, a task with a thread of its own for
 * blocking calls. Delivers EV_CONTRACT, EV_DATABASE, EV_INSTANCES and
 * EV_PLATFORM on the loop's thread.
 *
 * Protocol (JSON over HTTP):
 *
 *	GET    /objects/KIND              {"version": V, "items": [OBJECT]}
 *	GET    /objects/KIND?watch=1&from=V&wait_ms=T
 *	                                  changes after V, or none after T
 *	GET    /objects/KIND/NAME         OBJECT
 *	PUT    /objects/KIND/NAME         {"if_version": V, "value": {...}}
 *	                                  OBJECT, or 409 with the held OBJECT
 *	DELETE /objects/KIND/NAME?if_version=V
 *	GET    /instances                 {"items": [{"name", "zone",
 *	                                  "address", "state"}]}
 *
 * OBJECT is {"kind", "name", "version", "deleted", "value"}; versions grow
 * over all objects together; if_version 0 means that it must not exist.
 */
#ifndef PLATFORM_H
#define PLATFORM_H

#include "loop.h"
#include "sink.h"

/** Kinds of objects that hyssopmount uses. */
#define KIND_CONTRACT "contract"
#define KIND_DATABASE "database"
#define KIND_STATUS "status"

struct platform;

/** An instance of the platform's list, with the address of its peer task. */
struct platform_instance {
	char name[NAME_BYTES];
	char address[ADDRESS_BYTES];
	uint16_t zone;
	bool leaving;
};

struct platform_options {
	const char *address;	  /**< "IP:port" */
	const char *const *zones; /**< names by zone number */
	uint16_t zone_count;
	hm_time call_limit;
	hm_time watch_wait; /**< longest wait of one watch call */
	hm_time list_every; /**< pace of reading the instance list */
	uint64_t seed;	    /**< jitter of retries */
	bool watch;	    /**< this instance watches; see platform_watch */
	/** Called with the full list, on the loop's thread. */
	void (*instances)(void *owner, const struct platform_instance *list,
			  uint32_t count);
};

struct platform *platform_new(struct loop *loop,
			      const struct platform_options *options,
			      struct sink sink);
void platform_free(struct platform *p);
/** Starts or ends watching; without it configuration comes from peers. */
void platform_watch(struct platform *p, bool watch);
/** Publishes status of a group, best effort, newest wins. */
void platform_announce(struct platform *p, const char *database,
		       const char *primary, uint64_t term);
/** Calls made so far, for metrics. */
uint64_t platform_calls(const struct platform *p);

#endif
