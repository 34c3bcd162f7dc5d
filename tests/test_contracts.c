/**
 * @file test_contracts.c
 * Applies contracts in any order: the newest version of each must win.
 */
#include <check.h>
#include <stdlib.h>

#include "../core/contracts.h"
#include "../core/rng.h"
#include "suite.h"

#define ACCOUNTS 6
#define KEYS 9
#define VERSIONS 40
#define ROUNDS 200

static struct contract base(hm_id account, uint64_t version)
{
	return (struct contract){ .account = account,
				  .version = version,
				  .rate = 10,
				  .burst = 20,
				  .weight = 1 };
}

/* Random contract; several accounts may list the same key. */
static struct contract random_contract(struct rng *rng, uint64_t version)
{
	struct contract c = base(1 + rng_below(rng, ACCOUNTS), version);
	uint64_t key;

	c.withdrawn = !rng_below(rng, 4);
	for (key = 1; key <= KEYS; key++)
		if (!rng_below(rng, 3))
			c.keys[c.key_count++] = (struct key_id){ key, ~key };
	return c;
}

static void shuffle(struct rng *rng, struct contract *list, uint32_t count)
{
	uint32_t i;

	for (i = count; i > 1; i--) {
		uint32_t j = (uint32_t)rng_below(rng, i);
		struct contract t = list[i - 1];

		list[i - 1] = list[j];
		list[j] = t;
	}
}

static const struct contract *newest(const struct contract *list, hm_id account)
{
	const struct contract *best = NULL;
	uint32_t i;

	for (i = 0; i < VERSIONS; i++)
		if (list[i].account == account &&
		    (!best || list[i].version > best->version))
			best = &list[i];
	return best && !best->withdrawn ? best : NULL;
}

/* The only account whose newest contract lists the key, 0 for none. */
static hm_id only_account_with(const struct contract *list, struct key_id key)
{
	hm_id account, found = 0;
	uint32_t accounts = 0;
	uint32_t i;

	for (account = 1; account <= ACCOUNTS; account++) {
		const struct contract *c = newest(list, account);

		for (i = 0; c && i < c->key_count; i++)
			if (key_equal(c->keys[i], key)) {
				found = account;
				accounts++;
			}
	}
	return accounts == 1 ? found : 0;
}

static struct contracts *apply_all(const struct contract *list)
{
	struct contracts *c = contracts_new();
	const char *fault;
	uint32_t i;

	for (i = 0; i < VERSIONS; i++)
		contracts_apply(c, &list[i], &fault);
	return c;
}

START_TEST(order_does_not_matter)
{
	struct contract list[VERSIONS];
	struct rng rng = { 11 };
	uint32_t round, i;

	for (round = 0; round < ROUNDS; round++) {
		struct contracts *a, *b;
		uint64_t key;

		for (i = 0; i < VERSIONS; i++)
			list[i] = random_contract(&rng, i + 1);
		a = apply_all(list);
		shuffle(&rng, list, VERSIONS);
		b = apply_all(list);
		ck_assert_uint_eq(contracts_digest(a), contracts_digest(b));
		ck_assert_uint_eq(contracts_version(b), VERSIONS);
		for (key = 1; key <= KEYS; key++) {
			struct key_id id = { key, ~key };
			const struct contract *c = contracts_by_key(b, id);

			ck_assert_uint_eq(c ? c->account : 0,
					  only_account_with(list, id));
		}
		contracts_free(a);
		contracts_free(b);
	}
}
END_TEST

START_TEST(withdrawn_never_comes_back)
{
	struct contracts *c = contracts_new();
	struct contract valid = base(1, 3);
	struct contract withdrawn_contract = base(1, 4);
	const char *fault;

	valid.keys[valid.key_count++] = (struct key_id){ 1, 2 };
	withdrawn_contract.withdrawn = true;
	ck_assert(contracts_apply(c, &valid, &fault));
	ck_assert_ptr_nonnull(contracts_by_key(c, valid.keys[0]));
	ck_assert(contracts_apply(c, &withdrawn_contract, &fault));
	ck_assert(!contracts_apply(c, &valid, &fault));
	ck_assert_ptr_null(contracts_by_key(c, valid.keys[0]));
	ck_assert_ptr_null(contracts_find(c, 1));
	ck_assert(contracts_stored(c, 1)->withdrawn);
	valid.version = 5;
	ck_assert(contracts_apply(c, &valid, &fault));
	ck_assert_ptr_nonnull(contracts_by_key(c, valid.keys[0]));
	contracts_free(c);
}
END_TEST

START_TEST(shared_key_identifies_no_account)
{
	struct contracts *c = contracts_new();
	struct contract a = base(1, 1);
	struct contract b = base(2, 2);
	const char *fault;

	a.keys[a.key_count++] = (struct key_id){ 7, 7 };
	b.keys[b.key_count++] = (struct key_id){ 7, 7 };
	contracts_apply(c, &a, &fault);
	ck_assert_ptr_null(fault);
	ck_assert(contracts_apply(c, &b, &fault));
	ck_assert_ptr_nonnull(fault);
	ck_assert_ptr_null(contracts_by_key(c, a.keys[0]));
	a.version = 3;
	a.key_count = 0;
	contracts_apply(c, &a, &fault);
	ck_assert_uint_eq(contracts_by_key(c, b.keys[0])->account, 2);
	contracts_free(c);
}
END_TEST

START_TEST(faults_are_named)
{
	struct contract c = base(1, 1);

	ck_assert_ptr_null(contract_fault(&c));
	c.rate = 0;
	ck_assert_str_eq(contract_fault(&c), "rate: must be above zero");
	c = base(1, 1);
	c.key_count = CONTRACT_KEYS_MAX + 1;
	ck_assert_str_eq(contract_fault(&c), "keys: too many");
	c = base(1, 1);
	c.key_count = 1;
	ck_assert_str_eq(contract_fault(&c), "keys: empty hash");
	c = base(1, 1);
	c.database_count = 2;
	c.databases[0].database = c.databases[1].database = 5;
	ck_assert_str_eq(contract_fault(&c), "databases: listed twice");
	c = base(0, 1);
	ck_assert_str_eq(contract_fault(&c), "account: empty name");
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("contracts");

	tcase_add_test(tc, order_does_not_matter);
	tcase_add_test(tc, withdrawn_never_comes_back);
	tcase_add_test(tc, shared_key_identifies_no_account);
	tcase_add_test(tc, faults_are_named);
	return suite_run("contracts", tc);
}
