/** @file lab.c Record, store, instances and clients of the scripts. */
#include "lab.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "member.h"

struct lab_instance lab_instances[LAB_INSTANCES_MAX];
int lab_instance_count;
int lab_zone_count;
int lab_former_machines;

static FILE *record;
static GMutex record_lock;
static gint64 started_at;
static char *folder;
static struct object_store *store;

bool lab_open(const char *path)
{
	const char *trouble = g_getenv("TROUBLE");

	signal(SIGPIPE, SIG_IGN);
	started_at = g_get_monotonic_time();
	record = fopen(path, "w");
	folder = g_dir_make_tmp("lab-XXXXXX", NULL);
	if (!record || !folder)
		exit(LAB_NOT_RUN);
	alarm(118);
	return g_strcmp0(trouble, "0") != 0;
}

double lab_time(void)
{
	return (double)(g_get_monotonic_time() - started_at) / 1e6;
}

void lab_sleep(double seconds)
{
	if (seconds > 0)
		g_usleep((gulong)(seconds * 1e6));
}

void lab_note(const char *format, ...)
{
	va_list args;

	va_start(args, format);
	g_mutex_lock(&record_lock);
	fprintf(record, "%8.3f  ", lab_time());
	vfprintf(record, format, args);
	fputc('\n', record);
	fflush(record);
	g_mutex_unlock(&record_lock);
	va_end(args);
}

void lab_end(int code)
{
	static const char *const words[] = { "the rule held",
					     "the rule was broken",
					     "the case could not run" };
	int i;

	for (i = 0; i < lab_instance_count; i++) {
		struct lab_instance *n = &lab_instances[i];

		if (n->pid > 0) {
			kill(n->pid, SIGKILL);
			waitpid(n->pid, NULL, 0);
		}
		unlink(n->settings);
	}
	rmdir(folder);
	lab_note("end: %s", words[code]);
	printf("%s\n", words[code]);
	fflush(stdout);
	_exit(code);
}

/*
 * Takes a free address. The socket stays bound and never listens, so that no
 * other process gets the port while the instance is stopped for a while.
 */
static void take_address(char out[64])
{
	struct sockaddr_in at = { .sin_family = AF_INET };
	socklen_t bytes = sizeof(at);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (bind(fd, (struct sockaddr *)&at, sizeof(at)) ||
	    getsockname(fd, (struct sockaddr *)&at, &bytes))
		lab_end(LAB_NOT_RUN);
	g_snprintf(out, 64, "127.0.0.1:%u", ntohs(at.sin_port));
}

static void write_settings(struct lab_instance *i)
{
	GString *zones = g_string_new(NULL);
	char *text;
	int z;

	for (z = 0; z < lab_zone_count; z++)
		g_string_append_printf(zones, "%s\"z%d\"", z ? "," : "", z);
	text = g_strdup_printf(
		"{\"instance\":\"frontend-%d\",\"zone\":\"z%d\","
		"\"zones\":[%s],\"listen\":{\"sessions\":\"%s\","
		"\"health\":\"%s\",\"health_path\":\"/readiness\","
		"\"peers\":\"%s\"},\"seeds\":[],\"store\":\"%s\","
		"\"promote_calls\":\"%s\",\"promote_fenced\":true,"
		"\"capacity\":{\"processor_cores\":0.25,"
		"\"link_mbit\":1000},"
		"\"timing\":{\"drain_ms\":7000,\"grace_s\":%d}}\n",
		i->index, i->index % lab_zone_count, zones->str, i->sessions, i->health,
		i->peers, object_store_address(store),
		object_store_address(store), LAB_GRACE_S);
	g_file_set_contents(i->settings, text, -1, NULL);
	g_free(text);
	g_string_free(zones, TRUE);
}

/* Runs the command of the deploy file. */
void lab_start_instance(struct lab_instance *i)
{
	char log[300];

	g_snprintf(log, sizeof(log), "%s",
		   g_getenv("LAB_LOGS") ? g_getenv("LAB_LOGS") : "/dev/null");
	if (g_getenv("LAB_LOGS"))
		g_snprintf(log, sizeof(log), "%s/log-%d", g_getenv("LAB_LOGS"),
			   i->index);
	i->pid = fork();
	if (i->pid < 0)
		lab_end(LAB_NOT_RUN);
	if (!i->pid) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		setenv("HYSSOPMOUNT_SETTINGS", i->settings, 1);
		if (!freopen(log, "a", stdout) || !freopen(log, "a", stderr))
			_exit(126);
		execl("target/hyssopmount", "target/hyssopmount", "proxy",
		      (char *)NULL);
		_exit(127);
	}
	lab_note("instance %d starts", i->index);
}

