/** @file pg_link.c One libpq connection on an event loop. */
#include "pg_link.h"

#include <glib.h>
#include <string.h>

#define USER "hyssopmount"

enum link_state { LINK_CONNECTING, LINK_READY, LINK_BROKEN };

/* Entries of a pipeline. */
enum entry { ENTRY_QUERY, ENTRY_ROWS, ENTRY_SYNC };

struct pg_link {
	struct loop *loop;
	const struct pg_link_events *events;
	void *arg;
	PGconn *conn;
	struct watch *watch;
	struct timer *timer; /* deadline to connect, then failures */
	int watched;	     /* descriptor being watched */
	enum link_state state;
	PostgresPollingStatusType want;
	bool ending;	/* the server said that it ends the connection */
	uint32_t calls; /* events being delivered */
	bool freed;
	GByteArray *sent; /* since the last idle: what was put in, in order */
	guint answered;	  /* of these */
	uint32_t query;	  /* queries among the answered */
	uint32_t syncs;	  /* groups not answered yet */
};

static void on_readable(void *arg);
static void on_writable(void *arg);

static void destroy(struct pg_link *link)
{
	watch_free(link->watch);
	timer_free(link->timer);
	PQfinish(link->conn);
	g_byte_array_unref(link->sent);
	g_free(link);
}

/* A link may be freed by an event; enter and leave enclose delivery. */
static void enter(struct pg_link *link)
{
	link->calls++;
}

static void leave(struct pg_link *link)
{
	if (!--link->calls && link->freed)
		destroy(link);
}

void pg_link_free(struct pg_link *link)
{
	if (!link || link->freed)
		return;
	link->freed = true;
	watch_free(link->watch);
	link->watch = NULL;
	timer_set(link->timer, HM_NEVER);
	if (!link->calls)
		destroy(link);
}

/* The event is delivered from the loop. */
static void fail(struct pg_link *link)
{
	if (link->state == LINK_BROKEN || link->freed)
		return;
	link->state = LINK_BROKEN;
	watch_free(link->watch);
	link->watch = NULL;
	timer_set(link->timer, 0);
}

static void on_timer(void *arg)
{
	struct pg_link *link = arg;

	enter(link);
	link->state = LINK_BROKEN;
	link->events->broken(link->arg);
	leave(link);
}

static void watch_socket(struct pg_link *link)
{
	int fd = PQsocket(link->conn);

	if (link->watch && fd == link->watched)
		return;
	watch_free(link->watch);
	link->watched = fd;
	link->watch = watch_new(link->loop, fd, on_readable, link);
}

static void become_ready(struct pg_link *link)
{
	timer_set(link->timer, HM_NEVER);
	if (PQsetnonblocking(link->conn, 1) ||
	    !PQenterPipelineMode(link->conn)) {
		fail(link);
		return;
	}
	link->state = LINK_READY;
	link->events->ready(link->arg);
}

static void poll_connection(struct pg_link *link)
{
	link->want = PQconnectPoll(link->conn);
	if (link->want == PGRES_POLLING_FAILED) {
		fail(link);
		return;
	}
	watch_socket(link);
	if (link->want == PGRES_POLLING_WRITING)
		watch_writable(link->watch, on_writable);
	if (link->want == PGRES_POLLING_OK)
		become_ready(link);
}

static void flush(struct pg_link *link)
{
	int left = PQflush(link->conn);

	if (left < 0)
		fail(link);
	else if (left && link->watch)
		watch_writable(link->watch, on_writable);
}

static bool at_entry(const struct pg_link *link, enum entry entry)
{
	return link->answered < link->sent->len &&
	       link->sent->data[link->answered] == entry;
}

static void put_entry(struct pg_link *link, enum entry entry)
{
	guint8 byte = (guint8)entry;

	g_byte_array_append(link->sent, &byte, 1);
}

static void end_query(struct pg_link *link)
{
	if (at_entry(link, ENTRY_SYNC))
		return;
	link->answered++;
	link->query++;
}

static void end_group(struct pg_link *link)
{
	link->answered++;
	link->syncs--;
}

/* An error may come at the end of a group: it is of the last query then. */
static void deliver(struct pg_link *link, const PGresult *r)
{
	uint32_t query = link->query;

	if (at_entry(link, ENTRY_SYNC) && query)
		query--;
	link->events->result(link->arg, query, r);
}

/* Has to be asked for when the query is the next to be answered. */
static void start_rows(struct pg_link *link)
{
	if (at_entry(link, ENTRY_ROWS))
		PQsetSingleRowMode(link->conn);
}

/* Delivers one result; false when none is there. */
static bool take_result(struct pg_link *link, bool *separator)
{
	PGresult *r = PQgetResult(link->conn);
	bool again = *separator;

	*separator = !r;
	if (!r) {
		/* One NULL ends a query, two mean that nothing is left. */
		if (!again)
			end_query(link);
		start_rows(link);
		return !again;
	}
	if (PQresultStatus(r) == PGRES_PIPELINE_SYNC)
		end_group(link);
	else
		deliver(link, r);
	PQclear(r);
	if (!link->freed)
		start_rows(link);
	return true;
}

