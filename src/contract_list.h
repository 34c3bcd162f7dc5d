/**
 * @file contract_list.h
 * Contracts as the platform holds them, and changes of one of them by an
 * operator: validated together with the others, and conditional.
 */
#ifndef HELD_H
#define HELD_H

#include "cli_options.h"

/** All contracts of the platform at one version. */
struct contract_list {
	struct object_list list;
};

/** Reads them; on failure prints why and returns the exit code. */
enum cli_exit contract_list_read(struct cli_run *run,
				 struct contract_list *out);
void contract_list_clear(struct contract_list *h);
/** The contract of an account, NULL when none. */
const struct object *contract_list_find(const struct contract_list *h,
					const char *account);
/**
 * Checks a contract on its own and against the keys of the others.
 * @return false with a line in @a fault
 */
bool contract_list_check(const struct contract_list *h, const char *account,
			 const json_t *value, char *fault, size_t bytes);
/**
 * Replaces the contract of an account, or deletes it when @a value is NULL,
 * on condition that the platform still holds what @a h holds.
 */
enum api_outcome contract_list_change(struct cli_run *run,
				      const struct contract_list *h,
				      const char *account, const json_t *value,
				      uint64_t *version);

#endif
