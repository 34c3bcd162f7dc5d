/**
 * @file reserve_object.h
 * Token reserves as they are recorded in the platform's store, one object per
 * instance, and the calls to the store that read and change them.
 */
#ifndef RESERVE_OBJECT_H
#define RESERVE_OBJECT_H

#include "types.h"

/** Reserve of one account, in whole tokens. */
struct reserve_entry {
	hm_id account;
	uint32_t tokens;
};

/** The object of one instance. */
struct reserve_object {
	hm_id instance;	      /**< names the object */
	uint64_t revision;    /**< of the store; 0: it does not exist */
	uint64_t era;	      /**< of the store, when it was written */
	uint64_t incarnation; /**< that wrote it */
	uint64_t sequence;    /**< counts the writes of that incarnation */
	uint16_t zone;	      /**< whose shares the reserves are part of */
	uint32_t count;
	uint32_t capacity;
	struct reserve_entry *entries; /**< owned */
};

void reserve_object_add(struct reserve_object *o, hm_id account,
			uint32_t tokens);
/** Tokens of @a account, 0 when the object has no reserve of it. */
uint32_t reserve_object_tokens(const struct reserve_object *o, hm_id account);
/** The copy owns its entries. */
struct reserve_object reserve_object_copy(const struct reserve_object *o);
/** Frees the entries and zeroes the object. */
void reserve_object_clear(struct reserve_object *o);

enum reserve_call_kind {
	RESERVE_READ, /**< read the object of an instance */
	/** Write it if its revision is @a revision, and read it afterwards. */
	RESERVE_WRITE,
	RESERVE_LIST /**< read the objects of all instances */
};

struct reserve_call {
	enum reserve_call_kind kind;
	/** Object to read, or its new content and the expected revision. */
	struct reserve_object object;
};

/**
 * Objects read. The outcome of a write is told from the object as it was read
 * afterwards, not from the answer to the write, which may be lost.
 */
struct reserve_answer {
	bool ok;      /**< the objects were read */
	uint64_t era; /**< of the store when it answered */
	uint32_t count;
	const struct reserve_object *list;
};

#endif
