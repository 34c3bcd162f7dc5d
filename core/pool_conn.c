/**
 * @file pool_conn.c
 * Commands and replies on one connection. Before a statement is sent, the
 * connection gets the values and the prepared statement of its session. A read
 * at a primary needs a successful BEGIN first, which a member refuses once it
 * is not the primary. A read at a replica names the minimum log position that
 * the replica must have.
 */
#include "pool_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "grow.h"

struct pool_conn *conn_find(const struct pool *p, uint64_t number)
{
	uint32_t i;

	for (i = 0; i < p->conn_count; i++)
		if (p->conns[i].number == number &&
		    p->conns[i].phase != PHASE_CLOSED)
			return &p->conns[i];
	return NULL;
}

struct pool_conn *conn_of_tx(const struct pool *p, struct rid tx)
{
	uint32_t i;

	for (i = 0; i < p->conn_count; i++) {
		struct pool_conn *c = &p->conns[i];

		if (c->phase != PHASE_CLOSED && c->tx.seq &&
		    rid_equal(c->tx, tx))
			return c;
	}
	return NULL;
}

void conn_set_phase(struct pool_conn *c, enum conn_phase phase, hm_time now)
{
	c->phase = phase;
	c->since = now;
	if (phase == PHASE_CONNECTING || phase == PHASE_IDLE ||
	    phase == PHASE_CLOSED)
		c->busy_since = 0;
	else if (!c->busy_since)
		c->busy_since = now;
}

struct pool_conn *conn_open(struct pool *p, hm_id account, const char *who,
			    hm_time now, struct proxy_output *out)
{
	struct pool_conn *c;

	p->conns = grow_list(p->conns, p->conn_count, &p->conn_capacity,
			     sizeof(*p->conns));
	c = &p->conns[p->conn_count++];
	*c = (struct pool_conn){ .number = ++*p->deps.next_conn,
				 .account = account };
	conn_set_phase(c, PHASE_CONNECTING, now);
	proxy_connect(out, c->number, &p->member, who);
	return c;
}

struct member_command *conn_command(struct pool_conn *c, enum expect expect,
				    enum member_command_kind kind,
				    struct proxy_output *out)
{
	struct proxy_action *a = proxy_action(out, PROXY_COMMAND);

	if (c->expect_count == EXPECT_MAX)
		abort();
	c->expect[c->expect_count++] = expect;
	a->member.conn = c->number;
	a->member.command.kind = kind;
	return &a->member.command;
}

void conn_clear_session(struct pool_conn *c)
{
	values_free(c->values, c->value_count);
	c->values = NULL;
	c->value_count = 0;
	free(c->prepared);
	c->prepared = NULL;
	c->prepared_count = 0;
}

static void send_statement(struct pool_conn *c, hm_time now,
			   struct proxy_output *out)
{
	const struct run_request *o = c->job->run;
	struct member_command *m;

	m = conn_command(c, EXPECT_STATEMENT, MEMBER_STATEMENT, out);
	m->op = o->op;
	memcpy(m->request, o->request, sizeof(m->request));
	if (o->scope == RUN_SINGLE && !o->writes && !o->primary_only)
		m->min_position = c->job->run->min_position;
	m->text = text_copy(o->text);
	if (o->op == STMT_EXECUTE)
		m->name = text_copy(c->job->prepared.name);
	c->job->started_at = now;
	conn_set_phase(c, PHASE_RUNNING, now);
}

static void release_job(struct pool_conn *c)
{
	c->job = NULL;
	c->setup_error = ERR_NONE;
	c->state_unknown = false;
}

void conn_roll_back(struct pool_conn *c, hm_time now, struct proxy_output *out)
{
	conn_command(c, EXPECT_ROLLBACK, MEMBER_ROLLBACK, out);
	c->tx = (struct rid){ 0 };
	c->rollback_due = false;
	conn_set_phase(c, PHASE_ROLLBACK, now);
}

/*
 * Refuses the statement, which was not sent, and closes the connection: a
 * command of the setup failed, so the session state on it is unknown.
 */
static void drop_and_refuse(struct pool *p, struct pool_conn *c, hm_time now,
			    struct proxy_output *out)
{
	struct job *j = c->job;
	enum error failed = c->setup_error;

