/** @file object_store.c Stand-in for the object store, over HTTP. */
#include "object_store.h"

#include <arpa/inet.h>
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "object_history.h"
#include "raw_values.h"

#define LINE_BYTES 4096

struct object_store {
	struct line_members *members;
	GMutex lock;
	GCond changed;
	struct object_history *history;
	GPtrArray *raw_values;
	size_t page_objects; /* per page of a list, 0: no limit */
	uint64_t token;	     /* highest fencing token of promote calls */
	int listener;
	char address[ADDRESS_BYTES];
	GThread *thread;
	GPtrArray *threads;
	GArray *fds;
	/* reads whose path contains this text are delayed */
	char delayed_path[NAME_BYTES];
	uint32_t delayed; /* number of answers being delayed */
	bool down;
	guint silent; /* connections up to this one get no answer */
	bool watches_muted;
	bool stopping;
};

struct request {
	char method[8];
	char path[LINE_BYTES];
	uint64_t token;
	size_t body_bytes;
	json_t *body;
};

/*
 * Events that a watch from revision @a from reports now; none while watches are
 * muted.
 */
static json_t *changes_for_watch(const struct object_store *s, const char *kind,
				 uint64_t from)
{
	return s->watches_muted ? json_array()
				: history_events(s->history, kind, from);
}

static int watch(struct object_store *s, const char *kind, uint64_t from,
		 gint64 wait_ms, json_t **out)
{
	gint64 until = g_get_monotonic_time() + wait_ms * 1000;
	json_t *array = changes_for_watch(s, kind, from);

	while (!json_array_size(array) && !s->stopping &&
	       from <= history_revision(s->history) &&
	       g_cond_wait_until(&s->changed, &s->lock, until)) {
		json_decref(array);
		array = changes_for_watch(s, kind, from);
	}
	if (from > history_revision(s->history)) {
		json_decref(array);
		return 410;
	}
	*out = json_pack("{s:o, s:I}", "events", array, "AtRev",
			 (json_int_t)history_revision(s->history));
	return 200;
}

static uint64_t query_number(const char *query, const char *field)
{
	const char *at = query ? strstr(query, field) : NULL;

	return at ? g_ascii_strtoull(at + strlen(field), NULL, 10) : 0;
}

static const char *name_at(const json_t *items, size_t index)
{
	json_t *meta = json_object_get(json_array_get(items, index), "meta");

	return json_string_value(json_object_get(meta, "Name"));
}

/* Keeps the objects of a list that are on the page that @a query asks for. */
static void keep_page(json_t *list, const char *query, size_t objects)
{
	static const char field[] = "after=";
	const char *after = query ? strstr(query, field) : NULL;
	json_t *items = json_object_get(list, "items");
	char *name = after ? g_uri_unescape_string(after + strlen(field), NULL)
			   : NULL;
	size_t first = 0;

	while (name && first < json_array_size(items) &&
	       strcmp(name_at(items, first++), name) != 0)
		;
	g_free(name);
	while (first-- > 0)
		json_array_remove(items, 0);
	if (json_array_size(items) <= objects)
		return;
	while (json_array_size(items) > objects)
		json_array_remove(items, objects);
	json_object_set_new(list, "HasMore", json_true());
}

static int read_call(struct object_store *s, char **parts, const char *query,
		     json_t **out)
{
	const struct stored_object *o;

	if (query && strstr(query, "Watch="))
		return watch(s, parts[0], query_number(query, "Watch="),
			     (gint64)query_number(query, "WaitMs="), out);
	if (!parts[1]) {
		*out = history_list(s->history, parts[0]);
		if (s->page_objects)
			keep_page(*out, query, s->page_objects);
		return 200;
	}
	o = history_find(s->history, parts[0], parts[1]);
	if (!o)
		return 404;
	*out = history_object(o);
	return 200;
}

static int write_call(struct object_store *s, const struct request *r,
		      char **parts, json_t **out)
{
	json_t *meta = json_object_get(r->body, "meta");
	const char *name = json_string_value(json_object_get(meta, "Name"));
	const json_t *revision = json_object_get(meta, "Revision");
	const struct stored_object *o;
	bool creates = !strcmp(r->method, "POST");

	if (!name)
		return 400;
	o = history_find(s->history, parts[0], name);
	if (!o && !creates)
		return 404;
	if (o && (creates || (revision && json_integer_value(revision) !=
						  (json_int_t)o->revision)))
		return 409;
	o = history_put(s->history, parts[0], name,
			json_object_get(r->body, "spec"), false);
	g_cond_broadcast(&s->changed);
	*out = history_object(o);
	return 200;
}

static int promote_call(struct object_store *s, const struct request *r)
{
	const char *id = json_string_value(json_object_get(r->body, "Id"));

	if (r->token < s->token)
		return 409;
	s->token = r->token;
	return id && line_members_promote(s->members, id) ? 200 : 409;
}

