/**
 * @file token_walk.h
 * Keepers that take fencing tokens from a store which comes back from older
 * copies, and use them where nobody checks. No two use the same, and none is
 * used after a newer one.
 */
#ifndef TOKEN_WALK_H
#define TOKEN_WALK_H

#include <stdbool.h>

#include "../core/rng.h"

#define TOKEN_MONITORS 2
#define TOKEN_ERAS 40

/** The store: the newest token of each era. */
struct token_store {
	uint64_t era;
	uint64_t newest[TOKEN_ERAS];
	uint64_t revision[TOKEN_ERAS]; /**< of the object of that era */
	uint64_t newest_revision;
};

/** A keeper on its way to a promotion; it may be held up at any step. */
struct token_monitor {
	bool has_read;
	uint64_t era;	   /**< when it read */
	uint64_t newest;   /**< what it read */
	uint64_t revision; /**< condition of its write */
	uint64_t token;	   /**< taken, 0 for none */
};

struct token_walk {
	bool no_era; /**< tokens without an era, in one object */
	struct token_store store;
	struct token_store copy;
	struct token_monitor monitors[TOKEN_MONITORS];
	uint64_t newest_used;
	uint64_t used_by; /**< keeper of that token */
	uint32_t calls;
	uint32_t broken; /**< calls with an older token, or another's */
	uint32_t restores;
};

/** The store comes back from its last copy, or a new copy is made. */
void token_walk_restore(struct token_walk *w, struct rng *rng);
/** One step of a keeper. @return whether it makes the call to promote */
bool token_walk_step(struct token_walk *w, struct rng *rng);

#endif
