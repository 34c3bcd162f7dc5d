/** @file contracts.c Contracts in force, by account and by key. */
#include "contracts.h"

#include <stdlib.h>
#include <string.h>

#include "table.h"

/*
 * Live contracts that hold one key. The sum of their handles is the handle
 * of the holder when there is just one, so no list is needed.
 */
struct claim {
	struct key_id key;
	uint32_t holders;
	uint32_t handle_sum;
};

struct contracts {
	struct contract **list;
	uint32_t count;
	uint32_t room;
	struct table by_account;
	struct claim *claims;
	uint32_t claim_count;
	uint32_t claim_room;
	struct table by_key;
	uint64_t version;
	uint64_t digest;
	uint64_t changes;
};

static uint64_t mix(uint64_t a, uint64_t b)
{
	uint64_t x = a ^ (b * 0x9e3779b97f4a7c15ULL);

	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
	return x ^ (x >> 31);
}

static uint64_t key_hash64(struct key_id key)
{
	return mix(key.lo, key.hi);
}

static bool key_is_none(struct key_id key)
{
	return !key.hi && !key.lo;
}

struct contracts *contracts_new(void)
{
	return calloc(1, sizeof(struct contracts));
}

void contracts_free(struct contracts *c)
{
	uint32_t i;

	if (!c)
		return;
	for (i = 0; i < c->count; i++)
		free(c->list[i]);
	free(c->list);
	free(c->claims);
	table_free(&c->by_account);
	table_free(&c->by_key);
	free(c);
}

static const char *key_fault(const struct contract *contract)
{
	uint32_t i, j;

	for (i = 0; i < contract->key_count; i++) {
		if (key_is_none(contract->keys[i]))
			return "keys: empty hash";
		for (j = 0; j < i; j++)
			if (key_equal(contract->keys[i], contract->keys[j]))
				return "keys: listed twice";
	}
	return NULL;
}

static const char *database_fault(const struct contract *contract)
{
	const struct contract_database *d = contract->databases;
	uint32_t i, j;

	for (i = 0; i < contract->database_count; i++) {
		if (!d[i].database)
			return "databases: empty name";
		if (d[i].max_age < 0)
			return "databases: max_age below zero";
		for (j = 0; j < i; j++)
			if (d[i].database == d[j].database)
				return "databases: listed twice";
	}
	return NULL;
}

const char *contract_fault(const struct contract *contract)
{
	const char *fault;

	if (!contract->account)
		return "account: empty name";
	if (contract->withdrawn)
		return NULL;
	if (contract->database_count > CONTRACT_DATABASES_MAX)
		return "databases: too many";
	if (contract->key_count > CONTRACT_KEYS_MAX)
		return "keys: too many";
	if (!contract->rate)
		return "rate: must be above zero";
	if (!contract->burst)
		return "burst: must be above zero";
	if (!contract->weight)
		return "weight: must be above zero";
	fault = database_fault(contract);
	return fault ? fault : key_fault(contract);
}

static struct claim *claim_find(const struct contracts *c, struct key_id key)
{
	uint32_t h = table_get(&c->by_key, key_hash64(key));

	if (h == TABLE_NONE || !key_equal(c->claims[h].key, key))
		return NULL;
	return &c->claims[h];
}

static struct claim *claim_add(struct contracts *c, struct key_id key)
{
	struct claim *claim;

	if (c->claim_count == c->claim_room) {
		uint32_t room = c->claim_room ? c->claim_room * 2 : 16;

		claim = realloc(c->claims, room * sizeof(*claim));
		if (!claim)
			abort();
		c->claims = claim;
		c->claim_room = room;
	}
	if (!table_put(&c->by_key, key_hash64(key), c->claim_count))
		abort();
	claim = &c->claims[c->claim_count++];
	*claim = (struct claim){ .key = key };
	return claim;
}

/* The last claim moves to the place of the removed one. */
static void claim_remove(struct contracts *c, struct claim *claim)
{
	struct claim *last = &c->claims[--c->claim_count];

	table_remove(&c->by_key, key_hash64(claim->key));
	if (claim == last)
		return;
	*claim = *last;
	table_put(&c->by_key, key_hash64(claim->key),
		  (uint32_t)(claim - c->claims));
}