static int handle(struct object_store *s, const struct request *r, json_t **out)
{
	static const char prefix[] = "/objects/";
	char **halves, **parts;
	int status;

	if (s->down)
		return 503;
	if (!strcmp(r->path, "/promote"))
		return promote_call(s, r);
	if (!g_str_has_prefix(r->path, prefix))
		return 404;
	halves = g_strsplit(r->path + strlen(prefix), "?", 2);
	parts = g_strsplit(halves[0], "/", 2);
	if (!strcmp(r->method, "GET"))
		status = read_call(s, parts, halves[1], out);
	else
		status = write_call(s, r, parts, out);
	g_strfreev(parts);
	g_strfreev(halves);
	return status;
}

static bool read_request(FILE *in, struct request *r)
{
	static const char fence[] = "Hyssopmount-Fencing-Token:";
	static const char length[] = "Content-Length:";
	char line[LINE_BYTES];
	char *body;

	memset(r, 0, sizeof(*r));
	if (!fgets(line, sizeof(line), in) ||
	    sscanf(line, "%7s %4095s", r->method, r->path) != 2)
		return false;
	while (fgets(line, sizeof(line), in) && line[0] != '\r') {
		if (!g_ascii_strncasecmp(line, length, strlen(length)))
			r->body_bytes =
				strtoul(line + strlen(length), NULL, 10);
		if (!g_ascii_strncasecmp(line, fence, strlen(fence)))
			r->token = strtoul(line + strlen(fence), NULL, 10);
	}
	if (!r->body_bytes)
		return true;
	body = g_malloc(r->body_bytes);
	if (fread(body, 1, r->body_bytes, in) == r->body_bytes)
		r->body = json_loadb(body, r->body_bytes, 0, NULL);
	g_free(body);
	return true;
}

/* Argument of the thread that serves a connection. */
struct accepted_conn {
	struct object_store *store;
	int fd;
	guint number; /* counts the connections so far */
};

/*
 * Waits while the answer to @a r, already composed, is to be delayed. Called
 * with the lock held.
 */
static void wait_while_delayed(struct object_store *s, const struct request *r)
{
	s->delayed++;
	while (s->delayed_path[0] && !s->stopping &&
	       !strcmp(r->method, "GET") && strstr(r->path, s->delayed_path) &&
	       !strstr(r->path, "Watch="))
		g_cond_wait(&s->changed, &s->lock);
	s->delayed--;
}

static char *answer_text(struct object_store *s, const json_t *json)
{
	char *dumped = json ? json_dumps(json, JSON_COMPACT) : NULL;
	char *text = g_strdup(dumped ? dumped : "{}");

	free(dumped);
	g_mutex_lock(&s->lock);
	text = raw_values_insert(s->raw_values, text);
	g_mutex_unlock(&s->lock);
	return text;
}

static gpointer serve(gpointer data)
{
	struct accepted_conn *v = data;
	FILE *in = fdopen(dup(v->fd), "r");
	struct request r;
	char *text, *answer;
	json_t *json;
	uint64_t era;
	bool silent;
	int status;

	while (read_request(in, &r)) {
		json = NULL;
		g_mutex_lock(&v->store->lock);
		status = handle(v->store, &r, &json);
		era = history_era(v->store->history);
		wait_while_delayed(v->store, &r);
		silent = v->number <= v->store->silent;
		g_mutex_unlock(&v->store->lock);
		text = answer_text(v->store, json);
		answer = g_strdup_printf(
			"HTTP/1.1 %d X\r\nStore-Era: %" G_GUINT64_FORMAT
			"\r\nContent-Length: %zu\r\n\r\n%s",
			status, era, strlen(text), text);
		status = silent ? 0
				: (int)send(v->fd, answer, strlen(answer),
					    MSG_NOSIGNAL);
		g_free(text);
		g_free(answer);
		json_decref(json);
		json_decref(r.body);
		if (status < 0)
			break;
	}
	fclose(in);
	shutdown(v->fd, SHUT_RDWR);
	g_free(v);
	return NULL;
}

static gpointer accept_all(gpointer data)
{
	struct object_store *s = data;
	struct accepted_conn *v;
	int fd;

	while ((fd = accept(s->listener, NULL, NULL)) >= 0) {
		v = g_new0(struct accepted_conn, 1);
		v->store = s;
		v->fd = fd;
		v->number = s->threads->len + 1;
		g_array_append_val(s->fds, fd);
		g_ptr_array_add(s->threads, g_thread_new("store", serve, v));
	}
	return NULL;
}

struct object_store *object_store_new(struct line_members *members)
{
	struct object_store *s = g_new0(struct object_store, 1);
	struct sockaddr_in at = { .sin_family = AF_INET };
	socklen_t bytes = sizeof(at);