bool lab_is_running(struct lab_instance *i)
{
	int status;

	if (i->pid <= 0)
		return false;
	if (waitpid(i->pid, &status, WNOHANG) != i->pid)
		return true;
	if (WIFSIGNALED(status))
		lab_note("instance %d ended by signal %d", i->index,
			 WTERMSIG(status));
	else
		lab_note("instance %d ended with code %d", i->index,
			 WEXITSTATUS(status));
	i->pid = 0;
	return false;
}

long lab_memory_kb(const struct lab_instance *i)
{
	char path[64], *text = NULL;
	long pages = 0;

	if (i->pid <= 0)
		return 0;
	g_snprintf(path, sizeof(path), "/proc/%d/statm", (int)i->pid);
	if (g_file_get_contents(path, &text, NULL, NULL))
		sscanf(text, "%*s %ld", &pages);
	g_free(text);
	return pages * (sysconf(_SC_PAGESIZE) / 1024);
}

static int connect_to(const char *address, int receive_buffer)
{
	struct sockaddr_in at = { .sin_family = AF_INET };
	struct timeval limit = { 2, 0 };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;

	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	at.sin_port = htons((uint16_t)atoi(strrchr(address, ':') + 1));
	if (receive_buffer)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
			   sizeof(receive_buffer));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (!connect(fd, (struct sockaddr *)&at, sizeof(at)))
		return fd;
	close(fd);
	return -1;
}

bool lab_is_ready(const struct lab_instance *i)
{
	static const char request[] =
		"GET /readiness HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
	struct pollfd p = { .events = POLLIN };
	char answer[16] = "";
	int fd = connect_to(i->health, 0);

	if (fd < 0)
		return false;
	p.fd = fd;
	if (send(fd, request, strlen(request), MSG_NOSIGNAL) < 0 ||
	    poll(&p, 1, 1000) <= 0 ||
	    recv(fd, answer, sizeof(answer) - 1, 0) <= 0)
		answer[0] = '\0';
	close(fd);
	return g_str_has_prefix(answer, "HTTP/1.1 200");
}

bool lab_send(struct lab_client *c, const char *format, ...)
{
	va_list args;
	char *text;
	size_t sent = 0, bytes;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	bytes = strlen(text);
	while (sent < bytes) {
		ssize_t n = send(c->fd, text + sent, bytes - sent,
				 MSG_NOSIGNAL);

		if (n <= 0)
			break;
		sent += (size_t)n;
	}
	g_free(text);
	return sent == bytes;
}

/* Takes the first whole line out of the buffer, without CR LF; or NULL. */
static char *take_line(struct lab_client *c)
{
	char *end = memchr(c->buffer, '\n', c->used), *line;
	size_t bytes;

	if (!end)
		return NULL;
	bytes = (size_t)(end - c->buffer) + 1;
	line = g_strndup(c->buffer, bytes >= 2 ? bytes - 2 : 0);
	memmove(c->buffer, c->buffer + bytes, c->used - bytes);
	c->used -= bytes;
	return line;
}

static void take_lines(struct lab_client *c, struct lab_answer *out)
{
	char *line;

	while (!out->complete && (line = take_line(c))) {
		if (g_str_has_prefix(line, "ROW ")) {
			out->rows++;
			out->row_bytes += strlen(line) - 4;
		} else if (g_str_has_prefix(line, "COMPLETE ")) {
			out->success = strcmp(line + 9, "-") != 0;
		} else if (g_str_has_prefix(line, "ERROR ")) {
			g_strlcpy(out->error, line + 6, sizeof(out->error));
		} else if (g_str_has_prefix(line, "READY ")) {
			out->complete = true;
		}
		g_free(line);
	}
}

void lab_read_answer(struct lab_client *c, double until, double per_s,
		     struct lab_answer *out)
{
	double begin = lab_time(), left;
	size_t piece = 65536;
	ssize_t n;

	memset(out, 0, sizeof(*out));
	take_lines(c, out);
	while (!out->complete) {
		struct pollfd p = { .fd = c->fd, .events = POLLIN };

		left = until - lab_time();
		if (left <= 0 || poll(&p, 1, (int)(left * 1000) + 1) <= 0) {
			g_strlcpy(out->end, "no answer in time",
				  sizeof(out->end));
			return;
		}
		if (c->capacity - c->used < piece) {
			c->capacity = c->capacity * 2 + piece;
			c->buffer = g_realloc(c->buffer, c->capacity);
		}
		n = recv(c->fd, c->buffer + c->used, piece, 0);
		if (n <= 0) {
			g_strlcpy(out->end,
				  n ? g_strerror(errno) : "connection closed",
				  sizeof(out->end));
			return;
		}
		c->used += (size_t)n;
		out->bytes += (uint64_t)n;
		take_lines(c, out);
		if (per_s > 0)
			lab_sleep(begin + (double)out->bytes / per_s -
				  lab_time());
	}
}

