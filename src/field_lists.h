/** @file field_lists.h Parts that the settings of both kinds have. */
#ifndef FIELD_LISTS_H
#define FIELD_LISTS_H

#include "fields.h"

/** Reads "zones", each zone once, ZONES_MAX at most. */
bool list_zones(const json_t *root, char (*zones)[NAME_BYTES], uint16_t *count,
		struct fault *fault);
/** Reads an array of addresses that may be missing, SEEDS_MAX at most. */
bool list_addresses(const json_t *root, const char *field,
		    char (*out)[ADDRESS_BYTES], uint32_t *count,
		    struct fault *fault);
/** Place of @a zone among the zones. */
bool list_zone_index(const char (*zones)[NAME_BYTES], uint16_t count,
		     const char *zone, uint16_t *index, struct fault *fault);
bool list_log_level(const char *level, struct fault *fault);

#endif
