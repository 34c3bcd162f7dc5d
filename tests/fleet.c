/** @file fleet.c Runs a site as separate processes for tests. */
#include "fleet.h"

#include <check.h>
#include <fcntl.h>
#include <glib-unix.h>
#include <glib/gstdio.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "../standin/site.h"

#define PORT_FIRST 27000
#define PORT_TRIES 28
#define INSERT_SQL "INSERT INTO notes(text) VALUES ($1)"
#define ROWS_SQL "SELECT text FROM notes ORDER BY id"

extern char **environ;

/** Outcome of one write. */
struct write {
	char text[32];
	bool acked;
	bool unknown; /**< may or may not have run */
};

static int next_port = PORT_FIRST;

static const char *program(void)
{
	const char *path = g_getenv("HYSSOPMOUNT");

	return path ? path : "build/release/hyssopmount";
}

static char *instance_file(const struct fleet *f, const char *format,
			   int instance)
{
	char *name = g_strdup_printf(format, instance + 1);
	char *path = g_build_filename(f->dir, name, NULL);

	g_free(name);
	return path;
}

static pid_t spawn(char **argv, const posix_spawn_file_actions_t *files,
		   char **env)
{
	pid_t pid = 0;

	ck_assert_int_eq(posix_spawn(&pid, program(), files, NULL, argv, env),
			 0);
	return pid;
}

/* Waits for a process to exit: its wait status, -1 after the timeout. */
static int wait_exit(pid_t pid)
{
	gint64 until = g_get_monotonic_time() + FLEET_TIMEOUT_US;
	int status;

	do {
		if (waitpid(pid, &status, WNOHANG) == pid)
			return status;
		g_usleep(FLEET_POLL_INTERVAL_US);
	} while (g_get_monotonic_time() < until);
	return -1;
}

static void kill_and_reap(pid_t pid)
{
	kill(pid, SIGKILL);
	kill(pid, SIGCONT);
	waitpid(pid, NULL, 0);
}

/* Reads a line of the stand-ins; false at end of file or after the timeout. */
static bool read_line(const struct fleet *f, char *out, size_t size)
{
	struct pollfd in = { .fd = f->from_standin, .events = POLLIN };
	size_t used = 0;
	char byte = 0;

	while (used + 1 < size) {
		if (poll(&in, 1, (int)(FLEET_TIMEOUT_US / 1000)) != 1 ||
		    read(f->from_standin, &byte, 1) != 1)
			return false;
		if (byte == '\n')
			break;
		out[used++] = byte;
	}
	out[used] = '\0';
	return true;
}

/*
 * Gives the leak checker of the stand-ins the same suppression as the tests.
 * h2o keeps freed buffers in a list per thread; without the suppression the
 * buffers of ended threads would be reported.
 */
static char **standin_env(const struct fleet *f)
{
	char *path = g_build_filename(f->dir, "leaks", NULL);
	char *options =
		g_strdup_printf("suppressions=%s:print_suppressions=0", path);
	char **env = g_environ_setenv(g_get_environ(), "LSAN_OPTIONS", options,
				      TRUE);

	ck_assert(g_file_set_contents(path, "leak:h2o_mem_alloc_recycle\n", -1,
				      NULL));
	g_free(options);
	g_free(path);
	return env;
}

static void spawn_standin(struct fleet *f, char **argv)
{
	posix_spawn_file_actions_t files;
	char **env = standin_env(f);
	int in[2], out[2];

	ck_assert_int_eq(g_unix_open_pipe(in, FD_CLOEXEC, NULL), TRUE);
	ck_assert_int_eq(g_unix_open_pipe(out, FD_CLOEXEC, NULL), TRUE);
	posix_spawn_file_actions_init(&files);
	posix_spawn_file_actions_adddup2(&files, in[0], STDIN_FILENO);
	posix_spawn_file_actions_adddup2(&files, out[1], STDOUT_FILENO);
	f->standin = spawn(argv, &files, env);
	g_strfreev(env);
	posix_spawn_file_actions_destroy(&files);
	close(in[0]);
	close(out[1]);
	f->to_standin = in[1];
	f->from_standin = out[0];
}

