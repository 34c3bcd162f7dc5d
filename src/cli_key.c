/** @file cli_key.c The subcommand "key". */
#include <sodium.h>
#include <string.h>

#include "contract_list.h"
#include "in_force.h"
#include "names.h"

#define KEY_RANDOM_BYTES 32
#define KEY_TEXT_BYTES (KEY_RANDOM_BYTES * 2 + 1)
#define HASH_TEXT_BYTES 33
#define FAULT_BYTES 512
#define CHANGE_TRIES 3

/** A change of the keys of one contract. */
struct key_change {
	/**
	 * Changes the array @a keys; false with a line in @a fault. Called
	 * again on newer keys when somebody else changed the contract.
	 */
	bool (*change)(const struct key_change *c, json_t *keys, char *fault);
	const char *hash; /**< of the key to be granted */
	const char *word; /**< hash or label to be withdrawn */
	const char *label;
	bool again; /**< an earlier try may have taken effect */
};

static bool fail(char *fault, const char *text)
{
	g_strlcpy(fault, text, FAULT_BYTES);
	return false;
}

static bool is_key(const json_t *key, const char *field, const char *text)
{
	return !g_strcmp0(json_string_value(json_object_get(key, field)), text);
}

static bool has_key(const json_t *keys, const char *field, const char *text)
{
	size_t i;

	for (i = 0; i < json_array_size(keys); i++)
		if (is_key(json_array_get(keys, i), field, text))
			return true;
	return false;
}

static bool add_key(const struct key_change *c, json_t *keys, char *fault)
{
	json_t *key;

	if (has_key(keys, "hash", c->hash))
		return true;
	if (c->label && has_key(keys, "label", c->label))
		return fail(fault, "a key with this label is held");
	key = json_pack("{s:s}", "hash", c->hash);
	if (c->label)
		json_object_set_new(key, "label", json_string(c->label));
	json_array_append_new(keys, key);
	return true;
}

static bool remove_key(const struct key_change *c, json_t *keys, char *fault)
{
	size_t i, found = 0, at = 0;

	for (i = 0; i < json_array_size(keys); i++) {
		const json_t *key = json_array_get(keys, i);

		if (is_key(key, "hash", c->word) ||
		    is_key(key, "label", c->word)) {
			found++;
			at = i;
		}
	}
	if (!found && c->again)
		return true;
	if (!found)
		return fail(fault, "no such key");
	if (found > 1)
		return fail(fault, "several keys have this label, name a hash");
	json_array_remove(keys, at);
	return true;
}

/* A copy of the contract with changed keys; NULL with a line in fault. */
static json_t *changed_value(const struct contract_list *contract_list,
			     const char *account,
			     const struct key_change *change, char *fault)
{
	const struct object *o = contract_list_find(contract_list, account);
	json_t *value, *keys;

	if (!o) {
		fail(fault, "no contract held");
		return NULL;
	}
	value = json_deep_copy(o->value);
	keys = json_object_get(value, "keys");
	if (!keys) {
		json_object_set_new(value, "keys", json_array());
		keys = json_object_get(value, "keys");
	}
	if (change->change(change, keys, fault) &&
	    contract_list_check(contract_list, account, value, fault,
				FAULT_BYTES))
		return value;
	json_decref(value);
	return NULL;
}

/* A repeated change may find that nothing is left to be done. */
static enum api_outcome put_value(struct cli_run *run,
				  const struct contract_list *contract_list,
				  const json_t *value, uint64_t *version)
{
	const struct object *o =
		contract_list_find(contract_list, run->words[0]);

	if (!json_equal(o->value, value))
		return contract_list_change(run, contract_list, run->words[0],
					    value, version);
	*version = o->version;
	return API_OK;
}

/* One read and conditional change. */
static enum api_outcome change_once(struct cli_run *run,
				    const struct key_change *change,
				    uint64_t *version, enum cli_exit *code)
{
	const char *account = run->words[0];
	enum api_outcome outcome = API_INVALID;
	char fault[FAULT_BYTES];
	struct contract_list contract_list = { 0 };
	json_t *value = NULL;

	*code = contract_list_read(run, &contract_list);
	if (*code != CLI_OK)
		goto done;
	value = changed_value(&contract_list, account, change, fault);
	if (value) {
		outcome = put_value(run, &contract_list, value, version);
	} else {
		g_string_append_printf(run->out, "%s: %s\n", account, fault);
		*code = CLI_INVALID;
	}
done:
	json_decref(value);
	contract_list_clear(&contract_list);
	return outcome;
}

/*
 * Changes of keys are merged with whatever others change at the same time;
 * a grant is tried again with the same hash, which can be added only once.
 */
static enum cli_exit change_keys(struct cli_run *run, struct key_change *change,
				 uint64_t *version)
{
	enum api_outcome outcome;
	enum cli_exit code;
	int tries = 0;

	do {
		outcome = change_once(run, change, version, &code);
		if (code != CLI_OK)
			return code;
		change->again = true;
	} while (outcome == API_CONFLICT && ++tries < CHANGE_TRIES);
	return cli_failed(run, outcome);
}

static enum cli_exit grant_key(struct cli_run *run)
{
	unsigned char bytes[KEY_RANDOM_BYTES];
	char key[KEY_TEXT_BYTES], hash[HASH_TEXT_BYTES];
	struct key_change change = { .change = add_key,
				     .hash = hash,
				     .label = run->label };
	enum cli_exit code;
	uint64_t version;

	if (sodium_init() < 0)
		return CLI_UNAVAILABLE;
	randombytes_buf(bytes, sizeof(bytes));
	sodium_bin2hex(key, sizeof(key), bytes, sizeof(bytes));
	key_text(key_hash(key, strlen(key)), hash);
	code = change_keys(run, &change, &version);
	if (code == CLI_OK) {
		g_string_append_printf(run->out, "key: %s\nhash: %s\n", key,
				       hash);
		code = in_force_wait(run, run->words[0], version);
	}
	sodium_memzero(key, sizeof(key));
	sodium_memzero(bytes, sizeof(bytes));
	return code;
}

static enum cli_exit withdraw_key(struct cli_run *run)
{
	struct key_change change = { .change = remove_key,
				     .word = run->words[1] };
	enum cli_exit code;
	uint64_t version;

	code = change_keys(run, &change, &version);
	if (code != CLI_OK)
		return code;
	g_string_append_printf(run->out,
			       "withdrawn, accepted as version "
			       "%" G_GUINT64_FORMAT "\n",
			       version);
	return in_force_wait(run, run->words[0], version);
}

const struct cli_action cli_key_actions[] = { { "grant", 1, grant_key },
					      { "withdraw", 2, withdraw_key },
					      { 0 } };

int cli_key(int argc, char **argv)
{
	return cli_main(argc, argv,
			"key grant ACCOUNT | withdraw ACCOUNT HASH-or-LABEL "
			"--platform IP:port",
			cli_key_actions);
}
