/** @file site.c Stand-ins and instances in one process. */
#include "site.h"

#include <glib.h>
#include <jansson.h>
#include <sodium.h>
#include <string.h>

#include "../src/instance.h"
#include "../src/names.h"

#define MEMBERS 3
#define PORT_DEFAULT 8480

static const char *const zone_names[SITE_ZONES] = { "a", "b", "c", "d" };

struct site_instance {
	struct settings settings;
	struct instance *instance;
	GThread *thread; /* NULL while the instance does not run */
	bool stopped;
	GMutex lock; /* guards released */
	GCond changed;
	bool released; /* no other thread uses the instance any more */
};

struct site {
	struct site_options options;
	struct store *store;
	struct members *members;
	struct database_spec databases[SITE_DATABASES_MAX];
	struct site_instance instances[SITE_INSTANCES_MAX];
};

void site_options_default(struct site_options *o)
{
	memset(o, 0, sizeof(*o));
	o->port = PORT_DEFAULT;
	o->instances = 1;
	o->databases = 1;
	o->slots = 2;
	o->connections = 16;
	o->member.connect_cost = 10 * HM_MS;
	o->member.statement_cost = 1 * HM_MS;
	o->member.lag = 50 * HM_MS;
	o->log_level = "warning";
}

static void address_at(const struct site *s, uint32_t offset,
		       char out[ADDRESS_BYTES])
{
	g_snprintf(out, ADDRESS_BYTES, "127.0.0.1:%u",
		   s->options.port + offset);
}

/*
 * Number of zones that have an instance. Others are not configured: a zone
 * without an instance would get a share of each account's rate that nobody can
 * use.
 */
static uint16_t zone_count(const struct site *s)
{
	return (uint16_t)CLAMP(s->options.instances, 1, SITE_ZONES);
}

static void fill_endpoint(const struct site *s, uint32_t database,
			  uint32_t member, struct endpoint_spec *e)
{
	g_snprintf(e->name, sizeof(e->name), "db%u-%c", database + 1,
		   'a' + (int)member);
	e->endpoint = name_id(e->name);
	e->zone = (uint16_t)((database + member) % zone_count(s));
	e->slots = s->options.slots;
	e->connections = s->options.connections;
	address_at(s, 1 + SITE_INSTANCES_MAX * 3 + database * MEMBERS + member,
		   e->address);
}

static void fill_database(const struct site *s, uint32_t index,
			  struct database_spec *d)
{
	uint32_t i;

	g_snprintf(d->name, sizeof(d->name), "db%u", index + 1);
	d->database = name_id(d->name);
	d->version = 1;
	d->endpoint_count = MEMBERS;
	for (i = 0; i < MEMBERS; i++)
		fill_endpoint(s, index, i, &d->endpoints[i]);
}

static bool put_json(struct site *s, const char *kind, const char *name,
		     json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT);
	bool done = store_put(s->store, kind, name, text);

	g_free(text);
	json_decref(value);
	return done;
}

static bool put_database(struct site *s, const struct database_spec *d)
{
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i < d->endpoint_count; i++) {
		const struct endpoint_spec *e = &d->endpoints[i];

		json_array_append_new(
			list,
			json_pack("{s:s,s:s,s:s,s:i,s:i}", "name", e->name,
				  "zone", zone_names[e->zone], "address",
				  e->address, "slots", (int)e->slots,
				  "connections", (int)e->connections));
	}
	return put_json(s, "database", d->name,
			json_pack("{s:o}", "endpoints", list));
}

static bool start_standins(struct site *s)
{
	char address[ADDRESS_BYTES];
	uint32_t i;

	address_at(s, 0, address);
	s->store = store_new(address);
	if (!s->store)
		return false;
	store_start(s->store);
	for (i = 0; i < s->options.databases; i++) {
		fill_database(s, i, &s->databases[i]);
		if (!put_database(s, &s->databases[i]))
			return false;
	}
	s->members = members_new(s->databases, s->options.databases,
				 &s->options.member);
	if (!s->members)
		return false;
	members_start(s->members);
	return true;
}

