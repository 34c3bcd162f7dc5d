/** @file cli_key.c The subcommand "key". */
#include <sodium.h>
#include <string.h>

#include "contract_list.h"
#include "in_force.h"
#include "names.h"

#define KEY_RANDOM_BYTES 32
#define KEY_HEX_BYTES (KEY_RANDOM_BYTES * 2 + 1)
#define HASH_HEX_BYTES 33
#define FAULT_BYTES 512
#define MAX_TRIES 3

/** A change of the keys of one contract. */
struct key_change {
	/**
	 * Changes the array @a keys; false with a line in @a fault. After a
	 * conflict it is called again with the newer keys of the contract.
	 */
	bool (*change)(const struct key_change *c, json_t *keys, char *fault);
	const char *hash;	   /**< hash of the key to grant */
	const char *hash_or_label; /**< hash or label of the key to withdraw */
	/** label of the key to grant, NULL for none */
	const char *label;
	/** an earlier attempt of this command may have taken effect */
	bool is_retry;
};

static bool set_fault(char *fault, const char *text)
{
	g_strlcpy(fault, text, FAULT_BYTES);
	return false;
}

static bool key_matches(const json_t *key, const char *field, const char *text)
{
	return !g_strcmp0(json_string_value(json_object_get(key, field)), text);
}

static bool has_key(const json_t *keys, const char *field, const char *text)
{
	size_t i;

	for (i = 0; i < json_array_size(keys); i++)
		if (key_matches(json_array_get(keys, i), field, text))
			return true;
	return false;
}

static bool add_key(const struct key_change *c, json_t *keys, char *fault)
{
	json_t *key;

	if (has_key(keys, "hash", c->hash))
		return true;
	if (c->label && has_key(keys, "label", c->label))
		return set_fault(fault, "a key with this label exists already");
	key = json_pack("{s:s}", "hash", c->hash);
	if (c->label)
		json_object_set_new(key, "label", json_string(c->label));
	json_array_append_new(keys, key);
	return true;
}

static bool remove_key(const struct key_change *c, json_t *keys, char *fault)
{
	size_t i, found = 0, index = 0;

	for (i = 0; i < json_array_size(keys); i++) {
		const json_t *key = json_array_get(keys, i);

		if (key_matches(key, "hash", c->hash_or_label) ||
		    key_matches(key, "label", c->hash_or_label)) {
			found++;
			index = i;
		}
	}
	if (!found && c->is_retry)
		return true;
	if (!found)
		return set_fault(fault, "no such key");
	if (found > 1)
		return set_fault(fault,
				 "several keys have this label, name a hash");
	json_array_remove(keys, index);
	return true;
}

/*
 * Returns a copy of the stored contract with its keys changed; NULL with a line
 * in @a fault if the change is not possible.
 */
static json_t *changed_contract(const struct contract_list *stored,
				const char *account,
				const struct key_change *change, char *fault)
{
	const struct object *o = contract_list_find(stored, account);
	json_t *value, *keys;

	if (!o) {
		set_fault(fault, "no such contract");
		return NULL;
	}
	value = json_deep_copy(o->value);
	keys = json_object_get(value, "keys");
	if (!keys) {
		json_object_set_new(value, "keys", json_array());
		keys = json_object_get(value, "keys");
	}
	if (change->change(change, keys, fault) &&
	    contract_list_check(stored, account, value, fault, FAULT_BYTES))
		return value;
	json_decref(value);
	return NULL;
}

/*
 * Writes the contract @a value and sets *version to its new version. If the
 * stored contract already equals @a value, because an earlier attempt of this
 * command took effect, writes nothing and sets *version to the stored version.
 */
static enum api_outcome put_value(struct cli_run *run,
				  const struct contract_list *stored,
				  const json_t *value, uint64_t *version)
{
	const struct object *o = contract_list_find(stored, run->args[0]);

	if (!json_equal(o->value, value))
		return contract_list_change(run, stored, run->args[0], value,
					    version);
	*version = o->version;
	return API_OK;
}

/*
 * Reads the contract, and writes it with its keys changed unless another writer
 * has changed it since the read.
 */
static enum api_outcome change_once(struct cli_run *run,
				    const struct key_change *change,
				    uint64_t *version, enum cli_exit *code)
{
	const char *account = run->args[0];
	enum api_outcome outcome = API_INVALID;
	char fault[FAULT_BYTES];
	struct contract_list stored = { 0 };
	json_t *value = NULL;

	*code = contract_list_read(run, &stored);
	if (*code != CLI_OK)
		goto done;
	value = changed_contract(&stored, account, change, fault);
	if (value) {
		outcome = put_value(run, &stored, value, version);
	} else {
		g_string_append_printf(run->out, "%s: %s\n", account, fault);
		*code = CLI_INVALID;
	}
done:
	json_decref(value);
	contract_list_clear(&stored);
	return outcome;
}

/*
 * Changes the keys of a contract. After a conflict the change is applied to the
 * newer version, so that concurrent changes of others are kept. A grant is
 * retried with the same hash, which can be added only once.
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
		change->is_retry = true;
	} while (outcome == API_CONFLICT && ++tries < MAX_TRIES);
	return cli_api_error(run, outcome);
}

static enum cli_exit grant_key(struct cli_run *run)
{
	unsigned char bytes[KEY_RANDOM_BYTES];
	char key[KEY_HEX_BYTES], hash[HASH_HEX_BYTES];
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
		code = in_force_wait(run, run->args[0], version);
	}
	sodium_memzero(key, sizeof(key));
	sodium_memzero(bytes, sizeof(bytes));
	return code;
}

static enum cli_exit withdraw_key(struct cli_run *run)
{
	struct key_change change = { .change = remove_key,
				     .hash_or_label = run->args[1] };
	enum cli_exit code;
	uint64_t version;

	code = change_keys(run, &change, &version);
	if (code != CLI_OK)
		return code;
	g_string_append_printf(run->out,
			       "withdrawn, accepted as version "
			       "%" G_GUINT64_FORMAT "\n",
			       version);
	return in_force_wait(run, run->args[0], version);
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
