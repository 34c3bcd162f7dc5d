/** @file path_testbed.c Testbed for end-to-end tests of the proxy. */
#include "path_testbed.h"

#include <arpa/inet.h>
#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../platform/adapter.h"

struct path_testbed path_testbed;

/*
 * Reserves an unused address until the teardown. The socket that is bound to it
 * never listens: a listener with SO_REUSEADDR may bind the address as well,
 * while the kernel gives its port to no other process, also when the instance
 * that listens there is stopped for a while.
 */
void path_reserve_address(char out[ADDRESS_BYTES])
{
	struct sockaddr_in at = { .sin_family = AF_INET };
	socklen_t bytes = sizeof(at);
	int fd = socket(AF_INET, SOCK_STREAM, 0), on = 1;

	ck_assert_int_lt(path_testbed.reserved_count, PATH_RESERVED_MAX);
	path_testbed.reserved[path_testbed.reserved_count++] = fd;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&at, sizeof(at)), 0);
	ck_assert_int_eq(getsockname(fd, (struct sockaddr *)&at, &bytes), 0);
	g_snprintf(out, ADDRESS_BYTES, "127.0.0.1:%u", ntohs(at.sin_port));
}

void path_publish_member(int index)
{
	char *spec = g_strdup_printf(
		"{\"Service\":\"rota-db\",\"Address\":\"%s\",\"Zone\":\"%s\","
		"\"Capacity\":2,\"State\":\"%s\",\"DbRole\":\"%s\","
		"\"born\":1}",
		line_members_address(path_testbed.members, index),
		path_testbed.in_zone_b[index] ? "b" : "a",
		path_testbed.leaving[index] ? "draining" : "ready",
		line_members_primary(path_testbed.members) == index
			? "primary"
			: "replica");

	object_store_put(path_testbed.store, "servers",
			 line_members_name(index), spec);
	g_free(spec);
}

void path_configure(const char *key, const char *more_routes)
{
	char *spec = g_strdup_printf(
		"{\"Version\":%d,\"Routes\":[{\"Host\":\"rota\",\"Type\":"
		"\"primary\",\"TimeoutMs\":800,\"TargetLatencyMs\":500,"
		"\"Service\":\"rota-db\"},{\"Host\":\"view\",\"Type\":"
		"\"bounded\",\"TimeoutMs\":800,\"TargetLatencyMs\":500,"
		"\"MaxStalenessMs\":1500,\"Service\":\"rota-db\"}%s],"
		"\"Services\":[{\"Name\":\"rota-db\",\"MaxConnections\":16,"
		"\"SyncReplicas\":1}],\"Limits\":{\"TxIdleMs\":3000},"
		"\"Tenants\":[{\"Name\":\"acme\",\"ApiKeys\":[\"%s\"],"
		"\"PerS\":1000,\"Burst\":1000}]}",
		++path_testbed.version, more_routes, key);

	object_store_put(path_testbed.store, "config", "main", spec);
	g_free(spec);
}

/*
 * Runs an instance and frees it on the same thread: h2o's sockets refer to
 * variables of the thread that created them.
 */
static gpointer run_instance(gpointer data)
{
	int index = GPOINTER_TO_INT(data);

	proxy_instance_run(path_testbed.instances[index]);
	g_mutex_lock(&path_testbed.lock);
	while (!path_testbed.released[index])
		g_cond_wait(&path_testbed.changed, &path_testbed.lock);
	g_mutex_unlock(&path_testbed.lock);
	proxy_instance_free(path_testbed.instances[index]);
	return NULL;
}

void path_start_instance(int index)
{
	struct proxy_platform platform = { &platform_lines, &platform_site };
	char fault[SETTINGS_FAULT_BYTES];
	struct proxy_settings s;

	proxy_settings_default(&s);
	/* The parts that are off by default are tested here as well. */
	s.scheduling.token_reserve = true;
	s.scheduling.learned_placement = true;
	g_snprintf(s.instance, sizeof(s.instance), "proxy-%d", index);
	g_strlcpy(s.zone, "a", sizeof(s.zone));
	g_strlcpy(s.zones[0], "a", NAME_BYTES);
	s.zone_count = 1;
	if (path_testbed.evacuations) {
		g_strlcpy(s.zones[s.zone_count++], "b", NAME_BYTES);
		s.evacuation_limit = 3 * HM_SEC;
	}
	path_reserve_address(path_testbed.sessions[index]);
	g_strlcpy(s.listen_sessions, path_testbed.sessions[index],
		  ADDRESS_BYTES);
	g_strlcpy(s.listen_peers, path_testbed.peers[index], ADDRESS_BYTES);
	path_reserve_address(s.listen_health);
	g_strlcpy(s.store, object_store_address(path_testbed.store),
		  ADDRESS_BYTES);
	g_strlcpy(s.promote_calls, object_store_address(path_testbed.store),
		  ADDRESS_BYTES);
	s.store_watch_wait = HM_SEC;
	path_testbed.instances[index] =
		proxy_instance_new(&s, &platform, fault);
	ck_assert_msg(path_testbed.instances[index] != NULL, "%s", fault);
	path_testbed.released[index] = false;
	path_testbed.threads[index] =
		g_thread_new("proxy", run_instance, GINT_TO_POINTER(index));
}

