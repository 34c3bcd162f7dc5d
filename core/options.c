/** @file options.c Default values of the core's options. */
#include "core.h"

#include <string.h>

#define QUEUE_LIMIT 256

void core_options_default(struct core_options *o)
{
	memset(o, 0, sizeof(*o));
	o->zone_count = 1;
	o->heartbeat_every = 150 * HM_MS;
	o->peer_silent = 600 * HM_MS;
	o->probe_every = 100 * HM_MS;
	o->probe_silent = 250 * HM_MS;
	o->confirmation_valid = 150 * HM_MS;
	o->replica_wait = 2 * HM_SEC;
	o->isolated_grace = 5 * HM_SEC;
	o->idle_transaction = 10 * HM_SEC;
	o->statement_limit = 10 * HM_SEC;
	o->queue_limit = QUEUE_LIMIT;
}
