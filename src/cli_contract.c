/** @file cli_contract.c The subcommand "contract". */
#include <stdlib.h>
#include <string.h>

#include "contract_list.h"
#include "diff.h"
#include "in_force.h"

#define FAULT_BYTES 512

/** A contract file: fields "account", "contract", optionally "version". */
struct contract_file {
	json_t *root;
	const char *account; /**< borrowed from @a root */
	json_t *value;	     /**< copy, completed by the stored keys */
	/**
	 * version of the stored contract that the file was based on, 0: not
	 * given
	 */
	json_int_t version;
};

static void print_summary(struct cli_run *run, const struct object *o)
{
	g_string_append_printf(
		run->out,
		"%s version=%" G_GUINT64_FORMAT " rate_per_s=%" G_GINT64_FORMAT
		" burst=%" G_GINT64_FORMAT " databases=%zu keys=%zu\n",
		o->name, o->version,
		(gint64)json_integer_value(
			json_object_get(o->value, "rate_per_s")),
		(gint64)json_integer_value(json_object_get(o->value, "burst")),
		json_object_size(json_object_get(o->value, "databases")),
		json_array_size(json_object_get(o->value, "keys")));
}

static enum cli_exit list_contracts(struct cli_run *run)
{
	struct contract_list stored = { 0 };
	enum cli_exit code = contract_list_read(run, &stored);
	size_t i;

	for (i = 0; i < stored.list.count; i++)
		print_summary(run, &stored.list.items[i]);
	contract_list_clear(&stored);
	return code;
}

static enum cli_exit report_no_contract(struct cli_run *run,
					const char *account)
{
	g_string_append_printf(run->out, "%s: no such contract\n", account);
	return CLI_INVALID;
}

static void print_contract(struct cli_run *run, const struct object *o)
{
	json_t *root =
		json_pack("{s:s, s:I, s:O}", "account", o->name, "version",
			  (json_int_t)o->version, "contract", o->value);
	char *text = json_dumps(root, JSON_INDENT(2));

	g_string_append_printf(run->out, "%s\n", text);
	free(text);
	json_decref(root);
}

static enum cli_exit show_contract(struct cli_run *run)
{
	struct contract_list stored = { 0 };
	enum cli_exit code = contract_list_read(run, &stored);
	const struct object *o = contract_list_find(&stored, run->args[0]);

	if (code == CLI_OK && o)
		print_contract(run, o);
	else if (code == CLI_OK)
		code = report_no_contract(run, run->args[0]);
	contract_list_clear(&stored);
	return code;
}

static bool report_invalid(struct cli_run *run, const char *file,
			   const char *fault)
{
	g_string_append_printf(run->out, "%s: %s\n", file, fault);
	return false;
}

static bool has_only_known_fields(const json_t *root)
{
	size_t known = 0;

	known += json_object_get(root, "account") != NULL;
	known += json_object_get(root, "contract") != NULL;
	known += json_object_get(root, "version") != NULL;
	return json_object_size(root) == known;
}

static bool parse_file(struct cli_run *run, const char *file,
		       struct contract_file *out)
{
	const json_t *version = json_object_get(out->root, "version");

	out->account = json_string_value(json_object_get(out->root, "account"));
	out->version = json_integer_value(version);
	out->value = json_copy(json_object_get(out->root, "contract"));
	if (!has_only_known_fields(out->root))
		return report_invalid(
			run, file,
			"found an unknown field, allowed are account, "
			"contract and version");
	if (!out->account || !object_name_valid(out->account))
		return report_invalid(
			run, file, "account: found no name, allowed is a name");
	if (!json_is_object(out->value))
		return report_invalid(
			run, file,
			"contract: found no object, allowed is an object");
	if (version && out->version < 1)
		return report_invalid(
			run, file,
			"version: found no version, allowed are 1 and "
			"above");
	return true;
}

static bool read_file(struct cli_run *run, const char *file,
		      struct contract_file *out)
{
	json_error_t error;
	char line[FAULT_BYTES];

	out->root = json_load_file(file, JSON_REJECT_DUPLICATES, &error);
	if (out->root)
		return parse_file(run, file, out);
	g_snprintf(line, sizeof(line), "line %d: %s", error.line, error.text);
	return report_invalid(run, file, line);
}

static void clear_file(struct contract_file *f)
{
	json_decref(f->value);
	json_decref(f->root);
}

/*
 * Copies the stored keys into a contract whose file has no "keys", so that
 * applying the file leaves the granted keys unchanged.
 */
