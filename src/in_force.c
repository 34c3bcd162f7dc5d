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
};

static void free_status(gpointer data)
{
	struct instance_status *a = data;

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
	json_decref(json);
	object_api_free(api);
}

/*
 * Reason why the contract is not known to be in force at an instance, or NULL
 * when it is. An instance whose configuration differs from that of @a first
 * also gets a reason.
 */
static const char *not_in_force_reason(const struct instance_status *a,
				       const struct instance_status *first,
				       uint64_t version)
{
	if (!a->answered)
		return "no answer";
	if (a->version < version)
		return "holds an older version";
	if (strcmp(a->digest, first->digest) != 0)
		return "holds another configuration than the first instance";
	return NULL;
}

static guint query_all(GPtrArray *instances, uint64_t version)
{
	guint i, behind = 0;

	for (i = 0; i < instances->len; i++)
		query_instance(g_ptr_array_index(instances, i));
	for (i = 0; i < instances->len; i++)
		behind += not_in_force_reason(g_ptr_array_index(instances, i),
					      g_ptr_array_index(instances, 0),
					      version) != NULL;
	return behind;
}

/*
 * Whether an instance has refused the contract: an instance that cannot use a
 * contract writes a status object about it.
 */
static bool is_refused(struct cli_run *run, const char *account,
		       uint64_t version)
{
	char *name = g_strdup_printf("refused.contract.%s", account);
	struct object status = { 0 };
	json_int_t refused = 0;

	if (object_api_get(run->api, KIND_STATUS, name, cli_call_deadline(run),
			   &status) == API_OK)
		refused = json_integer_value(
			json_object_get(status.value, "version"));
	if (refused && (uint64_t)refused == version)
		g_string_append_printf(run->out, "refused by instances: %s\n",
				       json_string_value(json_object_get(
					       status.value, "fault")));
	object_clear(&status);
	g_free(name);
	return refused && (uint64_t)refused == version;
}

static void print_not_in_force(struct cli_run *run, GPtrArray *instances,
			       uint64_t version)
{
	const struct instance_status *first = g_ptr_array_index(instances, 0);
	guint i;

	for (i = 0; i < instances->len; i++) {
		const struct instance_status *a =
			g_ptr_array_index(instances, i);
		const char *why = not_in_force_reason(a, first, version);

		if (why)
			g_string_append_printf(run->out, "  %s: %s\n",
					       a->address, why);
	}
}

static enum cli_exit wait_for(struct cli_run *run, GPtrArray *instances,
			      const char *account, uint64_t version)
{
	hm_time until = loop_now() + run->wait_timeout;
	guint behind;

	while ((behind = query_all(instances, version)) && loop_now() < until) {
		if (is_refused(run, account, version))
			return CLI_INVALID;
		g_usleep((gulong)QUERY_EVERY);
	}
	g_string_append_printf(run->out, "in force at %u of %u instances\n",
			       instances->len - behind, instances->len);
	print_not_in_force(run, instances, version);
	return behind ? CLI_NOT_IN_FORCE : CLI_OK;
}

enum cli_exit in_force_wait(struct cli_run *run, const char *account,
			    uint64_t version)
{
	GPtrArray *instances;
	enum cli_exit code;

	if (!run->wait)
		return CLI_OK;
	instances = find_instances(run);
	if (instances->len) {
		code = wait_for(run, instances, account, version);
	} else {
		g_string_append(run->out, "in force: no instance to ask, name "
					  "one with --instance\n");
		code = CLI_NOT_IN_FORCE;
	}
	g_ptr_array_unref(instances);
	return code;
}
