/**
 * @file test_load.c
 * Load patterns from incidents, replayed against one proxy: which clients are
 * served in time when rate tokens are scarce.
 */
#include <check.h>
#include <string.h>

#include "proxy_fixture.h"
#include "suite.h"

#define CLIENTS 40
#define TARGET (200 * HM_MS)
#define TRIES 3

/* A client that starts operations and tries each up to TRIES times. */
struct client_state {
	hm_time first_at; /* start of the current operation, 0 if none */
	hm_time next_at;
	int tries;
};

struct tally {
	uint32_t asked;
	uint32_t in_time;
	uint32_t late;
};

/* Whether the last step answered the client with success. */
static bool was_served(struct proxy_fixture *r)
{
	bool served = strstr(r->text->str, " ok ") != NULL;

	g_string_truncate(r->text, 0);
	return served;
}

static void operation_over(struct client_state *c, hm_time now, hm_time pause)
{
	c->first_at = 0;
	c->tries = 0;
	c->next_at = now + pause;
}

/* Tries an operation once; a transaction that opens is ended at once. */
static void try_once(struct proxy_fixture *r, uint64_t client,
		     struct client_state *c, hm_time pause, struct tally *t)
{
	if (!c->first_at) {
		c->first_at = r->now;
		t->asked++;
	}
	proxy_fixture_request_as(r, client, STMT_BEGIN, "b", NULL, "BEGIN");
	if (was_served(r)) {
		if (r->now - c->first_at <= TARGET)
			t->in_time++;
		else
			t->late++;
		proxy_fixture_request_as(r, client, STMT_ROLLBACK, "r", NULL,
					 "ROLLBACK");
		g_string_truncate(r->text, 0);
		operation_over(c, r->now, pause);
	} else if (++c->tries == TRIES) {
		operation_over(c, r->now, pause);
	} else {
		c->next_at = r->now + 70 * HM_MS * (2 * c->tries - 1);
	}
}

/*
 * An account has 25 tokens per second for 80 operations per second, each
 * tried three times within 300 ms (hot_tenant with a lowered limit). Guards
 * against tokens spent on operations that are already late.
 */
START_TEST(scarce_tokens_go_to_operations_in_time)
{
	struct client_state clients[CLIENTS] = { 0 };
	struct tally t = { 0 };
	struct proxy_fixture r;
	uint64_t i;
	hm_time until;

	proxy_fixture_open(&r);
	proxy_fixture_configure(&r, true, true, 25);
	for (i = 0; i < CLIENTS; i++) {
		proxy_fixture_open_session(&r, i + 1, "rota", "secret");
		clients[i].next_at = r.now + (hm_time)i * 12 * HM_MS;
	}
	g_string_truncate(r.text, 0);
	for (until = r.now + 20 * HM_SEC; r.now < until;) {
		for (i = 0; i < CLIENTS; i++)
			if (clients[i].next_at <= r.now)
				try_once(&r, i + 1, &clients[i],
					 (400 + (hm_time)i * 7) * HM_MS, &t);
		proxy_fixture_run(&r, PROXY_TICK);
	}
	ck_assert_uint_gt(t.asked, 40 * 20);
	/* All tokens of 20 s are used, at most 2 % of them for late answers. */
	ck_assert_uint_ge(t.in_time + t.late, 25 * 20 - 10);
	ck_assert_msg(t.late * 50 <= t.in_time, "in time %u, late %u",
		      t.in_time, t.late);
	proxy_fixture_close(&r);
}
END_TEST

/* A late retry is served if no other client of the account is refused. */
START_TEST(late_retry_is_served_without_competition)
{
	struct proxy_fixture r;

	proxy_fixture_open(&r);
	proxy_fixture_configure(&r, true, true, 4);
	proxy_fixture_open_session(&r, 1, "rota", "secret");
	do {
		g_string_truncate(r.text, 0);
		proxy_fixture_request(&r, STMT_BEGIN, "b", NULL, "BEGIN");
		if (strstr(r.text->str, " ok "))
			proxy_fixture_request(&r, STMT_ROLLBACK, "r", NULL,
					      "ROLLBACK");
	} while (!strstr(r.text->str, "rate_limited"));
	proxy_fixture_run(&r, 300 * HM_MS);
	g_string_truncate(r.text, 0);
	proxy_fixture_request(&r, STMT_BEGIN, "b", NULL, "BEGIN");
	ck_assert(was_served(&r));
	proxy_fixture_close(&r);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("load");

	tcase_add_test(tc, scarce_tokens_go_to_operations_in_time);
	tcase_add_test(tc, late_retry_is_served_without_competition);
	return suite_run("load", tc);
}
