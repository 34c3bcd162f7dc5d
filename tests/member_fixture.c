/** @file member_fixture.c A group of stand-in members, used through libpq. */
#include "member_fixture.h"

#include <check.h>
#include <string.h>

#include "../src/loop.h"
#include "../src/names.h"

#define COUNT 3
#define TIMEOUT (5 * HM_SEC)
#define STATE_BYTES 512

struct database_spec spec;
struct members *members;

void member_setup_with(const struct member_options *options)
{
	struct endpoint_spec *e;
	uint32_t i;

	memset(&spec, 0, sizeof(spec));
	g_strlcpy(spec.name, "rota", NAME_BYTES);
	spec.database = name_id("rota");
	spec.endpoint_count = COUNT;
	for (i = 0; i < COUNT; i++) {
		e = &spec.endpoints[i];
		g_snprintf(e->name, NAME_BYTES, "rota-%u", i);
		g_strlcpy(e->address, "127.0.0.1:0", ADDRESS_BYTES);
		e->endpoint = name_id(e->name);
		e->slots = 2;
		e->connections = 4;
	}
	members = members_new(&spec, 1, options);
	ck_assert_ptr_nonnull(members);
	members_database(members, 0, &spec);
	members_start(members);
}

void member_setup(void)
{
	const struct member_options options = { .lag = LAG };

	member_setup_with(&options);
}

void member_teardown(void)
{
	members_free(members);
}

hm_id member_id(uint32_t i)
{
	return spec.endpoints[i].endpoint;
}

PGconn *member_try_open(uint32_t i, const char *application)
{
	char info[256];

	g_snprintf(info, sizeof(info),
		   "hostaddr=127.0.0.1 port=%s dbname=rota user=test "
		   "sslmode=disable gssencmode=disable application_name=%s",
		   strrchr(spec.endpoints[i].address, ':') + 1, application);
	return PQconnectdb(info);
}

PGconn *member_open_as(uint32_t i, const char *application)
{
	PGconn *c = member_try_open(i, application);

	ck_assert_msg(PQstatus(c) == CONNECTION_OK, "%s", PQerrorMessage(c));
	return c;
}

PGconn *member_open(uint32_t i)
{
	return member_open_as(i, "test");
}

const char *member_run(PGconn *c, const char *sql)
{
	static char state[6];
	PGresult *r = PQexecParams(c, sql, 0, NULL, NULL, NULL, NULL, 0);
	const char *code = PQresultErrorField(r, PG_DIAG_SQLSTATE);

	g_strlcpy(state, code ? code : "", sizeof(state));
	if (!code && PQstatus(c) != CONNECTION_OK)
		g_strlcpy(state, "LOST", sizeof(state));
	PQclear(r);
	return state;
}

const char *member_value(PGconn *c, const char *sql)
{
	static char text[STATE_BYTES];
	PGresult *r = PQexecParams(c, sql, 0, NULL, NULL, NULL, NULL, 0);

	g_strlcpy(text, "none", sizeof(text));
	if (PQresultStatus(r) != PGRES_TUPLES_OK)
		g_strlcpy(text, PQresultErrorMessage(r), sizeof(text));
	else if (PQntuples(r))
		g_strlcpy(text, PQgetvalue(r, 0, 0), sizeof(text));
	PQclear(r);
	return text;
}

bool member_replies(PGconn *c, const char *sql, const char *part)
{
	return strstr(member_value(c, sql), part) != NULL;
}

struct endpoint_state member_state(uint32_t i)
{
	struct member_stats f;

	members_stats(members, member_id(i), &f);
	return f.state;
}

void member_await_at(uint32_t i, uint64_t term, uint64_t pos)
{
	hm_time end = loop_now() + TIMEOUT;
	struct log_pos want = { term, pos };

	while (log_pos_compare(member_state(i).at, want) != 0) {
		ck_assert_msg(loop_now() < end, "member %u stays at %u/%u", i,
			      (uint32_t)member_state(i).at.term,
			      (uint32_t)member_state(i).at.pos);
		g_usleep(500);
	}
}

void member_fault(uint32_t i, struct member_faults f)
{
	members_set_faults(members, member_id(i), &f);
}

void member_make_table(void)
{
	ck_assert(members_sql(members, member_id(0),
			      "CREATE TABLE t (k INTEGER PRIMARY KEY, "
			      "v TEXT)"));
}

void member_run_control(uint32_t i, const char *sql)
{
	PGconn *c = member_open_as(i, "test");

	ck_assert_msg(member_replies(c, sql, "\"refused\":false"), "%s: %s",
		      sql, member_value(c, sql));
	PQfinish(c);
}

void member_run_follow(uint32_t i, uint32_t target)
{
	char sql[128];

	g_snprintf(sql, sizeof(sql),
		   "SELECT hm_follow(2, 'aa', '%" G_GINT64_MODIFIER "x')",
		   member_id(target));
	member_run_control(i, sql);
}
