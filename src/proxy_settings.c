/** @file proxy_settings.c Settings of a proxy, read by a table of fields. */
#include "proxy_settings.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "field_lists.h"

#define AT(member) offsetof(struct proxy_settings, member)
#define SIZE(member) (sizeof(((struct proxy_settings *)0)->member) - 1)
#define FIELD(json_path, type, member, must, from, to)                 \
	{                                                              \
		.path = (json_path), .kind = (type), .at = AT(member), \
		.required = (must), .least = (from), .most = (to)      \
	}

#define PROCESSOR_MILLIS_MAX 64000
#define LINK_MBIT_MAX 1000000

static const struct field fields[] = {
	FIELD("instance", FIELD_NAME, instance, true, 0, SIZE(instance)),
	FIELD("zone", FIELD_NAME, zone, true, 0, SIZE(zone)),
	{ .path = "zones", .kind = FIELD_OTHER, .required = true },
	{ .path = "regions", .kind = FIELD_OTHER },
	FIELD("listen.sessions", FIELD_ADDRESS, listen_sessions, true, 0,
	      SIZE(listen_sessions)),
	FIELD("listen.peers", FIELD_ADDRESS, listen_peers, true, 0,
	      SIZE(listen_peers)),
	FIELD("listen.health", FIELD_ADDRESS, listen_health, true, 0,
	      SIZE(listen_health)),
	FIELD("listen.health_path", FIELD_TEXT, health_path, false, 0,
	      SIZE(health_path)),
	FIELD("listen.metrics", FIELD_ADDRESS, listen_metrics, false, 0,
	      SIZE(listen_metrics)),
	FIELD("listen.metrics_path", FIELD_TEXT, metrics_path, false, 0,
	      SIZE(metrics_path)),
	{ .path = "seeds", .kind = FIELD_OTHER },
	FIELD("store", FIELD_ADDRESS, store, true, 0, SIZE(store)),
	FIELD("promote_calls", FIELD_ADDRESS, promote_calls, true, 0,
	      SIZE(promote_calls)),
	FIELD("promote_fenced", FIELD_BOOL, promote_fenced, false, 0, 0),
	FIELD("log_level", FIELD_TEXT, log_level, false, 0, SIZE(log_level)),
	FIELD("limits.sessions", FIELD_COUNT, connection_limit, false, 1,
	      1000000),
	FIELD("timing.drain_ms", FIELD_MS, drain_limit, false, 100, 600000),
	{ .path = "timing.grace_s", .kind = FIELD_OTHER },
	FIELD("timing.evacuation_ms", FIELD_MS, evacuation_limit, false, 100,
	      600000),
	FIELD("timing.store_call_limit_ms", FIELD_MS, store_call_limit, false,
	      10, 60000),
	FIELD("timing.store_watch_wait_ms", FIELD_MS, store_watch_wait, false,
	      100, 30000),
	FIELD("timing.store_list_every_ms", FIELD_MS, store_list_every, false,
	      100, 300000),
	FIELD("scheduling.priority_tokens", FIELD_BOOL,
	      scheduling.priority_tokens, false, 0, 0),
	FIELD("scheduling.priority_queue", FIELD_BOOL,
	      scheduling.priority_queue, false, 0, 0),
	FIELD("scheduling.connection_queue", FIELD_BOOL,
	      scheduling.connection_queue, false, 0, 0),
	FIELD("scheduling.load_levels", FIELD_BOOL, scheduling.load_levels,
	      false, 0, 0),
	FIELD("scheduling.token_reserve", FIELD_BOOL, scheduling.token_reserve,
	      false, 0, 0),
	FIELD("scheduling.learned_placement", FIELD_BOOL,
	      scheduling.learned_placement, false, 0, 0),
	FIELD("scheduling.owner_capacity", FIELD_BOOL,
	      scheduling.owner_capacity, false, 0, 0),
	FIELD("capacity.processor_millis", FIELD_COUNT,
	      capacity.processor_millis, false, 1, PROCESSOR_MILLIS_MAX),
	{ .path = "capacity.processor_cores", .kind = FIELD_OTHER },
	{ .path = "capacity.link_mbit", .kind = FIELD_OTHER },
	FIELD("scheduling.restart_pace", FIELD_BOOL, scheduling.restart_pace,
	      false, 0, 0),
};

#define FIELD_COUNT_ALL (sizeof(fields) / sizeof(fields[0]))

#define GRACE_MAX_S 3600

