/**
 * @file proxy_instance.h
 * One running proxy: its decisions, the tasks around them, and the loop that
 * carries them.
 */
#ifndef PROXY_INSTANCE_H
#define PROXY_INSTANCE_H

#include "line_protocol.h"
#include "proxy_settings.h"
#include "site_api.h"

struct proxy_instance;

/** The platform that it runs on. */
struct proxy_platform {
	const struct line_protocol *lines;
	const struct site_api *site;
};

/** NULL with a line in @a fault when it cannot start. */
struct proxy_instance *proxy_instance_new(const struct proxy_settings *settings,
					  const struct proxy_platform *platform,
					  char fault[SETTINGS_FAULT_BYTES]);
/** Serves until stopped; call on the thread that is to carry it. */
void proxy_instance_run(struct proxy_instance *i);
/** First call: graceful shutdown; second: at once. From a signal, too. */
void proxy_instance_stop(struct proxy_instance *i);
/** Reads the settings again. From a signal, too. */
void proxy_instance_reload(struct proxy_instance *i);
/** File to be read again when it changes. */
void proxy_instance_watch_file(struct proxy_instance *i, const char *file);
void proxy_instance_free(struct proxy_instance *i);

#endif
