/**
 * @file single_core.h
 * Runs one core with simulated group members in virtual time, and records a
 * trace.
 */
#ifndef SINGLE_CORE_H
#define SINGLE_CORE_H

#include <glib.h>

#include "../core/rng.h"
#include "../src/trace.h"
#include "fakes.h"

#define SINGLE_CORE_REQUESTS 120
#define SINGLE_CORE_KEY_HI 0x1122334455667788ULL
#define SINGLE_CORE_KEY_LO 0x99aabbccddeeff00ULL

/** State of a run. */
struct single_core {
	struct core *core;
	struct trace *trace;
	struct fakes fakes;
	struct actions actions;
	GQueue replies; /**< of struct event, not yet delivered */
	struct rng rng;
	hm_time now;
	uint64_t answers;      /**< answers to requests */
	uint64_t answered_ok;  /**< of these, without an error */
	uint64_t writes;       /**< sent to members that were up */
	struct log_pos floor;  /**< highest position in any answer */
	GHashTable *endpoints; /**< member index by connection number */
};

/**
 * Records one run of reads and writes; member 0 fails halfway.
 * @return text of the trace, a new string; afterwards only the counts in @a s
 * are valid
 */
char *single_core_record(uint64_t seed, struct single_core *s);

#endif
