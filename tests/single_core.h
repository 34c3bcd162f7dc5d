/**
 * @file single_core.h
 * One core over fake members in virtual time, recorded to a trace.
 */
#ifndef SOLO_H
#define SOLO_H

#include <glib.h>

#include "../core/rng.h"
#include "../src/trace.h"
#include "fakes.h"

#define SINGLE_CORE_REQUESTS 120
#define SINGLE_CORE_KEY_HI 0x1122334455667788ULL
#define SINGLE_CORE_KEY_LO 0x99aabbccddeeff00ULL

/** One core over fake members, all of it recorded. */
struct single_core {
	struct core *core;
	struct trace *trace;
	struct fakes fakes;
	struct actions actions;
	GQueue waiting; /**< struct event, answers of members on their way */
	struct rng rng;
	hm_time now;
	uint64_t answers;
	uint64_t answered_ok;
	uint64_t writes;
	struct log_pos floor;
	GHashTable *endpoints; /**< of connections by number */
};

/**
 * Records one run of writes and reads with the loss of the primary half-way.
 * @return text of the trace, a new string; @a s keeps the counts only
 */
char *single_core_record(uint64_t seed, struct single_core *s);

#endif
