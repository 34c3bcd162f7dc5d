/**
 * @file settings.h
 * Settings of one instance, read from JSON. Unknown fields, wrong types, values
 * out of range and contradictory values are errors.
 */
#ifndef SETTINGS_H
#define SETTINGS_H

#include "../core/core.h"

#define SETTINGS_FAULT_BYTES 512
#define PATH_BYTES 256
#define SECRET_BYTES 32
#define SEEDS_MAX 16

struct settings {
	char instance[NAME_BYTES];
	char zone[NAME_BYTES];
	char zones[ZONES_MAX][NAME_BYTES];
	uint16_t zone_count;
	char listen_clients[ADDRESS_BYTES];
	char listen_peers[ADDRESS_BYTES];
	char listen_operators[ADDRESS_BYTES]; /**< status and metrics */
	char platform[ADDRESS_BYTES];
	char seeds[SEEDS_MAX]
		  [ADDRESS_BYTES]; /**< peers to connect to at start */
	uint32_t seed_count;
	char tls_certificate[PATH_BYTES]; /**< empty: no TLS */
	char tls_key[PATH_BYTES];
	uint8_t token_secret
		[SECRET_BYTES]; /**< must be the same at all instances */
	char trace[PATH_BYTES]; /**< file; empty: no trace is recorded */
	char log_level[16];
	uint32_t body_limit; /**< most bytes of a request body */
	/** largest number of client connections */
	uint32_t connection_limit;
	uint32_t header_limit;	  /**< most bytes of all headers of a request */
	uint32_t parameter_limit; /**< most parameters of a statement */
	uint32_t rows_limit;	  /**< most rows of a result */
	uint32_t answer_limit;	  /**< most bytes of a result */
	/** deadline of a request without one, from its arrival */
	hm_time deadline_default;
	hm_time deadline_limit; /**< longest deadline of a request */
	hm_time stop_limit;	/**< longest graceful shutdown */
	/** longest time to open a connection to an endpoint */
	hm_time connect_limit;
	/** longest time of a control command to an endpoint */
	hm_time control_limit;
	hm_time platform_call_limit; /**< see struct platform_options */
	hm_time platform_watch_wait;
	hm_time platform_list_every;
	struct core_options core; /**< identity and limits of the core */
};

/**
 * Sets the defaults of all optional fields and random IDs for the incarnation
 * and the seed; zeroes the other fields.
 */
void settings_default(struct settings *s);
/**
 * Parses JSON text; @a file is used in the error text only.
 * @return false, with one line "FILE: PATH: found X, allowed Y" in @a fault,
 * when the text is invalid
 */
bool settings_parse(struct settings *s, const char *file, const char *text,
		    char fault[SETTINGS_FAULT_BYTES]);
/** Text of a file, to be freed with free(); NULL with a line in @a fault. */
char *settings_load(const char *file, char fault[SETTINGS_FAULT_BYTES]);
/** Loads and parses a file. */
bool settings_read(struct settings *s, const char *file,
		   char fault[SETTINGS_FAULT_BYTES]);

#endif