/* Lists the running instances in the stand-in platform. */
static bool put_instances(struct site *s)
{
	json_t *items = json_array();
	char *text;
	bool done;
	uint32_t i;

	for (i = 0; i < s->options.instances; i++) {
		const struct settings *t = &s->instances[i].settings;

		if (s->instances[i].stopped)
			continue;
		json_array_append_new(items,
				      json_pack("{s:s,s:s,s:s,s:s}", "name",
						t->instance, "zone", t->zone,
						"address", t->listen_peers,
						"state", "live"));
	}
	text = json_dumps(items, JSON_COMPACT);
	done = store_instances(s->store, text);
	g_free(text);
	json_decref(items);
	return done;
}

static void fill_settings(const struct site *s, uint32_t index,
			  struct settings *t)
{
	uint32_t i, first = 1 + index * 3;

	settings_default(t);
	g_snprintf(t->instance, sizeof(t->instance), "instance-%u", index + 1);
	for (i = 0; i < zone_count(s); i++)
		g_strlcpy(t->zones[i], zone_names[i], NAME_BYTES);
	t->zone_count = zone_count(s);
	t->core.zone = (uint16_t)(index % zone_count(s));
	t->core.zone_count = zone_count(s);
	t->core.incarnation = random_id();
	t->core.seed = random_id();
	g_strlcpy(t->zone, zone_names[t->core.zone], NAME_BYTES);
	address_at(s, first, t->listen_clients);
	address_at(s, first + 1, t->listen_peers);
	address_at(s, first + 2, t->listen_operators);
	address_at(s, 0, t->platform);
	memset(t->token_secret, 7, sizeof(t->token_secret));
	g_strlcpy(t->log_level, s->options.log_level, sizeof(t->log_level));
}

/*
 * Runs an instance and frees it on the same thread: h2o's sockets refer to
 * variables of the thread that created them.
 */
static gpointer run_instance(gpointer data)
{
	struct site_instance *i = data;

	instance_run(i->instance);
	g_mutex_lock(&i->lock);
	while (!i->released)
		g_cond_wait(&i->changed, &i->lock);
	g_mutex_unlock(&i->lock);
	instance_free(i->instance);
	return NULL;
}

static bool start_instance(struct site *s, uint32_t index,
			   char fault[SETTINGS_FAULT_BYTES])
{
	struct site_instance *i = &s->instances[index];

	i->instance = instance_new(&i->settings, fault);
	if (!i->instance)
		return false;
	i->released = false;
	i->thread = g_thread_new(i->settings.instance, run_instance, i);
	return true;
}

struct site *site_new(const struct site_options *options,
		      char fault[SETTINGS_FAULT_BYTES])
{
	struct site *s = g_new0(struct site, 1);
	uint32_t i;

	s->options = *options;
	g_snprintf(fault, SETTINGS_FAULT_BYTES, "ports from %u on are in use",
		   options->port);
	if (!start_standins(s))
		goto fail;
	for (i = 0; i < options->instances; i++)
		fill_settings(s, i, &s->instances[i].settings);
	if (!put_instances(s))
		goto fail;
	for (i = 0; i < options->instances && !options->instances_elsewhere;
	     i++)
		if (!start_instance(s, i, fault))
			goto fail;
	return s;

fail:
	site_free(s);
	return NULL;
}

static void end_instance(struct site_instance *i)
{
	g_mutex_lock(&i->lock);
	i->released = true;
	g_cond_signal(&i->changed);
	g_mutex_unlock(&i->lock);
	g_thread_join(i->thread);
	i->thread = NULL;
	i->stopped = true;
	i->instance = NULL;
}

void site_stop(struct site *s, uint32_t instance)
{
	instance_stop(s->instances[instance].instance);
	end_instance(&s->instances[instance]);
	put_instances(s);
}

