/**
 * @file store.h
 * Stand-in for the platform's object API over HTTP, one thread, with the
 * faults that the platform can have.
 */
#ifndef STORE_H
#define STORE_H

#include "../core/types.h"

struct store;

struct store_faults {
	bool down;	   /**< refuses every call */
	bool silent_watch; /**< watches never answer */
	bool lose_answer;  /**< changes take effect, answers are dropped */
	bool stale_reads;  /**< reads show the state before the last change */
	hm_time slow;	   /**< delay of every answer */
	uint32_t calls_limit; /**< calls per second, 0 for none */
};

struct store_counters {
	uint64_t reads;
	uint64_t writes;
	uint64_t watches;
	uint64_t refused;
};

/** @a address "IP:port", port 0 for any; NULL when it cannot listen. */
struct store *store_new(const char *address);
/** Where it listens, "IP:port". */
const char *store_address(const struct store *s);
void store_start(struct store *s);
void store_free(struct store *s);
/** The rest is callable from any thread. */
void store_set_faults(struct store *s, const struct store_faults *faults);
void store_get_counters(struct store *s, struct store_counters *out);
/** Puts an object without condition; value is JSON text. */
bool store_put(struct store *s, const char *kind, const char *name,
	       const char *value);
/** Sets the list of instances as JSON text of its items. */
bool store_instances(struct store *s, const char *items);

#endif
