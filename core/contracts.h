/**
 * @file contracts.h
 * The contracts that one instance applies, at most one per client account. A
 * contract is replaced only by a higher version of it. A withdrawn contract
 * stays as a tombstone, so that an older version cannot restore it.
 */
#ifndef CONTRACTS_H
#define CONTRACTS_H

#include "error.h"
#include "types.h"

struct contracts;

struct contracts *contracts_new(void);
void contracts_free(struct contracts *c);

/**
 * Validates a contract without regard to other contracts: list lengths, empty
 * or repeated names and keys, and that rate, burst and weight are above zero.
 * @return NULL when valid, else a static error text.
 */
const char *contract_fault(const struct contract *contract);

/**
 * Stores @a contract when it is valid and newer than the stored contract of
 * the same account. A key that two live contracts list identifies neither
 * account until one of them drops it, so that the result does not depend on
 * the order in which contracts arrive. A contract with such a key is stored
 * all the same, and *fault then says that a key is shared.
 * @return true when @a contract was stored.
 */
bool contracts_apply(struct contracts *c, const struct contract *contract,
		     const char **fault);

/** Contract of an account; NULL when it has none or it was withdrawn. */
const struct contract *contracts_find(const struct contracts *c, hm_id account);
/** Like contracts_find(), tombstones included. */
const struct contract *contracts_stored(const struct contracts *c,
					hm_id account);
/** The only live contract that lists @a key; NULL when none or several do. */
const struct contract *contracts_by_key(const struct contracts *c,
					struct key_id key);
/** Entry of a database in a contract; NULL when it is not listed. */
const struct contract_database *
contract_database(const struct contract *contract, hm_id database);

uint32_t contracts_count(const struct contracts *c);
/**
 * Contract @a index, tombstones included, ordered by the time at which their
 * accounts were first seen; NULL past the end.
 */
const struct contract *contracts_at(const struct contracts *c, uint32_t index);
/** Highest version among the stored contracts. */
uint64_t contracts_version(const struct contracts *c);
/** Digest over all (account, version) pairs, independent of their order. */
uint64_t contracts_digest(const struct contracts *c);
/** Number of contracts stored so far; callers poll it to detect changes. */
uint64_t contracts_changes(const struct contracts *c);

#endif
