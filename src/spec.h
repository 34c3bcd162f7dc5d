/**
 * @file spec.h
 * Contracts and database groups as JSON: writing, and strict parsing whose
 * error text contains the JSON path.
 */
#ifndef SPEC_H
#define SPEC_H

#include <jansson.h>

#include "../core/types.h"

#define SPEC_FAULT_BYTES 256

/** Zone names, indexed by zone number; borrowed. */
struct zone_names {
	const char *const *names;
	uint16_t count;
	/** Region of each zone; NULL: each zone is a region of its own. */
	const char *const *regions;
};

/** Finds the number of a zone; false when there is no zone of that name. */
bool zone_names_find(struct zone_names zones, const char *name, uint16_t *out);

/**
 * Parses the value of a contract object.
 * @param name account name
 * @param version stored in the contract
 * @param fault receives the error text "PATH: found X, allowed Y" when false is
 * returned
 */
bool spec_contract(const char *name, const json_t *value, uint64_t version,
		   struct contract *out, char fault[SPEC_FAULT_BYTES]);
/** The contract as the JSON value of an object, as a new reference. */
json_t *spec_contract_json(const struct contract *contract);
/** Parses the value of a database object, as spec_contract() does. */
bool spec_database(const char *name, const json_t *value, uint64_t version,
		   struct zone_names zones, struct database_spec *out,
		   char fault[SPEC_FAULT_BYTES]);

#endif
