/**
 * @file contract_list.h
 * Contracts as they are in the platform's store. An operator's change of one
 * contract is validated against the others and written only if the stored
 * contract is still the one that was read.
 */
#ifndef CONTRACT_LIST_H
#define CONTRACT_LIST_H

#include "cli_options.h"

/** All contracts in the store, read at one version of the store. */
struct contract_list {
	struct object_list list;
};

/** Reads all contracts. On failure it prints why and returns the exit code. */
enum cli_exit contract_list_read(struct cli_run *run,
				 struct contract_list *out);
void contract_list_clear(struct contract_list *l);
/** The contract of an account, or NULL when it has none. */
const struct object *contract_list_find(const struct contract_list *l,
					const char *account);
/**
 * Checks that the contract @a value is valid and that no other account has one
 * of its keys.
 * @return false with a message in @a fault if not
 */
bool contract_list_check(const struct contract_list *l, const char *account,
			 const json_t *value, char *fault, size_t bytes);
/**
 * Replaces the contract of an account, or deletes it when @a value is NULL,
 * if the stored contract is still the one in @a l.
 */
enum api_outcome contract_list_change(struct cli_run *run,
				      const struct contract_list *l,
				      const char *account, const json_t *value,
				      uint64_t *version);

#endif