static void take_results(struct pg_link *link)
{
	bool separator = false;

	while (!link->freed && link->syncs && !PQisBusy(link->conn) &&
	       take_result(link, &separator))
		;
}

static void start_over(struct pg_link *link)
{
	g_byte_array_set_size(link->sent, 0);
	link->answered = 0;
	link->query = 0;
}

static void read_answers(struct pg_link *link)
{
	uint32_t syncs = link->syncs;
	int ok = PQconsumeInput(link->conn);

	if (ok)
		flush(link);
	/* Parses what comes unasked, such as the end of the connection. */
	PQisBusy(link->conn);
	take_results(link);
	if (link->freed)
		return;
	if (!link->syncs)
		start_over(link);
	if (syncs && !link->syncs)
		link->events->idle(link->arg);
	if (link->freed)
		return;
	if (!ok || PQstatus(link->conn) == CONNECTION_BAD || link->ending)
		fail(link);
}

static void on_readable(void *arg)
{
	struct pg_link *link = arg;

	enter(link);
	if (link->state == LINK_READY)
		read_answers(link);
	else if (link->state == LINK_CONNECTING &&
		 link->want == PGRES_POLLING_READING)
		poll_connection(link);
	leave(link);
}

static void on_writable(void *arg)
{
	struct pg_link *link = arg;

	enter(link);
	if (link->state == LINK_READY)
		flush(link);
	else if (link->state == LINK_CONNECTING &&
		 link->want == PGRES_POLLING_WRITING)
		poll_connection(link);
	leave(link);
}

/* An error while no query runs announces the end of the connection. */
static void on_notice(void *arg, const PGresult *r)
{
	struct pg_link *link = arg;
	const char *severity =
		PQresultErrorField(r, PG_DIAG_SEVERITY_NONLOCALIZED);

	if (severity &&
	    (!strcmp(severity, "FATAL") || !strcmp(severity, "PANIC")))
		link->ending = true;
}

static PGconn *start(const struct pg_target *target)
{
	const char *colon = strrchr(target->address, ':');
	char *host = g_strndup(target->address,
			       (gsize)(colon ? colon - target->address : 0));
	const char *const names[] = { "hostaddr",
				      "port",
				      "dbname",
				      "user",
				      "application_name",
				      "client_encoding",
				      "sslmode",
				      "gssencmode",
				      NULL };
	const char *const values[] = { host,
				       colon ? colon + 1 : "",
				       target->database,
				       USER,
				       target->application,
				       "UTF8",
				       "disable",
				       "disable",
				       NULL };
	PGconn *conn = PQconnectStartParams(names, values, 0);

	g_free(host);
	return conn;
}

struct pg_link *pg_link_new(struct loop *l, const struct pg_target *target,
			    hm_time deadline,
			    const struct pg_link_events *events, void *arg)
{
	struct pg_link *link = g_new0(struct pg_link, 1);

	link->loop = l;
	link->events = events;
	link->arg = arg;
	link->watched = -1;
	link->sent = g_byte_array_new();
	link->timer = timer_new(l, on_timer, link);
	timer_set(link->timer, deadline);
	link->conn = start(target);
	if (!link->conn || PQstatus(link->conn) == CONNECTION_BAD) {
		fail(link);
		return link;
	}
	PQsetNoticeReceiver(link->conn, on_notice, link);
	watch_socket(link);
	link->want = PGRES_POLLING_WRITING;
	watch_writable(link->watch, on_writable);
	return link;
}

bool pg_link_ready(const struct pg_link *link)
{
	return link->state == LINK_READY;
}

bool pg_link_usable(struct pg_link *link)
{
	if (link->state != LINK_READY)
		return false;
	if (PQconsumeInput(link->conn) && !PQisBusy(link->conn) &&
	    PQstatus(link->conn) == CONNECTION_OK && !link->ending)
		return true;
	fail(link);
	return false;
}

bool pg_link_query(struct pg_link *link, const char *sql, int count,
		   const char *const *params, bool by_row)
{
	if (link->state != LINK_READY ||
	    !PQsendQueryParams(link->conn, sql, count, NULL, params, NULL, NULL,
			       0)) {
		fail(link);
		return false;
	}
	put_entry(link, by_row ? ENTRY_ROWS : ENTRY_QUERY);
	if (link->sent->len == 1)
		start_rows(link);
	return true;
}

bool pg_link_sync(struct pg_link *link)
{
	if (link->state != LINK_READY || !PQpipelineSync(link->conn)) {
		fail(link);
		return false;
	}
	put_entry(link, ENTRY_SYNC);
	link->syncs++;
	flush(link);
	return link->state == LINK_READY;
}

bool pg_link_idle(const struct pg_link *link)
{
	return !link->syncs;
}

bool pg_link_in_transaction(const struct pg_link *link)
{
	PGTransactionStatusType status = PQtransactionStatus(link->conn);

	return status != PQTRANS_IDLE && status != PQTRANS_UNKNOWN;
}

int pg_link_pid(const struct pg_link *link)
{
	return PQbackendPID(link->conn);
}
