/**
 * @file pool_conn.c
 * Steps on one connection. Before a statement is sent, the connection gets
 * the values and the prepared statement of its session; a read at a primary
 * needs an answered BEGIN, which a member that lost the lead refuses; a read
 * at a replica names the position that the log must hold.
 */
#include "pool_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

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

void conn_phase(struct pool_conn *c, enum conn_phase phase, hm_time now)
{
	c->phase = phase;
	c->since = now;
}

struct pool_conn *conn_open(struct pool *p, hm_id account, const char *who,
			    hm_time now, struct proxy_output *out)
{
	struct pool_conn *c;

	if (p->conn_count == p->conn_room) {
		uint32_t room = p->conn_room ? p->conn_room * 2 : 16;

		c = realloc(p->conns, room * sizeof(*c));
		if (!c)
			abort();
		p->conns = c;
		p->conn_room = room;
	}
	c = &p->conns[p->conn_count++];
	*c = (struct pool_conn){ .number = ++*p->site.next_conn,
				 .account = account };
	conn_phase(c, PHASE_CONNECTING, now);
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

void conn_forget(struct pool_conn *c)
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
	const struct run_order *o = c->job->order;
	struct member_command *m;
	char name[PREPARED_NAME_BYTES];

	m = conn_command(c, EXPECT_STATEMENT, MEMBER_STATEMENT, out);
	m->op = o->op;
	memcpy(m->request, o->request, sizeof(m->request));
	if (o->scope == RUN_SINGLE && !o->writes && !o->lead)
		m->floor = c->job->order->floor;
	m->text = text_copy(o->text);
	if (o->op == STMT_EXECUTE) {
		conn_prepared_name(o, name);
		m->name = text_copy(name);
	}
	c->job->started_at = now;
	conn_phase(c, PHASE_RUNNING, now);
}

static void release_job(struct pool_conn *c)
{
	c->job = NULL;
	c->failed = ERR_NONE;
	c->unsound = false;
}

void conn_clear(struct pool_conn *c, hm_time now, struct proxy_output *out)
{
	conn_command(c, EXPECT_CLEARED, MEMBER_ROLLBACK, out);
	c->tx = (struct rid){ 0 };
	c->abandoned = false;
	conn_phase(c, PHASE_CLEARING, now);
}

/* A step of the setup failed: the statement was not sent. */
static void give_up(struct pool *p, struct pool_conn *c, hm_time now,
		    struct proxy_output *out)
{
	struct job *j = c->job;
	enum error failed = c->failed;

	release_job(c);
	/* What the connection holds is not known any more. */
	conn_drop(p, c, ERR_NONE, now, out);
	job_refuse(p, j, failed, EXEC_NOT_RUN, 0, now);
}

/* The statement is not sent; the connection is as it was. */
static void refuse_setup(struct pool *p, struct pool_conn *c, enum error error,
			 hm_time retry_at, hm_time now,
			 struct proxy_output *out)
{
	struct job *j = c->job;

	release_job(c);
	if (c->tx.seq)
		conn_clear(c, now, out);
	else
		conn_phase(c, PHASE_IDLE, now);
	job_refuse(p, j, error, EXEC_NOT_RUN, retry_at, now);
}

static void log_unproved(const struct pool *p, const struct pool_conn *c,
			 const char *reason, struct proxy_output *out)
{
	proxy_log(out,
		  "event=lead_unproved request=%s member=%s term=%llu "
		  "ticket=%llu reason=%s",
		  c->job->order->request, p->member.name,
		  (unsigned long long)c->lead_term,
		  (unsigned long long)c->job->ticket, reason);
}

static void refuse_unproved(struct pool *p, struct pool_conn *c,
			    const char *reason, hm_time now,
			    struct proxy_output *out)
{
	log_unproved(p, c, reason, out);
	refuse_setup(p, c, ERR_NO_PRIMARY, now + UNPROVED_RETRY, now, out);
}

