/** @file cli_zone.c The subcommand "zone". */
#include "in_force.h"
#include "loop.h"
#include "platform.h"

#define CHANGE_CALLS_MAX 5

/* Reads the request for a zone; o->version is 0 if there never was one. */
static enum cli_exit read_request(struct cli_run *run, const char *zone,
				  struct object *o)
{
	enum api_outcome outcome;

	*o = (struct object){ 0 };
	if (!object_name_valid(zone)) {
		g_string_append_printf(run->out, "%s: not a zone name\n", zone);
		return CLI_INVALID;
	}
	outcome = object_api_get(run->api, KIND_EVACUATION, zone,
				 cli_call_deadline(run), o);
	return outcome == API_NOT_FOUND ? CLI_OK : cli_api_error(run, outcome);
}

static bool is_requested(const struct object *o)
{
	return o->version && !o->deleted;
}

/* Makes or withdraws a request, unless it is so already. */
static enum cli_exit change_request(struct cli_run *run, bool evacuated)
{
	const char *zone = run->args[0];
	enum api_outcome outcome;
	uint64_t version;
	struct object o;
	json_t *value;
	enum cli_exit code = read_request(run, zone, &o);

	if (code != CLI_OK)
		return code;
	version = o.version;
	if (is_requested(&o) == evacuated) {
		g_string_append_printf(run->out, "%s: no change\n", zone);
	} else if (run->dry_run) {
		g_string_append(run->out, "dry run, nothing changed\n");
		goto done;
	} else {
		value = evacuated ? json_object() : NULL;
		outcome = object_api_change_retry(
			run->api, KIND_EVACUATION, zone,
			is_requested(&o) ? o.version : 0, value,
			run->call_timeout,
			loop_now() + CHANGE_CALLS_MAX * run->call_timeout,
			&version);
		json_decref(value);
		code = cli_api_error(run, outcome);
		if (code != CLI_OK)
			goto done;
		g_string_append_printf(run->out, "%s: %s\n", zone,
				       evacuated ? "evacuation accepted"
						 : "evacuation withdrawn");
	}
	code = in_force_wait_zone(run, zone, version, evacuated);
done:
	object_clear(&o);
	return code;
}

static enum cli_exit evacuate_zone(struct cli_run *run)
{
	return change_request(run, true);
}

static enum cli_exit restore_zone(struct cli_run *run)
{
	return change_request(run, false);
}

/* Prints the requested evacuations, and what is in force at the instances. */
static enum cli_exit print_zones(struct cli_run *run)
{
	struct object_list list;
	enum api_outcome outcome = object_api_list(
		run->api, KIND_EVACUATION, cli_call_deadline(run), &list);
	size_t i, count = 0;

	if (outcome != API_OK)
		return cli_api_error(run, outcome);
	for (i = 0; i < list.count; i++) {
		if (list.items[i].deleted)
			continue;
		count++;
		g_string_append_printf(run->out, "%s: evacuated\n",
				       list.items[i].name);
	}
	if (!count)
		g_string_append(run->out, "no zone is evacuated\n");
	object_list_clear(&list);
	return in_force_print_zones(run);
}

const struct cli_action cli_zone_actions[] = { { "evacuate", 1, evacuate_zone },
					       { "restore", 1, restore_zone },
					       { "status", 0, print_zones },
					       { 0 } };

int cli_zone(int argc, char **argv)
{
	return cli_main(argc, argv,
			"zone evacuate ZONE | restore ZONE | status "
			"--platform IP:port",
			cli_zone_actions);
}