/*
 * Starts the stand-ins; returns false when they do not start, as when their
 * ports are in use.
 */
static bool start_standin(struct fleet *f)
{
	char *port = g_strdup_printf("%d", f->port);
	char *argv[] = { (char *)program(), "standin", "--port", port,
			 "--settings-dir",  f->dir,    NULL };
	char line[128];
	bool ok;

	spawn_standin(f, argv);
	g_free(port);
	ok = read_line(f, line, sizeof(line)) && g_str_has_prefix(line, "key ");
	if (ok)
		g_strlcpy(f->key, line + 4, sizeof(f->key));
	return ok;
}

void fleet_start(struct fleet *f, int instance)
{
	char *settings = instance_file(f, "instance-%d.json", instance);
	char *log = instance_file(f, "instance-%d.log", instance);
	char *argv[] = { (char *)program(), "serve", "--settings", settings,
			 NULL };
	posix_spawn_file_actions_t files;

	posix_spawn_file_actions_init(&files);
	posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, "/dev/null",
					 O_WRONLY, 0);
	posix_spawn_file_actions_addopen(&files, STDERR_FILENO, log,
					 O_WRONLY | O_CREAT | O_APPEND, 0600);
	f->instances[instance] = spawn(argv, &files, environ);
	posix_spawn_file_actions_destroy(&files);
	g_free(log);
	g_free(settings);
}

static int health_status(const struct fleet *f, int instance)
{
	struct client *c = fleet_client(f, instance);
	struct client_answer a;
	int status;

	client_get(c, "/health", &a);
	status = a.status;
	client_answer_free(&a);
	client_free(c);
	return status;
}

/*
 * Waits until the instance serves; returns false when it exits, as when its
 * ports are in use, or after the timeout.
 */
static bool wait_serving(struct fleet *f, int instance)
{
	gint64 until = g_get_monotonic_time() + FLEET_TIMEOUT_US;
	pid_t pid = f->instances[instance];

	do {
		if (waitpid(pid, NULL, WNOHANG) == pid) {
			f->instances[instance] = 0;
			return false;
		}
		if (health_status(f, instance) == 200)
			return true;
		g_usleep(FLEET_POLL_INTERVAL_US);
	} while (g_get_monotonic_time() < until);
	return false;
}

static bool start_processes(struct fleet *f)
{
	bool ok = start_standin(f);
	int i;

	for (i = 0; ok && i < FLEET_INSTANCES; i++)
		fleet_start(f, i);
	for (i = 0; ok && i < FLEET_INSTANCES; i++)
		ok = wait_serving(f, i);
	return ok;
}

/*
 * Stops all processes. Returns the wait status of the stand-ins, -1 when they
 * had to be killed.
 */
static int stop_processes(struct fleet *f)
{
	int status, i;

	for (i = 0; i < FLEET_INSTANCES; i++) {
		if (f->instances[i])
			kill_and_reap(f->instances[i]);
		f->instances[i] = 0;
	}
	if (!f->standin)
		return 0;
	close(f->to_standin);
	close(f->from_standin);
	status = wait_exit(f->standin);
	if (status == -1)
		kill_and_reap(f->standin);
	f->standin = 0;
	return status;
}

void fleet_start_all(struct fleet *f)
{
	struct client *c;
	bool ok = false;
	int i;

	memset(f, 0, sizeof(*f));
	g_mutex_init(&f->lock);
	f->writes = g_array_new(FALSE, TRUE, sizeof(struct write));
	f->dir = g_dir_make_tmp("fleet-XXXXXX", NULL);
	ck_assert_ptr_nonnull(f->dir);
	/* Another run of the tests may use the ports. */
	for (i = 0; !ok && i < PORT_TRIES; i++) {
		f->port = next_port;
		next_port += SITE_PORTS;
		ok = start_processes(f);
		if (!ok)
			stop_processes(f);
	}
	ck_assert_msg(ok, "no site could start");
	c = fleet_client(f, 0);
	fleet_write_until(f, c);
	client_free(c);
}

