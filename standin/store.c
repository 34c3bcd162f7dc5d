/** @file store.c Stand-in platform over HTTP/1.1, built on h2o. */
#include "store.h"

#include <arpa/inet.h>
#include <glib.h>
#include <h2o.h>
#include <h2o/http1.h>
#include <netdb.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../src/address.h"
#include "../src/loop.h"
#include "objects.h"

#define LISTEN_BACKLOG 256
#define BODY_MAX_BYTES (2 * 1024 * 1024)
#define WATCH_WAIT_MAX_MS 60000
#define STOP_CHECK_INTERVAL (5 * HM_MS)
#define STOP_TIMEOUT HM_SEC

/** h2o handler with a reference to its store. */
struct store_handler {
	h2o_handler_t super;
	struct store *store;
};

struct store {
	char address[ADDRESS_BYTES];
	struct loop *loop;
	GThread *thread;
	h2o_globalconf_t config;
	h2o_context_t context;
	h2o_accept_ctx_t accept;
	h2o_socket_t *listener;
	GQueue sockets; /**< of struct open_socket */
	GQueue open;	/**< of struct call, requests not yet freed */
	struct timer *stop;
	hm_time stop_at; /**< the thread ends at the latest then */

	GMutex lock; /**< guards the fields below */
	struct objects *objects;
	json_t *instances;
	struct store_faults faults;
	struct store_counters counters;
	hm_time second; /**< start of the current rate-limit second */
	uint32_t calls; /**< calls in that second */
};

/** A client socket, which is shut down when the store is freed. */
struct open_socket {
	struct store *store;
	h2o_socket_t *socket;
};

/** One request; allocated in the pool of its h2o request. */
struct call {
	struct store *store;
	h2o_req_t *req;
	struct timer *timer; /**< delays the answer, or ends a watch */
	char *kind;
	char *name;    /**< NULL for a list */
	uint64_t from; /**< watches: changes after this version */
	bool waiting;  /**< a watch that has no changes yet */
	bool sent;
	bool answer_lost; /**< close the connection, don't answer */
	int status;
	char *body;
};

static void dispose_call(void *data)
{
	struct call *c = data;

	g_queue_remove(&c->store->open, c);
	timer_free(c->timer);
	g_free(c->kind);
	g_free(c->name);
	free(c->body);
}

static void cut(struct call *c)
{
	h2o_socket_t *socket =
		c->req->conn->callbacks->get_socket(c->req->conn);

	shutdown(h2o_socket_get_fd(socket), SHUT_RDWR);
}

static void send_answer(void *arg)
{
	struct call *c = arg;
	h2o_req_t *req = c->req;
	const char *body = c->body ? c->body : "{}";

	if (c->sent)
		return;
	c->sent = true;
	if (c->answer_lost)
		cut(c);
	req->res.status = c->status;
	req->res.reason = "-";
	req->http1_is_persistent = 0;
	h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE,
		       NULL, H2O_STRLIT("application/json"));
	h2o_send_inline(req, body, strlen(body));
}

/*
 * Answers the call with @a json, whose reference it consumes. Called with the
 * lock held.
 */
static void answer(struct call *c, int status, json_t *json)
{
	hm_time slow = c->store->faults.slow;

	c->status = status;
	c->body = json ? json_dumps(json, JSON_COMPACT) : NULL;
	json_decref(json);
	timer_free(c->timer);
	c->timer = timer_new(c->store->loop, send_answer, c);
	timer_set(c->timer, loop_now() + slow);
}

static void answer_watch(struct call *c, json_t *changes)
{
	json_int_t version = (json_int_t)objects_version(c->store->objects);

	c->waiting = false;
	if (!changes)
		changes = json_pack("{s:I, s:[]}", "version", version, "items");
	answer(c, 200, changes);
}

static void expire_watch(void *arg)
{
	struct call *c = arg;

	g_mutex_lock(&c->store->lock);
	answer_watch(c, NULL);
	g_mutex_unlock(&c->store->lock);
}