static void keep_stored_keys(struct contract_file *f,
			     const struct object *stored)
{
	json_t *keys = stored ? json_object_get(stored->value, "keys") : NULL;

	if (json_object_get(f->value, "keys"))
		return;
	if (keys)
		json_object_set(f->value, "keys", keys);
	else
		json_object_set_new(f->value, "keys", json_array());
}

/*
 * True, with a line printed, if the file is based on another version than the
 * stored one.
 */
static bool is_outdated(struct cli_run *run, const struct contract_file *f,
			const struct object *stored)
{
	uint64_t version = stored ? stored->version : 0;

	if (!f->version || (uint64_t)f->version == version)
		return false;
	g_string_append_printf(run->out,
			       "conflict: the file is based on version "
			       "%" G_GINT64_FORMAT
			       ", the platform holds version "
			       "%" G_GUINT64_FORMAT "\n",
			       (gint64)f->version, version);
	return true;
}

static enum cli_exit put_contract(struct cli_run *run,
				  const struct contract_list *stored,
				  const struct contract_file *f)
{
	enum api_outcome outcome;
	uint64_t version;

	if (run->dry_run) {
		g_string_append(run->out, "dry run, nothing changed\n");
		return CLI_OK;
	}
	outcome = contract_list_change(run, stored, f->account, f->value,
				       &version);
	if (outcome != API_OK)
		return cli_api_error(run, outcome);
	g_string_append_printf(run->out,
			       "accepted as version %" G_GUINT64_FORMAT "\n",
			       version);
	return in_force_wait(run, f->account, version);
}

static enum cli_exit apply_to(struct cli_run *run,
			      const struct contract_list *stored,
			      struct contract_file *f)
{
	const struct object *o = contract_list_find(stored, f->account);
	char fault[FAULT_BYTES];

	keep_stored_keys(f, o);
	if (!contract_list_check(stored, f->account, f->value, fault,
				 sizeof(fault))) {
		report_invalid(run, run->args[0], fault);
		return CLI_INVALID;
	}
	if (o && json_equal(o->value, f->value)) {
		g_string_append_printf(run->out,
				       "%s: no change, version "
				       "%" G_GUINT64_FORMAT "\n",
				       f->account, o->version);
		return in_force_wait(run, f->account, o->version);
	}
	if (is_outdated(run, f, o))
		return CLI_CONFLICT;
	g_string_append_printf(run->out, "%s: %s\n", f->account,
			       o ? "changed contract" : "new contract");
	diff_json(o ? o->value : NULL, f->value, run->out);
	return put_contract(run, stored, f);
}

static enum cli_exit apply_contract(struct cli_run *run)
{
	struct contract_file file = { 0 };
	struct contract_list stored = { 0 };
	enum cli_exit code = CLI_INVALID;

	if (!read_file(run, run->args[0], &file))
		goto done;
	code = contract_list_read(run, &stored);
	if (code == CLI_OK)
		code = apply_to(run, &stored, &file);
done:
	contract_list_clear(&stored);
	clear_file(&file);
	return code;
}

static enum cli_exit delete_contract(struct cli_run *run,
				     const struct contract_list *stored,
				     const char *account)
{
	uint64_t before = contract_list_find(stored, account)->version;
	enum api_outcome outcome;
	uint64_t version;

	if (run->dry_run) {
		g_string_append(run->out, "dry run, nothing changed\n");
		return CLI_OK;
	}
	outcome = contract_list_change(run, stored, account, NULL, &version);
	if (outcome != API_OK)
		return cli_api_error(run, outcome);
	g_string_append_printf(run->out, "%s: withdrawn\n", account);
	/*
	 * When the platform's answer was lost, the new version is unknown but
	 * at least before + 1.
	 */
	return in_force_wait(run, account, MAX(version, before + 1));
}

static enum cli_exit withdraw_contract(struct cli_run *run)
{
	const char *account = run->args[0];
	struct contract_list stored = { 0 };
	enum cli_exit code = contract_list_read(run, &stored);

	if (code == CLI_OK && !contract_list_find(&stored, account))
		code = report_no_contract(run, account);
	else if (code == CLI_OK)
		code = delete_contract(run, &stored, account);
	contract_list_clear(&stored);
	return code;
}

const struct cli_action cli_contract_actions[] = {
	{ "list", 0, list_contracts },
	{ "show", 1, show_contract },
	{ "apply", 1, apply_contract },
	{ "withdraw", 1, withdraw_contract },
	{ 0 }
};

int cli_contract(int argc, char **argv)
{
	return cli_main(argc, argv,
			"contract list | show NAME | apply FILE | "
			"withdraw NAME --platform IP:port",
			cli_contract_actions);
}