/* Sends or refuses the statement, or waits for the proof of the lead. */
static void setup_done(struct pool *p, struct pool_conn *c, hm_time now,
		       struct proxy_output *out)
{
	if (c->unsound) {
		give_up(p, c, now, out);
		return;
	}
	if (c->failed) {
		refuse_setup(p, c, c->failed, 0, now, out);
		return;
	}
	switch (lead_check_proof(p->check, c->job->ticket, c->lead_term)) {
	case LEAD_PROVED:
		send_statement(c, now, out);
		break;
	case LEAD_OPEN:
		break;
	case LEAD_REFUTED:
		refuse_unproved(p, c, "superseded", now, out);
		break;
	}
}

void conns_prove(struct pool *p, hm_time now, struct proxy_output *out)
{
	uint32_t i;

	for (i = 0; i < p->conn_count; i++)
		if (p->conns[i].phase == PHASE_SETUP &&
		    !p->conns[i].expect_count)
			setup_done(p, &p->conns[i], now, out);
}

void conn_unproved(struct pool *p, struct pool_conn *c, hm_time now,
		   struct proxy_output *out)
{
	refuse_unproved(p, c, "no_answer", now, out);
}

void conn_start(struct pool *p, struct pool_conn *c, struct job *j, hm_time now,
		struct proxy_output *out)
{
	struct run_order *o = j->order;
	struct log_pos floor;

	c->job = j;
	c->failed = ERR_NONE;
	c->unsound = false;
	if (!conn_find_floor(p, o, now, &floor)) {
		release_job(c);
		conn_phase(c, PHASE_IDLE, now);
		job_refuse(p, j, ERR_NOT_CAUGHT_UP, EXEC_NOT_RUN, 0, now);
		return;
	}
	o->floor = floor;
	if (o->scope != RUN_SINGLE)
		c->tx = o->tx;
	proxy_log(out,
		  "event=run request=%s member=%s conn=%llu tx=%016llx-%llx "
		  "scope=%d waited_us=%lld floor=%llu.%llu",
		  o->request, p->member.name, (unsigned long long)c->number,
		  (unsigned long long)o->tx.incarnation,
		  (unsigned long long)o->tx.seq, o->scope,
		  (long long)(now - j->turn.queued_at),
		  (unsigned long long)floor.term,
		  (unsigned long long)floor.pos);
	conn_phase(c, PHASE_SETUP, now);
	conn_apply_values(p, c, o, out);
	if (o->op == STMT_EXECUTE)
		conn_apply_prepared(c, o, out);
	if (o->scope != RUN_INSIDE)
		conn_begin(p, c, o, floor, out);
	if (!c->expect_count)
		setup_done(p, c, now, out);
}

/* Ends the job with the answer and tells what the connection is now. */
static void statement_done(struct pool *p, struct pool_conn *c,
			   const struct member_reply *r, hm_time now,
			   struct proxy_output *out)
{
	struct job *j = c->job;
	const struct run_order *o = j->order;
	bool in_tx = o->scope != RUN_SINGLE;
	enum session_state state = SESSION_IDLE;

	release_job(c);
	if (in_tx && o->op != STMT_COMMIT)
		state = r->error ? SESSION_FAILED : SESSION_OPEN;
	if (c->abandoned && r->state != SESSION_IDLE) {
		conn_clear(c, now, out);
	} else if (state == SESSION_OPEN) {
		c->idle_until = now + o->idle_limit;
		conn_phase(c, PHASE_OPEN, now);
	} else if (r->state != SESSION_IDLE) {
		conn_clear(c, now, out);
	} else {
		c->tx = (struct rid){ 0 };
		c->abandoned = false;
		conn_phase(c, PHASE_IDLE, now);
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
		c->unsound |= reply->error != ERR_NONE;
		/* fallthrough */
	case EXPECT_BEGIN:
		c->lead_term = reply->at.term;
		if (reply->error && !c->failed)
			c->failed = reply->error;
		break;
	case EXPECT_LEAD_END:
		break;
	case EXPECT_STATEMENT:
		statement_done(p, c, reply, now, out);
		return;
	case EXPECT_CLEARED:
		if (!c->expect_count)
			conn_phase(c, PHASE_IDLE, now);
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
	bool inside = j && j->order->scope == RUN_INSIDE;

	proxy_action(out, PROXY_CLOSE_MEMBER)->member.conn = c->number;
	release_job(c);
	conn_forget(c);
	c->tx = (struct rid){ 0 };
	c->expect_count = 0;
	conn_phase(c, PHASE_CLOSED, now);
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