/* Answers the watches that have changes to report. */
static void wake_watches(void *arg)
{
	struct store *s = arg;
	json_t *changes;
	GList *at;

	g_mutex_lock(&s->lock);
	for (at = s->open.head; at; at = at->next) {
		struct call *c = at->data;

		if (!c->waiting)
			continue;
		changes = objects_changed_since(s->objects, c->kind, c->from);
		if (changes)
			answer_watch(c, changes);
	}
	g_mutex_unlock(&s->lock);
}

static uint64_t query_number(GHashTable *query, const char *name)
{
	const char *text = query ? g_hash_table_lookup(query, name) : NULL;

	return text ? g_ascii_strtoull(text, NULL, 10) : 0;
}

static void start_watch(struct call *c, GHashTable *query)
{
	struct store *s = c->store;
	uint64_t wait = MIN(query_number(query, "wait_ms"), WATCH_WAIT_MAX_MS);
	json_t *changes;

	s->counters.watches++;
	c->from = query_number(query, "from");
	if (s->faults.silent_watch)
		return;
	changes = objects_changed_since(s->objects, c->kind, c->from);
	if (changes) {
		answer_watch(c, changes);
		return;
	}
	c->waiting = true;
	c->timer = timer_new(s->loop, expire_watch, c);
	timer_set(c->timer, loop_now() + (hm_time)wait * HM_MS);
}

static void read_objects(struct call *c, GHashTable *query)
{
	struct store *s = c->store;
	bool stale = s->faults.stale_reads;
	json_t *object;

	if (!c->name && query_number(query, "watch")) {
		start_watch(c, query);
		return;
	}
	s->counters.reads++;
	if (!c->name) {
		answer(c, 200, objects_list(s->objects, c->kind, stale));
		return;
	}
	object = objects_get(s->objects, c->kind, c->name, stale);
	answer(c, object ? 200 : 404, object);
}

/* Sets the object, or deletes it if @a value is NULL. */
static void change_object(struct call *c, uint64_t if_version, json_t *value)
{
	struct store *s = c->store;
	bool changed;

	s->counters.writes++;
	c->answer_lost = s->faults.lose_answer;
	changed =
		objects_change(s->objects, c->kind, c->name, if_version, value);
	answer(c, changed ? 200 : 409,
	       objects_get_with_deleted(s->objects, c->kind, c->name));
	if (changed)
		loop_post(s->loop, wake_watches, s);
}

static void put_object(struct call *c)
{
	json_t *body =
		json_loadb(c->req->entity.base, c->req->entity.len, 0, NULL);
	json_t *value = json_object_get(body, "value");
	json_t *version = json_object_get(body, "if_version");

	if (json_is_object(value) && json_is_integer(version))
		change_object(c, (uint64_t)json_integer_value(version), value);
	else
		answer(c, 400, NULL);
	json_decref(body);
}

static bool is_method(const struct call *c, const char *method)
{
	return h2o_memis(c->req->method.base, c->req->method.len, method,
			 strlen(method));
}

static void route_object(struct call *c, GHashTable *query)
{
	if (is_method(c, "GET"))
		read_objects(c, query);
	else if (is_method(c, "PUT") && c->name)
		put_object(c);
	else if (is_method(c, "DELETE") && c->name)
		change_object(c, query_number(query, "if_version"), NULL);
	else
		answer(c, 405, NULL);
}

static void route_instances(struct call *c)
{
	c->store->counters.reads++;
	answer(c, 200, json_pack("{s:O}", "items", c->store->instances));
}

/* Routes /objects/KIND, /objects/KIND/NAME and /instances. */
static void route(struct call *c, const char *path, GHashTable *query)
{
	char **parts = g_strsplit(path, "/", 5);
	guint count = g_strv_length(parts);

	if (count == 2 && !strcmp(parts[1], "instances")) {
		route_instances(c);
	} else if ((count == 3 || count == 4) && !strcmp(parts[1], "objects") &&
		   object_name_valid(parts[2]) &&
		   (count == 3 || object_name_valid(parts[3]))) {
		c->kind = g_strdup(parts[2]);
		c->name = g_strdup(count == 4 ? parts[3] : NULL);
		route_object(c, query);
	} else {
		answer(c, 404, NULL);
	}
	g_strfreev(parts);
}

