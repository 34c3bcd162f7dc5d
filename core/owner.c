/** @file owner.c Endpoints owned by this instance. */
#include "owner.h"

#include "dedup.h"
#include "ingress.h"

#include <stdlib.h>
#include <string.h>

/*
 * A statement is remembered for this time after both its end and its deadline,
 * so that copies of its message are not run. Later copies count as stale.
 */
#define REMEMBER_AFTER (5 * HM_SEC)
#define EXPIRE_EVERY (500 * HM_MS)
/*
 * Time after the start in which this instance takes no endpoint of another
 * zone: it may not have heard yet from the instances there.
 */
#define ZONE_GRACE (1500 * HM_MS)
/*
 * An endpoint moves to an instance of its own zone once there has been one for
 * this time.
 */
#define MOVE_AFTER (5 * HM_SEC)
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

void owner_control(struct core *c, const struct control *cmd, hm_time now,
		   struct actions *actions)
{
	struct member *m = databases_member(c, cmd->endpoint, NULL);

	(void)now;
	if (m && m->executor)
		actions_add(actions, ACT_CONTROL)->control = *cmd;
}

static void send_control(struct core *c, struct database *d, struct member *m,
			 enum control_op op, hm_time now,
			 struct actions *actions)
{
	struct control *cmd = &actions_add(actions, ACT_CONTROL)->control;

	cmd->nonce.incarnation = c->options.incarnation;
	cmd->nonce.seq = NONCE_OWNER | ++c->next_nonce;
	cmd->op = op;
	cmd->database = d->spec.database;
	cmd->endpoint = m->spec.endpoint;
	m->probe_nonce = cmd->nonce;
	m->probe_sent_at = now;
	m->probe_at = now + c->options.probe_every;
	sent_control_record(c, cmd, now);
}

static void request_ownership(struct core *c, struct database *d,
			      struct member *m, uint64_t expected, hm_time now,
			      struct actions *actions)
{
	struct control *cmd;

	send_control(c, d, m, CONTROL_SET_OWNER, now, actions);
	cmd = &actions->list[actions->count - 1].control;
	cmd->requester = c->options.incarnation;
	cmd->expected = expected;
}

static void log_member(const char *what, const char *reason,
		       const struct database *d, const struct member *m,
		       uint64_t peer, struct actions *actions)
{
	struct decision *log = actions_log(actions, what, reason);

	log->database = d->spec.database;
	log->endpoint = m->spec.endpoint;
	log->peer = peer;
}

static void start_owning(struct core *c, struct database *d, struct member *m,
			 hm_time now, struct actions *actions)
{
	if (m->executor)
		return;
	m->executor = executor_new(&c->options, c->contracts, &d->spec,
				   &m->spec, &c->next_conn, now);
	if (!m->executor)
		return;
	m->draining = false;
	m->handover_requested = false;
	m->misplaced_at = 0;
	m->reachable = true;
	m->probe_at = now;
	log_member("home", "taken", d, m, c->options.incarnation, actions);
}

/* Ends the statements left at an executor, sends their results and frees it. */
static void stop_owning(struct core *c, struct database *d, struct member *m,
			const char *reason, hm_time now,
			struct actions *actions)
{
	executor_close(m->executor, now, actions);
	owner_flush(c, now, actions);
	executor_free(m->executor);
	m->executor = NULL;
	m->draining = false;
	log_member("home", reason, d, m, m->owner, actions);
}

void owner_update(struct core *c, struct database *d, struct member *m,
		  uint64_t reported_owner, hm_time now, struct actions *actions)
{
	if (reported_owner == c->options.incarnation && !c->stopping)
		start_owning(c, d, m, now, actions);
	else if (reported_owner != c->options.incarnation && m->executor)
		stop_owning(c, d, m, "replaced", now, actions);
}

/* Whether the owner that the endpoint reports is gone. */
static bool owner_is_gone(const struct core *c,
			  const struct endpoint_state *state)
{
	if (!state->owner)
		return true;
	return !peers_alive(c->peers, state->owner) &&
	       state->owner_idle > c->options.peer_silent;
}

static bool may_own(const struct core *c, const struct member *m, hm_time now)
{
	return m->spec.zone == c->options.zone ||
	       now - c->started_at > ZONE_GRACE;
}

static bool should_own(const struct core *c, const struct member *m,
		       hm_time now)
{
	return !c->stopping && may_own(c, m, now) &&
	       peers_owner(c->peers, m->spec.endpoint, m->spec.zone, true) ==
		       c->options.incarnation;
}

static struct state_report report_of(const struct database *d,
				     const struct member *m,
				     const struct endpoint_state *state,
				     hm_time now)
{
	struct state_report r = { 0 };
	struct executor_load load = { 0 };

	if (m->executor)
		executor_get_load(m->executor, now, &load);
	r.state = *state;
	r.queued = load.queued;
	r.free_slots = load.free_slots;
	r.wait = load.wait;
	r.age = group_age(d->group, state->at, now);
	return r;
}

/*
 * Processes a state report at this instance. Unlike the report sent to peers,
 * it has the nonce of the control command that it answers.
 */
static void report_locally(struct core *c, const struct database *d,
			   const struct member *m, struct rid nonce,
			   const struct endpoint_state *state, hm_time now,
			   struct actions *actions)
{
	struct state_report r = report_of(d, m, state, now);

	r.nonce = nonce;
	databases_report(c, &r, c->options.incarnation, now, actions);
}

