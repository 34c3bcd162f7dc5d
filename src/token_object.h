/**
 * @file token_object.h
 * The object of a service in the store: its newest fencing token and its record
 * of voters (core/voters.h), which one conditional write changes together.
 */
#ifndef TOKEN_OBJECT_H
#define TOKEN_OBJECT_H

#include "site_api.h"

/** The newest token, 0 if there is none. */
uint64_t token_object_token(const struct store_object *o);
/** Whether the newest token was taken by the attempt with this number. */
bool token_object_has_nonce(const struct store_object *o, uint64_t nonce);
/** Reads the record; false, with an empty one of that version, for none. */
bool token_object_read_voters(const json_t *value, struct store_version at,
			      struct voter_record *out);

/** Value with a new token for @a holder; the caller owns it. */
json_t *token_object_value(const char *holder, uint64_t token, uint64_t nonce);
/** Copy of @a value with another record; the caller owns it. */
json_t *token_object_with_voters(const json_t *value,
				 const struct voter_record *r);

#endif
