/**
 * @file in_force.h Waits until a version of a contract, or the evacuation of a
 * zone, is in force at all instances. Each instance is asked through its
 * operators' listener.
 */
#ifndef IN_FORCE_H
#define IN_FORCE_H

#include "cli_options.h"

/**
 * Polls the instances until all have version @a version or a newer one in
 * force and the same configuration, or until the wait limit. Prints at how
 * many instances the version is in force, and the reason for each of the
 * others. Returns at once unless @a run asks to wait.
 */
enum cli_exit in_force_wait(struct cli_run *run, const char *account,
			    uint64_t version);
/**
 * The same for a zone that is to be evacuated, or no longer so.
 * @param version of the request, which instances that do not know the zone
 * refuse
 */
enum cli_exit in_force_wait_zone(struct cli_run *run, const char *zone,
				 uint64_t version, bool evacuated);
/** Prints the zones that are evacuated at each instance. */
enum cli_exit in_force_print_zones(struct cli_run *run);

#endif
