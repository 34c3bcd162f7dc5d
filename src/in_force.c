/** @file in_force.c Asks instances which configuration is in force there. */
#include "in_force.h"

#include <string.h>

#include "loop.h"
#include "platform.h"

#define QUERY_EVERY (100 * HM_MS)
#define QUERY_LIMIT HM_SEC
#define DIGEST_BYTES 32

/** Configuration in force at one instance, from its status page. */
struct instance_status {
	char *address;
	bool answered;
	uint64_t version;
	char digest[DIGEST_BYTES];
	char *evacuated; /**< names of its evacuated zones, each after a blank */
};

/** The object that is to be in force: a contract or an evacuation. */
struct goal {
	const char *kind;
	const char *name; /**< of the account or the zone */
	uint64_t version;
	bool evacuated; /**< for a zone: requested, not withdrawn */
};

static void free_status(gpointer data)
{
	struct instance_status *a = data;

	g_free(a->evacuated);
	g_free(a->address);
	g_free(a);
}

static void add_address(GPtrArray *instances, const char *address)
{
	struct instance_status *a;
	guint i;

	for (i = 0; i < instances->len; i++) {
		a = g_ptr_array_index(instances, i);
		if (!strcmp(a->address, address))
			return;
	}
	a = g_new0(struct instance_status, 1);
	a->address = g_strdup(address);
	g_ptr_array_add(instances, a);
}

/*
 * Adds the operator address of each instance listed in the store that has one.
 * Adds nothing if the list can't be read.
 */
static void add_listed(struct cli_run *run, GPtrArray *instances)
{
	const char *address;
	json_t *items;
	size_t i;

	if (object_api_instances(run->api, cli_call_deadline(run), &items) !=
	    API_OK)
		return;
	for (i = 0; i < json_array_size(items); i++) {
		address = json_string_value(
			json_object_get(json_array_get(items, i), "operators"));
		if (address)
			add_address(instances, address);
	}
	json_decref(items);
}

static GPtrArray *find_instances(struct cli_run *run)
{
	GPtrArray *instances = g_ptr_array_new_with_free_func(free_status);
	char **at;

	for (at = run->operator_addresses; at && *at; at++)
		add_address(instances, *at);
	add_listed(run, instances);
	return instances;
}

static char *read_names(const json_t *list)
{
	GString *names = g_string_new(NULL);
	size_t i;

	for (i = 0; i < json_array_size(list); i++)
		g_string_append_printf(
			names, " %s",
			json_string_value(json_array_get(list, i)));
	return g_string_free(names, FALSE);
}

static bool names_zone(const char *names, const char *zone)
{
	char **list = g_strsplit(names, " ", -1);
	bool found = g_strv_contains((const char *const *)list, zone);

	g_strfreev(list);
	return found;
}

static void query_instance(struct instance_status *a)
{
	struct object_api *api = object_api_new(a->address);
	const char *digest;
	json_t *json;

	a->answered = object_api_read(api, "/status", loop_now() + QUERY_LIMIT,
				      &json) == API_OK;
	digest = json_string_value(json_object_get(json, "config_digest"));
	a->version = (uint64_t)json_integer_value(
		json_object_get(json, "config_version"));
	g_strlcpy(a->digest, digest ? digest : "", sizeof(a->digest));
	g_free(a->evacuated);
	a->evacuated = read_names(json_object_get(json, "evacuated"));
	json_decref(json);
	object_api_free(api);
}

/* As not_in_force_reason(), for a zone. */
static const char *zone_reason(const struct instance_status *a,
			       const struct goal *goal)
{
	if (names_zone(a->evacuated, goal->name) == goal->evacuated)
		return NULL;
	return goal->evacuated ? "still uses the zone"
			       : "does not use the zone yet";
}

/*
 * Reason why @a goal is not known to be in force at an instance, or NULL when it
 * is. For a contract, an instance whose configuration differs from that of
 * @a first also gets a reason.
 */
static const char *not_in_force_reason(const struct instance_status *a,
				       const struct instance_status *first,
				       const struct goal *goal)
{
	if (!a->answered)
		return "no answer";
	if (!strcmp(goal->kind, KIND_EVACUATION))
		return zone_reason(a, goal);
	if (a->version < goal->version)
		return "holds an older version";
	if (strcmp(a->digest, first->digest) != 0)
		return "holds another configuration than the first instance";
	return NULL;
}

