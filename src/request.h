/**
 * @file request.h
 * Bodies of requests as callers send them, read strictly, and the text form
 * of transaction numbers.
 */
#ifndef REQUEST_H
#define REQUEST_H

#include <glib.h>

#include "settings.h"

/** A request's body, checked; defaults filled in. */
struct request {
	enum op op;
	char database[NAME_BYTES]; /**< empty for the end of a transaction */
	bool idempotent;
	hm_time max_age;
	hm_time deadline; /**< never later than the limit of the settings */
	struct tx_id tx;
	hm_id tx_database; /**< of @a tx */
	GBytes *body;	   /**< SQL and parameters, owned; NULL for none */
};

/** Why a body was refused. */
struct refusal {
	enum error error;
	char text[SETTINGS_FAULT_BYTES];
};

/**
 * Reads a body of @a op; OP_READ stands for both reads and writes, which the
 * body's "mode" tells apart.
 * @return false with the reason in @a why; nothing is owned then.
 */
bool request_parse(struct request *r, enum op op, const char *text,
		   size_t bytes, const struct settings *settings, hm_time now,
		   struct refusal *why);

#define TX_TEXT_BYTES 68
/** Writes "life-number-endpoint-database", each in hexadecimal. */
void tx_text(struct tx_id tx, hm_id database, char out[TX_TEXT_BYTES]);
bool tx_parse(const char *text, size_t bytes, struct tx_id *tx,
	      hm_id *database);

#endif
