/** @file rig.c Processes, members and clients of a small deployment. */
#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "../../standin/object_store.h"

#define ADDRESS_SIZE 32
#define ANSWER_LIMIT_MS 3000
#define SERVED_LIMIT_MS 15000
#define STOP_LIMIT_MS 8000

static const char *const zones[RIG_INSTANCES] = { "zone-a", "zone-b",
						  "zone-c" };

struct commit {
	char *item;
	char *value;
	gint64 at;
};

struct member {
	struct rig_service *service;
	int index;
	char name[24];
	char address[ADDRESS_SIZE];
	int listener;
	gint64 lag;
	uint64_t paused_term;
};

struct rig_service {
	char name[24];
	struct member members[RIG_MEMBERS];
	GArray *commits; /* of struct commit */
};

/* A connection to a member; used by its thread only. */
struct link {
	struct member *member;
	int fd;
	char tenant[32];
	bool open;
	bool reads_only;
	GPtrArray *writes;    /* item, value, item, value, ... */
	GHashTable *prepared; /* name: "READ shape" or "WRITE shape" */
};

static struct {
	FILE *record;
	gint64 started_us;
	GMutex lock; /* guards the services, their members and the runs */
	GMutex record_lock;
	GArray *runs; /* of struct rig_run */
	struct object_store *store;
	struct line_members *unused; /* target of promote calls; none is made */
	char *folder;
	pid_t pids[RIG_INSTANCES];
	char sessions[RIG_INSTANCES][ADDRESS_SIZE];
	uint64_t receipts;
	uint64_t ids;
	int services;
} rig;

gint64 rig_now(void)
{
	return (g_get_monotonic_time() - rig.started_us) / 1000;
}

void rig_sleep_until(gint64 ms)
{
	gint64 left = ms - rig_now();

	if (left > 0)
		g_usleep((gulong)left * 1000);
}

void rig_record(const char *format, ...)
{
	va_list args;

	g_mutex_lock(&rig.record_lock);
	fprintf(rig.record, "%7.3f s  ", (double)rig_now() / 1000);
	va_start(args, format);
	vfprintf(rig.record, format, args);
	va_end(args);
	fputc('\n', rig.record);
	fflush(rig.record);
	g_mutex_unlock(&rig.record_lock);
}

void rig_begin(const char *record)
{
	signal(SIGPIPE, SIG_IGN);
	rig.started_us = g_get_monotonic_time();
	rig.record = fopen(record, "w");
	if (!rig.record) {
		perror(record);
		exit(RIG_NOT_RUN);
	}
	rig.runs = g_array_new(FALSE, TRUE, sizeof(struct rig_run));
	rig.folder = g_dir_make_tmp("review-XXXXXX", NULL);
	rig.unused = line_members_new("unused");
	rig.store = object_store_new(rig.unused);
	if (!rig.folder || !rig.store)
		exit(RIG_NOT_RUN);
}

/* Listens on an address of the loopback range; returns its descriptor. */
static int listen_at(const char *ip, char out[ADDRESS_SIZE])
{
	struct sockaddr_in at = { .sin_family = AF_INET };
	socklen_t bytes = sizeof(at);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	inet_pton(AF_INET, ip, &at.sin_addr);
	if (bind(fd, (struct sockaddr *)&at, sizeof(at)) ||
	    listen(fd, SOMAXCONN) ||
	    getsockname(fd, (struct sockaddr *)&at, &bytes)) {
		perror(ip);
		exit(RIG_NOT_RUN);
	}
	g_snprintf(out, ADDRESS_SIZE, "%s:%u", ip, ntohs(at.sin_port));
	return fd;
}

static bool is_primary(const struct member *m)
{
	return m->index == 0;
}

/* Number of commits that a member has applied. Called with the lock held. */
static uint64_t applied(const struct member *m)
{
	const GArray *all = m->service->commits;
	uint64_t n = all->len;

	while (!is_primary(m) && n &&
	       g_array_index(all, struct commit, n - 1).at + m->lag > rig_now())
		n--;
	return n;
}