	release_job(c);
	conn_drop(p, c, ERR_NONE, now, out);
	job_refuse(p, j, failed, EXEC_NOT_RUN, 0, now);
}

/* Refuses the statement, which was not sent; the connection stays usable. */
static void refuse_setup(struct pool *p, struct pool_conn *c, enum error error,
			 hm_time retry_at, hm_time now,
			 struct proxy_output *out)
{
	struct job *j = c->job;

	release_job(c);
	if (c->tx.seq)
		conn_roll_back(c, now, out);
	else
		conn_set_phase(c, PHASE_IDLE, now);
	job_refuse(p, j, error, EXEC_NOT_RUN, retry_at, now);
}

static void log_unconfirmed(const struct pool *p, const struct pool_conn *c,
			    const char *reason, struct proxy_output *out)
{
	proxy_log(out,
		  "event=lead_unproved request=%s member=%s term=%llu "
		  "ticket=%llu reason=%s",
		  c->job->run->request, p->member.name,
		  (unsigned long long)c->reported_term,
		  (unsigned long long)c->job->ticket, reason);
}

static void refuse_unconfirmed(struct pool *p, struct pool_conn *c,
			       const char *reason, hm_time now,
			       struct proxy_output *out)
{
	log_unconfirmed(p, c, reason, out);
	refuse_setup(p, c, ERR_NO_PRIMARY, now + UNCONFIRMED_RETRY, now, out);
}

/*
 * Called when all setup commands have been answered: sends or refuses the
 * statement, or lets it wait for its primary check.
 */
static void setup_done(struct pool *p, struct pool_conn *c, hm_time now,
		       struct proxy_output *out)
{
	if (c->state_unknown) {
		drop_and_refuse(p, c, now, out);
		return;
	}
	if (c->setup_error) {
		refuse_setup(p, c, c->setup_error, 0, now, out);
		return;
	}
	switch (primary_check_status(p->check, c->job->ticket,
				     c->reported_term)) {
	case TERM_CONFIRMED:
		send_statement(c, now, out);
		break;
	case TERM_PENDING:
		break;
	case TERM_SUPERSEDED:
		refuse_unconfirmed(p, c, "superseded", now, out);
		break;
	}
}

void conns_resume_setup(struct pool *p, hm_time now, struct proxy_output *out)
{
	uint32_t i;

	for (i = 0; i < p->conn_count; i++)
		if (p->conns[i].phase == PHASE_SETUP &&
		    !p->conns[i].expect_count)
			setup_done(p, &p->conns[i], now, out);
}

void conn_primary_check_timeout(struct pool *p, struct pool_conn *c,
				hm_time now, struct proxy_output *out)
{
	refuse_unconfirmed(p, c, "no_answer", now, out);
}

static void log_run(const struct pool *p, const struct pool_conn *c,
		    hm_time now, struct proxy_output *out)
{
	const struct run_request *o = c->job->run;
	const struct conn_prepared *s = &c->job->prepared;

	proxy_log(out,
		  "event=run request=%s member=%s conn=%llu tx=%016llx-%llx "
		  "scope=%d waited_us=%lld floor=%llu.%llu prepared=%s "
		  "text=%016llx",
		  o->request, p->member.name, (unsigned long long)c->number,
		  (unsigned long long)o->tx.incarnation,
		  (unsigned long long)o->tx.seq, o->scope,
		  (long long)(now - c->job->item.queued_at),
		  (unsigned long long)o->min_position.term,
		  (unsigned long long)o->min_position.pos,
		  s->name[0] ? s->name : "-",
		  (unsigned long long)text_digest_short(&s->text));
}

void conn_start(struct pool *p, struct pool_conn *c, struct job *j, hm_time now,
		struct proxy_output *out)
{
	struct run_request *o = j->run;
	struct log_pos floor;

