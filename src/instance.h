/**
 * @file instance.h
 * One running instance: a core, the tasks around it, and the loop that
 * carries them.
 */
#ifndef INSTANCE_H
#define INSTANCE_H

#include "settings.h"

struct instance;

/** NULL with a line in @a fault when it cannot start. */
struct instance *instance_new(const struct settings *settings,
			      char fault[SETTINGS_FAULT_BYTES]);
/** Serves until stopped; call on the thread that is to carry it. */
void instance_run(struct instance *i);
/** First call: graceful shutdown; second: at once. Any thread. */
void instance_stop(struct instance *i);
void instance_free(struct instance *i);

#endif
