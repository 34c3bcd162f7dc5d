/**
 * @file request.h
 * Parses request bodies from clients, where unknown fields are errors, and the
 * text form of transaction IDs.
 */
#ifndef REQUEST_H
#define REQUEST_H

#include <glib.h>

#include "settings.h"

/** A valid request body, with defaults for absent fields. */
struct request {
	enum op op;
	char database[NAME_BYTES]; /**< empty for commit and rollback */
	bool idempotent;
	hm_time max_age;
	hm_time deadline; /**< at most settings.deadline_limit from arrival */
	struct tx_id tx;
	hm_id tx_database; /**< database of @a tx */
	GBytes *body;	   /**< SQL and parameters, owned; NULL for none */
};

/** Why a body was refused. */
struct refusal {
	enum error error;
	char text[SETTINGS_FAULT_BYTES];
};

/**
 * Parses the body of operation @a op. OP_READ covers reads and writes: field
 * "mode" of the body decides which. @a now is the arrival time.
 * @return false with the reason in @a why; @a r owns nothing then.
 */
bool request_parse(struct request *r, enum op op, const char *text,
		   size_t bytes, const struct settings *settings, hm_time now,
		   struct refusal *why);

#define TX_TEXT_BYTES 68
/**
 * Writes a transaction ID and its database as
 * "incarnation-seq-endpoint-database", each in hexadecimal.
 */
void tx_text(struct tx_id tx, hm_id database, char out[TX_TEXT_BYTES]);
bool tx_parse(const char *text, size_t bytes, struct tx_id *tx,
	      hm_id *database);

#endif
