/**
 * @file test_path.c
 * The whole path on the users' platform: two instances in this process, with
 * stand-ins for the members, the store and the promote call, and callers that
 * speak the line protocol over loopback.
 */
#include <arpa/inet.h>
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../platform/adapter.h"
#include "../src/proxy_instance.h"
#include "../standin/object_store.h"
#include "suite.h"

#define INSTANCES 2
#define WAIT_US (10 * G_TIME_SPAN_SECOND)
#define POLL_US (20 * G_TIME_SPAN_MILLISECOND)
#define ANSWER_ROOM 1024

struct bed {
	struct line_members *members;
	struct object_store *store;
	struct proxy_instance *instances[INSTANCES];
	GThread *threads[INSTANCES];
	char sessions[INSTANCES][ADDRESS_BYTES];
	bool leaving[LINE_MEMBERS];
	int version;
};

static struct bed bed;

/* A caller's session. */
struct caller {
	int fd;
	FILE *in;
	char answer[ANSWER_ROOM]; /* lines of the last one, joined by '|' */
};

static void free_address(char out[ADDRESS_BYTES])
{
	struct sockaddr_in at = { .sin_family = AF_INET };
	socklen_t bytes = sizeof(at);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&at, sizeof(at)), 0);
	ck_assert_int_eq(getsockname(fd, (struct sockaddr *)&at, &bytes), 0);
	close(fd);
	g_snprintf(out, ADDRESS_BYTES, "127.0.0.1:%u", ntohs(at.sin_port));
}

static void publish_member(int index)
{
	char *spec = g_strdup_printf(
		"{\"Service\":\"rota-db\",\"Address\":\"%s\",\"Zone\":\"a\","
		"\"Capacity\":2,\"State\":\"%s\",\"DbRole\":\"%s\","
		"\"born\":1}",
		line_members_address(bed.members, index),
		bed.leaving[index] ? "draining" : "ready",
		line_members_primary(bed.members) == index ? "primary"
							   : "replica");

	object_store_put(bed.store, "servers", line_members_name(index), spec);
	g_free(spec);
}

static void configure(const char *key, const char *more_routes)
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
		++bed.version, more_routes, key);

	object_store_put(bed.store, "config", "main", spec);
	g_free(spec);
}

static gpointer run_instance(gpointer data)
{
	proxy_instance_run(data);
	return NULL;
}

static void start_instance(int index, char (*peers)[ADDRESS_BYTES])
{
	struct proxy_platform platform = { &platform_lines, &platform_site };
	char fault[SETTINGS_FAULT_BYTES];
	struct proxy_settings s;

	proxy_settings_default(&s);
	g_snprintf(s.instance, sizeof(s.instance), "proxy-%d", index);
	g_strlcpy(s.zone, "a", sizeof(s.zone));
	g_strlcpy(s.zones[0], "a", NAME_BYTES);
	s.zone_count = 1;
	free_address(bed.sessions[index]);
	g_strlcpy(s.listen_sessions, bed.sessions[index], ADDRESS_BYTES);
	g_strlcpy(s.listen_peers, peers[index], ADDRESS_BYTES);
	free_address(s.listen_health);
	g_strlcpy(s.store, object_store_address(bed.store), ADDRESS_BYTES);
	g_strlcpy(s.promote_calls, object_store_address(bed.store),
		  ADDRESS_BYTES);
	s.store_watch_wait = HM_SEC;
	bed.instances[index] = proxy_instance_new(&s, &platform, fault);
	ck_assert_msg(bed.instances[index] != NULL, "%s", fault);
	bed.threads[index] =
		g_thread_new("proxy", run_instance, bed.instances[index]);
}

static void setup(void)
{
	char peers[INSTANCES][ADDRESS_BYTES];
	int i;

	memset(&bed, 0, sizeof(bed));
	bed.members = line_members_new("rota-db");
	bed.store = object_store_new(bed.members);
	ck_assert(bed.members && bed.store);
	configure("secret", "");
	for (i = 0; i < LINE_MEMBERS; i++)
		publish_member(i);
	for (i = 0; i < INSTANCES; i++)
		free_address(peers[i]);
	for (i = 0; i < INSTANCES; i++)
		start_instance(i, peers);
}

