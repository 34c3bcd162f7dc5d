/**
 * @file pgproto.h
 * Server side of the PostgreSQL frontend/backend protocol 3.0: parses messages
 * of the client and builds messages of the server. Text format only.
 */
#ifndef PGPROTO_H
#define PGPROTO_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define PG_PROTOCOL 196608
#define PG_CANCEL 80877102
#define PG_SSL 80877103
#define PG_GSSENC 80877104

/** One message of a client; @a body points into the input. */
struct pg_message {
	uint8_t type; /**< 0 for the first message of a connection */
	const uint8_t *body;
	uint32_t bytes;
	uint32_t total_bytes; /**< length with the header */
};

enum pg_next { PG_INCOMPLETE, PG_MESSAGE, PG_MALFORMED };

/** Next message of an input; the @a first of a connection has no type byte. */
enum pg_next pg_next(const GByteArray *in, bool first, struct pg_message *out);

/** Reads fields in order; sets @a truncated when the message is too short. */
struct pg_reader {
	const uint8_t *at;
	const uint8_t *end;
	bool truncated;
};

struct pg_reader pg_reader(const struct pg_message *m);
uint32_t pg_read_u32(struct pg_reader *r);
uint16_t pg_read_u16(struct pg_reader *r);
/** Text up to a NUL, borrowed; "" when truncated. */
const char *pg_read_text(struct pg_reader *r);
/** Copy of a text of @a bytes; NULL when truncated. */
char *pg_read_bytes(struct pg_reader *r, uint32_t bytes);

void pg_write_auth_ok(GByteArray *out);
void pg_write_parameter(GByteArray *out, const char *name, const char *value);
void pg_write_key(GByteArray *out, uint32_t pid, uint32_t secret);
/** @param status 'I' idle, 'T' in a transaction, 'E' in a failed one */
void pg_write_ready(GByteArray *out, char status);
/** Appends a message without a body, such as ParseComplete. */
void pg_write_empty(GByteArray *out, char type);
void pg_write_columns(GByteArray *out, char *const *names,
		      const uint32_t *types, uint32_t count);
void pg_write_row(GByteArray *out, char *const *values, uint32_t count);
void pg_write_complete(GByteArray *out, const char *tag);
/** @param severity "ERROR", or "FATAL" before the connection is closed */
void pg_write_error(GByteArray *out, const char *severity, const char *sqlstate,
		    const char *message);

#endif