	c->job = j;
	c->setup_error = ERR_NONE;
	c->state_unknown = false;
	if (!conn_find_floor(p, o, now, &floor)) {
		release_job(c);
		conn_set_phase(c, PHASE_IDLE, now);
		job_refuse(p, j, ERR_NOT_CAUGHT_UP, EXEC_NOT_RUN, 0, now);
		return;
	}
	o->min_position = floor;
	if (o->scope != RUN_SINGLE)
		c->tx = o->tx;
	conn_set_phase(c, PHASE_SETUP, now);
	conn_apply_values(p, c, o, out);
	if (o->op == STMT_EXECUTE)
		conn_apply_prepared(p, c, out);
	log_run(p, c, now, out);
	if (o->scope != RUN_INSIDE)
		conn_begin(p, c, o, floor, out);
	if (!c->expect_count)
		setup_done(p, c, now, out);
}

/* Ends the job with the member's reply and sets the connection's phase. */
static void statement_done(struct pool *p, struct pool_conn *c,
			   const struct member_reply *r, hm_time now,
			   struct proxy_output *out)
{
	struct job *j = c->job;
	const struct run_request *o = j->run;
	bool in_tx = o->scope != RUN_SINGLE;
	enum session_state state = SESSION_IDLE;

	release_job(c);
	if (in_tx && o->op != STMT_COMMIT)
		state = r->error ? SESSION_FAILED : SESSION_OPEN;
	if (c->rollback_due && r->state != SESSION_IDLE) {
		conn_roll_back(c, now, out);
	} else if (state == SESSION_OPEN) {
		c->idle_until = now + o->idle_limit;
		conn_set_phase(c, PHASE_IN_TX, now);
	} else if (r->state != SESSION_IDLE) {
		conn_roll_back(c, now, out);
	} else {
		c->tx = (struct rid){ 0 };
		c->rollback_due = false;
		conn_set_phase(c, PHASE_IDLE, now);
	}
	job_answer(p, j, r, state, now);
}

static enum expect next_expected(struct pool_conn *c)
{
	enum expect first = c->expect[0];

	c->expect_count--;
	memmove(c->expect, c->expect + 1, c->expect_count * sizeof(first));
	return first;
}

void conn_replied(struct pool *p, struct pool_conn *c,
		  const struct member_reply *reply, hm_time now,
		  struct proxy_output *out)
{
	if (!c->expect_count) {
		conn_drop(p, c, ERR_INTERNAL, now, out);
		return;
	}
	switch (next_expected(c)) {
	case EXPECT_SETUP:
		c->state_unknown |= reply->error != ERR_NONE;
		/* fallthrough */
	case EXPECT_BEGIN:
		c->reported_term = reply->at.term;
		if (reply->error && !c->setup_error)
			c->setup_error = reply->error;
		break;
	case EXPECT_CHECK_END:
		break;
	case EXPECT_STATEMENT:
		statement_done(p, c, reply, now, out);
		return;
	case EXPECT_ROLLBACK:
		if (!c->expect_count)
			conn_set_phase(c, PHASE_IDLE, now);
		return;
	}
	if (!c->expect_count && c->phase == PHASE_SETUP)
		setup_done(p, c, now, out);
}

void conn_drop(struct pool *p, struct pool_conn *c, enum error error,
	       hm_time now, struct proxy_output *out)
{
	struct job *j = c->job;
	bool sent = c->phase == PHASE_RUNNING;
	bool inside = j && j->run->scope == RUN_INSIDE;

	proxy_action(out, PROXY_CLOSE_MEMBER)->member.conn = c->number;
	release_job(c);
	conn_clear_session(c);
	c->tx = (struct rid){ 0 };
	c->expect_count = 0;
	conn_set_phase(c, PHASE_CLOSED, now);
	if (!j)
		return;
	if (sent)
		job_refuse(p, j,
			   error == ERR_TIME_LIMIT ? ERR_TIME_LIMIT
						   : ERR_OUTCOME_UNKNOWN,
			   EXEC_UNKNOWN, 0, now);
	else
		job_refuse(p, j, inside ? ERR_TX_GONE : ERR_NO_ENDPOINT,
			   EXEC_NOT_RUN, 0, now);
}

void conns_sweep(struct pool *p)
{
	uint32_t i = p->conn_count;

	while (i-- > 0)
		if (p->conns[i].phase == PHASE_CLOSED)
			p->conns[i] = p->conns[--p->conn_count];
}