static void reply(struct link *l, const char *format, ...) G_GNUC_PRINTF(2, 3);

static void reply(struct link *l, const char *format, ...)
{
	va_list args;
	char *text;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	if (send(l->fd, text, strlen(text), MSG_NOSIGNAL) < 0)
		shutdown(l->fd, SHUT_RDWR);
	g_free(text);
}

static void ready(struct link *l)
{
	reply(l, "READY %c 1.%" G_GUINT64_FORMAT "\r\n", l->open ? 'T' : 'I',
	      applied(l->member));
}

static void complete(struct link *l, bool receipt)
{
	if (receipt)
		reply(l, "COMPLETE 7.%" G_GUINT64_FORMAT "\r\n",
		      ++rig.receipts);
	else
		reply(l, "COMPLETE -\r\n");
	ready(l);
}

static void fail(struct link *l, const char *code)
{
	reply(l, "ERROR %s %s\r\n", code, l->member->name);
	ready(l);
}

/* Records that a member ran a client's statement. */
static void note_run(const struct link *l, const char *id, const char *text,
		     const char *shape)
{
	struct rig_run run = { .applied = applied(l->member) };

	g_strlcpy(run.id, id, sizeof(run.id));
	g_strlcpy(run.member, l->member->name, sizeof(run.member));
	g_strlcpy(run.tenant, l->tenant, sizeof(run.tenant));
	g_strlcpy(run.shape, shape, sizeof(run.shape));
	g_array_append_val(rig.runs, run);
	rig_record("member %s runs %s \"%s\" as tenant %s, log "
		   "1.%" G_GUINT64_FORMAT " of 1.%u%s%s",
		   run.member, id, text, run.tenant, run.applied,
		   l->member->service->commits->len, *shape ? ", shape " : "",
		   shape);
}

static void commit_writes(struct link *l)
{
	struct commit c = { .at = rig_now() };
	guint i;

	for (i = 0; i + 1 < l->writes->len; i += 2) {
		c.item = g_strdup(l->writes->pdata[i]);
		c.value = g_strdup(l->writes->pdata[i + 1]);
		g_array_append_val(l->member->service->commits, c);
	}
	g_ptr_array_set_size(l->writes, 0);
}

static void run_read(struct link *l, const char *item)
{
	const GArray *all = l->member->service->commits;
	uint64_t n = applied(l->member);
	const char *value = NULL;
	guint i;

	for (i = l->writes->len; i && !value; i -= 2)
		if (!strcmp(l->writes->pdata[i - 2], item))
			value = l->writes->pdata[i - 1];
	while (!value && n-- > 0)
		if (!strcmp(g_array_index(all, struct commit, n).item, item))
			value = g_array_index(all, struct commit, n).value;
	reply(l, "ROW %s\r\n", value ? value : "-");
	complete(l, true);
}

static void run_write(struct link *l, const char *item, const char *value)
{
	g_ptr_array_add(l->writes, g_strdup(item));
	g_ptr_array_add(l->writes, g_strdup(value ? value : ""));
	if (!l->open)
		commit_writes(l);
	complete(l, true);
}

static void run_execute(struct link *l, const char *id, char *rest)
{
	char **words = g_strsplit(rest, " ", 3);
	const char *found = g_hash_table_lookup(l->prepared, words[0]);
	bool writes = found && g_str_has_prefix(found, "WRITE ");

	if (!found) {
		fail(l, "NOSTMT");
	} else if (writes && (!is_primary(l->member) || l->reads_only)) {
		fail(l, "READONLY");
	} else {
		note_run(l, id, rest, strchr(found, ' ') + 1);
		if (writes)
			run_write(l, words[1], words[2]);
		else
			run_read(l, words[1]);
	}
	g_strfreev(words);
}

static void run_status(struct link *l)
{
	const struct member *m = l->member;
	uint32_t received = m->service->commits->len;

	reply(l,
	      "ROW %s 1 1.%u %" G_GUINT64_FORMAT " %" G_GINT64_FORMAT
	      " 0 1\r\n",
	      is_primary(m) ? "primary" : "replica", received, m->paused_term,
	      is_primary(m) ? 0 : m->lag);
	complete(l, false);
}