/*
 * Handles the state of an endpoint that this instance owns. When it is not
 * reachable, it is probed over a new connection first, since only the control
 * connection may have failed.
 */
static void owned_state(struct core *c, struct database *d, struct member *m,
			struct rid nonce, const struct endpoint_state *state,
			hm_time now, struct actions *actions)
{
	if (!state->reachable && !m->rechecking) {
		m->rechecking = true;
		send_control(c, d, m, CONTROL_PROBE_NEW_CONN, now, actions);
		return;
	}
	m->rechecking = false;
	if (!state->reachable && m->reachable) {
		log_member("endpoint", "unreachable", d, m, 0, actions);
		executor_close(m->executor, now, actions);
	}
	m->reachable = state->reachable;
	actions_send(actions, 0, MSG_STATE)->state =
		report_of(d, m, state, now);
	report_locally(c, d, m, nonce, state, now, actions);
}

static void unowned_state(struct core *c, struct database *d, struct member *m,
			  const struct endpoint_state *state, hm_time now,
			  struct actions *actions)
{
	if (!state->reachable)
		return;
	m->owner = state->owner;
	if (state->owner == c->options.incarnation)
		start_owning(c, d, m, now, actions);
	else if (should_own(c, m, now) && owner_is_gone(c, state))
		request_ownership(c, d, m, state->owner, now, actions);
}

void owner_state(struct core *c, struct rid nonce,
		 const struct endpoint_state *state, hm_time now,
		 struct actions *actions)
{
	struct database *d = NULL;
	struct member *m = databases_member(c, state->endpoint, &d);
	struct message *answer;

	if (!m)
		return;
	if (nonce.incarnation != c->options.incarnation) {
		answer = actions_send(actions, nonce.incarnation, MSG_STATE);
		answer->state.nonce = nonce;
		answer->state.state = *state;
		return;
	}
	if (!rid_equal(nonce, m->probe_nonce)) {
		report_locally(c, d, m, nonce, state, now, actions);
		return;
	}
	m->probe_sent_at = 0;
	m->handover_requested = false; /* requested again if it had no effect */
	if (m->executor)
		owned_state(c, d, m, nonce, state, now, actions);
	else
		unowned_state(c, d, m, state, now, actions);
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

static void probe(struct core *c, struct database *d, struct member *m,
		  hm_time now, struct actions *actions)
{
	if (now < m->probe_at)
		return;
	if (m->probe_sent_at &&
	    now < m->probe_sent_at + 2 * c->options.probe_silent)
		return;
	if (m->executor)
		send_control(c, d, m, CONTROL_PROBE, now, actions);
	else if (!member_live_owner(c, m) && should_own(c, m, now))
		send_control(c, d, m, CONTROL_PROBE, now, actions);
}

static void hand_over(struct core *c, struct database *d, struct member *m,
		      hm_time now, struct actions *actions)
{
	uint64_t next =
		peers_owner(c->peers, m->spec.endpoint, m->spec.zone, true);
	struct control *cmd;

	if (m->probe_sent_at || m->handover_requested)
		return;
	m->handover_requested = true;
	if (!next || next == c->options.incarnation || !m->reachable) {
		stop_owning(c, d, m, "given up", now, actions);
		return;
	}
	send_control(c, d, m, CONTROL_SET_OWNER, now, actions);
	cmd = &actions->list[actions->count - 1].control;
	cmd->requester = next;
	cmd->expected = c->options.incarnation;
	log_member("home", "handed over", d, m, next, actions);
}

/*
 * Prepares a hand-over: new statements are refused only after the open
 * transactions have ended.
 */
static void drain(struct core *c, struct database *d, struct member *m,
		  hm_time now, struct actions *actions)
{
	struct executor_load load;

	executor_get_load(m->executor, now, &load);
	if (load.transactions)
		return;
	m->draining = true;
	if (load.queued || load.running || verify_pending_count(d->verify))
		return;
	hand_over(c, d, m, now, actions);
}

/*
 * Whether an endpoint of another zone has had an instance in its own zone for
 * long enough to be moved there.
 */
static bool is_misplaced(struct core *c, struct member *m, hm_time now)
{
	uint64_t owner =
		peers_owner(c->peers, m->spec.endpoint, m->spec.zone, false);

	if (m->spec.zone == c->options.zone || !owner) {
		m->misplaced_at = 0;
		m->draining = false;
		return false;
	}
	if (!m->misplaced_at)
		m->misplaced_at = now;
	return now - m->misplaced_at > MOVE_AFTER;
}

static void member_tick(struct core *c, struct database *d, struct member *m,
			hm_time now, struct actions *actions)
{
	if (m->executor) {
		executor_block_writes(m->executor,
				      verify_is_stalled(d->verify, now) &&
					      is_primary(d, m, now));
		executor_tick(m->executor, now, actions);
	}
	if (m->executor &&
	    (c->stopping ? !ingress_count(c) : is_misplaced(c, m, now)))
		drain(c, d, m, now, actions);
	if (!m->handover_requested)
		probe(c, d, m, now, actions);
}

void owner_tick(struct core *c, hm_time now, struct actions *actions)
{
	uint32_t i, k;

	for (i = 0; i < c->database_count; i++)
		for (k = 0; k < c->databases[i].member_count; k++)
			member_tick(c, &c->databases[i],
				    &c->databases[i].members[k], now, actions);
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