bool lab_connect(struct lab_client *c, const struct lab_instance *i,
		 const char *database, int receive_buffer)
{
	struct lab_answer a;

	memset(c, 0, sizeof(*c));
	c->fd = connect_to(i->sessions, receive_buffer);
	if (c->fd < 0)
		return false;
	if (lab_send(c, "STARTUP %s secret\r\n", database)) {
		lab_read_answer(c, lab_time() + 2, 0, &a);
		if (a.complete && !a.error[0])
			return true;
	}
	lab_disconnect(c);
	return false;
}

void lab_disconnect(struct lab_client *c)
{
	if (c->fd >= 0)
		close(c->fd);
	c->fd = -1;
	g_free(c->buffer);
	c->buffer = NULL;
	c->used = c->capacity = 0;
}

void lab_configure(int version, const char *tenants)
{
	char *spec = g_strdup_printf(
		"{\"Version\":%d,\"Routes\":["
		"{\"Host\":\"rota\",\"Type\":\"primary\",\"TimeoutMs\":2000,"
		"\"TargetLatencyMs\":300,\"Service\":\"rota-db\","
		"\"Priority\":1},"
		"{\"Host\":\"view\",\"Type\":\"bounded\",\"TimeoutMs\":2000,"
		"\"TargetLatencyMs\":600,\"MaxStalenessMs\":1500,"
		"\"Service\":\"rota-db\",\"Priority\":2}],"
		"\"Services\":[{\"Name\":\"rota-db\",\"MaxConnections\":24,"
		"\"SyncReplicas\":1}],\"Limits\":{\"TxIdleMs\":3000},"
		"\"Tenants\":%s}",
		version, tenants);

	object_store_put(store, "config", "main", spec);
	lab_note("config version %d acknowledged, tenants %s", version, tenants);
	g_free(spec);
}

static void put_members(void)
{
	char *spec;
	int i;

	for (i = 0; i < MEMBERS; i++) {
		spec = g_strdup_printf(
			"{\"Service\":\"rota-db\",\"Address\":\"%s\","
			"\"Zone\":\"z%d\",\"Version\":\"v1\",\"Capacity\":3,"
			"\"State\":\"ready\",\"DbRole\":\"%s\","
			"\"ColdLeftMs\":0,\"Sequence\":1,\"born\":%d}",
			member_address(i), i % lab_zone_count,
			i ? "replica" : "primary", 1700000000 + i);
		object_store_put(store, "servers", member_name(i), spec);
		g_free(spec);
	}
}

/* Addresses of ports at which nothing listens. */
static void put_former_machines(void)
{
	char name[64], spec[64];
	int i;

	for (i = 0; i < lab_former_machines; i++) {
		g_snprintf(name, sizeof(name), "frontend-former-%d", i);
		g_snprintf(spec, sizeof(spec),
			   "{\"address\":\"127.0.%d.%d:7560\"}", 1 + i / 250,
			   1 + i % 250);
		object_store_put(store, "proxy-instances", name, spec);
	}
	object_store_set_page(store, 500);
}

static bool serves(const struct lab_instance *i, const char *database)
{
	struct lab_client c;
	struct lab_answer a = { 0 };

	if (!lab_connect(&c, i, database, 0))
		return false;
	if (lab_send(&c, "QUERY %08x%08x READ warm\r\n", g_random_int(),
		     g_random_int()))
		lab_read_answer(&c, lab_time() + 2, 0, &a);
	lab_disconnect(&c);
	return a.success;
}

void lab_start(int count)
{
	int i;

	lab_instance_count = count;
	if (!lab_zone_count)
		lab_zone_count = count;
	/* The store's promote call needs members; none is promoted here. */
	store = object_store_new(line_members_new("unused"));
	if (!store || !members_start("rota-db"))
		lab_end(LAB_NOT_RUN);
	lab_configure(1, "[{\"Name\":\"acme\",\"ApiKeys\":[\"secret\"],"
			 "\"PerS\":200,\"Burst\":200},"
			 "{\"Name\":\"zenith\",\"ApiKeys\":[\"other\"],"
			 "\"PerS\":200,\"Burst\":200}]");
	put_members();
	put_former_machines();
	for (i = 0; i < count; i++) {
		struct lab_instance *n = &lab_instances[i];

		n->index = i;
		take_address(n->sessions);
		take_address(n->peers);
		take_address(n->health);
		g_snprintf(n->settings, sizeof(n->settings), "%s/instance-%d",
			   folder, i);
		write_settings(n);
	}
	for (i = 0; i < count; i++)
		lab_start_instance(&lab_instances[i]);
	for (i = 0; i < count; i++)
		while (!lab_is_ready(&lab_instances[i]) ||
		       !serves(&lab_instances[i], "rota") ||
		       !serves(&lab_instances[i], "view")) {
			if (lab_time() > 15)
				lab_end(LAB_NOT_RUN);
			lab_sleep(0.1);
		}
	lab_sleep(2);
	lab_note("%d instances serve", count);
}