static void run_begin(struct link *l, bool reads)
{
	if (!reads && !is_primary(l->member)) {
		fail(l, "READONLY");
		return;
	}
	l->open = true;
	l->reads_only = reads;
	complete(l, false);
}

static void end_transaction(struct link *l)
{
	g_ptr_array_set_size(l->writes, 0);
	l->open = l->reads_only = false;
}

/* Whether the log has the position "1.NUMBER" of an AFTER. */
static bool has_position(const struct link *l, const char *position)
{
	const char *dot = strchr(position, '.');

	return dot && applied(l->member) >= g_ascii_strtoull(dot + 1, NULL, 10);
}

/* Cuts the next word off *rest. */
static char *next_word(char **rest)
{
	char *word = *rest, *end = strchr(word, ' ');

	if (!end) {
		*rest = word + strlen(word);
		return word;
	}
	*end = '\0';
	*rest = end + 1;
	return word;
}

static void run_query(struct link *l, const char *id, char *text)
{
	char *whole, *word, *name, *rest = text;

	if (g_str_has_prefix(rest, "AFTER ")) {
		next_word(&rest);
		if (!has_position(l, next_word(&rest))) {
			fail(l, "LAGGING");
			return;
		}
	}
	whole = g_strdup(rest);
	word = next_word(&rest);
	if (!strcmp(word, "BEGIN")) {
		run_begin(l, *rest != '\0');
	} else if (!strcmp(word, "COMMIT")) {
		note_run(l, id, whole, "");
		commit_writes(l);
		end_transaction(l);
		complete(l, true);
	} else if (!strcmp(word, "ROLLBACK")) {
		end_transaction(l);
		complete(l, false);
	} else if (!strcmp(word, "READ")) {
		note_run(l, id, whole, "");
		run_read(l, rest);
	} else if (!strcmp(word, "WRITE")) {
		if (!is_primary(l->member) || l->reads_only) {
			fail(l, "READONLY");
		} else {
			note_run(l, id, whole, "");
			name = next_word(&rest);
			run_write(l, name, rest);
		}
	} else if (!strcmp(word, "PREPARE")) {
		name = next_word(&rest);
		g_hash_table_replace(l->prepared, g_strdup(name),
				     g_strdup(rest));
		rig_record("member %s prepares %s as \"%s\" for tenant %s",
			   l->member->name, name, rest, l->tenant);
		complete(l, false);
	} else if (!strcmp(word, "EXECUTE")) {
		run_execute(l, id, rest);
	} else if (!strcmp(word, "PAUSE")) {
		l->member->paused_term = g_ascii_strtoull(rest, NULL, 10);
		run_status(l);
	} else if (!strcmp(word, "RESUME")) {
		l->member->paused_term = 0;
		run_status(l);
	} else if (!strcmp(word, "STATUS") || !strcmp(word, "STEPDOWN")) {
		run_status(l);
	} else {
		if (!strcmp(word, "RESET"))
			g_hash_table_remove_all(l->prepared);
		complete(l, false); /* SET, RESET, DEALLOC */
	}
	g_free(whole);
}

/* STARTUP service tenant id */
static bool admit(struct link *l, char *line)
{
	char **words = g_strsplit(line, " ", 5);
	bool ok = g_strv_length(words) >= 3 && !strcmp(words[0], "STARTUP") &&
		  !strcmp(words[1], l->member->service->name) &&
		  (!words[3] || !strcmp(words[3], l->member->name));

	if (ok) {
		g_strlcpy(l->tenant, words[2], sizeof(l->tenant));
		ready(l);
	} else {
		reply(l, "ERROR MISROUTED %s\r\n", l->member->name);
	}
	g_strfreev(words);
	return ok;
}

