/**
 * @file token.h
 * Session tokens: per database the newest mark that the session wrote or
 * saw. Bound to an account, versioned, bounded, authenticated.
 */
#ifndef TOKEN_H
#define TOKEN_H

#include "settings.h"

/** One database per contract entry, so a token never overflows. */
#define TOKEN_ENTRIES_MAX CONTRACT_DATABASES_MAX
#define TOKEN_TEXT_BYTES 1024

struct token_entry {
	hm_id database;
	struct log_pos floor;
	bool unsure; /**< a write of unknown outcome since the last sure one */
};

struct token {
	uint64_t binding; /**< hash of the key's account or key */
	uint32_t count;
	struct token_entry entries[TOKEN_ENTRIES_MAX];
};

/** Text form, NUL-terminated. */
void token_write(const struct token *t, const uint8_t secret[SECRET_BYTES],
		 char out[TOKEN_TEXT_BYTES]);
/** False when forged, damaged, too long or of another version. */
bool token_read(struct token *t, const uint8_t secret[SECRET_BYTES],
		const char *text, size_t bytes);
/** Entry of a database, NULL when none. */
const struct token_entry *token_find(const struct token *t, hm_id database);
/** Adds what @a other knows; false when there is no room for it. */
bool token_join(struct token *t, const struct token *other);
/** Whether a mark of @a database can be kept. */
bool token_has_room(const struct token *t, hm_id database);
/**
 * Raises the floor by the mark of a result, or resets it as told. A result
 * that is unsure marks the entry so until a later result without error is not.
 * @return false when the token is full; nothing changed then.
 */
bool token_merge(struct token *t, const struct result *result);

#endif