const struct field *proxy_settings_fields(size_t *count)
{
	*count = FIELD_COUNT_ALL;
	return fields;
}

void proxy_settings_default(struct proxy_settings *s)
{
	memset(s, 0, sizeof(*s));
	snprintf(s->log_level, sizeof(s->log_level), "info");
	snprintf(s->health_path, sizeof(s->health_path), "/health");
	snprintf(s->metrics_path, sizeof(s->metrics_path), "/metrics");
	s->promote_fenced = true;
	s->connection_limit = 4000;
	s->drain_limit = 7 * HM_SEC;
	s->grace = 6 * HM_SEC;
	s->store_call_limit = 1 * HM_SEC;
	s->store_watch_wait = 25 * HM_SEC;
	s->store_list_every = 5 * HM_SEC;
	s->scheduling = scheduling_default();
}

/* Reads timing.grace_s, which is in seconds and may have a fraction. */
static bool read_grace(struct proxy_settings *s, const json_t *root,
		       struct fault *fault)
{
	const json_t *value =
		json_object_get(json_object_get(root, "timing"), "grace_s");
	double seconds;

	if (!value)
		return true;
	seconds = json_number_value(value);
	if (!json_is_number(value) || seconds < 0 || seconds > GRACE_MAX_S)
		return fault_value(fault, "$.timing.grace_s", value,
				   "seconds, 0 to 3600");
	s->grace = (hm_time)(seconds * HM_SEC);
	return true;
}

/*
 * Reads capacity.processor_cores, which may have a fraction: the platform's
 * template states cores and cannot multiply.
 */
static bool read_cores(struct proxy_settings *s, const json_t *capacity,
		       struct fault *fault)
{
	const json_t *value = json_object_get(capacity, "processor_cores");
	double millis = json_number_value(value) * 1000;

	if (!value)
		return true;
	if (json_object_get(capacity, "processor_millis"))
		return fault_value(fault, "$.capacity.processor_cores", value,
				   "nothing beside processor_millis");
	if (!json_is_number(value) || millis < 1 ||
	    millis > PROCESSOR_MILLIS_MAX)
		return fault_value(fault, "$.capacity.processor_cores", value,
				   "cores, 0.001 to 64");
	s->capacity.processor_millis = (uint32_t)(millis + 0.5);
	return true;
}

/* Reads capacity.link_mbit; a fraction is rounded up, so that it is not 0. */
static bool read_link(struct proxy_settings *s, const json_t *capacity,
		      struct fault *fault)
{
	const json_t *value = json_object_get(capacity, "link_mbit");
	double mbit = json_number_value(value);

	if (!value)
		return true;
	if (!json_is_number(value) || mbit <= 0 || mbit > LINK_MBIT_MAX)
		return fault_value(fault, "$.capacity.link_mbit", value,
				   "Mbit/s, above 0 to 1000000");
	s->capacity.link_mbit = (uint32_t)ceil(mbit);
	return true;
}

static bool read_capacity(struct proxy_settings *s, const json_t *root,
			  struct fault *fault)
{
	const json_t *capacity = json_object_get(root, "capacity");

	return read_cores(s, capacity, fault) && read_link(s, capacity, fault);
}

bool proxy_settings_parse(struct proxy_settings *s, const char *file,
			  const char *text, char fault[SETTINGS_FAULT_BYTES])
{
	struct fault f = { .file = file, .text = fault };
	json_t *root;
	bool ok;

	fault[0] = '\0';
	proxy_settings_default(s);
	root = fields_load(text, &f);
	if (!root)
		return false;
	ok = fields_read(fields, FIELD_COUNT_ALL, root, s, &f) &&
	     list_zones(root, s->zones, &s->zone_count, &f) &&
	     list_regions(root, (const char(*)[NAME_BYTES])s->zones,
			  s->zone_count, s->regions, &f) &&
	     list_addresses(root, "seeds", s->seeds, &s->seed_count, &f) &&
	     list_zone_index((const char(*)[NAME_BYTES])s->zones, s->zone_count,
			     s->zone, &s->zone_index, &f) &&
	     list_log_level(s->log_level, &f) && read_grace(s, root, &f) &&
	     read_capacity(s, root, &f);
	json_decref(root);
	return ok;
}

bool proxy_settings_read(struct proxy_settings *s, const char *file,
			 char fault[SETTINGS_FAULT_BYTES])
{
	char *text = settings_load(file, fault);
	bool ok = text && proxy_settings_parse(s, file, text, fault);

	free(text);
	return ok;
}