static gpointer serve_link(gpointer data)
{
	struct link *l = data;
	FILE *in = fdopen(dup(l->fd), "r");
	bool admitted = false, ok = true;
	char *line = NULL, *rest, *id;
	size_t size = 0;

	while (ok && getline(&line, &size, in) > 0) {
		line[strcspn(line, "\r\n")] = '\0';
		g_mutex_lock(&rig.lock);
		if (!admitted) {
			ok = admitted = admit(l, line);
		} else if (g_str_has_prefix(line, "QUERY ")) {
			rest = line + strlen("QUERY ");
			id = next_word(&rest);
			run_query(l, id, rest);
		} else {
			ok = false;
		}
		g_mutex_unlock(&rig.lock);
	}
	free(line);
	fclose(in);
	close(l->fd);
	g_ptr_array_unref(l->writes);
	g_hash_table_unref(l->prepared);
	g_free(l);
	return NULL;
}

static gpointer accept_links(gpointer data)
{
	struct member *m = data;
	struct link *l;
	int fd;

	while ((fd = accept(m->listener, NULL, NULL)) >= 0) {
		l = g_new0(struct link, 1);
		l->member = m;
		l->fd = fd;
		l->writes = g_ptr_array_new_with_free_func(g_free);
		l->prepared = g_hash_table_new_full(g_str_hash, g_str_equal,
						    g_free, g_free);
		g_thread_unref(g_thread_new("link", serve_link, l));
	}
	return NULL;
}

static void register_member(const struct member *m)
{
	char *spec = g_strdup_printf(
		"{\"Service\":\"%s\",\"Address\":\"%s\",\"Zone\":\"%s\","
		"\"Version\":\"v1\",\"Capacity\":3,\"State\":\"ready\","
		"\"ColdLeftMs\":0,\"DbRole\":\"%s\",\"Sequence\":1,"
		"\"born\":%" G_GINT64_FORMAT "}",
		m->service->name, m->address, zones[m->index],
		is_primary(m) ? "primary" : "replica",
		g_get_real_time() / 1000);

	object_store_put(rig.store, "servers", m->name, spec);
	g_free(spec);
}

struct rig_service *rig_service(const char *name)
{
	struct rig_service *s = g_new0(struct rig_service, 1);
	char ip[ADDRESS_SIZE];
	int i;

	g_strlcpy(s->name, name, sizeof(s->name));
	s->commits = g_array_new(FALSE, TRUE, sizeof(struct commit));
	rig.services++;
	for (i = 0; i < RIG_MEMBERS; i++) {
		struct member *m = &s->members[i];

		m->service = s;
		m->index = i;
		m->lag = 20;
		g_snprintf(m->name, sizeof(m->name), "i-%s-%d", name, i + 1);
		g_snprintf(ip, sizeof(ip), "127.0.%d.%d", 10 + rig.services,
			   i + 1);
		m->listener = listen_at(ip, m->address);
		g_thread_unref(g_thread_new("member", accept_links, m));
		register_member(m);
	}
	return s;
}

void rig_service_lag(struct rig_service *s, int member, gint64 ms)
{
	g_mutex_lock(&rig.lock);
	s->members[member].lag = ms;
	g_mutex_unlock(&rig.lock);
	rig_record("replica %s is %" G_GINT64_FORMAT " ms behind",
		   s->members[member].name, ms);
}

uint64_t rig_service_commits(struct rig_service *s)
{
	uint64_t n;

	g_mutex_lock(&rig.lock);
	n = s->commits->len;
	g_mutex_unlock(&rig.lock);
	return n;
}

gint64 rig_config(const char *spec)
{
	object_store_put(rig.store, "config", "main", spec);
	rig_record("operator writes config/main, acknowledged: %s", spec);
	return rig_now();
}

/* A port that is free at each of the instances' addresses. */
static int free_port(void)
{
	char address[ADDRESS_SIZE];
	int fd = listen_at("127.0.9.9", address);

	close(fd);
	return atoi(strchr(address, ':') + 1);
}

