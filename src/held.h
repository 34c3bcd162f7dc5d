/**
 * @file held.h
 * Contracts as the platform holds them, and changes of one of them by an
 * operator: validated together with the others, and conditional.
 */
#ifndef HELD_H
#define HELD_H

#include "cli_options.h"

/** All contracts of the platform at one version. */
struct held {
	struct object_list list;
};

/** Reads them; on failure prints why and returns the exit code. */
enum cli_exit held_read(struct cli_run *run, struct held *out);
void held_clear(struct held *h);
/** The contract of an account, NULL when none. */
const struct object *held_find(const struct held *h, const char *account);
/**
 * Checks a contract on its own and against the keys of the others.
 * @return false with a line in @a fault
 */
bool held_check(const struct held *h, const char *account, const json_t *value,
		char *fault, size_t bytes);
/**
 * Replaces the contract of an account, or deletes it when @a value is NULL,
 * on condition that the platform still holds what @a h holds.
 */
enum api_outcome held_change(struct cli_run *run, const struct held *h,
			     const char *account, const json_t *value,
			     uint64_t *version);

#endif