/*
 * Counts a call against the calls per second; false when an injected fault
 * refuses it.
 */
static bool admit(struct store *s)
{
	hm_time now = loop_now();

	if (now - s->second >= HM_SEC) {
		s->second = now;
		s->calls = 0;
	}
	s->calls++;
	if (!s->faults.down &&
	    (!s->faults.calls_limit || s->calls <= s->faults.calls_limit))
		return true;
	s->counters.refused++;
	return false;
}

static GHashTable *parse_query(const h2o_req_t *req)
{
	size_t at = req->query_at;

	if (at == SIZE_MAX)
		return NULL;
	return g_uri_parse_params(req->path.base + at + 1,
				  (gssize)(req->path.len - at - 1), "&",
				  G_URI_PARAMS_NONE, NULL);
}

static int on_request(h2o_handler_t *handler, h2o_req_t *req)
{
	struct store *s = ((struct store_handler *)handler)->store;
	struct call *c =
		h2o_mem_alloc_shared(&req->pool, sizeof(*c), dispose_call);
	char *path =
		g_strndup(req->path_normalized.base, req->path_normalized.len);
	GHashTable *query = parse_query(req);

	*c = (struct call){ .store = s, .req = req };
	g_queue_push_tail(&s->open, c);
	g_mutex_lock(&s->lock);
	if (admit(s))
		route(c, path, query);
	else
		answer(c, s->faults.down ? 503 : 429, NULL);
	g_mutex_unlock(&s->lock);
	if (query)
		g_hash_table_unref(query);
	g_free(path);
	return 0;
}

static void on_socket_close(void *data)
{
	struct open_socket *open = data;

	g_queue_remove(&open->store->sockets, open);
	g_free(open);
}

static void on_accept(h2o_socket_t *listener, const char *err)
{
	struct store *s = listener->data;
	struct open_socket *open;
	h2o_socket_t *socket;

	if (err)
		return;
	while ((socket = h2o_evloop_socket_accept(listener))) {
		open = g_new0(struct open_socket, 1);
		open->store = s;
		open->socket = socket;
		g_queue_push_tail(&s->sockets, open);
		socket->on_close.cb = on_socket_close;
		socket->on_close.data = open;
		h2o_accept(&s->accept, socket);
	}
}

/* Returns a descriptor that listens on "IP:port", -1 on failure. */
static int listen_on(const char *address)
{
	struct sockaddr_storage ss;
	int one = 1, fd;

	if (!address_parse(address, &ss))
		return -1;
	fd = socket(ss.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
		    0);
	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (!bind(fd, (struct sockaddr *)&ss, address_bytes(&ss)) &&
	    !listen(fd, LISTEN_BACKLOG))
		return fd;
	close(fd);
	return -1;
}

/* Writes the actual address of a listening descriptor as text. */
static void name_listener(int fd, char out[ADDRESS_BYTES])
{
	struct sockaddr_storage ss = { 0 };
	socklen_t bytes = sizeof(ss);
	char host[INET6_ADDRSTRLEN], port[8];

	getsockname(fd, (struct sockaddr *)&ss, &bytes);
	getnameinfo((struct sockaddr *)&ss, bytes, host, sizeof(host), port,
		    sizeof(port), NI_NUMERICHOST | NI_NUMERICSERV);
	g_snprintf(out, ADDRESS_BYTES,
		   ss.ss_family == AF_INET6 ? "[%s]:%s" : "%s:%s", host, port);
}

static void open_listener(struct store *s, int fd)
{
	s->listener = h2o_evloop_socket_create(loop_h2o(s->loop), fd,
					       H2O_SOCKET_FLAG_DONT_READ);
	s->listener->data = s;
	h2o_socket_read_start(s->listener, on_accept);
}

struct store *store_new(const char *address)
{
	int fd = listen_on(address);
	struct store_handler *handler;
	h2o_hostconf_t *host;
	struct store *s;