void site_kill(struct site *s, uint32_t instance)
{
	instance_stop(s->instances[instance].instance);
	instance_stop(s->instances[instance].instance);
	end_instance(&s->instances[instance]);
}

void site_free(struct site *s)
{
	uint32_t i;

	if (!s)
		return;
	for (i = 0; i < s->options.instances; i++)
		if (s->instances[i].thread)
			site_kill(s, i);
	if (s->members)
		members_free(s->members);
	if (s->store)
		store_free(s->store);
	g_free(s);
}

struct store *site_store(struct site *s)
{
	return s->store;
}

struct members *site_members(struct site *s)
{
	return s->members;
}

const char *site_client_address(const struct site *s, uint32_t instance)
{
	return s->instances[instance].settings.listen_clients;
}

const char *site_operator_address(const struct site *s, uint32_t instance)
{
	return s->instances[instance].settings.listen_operators;
}

const struct endpoint_spec *site_endpoint(const struct site *s,
					  uint32_t database, uint32_t member)
{
	return &s->databases[database].endpoints[member];
}

static json_t *zones_json(const struct settings *t)
{
	json_t *zones = json_array();
	uint32_t i;

	for (i = 0; i < t->zone_count; i++)
		json_array_append_new(zones, json_string(t->zones[i]));
	return zones;
}

char *site_settings_text(const struct site *s, uint32_t instance)
{
	const struct settings *t = &s->instances[instance].settings;
	char secret[SECRET_BYTES * 2 + 1];
	json_t *root;
	char *text;

	sodium_bin2hex(secret, sizeof(secret), t->token_secret,
		       sizeof(t->token_secret));
	root = json_pack("{s:s,s:s,s:o,s:{s:s,s:s,s:s},s:s,s:s,s:s}",
			 "instance", t->instance, "zone", t->zone, "zones",
			 zones_json(t), "listen", "callers", t->listen_clients,
			 "peers", t->listen_peers, "operators",
			 t->listen_operators, "platform", t->platform,
			 "token_secret", secret, "log_level", t->log_level);
	text = json_dumps(root, JSON_INDENT(2));
	json_decref(root);
	return text;
}

const struct endpoint_spec *site_member(const struct site *s, const char *name)
{
	uint32_t i, k;

	for (i = 0; i < s->options.databases; i++)
		for (k = 0; k < s->databases[i].endpoint_count; k++)
			if (!strcmp(s->databases[i].endpoints[k].name, name))
				return &s->databases[i].endpoints[k];
	return NULL;
}

static bool put_contract(struct site *s, const char *account, uint32_t rate,
			 uint32_t burst, json_t *keys)
{
	json_t *databases = json_object();
	uint32_t i;

	for (i = 0; i < s->options.databases; i++)
		json_object_set_new(databases, s->databases[i].name,
				    json_pack("{s:i}", "max_age_ms", 60000));
	return put_json(s, "contract", account,
			json_pack("{s:i,s:i,s:i,s:i,s:b,s:o,s:o}", "rate_per_s",
				  (int)rate, "burst", (int)burst, "weight", 1,
				  "transactions", 4, "serve_isolated", 0,
				  "databases", databases, "keys", keys));
}

bool site_put_contract(struct site *s, const char *account, uint32_t rate,
		       uint32_t burst, char key[SITE_KEY_BYTES])
{
	uint8_t secret[SITE_KEY_BYTES / 2];
	char hash[33];

	randombytes_buf(secret, sizeof(secret));
	sodium_bin2hex(key, SITE_KEY_BYTES, secret, sizeof(secret));
	key_text(key_hash(key, strlen(key)), hash);
	return put_contract(s, account, rate, burst,
			    json_pack("[{s:s}]", "hash", hash));
}

bool site_put_contract_without_keys(struct site *s, const char *account,
				    uint32_t rate, uint32_t burst)
{
	return put_contract(s, account, rate, burst, json_array());
}
