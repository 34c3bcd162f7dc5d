/** @file reserve_store.c Calls to the store for the token reserves. */
#include "reserve_store.h"

#define HEX "%016" G_GINT64_MODIFIER "x"
#define HEX_BYTES 17

struct reserve_store {
	struct loop *loop;
	struct reserve_store_options options;
	struct proxy_sink sink;
	GThreadPool *threads;
	_Atomic uint64_t calls;
	atomic_bool stopping;
};

/* A call and its answer, passed to the worker thread and back. */
struct job {
	struct reserve_store *store;
	struct reserve_call call;
	struct reserve_answer answer;
	struct reserve_object *list;
};

static void on_done(void *arg)
{
	struct job *job = arg;
	struct proxy_event event = { .kind = PROXY_RESERVED,
				     .reserve = &job->answer };
	uint32_t i;

	job->answer.list = job->list;
	if (!atomic_load(&job->store->stopping))
		proxy_sink_event(&job->store->sink, &event);
	for (i = 0; i < job->answer.count; i++)
		reserve_object_clear(&job->list[i]);
	g_free(job->list);
	reserve_object_clear(&job->call.object);
	g_free(job);
}

static bool parse_hex(const char *text, uint64_t *out)
{
	guint64 number;

	if (!text || !g_ascii_string_to_unsigned(text, 16, 0, G_MAXUINT64,
						 &number, NULL))
		return false;
	*out = number;
	return true;
}

static uint64_t number_of(const json_t *value, const char *name)
{
	return (uint64_t)json_integer_value(json_object_get(value, name));
}

/*
 * Reads an object of the store; false when its name is not that of an instance.
 * Malformed reserves are left out, so that nobody claims them.
 */
static bool parse(const struct store_object *in, struct reserve_object *out)
{
	json_t *accounts = json_object_get(in->value, "accounts");
	const char *key;
	hm_id account;
	json_t *tokens;

	*out = (struct reserve_object){ 0 };
	if (!parse_hex(in->name, &out->instance))
		return false;
	out->revision = in->at.revision;
	out->era = number_of(in->value, "era");
	out->sequence = number_of(in->value, "sequence");
	out->zone = (uint16_t)number_of(in->value, "zone");
	parse_hex(json_string_value(json_object_get(in->value, "incarnation")),
		  &out->incarnation);
	json_object_foreach(accounts, key,
			    tokens) if (parse_hex(key, &account) &&
					json_integer_value(tokens) > 0 &&
					json_integer_value(tokens) <=
						UINT32_MAX)
		reserve_object_add(out, account,
				   (uint32_t)json_integer_value(tokens));
	return true;
}

static json_t *format(const struct reserve_object *o)
{
	json_t *accounts = json_object();
	char text[HEX_BYTES];
	uint32_t i;

	for (i = 0; i < o->count; i++) {
		g_snprintf(text, sizeof(text), HEX, o->entries[i].account);
		json_object_set_new(accounts, text,
				    json_integer(o->entries[i].tokens));
	}
	g_snprintf(text, sizeof(text), HEX, o->incarnation);
	return json_pack("{s:I, s:s, s:I, s:i, s:o}", "era", (json_int_t)o->era,
			 "incarnation", text, "sequence",
			 (json_int_t)o->sequence, "zone", (int)o->zone,
			 "accounts", accounts);
}

static hm_time call_until(struct job *job)
{
	atomic_fetch_add(&job->store->calls, 1);
	return loop_now() + job->store->options.call_limit;
}

static void read_all(struct job *job, struct store_client *client)
{
	struct store_objects found;
	size_t i;

	if (store_client_list(client, STORE_RESERVES, false, call_until(job),
			      &found) != STORE_OK)
		return;
	job->list = g_new0(struct reserve_object, found.count + 1);
	for (i = 0; i < found.count; i++)
		if (parse(&found.list[i], &job->list[job->answer.count]))
			job->answer.count++;
	job->answer.ok = true;
	job->answer.era = found.at.era;
	store_objects_clear(&found);
}

static void read_one(struct job *job, struct store_client *client,
		     const char *name)
{
	struct store_object found;
	enum store_outcome outcome = store_client_read(
		client, STORE_RESERVES, name, call_until(job), &found);

	if (outcome != STORE_OK && outcome != STORE_NOT_FOUND)
		return;
	job->list = g_new0(struct reserve_object, 1);
	if (outcome == STORE_OK && parse(&found, job->list))
		job->answer.count = 1;
	job->answer.ok = true;
	job->answer.era = found.at.era;
	store_object_clear(&found);
}

static void write_one(struct job *job, struct store_client *client,
		      const char *name)
{
	json_t *value = format(&job->call.object);
	struct store_version at;

	store_client_write(client, STORE_RESERVES, name,
			   job->call.object.revision, value, call_until(job),
			   &at);
	json_decref(value);
}

static void run(gpointer data, gpointer unused)
{
	struct job *job = data;
	const struct reserve_store_options *o = &job->store->options;
	struct http_client *http = http_client_new(o->store_address);
	struct store_client client = { o->api, http, o->era };
	char name[HEX_BYTES];

	(void)unused;
	if (atomic_load(&job->store->stopping))
		goto done;
	g_snprintf(name, sizeof(name), HEX, job->call.object.instance);
	if (job->call.kind == RESERVE_LIST) {
		read_all(job, &client);
	} else {
		if (job->call.kind == RESERVE_WRITE)
			write_one(job, &client, name);
		read_one(job, &client, name);
	}
done:
	http_client_free(http);
	loop_post(job->store->loop, on_done, job);
}

struct reserve_store *reserve_store_new(struct loop *loop,
					const struct reserve_store_options *o,
					struct proxy_sink sink)
{
	struct reserve_store *s = g_new0(struct reserve_store, 1);

	s->loop = loop;
	s->options = *o;
	s->sink = sink;
	s->threads = g_thread_pool_new(run, s, 1, FALSE, NULL);
	return s;
}

void reserve_store_free(struct reserve_store *s)
{
	if (!s)
		return;
	atomic_store(&s->stopping, true);
	/* Jobs that are still queued run without a call, and are freed. */
	g_thread_pool_free(s->threads, FALSE, TRUE);
	loop_drain(s->loop);
	g_free(s);
}

void reserve_store_submit(struct reserve_store *s,
			  const struct reserve_call *call)
{
	struct job *job = g_new0(struct job, 1);

	job->store = s;
	job->call.kind = call->kind;
	job->call.object = reserve_object_copy(&call->object);
	g_thread_pool_push(s->threads, job, NULL);
}

uint64_t reserve_store_calls(const struct reserve_store *s)
{
	return atomic_load(&s->calls);
}
