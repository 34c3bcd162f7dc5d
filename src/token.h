/**
 * @file token.h
 * Session tokens: for each database, the newest log position that the session
 * wrote or read. A token is bound to one account, versioned, of limited size
 * and authenticated by a keyed hash.
 */
#ifndef TOKEN_H
#define TOKEN_H

#include "settings.h"

/**
 * A contract lists at most this many databases: a token has an entry for each.
 */
#define TOKEN_ENTRIES_MAX CONTRACT_DATABASES_MAX
#define TOKEN_TEXT_BYTES 1024

/** State of a session for one database. */
struct token_entry {
	hm_id database;
	struct log_pos floor; /**< newest position the session wrote or read */
	/** A write had an unknown outcome, and no statement succeeded since. */
	bool unsure;
};

/** A decoded session token. */
struct token {
	/**
	 * what the token is bound to: the account of the API key, or a hash of
	 * the key
	 */
	uint64_t binding;
	uint32_t count;
	struct token_entry entries[TOKEN_ENTRIES_MAX];
};

/** Encodes @a t as NUL-terminated text. */
void token_write(const struct token *t, const uint8_t secret[SECRET_BYTES],
		 char out[TOKEN_TEXT_BYTES]);
/** Decodes a token; false if forged, damaged or of another version. */
bool token_read(struct token *t, const uint8_t secret[SECRET_BYTES],
		const char *text, size_t bytes);
/** The entry of @a database in the token; NULL if there is none. */
const struct token_entry *token_find(const struct token *t, hm_id database);
/**
 * Adds the entries of @a other; of two floors for a database, the higher one
 * remains. Returns false if the entries exceed the capacity.
 */
bool token_join(struct token *t, const struct token *other);
/** Whether @a t has, or can take, an entry of @a database. */
bool token_has_capacity(const struct token *t, hm_id database);
/**
 * Raises the floor of the result's database to the result's position, or sets
 * it to that position if result->reset_floor. An unsure result marks the entry
 * unsure; a later result that succeeds or resets the floor clears that flag.
 * @return false if the token is full; it is unchanged then.
 */
bool token_add_result(struct token *t, const struct result *result);

#endif
