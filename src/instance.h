/**
 * @file instance.h
 * A running instance: a core, the I/O modules around it and their event loop.
 */
#ifndef INSTANCE_H
#define INSTANCE_H

#include "settings.h"

struct instance;

/** Opens all listeners; NULL, with a line in @a fault, when it cannot start. */
struct instance *instance_new(const struct settings *settings,
			      char fault[SETTINGS_FAULT_BYTES]);
/** Runs the event loop on the calling thread until the instance is stopped. */
void instance_run(struct instance *i);
/**
 * The first call begins a graceful shutdown, the second one ends the instance
 * at once. Callable from any thread.
 */
void instance_stop(struct instance *i);
void instance_free(struct instance *i);

#endif
