/**
 * @file status.h
 * Metrics of an instance as text and as JSON.
 */
#ifndef STATUS_H
#define STATUS_H

#include "settings.h"

/** The metrics of an instance at one time. */
struct status {
	struct core_counters core;
	/** number of stored statement and result bodies */
	uint32_t bodies;
	uint64_t peer_dropped;	 /**< messages to peers that were dropped */
	uint64_t platform_calls; /**< calls to the platform's API */
};

/** The metrics in the Prometheus text format, as a new string. */
char *status_metrics(const struct status *s);
/**
 * The metrics as JSON, in a new string; config_digest is written as hexadecimal
 * text.
 */
char *status_json(const struct status *s, const struct settings *settings);

#endif
