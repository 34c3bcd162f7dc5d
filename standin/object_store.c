/** @file object_store.c A store of objects over HTTP. */
#include "object_store.h"

#include <arpa/inet.h>
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LINE_ROOM 4096

struct object {
	char *kind;
	char *name;
	uint64_t revision;
	bool gone;
	json_t *spec;
};

struct object_store {
	struct line_members *members;
	GMutex lock;
	GCond changed;
	GPtrArray *objects;
	uint64_t revision;
	uint64_t token; /* highest one seen by promote calls */
	int listener;
	char address[ADDRESS_BYTES];
	GThread *thread;
	GPtrArray *threads;
	GArray *fds;
	bool down;
	bool deaf;
	bool stopping;
};

struct request {
	char method[8];
	char path[LINE_ROOM];
	uint64_t token;
	size_t body_bytes;
	json_t *body;
};

static struct object *find(struct object_store *s, const char *kind,
			   const char *name)
{
	guint i;

	for (i = 0; i < s->objects->len; i++) {
		struct object *o = g_ptr_array_index(s->objects, i);

		if (!strcmp(o->kind, kind) && !strcmp(o->name, name))
			return o;
	}
	return NULL;
}

static void free_object(gpointer data)
{
	struct object *o = data;

	g_free(o->kind);
	g_free(o->name);
	json_decref(o->spec);
	g_free(o);
}

/* The lock is held. */
static struct object *put(struct object_store *s, const char *kind,
			  const char *name, json_t *spec)
{
	struct object *o = find(s, kind, name);

	if (!o) {
		o = g_new0(struct object, 1);
		o->kind = g_strdup(kind);
		o->name = g_strdup(name);
		g_ptr_array_add(s->objects, o);
	}
	json_decref(o->spec);
	o->spec = json_incref(spec);
	o->gone = !spec;
	o->revision = ++s->revision;
	g_cond_broadcast(&s->changed);
	return o;
}

static json_t *object_json(const struct object *o)
{
	return json_pack("{s:{s:s, s:I}, s:O?}", "meta", "Name", o->name,
			 "Revision", (json_int_t)o->revision, "spec", o->spec);
}

static json_t *list(struct object_store *s, const char *kind)
{
	json_t *items = json_array();
	guint i;

	for (i = 0; i < s->objects->len; i++) {
		const struct object *o = g_ptr_array_index(s->objects, i);

		if (!strcmp(o->kind, kind) && !o->gone)
			json_array_append_new(items, object_json(o));
	}
	return json_pack("{s:o, s:b, s:I}", "items", items, "HasMore", 0,
			 "AtRev", (json_int_t)s->revision);
}

static json_t *events(struct object_store *s, const char *kind, uint64_t from)
{
	json_t *array = json_array();
	guint i;

	for (i = 0; i < s->objects->len; i++) {
		const struct object *o = g_ptr_array_index(s->objects, i);

		if (!strcmp(o->kind, kind) && o->revision > from)
			json_array_append_new(
				array,
				json_pack("{s:b, s:o}", "Tombstone", o->gone,
					  "Object", object_json(o)));
	}
	return array;
}

static json_t *watch(struct object_store *s, const char *kind, uint64_t from,
		     gint64 wait_ms)
{
	gint64 until = g_get_monotonic_time() + wait_ms * 1000;
	json_t *array = s->deaf ? json_array() : events(s, kind, from);

	while (!json_array_size(array) && !s->stopping &&
	       g_cond_wait_until(&s->changed, &s->lock, until)) {
		json_decref(array);
		array = s->deaf ? json_array() : events(s, kind, from);
	}
	return json_pack("{s:o, s:I}", "events", array, "AtRev",
			 (json_int_t)s->revision);
}

static uint64_t query_number(const char *query, const char *field)
{
	const char *at = query ? strstr(query, field) : NULL;

	return at ? g_ascii_strtoull(at + strlen(field), NULL, 10) : 0;
}

static int read_call(struct object_store *s, char **parts, const char *query,
		     json_t **out)
{
	struct object *o;

	if (parts[1]) {
		o = find(s, parts[0], parts[1]);
		if (!o || o->gone)
			return 404;
		*out = object_json(o);
	} else if (query && strstr(query, "Watch=")) {
		*out = watch(s, parts[0], query_number(query, "Watch="),
			     (gint64)query_number(query, "WaitMs="));
	} else {
		*out = list(s, parts[0]);
	}
	return 200;
}

static int write_call(struct object_store *s, const struct request *r,
		      char **parts, json_t **out)
{
	json_t *meta = json_object_get(r->body, "meta");
	const char *name = json_string_value(json_object_get(meta, "Name"));
	const json_t *revision = json_object_get(meta, "Revision");
	struct object *o = name ? find(s, parts[0], name) : NULL;

	if (!name)
		return 400;
	if (!strcmp(r->method, "POST")
		    ? o && !o->gone
		    : revision && o &&
			      (uint64_t)json_integer_value(revision) !=
				      o->revision)
		return 409;
	*out = object_json(
		put(s, parts[0], name, json_object_get(r->body, "spec")));
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
	char line[LINE_ROOM];
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

/* A connection on its way to its thread. */
struct served {
	struct object_store *store;
	int fd;
};

static gpointer serve(gpointer data)
{
	struct served *v = data;
	FILE *in = fdopen(dup(v->fd), "r");
	struct request r;
	char *text, *answer;
	json_t *json;
	int status;

	while (read_request(in, &r)) {
		json = NULL;
		g_mutex_lock(&v->store->lock);
		status = handle(v->store, &r, &json);
		g_mutex_unlock(&v->store->lock);
		text = json ? json_dumps(json, JSON_COMPACT) : strdup("{}");
		answer = g_strdup_printf("HTTP/1.1 %d X\r\nContent-Length: "
					 "%zu\r\n\r\n%s",
					 status, strlen(text), text);
		status = (int)send(v->fd, answer, strlen(answer), MSG_NOSIGNAL);
		free(text);
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
	struct served *v;
	int fd;

	while ((fd = accept(s->listener, NULL, NULL)) >= 0) {
		v = g_new0(struct served, 1);
		v->store = s;
		v->fd = fd;
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
	s->objects = g_ptr_array_new_with_free_func(free_object);
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
	g_ptr_array_unref(s->objects);
	g_array_unref(s->fds);
	g_cond_clear(&s->changed);
	g_mutex_clear(&s->lock);
	g_free(s);
}

const char *object_store_address(const struct object_store *s)
{
	return s->address;
}

void object_store_put(struct object_store *s, const char *kind,
		      const char *name, const char *spec)
{
	json_t *json = json_loads(spec, 0, NULL);

	g_mutex_lock(&s->lock);
	put(s, kind, name, json);
	g_mutex_unlock(&s->lock);
	json_decref(json);
}

void object_store_remove(struct object_store *s, const char *kind,
			 const char *name)
{
	g_mutex_lock(&s->lock);
	put(s, kind, name, NULL);
	g_mutex_unlock(&s->lock);
}

void object_store_down(struct object_store *s, bool down)
{
	g_mutex_lock(&s->lock);
	s->down = down;
	g_mutex_unlock(&s->lock);
}

void object_store_deaf(struct object_store *s, bool deaf)
{
	g_mutex_lock(&s->lock);
	s->deaf = deaf;
	g_mutex_unlock(&s->lock);
}
