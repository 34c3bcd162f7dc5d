/**
 * @file status.h
 * Figures of an instance as metrics text and as JSON.
 */
#ifndef STATUS_H
#define STATUS_H

#include "settings.h"

/** All counters of an instance at one moment. */
struct status {
	struct core_counters core;
	uint32_t bodies;
	uint64_t peer_dropped;
	uint64_t platform_calls;
};

/** New string in the text exposition format. */
char *status_metrics(const struct status *s);
/** New string; config_digest is hexadecimal text. */
char *status_json(const struct status *s, const struct settings *settings);

#endif