	s->members = members;
	g_mutex_init(&s->lock);
	g_cond_init(&s->changed);
	s->history = history_new();
	s->raw_values = g_ptr_array_new_with_free_func(g_free);
	s->threads = g_ptr_array_new();
	s->fds = g_array_new(FALSE, FALSE, sizeof(int));
	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	s->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (bind(s->listener, (struct sockaddr *)&at, sizeof(at)) ||
	    listen(s->listener, SOMAXCONN) ||
	    getsockname(s->listener, (struct sockaddr *)&at, &bytes))
		return NULL;
	g_snprintf(s->address, sizeof(s->address), "127.0.0.1:%u",
		   ntohs(at.sin_port));
	s->thread = g_thread_new("accept", accept_all, s);
	return s;
}

void object_store_free(struct object_store *s)
{
	guint i;

	if (!s)
		return;
	g_mutex_lock(&s->lock);
	s->stopping = true;
	g_cond_broadcast(&s->changed);
	g_mutex_unlock(&s->lock);
	shutdown(s->listener, SHUT_RDWR);
	g_thread_join(s->thread);
	close(s->listener);
	for (i = 0; i < s->fds->len; i++)
		shutdown(g_array_index(s->fds, int, i), SHUT_RDWR);
	for (i = 0; i < s->threads->len; i++)
		g_thread_join(g_ptr_array_index(s->threads, i));
	for (i = 0; i < s->fds->len; i++)
		close(g_array_index(s->fds, int, i));
	g_ptr_array_unref(s->threads);
	history_free(s->history);
	g_ptr_array_unref(s->raw_values);
	g_array_unref(s->fds);
	g_cond_clear(&s->changed);
	g_mutex_clear(&s->lock);
	g_free(s);
}

const char *object_store_address(const struct object_store *s)
{
	return s->address;
}

/* Makes an external write, or a delete if @a json is NULL. */
static void put(struct object_store *s, const char *kind, const char *name,
		json_t *json)
{
	g_mutex_lock(&s->lock);
	history_put(s->history, kind, name, json, true);
	g_cond_broadcast(&s->changed);
	g_mutex_unlock(&s->lock);
}

void object_store_put(struct object_store *s, const char *kind,
		      const char *name, const char *spec)
{
	json_t *json = json_loads(spec, JSON_DECODE_ANY, NULL);

	put(s, kind, name, json);
	json_decref(json);
}

void object_store_put_raw(struct object_store *s, const char *kind,
			  const char *name, const char *raw)
{
	char *spec;

	g_mutex_lock(&s->lock);
	spec = raw_values_add(s->raw_values, raw);
	g_mutex_unlock(&s->lock);
	object_store_put(s, kind, name, spec);
	g_free(spec);
}

void object_store_set_page(struct object_store *s, size_t objects)
{
	g_mutex_lock(&s->lock);
	s->page_objects = objects;
	g_mutex_unlock(&s->lock);
}

void object_store_remove(struct object_store *s, const char *kind,
			 const char *name)
{
	put(s, kind, name, NULL);
}

void object_store_set_down(struct object_store *s, bool down)
{
	g_mutex_lock(&s->lock);
	s->down = down;
	g_mutex_unlock(&s->lock);
}

void object_store_silence_connections(struct object_store *s)
{
	g_mutex_lock(&s->lock);
	s->silent = s->threads->len;
	g_mutex_unlock(&s->lock);
}

void object_store_mute_watches(struct object_store *s, bool muted)
{
	g_mutex_lock(&s->lock);
	s->watches_muted = muted;
	g_mutex_unlock(&s->lock);
}

void object_store_delay_reads(struct object_store *s, const char *path)
{
	g_mutex_lock(&s->lock);
	g_strlcpy(s->delayed_path, path ? path : "", sizeof(s->delayed_path));
	g_cond_broadcast(&s->changed);
	g_mutex_unlock(&s->lock);
}

bool object_store_has_delayed(struct object_store *s)
{
	bool waiting;

	g_mutex_lock(&s->lock);
	waiting = s->delayed > 0;
	g_mutex_unlock(&s->lock);
	return waiting;
}

uint64_t object_store_token(struct object_store *s)
{
	uint64_t token;

	g_mutex_lock(&s->lock);
	token = s->token;
	g_mutex_unlock(&s->lock);
	return token;
}

uint64_t object_store_revision(struct object_store *s)
{
	uint64_t revision;

	g_mutex_lock(&s->lock);
	revision = history_revision(s->history);
	g_mutex_unlock(&s->lock);
	return revision;
}

void object_store_restore(struct object_store *s, uint64_t revision)
{
	g_mutex_lock(&s->lock);
	history_restore(s->history, revision);
	g_cond_broadcast(&s->changed);
	g_mutex_unlock(&s->lock);
}

void object_store_rewrite_external(struct object_store *s,
				   enum external_order order)
{
	g_mutex_lock(&s->lock);
	history_rewrite_external(s->history, order);
	g_cond_broadcast(&s->changed);
	g_mutex_unlock(&s->lock);
}
