/** @file owner.c Statements for the endpoints owned by this instance. */
#include "owner.h"

#include "dedup.h"
#include "ingress.h"
#include "ownership.h"

#include <stdlib.h>
#include <string.h>

/*
 * A statement is remembered for this time after both its end and its deadline,
 * so that copies of its message are not run. Later copies count as stale.
 */
#define REMEMBER_AFTER (5 * HM_SEC)
#define EXPIRE_EVERY (500 * HM_MS)
/*
 * Retry delay of a statement refused here, for example because its endpoint is
 * being handed over or was lost.
 */
#define RETRY_AFTER (50 * HM_MS)

struct owner {
	struct dedup_table served;
	hm_time expire_at;
};

struct owner *owner_new(void)
{
	return calloc(1, sizeof(struct owner));
}

void owner_free(struct owner *o)
{
	if (!o)
		return;
	dedup_free(&o->served);
	free(o);
}

static void send_result(const struct dedup_entry *s, struct actions *actions)
{
	struct message *m = actions_send(actions, s->reply_to, MSG_RESULT);

	m->result = s->result;
}

/* Records the result of a remembered statement and sends it. */
static void finish(struct dedup_entry *s, const struct result *r, hm_time now,
		   struct actions *actions)
{
	if (s->ended)
		return;
	s->ended = true;
	s->result = *r;
	s->result.id = s->id;
	if (s->expires_at < now + REMEMBER_AFTER)
		s->expires_at = now + REMEMBER_AFTER;
	send_result(s, actions);
}

static void refuse(struct dedup_entry *s, enum error error, hm_time now,
		   struct actions *actions)
{
	struct result r = { 0 };
	struct decision *log;

	r.error = error;
	r.execution = EXEC_NOT_RUN;
	r.endpoint = s->endpoint;
	r.retry_at = now + RETRY_AFTER;
	log = actions_log(actions, "refuse", error_answer(error)->code);
	log->request = s->id;
	log->endpoint = s->endpoint;
	log->peer = s->reply_to;
	finish(s, &r, now, actions);
}

static bool writes(const struct statement *s)
{
	return s->op != OP_READ && !s->tx.id.seq;
}

static bool is_primary(const struct database *d, const struct member *m,
		       hm_time now)
{
	return group_primary(d->group, now) == m->spec.endpoint;
}

/* Returns why a statement is refused, ERR_NONE if the executor may queue it. */
static enum error forward_refusal(struct core *c,
				  const struct statement_forward *forward,
				  struct database *d, struct member *m,
				  hm_time now)
{
	const struct statement *s = &forward->statement;

	if (s->tx.id.seq && s->tx.id.incarnation != c->options.incarnation)
		return ERR_TX_GONE;
	if (!m || !m->executor)
		return s->tx.id.seq ? ERR_TX_GONE : ERR_NO_ENDPOINT;
	if (s->tx.id.seq)
		return ERR_NONE;
	if (m->draining || (c->stopping && s->op == OP_BEGIN))
		return ERR_NO_ENDPOINT;
	if (m->spec.leaving || !m->reachable)
		return ERR_NO_ENDPOINT;
	if (writes(s) && !is_primary(d, m, now))
		return ERR_NO_PRIMARY;
	if (writes(s) && forward->term != group_term(d->group))
		return ERR_NO_PRIMARY;
	return ERR_NONE;
}

/* Refuses a statement because the table of remembered ones is full. */
static void refuse_untracked(const struct statement_forward *forward,
			     uint64_t to, hm_time now, struct actions *actions)
{
	struct message *m = actions_send(actions, to, MSG_RESULT);

	m->result.id = forward->statement.id;
	m->result.error = ERR_OVERLOADED;
	m->result.execution = EXEC_NOT_RUN;
	m->result.endpoint = forward->endpoint;
	m->result.retry_at = now + HM_SEC;
}

/*
 * Whether a message was meant for an earlier incarnation at this address, or
 * was sent too long ago.
 */
static bool is_stale(const struct core *c,
		     const struct statement_forward *forward, uint64_t from,
		     hm_time now)
{
	if (from == c->options.incarnation)
		return false;
	return forward->to != c->options.incarnation ||
	       seq_clock_is_stale(&c->seq_clock, forward->receiver_seq, now);
}

/*
 * Logs a late copy of a message whose statement may already have run. Its
 * sender no longer waits for a result.
 */
static void log_stale(const struct statement_forward *forward, uint64_t from,
		      struct actions *actions)
{
	struct decision *log = actions_log(actions, "refuse", "stale_order");

	log->request = forward->statement.id;
	log->endpoint = forward->endpoint;
	log->peer = from;
}

