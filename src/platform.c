/**
 * @file platform.c
 * Turns what the platform feed's threads read into events, on the loop's
 * thread.
 */
#include "platform.h"

#include <glib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "feed.h"
#include "log.h"
#include "spec.h"

#define REFUSED_PREFIX "refused."

/** The newest version read of one object of the platform. */
struct known_object {
	uint64_t version; /**< versions up to this one are ignored */
	bool deleted;
	/** last valid value of a database object; else NULL */
	struct database_spec *database;
};

struct platform {
	struct platform_options options;
	char **zones;
	struct sink sink;
	struct feed *feed;
	GAsyncQueue *inbox; /**< struct feed_item, pushed by feed threads */
	int wake_fd;
	struct watch *wake;
	GHashTable *contracts; /**< struct known_object by name */
	GHashTable *databases;
	GHashTable *evacuations;
	uint64_t evacuations_version; /**< newest version read of that kind */
};

static void free_known_object(gpointer data)
{
	struct known_object *s = data;

	g_free(s->database);
	g_free(s);
}

static struct known_object *find_or_add(GHashTable *table, const char *name)
{
	struct known_object *s = g_hash_table_lookup(table, name);

	if (!s) {
		s = g_new0(struct known_object, 1);
		g_hash_table_insert(table, g_strdup(name), s);
	}
	return s;
}

/*
 * Passes an item to the loop and wakes it. Called on the threads of the
 * platform feed.
 */
static void push_item(void *owner, struct feed_item *item)
{
	struct platform *p = owner;
	uint64_t one = 1;

	g_async_queue_push(p->inbox, item);
	if (write(p->wake_fd, &one, sizeof(one)) < 0)
		return; /* the eventfd counter is full: a wakeup is pending */
}

static void log_object(GLogLevelFlags level, const char *event,
		       const struct object *o, const char *fault)
{
	char version[24];

	g_snprintf(version, sizeof(version), "%" G_GUINT64_FORMAT, o->version);
	log_event(level, event, "kind", o->kind, "name", o->name, "version",
		  version, "fault", fault, NULL);
}

/*
 * Logs an invalid object and publishes the error text as a status object for
 * operators. The last valid version stays in force.
 */
static void report_invalid(struct platform *p, const struct object *o,
			   const char *fault)
{
	char *name = g_strdup_printf(REFUSED_PREFIX "%s.%s", o->kind, o->name);
	json_t *value;

	log_object(G_LOG_LEVEL_WARNING, "config_refused", o, fault);
	value = json_pack("{s:s, s:s, s:I, s:s}", "kind", o->kind, "name",
			  o->name, "version", (json_int_t)o->version, "fault",
			  fault);
	if (value && object_name_valid(name))
		feed_publish(p->feed, name, "version", o->version, value);
	else
		json_decref(value);
	g_free(name);
}

static void deliver_contract(struct platform *p, const struct contract *c)
{
	struct event event = { .kind = EV_CONTRACT, .contract = c };

	sink_event(&p->sink, &event);
}

static void handle_contract(struct platform *p, const struct object *o)
{
	char fault[SPEC_FAULT_BYTES];
	struct contract contract = { 0 };

	if (o->deleted) {
		g_strlcpy(contract.name, o->name, sizeof(contract.name));
		contract.account = name_id(contract.name);
		contract.version = o->version;
		contract.withdrawn = true;
	} else if (!spec_contract(o->name, o->value, o->version, &contract,
				  fault)) {
		report_invalid(p, o, fault);
		return;
	}
	log_object(G_LOG_LEVEL_INFO,
		   o->deleted ? "contract_withdrawn" : "contract", o, NULL);
	deliver_contract(p, &contract);
}

static void deliver_database(struct platform *p, const struct database_spec *d)
{
	struct event event = { .kind = EV_DATABASE, .database = d };

	sink_event(&p->sink, &event);
}

/*
 * Marks all endpoints of a deleted database group as leaving, so that the
 * group gets no new work.
 */
static void handle_deleted_database(struct platform *p, struct known_object *s,
				    const struct object *o)
{
	uint32_t i;

	log_object(G_LOG_LEVEL_INFO, "database_withdrawn", o, NULL);
	if (!s->database)
		return;
	s->database->version = o->version;
	for (i = 0; i < s->database->endpoint_count; i++)
		s->database->endpoints[i].leaving = true;
	deliver_database(p, s->database);
}

static struct zone_names zone_names_of(const struct platform *p)
{
	return (struct zone_names){ .names = (const char *const *)p->zones,
				    .count = p->options.zone_count };
}

