/**
 * @file store.h
 * Stand-in for the platform's object API over HTTP, on one thread, with
 * injected faults.
 */
#ifndef STORE_H
#define STORE_H

#include "../core/types.h"

struct store;

struct store_faults {
	bool down;	   /**< answers every call with status 503 */
	bool silent_watch; /**< watches are never answered */
	/**
	 * makes the change that a call asks for, then closes the connection
	 * without an answer
	 */
	bool lose_answer;
	bool stale_reads; /**< reads show the state before the last change */
	hm_time slow;	  /**< delay of every answer */
	uint32_t calls_limit; /**< calls per second, 0: no limit */
};

struct store_counters {
	uint64_t reads;
	uint64_t writes;
	uint64_t watches;
	uint64_t refused;
};

/** Listens on "IP:port", port 0 for any free port; NULL on failure. */
struct store *store_new(const char *address);
/** Actual address as "IP:port". */
const char *store_address(const struct store *s);
void store_start(struct store *s);
void store_free(struct store *s);
/** Replaces the faults. This and all below is callable from any thread. */
void store_set_faults(struct store *s, const struct store_faults *faults);
void store_get_counters(struct store *s, struct store_counters *out);
/** Sets an object unconditionally; @a value is JSON text. */
bool store_put(struct store *s, const char *kind, const char *name,
	       const char *value);
/** Sets the list of instances; @a items is a JSON array as text. */
bool store_instances(struct store *s, const char *items);

#endif
