/** @file cli_check.c The subcommand "check". */
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "command.h"
#include "settings.h"
#include "spec.h"

/*
 * Returns the name in a field of the file; NULL, with a line on standard error,
 * if there is no valid name.
 */
static const char *get_name(const char *file, const json_t *root,
			    const char *member)
{
	const json_t *name = json_object_get(root, member);

	if (!json_is_string(name))
		fprintf(stderr, "%s: $.%s: found %s, allowed a name\n", file,
			member, name ? "another type" : "nothing");
	return json_string_value(name);
}

static bool print_outcome(const char *file, const char *kind, const char *name,
			  bool ok, const char *fault)
{
	if (ok)
		printf("%s: %s %s is valid\n", file, kind, name);
	else
		fprintf(stderr, "%s: %s\n", file, fault);
	return ok;
}

static bool check_contract(const char *file, const json_t *root)
{
	const char *name = get_name(file, root, "account");
	char fault[SPEC_FAULT_BYTES];
	struct contract contract;
	bool ok;

	if (!name)
		return false;
	ok = spec_contract(name, json_object_get(root, "contract"), 0,
			   &contract, fault);
	return print_outcome(file, "contract of account", name, ok, fault);
}

/*
 * Checks a database object. Its zones must be listed in the settings, which
 * come from another file of the command line.
 */
static bool check_database(const char *file, const json_t *root,
			   const struct settings *settings)
{
	const char *name = get_name(file, root, "database");
	const char *zones[ZONES_MAX];
	struct zone_names known = { .names = zones,
				    .count = settings->zone_count };
	char fault[SPEC_FAULT_BYTES];
	struct database_spec spec;
	bool ok;
	uint16_t i;

	if (!name)
		return false;
	if (!settings->zone_count) {
		fprintf(stderr,
			"%s: $.value: found zones that cannot be checked, "
			"allowed together with a valid settings file\n",
			file);
		return false;
	}
	for (i = 0; i < settings->zone_count; i++)
		zones[i] = settings->zones[i];
	ok = spec_database(name, json_object_get(root, "value"), 0, known,
			   &spec, fault);
	return print_outcome(file, "database", name, ok, fault);
}

static bool check_settings(const char *file, struct settings *settings)
{
	char fault[SETTINGS_FAULT_BYTES];
	struct settings s;

	if (!settings_read(&s, file, fault)) {
		fprintf(stderr, "%s\n", fault);
		return false;
	}
	*settings = s;
	printf("%s: settings of instance %s are valid\n", file, s.instance);
	return true;
}

/*
 * Checks one file if it is an object and @a objects is true, or if it is a
 * settings file and @a objects is false. A file with a field "contract" or
 * "value" is an object, any other file is settings.
 */
static bool check_file(const char *file, bool objects,
		       struct settings *settings)
{
	json_t *root = json_load_file(file, JSON_REJECT_DUPLICATES, NULL);
	bool contract = json_object_get(root, "contract") != NULL;
	bool database = json_object_get(root, "value") != NULL;
	bool ok = true;

	if (objects && contract)
		ok = check_contract(file, root);
	else if (objects && database)
		ok = check_database(file, root, settings);
	else if (!objects && !contract && !database)
		ok = check_settings(file, settings);
	json_decref(root);
	return ok;
}

int cli_check(int argc, char **argv)
{
	struct settings settings = { 0 };
	bool ok = true;
	int i;

	if (!command_options(&argc, &argv, "FILE...",
			     "Checks files of settings, contracts and "
			     "databases, one line for each; starts nothing. "
			     "Zones of databases are checked against the "
			     "settings given with them.",
			     NULL))
		return CLI_USAGE;
	if (argc < 2) {
		fprintf(stderr, "check: a file is needed\n");
		return CLI_USAGE;
	}
	/* Settings first: databases are checked against the settings' zones. */
	for (i = 1; i < argc; i++)
		ok &= check_file(argv[i], false, &settings);
	for (i = 1; i < argc; i++)
		ok &= check_file(argv[i], true, &settings);
	return ok ? CLI_OK : CLI_INVALID;
}
