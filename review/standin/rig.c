/** @file rig.c See rig.h. */
#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "../../standin/line_members.h"

#define LINE_BYTES 4096

struct object {
	char *kind, *name, *spec; /* spec as the JSON text it was given */
	uint64_t revision;
};

static struct {
	char root[512];
	FILE *record;
	GMutex record_lock;
	double started;
	struct line_members *members;
	/* store */
	GMutex lock;
	GCond changed;
	GPtrArray *objects; /* of struct object, the present ones */
	GPtrArray *events;  /* of struct object, all changes in order */
	uint64_t revision;
	uint64_t token;
	int store_listener;
	int store_port;
	/* instances */
	int sessions_port, health_port, peers_port, metrics_port;
	char folder[64];
	struct rig_instance instances[RIG_INSTANCES];
} rig;

static double seconds(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

double rig_now(void)
{
	return seconds() - rig.started;
}

void rig_sleep(double s)
{
	struct timespec t = { (time_t)s, (long)((s - (double)(time_t)s) * 1e9) };

	if (s > 0)
		nanosleep(&t, NULL);
}

void rig_record(const char *format, ...)
{
	va_list args;

	g_mutex_lock(&rig.record_lock);
	fprintf(rig.record, "%8.3f ", rig_now());
	va_start(args, format);
	vfprintf(rig.record, format, args);
	va_end(args);
	fputc('\n', rig.record);
	fflush(rig.record);
	g_mutex_unlock(&rig.record_lock);
}

/* ---- the store ---- */

static struct object *find(const char *kind, const char *name)
{
	guint i;

	for (i = 0; i < rig.objects->len; i++) {
		struct object *o = g_ptr_array_index(rig.objects, i);

		if (!strcmp(o->kind, kind) && !strcmp(o->name, name))
			return o;
	}
	return NULL;
}

static struct object *copy(const struct object *o)
{
	struct object *c = g_new0(struct object, 1);

	c->kind = g_strdup(o->kind);
	c->name = g_strdup(o->name);
	c->spec = g_strdup(o->spec);
	c->revision = o->revision;
	return c;
}

/* Called with the lock held. A write that changes nothing is no change. */
static struct object *put(const char *kind, const char *name, const char *spec)
{
	struct object *o = find(kind, name);

	if (o && !strcmp(o->spec, spec))
		return o;
	if (!o) {
		o = g_new0(struct object, 1);
		o->kind = g_strdup(kind);
		o->name = g_strdup(name);
		g_ptr_array_add(rig.objects, o);
	}
	g_free(o->spec);
	o->spec = g_strdup(spec);
	o->revision = ++rig.revision;
	g_ptr_array_add(rig.events, copy(o));
	g_cond_broadcast(&rig.changed);
	return o;
}

void rig_put(const char *kind, const char *name, const char *spec)
{
	uint64_t revision;

	g_mutex_lock(&rig.lock);
	revision = put(kind, name, spec)->revision;
	g_mutex_unlock(&rig.lock);
	rig_record("store: %s/%s acknowledged at revision %" G_GUINT64_FORMAT
		   ": %.200s",
		   kind, name, revision, spec);
}

static void append_object(GString *out, const struct object *o)
{
	g_string_append_printf(out,
			       "{\"meta\":{\"Name\":\"%s\",\"Revision\":"
			       "%" G_GUINT64_FORMAT "},\"spec\":%s}",
			       o->name, o->revision, o->spec);
}

static int list(const char *kind, GString *out)
{
	guint i, n = 0;

	g_string_append(out, "{\"items\":[");
	for (i = 0; i < rig.objects->len; i++) {
		const struct object *o = g_ptr_array_index(rig.objects, i);

		if (strcmp(o->kind, kind) != 0)
			continue;
		g_string_append(out, n++ ? "," : "");
		append_object(out, o);
	}
	g_string_append_printf(out,
			       "],\"HasMore\":false,\"AtRev\":"
			       "%" G_GUINT64_FORMAT "}",
			       rig.revision);
	return 200;
}

static guint append_events(const char *kind, uint64_t from, GString *out)
{
	guint i, n = 0;

	for (i = 0; i < rig.events->len; i++) {
		const struct object *o = g_ptr_array_index(rig.events, i);

		if (o->revision <= from || strcmp(o->kind, kind) != 0)
			continue;
		g_string_append(out, n++ ? "," : "");
		g_string_append(out, "{\"Object\":");
		append_object(out, o);
		g_string_append(out, ",\"Tombstone\":false}");
	}
	return n;
}

static uint64_t number_after(const char *text, const char *field)
{
	const char *at = text ? strstr(text, field) : NULL;

	return at ? g_ascii_strtoull(at + strlen(field), NULL, 10) : 0;
}

static int watch(const char *kind, const char *query, GString *out)
{
	uint64_t from = number_after(query, "Watch=");
	gint64 until = g_get_monotonic_time() +
		       (gint64)number_after(query, "WaitMs=") * 1000;

	g_string_append(out, "{\"events\":[");
	while (!append_events(kind, from, out) &&
	       g_cond_wait_until(&rig.changed, &rig.lock, until))
		;
	g_string_append_printf(out, "],\"AtRev\":%" G_GUINT64_FORMAT "}",
			       rig.revision);
	return 200;
}

/* The value of "Name" and the text after "spec": in a body of the system. */
static bool split_body(char *body, char **name, char **spec)
{
	char *at = strstr(body, "\"Name\":"), *end;

	*spec = strstr(body, "\"spec\":");
	if (!at || !*spec)
		return false;
	at = strchr(at + strlen("\"Name\":"), '"');
	end = at ? strchr(at + 1, '"') : NULL;
	if (!end)
		return false;
	*name = g_strndup(at + 1, (gsize)(end - at - 1));
	*spec = g_strdup(*spec + strlen("\"spec\":"));
	(*spec)[strlen(*spec) - 1] = '\0'; /* the closing brace of the body */
	return true;
}

static int write_object(const char *kind, bool creates, char *body, GString *out)
{
	uint64_t revision = number_after(body, "\"Revision\":");
	char *name, *spec;
	struct object *o;
	int status = 200;

	if (!body || !split_body(body, &name, &spec))
		return 400;
	o = find(kind, name);
	if (!o && !creates)
		status = 404;
	else if (o && (creates || (revision && revision != o->revision)))
		status = 409;
	if (status == 200)
		o = put(kind, name, spec);
	if (o)
		append_object(out, o);
	g_free(name);
	g_free(spec);
	return status;
}

static int promote(const char *body, uint64_t token)
{
	const char *at = body ? strstr(body, "\"Id\":") : NULL;
	char name[64] = "";

	if (at)
		sscanf(at, "\"Id\": \"%63[^\"]\"", name);
	rig.token = MAX(rig.token, token);
	rig_record("platform: POST /promote %s token %" G_GUINT64_FORMAT, name,
		   token);
	return name[0] && line_members_promote(rig.members, name) ? 200 : 409;
}

static int answer(const char *method, char *path, char *body, uint64_t token,
		  GString *out)
{
	static const char prefix[] = "/objects/";
	char *query = strchr(path, '?'), *name;
	const struct object *o;

	if (query)
		*query++ = '\0';
	if (!strcmp(path, "/promote"))
		return promote(body, token);
	if (strncmp(path, prefix, strlen(prefix)) != 0)
		return 404;
	path += strlen(prefix);
	name = strchr(path, '/');
	if (name)
		*name++ = '\0';
	if (strcmp(method, "GET") != 0)
		return write_object(path, !strcmp(method, "POST"), body, out);
	if (query && strstr(query, "Watch="))
		return watch(path, query, out);
	if (!name)
		return list(path, out);
	o = find(path, name);
	if (o)
		append_object(out, o);
	return o ? 200 : 404;
}

static gpointer serve_store(gpointer data)
{
	int fd = GPOINTER_TO_INT(data);
	FILE *in = fdopen(dup(fd), "r");
	char line[LINE_BYTES], method[8], path[LINE_BYTES];

	while (fgets(line, sizeof(line), in) &&
	       sscanf(line, "%7s %4095s", method, path) == 2) {
		GString *out = g_string_new(NULL);
		char *body = NULL, *head;
		uint64_t token = 0;
		size_t bytes = 0;
		int status;

		while (fgets(line, sizeof(line), in) && line[0] != '\r') {
			if (!g_ascii_strncasecmp(line, "Content-Length:", 15))
				bytes = strtoul(line + 15, NULL, 10);
			if (!g_ascii_strncasecmp(
				    line, "Hyssopmount-Fencing-Token:", 26))
				token = strtoull(line + 26, NULL, 10);
		}
		if (bytes) {
			body = g_malloc0(bytes + 1);
			if (fread(body, 1, bytes, in) != bytes)
				break;
		}
		g_mutex_lock(&rig.lock);
		status = answer(method, path, body, token, out);
		g_mutex_unlock(&rig.lock);
		if (!out->len)
			g_string_append(out, "{}");
		head = g_strdup_printf("HTTP/1.1 %d X\r\nContent-Type: "
				       "application/json\r\nContent-Length: "
				       "%zu\r\n\r\n",
				       status, out->len);
		g_string_prepend(out, head);
		g_free(head);
		g_free(body);
		rig_sleep(0.004); /* 4 ms an answer */
		if (send(fd, out->str, out->len, MSG_NOSIGNAL) < 0)
			status = -1;
		g_string_free(out, TRUE);
		if (status < 0)
			break;
	}
	fclose(in);
	close(fd);
	return NULL;
}

static gpointer accept_store(gpointer unused)
{
	int fd;

	(void)unused;
	while ((fd = accept(rig.store_listener, NULL, NULL)) >= 0)
		g_thread_unref(g_thread_new("store", serve_store,
					    GINT_TO_POINTER(fd)));
	return NULL;
}

/* ---- addresses ---- */

static struct sockaddr_in address_of(const char *ip, int port)
{
	struct sockaddr_in at = { .sin_family = AF_INET,
				  .sin_port = htons((uint16_t)port) };

	inet_pton(AF_INET, ip, &at.sin_addr);
	return at;
}

static int bind_to(const char *ip, int port)
{
	struct sockaddr_in at = address_of(ip, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (!bind(fd, (struct sockaddr *)&at, sizeof(at)))
		return fd;
	close(fd);
	return -1;
}

static int port_of(int fd)
{
	struct sockaddr_in at;
	socklen_t bytes = sizeof(at);

	getsockname(fd, (struct sockaddr *)&at, &bytes);
	return ntohs(at.sin_port);
}

/* A port that is free on the addresses of all instances. */
static int free_port(void)
{
	int tries, i, port = 0;

	for (tries = 0; tries < 100; tries++) {
		int first = bind_to(rig.instances[0].ip, 0);

		port = port_of(first);
		for (i = 1; i < RIG_INSTANCES; i++) {
			int fd = bind_to(rig.instances[i].ip, port);

			if (fd < 0)
				break;
			close(fd);
		}
		close(first);
		if (i == RIG_INSTANCES)
			break;
	}
	return port;
}

/* ---- instances ---- */

struct rig_instance *rig_instance(int index)
{
	return &rig.instances[index];
}

/* The settings that deploy/settings.json yields for machine @a index. */
static void write_settings(int index)
{
	static const char zones[] = "abc";
	struct rig_instance *in = &rig.instances[index];
	FILE *f;

	snprintf(in->settings, sizeof(in->settings), "%s/settings-%d.json",
		 rig.folder, index);
	f = fopen(in->settings, "w");
	fprintf(f,
		"{\"instance\":\"frontend-%c-1\",\"zone\":\"%c\",\"zones\":"
		"[\"a\",\"b\",\"c\"],\"regions\":{\"a\":\"r\",\"b\":\"r\","
		"\"c\":\"r\"},\"listen\":{\"sessions\":\"%s:%d\",\"health\":"
		"\"%s:%d\",\"health_path\":\"/readiness\",\"peers\":\"%s:%d\","
		"\"metrics\":\"%s:%d\",\"metrics_path\":\"/metrics\"},"
		"\"seeds\":[],\"store\":\"127.0.0.1:%d\",\"promote_calls\":"
		"\"127.0.0.1:%d\",\"promote_fenced\":false,\"capacity\":{"
		"\"processor_cores\":0.25,\"link_mbit\":1000.0},\"timing\":{"
		"\"drain_ms\":7000,\"grace_s\":6}}\n",
		zones[index], zones[index], in->ip, rig.sessions_port, in->ip,
		rig.health_port, in->ip, rig.peers_port, in->ip,
		rig.metrics_port, rig.store_port, rig.store_port);
	fclose(f);
}

void rig_start_instance(int index)
{
	struct rig_instance *in = &rig.instances[index];
	char program[600], variable[300];
	char *argv[] = { program, (char *)"proxy", NULL };
	char *env[] = { variable, (char *)"PATH=/usr/bin:/bin", NULL };
	int null;

	snprintf(program, sizeof(program), "%s/target/hyssopmount", rig.root);
	snprintf(variable, sizeof(variable), "HYSSOPMOUNT_SETTINGS=%s",
		 in->settings);
	in->starts++;
	in->pid = fork();
	if (!in->pid) {
		prctl(PR_SET_PDEATHSIG, SIGKILL); /* ends with this program */
		null = open(getenv("RIG_LOG") ? getenv("RIG_LOG") : "/dev/null", O_RDWR | O_APPEND);
		dup2(null, 1);
		dup2(null, 2);
		execve(program, argv, env);
		_exit(127);
	}
	rig_record("instance %d started", index);
}

void rig_kill_instance(int index, int number)
{
	struct rig_instance *in = &rig.instances[index];

	if (!in->pid)
		return;
	rig_record("instance %d gets signal %d", index, number);
	kill(in->pid, number);
	waitpid(in->pid, NULL, 0);
	in->pid = 0;
}

bool rig_ended(int index)
{
	struct rig_instance *in = &rig.instances[index];
	int status;

	if (!in->pid || waitpid(in->pid, &status, WNOHANG) != in->pid)
		return !in->pid;
	in->pid = 0;
	rig_record("instance %d ended by itself, status %d", index, status);
	return true;
}

static int connect_to(const char *ip, int port)
{
	struct sockaddr_in at = address_of(ip, port);
	struct timeval limit = { 2, 0 };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (!connect(fd, (struct sockaddr *)&at, sizeof(at)))
		return fd;
	close(fd);
	return -1;
}

int rig_connect(int index)
{
	return connect_to(rig.instances[index].ip, rig.sessions_port);
}

int rig_ready(int index)
{
	static const char text[] = "GET /readiness HTTP/1.1\r\nHost: x\r\n"
				   "Connection: close\r\n\r\n";
	char line[64] = "";
	int fd = connect_to(rig.instances[index].ip, rig.health_port);
	int status = 0;

	if (fd < 0)
		return 0;
	if (send(fd, text, strlen(text), MSG_NOSIGNAL) > 0 &&
	    recv(fd, line, sizeof(line) - 1, 0) > 0)
		sscanf(line, "HTTP/1.1 %d", &status);
	close(fd);
	return status;
}

bool rig_wait_ready(double limit)
{
	double until = rig_now() + limit;
	int i = 0;

	while (i < RIG_INSTANCES && rig_now() < until)
		if (rig_ready(i) == 200)
			i++;
		else
			rig_sleep(0.05);
	rig_record("%d of %d instances are ready", i, RIG_INSTANCES);
	return i == RIG_INSTANCES;
}

void rig_put_members(void)
{
	static const char zones[] = "abc";
	char spec[400];
	int i;

	for (i = 0; i < LINE_MEMBERS; i++) {
		snprintf(spec, sizeof(spec),
			 "{\"Service\":\"%s\",\"Address\":\"%s\",\"Zone\":"
			 "\"%c\",\"Version\":\"v1\",\"Capacity\":3,\"State\":"
			 "\"ready\",\"ColdLeftMs\":0,\"DbRole\":\"%s\","
			 "\"Sequence\":1,\"born\":1700000000000}",
			 RIG_SERVICE, line_members_address(rig.members, i),
			 zones[i], i ? "replica" : "primary");
		rig_put("servers", line_members_name(i), spec);
	}
}

uint64_t rig_runs(void)
{
	return line_members_statement_count(rig.members);
}

void rig_start(const char *root, const char *folder)
{
	char path[700];
	int i;

	signal(SIGPIPE, SIG_IGN);
	snprintf(rig.root, sizeof(rig.root), "%s", root);
	snprintf(path, sizeof(path), "%s/record.txt", folder);
	rig.record = fopen(path, "w");
	snprintf(rig.folder, sizeof(rig.folder), "/tmp/review-XXXXXX");
	if (!rig.record || !mkdtemp(rig.folder))
		exit(2);
	rig.started = seconds();
	rig.objects = g_ptr_array_new();
	rig.events = g_ptr_array_new();
	rig.members = line_members_new(RIG_SERVICE);
	rig.store_listener = bind_to("127.0.0.1", 0);
	if (!rig.members || rig.store_listener < 0 ||
	    listen(rig.store_listener, SOMAXCONN))
		exit(2);
	rig.store_port = port_of(rig.store_listener);
	g_thread_unref(g_thread_new("accept", accept_store, NULL));
	srand((unsigned)getpid());
	for (i = 0; i < RIG_INSTANCES; i++)
		snprintf(rig.instances[i].ip, sizeof(rig.instances[i].ip),
			 "127.%d.1.%d", 20 + (int)getpid() % 200, i + 1);
	rig.sessions_port = free_port();
	rig.health_port = free_port();
	rig.peers_port = free_port();
	rig.metrics_port = free_port();
	for (i = 0; i < RIG_INSTANCES; i++)
		write_settings(i);
}

int rig_end(int code)
{
	char path[400];
	int i;

	rig_record("exit code %d", code);
	for (i = 0; i < RIG_INSTANCES; i++) {
		rig_kill_instance(i, SIGKILL);
		unlink(rig.instances[i].settings);
	}
	snprintf(path, sizeof(path), "%s", rig.folder);
	rmdir(path);
	fclose(rig.record);
	return code;
}

/* ---- clients ---- */

/* Reads a line without CR LF; false at the end or after 2 s. */
static bool read_line(struct rig_client *c, char *out, size_t size)
{
	for (;;) {
		char *end = memchr(c->buffer, '\n', c->held);
		ssize_t n;

		if (end) {
			size_t bytes = (size_t)(end - c->buffer) + 1;

			snprintf(out, size, "%.*s", (int)bytes - 2, c->buffer);
			c->held -= bytes;
			memmove(c->buffer, end + 1, c->held);
			return true;
		}
		if (c->held == sizeof(c->buffer))
			c->held = 0; /* drops the start of a very long line */
		n = recv(c->fd, c->buffer + c->held,
			 sizeof(c->buffer) - c->held, 0);
		if (n <= 0)
			return false;
		c->held += (size_t)n;
	}
}

static bool read_answer(struct rig_client *c, char out[RIG_ANSWER_BYTES])
{
	char line[RIG_ANSWER_BYTES];
	bool ok = false;

	out[0] = '\0';
	while (read_line(c, line, sizeof(line))) {
		ok |= !strncmp(line, "COMPLETE", 8);
		g_strlcat(out, line, RIG_ANSWER_BYTES);
		g_strlcat(out, "|", RIG_ANSWER_BYTES);
		if (!strncmp(line, "READY", 5))
			return ok;
	}
	g_strlcat(out, "closed", RIG_ANSWER_BYTES);
	return false;
}

bool rig_open(struct rig_client *c, int index, const char *database,
	      const char *key, char answer_out[RIG_ANSWER_BYTES])
{
	char text[400];

	*c = (struct rig_client){ .fd = rig_connect(index) };
	g_strlcpy(answer_out, "no connection", RIG_ANSWER_BYTES);
	if (c->fd < 0)
		return false;
	snprintf(text, sizeof(text), "STARTUP %s %s\r\n", database, key);
	if (send(c->fd, text, strlen(text), MSG_NOSIGNAL) < 0)
		return false;
	read_answer(c, answer_out);
	return !strncmp(answer_out, "READY I", 7);
}

bool rig_query(struct rig_client *c, const char *query,
	       char answer_out[RIG_ANSWER_BYTES])
{
	static volatile gint next;
	char *text = g_strdup_printf("QUERY %08x%04x %s\r\n",
				     (unsigned)getpid(),
				     (unsigned)g_atomic_int_add(&next, 1),
				     query);
	size_t bytes = strlen(text), sent = 0;
	ssize_t n = 0;

	while (sent < bytes && n >= 0) {
		n = send(c->fd, text + sent, bytes - sent, MSG_NOSIGNAL);
		sent += n > 0 ? (size_t)n : 0;
	}
	g_free(text);
	g_strlcpy(answer_out, "closed", RIG_ANSWER_BYTES);
	return n >= 0 && read_answer(c, answer_out);
}

void rig_close(struct rig_client *c)
{
	if (c->fd >= 0)
		close(c->fd);
	c->fd = -1;
}