static void handle_database(struct platform *p, struct known_object *s,
			    const struct object *o)
{
	struct database_spec database;
	char fault[SPEC_FAULT_BYTES];

	if (o->deleted) {
		handle_deleted_database(p, s, o);
		return;
	}
	if (!spec_database(o->name, o->value, o->version, zone_names_of(p),
			   &database, fault)) {
		report_invalid(p, o, fault);
		return;
	}
	log_object(G_LOG_LEVEL_INFO, "database", o, NULL);
	if (!s->database)
		s->database = g_new(struct database_spec, 1);
	*s->database = database;
	deliver_database(p, &database);
}

static void handle_evacuation(struct platform *p, const struct object *o)
{
	uint16_t zone;

	log_object(G_LOG_LEVEL_INFO,
		   o->deleted ? "evacuation_withdrawn" : "evacuation", o, NULL);
	if (!zone_names_find(zone_names_of(p), o->name, &zone))
		report_invalid(p, o, "no such zone");
}

/* Delivers which zones are to be evacuated, at the newest version read. */
static void deliver_evacuations(struct platform *p)
{
	struct event event = { .kind = EV_EVACUATION };
	gpointer name, value;
	GHashTableIter iter;
	uint16_t zone;

	g_hash_table_iter_init(&iter, p->evacuations);
	while (g_hash_table_iter_next(&iter, &name, &value))
		if (!((const struct known_object *)value)->deleted &&
		    zone_names_find(zone_names_of(p), name, &zone))
			event.evacuation.requested |= zone_bit(zone);
	/* A platform without any object has version 0, which is known, too. */
	event.evacuation.at.revision = p->evacuations_version + 1;
	sink_event(&p->sink, &event);
}

static GHashTable *known_objects(const struct platform *p, const char *kind)
{
	if (!strcmp(kind, KIND_CONTRACT))
		return p->contracts;
	return strcmp(kind, KIND_EVACUATION) ? p->databases : p->evacuations;
}

static void handle_object(struct platform *p, const struct object *o)
{
	struct known_object *s =
		find_or_add(known_objects(p, o->kind), o->name);

	if (o->version <= s->version)
		return;
	s->version = o->version;
	s->deleted = o->deleted;
	if (!strcmp(o->kind, KIND_CONTRACT))
		handle_contract(p, o);
	else if (!strcmp(o->kind, KIND_EVACUATION))
		handle_evacuation(p, o);
	else
		handle_database(p, s, o);
}

static GHashTable *list_names(const struct object_list *list)
{
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
	size_t i;

	for (i = 0; i < list->count; i++)
		g_hash_table_add(names, list->items[i].name);
	return names;
}

/*
 * Handles a known object that is absent from a newer list as deleted, with
 * the version of the list: the deletion is not newer than the list, and any
 * later version of the object has a higher number.
 */
static void detect_deletions(struct platform *p, const char *kind,
			     const struct object_list *list)
{
	GHashTable *names = list_names(list);
	gpointer name, value;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, known_objects(p, kind));
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const struct known_object *s = value;
		struct object deleted = { .version = list->version,
					  .deleted = true };

		if (s->deleted || s->version >= list->version ||
		    g_hash_table_contains(names, name))
			continue;
		g_strlcpy(deleted.kind, kind, sizeof(deleted.kind));
		g_strlcpy(deleted.name, name, sizeof(deleted.name));
		handle_object(p, &deleted);
	}
	g_hash_table_unref(names);
}

static void handle_objects(struct platform *p, const struct feed_item *item)
{
	size_t i;

	for (i = 0; i < item->list.count; i++)
		if (!strcmp(item->list.items[i].kind, item->kind))
			handle_object(p, &item->list.items[i]);
	if (item->complete)
		detect_deletions(p, item->kind, &item->list);
	if (strcmp(item->kind, KIND_EVACUATION) != 0)
		return;
	if (item->list.version > p->evacuations_version)
		p->evacuations_version = item->list.version;
	deliver_evacuations(p);
}

static bool parse_instance(const struct platform *p, const json_t *json,
			   struct platform_instance *out)
{
	const char *name = json_string_value(json_object_get(json, "name"));
	const char *zone = json_string_value(json_object_get(json, "zone"));
	const char *address =
		json_string_value(json_object_get(json, "address"));
	const char *state = json_string_value(json_object_get(json, "state"));

