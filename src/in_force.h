/**
 * @file in_force.h
 * Finds out from the operators' listeners of instances whether a contract
 * version is in force at each of them.
 */
#ifndef IN_FORCE_H
#define IN_FORCE_H

#include "cli_options.h"

/**
 * Asks until all instances hold version @a version or a newer one and agree
 * on their configuration, or until the wait limit. Prints what holds, and
 * each instance where it is stuck. Without wait in @a run it returns at once.
 */
enum cli_exit in_force_wait(struct cli_run *run, const char *account,
			    uint64_t version);

#endif
