/**
 * @file proxy_instance.h
 * A running proxy instance: the core of the proxy, its listeners and
 * connections, and the event loop that runs them.
 */
#ifndef PROXY_INSTANCE_H
#define PROXY_INSTANCE_H

#include "line_protocol.h"
#include "proxy_settings.h"
#include "site_api.h"

struct proxy_instance;

/** Implementation of the platform: line protocol and store API. */
struct proxy_platform {
	const struct line_protocol *lines;
	const struct site_api *site;
};

/** Opens the listeners. @return NULL with a message in @a fault on failure */
struct proxy_instance *proxy_instance_new(const struct proxy_settings *settings,
					  const struct proxy_platform *platform,
					  char fault[SETTINGS_FAULT_BYTES]);
/** Runs the event loop on the calling thread until the instance stops. */
void proxy_instance_run(struct proxy_instance *i);
/**
 * The first call begins a graceful shutdown, the second stops at once.
 * Safe in a signal handler.
 */
void proxy_instance_stop(struct proxy_instance *i);
/** Reads the settings file again. Safe in a signal handler. */
void proxy_instance_reload(struct proxy_instance *i);
/** Sets the settings file, which is read again whenever it changes. */
void proxy_instance_watch_file(struct proxy_instance *i, const char *file);
void proxy_instance_free(struct proxy_instance *i);

#endif