static void claim_keys(struct contracts *c, uint32_t handle)
{
	const struct contract *held = c->list[handle];
	uint32_t i;

	for (i = 0; !held->withdrawn && i < held->key_count; i++) {
		struct claim *claim = claim_find(c, held->keys[i]);

		if (!claim)
			claim = claim_add(c, held->keys[i]);
		claim->holders++;
		claim->handle_sum += handle;
	}
}

static void release_keys(struct contracts *c, uint32_t handle)
{
	const struct contract *held = c->list[handle];
	uint32_t i;

	for (i = 0; !held->withdrawn && i < held->key_count; i++) {
		struct claim *claim = claim_find(c, held->keys[i]);

		claim->handle_sum -= handle;
		if (--claim->holders == 0)
			claim_remove(c, claim);
	}
}

static bool holds_contested_key(const struct contracts *c,
				const struct contract *contract)
{
	uint32_t i;

	for (i = 0; !contract->withdrawn && i < contract->key_count; i++)
		if (claim_find(c, contract->keys[i])->holders > 1)
			return true;
	return false;
}

static uint32_t add_handle(struct contracts *c, hm_id account)
{
	if (c->count == c->room) {
		uint32_t room = c->room ? c->room * 2 : 16;
		struct contract **list =
			realloc(c->list, room * sizeof(void *));

		if (!list)
			abort();
		c->list = list;
		c->room = room;
	}
	c->list[c->count] = malloc(sizeof(struct contract));
	if (!c->list[c->count] || !table_put(&c->by_account, account, c->count))
		abort();
	return c->count++;
}

static void replace(struct contracts *c, uint32_t handle,
		    const struct contract *contract)
{
	release_keys(c, handle);
	c->digest -= mix(contract->account, c->list[handle]->version);
	*c->list[handle] = *contract;
}

bool contracts_apply(struct contracts *c, const struct contract *contract,
		     const char **fault)
{
	uint32_t handle = table_get(&c->by_account, contract->account);

	*fault = contract_fault(contract);
	if (*fault)
		return false;
	if (handle != TABLE_NONE &&
	    contract->version <= c->list[handle]->version)
		return false;
	if (handle == TABLE_NONE) {
		handle = add_handle(c, contract->account);
		*c->list[handle] = *contract;
	} else {
		replace(c, handle, contract);
	}
	c->digest += mix(contract->account, contract->version);
	claim_keys(c, handle);
	if (contract->version > c->version)
		c->version = contract->version;
	c->changes++;
	if (holds_contested_key(c, contract))
		*fault = "keys: one is held by another contract";
	return true;
}

const struct contract *contracts_held(const struct contracts *c, hm_id account)
{
	uint32_t handle = table_get(&c->by_account, account);

	return handle == TABLE_NONE ? NULL : c->list[handle];
}

const struct contract *contracts_find(const struct contracts *c, hm_id account)
{
	const struct contract *held = contracts_held(c, account);

	return held && !held->withdrawn ? held : NULL;
}

const struct contract *contracts_by_key(const struct contracts *c,
					struct key_id key)
{
	const struct claim *claim = claim_find(c, key);

	if (!claim || claim->holders != 1)
		return NULL;
	return c->list[claim->handle_sum];
}

const struct contract_database *
contract_database(const struct contract *contract, hm_id database)
{
	uint32_t i;

	for (i = 0; i < contract->database_count; i++)
		if (contract->databases[i].database == database)
			return &contract->databases[i];
	return NULL;
}

uint32_t contracts_count(const struct contracts *c)
{
	return c->count;
}

const struct contract *contracts_at(const struct contracts *c, uint32_t index)
{
	return index < c->count ? c->list[index] : NULL;
}

uint64_t contracts_version(const struct contracts *c)
{
	return c->version;
}

uint64_t contracts_digest(const struct contracts *c)
{
	return c->digest;
}

uint64_t contracts_changes(const struct contracts *c)
{
	return c->changes;
}
