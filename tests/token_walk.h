/**
 * @file token_walk.h
 * Random walk over monitors that take fencing tokens from a store, which is
 * sometimes restored from an older copy. The receiver of a token does not check
 * it. No two monitors may use the same token, and none may be used after a
 * newer one.
 */
#ifndef TOKEN_WALK_H
#define TOKEN_WALK_H

#include <stdbool.h>

#include "../core/rng.h"

#define TOKEN_MONITORS 2
#define TOKEN_ERAS 40

/** The store: the newest token of each era, in one object per era. */
struct token_store {
	uint64_t era;
	uint64_t newest[TOKEN_ERAS];
	uint64_t revision[TOKEN_ERAS]; /**< revision of each era's object */
	uint64_t newest_revision;
};

/** A monitor that is about to promote; it may be delayed at any step. */
struct token_monitor {
	bool has_read;
	uint64_t era;	   /**< era of the store at its read */
	uint64_t newest;   /**< newest token that it read */
	uint64_t revision; /**< its write needs this revision */
	uint64_t token;	   /**< token taken, 0 for none */
};

struct token_walk {
	bool no_era; /**< tokens without an era, in one object */
	struct token_store store;
	struct token_store copy;
	struct token_monitor monitors[TOKEN_MONITORS];
	uint64_t newest_used;
	uint64_t used_by; /**< index of the monitor that used newest_used */
	uint32_t calls;
	/** number of uses of an older token or of another monitor's token */
	uint32_t broken;
	uint32_t restores;
};

/** Restores the store from its last copy, or makes a new copy. */
void token_walk_restore(struct token_walk *w, struct rng *rng);
/** Runs one step of a monitor. @return whether it makes a promote call */
bool token_walk_step(struct token_walk *w, struct rng *rng);

#endif