void path_setup(void)
{
	int i;

	memset(&path_testbed, 0, sizeof(path_testbed));
	path_testbed.members = line_members_new("rota-db");
	path_testbed.store = object_store_new(path_testbed.members);
	ck_assert(path_testbed.members && path_testbed.store);
	path_configure("secret", "");
	for (i = 0; i < LINE_MEMBERS; i++)
		path_publish_member(i);
	for (i = 0; i < PATH_INSTANCES; i++)
		path_reserve_address(path_testbed.peers[i]);
	for (i = 0; i < PATH_INSTANCES; i++)
		path_start_instance(i);
}

void path_join_instance(int index)
{
	g_mutex_lock(&path_testbed.lock);
	path_testbed.released[index] = true;
	g_cond_broadcast(&path_testbed.changed);
	g_mutex_unlock(&path_testbed.lock);
	g_thread_join(path_testbed.threads[index]);
	path_testbed.instances[index] = NULL;
}

void path_end_instance(int index)
{
	if (!path_testbed.instances[index])
		return;
	/* The second call stops the instance at once. */
	proxy_instance_stop(path_testbed.instances[index]);
	proxy_instance_stop(path_testbed.instances[index]);
	path_join_instance(index);
}

void path_teardown(void)
{
	int i;

	for (i = 0; i < PATH_INSTANCES; i++)
		path_end_instance(i);
	object_store_free(path_testbed.store);
	line_members_free(path_testbed.members);
	while (path_testbed.reserved_count)
		close(path_testbed.reserved[--path_testbed.reserved_count]);
}

/* Reads up to a READY line or to the end of the connection. */
const char *path_read_answer(struct path_client *c)
{
	char line[PATH_ANSWER_BYTES];

	c->answer[0] = '\0';
	while (fgets(line, sizeof(line), c->in)) {
		line[strcspn(line, "\r\n")] = '\0';
		g_strlcat(c->answer, line, sizeof(c->answer));
		g_strlcat(c->answer, "|", sizeof(c->answer));
		if (g_str_has_prefix(line, "READY"))
			return c->answer;
	}
	g_strlcat(c->answer, "closed", sizeof(c->answer));
	return c->answer;
}

const char *path_request(struct path_client *c, const char *line)
{
	char *text = g_strdup_printf("%s\r\n", line);

	if (send(c->fd, text, strlen(text), MSG_NOSIGNAL) < 0)
		g_strlcpy(c->answer, "closed", sizeof(c->answer));
	g_free(text);
	return path_read_answer(c);
}

void path_disconnect(struct path_client *c)
{
	fclose(c->in);
	close(c->fd);
}

const char *path_open_session(struct path_client *c, int instance,
			      const char *database, const char *key)
{
	struct sockaddr_in at = { .sin_family = AF_INET };
	const char *port = strrchr(path_testbed.sessions[instance], ':') + 1;
	struct timeval limit = { 5, 0 };
	char line[128];

	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	at.sin_port = htons((uint16_t)atoi(port));
	c->fd = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(c->fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	ck_assert_int_eq(connect(c->fd, (struct sockaddr *)&at, sizeof(at)), 0);
	c->in = fdopen(dup(c->fd), "r");
	g_snprintf(line, sizeof(line), "STARTUP %s %s", database, key);
	return path_request(c, line);
}

/* Each attempt runs the statement on a new session. */
void path_until_served(int instance, const char *database, const char *line)
{
	gint64 until = g_get_monotonic_time() + PATH_WAIT_US;
	struct path_client c;
	bool ok;

	do {
		path_open_session(&c, instance, database, "secret");
		ok = strstr(path_request(&c, line), "COMPLETE 7.") != NULL;
		path_disconnect(&c);
		if (!ok)
			g_usleep(PATH_POLL_US);
	} while (!ok && g_get_monotonic_time() < until);
	ck_assert_msg(ok, "%s: %s", line, c.answer);
}

int path_replace_primary(int instance)
{
	gint64 until = g_get_monotonic_time() + PATH_WAIT_US;
	int old = line_members_primary(path_testbed.members);

	path_testbed.leaving[old] = true;
	path_publish_member(old);
	while (line_members_primary(path_testbed.members) == old &&
	       g_get_monotonic_time() < until)
		path_until_served(instance, "rota", "QUERY d1 WRITE shift x");
	ck_assert_int_ne(line_members_primary(path_testbed.members), old);
	return old;
}

void path_assert_value(const char *item, const char *expected)
{
	char *value = line_members_value(path_testbed.members, item);

	ck_assert_ptr_nonnull(value);
	ck_assert_str_eq(value, expected);
	g_free(value);
}

/* Each attempt opens a new session. */
void path_until_opened(int instance, const char *database, const char *key,
		       const char *expected)
{
	gint64 until = g_get_monotonic_time() + PATH_WAIT_US;
	struct path_client c;
	bool ok;

	do {
		ok = g_str_has_prefix(
			path_open_session(&c, instance, database, key),
			expected);
		path_disconnect(&c);
		if (!ok)
			g_usleep(PATH_POLL_US);
	} while (!ok && g_get_monotonic_time() < until);
	ck_assert_msg(ok, "%s: %s", database, c.answer);
}
