/** @file held.c Contracts held by the platform, for operators. */
#include "held.h"

#include <string.h>

#include "loop.h"
#include "platform.h"
#include "spec.h"

#define SETTLE_CALLS 5 /* time for so many calls to find out what happened */

enum cli_exit held_read(struct cli_run *run, struct held *out)
{
	enum api_outcome outcome;

	outcome = object_api_list(run->api, KIND_CONTRACT,
				  cli_call_deadline(run), &out->list);
	return cli_api_error(run, outcome);
}

void held_clear(struct held *h)
{
	object_list_clear(&h->list);
}

const struct object *held_find(const struct held *h, const char *account)
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

bool held_check(const struct held *h, const char *account, const json_t *value,
		char *fault, size_t bytes)
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

enum api_outcome held_change(struct cli_run *run, const struct held *h,
			     const char *account, const json_t *value,
			     uint64_t *version)
{
	const struct object *held = held_find(h, account);
	uint64_t if_version = held ? held->version : 0;

	return object_api_settle(run->api, KIND_CONTRACT, account, if_version,
				 value, run->call_timeout,
				 loop_now() + SETTLE_CALLS * run->call_timeout,
				 version);
}