static void end_instance(int index)
{
	if (!bed.instances[index])
		return;
	/* Twice: at once. */
	proxy_instance_stop(bed.instances[index]);
	proxy_instance_stop(bed.instances[index]);
	g_thread_join(bed.threads[index]);
	proxy_instance_free(bed.instances[index]);
	bed.instances[index] = NULL;
}

static void teardown(void)
{
	int i;

	for (i = 0; i < INSTANCES; i++)
		end_instance(i);
	object_store_free(bed.store);
	line_members_free(bed.members);
}

/* Reads an answer up to its READY, or to the end of the connection. */
static const char *read_answer(struct caller *c)
{
	char line[ANSWER_ROOM];

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

static const char *say(struct caller *c, const char *line)
{
	char *text = g_strdup_printf("%s\r\n", line);

	if (send(c->fd, text, strlen(text), MSG_NOSIGNAL) < 0)
		g_strlcpy(c->answer, "closed", sizeof(c->answer));
	g_free(text);
	return read_answer(c);
}

static void hang_up(struct caller *c)
{
	fclose(c->in);
	close(c->fd);
}

static const char *open_session(struct caller *c, int instance,
				const char *database, const char *key)
{
	struct sockaddr_in at = { .sin_family = AF_INET };
	const char *port = strrchr(bed.sessions[instance], ':') + 1;
	struct timeval limit = { 5, 0 };
	char line[128];

	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	at.sin_port = htons((uint16_t)atoi(port));
	c->fd = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(c->fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	ck_assert_int_eq(connect(c->fd, (struct sockaddr *)&at, sizeof(at)), 0);
	c->in = fdopen(dup(c->fd), "r");
	g_snprintf(line, sizeof(line), "STARTUP %s %s", database, key);
	return say(c, line);
}

/* One statement on a session of its own, again until it is served. */
static void until_served(int instance, const char *database, const char *line)
{
	gint64 until = g_get_monotonic_time() + WAIT_US;
	struct caller c;
	bool ok;

	do {
		open_session(&c, instance, database, "secret");
		ok = strstr(say(&c, line), "COMPLETE 7.") != NULL;
		hang_up(&c);
		if (!ok)
			g_usleep(POLL_US);
	} while (!ok && g_get_monotonic_time() < until);
	ck_assert_msg(ok, "%s: %s", line, c.answer);
}

static void assert_value(const char *item, const char *expected)
{
	char *value = line_members_value(bed.members, item);

	ck_assert_ptr_nonnull(value);
	ck_assert_str_eq(value, expected);
	g_free(value);
}

START_TEST(session_and_transaction)
{
	struct caller c;

	until_served(0, "rota", "QUERY a0 WRITE shift ann");
	until_served(1, "view", "QUERY a1 READ shift");
	ck_assert_str_eq(open_session(&c, 1, "rota", "secret"), "READY I -|");
	ck_assert_str_eq(say(&c, "QUERY b1 SET tz utc"),
			 "COMPLETE -|READY I -|");
	ck_assert_str_eq(say(&c, "QUERY b2 PREPARE p WRITE q"),
			 "COMPLETE -|READY I -|");
	ck_assert_str_eq(say(&c, "QUERY b3 BEGIN"), "COMPLETE -|READY T -|");
	ck_assert_ptr_nonnull(
		strstr(say(&c, "QUERY b4 READ shift"), "ROW ann|COMPLETE 7."));
	ck_assert_ptr_nonnull(
		strstr(say(&c, "QUERY b5 EXECUTE p shift ben"), "COMPLETE 7."));
	assert_value("shift", "ann"); /* not committed yet */
	ck_assert_ptr_nonnull(strstr(say(&c, "QUERY b6 COMMIT"), "READY I"));
	assert_value("shift", "ben");
	ck_assert_str_eq(say(&c, "QUERY b7 BEGIN"), "COMPLETE -|READY T -|");
	say(&c, "QUERY b8 WRITE shift cid");
	ck_assert_str_eq(say(&c, "QUERY b9 ROLLBACK"), "COMPLETE -|READY I -|");
	hang_up(&c);
	until_served(0, "rota", "QUERY c1 READ shift");
	assert_value("shift", "ben");
}
END_TEST

START_TEST(lines_may_come_in_any_pieces)
{
	static const char text[] = "QUERY a1 SET a b\r\nQUERY a2 READ\r\n"
				   "QUERY a3 WRITE x y z\r\n";
	struct caller c;
	size_t i;

	until_served(0, "rota", "QUERY a0 WRITE warm up");
	open_session(&c, 0, "rota", "secret");
	for (i = 0; i < strlen(text); i++)
		ck_assert_int_eq(send(c.fd, text + i, 1, MSG_NOSIGNAL), 1);
	ck_assert_str_eq(read_answer(&c), "COMPLETE -|READY I -|");
	ck_assert(g_str_has_prefix(read_answer(&c), "ERROR MALFORMED"));
	ck_assert_ptr_nonnull(strstr(read_answer(&c), "COMPLETE 7."));
	assert_value("x", "y z");
	ck_assert_str_eq(say(&c, "nonsense"), "closed");
	hang_up(&c);
}
END_TEST

START_TEST(primary_dies)
{
	until_served(0, "rota", "QUERY a0 WRITE shift ann");
	until_served(1, "view", "QUERY a1 READ shift");
	line_members_kill(bed.members, 0);
	until_served(0, "rota", "QUERY a2 WRITE shift ben");
	until_served(1, "rota", "QUERY a3 READ shift");
	ck_assert_int_ne(line_members_primary(bed.members), 0);
	assert_value("shift", "ben");
}
END_TEST

START_TEST(primary_is_drained)
{
	gint64 until = g_get_monotonic_time() + WAIT_US;

	until_served(0, "rota", "QUERY a0 WRITE shift ann");
	bed.leaving[0] = true;
	publish_member(0);
	while (line_members_primary(bed.members) == 0 &&
	       g_get_monotonic_time() < until)
		until_served(1, "rota", "QUERY a1 WRITE shift ben");
	ck_assert_int_ne(line_members_primary(bed.members), 0);
	until_served(0, "rota", "QUERY a2 WRITE shift cid");
	assert_value("shift", "cid");
}
END_TEST

/* Reads again and again: what is answered is @a expected, never older. */
static void never_older(const char *item, const char *expected, int times)
{
	char *line = g_strdup_printf("QUERY r READ %s", item);
	char *row = g_strdup_printf("ROW %s|", expected);
	struct caller c;
	int i;

	for (i = 0; i < times; i++) {
		open_session(&c, i % INSTANCES, "rota", "secret");
		if (strstr(say(&c, line), "COMPLETE"))
			ck_assert_msg(strstr(c.answer, row) != NULL, "%s",
				      c.answer);
		hang_up(&c);
		g_usleep(POLL_US / 2);
	}
	g_free(line);
	g_free(row);
}

static void until_one_leads(void)
{
	gint64 until = g_get_monotonic_time() + WAIT_US;

	while (line_members_two_lead(bed.members) &&
	       g_get_monotonic_time() < until)
		g_usleep(POLL_US);
	ck_assert(!line_members_two_lead(bed.members));
}

/* akb-utility, STALE: a replaced primary goes on until it is told. */
START_TEST(replaced_primary_that_goes_on_serves_no_reads)
{
	until_served(0, "rota", "QUERY a0 WRITE shift ann");
	until_served(1, "rota", "QUERY a1 READ shift");
	line_members_go_on(bed.members);
	ck_assert(line_members_promote(bed.members, "i-2"));
	line_members_commit(bed.members, "shift", "ben");
	never_older("shift", "ben", 40);
	until_one_leads();
	until_served(0, "rota", "QUERY a2 READ shift");
}
END_TEST

/* The instances reach the old primary alone; others have replaced it. */
START_TEST(primary_that_alone_is_reached_serves_no_reads)
{
	until_served(0, "rota", "QUERY a0 WRITE shift ann");
	until_served(1, "rota", "QUERY a1 READ shift");
	line_members_go_on(bed.members);
	line_members_freeze(bed.members, 1, true);
	line_members_freeze(bed.members, 2, true);
	ck_assert(line_members_promote(bed.members, "i-2"));
	line_members_commit(bed.members, "shift", "ben");
	never_older("shift", "ben", 40);
	ck_assert(line_members_two_lead(bed.members));
	line_members_freeze(bed.members, 1, false);
	line_members_freeze(bed.members, 2, false);
	until_one_leads();
	until_served(1, "rota", "QUERY a2 READ shift");
}
END_TEST

START_TEST(frozen_primary_is_replaced_and_steps_down_once_it_wakes)
{
	until_served(0, "rota", "QUERY a0 WRITE shift ann");
	until_served(1, "rota", "QUERY a1 READ shift");
	line_members_go_on(bed.members);
	line_members_freeze(bed.members, 0, true);
	until_served(0, "rota", "QUERY a2 WRITE shift ben");
	ck_assert(line_members_two_lead(bed.members));
	line_members_freeze(bed.members, 0, false);
	never_older("shift", "ben", 40);
	until_one_leads();
}
END_TEST

/* Asks on a session of its own until the answer begins so. */
static void until_opened(int instance, const char *database, const char *key,
			 const char *expected)
{
	gint64 until = g_get_monotonic_time() + WAIT_US;
	struct caller c;
	bool ok;

	do {
		ok = g_str_has_prefix(open_session(&c, instance, database, key),
				      expected);
		hang_up(&c);
		if (!ok)
			g_usleep(POLL_US);
	} while (!ok && g_get_monotonic_time() < until);
	ck_assert_msg(ok, "%s: %s", database, c.answer);
}

START_TEST(key_and_routes_change)
{
	struct caller c;

	until_served(0, "rota", "QUERY a0 WRITE shift ann");
	until_opened(1, "extra", "secret", "ERROR NODB");
	open_session(&c, 0, "rota", "secret");
	configure("other", ",{\"Host\":\"extra\",\"Type\":\"primary\","
			   "\"Service\":\"rota-db\"}");
	until_opened(1, "extra", "other", "READY I -");
	until_opened(0, "rota", "secret", "ERROR UNAUTH");
	/* A session that was open when its key was taken away. */
	ck_assert_ptr_nonnull(strstr(say(&c, "QUERY a1 READ shift"), "closed"));
	hang_up(&c);
}
END_TEST

/* abh-rota scale-1, CONFIG: a watch that is deaf ends like one without news. */
START_TEST(change_is_seen_though_watches_are_deaf)
{
	until_served(0, "rota", "QUERY a0 WRITE shift ann");
	object_store_deaf(bed.store, true);
	configure("other", "");
	until_opened(0, "rota", "other", "READY I -");
	until_opened(1, "rota", "other", "READY I -");
	until_opened(0, "rota", "secret", "ERROR UNAUTH");
}
END_TEST

START_TEST(instance_stops_while_a_transaction_is_open)
{
	struct caller c;

	until_served(0, "rota", "QUERY a0 WRITE shift ann");
	until_served(1, "rota", "QUERY a1 READ shift");
	open_session(&c, 0, "rota", "secret");
	say(&c, "QUERY b1 BEGIN");
	ck_assert_ptr_nonnull(
		strstr(say(&c, "QUERY b2 WRITE shift ben"), "READY T"));
	proxy_instance_stop(bed.instances[0]);
	ck_assert_ptr_nonnull(strstr(say(&c, "QUERY b3 COMMIT"), "READY I"));
	assert_value("shift", "ben");
	ck_assert_str_eq(read_answer(&c), "closed"); /* at rest, it ends */
	hang_up(&c);
	g_thread_join(bed.threads[0]);
	proxy_instance_free(bed.instances[0]);
	bed.instances[0] = NULL;
	until_served(1, "rota", "QUERY c1 WRITE shift cid");
}
END_TEST

START_TEST(serves_while_the_store_is_down)
{
	until_served(0, "rota", "QUERY a0 WRITE shift ann");
	object_store_down(bed.store, true);
	until_served(0, "rota", "QUERY a1 WRITE shift ben");
	until_served(1, "view", "QUERY a2 READ shift");
	object_store_down(bed.store, false);
	assert_value("shift", "ben");
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("path");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, session_and_transaction);
	tcase_add_test(tc, lines_may_come_in_any_pieces);
	tcase_add_test(tc, primary_dies);
	tcase_add_test(tc, primary_is_drained);
	tcase_add_test(tc, replaced_primary_that_goes_on_serves_no_reads);
	tcase_add_test(tc, primary_that_alone_is_reached_serves_no_reads);
	tcase_add_test(tc,
		       frozen_primary_is_replaced_and_steps_down_once_it_wakes);
	tcase_add_test(tc, key_and_routes_change);
	tcase_add_test(tc, change_is_seen_though_watches_are_deaf);
	tcase_add_test(tc, instance_stops_while_a_transaction_is_open);
	tcase_add_test(tc, serves_while_the_store_is_down);
	return suite_run("path", tc);
}
