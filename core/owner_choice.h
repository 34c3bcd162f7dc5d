/**
 * @file owner_choice.h
 * Choice of the owner of a key among the live instances, by weighted
 * rendezvous hashing: only the keys of an instance that joins, stops or changes
 * its weight move. The arithmetic uses integers only, so that all builds agree.
 */
#ifndef OWNER_CHOICE_H
#define OWNER_CHOICE_H

#include "message.h"

/** A live instance. */
struct owner_candidate {
	uint64_t incarnation;
	hm_id instance;
	uint16_t zone;
	bool leaving; /**< by its own heartbeat: owner only where none else is */
	bool weighted; /**< its build chooses owners by capacity */
	struct capacity capacity;
};

struct owner_choice;

struct owner_choice *owner_choice_new(void);
void owner_choice_free(struct owner_choice *c);

/** Begins a new set of candidates, of a version that is not 0. */
void owner_choice_begin(struct owner_choice *c, uint64_t version);
/** Version of the candidates, 0: there were none yet. */
uint64_t owner_choice_version(const struct owner_choice *c);
void owner_choice_add(struct owner_choice *c, const struct owner_candidate *o);
/** Computes the weights of the candidates. */
void owner_choice_end(struct owner_choice *c);
/**
 * Finds the owner of @a key in @a zone; when that zone has no candidate and
 * @a anywhere is set, among those of all zones. Results are cached until the
 * candidates change.
 * @return its incarnation, 0 when there is none
 */
uint64_t owner_choice_find(struct owner_choice *c, hm_id key, uint16_t zone,
			   bool anywhere);

#endif