	if (fd < 0)
		return NULL;
	s = g_new0(struct store, 1);
	name_listener(fd, s->address);
	s->loop = loop_new();
	s->objects = objects_new();
	s->instances = json_array();
	g_mutex_init(&s->lock);
	h2o_config_init(&s->config);
	s->config.max_request_entity_size = BODY_MAX_BYTES;
	host = h2o_config_register_host(&s->config,
					h2o_iovec_init("default", 7), 65535);
	handler = (struct store_handler *)h2o_create_handler(
		&host->fallback_path, sizeof(*handler));
	handler->super.on_req = on_request;
	handler->store = s;
	h2o_context_init(&s->context, loop_h2o(s->loop), &s->config);
	s->accept.ctx = &s->context;
	s->accept.hosts = s->config.hosts;
	open_listener(s, fd);
	return s;
}

const char *store_address(const struct store *s)
{
	return s->address;
}

static gpointer run(gpointer data)
{
	struct store *s = data;
	sigset_t set;

	/* Writes to a closed connection must not end the process. */
	sigemptyset(&set);
	sigaddset(&set, SIGPIPE);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	loop_run(s->loop);
	return NULL;
}

void store_start(struct store *s)
{
	s->thread = g_thread_new("store", run, s);
}

/* Ends the loop when all sockets are closed, at the latest at stop_at. */
static void check_stopped(void *arg)
{
	struct store *s = arg;
	hm_time now = loop_now();

	if (!s->sockets.length || now >= s->stop_at)
		loop_stop(s->loop);
	else
		timer_set(s->stop, now + STOP_CHECK_INTERVAL);
}

static void begin_stop(void *arg)
{
	struct store *s = arg;
	GList *at, *next;

	h2o_socket_read_stop(s->listener);
	h2o_socket_close(s->listener);
	for (at = s->sockets.head; at; at = at->next) {
		struct open_socket *open = at->data;

		shutdown(h2o_socket_get_fd(open->socket), SHUT_RDWR);
	}
	for (at = s->open.head; at; at = next) {
		struct call *c = at->data;

		next = at->next;
		timer_free(c->timer);
		c->timer = NULL;
		send_answer(c);
	}
	s->stop_at = loop_now() + STOP_TIMEOUT;
	s->stop = timer_new(s->loop, check_stopped, s);
	timer_set(s->stop, 0);
}

void store_free(struct store *s)
{
	h2o_multithread_queue_t *queue;

	if (!s)
		return;
	if (!s->thread)
		store_start(s);
	loop_post(s->loop, begin_stop, s);
	g_thread_join(s->thread);
	timer_free(s->stop);
	queue = s->context.queue;
	h2o_context_dispose(&s->context);
#if H2O_VERSION_MAJOR == 2 && H2O_VERSION_MINOR == 2
	free(queue); /* h2o_multithread_destroy_queue() leaves it */
#endif
	h2o_config_dispose(&s->config);
	loop_free(s->loop);
	objects_free(s->objects);
	json_decref(s->instances);
	g_mutex_clear(&s->lock);
	g_free(s);
}

void store_set_faults(struct store *s, const struct store_faults *faults)
{
	g_mutex_lock(&s->lock);
	s->faults = *faults;
	g_mutex_unlock(&s->lock);
}

void store_get_counters(struct store *s, struct store_counters *out)
{
	g_mutex_lock(&s->lock);
	*out = s->counters;
	g_mutex_unlock(&s->lock);
}

bool store_put(struct store *s, const char *kind, const char *name,
	       const char *value)
{
	json_t *json = json_loads(value, 0, NULL);
	bool ok = json_is_object(json) && object_name_valid(kind) &&
		  object_name_valid(name);

	if (ok) {
		g_mutex_lock(&s->lock);
		ok = objects_change(s->objects, kind, name, OBJECTS_ANY, json);
		g_mutex_unlock(&s->lock);
		loop_post(s->loop, wake_watches, s);
	}
	json_decref(json);
	return ok;
}

bool store_instances(struct store *s, const char *items)
{
	json_t *json = json_loads(items, 0, NULL);

	if (!json_is_array(json)) {
		json_decref(json);
		return false;
	}
	g_mutex_lock(&s->lock);
	json_decref(s->instances);
	s->instances = json;
	g_mutex_unlock(&s->lock);
	return true;
}
