/** @file pg_link.c One libpq connection on an event loop. */
#include "pg_link.h"

#include <glib.h>
#include <string.h>

#define USER "hyssopmount"

enum link_state { LINK_CONNECTING, LINK_READY, LINK_BROKEN };

/*
 * What has been sent into the pipeline: a query, a query whose rows come one by
 * one (ENTRY_ROWS), or the end of a group (ENTRY_SYNC).
 */
enum entry { ENTRY_QUERY, ENTRY_ROWS, ENTRY_SYNC };

struct pg_link {
	struct loop *loop;
	const struct pg_link_events *events;
	void *arg;
	PGconn *conn;
	struct watch *watch;
	/* limits the time to connect; also calls broken() */
	struct timer *timer;
	int watched; /* descriptor of the watch */
	enum link_state state;
	PostgresPollingStatusType poll_status;
	/* the server announced that it closes the connection */
	bool server_ending;
	uint32_t delivering; /* nesting of callbacks being run */
	bool freed;
	/* enum entry of all that was sent since the last idle(), in order */
	GByteArray *sent;
	guint answered; /* number of entries whose results have all arrived */
	/*
	 * Number of queries answered since the last idle(), which is also the
	 * index of the query whose results come next.
	 */
	uint32_t query;
	/* groups of queries whose results have not all arrived */
	uint32_t syncs;
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

/*
 * enter() and leave() enclose code that runs callbacks. A callback may free the
 * link; the memory is then released only by the outermost leave().
 */
static void enter(struct pg_link *link)
{
	link->delivering++;
}

static void leave(struct pg_link *link)
{
	if (!--link->delivering && link->freed)
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
	if (!link->delivering)
		destroy(link);
}

/*
 * Marks the link as failed. The callback broken() is called later, from the
 * loop.
 */
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
	link->poll_status = PQconnectPoll(link->conn);
	if (link->poll_status == PGRES_POLLING_FAILED) {
		fail(link);
		return;
	}
	watch_socket(link);
	if (link->poll_status == PGRES_POLLING_WRITING)
		watch_writable(link->watch, on_writable);
	if (link->poll_status == PGRES_POLLING_OK)
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

static bool next_entry_is(const struct pg_link *link, enum entry entry)
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
	if (next_entry_is(link, ENTRY_SYNC))
		return;
	link->answered++;
	link->query++;
}

static void end_group(struct pg_link *link)
{
	link->answered++;
	link->syncs--;
}

/* An error at the end of a group belongs to the last query of the group. */
static void deliver(struct pg_link *link, const PGresult *r)
{
	uint32_t query = link->query;

	if (next_entry_is(link, ENTRY_SYNC) && query)
		query--;
	link->events->result(link->arg, query, r);
}

/*
 * Asks libpq to deliver the rows of the next query one by one. libpq accepts
 * this only when that query is the next to get results.
 */
static void start_rows(struct pg_link *link)
{
	if (next_entry_is(link, ENTRY_ROWS))
		PQsetSingleRowMode(link->conn);
}

/*
 * Takes the next result from libpq and delivers it; false if none is left. @a
 * separator is set when libpq gave NULL, which ends a query.
 */
static bool take_result(struct pg_link *link, bool *separator)
{
	PGresult *r = PQgetResult(link->conn);
	bool after_separator = *separator;

	*separator = !r;
	if (!r) {
		/* One NULL ends a query, two NULLs mean no more results. */
		if (!after_separator)
			end_query(link);
		start_rows(link);
		return !after_separator;
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

static void reset_pipeline(struct pg_link *link)
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
	/* Also parses unsolicited messages, such as the notice of a close. */
	PQisBusy(link->conn);
	take_results(link);
	if (link->freed)
		return;
	if (!link->syncs)
		reset_pipeline(link);
	if (syncs && !link->syncs)
		link->events->idle(link->arg);
	if (link->freed)
		return;
	if (!ok || PQstatus(link->conn) == CONNECTION_BAD ||
	    link->server_ending)
		fail(link);
}

static void on_readable(void *arg)
{
	struct pg_link *link = arg;

	enter(link);
	if (link->state == LINK_READY)
		read_answers(link);
	else if (link->state == LINK_CONNECTING &&
		 link->poll_status == PGRES_POLLING_READING)
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
		 link->poll_status == PGRES_POLLING_WRITING)
		poll_connection(link);
	leave(link);
}

/*
 * libpq passes an error to this notice handler only while no query runs. A
 * fatal one means that the server is closing the connection.
 */
static void on_notice(void *arg, const PGresult *r)
{
	struct pg_link *link = arg;
	const char *severity =
		PQresultErrorField(r, PG_DIAG_SEVERITY_NONLOCALIZED);

	if (severity &&
	    (!strcmp(severity, "FATAL") || !strcmp(severity, "PANIC")))
		link->server_ending = true;
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
	link->poll_status = PGRES_POLLING_WRITING;
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
	    PQstatus(link->conn) == CONNECTION_OK && !link->server_ending)
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
