/** @file in_force.c Asks instances which configuration they hold. */
#include "in_force.h"

#include <string.h>

#include "loop.h"
#include "platform.h"

#define ASK_EVERY (100 * HM_MS)
#define ASK_LIMIT HM_SEC
#define DIGEST_BYTES 32

/** What one instance said. */
struct answer {
	char *address;
	bool answered;
	uint64_t version;
	char digest[DIGEST_BYTES];
};

static void free_answer(gpointer data)
{
	struct answer *a = data;

	g_free(a->address);
	g_free(a);
}

static void add_address(GPtrArray *answers, const char *address)
{
	struct answer *a;
	guint i;

	for (i = 0; i < answers->len; i++) {
		a = g_ptr_array_index(answers, i);
		if (!strcmp(a->address, address))
			return;
	}
	a = g_new0(struct answer, 1);
	a->address = g_strdup(address);
	g_ptr_array_add(answers, a);
}

/* The platform's list may name operators' listeners. */
static void add_listed(struct cli_run *run, GPtrArray *answers)
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
			add_address(answers, address);
	}
	json_decref(items);
}

static GPtrArray *find_instances(struct cli_run *run)
{
	GPtrArray *answers = g_ptr_array_new_with_free_func(free_answer);
	char **at;

	for (at = run->operator_addresses; at && *at; at++)
		add_address(answers, *at);
	add_listed(run, answers);
	return answers;
}

static void ask(struct answer *a)
{
	struct object_api *api = object_api_new(a->address);
	const char *digest;
	json_t *json;

	a->answered = object_api_read(api, "/status", loop_now() + ASK_LIMIT,
				      &json) == API_OK;
	digest = json_string_value(json_object_get(json, "config_digest"));
	a->version = (uint64_t)json_integer_value(
		json_object_get(json, "config_version"));
	g_strlcpy(a->digest, digest ? digest : "", sizeof(a->digest));
	json_decref(json);
	object_api_free(api);
}

/* Why the contract is not known to be in force there, NULL when it is. */
static const char *stuck(const struct answer *a, const struct answer *first,
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

static guint ask_all(GPtrArray *answers, uint64_t version)
{
	guint i, behind = 0;

	for (i = 0; i < answers->len; i++)
		ask(g_ptr_array_index(answers, i));
	for (i = 0; i < answers->len; i++)
		behind += stuck(g_ptr_array_index(answers, i),
				g_ptr_array_index(answers, 0), version) != NULL;
	return behind;
}

/* An instance that cannot use a contract says so in a status object. */
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

static void print_stuck(struct cli_run *run, GPtrArray *answers,
			uint64_t version)
{
	const struct answer *first = g_ptr_array_index(answers, 0);
	guint i;

	for (i = 0; i < answers->len; i++) {
		const struct answer *a = g_ptr_array_index(answers, i);
		const char *why = stuck(a, first, version);

		if (why)
			g_string_append_printf(run->out, "  %s: %s\n",
					       a->address, why);
	}
}

static enum cli_exit wait_for(struct cli_run *run, GPtrArray *answers,
			      const char *account, uint64_t version)
{
	hm_time until = loop_now() + run->wait_timeout;
	guint behind;

	while ((behind = ask_all(answers, version)) && loop_now() < until) {
		if (is_refused(run, account, version))
			return CLI_INVALID;
		g_usleep((gulong)ASK_EVERY);
	}
	g_string_append_printf(run->out, "in force at %u of %u instances\n",
			       answers->len - behind, answers->len);
	print_stuck(run, answers, version);
	return behind ? CLI_NOT_IN_FORCE : CLI_OK;
}

enum cli_exit in_force_wait(struct cli_run *run, const char *account,
			    uint64_t version)
{
	GPtrArray *answers;
	enum cli_exit code;

	if (!run->wait)
		return CLI_OK;
	answers = find_instances(run);
	if (answers->len) {
		code = wait_for(run, answers, account, version);
	} else {
		g_string_append(run->out, "in force: no instance to ask, name "
					  "one with --instance\n");
		code = CLI_NOT_IN_FORCE;
	}
	g_ptr_array_unref(answers);
	return code;
}
