/** @file field_lists.c Reads zones, addresses and the log level of settings. */
#include "field_lists.h"

#include <stdio.h>
#include <string.h>

static const char *const log_levels[] = { "error", "warning", "info", "debug" };

bool list_zones(const json_t *root, char (*zones)[NAME_BYTES], uint16_t *count,
		struct fault *fault)
{
	const json_t *list = json_object_get(root, "zones");
	const char *text;
	size_t i, k;

	if (!fault_array(fault, "$.zones", list, 1, ZONES_MAX))
		return false;
	for (i = 0; i < json_array_size(list); i++) {
		char path[32];

		snprintf(path, sizeof(path), "$.zones[%zu]", i);
		text = fault_name(fault, path, json_array_get(list, i));
		if (!text)
			return false;
		for (k = 0; k < i; k++)
			if (!strcmp(zones[k], text))
				return fault_set(fault, path, text,
						 "each zone once");
		snprintf(zones[i], NAME_BYTES, "%s", text);
	}
	*count = (uint16_t)json_array_size(list);
	return true;
}

bool list_regions(const json_t *root, const char (*zones)[NAME_BYTES],
		  uint16_t count, char (*regions)[NAME_BYTES],
		  struct fault *fault)
{
	const json_t *object = json_object_get(root, "regions"), *value;
	const char *text;
	char path[NAME_BYTES + 16];
	uint16_t i;

	if (object && !json_is_object(object))
		return fault_value(fault, "$.regions", object,
				   "an object of zone and region names");
	for (i = 0; i < count; i++) {
		value = json_object_get(object, zones[i]);
		snprintf(path, sizeof(path), "$.regions.%s", zones[i]);
		text = value ? fault_name(fault, path, value) : zones[i];
		if (!text)
			return false;
		snprintf(regions[i], NAME_BYTES, "%s", text);
	}
	return true;
}

bool list_addresses(const json_t *root, const char *field,
		    char (*out)[ADDRESS_BYTES], uint32_t *count,
		    struct fault *fault)
{
	const json_t *list = json_object_get(root, field);
	const char *text;
	char path[64];
	size_t i;

	if (!list)
		return true;
	snprintf(path, sizeof(path), "$.%s", field);
	if (!fault_array(fault, path, list, 0, SEEDS_MAX))
		return false;
	for (i = 0; i < json_array_size(list); i++) {
		snprintf(path, sizeof(path), "$.%s[%zu]", field, i);
		text = fault_address(fault, path, json_array_get(list, i));
		if (!text)
			return false;
		snprintf(out[i], ADDRESS_BYTES, "%s", text);
	}
	*count = (uint32_t)json_array_size(list);
	return true;
}

bool list_zone_index(const char (*zones)[NAME_BYTES], uint16_t count,
		     const char *zone, uint16_t *index, struct fault *fault)
{
	uint16_t i;

	for (i = 0; i < count; i++)
		if (!strcmp(zones[i], zone)) {
			*index = i;
			return true;
		}
	return fault_set(fault, "$.zone", zone, "one of $.zones");
}

bool list_log_level(const char *level, struct fault *fault)
{
	size_t i;

	for (i = 0; i < sizeof(log_levels) / sizeof(log_levels[0]); i++)
		if (!strcmp(level, log_levels[i]))
			return true;
	return fault_set(fault, "$.log_level", level,
			 "error, warning, info or debug");
}
