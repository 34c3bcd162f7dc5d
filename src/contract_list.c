/** @file contract_list.c Contracts in the store, for the operator commands. */
#include "contract_list.h"

#include <string.h>

#include "loop.h"
#include "platform.h"
#include "spec.h"

/*
 * A write is repeated until its outcome is known, but no longer than this many
 * times the time limit of one call.
 */
#define CHANGE_CALLS_MAX 5

enum cli_exit contract_list_read(struct cli_run *run, struct contract_list *out)
{
	enum api_outcome outcome;

	outcome = object_api_list(run->api, KIND_CONTRACT,
				  cli_call_deadline(run), &out->list);
	return cli_api_error(run, outcome);
}

void contract_list_clear(struct contract_list *l)
{
	object_list_clear(&l->list);
}

const struct object *contract_list_find(const struct contract_list *l,
					const char *account)
{
	size_t i;

	for (i = 0; i < l->list.count; i++)
		if (!strcmp(l->list.items[i].name, account))
			return &l->list.items[i];
	return NULL;
}

static bool have_common_key(const struct contract *a, const struct contract *b)
{
	uint32_t i, j;

	for (i = 0; i < a->key_count; i++)
		for (j = 0; j < b->key_count; j++)
			if (key_equal(a->keys[i], b->keys[j]))
				return true;
	return false;
}

/*
 * Whether @a other is the valid contract of another account and has a key of @a
 * c. An invalid contract is never in force, so its keys are ignored.
 */
static bool has_key_of(const struct object *other, const struct contract *c)
{
	char fault[SPEC_FAULT_BYTES];
	struct contract parsed;

	return strcmp(other->name, c->name) != 0 &&
	       spec_contract(other->name, other->value, other->version, &parsed,
			     fault) &&
	       have_common_key(&parsed, c);
}

bool contract_list_check(const struct contract_list *l, const char *account,
			 const json_t *value, char *fault, size_t bytes)
{
	char reason[SPEC_FAULT_BYTES];
	struct contract contract;
	size_t i;

	if (!spec_contract(account, value, 0, &contract, reason)) {
		g_strlcpy(fault, reason, bytes);
		return false;
	}
	for (i = 0; i < l->list.count; i++) {
		if (!has_key_of(&l->list.items[i], &contract))
			continue;
		g_snprintf(fault, bytes,
			   "keys: found a key of account %s, allowed are keys "
			   "of this account alone",
			   l->list.items[i].name);
		return false;
	}
	return true;
}

enum api_outcome contract_list_change(struct cli_run *run,
				      const struct contract_list *l,
				      const char *account, const json_t *value,
				      uint64_t *version)
{
	const struct object *stored = contract_list_find(l, account);
	uint64_t if_version = stored ? stored->version : 0;

	return object_api_change_retry(
		run->api, KIND_CONTRACT, account, if_version, value,
		run->call_timeout,
		loop_now() + CHANGE_CALLS_MAX * run->call_timeout, version);
}
