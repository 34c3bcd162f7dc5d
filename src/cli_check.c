/** @file cli_check.c The subcommand "check". */
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "command.h"
#include "settings.h"
#include "spec.h"

/* A file with the member "contract" holds a contract, else settings. */
static bool check_contract(const char *file, const json_t *root)
{
	const json_t *account = json_object_get(root, "account");
	const json_t *value = json_object_get(root, "contract");
	char fault[SPEC_FAULT_BYTES];
	struct contract contract;

	if (!json_is_string(account)) {
		fprintf(stderr, "%s: $.account: found %s, allowed a name\n",
			file, account ? "another type" : "nothing");
		return false;
	}
	if (spec_contract(json_string_value(account), value, 0, &contract,
			  fault)) {
		printf("%s: contract of %s is valid\n", file, contract.name);
		return true;
	}
	fprintf(stderr, "%s: %s\n", file, fault);
	return false;
}

static bool check_settings(const char *file)
{
	char fault[SETTINGS_FAULT_BYTES];
	struct settings s;

	if (settings_read(&s, file, fault)) {
		printf("%s: settings of %s are valid\n", file, s.instance);
		return true;
	}
	fprintf(stderr, "%s\n", fault);
	return false;
}

static bool check_file(const char *file)
{
	json_t *root = json_load_file(file, JSON_REJECT_DUPLICATES, NULL);
	bool ok;

	if (json_object_get(root, "contract"))
		ok = check_contract(file, root);
	else
		ok = check_settings(file);
	json_decref(root);
	return ok;
}

int cli_check(int argc, char **argv)
{
	int code = CLI_OK;
	int i;

	if (!command_options(&argc, &argv, "FILE...",
			     "Checks files of settings and contracts, one "
			     "line for each; starts nothing.",
			     NULL))
		return CLI_USAGE;
	if (argc < 2) {
		fprintf(stderr, "check: a file is needed\n");
		return CLI_USAGE;
	}
	for (i = 1; i < argc; i++)
		if (!check_file(argv[i]))
			code = CLI_INVALID;
	return code;
}
