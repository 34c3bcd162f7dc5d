/**
 * @file field_lists.h
 * Reads the settings whose value is a list or one text out of a list. Used for
 * both kinds of settings files.
 */
#ifndef FIELD_LISTS_H
#define FIELD_LISTS_H

#include "fields.h"

/**
 * Reads "regions", an object {ZONE: REGION}, to be called after list_zones(). A
 * zone that it does not name is a region of its own name.
 */
bool list_regions(const json_t *root, const char (*zones)[NAME_BYTES],
		  uint16_t count, char (*regions)[NAME_BYTES],
		  struct fault *fault);
/** Reads "zones": 1 to ZONES_MAX different names. */
bool list_zones(const json_t *root, char (*zones)[NAME_BYTES], uint16_t *count,
		struct fault *fault);
/** Reads an optional array of up to SEEDS_MAX addresses. */
bool list_addresses(const json_t *root, const char *field,
		    char (*out)[ADDRESS_BYTES], uint32_t *count,
		    struct fault *fault);
/** Finds the index of @a zone in the zones; false when it is not there. */
bool list_zone_index(const char (*zones)[NAME_BYTES], uint16_t count,
		     const char *zone, uint16_t *index, struct fault *fault);
/**
 * Checks the name of a log level; false, with a line in @a fault, when @a level
 * is none.
 */
bool list_log_level(const char *level, struct fault *fault);

#endif
