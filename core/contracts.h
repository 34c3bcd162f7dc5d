/**
 * @file contracts.h
 * Contracts in force at one instance. Versions only go forward: an older or
 * equal version of a contract is ignored, a withdrawn one stays as tombstone.
 */
#ifndef CONTRACTS_H
#define CONTRACTS_H

#include "error.h"
#include "types.h"

struct contracts;

struct contracts *contracts_new(void);
void contracts_free(struct contracts *c);

/**
 * Checks a contract on its own: counts, names, rate and burst above zero.
 * @return NULL when valid, else a static text naming the fault.
 */
const char *contract_fault(const struct contract *contract);

/**
 * Puts @a contract in force when it is valid and newer than the one held.
 * A key that two live contracts list belongs to neither until one drops it:
 * the outcome is then the same in whatever order the contracts arrive. The
 * contract takes force nonetheless and *fault names the contested key.
 * @return true when the contract in force changed.
 */
bool contracts_apply(struct contracts *c, const struct contract *contract,
		     const char **fault);

/** Contract of an account, NULL when none or withdrawn. */
const struct contract *contracts_find(const struct contracts *c, hm_id account);
/** Like contracts_find(), tombstones included. */
const struct contract *contracts_held(const struct contracts *c, hm_id account);
/** Live contract that alone holds @a key, NULL when none does. */
const struct contract *contracts_by_key(const struct contracts *c,
					struct key_id key);
/** Right of a contract on a database, NULL when none. */
const struct contract_database *
contract_database(const struct contract *contract, hm_id database);

uint32_t contracts_count(const struct contracts *c);
/** Contract @a index in order of arrival, tombstones included. */
const struct contract *contracts_at(const struct contracts *c, uint32_t index);
/** Highest version held. */
uint64_t contracts_version(const struct contracts *c);
/** Order-free digest over all (account, version) pairs. */
uint64_t contracts_digest(const struct contracts *c);
/** Grows by one with every change, so that users know when to check. */
uint64_t contracts_changes(const struct contracts *c);

#endif