void owner_statement(struct core *c, const struct statement_forward *forward,
		     uint64_t from, hm_time now, struct actions *actions)
{
	struct dedup_table *served = &c->owner->served;
	const struct statement *s = &forward->statement;
	struct database *d = NULL;
	struct member *m = databases_member(c, forward->endpoint, &d);
	struct dedup_entry *known;
	enum error fault;

	served->disabled = c->options.guards_off & GUARD_DEDUP;
	if (is_stale(c, forward, from, now)) {
		log_stale(forward, from, actions);
		return;
	}
	known = dedup_find_repeat(served, s->id, s->attempt, forward->endpoint);
	if (known && known->ended)
		send_result(known, actions);
	if (known)
		return;
	known = dedup_add(served, s->id, s->attempt, forward->endpoint);
	if (!known) {
		refuse_untracked(forward, from, now, actions);
		return;
	}
	known->reply_to = from;
	known->expires_at = s->deadline + REMEMBER_AFTER;
	fault = forward_refusal(c, forward, d, m, now);
	if (fault)
		refuse(known, fault, now, actions);
	else
		executor_submit(m->executor, s, from, now, actions);
}

void owner_abandon(struct core *c, struct rid id, hm_time now,
		   struct actions *actions)
{
	uint32_t i, k;

	for (i = 0; i < c->database_count; i++)
		for (k = 0; k < c->databases[i].member_count; k++) {
			struct executor *ex =
				c->databases[i].members[k].executor;

			if (ex)
				executor_abandon(ex, id, now, actions);
		}
}

void owner_event(struct core *c, const struct event *e, hm_time now,
		 struct actions *actions)
{
	uint32_t i, k;

	for (i = 0; i < c->database_count; i++)
		for (k = 0; k < c->databases[i].member_count; k++) {
			struct executor *ex =
				c->databases[i].members[k].executor;

			if (ex && executor_event(ex, e, now, actions))
				return;
		}
}

void owner_tick(struct core *c, hm_time now, struct actions *actions)
{
	uint32_t i, k;

	for (i = 0; i < c->database_count; i++)
		for (k = 0; k < c->databases[i].member_count; k++)
			ownership_tick(c, &c->databases[i],
				       &c->databases[i].members[k], now,
				       actions);
	if (now < c->owner->expire_at)
		return;
	c->owner->expire_at = now + EXPIRE_EVERY;
	dedup_expire(&c->owner->served, now);
}

/* Fills in the result of a statement that needs no confirmed term. */
static void ended_result(const struct executor_result *e, struct result *r)
{
	memset(r, 0, sizeof(*r));
	r->id = e->statement.id;
	r->error = e->error;
	r->execution = e->execution;
	r->retry_at = e->retry_at;
	r->database = e->statement.database;
	r->tx = e->tx;
	r->body = e->body;
	r->unsure = e->execution == EXEC_UNKNOWN && e->statement.op != OP_READ;
}

static bool needs_confirmation(const struct executor_result *e)
{
	enum op op = e->statement.op;

	return e->error == ERR_NONE && op != OP_BEGIN && op != OP_ROLLBACK;
}

static struct dedup_entry *entry_of(struct core *c, const struct statement *s,
				    hm_id endpoint)
{
	return dedup_find(&c->owner->served, s->id, s->attempt, endpoint);
}

static void flush_executor(struct core *c, struct database *d, struct member *m,
			   hm_time now, struct actions *actions)
{
	struct executor_result ended;
	struct dedup_entry *s;
	struct result r;

	while (executor_next_result(m->executor, &ended)) {
		if (needs_confirmation(&ended)) {
			verify_add(d->verify, &ended, now, actions);
			continue;
		}
		ended_result(&ended, &r);
		r.endpoint = m->spec.endpoint;
		s = entry_of(c, &ended.statement, m->spec.endpoint);
		if (s)
			finish(s, &r, now, actions);
	}
}

static void flush_verified(struct core *c, struct database *d, hm_time now,
			   struct actions *actions)
{
	struct verified v;
	struct dedup_entry *s;

	while (verify_next(d->verify, &v)) {
		if (v.reconfirmed) {
			ingress_confirmed(c, &v.result, now, actions);
			continue;
		}
		v.result.valid_until = v.valid_until;
		s = dedup_find(&c->owner->served, v.result.id, v.attempt,
			       v.result.endpoint);
		if (s)
			finish(s, &v.result, now, actions);
	}
}

void owner_flush(struct core *c, hm_time now, struct actions *actions)
{
	uint32_t i, k;

	for (i = 0; i < c->database_count; i++) {
		struct database *d = &c->databases[i];

		for (k = 0; k < d->member_count; k++)
			if (d->members[k].executor)
				flush_executor(c, d, &d->members[k], now,
					       actions);
		flush_verified(c, d, now, actions);
	}
}

uint32_t owner_count(const struct core *c)
{
	uint32_t i, k, owned = 0;

	for (i = 0; i < c->database_count; i++)
		for (k = 0; k < c->databases[i].member_count; k++)
			owned += c->databases[i].members[k].executor != NULL;
	return owned;
}
