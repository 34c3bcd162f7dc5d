/**
 * @file test_process.c
 * Process faults: three instances and the stand-ins run as separate processes;
 * instances are killed, paused and stopped while clients write.
 */
#include <check.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "fleet.h"

#define PRIMARY "db1-a"
#define PAUSE_US (3 * G_TIME_SPAN_SECOND)
#define THREADS 4
#define TRANSACTIONS 4 /* open at once, as the contract allows */

static struct fleet fleet;

static void setup(void)
{
	fleet_start_all(&fleet);
}

static void teardown(void)
{
	fleet_stop_all(&fleet);
}

/* A client that writes to one instance on its own thread. */
struct client_load {
	GThread *thread;
	struct client *client;
	gint stop;
	int acked;
	int unanswered; /* requests whose connection broke before the answer */
};

static gpointer write_until_gone(gpointer data)
{
	struct client_load *l = data;
	char code[32] = "";

	while (strcmp(code, "no_connection") != 0) {
		l->acked += fleet_write(&fleet, l->client, code);
		l->unanswered += !strcmp(code, "no_answer");
	}
	return NULL;
}

static gpointer write_until_stopped(gpointer data)
{
	struct client_load *l = data;
	char code[32];

	while (!g_atomic_int_get(&l->stop)) {
		l->acked += fleet_write(&fleet, l->client, code);
		if (!strcmp(code, "no_connection"))
			g_usleep(FLEET_POLL_INTERVAL_US);
	}
	return NULL;
}

static void load_start(struct client_load *l, int instance, GThreadFunc body)
{
	memset(l, 0, sizeof(*l));
	l->client = fleet_client(&fleet, instance);
	l->thread = g_thread_new("load", body, l);
}

static void load_end(struct client_load *l)
{
	g_atomic_int_set(&l->stop, 1);
	g_thread_join(l->thread);
	client_free(l->client);
}

/* Returns the index of the instance that owns the primary. */
static int owner_of_primary(void)
{
	int owner = fleet_owner(&fleet, PRIMARY);

	ck_assert_int_ge(owner, 0);
	return owner;
}

/* Writes until @a more further writes are acknowledged. */
static void write_acknowledged(struct client *c, int more)
{
	while (more--)
		fleet_write_until(&fleet, c);
}

static char *begin(struct client *c, char code[32])
{
	json_t *body = json_pack("{s:s}", "database", "db1");
	struct client_answer a;
	char *id;

	client_post(c, "/v1/transaction", body, &a);
	json_decref(body);
	g_strlcpy(code, a.code, sizeof(a.code));
	id = g_strdup(
		json_string_value(json_object_get(a.body, "transaction")));
	client_answer_free(&a);
	return id;
}

static void insert_in_transaction(struct client *c, const char *tx,
				  char code[32])
{
	struct client_statement s = {
		.database = "db1",
		.sql = "INSERT INTO notes(text) VALUES ('open')",
		.mode = "write",
		.transaction = tx,
		.deadline_ms = FLEET_DEADLINE_MS
	};
	struct client_answer a;

	client_statement(c, &s, &a);
	g_strlcpy(code, a.code, sizeof(a.code));
	client_answer_free(&a);
}

static void end_transaction(struct client *c, const char *tx, const char *how,
			    char code[32])
{
	char *path = g_strdup_printf("/v1/transaction/%s/%s", tx, how);
	struct client_answer a;

	client_post(c, path, NULL, &a);
	g_strlcpy(code, a.code, sizeof(a.code));
	client_answer_free(&a);
	g_free(path);
}

static json_int_t count_transaction_rows(struct client *c)
{
	struct client_statement s = {
		.database = "db1",
		.sql = "SELECT count(*) FROM notes WHERE text = 'open'",
		.mode = "read",
		.deadline_ms = FLEET_DEADLINE_MS
	};
	struct client_answer a;
	json_int_t n;

	client_statement(c, &s, &a);
	n = client_number(&a, -1);
	client_answer_free(&a);
	return n;
}

/* Opens and rolls back as many transactions as the contract allows at once. */
static void check_transactions_available(struct client *c)
{
	char *open[TRANSACTIONS], code[32];
	int i;

	for (i = 0; i < TRANSACTIONS; i++) {
		open[i] = begin(c, code);
		ck_assert_str_eq(code, "ok");
	}
	for (i = 0; i < TRANSACTIONS; i++) {
		end_transaction(c, open[i], "rollback", code);
		ck_assert_str_eq(code, "ok");
		g_free(open[i]);
	}
}

/*
 * The owner of the primary is killed while a transaction is open: its commit
 * fails, none of its rows appear, and its slot in the contract is free again.
 */
START_TEST(owner_killed_in_transaction)
{
	int owner = owner_of_primary();
	struct client *c = fleet_client(&fleet, (owner + 1) % FLEET_INSTANCES);
	char code[32], *tx;

	tx = begin(c, code);
	ck_assert_str_eq(code, "ok");
	insert_in_transaction(c, tx, code);
	ck_assert_str_eq(code, "ok");
	fleet_kill(&fleet, owner);
	insert_in_transaction(c, tx, code);
	ck_assert_str_ne(code, "ok");
	end_transaction(c, tx, "commit", code);
	ck_assert_str_eq(code, "transaction_gone");
	write_acknowledged(c, 10);
	ck_assert_int_eq(count_transaction_rows(c), 0);
	check_transactions_available(c);
	fleet_check(&fleet, c);
	g_free(tx);
	client_free(c);
}
END_TEST