/* Fills in deploy/settings.json as the platform does for a small deployment. */
static char *settings_text(int i, const int ports[3])
{
	return g_strdup_printf(
		"{\"instance\":\"frontend-%s-1\",\"zone\":\"%s\","
		"\"zones\":[\"zone-a\",\"zone-b\",\"zone-c\"],"
		"\"regions\":{\"zone-a\":\"r\",\"zone-b\":\"r\","
		"\"zone-c\":\"r\"},\"listen\":{"
		"\"sessions\":\"%s\",\"health\":\"127.0.9.%d:%d\","
		"\"health_path\":\"/readiness\",\"peers\":\"127.0.9.%d:%d\"},"
		"\"seeds\":[\"127.0.9.1:%d\",\"127.0.9.2:%d\","
		"\"127.0.9.3:%d\"],\"store\":\"%s\",\"promote_calls\":\"%s\","
		"\"promote_fenced\":false,\"capacity\":{"
		"\"processor_cores\":0.25,\"link_mbit\":1000.0},"
		"\"timing\":{\"drain_ms\":7000,\"grace_s\":6}}",
		zones[i], zones[i], rig.sessions[i], i + 1, ports[1], i + 1,
		ports[2], ports[2], ports[2], ports[2],
		object_store_address(rig.store),
		object_store_address(rig.store));
}

static void start_instance(int i, const int ports[3])
{
	char *path = g_strdup_printf("%s/settings-%d.json", rig.folder, i + 1);
	char *log = g_strdup_printf("%s/instance-%d.log", rig.folder, i + 1);
	char *text = settings_text(i, ports);
	int fd;

	g_file_set_contents(path, text, -1, NULL);
	rig.pids[i] = fork();
	if (!rig.pids[i]) {
		fd = open(log, O_WRONLY | O_CREAT | O_TRUNC, 0600);
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		setenv("HYSSOPMOUNT_SETTINGS", path, 1);
		execl("target/hyssopmount", "target/hyssopmount", "proxy",
		      NULL);
		_exit(127);
	}
	rig_record("instance %d starts in %s", i + 1, zones[i]);
	g_free(path);
	g_free(log);
	g_free(text);
}

void rig_start_instances(void)
{
	int ports[3] = { free_port(), free_port(), free_port() };
	int i;

	for (i = 0; i < RIG_INSTANCES; i++)
		g_snprintf(rig.sessions[i], ADDRESS_SIZE, "127.0.9.%d:%d",
			   i + 1, ports[0]);
	for (i = 0; i < RIG_INSTANCES; i++)
		start_instance(i, ports);
}

/* Waits for an instance that was told to stop, and kills it after the limit. */
static void end_instance(int i, gint64 until)
{
	int status;

	while (waitpid(rig.pids[i], &status, WNOHANG) == 0) {
		if (rig_now() > until)
			kill(rig.pids[i], SIGKILL);
		g_usleep(20000);
	}
	rig.pids[i] = 0;
}

static void remove_folder(void)
{
	GDir *dir = g_dir_open(rig.folder, 0, NULL);
	const char *name;
	char *path;

	while (dir && (name = g_dir_read_name(dir))) {
		path = g_build_filename(rig.folder, name, NULL);
		if (!getenv("KEEP_LOGS"))
			g_unlink(path);
		g_free(path);
	}
	if (dir)
		g_dir_close(dir);
	if (getenv("KEEP_LOGS"))
		fprintf(stderr, "logs: %s\n", rig.folder);
	else
		g_rmdir(rig.folder);
}

void rig_end(void)
{
	gint64 until = rig_now() + STOP_LIMIT_MS;
	int i;

	for (i = 0; i < RIG_INSTANCES; i++)
		if (rig.pids[i])
			kill(rig.pids[i], SIGTERM);
	for (i = 0; i < RIG_INSTANCES; i++)
		if (rig.pids[i])
			end_instance(i, until);
	remove_folder();
	fclose(rig.record);
}

