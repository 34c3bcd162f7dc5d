/**
 * @file spec.h
 * Contracts and database groups as JSON: strict parsing with an error that
 * names the JSON path, and writing.
 */
#ifndef SPEC_H
#define SPEC_H

#include <jansson.h>

#include "../core/types.h"

#define SPEC_FAULT_BYTES 256

/** Zone names by number, borrowed. */
struct zone_names {
	const char *const *names;
	uint16_t count;
};

/**
 * Parses the value of a contract object.
 * @param name account name
 * @param fault receives "path: found, allowed" when false is returned
 */
bool spec_contract(const char *name, const json_t *value, uint64_t version,
		   struct contract *out, char fault[SPEC_FAULT_BYTES]);
/** JSON value of a contract, a new reference. */
json_t *spec_contract_json(const struct contract *contract);
bool spec_database(const char *name, const json_t *value, uint64_t version,
		   struct zone_names zones, struct database_spec *out,
		   char fault[SPEC_FAULT_BYTES]);

#endif