/* No acknowledged write is lost while the instances are killed in turn. */
START_TEST(instances_killed_and_restarted)
{
	struct client_load loads[FLEET_INSTANCES];
	struct client *c = fleet_client(&fleet, 0);
	int i;

	for (i = 0; i < FLEET_INSTANCES; i++)
		load_start(&loads[i], i, write_until_stopped);
	for (i = 0; i < FLEET_INSTANCES; i++) {
		int other = (i + 1) % FLEET_INSTANCES;
		char *address = fleet_client_address(&fleet, other);

		client_set_address(c, address);
		write_acknowledged(c, 10);
		fleet_kill(&fleet, i);
		write_acknowledged(c, 10);
		fleet_start(&fleet, i);
		g_free(address);
		address = fleet_client_address(&fleet, i);
		client_set_address(c, address);
		write_acknowledged(c, 10);
		g_free(address);
	}
	for (i = 0; i < FLEET_INSTANCES; i++) {
		load_end(&loads[i]);
		ck_assert_int_gt(loads[i].acked, 0);
	}
	fleet_check(&fleet, c);
	client_free(c);
}
END_TEST

static json_int_t status_number(int instance, const char *name)
{
	char *address = fleet_operator_address(&fleet, instance);
	struct client *c = client_new(address, NULL);
	struct client_answer a;
	json_int_t n;

	client_get(c, "/status", &a);
	n = a.status == 200 ? json_integer_value(json_object_get(a.body, name))
			    : -1;
	client_answer_free(&a);
	client_free(c);
	g_free(address);
	return n;
}

static void wait_for_peers(json_int_t peers)
{
	gint64 until = g_get_monotonic_time() + FLEET_TIMEOUT_US;
	int i;

	for (i = 0; i < FLEET_INSTANCES; i++)
		while (status_number(i, "peers_alive") != peers) {
			ck_assert_msg(g_get_monotonic_time() < until,
				      "instance %d", i);
			g_usleep(FLEET_POLL_INTERVAL_US);
		}
}

/*
 * Another instance takes over from the paused owner; the writes stay correct
 * when the old owner continues.
 */
START_TEST(owner_paused_and_continued)
{
	int owner = owner_of_primary();
	struct client *c = fleet_client(&fleet, (owner + 1) % FLEET_INSTANCES);
	struct client_load inside, outside;
	gint64 until;
	char *address;

	load_start(&inside, owner, write_until_stopped);
	load_start(&outside, (owner + 2) % FLEET_INSTANCES,
		   write_until_stopped);
	write_acknowledged(c, 10);
	kill(fleet.instances[owner], SIGSTOP);
	until = g_get_monotonic_time() + PAUSE_US;
	while (g_get_monotonic_time() < until)
		fleet_write_until(&fleet, c);
	kill(fleet.instances[owner], SIGCONT);
	wait_for_peers(FLEET_INSTANCES - 1);
	address = fleet_client_address(&fleet, owner);
	client_set_address(c, address);
	write_acknowledged(c, 10);
	load_end(&inside);
	load_end(&outside);
	ck_assert_int_gt(outside.acked, 0);
	fleet_check(&fleet, c);
	g_free(address);
	client_free(c);
}
END_TEST

/* SIGTERM under load: each request taken is answered before the exit. */
START_TEST(stopped_under_load)
{
	struct client_load loads[THREADS];
	int owner = owner_of_primary();
	struct client *c = fleet_client(&fleet, (owner + 1) % FLEET_INSTANCES);
	int i, unanswered = 0;

	for (i = 0; i < THREADS; i++)
		load_start(&loads[i], owner, write_until_gone);
	write_acknowledged(c, 20);
	kill(fleet.instances[owner], SIGTERM);
	ck_assert_int_eq(fleet_wait_exit(&fleet, owner), 0);
	for (i = 0; i < THREADS; i++) {
		load_end(&loads[i]);
		ck_assert_int_gt(loads[i].acked, 0);
		unanswered += loads[i].unanswered;
	}
	ck_assert_int_eq(unanswered, 0);
	write_acknowledged(c, 10);
	fleet_check(&fleet, c);
	client_free(c);
}
END_TEST

/* The primary fails while the platform is down: failover works without it. */
START_TEST(primary_dies_without_platform)
{
	struct client *c = fleet_client(&fleet, 1);

	write_acknowledged(c, 10);
	fleet_command(&fleet, "store down");
	write_acknowledged(c, 10);
	fleet_command(&fleet, "member " PRIMARY " dead");
	write_acknowledged(c, 10);
	fleet_check(&fleet, c);
	fleet_command(&fleet, "store up");
	fleet_command(&fleet, "member " PRIMARY " none");
	write_acknowledged(c, 10);
	fleet_check(&fleet, c);
	client_free(c);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("process");
	TCase *tc = tcase_create("process");
	SRunner *runner;
	int failed;

	signal(SIGPIPE, SIG_IGN);
	tcase_set_timeout(tc, 60);
	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, owner_killed_in_transaction);
	tcase_add_test(tc, instances_killed_and_restarted);
	tcase_add_test(tc, owner_paused_and_continued);
	tcase_add_test(tc, stopped_under_load);
	tcase_add_test(tc, primary_dies_without_platform);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