	*out = (struct platform_instance){ 0 };
	if (!name || !zone || !address || strlen(name) >= NAME_BYTES ||
	    strlen(address) >= ADDRESS_BYTES ||
	    !zone_names_find(zone_names_of(p), zone, &out->zone))
		return false;
	memcpy(out->name, name, strlen(name) + 1);
	memcpy(out->address, address, strlen(address) + 1);
	out->leaving = state && !strcmp(state, "leaving");
	return true;
}

static void deliver_instances(struct platform *p,
			      const struct platform_instance *list,
			      uint32_t count)
{
	struct listed_instance *listed = g_new0(struct listed_instance, count);
	struct event event = { .kind = EV_INSTANCES };
	uint32_t i;

	for (i = 0; i < count; i++) {
		listed[i].instance = name_id(list[i].name);
		listed[i].zone = list[i].zone;
		listed[i].leaving = list[i].leaving;
	}
	event.instances.list = listed;
	event.instances.count = count;
	sink_event(&p->sink, &event);
	if (p->options.instances)
		p->options.instances(p->sink.owner, list, count);
	g_free(listed);
}

static void handle_instances(struct platform *p, const json_t *items)
{
	size_t i, item_count = json_array_size(items);
	struct platform_instance *list =
		g_new(struct platform_instance, item_count);
	uint32_t count = 0;

	for (i = 0; i < item_count; i++) {
		if (parse_instance(p, json_array_get(items, i), &list[count]))
			count++;
		else
			log_event(G_LOG_LEVEL_WARNING, "instance_ignored",
				  "reason", "malformed", NULL);
	}
	deliver_instances(p, list, count);
	g_free(list);
}

static void handle_health(struct platform *p, bool ok)
{
	struct event event = { .kind = EV_PLATFORM, .platform_ok = ok };

	sink_event(&p->sink, &event);
}

static void handle_item(struct platform *p, const struct feed_item *item)
{
	switch (item->type) {
	case FEED_OBJECTS:
		handle_objects(p, item);
		break;
	case FEED_INSTANCES:
		handle_instances(p, item->instances);
		break;
	case FEED_HEALTH:
		handle_health(p, item->ok);
		break;
	}
}

static void on_wake(void *arg)
{
	struct platform *p = arg;
	struct feed_item *item;
	uint64_t count;

	if (read(p->wake_fd, &count, sizeof(count)) < 0)
		return;
	while ((item = g_async_queue_try_pop(p->inbox))) {
		handle_item(p, item);
		feed_item_free(item);
	}
}

static char **copy_zones(const char *const *zones, uint16_t count)
{
	char **copy = g_new0(char *, count + 1);
	uint16_t i;

	for (i = 0; i < count; i++)
		copy[i] = g_strdup(zones[i]);
	return copy;
}

static struct feed *start_feed(struct platform *p)
{
	struct feed_options options = { .address = p->options.address,
					.call_limit = p->options.call_limit,
					.watch_wait = p->options.watch_wait,
					.list_every = p->options.list_every,
					.seed = p->options.seed,
					.watch = p->options.watch,
					.deliver = push_item,
					.owner = p };

	return feed_new(&options);
}

struct platform *platform_new(struct loop *loop,
			      const struct platform_options *options,
			      struct sink sink)
{
	struct platform *p = g_new0(struct platform, 1);

	p->options = *options;
	p->zones = copy_zones(options->zones, options->zone_count);
	p->sink = sink;
	p->inbox = g_async_queue_new_full((GDestroyNotify)feed_item_free);
	p->contracts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     free_known_object);
	p->databases = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     free_known_object);
	p->evacuations = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       free_known_object);
	p->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	p->wake = watch_new(loop, p->wake_fd, on_wake, p);
	p->feed = start_feed(p);
	return p;
}

void platform_free(struct platform *p)
{
	if (!p)
		return;
	feed_free(p->feed);
	watch_free(p->wake);
	close(p->wake_fd);
	g_async_queue_unref(p->inbox);
	g_hash_table_unref(p->contracts);
	g_hash_table_unref(p->databases);
	g_hash_table_unref(p->evacuations);
	g_strfreev(p->zones);
	g_free(p);
}

void platform_watch(struct platform *p, bool watch)
{
	feed_watch(p->feed, watch);
}

void platform_announce(struct platform *p, const char *database,
		       const char *primary, uint64_t term)
{
	json_t *value = json_pack("{s:s, s:I}", "primary", primary, "term",
				  (json_int_t)term);

	if (value)
		feed_publish(p->feed, database, "term", term, value);
}

uint64_t platform_calls(const struct platform *p)
{
	return feed_calls(p->feed);
}