static void remove_files(struct fleet *f)
{
	GDir *dir = g_dir_open(f->dir, 0, NULL);
	const char *name;
	char *path;

	while (dir && (name = g_dir_read_name(dir)) != NULL) {
		path = g_build_filename(f->dir, name, NULL);
		g_unlink(path);
		g_free(path);
	}
	if (dir)
		g_dir_close(dir);
	g_rmdir(f->dir);
}

void fleet_stop_all(struct fleet *f)
{
	int status = stop_processes(f);

	if (f->dir)
		remove_files(f);
	g_free(f->dir);
	if (f->writes)
		g_array_free(f->writes, TRUE);
	g_mutex_clear(&f->lock);
	ck_assert_int_eq(status, 0);
}

void fleet_kill(struct fleet *f, int instance)
{
	kill_and_reap(f->instances[instance]);
	f->instances[instance] = 0;
}

int fleet_wait_exit(struct fleet *f, int instance)
{
	int status = wait_exit(f->instances[instance]);

	if (status == -1)
		return -1;
	f->instances[instance] = 0;
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

void fleet_command(struct fleet *f, const char *line)
{
	char answer[128];
	char *text = g_strdup_printf("%s\n", line);
	ssize_t bytes = (ssize_t)strlen(text);

	ck_assert_int_eq(write(f->to_standin, text, (size_t)bytes), bytes);
	ck_assert(read_line(f, answer, sizeof(answer)));
	ck_assert_msg(g_str_has_prefix(answer, "ok"), "%s: %s", line, answer);
	g_free(text);
}

char *fleet_client_address(const struct fleet *f, int instance)
{
	return g_strdup_printf("127.0.0.1:%d", f->port + 1 + instance * 3);
}

char *fleet_operator_address(const struct fleet *f, int instance)
{
	return g_strdup_printf("127.0.0.1:%d", f->port + 3 + instance * 3);
}

/*
 * Time, as text, at which an instance last logged that it took an endpoint;
 * NULL if it never did.
 */
static char *last_taken_time(const struct fleet *f, int instance,
			     const char *endpoint)
{
	char *path = instance_file(f, "instance-%d.log", instance);
	char *endpoint_text = g_strdup_printf(" endpoint=%s ", endpoint);
	char *text = NULL, *found = NULL;
	char **lines;
	guint i;

	g_file_get_contents(path, &text, NULL, NULL);
	lines = g_strsplit(text ? text : "", "\n", -1);
	for (i = 0; lines[i]; i++)
		if (strstr(lines[i], "event=home reason=taken") &&
		    strstr(lines[i], endpoint_text)) {
			g_free(found);
			found = g_strndup(lines[i], strcspn(lines[i], " "));
		}
	g_strfreev(lines);
	g_free(text);
	g_free(endpoint_text);
	g_free(path);
	return found;
}

int fleet_owner(const struct fleet *f, const char *endpoint)
{
	char *last = NULL;
	int owner = -1, i;

	for (i = 0; i < FLEET_INSTANCES; i++) {
		char *at = last_taken_time(f, i, endpoint);

		if (at && (!last || strcmp(at, last) > 0)) {
			g_free(last);
			last = g_strdup(at);
			owner = i;
		}
		g_free(at);
	}
	g_free(last);
	return owner;
}

struct client *fleet_client(const struct fleet *f, int instance)
{
	char *address = fleet_client_address(f, instance);
	struct client *c = client_new(address, f->key);

	g_free(address);
	return c;
}

/* Adds a write whose outcome is unknown until recorded; returns its index. */
static guint record_write(struct fleet *f, char text[32])
{
	struct write w = { .unknown = true };
	guint index;

	g_mutex_lock(&f->lock);
	index = f->writes->len;
	g_snprintf(w.text, sizeof(w.text), "write-%u", index);
	g_strlcpy(text, w.text, sizeof(w.text));
	g_array_append_val(f->writes, w);
	g_mutex_unlock(&f->lock);
	return index;
}

static void record_outcome(struct fleet *f, guint index,
			   const struct client_answer *a)
{
	struct write *w;

	g_mutex_lock(&f->lock);
	w = &g_array_index(f->writes, struct write, index);
	w->acked = a->status == 200;
	w->unknown = !w->acked && strcmp(a->execution, "not run") != 0 &&
		     strcmp(a->code, "no_connection") != 0;
	g_mutex_unlock(&f->lock);
}

bool fleet_write(struct fleet *f, struct client *c, char code[32])
{
	char text[32];
	struct client_statement s = { .database = "db1",
				      .sql = INSERT_SQL,
				      .mode = "write",
				      .parameter = text,
				      .deadline_ms = FLEET_DEADLINE_MS };
	guint index = record_write(f, text);
	struct client_answer a;
	bool acked;

	client_statement(c, &s, &a);
	record_outcome(f, index, &a);
	acked = a.status == 200;
	if (code)
		g_strlcpy(code, a.code, sizeof(a.code));
	client_answer_free(&a);
	return acked;
}

void fleet_write_until(struct fleet *f, struct client *c)
{
	gint64 until = g_get_monotonic_time() + FLEET_TIMEOUT_US;
	char code[32] = "";

	while (!fleet_write(f, c, code)) {
		ck_assert_msg(g_get_monotonic_time() < until, "%s", code);
		g_usleep(FLEET_POLL_INTERVAL_US);
	}
}

/* Returns a table with the number of rows for each text. */
static GHashTable *count_rows(const json_t *rows)
{
	GHashTable *counts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	size_t i;

	for (i = 0; i < json_array_size(rows); i++) {
		const char *text = json_string_value(
			json_array_get(json_array_get(rows, i), 0));
		gpointer times = g_hash_table_lookup(counts, text);

		g_hash_table_insert(
			counts, g_strdup(text),
			GUINT_TO_POINTER(GPOINTER_TO_UINT(times) + 1));
	}
	return counts;
}

static void check_write(const struct write *w, guint times)
{
	guint min_times = w->acked ? 1 : 0;
	guint max_times = w->acked || w->unknown ? 1 : 0;

	ck_assert_msg(times >= min_times && times <= max_times,
		      "%s: acknowledged %d, unknown %d, found %u times",
		      w->text, w->acked, w->unknown, times);
}

/* Reads the current rows from the primary; retries during a failover. */
static json_t *read_rows(struct client *c)
{
	struct client_statement s = { .database = "db1",
				      .sql = ROWS_SQL,
				      .mode = "read",
				      .deadline_ms = FLEET_DEADLINE_MS };
	gint64 until = g_get_monotonic_time() + FLEET_TIMEOUT_US;
	struct client_answer a;
	json_t *rows;

	for (;;) {
		client_statement(c, &s, &a);
		if (a.status == 200)
			break;
		ck_assert_msg(g_get_monotonic_time() < until, "%s", a.code);
		client_answer_free(&a);
		g_usleep(FLEET_POLL_INTERVAL_US);
	}
	rows = json_incref(
		json_object_get(json_object_get(a.body, "result"), "rows"));
	client_answer_free(&a);
	return rows;
}

void fleet_check(struct fleet *f, struct client *c)
{
	json_t *rows = read_rows(c);
	GHashTable *counts = count_rows(rows);
	const struct write *w;
	gpointer times;
	guint i;

	for (i = 0; i < f->writes->len; i++) {
		w = &g_array_index(f->writes, struct write, i);
		times = g_hash_table_lookup(counts, w->text);
		check_write(w, GPOINTER_TO_UINT(times));
	}
	g_hash_table_destroy(counts);
	json_decref(rows);
}