/* Reads one line, without its end; false at the end or after the limit. */
static bool read_line(struct rig_client *c, gint64 until, char *out,
		      size_t size)
{
	struct pollfd p = { .fd = c->fd, .events = POLLIN };
	char bytes[4096], *end;
	gint64 left;
	ssize_t n;

	while (!(end = strstr(c->input->str, "\r\n"))) {
		left = until - rig_now();
		if (left <= 0 || poll(&p, 1, (int)left) <= 0)
			return false;
		n = read(c->fd, bytes, sizeof(bytes));
		if (n <= 0) {
			c->closed = true;
			return false;
		}
		g_string_append_len(c->input, bytes, n);
	}
	*end = '\0';
	g_strlcpy(out, c->input->str, size);
	g_string_erase(c->input, 0, end + 2 - c->input->str);
	return true;
}

/* Reads up to a READY; true if no ERROR came before it. */
static bool read_answer(struct rig_client *c)
{
	gint64 until = rig_now() + ANSWER_LIMIT_MS;
	char line[RIG_ANSWER_BYTES];
	bool error = false;

	c->answer[0] = '\0';
	while (read_line(c, until, line, sizeof(line))) {
		g_strlcat(c->answer, line, sizeof(c->answer));
		g_strlcat(c->answer, "|", sizeof(c->answer));
		error |= g_str_has_prefix(line, "ERROR");
		if (g_str_has_prefix(line, "READY"))
			return !error;
	}
	g_strlcat(c->answer, c->closed ? "closed" : "no answer",
		  sizeof(c->answer));
	return false;
}

static void send_line(struct rig_client *c, const char *line)
{
	char *text = g_strconcat(line, "\r\n", NULL);

	if (send(c->fd, text, strlen(text), MSG_NOSIGNAL) < 0)
		c->closed = true;
	g_free(text);
}

bool rig_open(struct rig_client *c, int instance, const char *database,
	      const char *key)
{
	struct sockaddr_in at = { .sin_family = AF_INET };
	char *ip = g_strdup(rig.sessions[instance]);
	char *port = strchr(ip, ':');
	char *line = g_strdup_printf("STARTUP %s %s", database, key);
	bool ok;

	*port++ = '\0';
	*c = (struct rig_client){ .input = g_string_new(NULL) };
	inet_pton(AF_INET, ip, &at.sin_addr);
	at.sin_port = htons((uint16_t)atoi(port));
	c->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	ok = !connect(c->fd, (struct sockaddr *)&at, sizeof(at));
	if (ok) {
		send_line(c, line);
		ok = read_answer(c);
	}
	g_free(line);
	g_free(ip);
	return ok;
}

bool rig_query(struct rig_client *c, const char *text)
{
	char *line;
	bool ok;

	g_snprintf(c->last_id, sizeof(c->last_id), "%016" G_GINT64_MODIFIER "x",
		   (guint64)0x5c0e000000000000 + ++rig.ids);
	line = g_strdup_printf("QUERY %s %s", c->last_id, text);
	rig_record("client sends %s", line);
	send_line(c, line);
	ok = read_answer(c);
	rig_record("client gets for %s: %s", c->last_id, c->answer);
	g_free(line);
	return ok;
}

void rig_close(struct rig_client *c)
{
	close(c->fd);
	if (c->input)
		g_string_free(c->input, TRUE);
	c->input = NULL;
}

bool rig_until_served(int instance, const char *database, const char *key,
		      const char *text)
{
	gint64 until = rig_now() + SERVED_LIMIT_MS;
	struct rig_client c;
	bool ok = false;

	while (!ok && rig_now() < until) {
		ok = rig_open(&c, instance, database, key) &&
		     rig_query(&c, text);
		rig_close(&c);
		if (!ok)
			g_usleep(100000);
	}
	return ok;
}

bool rig_find_run(const char *id, struct rig_run *out)
{
	bool found = false;
	guint i;

	g_mutex_lock(&rig.lock);
	for (i = 0; i < rig.runs->len; i++)
		if (!strcmp(g_array_index(rig.runs, struct rig_run, i).id,
			    id)) {
			*out = g_array_index(rig.runs, struct rig_run, i);
			found = true;
		}
	g_mutex_unlock(&rig.lock);
	return found;
}
