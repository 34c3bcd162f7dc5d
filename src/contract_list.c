/** @file contract_list.c Contracts held by the platform, for operators. */
#include "contract_list.h"

#include <string.h>

#include "loop.h"
#include "platform.h"
#include "spec.h"

#define SETTLE_CALLS 5 /* time for so many calls to find out what happened */

enum cli_exit contract_list_read(struct cli_run *run, struct contract_list *out)
{
	enum api_outcome outcome;

	outcome = object_api_list(run->api, KIND_CONTRACT, cli_until(run),
				  &out->list);
	return cli_failed(run, outcome);
}

void contract_list_clear(struct contract_list *h)
{
	object_list_clear(&h->list);
}

const struct object *contract_list_find(const struct contract_list *h,
					const char *account)
{
	size_t i;

	for (i = 0; i < h->list.count; i++)
		if (!strcmp(h->list.items[i].name, account))
			return &h->list.items[i];
	return NULL;
}

static bool shares_key(const struct contract *a, const struct contract *b)
{
	uint32_t i, j;

	for (i = 0; i < a->key_count; i++)
		for (j = 0; j < b->key_count; j++)
			if (key_equal(a->keys[i], b->keys[j]))
				return true;
	return false;
}

/* Contracts of others that are invalid are in force nowhere: ignored. */
static bool clashes(const struct object *other, const struct contract *c)
{
	char fault[SPEC_FAULT_BYTES];
	struct contract parsed;

	return strcmp(other->name, c->name) != 0 &&
	       spec_contract(other->name, other->value, other->version, &parsed,
			     fault) &&
	       shares_key(&parsed, c);
}

bool contract_list_check(const struct contract_list *h, const char *account,
			 const json_t *value, char *fault, size_t bytes)
{
	char inner[SPEC_FAULT_BYTES];
	struct contract contract;
	size_t i;

	if (!spec_contract(account, value, 0, &contract, inner)) {
		g_strlcpy(fault, inner, bytes);
		return false;
	}
	for (i = 0; i < h->list.count; i++) {
		if (!clashes(&h->list.items[i], &contract))
			continue;
		g_snprintf(fault, bytes,
			   "keys: found a key of account %s, allowed are keys "
			   "of this account alone",
			   h->list.items[i].name);
		return false;
	}
	return true;
}

enum api_outcome contract_list_change(struct cli_run *run,
				      const struct contract_list *h,
				      const char *account, const json_t *value,
				      uint64_t *version)
{
	const struct object *contract_list = contract_list_find(h, account);
	uint64_t if_version = contract_list ? contract_list->version : 0;

	return object_api_settle(run->api, KIND_CONTRACT, account, if_version,
				 value, run->call_limit,
				 loop_now() + SETTLE_CALLS * run->call_limit,
				 version);
}