static guint query_all(GPtrArray *instances, const struct goal *goal)
{
	guint i, behind = 0;

	for (i = 0; i < instances->len; i++)
		query_instance(g_ptr_array_index(instances, i));
	for (i = 0; i < instances->len; i++)
		behind += not_in_force_reason(g_ptr_array_index(instances, i),
					      g_ptr_array_index(instances, 0),
					      goal) != NULL;
	return behind;
}

/*
 * Whether an instance has refused the contract, or the zone: an instance that
 * cannot use an object writes a status object about it.
 */
static bool is_refused(struct cli_run *run, const struct goal *goal)
{
	char *name = g_strdup_printf("refused.%s.%s", goal->kind, goal->name);
	struct object status = { 0 };
	json_int_t refused = 0;

	if (object_api_get(run->api, KIND_STATUS, name, cli_call_deadline(run),
			   &status) == API_OK)
		refused = json_integer_value(
			json_object_get(status.value, "version"));
	if (refused && (uint64_t)refused == goal->version)
		g_string_append_printf(run->out, "refused by instances: %s\n",
				       json_string_value(json_object_get(
					       status.value, "fault")));
	object_clear(&status);
	g_free(name);
	return refused && (uint64_t)refused == goal->version;
}

static void print_not_in_force(struct cli_run *run, GPtrArray *instances,
			       const struct goal *goal)
{
	const struct instance_status *first = g_ptr_array_index(instances, 0);
	guint i;

	for (i = 0; i < instances->len; i++) {
		const struct instance_status *a =
			g_ptr_array_index(instances, i);
		const char *why = not_in_force_reason(a, first, goal);

		if (why)
			g_string_append_printf(run->out, "  %s: %s\n",
					       a->address, why);
	}
}

static enum cli_exit wait_for(struct cli_run *run, GPtrArray *instances,
			      const struct goal *goal)
{
	hm_time until = loop_now() + run->wait_timeout;
	guint behind;

	while ((behind = query_all(instances, goal)) && loop_now() < until) {
		if (is_refused(run, goal))
			return CLI_INVALID;
		g_usleep((gulong)QUERY_EVERY);
	}
	g_string_append_printf(run->out, "in force at %u of %u instances\n",
			       instances->len - behind, instances->len);
	print_not_in_force(run, instances, goal);
	return behind ? CLI_NOT_IN_FORCE : CLI_OK;
}

static enum cli_exit report_no_instance(struct cli_run *run)
{
	g_string_append(run->out, "in force: no instance to ask, name one with "
				  "--instance\n");
	return CLI_NOT_IN_FORCE;
}

static enum cli_exit wait_for_goal(struct cli_run *run, const struct goal *goal)
{
	GPtrArray *instances;
	enum cli_exit code;

	if (!run->wait)
		return CLI_OK;
	instances = find_instances(run);
	code = instances->len ? wait_for(run, instances, goal)
			      : report_no_instance(run);
	g_ptr_array_unref(instances);
	return code;
}

enum cli_exit in_force_wait(struct cli_run *run, const char *account,
			    uint64_t version)
{
	return wait_for_goal(run, &(struct goal){ .kind = KIND_CONTRACT,
						  .name = account,
						  .version = version });
}

enum cli_exit in_force_wait_zone(struct cli_run *run, const char *zone,
				 uint64_t version, bool evacuated)
{
	return wait_for_goal(run, &(struct goal){ .kind = KIND_EVACUATION,
						  .name = zone,
						  .version = version,
						  .evacuated = evacuated });
}

enum cli_exit in_force_print_zones(struct cli_run *run)
{
	GPtrArray *instances = find_instances(run);
	enum cli_exit code = CLI_OK;
	guint i;

	for (i = 0; i < instances->len; i++) {
		struct instance_status *a = g_ptr_array_index(instances, i);

		query_instance(a);
		if (!a->answered)
			code = CLI_NOT_IN_FORCE;
		g_string_append_printf(run->out, "  %s:%s\n", a->address,
				       !a->answered	 ? " no answer"
				       : a->evacuated[0] ? a->evacuated
							 : " none");
	}
	g_ptr_array_unref(instances);
	return code;
}
