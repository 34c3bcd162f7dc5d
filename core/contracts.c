/** @file contracts.c Stored contracts, indexed by account and by key. */
#include "contracts.h"

#include <stdlib.h>
#include <string.h>

#include "table.h"

/*
 * A key that live contracts list. index_sum is the sum of the indexes of
 * these contracts in contracts.list: when only one contract lists the key, it
 * is the index of that contract, so no list of contracts is needed.
 */
struct key_entry {
	struct key_id key;
	uint32_t contract_count;
	uint32_t index_sum;
};

struct contracts {
	struct contract **list;
	uint32_t count;
	uint32_t capacity;
	struct table by_account;
	struct key_entry *key_entries;
	uint32_t key_entry_count;
	uint32_t key_entry_capacity;
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
	free(c->key_entries);
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

static struct key_entry *key_entry_find(const struct contracts *c,
					struct key_id key)
{
	uint32_t h = table_get(&c->by_key, key_hash64(key));

	if (h == TABLE_NONE || !key_equal(c->key_entries[h].key, key))
		return NULL;
	return &c->key_entries[h];
}

static struct key_entry *key_entry_add(struct contracts *c, struct key_id key)
{
	struct key_entry *entry;

	if (c->key_entry_count == c->key_entry_capacity) {
		uint32_t capacity =
			c->key_entry_capacity ? c->key_entry_capacity * 2 : 16;

		entry = realloc(c->key_entries, capacity * sizeof(*entry));
		if (!entry)
			abort();
		c->key_entries = entry;
		c->key_entry_capacity = capacity;
	}
	if (!table_put(&c->by_key, key_hash64(key), c->key_entry_count))
		abort();
	entry = &c->key_entries[c->key_entry_count++];
	*entry = (struct key_entry){ .key = key };
	return entry;
}

/* Moves the last entry to the index of the removed one. */
static void key_entry_remove(struct contracts *c, struct key_entry *entry)
{
	struct key_entry *last = &c->key_entries[--c->key_entry_count];

	table_remove(&c->by_key, key_hash64(entry->key));
	if (entry == last)
		return;
	*entry = *last;
	table_put(&c->by_key, key_hash64(entry->key),
		  (uint32_t)(entry - c->key_entries));
}

static void register_keys(struct contracts *c, uint32_t index)
{
	const struct contract *stored = c->list[index];
	uint32_t i;

	for (i = 0; !stored->withdrawn && i < stored->key_count; i++) {
		struct key_entry *entry = key_entry_find(c, stored->keys[i]);

		if (!entry)
			entry = key_entry_add(c, stored->keys[i]);
		entry->contract_count++;
		entry->index_sum += index;
	}
}

static void unregister_keys(struct contracts *c, uint32_t index)
{
	const struct contract *stored = c->list[index];
	uint32_t i;

	for (i = 0; !stored->withdrawn && i < stored->key_count; i++) {
		struct key_entry *entry = key_entry_find(c, stored->keys[i]);

		entry->index_sum -= index;
		if (--entry->contract_count == 0)
			key_entry_remove(c, entry);
	}
}

static bool has_shared_key(const struct contracts *c,
			   const struct contract *contract)
{
	uint32_t i;

	for (i = 0; !contract->withdrawn && i < contract->key_count; i++)
		if (key_entry_find(c, contract->keys[i])->contract_count > 1)
			return true;
	return false;
}

static uint32_t append_empty(struct contracts *c, hm_id account)
{
	if (c->count == c->capacity) {
		uint32_t capacity = c->capacity ? c->capacity * 2 : 16;
		struct contract **list =
			realloc(c->list, capacity * sizeof(void *));

		if (!list)
			abort();
		c->list = list;
		c->capacity = capacity;
	}
	c->list[c->count] = malloc(sizeof(struct contract));
	if (!c->list[c->count] || !table_put(&c->by_account, account, c->count))
		abort();
	return c->count++;
}

static void replace(struct contracts *c, uint32_t index,
		    const struct contract *contract)
{
	unregister_keys(c, index);
	c->digest -= mix(contract->account, c->list[index]->version);
	*c->list[index] = *contract;
}

bool contracts_apply(struct contracts *c, const struct contract *contract,
		     const char **fault)
{
	uint32_t index = table_get(&c->by_account, contract->account);

	*fault = contract_fault(contract);
	if (*fault)
		return false;
	if (index != TABLE_NONE && contract->version <= c->list[index]->version)
		return false;
	if (index == TABLE_NONE) {
		index = append_empty(c, contract->account);
		*c->list[index] = *contract;
	} else {
		replace(c, index, contract);
	}
	c->digest += mix(contract->account, contract->version);
	register_keys(c, index);
	if (contract->version > c->version)
		c->version = contract->version;
	c->changes++;
	if (has_shared_key(c, contract))
		*fault = "keys: a key is also listed by another contract";
	return true;
}

const struct contract *contracts_stored(const struct contracts *c,
					hm_id account)
{
	uint32_t index = table_get(&c->by_account, account);

	return index == TABLE_NONE ? NULL : c->list[index];
}

const struct contract *contracts_find(const struct contracts *c, hm_id account)
{
	const struct contract *stored = contracts_stored(c, account);

	return stored && !stored->withdrawn ? stored : NULL;
}

const struct contract *contracts_by_key(const struct contracts *c,
					struct key_id key)
{
	const struct key_entry *entry = key_entry_find(c, key);

	if (!entry || entry->contract_count != 1)
		return NULL;
	return c->list[entry->index_sum];
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
