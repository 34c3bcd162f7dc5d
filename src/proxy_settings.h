/**
 * @file proxy_settings.h
 * Settings of an instance that serves sessions over the line protocol, read
 * from JSON. Every field is validated, as in settings.h.
 */
#ifndef PROXY_SETTINGS_H
#define PROXY_SETTINGS_H

#include "../core/proxy.h"
#include "fields.h"

struct proxy_settings {
	char instance[NAME_BYTES];
	char zone[NAME_BYTES];
	char zones[ZONES_MAX][NAME_BYTES];
	/** region of each zone; without one a zone is its own region */
	char regions[ZONES_MAX][NAME_BYTES];
	uint16_t zone_count;
	uint16_t zone_index;
	char listen_sessions[ADDRESS_BYTES];
	char listen_peers[ADDRESS_BYTES];
	char listen_health[ADDRESS_BYTES];
	char health_path[PATH_BYTES];
	char listen_metrics[ADDRESS_BYTES]; /**< empty: no metrics */
	char metrics_path[PATH_BYTES];
	char seeds[SEEDS_MAX]
		  [ADDRESS_BYTES]; /**< "host:port" of other instances */
	uint32_t seed_count;
	char store[ADDRESS_BYTES];
	char promote_calls[ADDRESS_BYTES];
	/** whether the platform refuses promote calls with an older token */
	bool promote_fenced;
	char log_level[16];
	uint32_t connection_limit; /**< largest number of client sessions */
	/**
	 * Time for which a leaving member still serves. It gets new work for
	 * three quarters of this time.
	 */
	hm_time drain_limit;
	/** Time from the stop signal until the process is killed. */
	hm_time grace;
	/**
	 * Time after which nothing may be sent to members of an evacuated zone,
	 * 0: operators evacuate no zones.
	 */
	hm_time evacuation_limit;
	hm_time store_call_limit;
	hm_time store_watch_wait;
	hm_time store_list_every;
	struct scheduling_options scheduling;
	struct capacity capacity;
};

void proxy_settings_default(struct proxy_settings *s);
/** Parses the JSON text of a settings file; works like settings_parse(). */
bool proxy_settings_parse(struct proxy_settings *s, const char *file,
			  const char *text, char fault[SETTINGS_FAULT_BYTES]);
/** Reads a settings file; works like settings_read(). */
bool proxy_settings_read(struct proxy_settings *s, const char *file,
			 char fault[SETTINGS_FAULT_BYTES]);
/** The table of fields, for the documentation and its test. */
const struct field *proxy_settings_fields(size_t *count);

#endif
