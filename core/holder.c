/** @file holder.c Endpoints held by this instance. */
#include "holder.h"

#include "dedup.h"
#include "ingress.h"

#include <stdlib.h>
#include <string.h>

/* Beyond end and deadline; copies that come later are void by then. */
#define REMEMBER_AFTER (5 * HM_SEC)
#define EXPIRE_EVERY (500 * HM_MS)
/* No endpoint of another zone is taken so soon after the start. */
#define ZONE_GRACE (1500 * HM_MS)
/* An endpoint moves to an instance of its own zone that stays that long. */
#define MOVE_AFTER (5 * HM_SEC)
/* Retry advice of an endpoint that is handed over or was lost. */
#define RETRY_AFTER (50 * HM_MS)

struct holder {
	struct dedup_table served;
	hm_time expire_at;
};

struct holder *holder_new(void)
{
	return calloc(1, sizeof(struct holder));
}

void holder_free(struct holder *h)
{
	if (!h)
		return;
	dedup_free(&h->served);
	free(h);
}

static void send_result(const struct served *s, struct actions *actions)
{
	struct message *m = actions_send(actions, s->reply_to, MSG_RESULT);

	m->result = s->result;
}

/* Ends a remembered order and sends its result. */
static void finish(struct served *s, const struct result *r, hm_time now,
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

static void refuse(struct served *s, enum error error, hm_time now,
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

/* ERR_NONE when the order may go into the queue of the home. */
static enum error order_fault(struct core *c,
			      const struct statement_forward *order,
			      struct database *d, struct member *m, hm_time now)
{
	const struct statement *s = &order->statement;

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
	if (writes(s) && order->term != group_term(d->group))
		return ERR_NO_PRIMARY;
	return ERR_NONE;
}

static void refuse_unremembered(const struct statement_forward *order,
				uint64_t to, hm_time now,
				struct actions *actions)
{
	struct message *m = actions_send(actions, to, MSG_RESULT);

	m->result.id = order->statement.id;
	m->result.error = ERR_OVERLOADED;
	m->result.execution = EXEC_NOT_RUN;
	m->result.endpoint = order->endpoint;
	m->result.retry_at = now + HM_SEC;
}

/* Meant for an earlier life at this address, or sent too long ago. */
static bool is_void(const struct core *c, const struct statement_forward *order,
		    uint64_t from, hm_time now)
{
	if (from == c->options.incarnation)
		return false;
	return order->to != c->options.incarnation ||
	       seq_clock_is_stale(&c->seq_clock, order->receiver_seq, now);
}

/* A late copy of an order that may have run; its sender has given it up. */
static void log_stale(const struct statement_forward *order, uint64_t from,
		      struct actions *actions)
{
	struct decision *log = actions_log(actions, "refuse", "stale_order");

	log->request = order->statement.id;
	log->endpoint = order->endpoint;
	log->peer = from;
}

void holder_statement(struct core *c, const struct statement_forward *order,
		      uint64_t from, hm_time now, struct actions *actions)
{
	struct dedup_table *served = &c->owner->served;
	const struct statement *s = &order->statement;
	struct database *d = NULL;
	struct member *m = databases_member(c, order->endpoint, &d);
	struct served *known;
	enum error fault;

	served->disabled = c->options.guards_off & GUARD_DEDUP;
	if (is_void(c, order, from, now)) {
		log_stale(order, from, actions);
		return;
	}
	known = dedup_find_repeat(served, s->id, s->attempt, order->endpoint);
	if (known && known->ended)
		send_result(known, actions);
	if (known)
		return;
	known = dedup_add(served, s->id, s->attempt, order->endpoint);
	if (!known) {
		refuse_unremembered(order, from, now, actions);
		return;
	}
	known->reply_to = from;
	known->expires_at = s->deadline + REMEMBER_AFTER;
	fault = order_fault(c, order, d, m, now);
	if (fault)
		refuse(known, fault, now, actions);
	else
		home_submit(m->executor, s, from, now, actions);
}

void holder_abandon(struct core *c, struct rid id, hm_time now,
		    struct actions *actions)
{
	uint32_t i, k;

	for (i = 0; i < c->database_count; i++)
		for (k = 0; k < c->databases[i].member_count; k++) {
			struct home *h = c->databases[i].members[k].executor;

			if (h)
				home_abandon(h, id, now, actions);
		}
}

void holder_control(struct core *c, const struct control *step, hm_time now,
		    struct actions *actions)
{
	struct member *m = databases_member(c, step->endpoint, NULL);

	(void)now;
	if (m && m->executor)
		actions_add(actions, ACT_CONTROL)->control = *step;
}

static void ask(struct core *c, struct database *d, struct member *m,
		enum control_op op, hm_time now, struct actions *actions)
{
	struct control *step = &actions_add(actions, ACT_CONTROL)->control;

	step->nonce.incarnation = c->options.incarnation;
	step->nonce.seq = NONCE_OWNER | ++c->next_nonce;
	step->op = op;
	step->database = d->spec.database;
	step->endpoint = m->spec.endpoint;
	m->probe_nonce = step->nonce;
	m->probe_sent_at = now;
	m->probe_at = now + c->options.probe_every;
	sent_control_record(c, step, now);
}

static void take(struct core *c, struct database *d, struct member *m,
		 uint64_t expected, hm_time now, struct actions *actions)
{
	struct control *step;

	ask(c, d, m, CONTROL_SET_OWNER, now, actions);
	step = &actions->list[actions->count - 1].control;
	step->requester = c->options.incarnation;
	step->expected = expected;
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

static void hold(struct core *c, struct database *d, struct member *m,
		 hm_time now, struct actions *actions)
{
	if (m->executor)
		return;
	m->executor = home_new(&c->options, c->contracts, &d->spec, &m->spec,
			       &c->next_conn, now);
	if (!m->executor)
		return;
	m->draining = false;
	m->handover_ordered = false;
	m->misplaced_at = 0;
	m->reachable = true;
	m->probe_at = now;
	log_member("home", "taken", d, m, c->options.incarnation, actions);
}

/* Ends what is left at a home and sends the results. */
static void drop(struct core *c, struct database *d, struct member *m,
		 const char *reason, hm_time now, struct actions *actions)
{
	home_close(m->executor, now, actions);
	holder_flush(c, now, actions);
	home_free(m->executor);
	m->executor = NULL;
	m->draining = false;
	log_member("home", reason, d, m, m->owner, actions);
}

void holder_named(struct core *c, struct database *d, struct member *m,
		  uint64_t life, hm_time now, struct actions *actions)
{
	if (life == c->options.incarnation && !c->stopping)
		hold(c, d, m, now, actions);
	else if (life != c->options.incarnation && m->executor)
		drop(c, d, m, "replaced", now, actions);
}

/* Whether the home named by the endpoint no longer serves. */
static bool is_abandoned(const struct core *c,
			 const struct endpoint_state *state)
{
	if (!state->owner)
		return true;
	return !peers_alive(c->peers, state->owner) &&
	       state->owner_idle > c->options.peer_silent;
}

/* A new instance may not have heard yet of those in other zones. */
static bool may_hold(const struct core *c, const struct member *m, hm_time now)
{
	return m->spec.zone == c->options.zone ||
	       now - c->started_at > ZONE_GRACE;
}

static bool is_owner(const struct core *c, const struct member *m, hm_time now)
{
	return !c->stopping && may_hold(c, m, now) &&
	       peers_owner(c->peers, m->spec.endpoint, m->spec.zone, true) ==
		       c->options.incarnation;
}

static struct state_report report_of(const struct database *d,
				     const struct member *m,
				     const struct endpoint_state *state,
				     hm_time now)
{
	struct state_report r = { 0 };
	struct home_load load = { 0 };

	if (m->executor)
		home_load(m->executor, now, &load);
	r.state = *state;
	r.queued = load.queued;
	r.free_slots = load.free_slots;
	r.wait = load.wait;
	r.age = group_age(d->group, state->at, now);
	return r;
}

/* The report for this instance names the question that it answers. */
static void report_here(struct core *c, const struct database *d,
			const struct member *m, struct rid nonce,
			const struct endpoint_state *state, hm_time now,
			struct actions *actions)
{
	struct state_report r = report_of(d, m, state, now);

	r.nonce = nonce;
	databases_report(c, &r, c->options.incarnation, now, actions);
}

/* A lost control connection is checked over a new one before it counts. */
static void held_state(struct core *c, struct database *d, struct member *m,
		       struct rid nonce, const struct endpoint_state *state,
		       hm_time now, struct actions *actions)
{
	if (!state->reachable && !m->rechecking) {
		m->rechecking = true;
		ask(c, d, m, CONTROL_PROBE_NEW_CONN, now, actions);
		return;
	}
	m->rechecking = false;
	if (!state->reachable && m->reachable) {
		log_member("endpoint", "unreachable", d, m, 0, actions);
		home_close(m->executor, now, actions);
	}
	m->reachable = state->reachable;
	actions_send(actions, 0, MSG_STATE)->state =
		report_of(d, m, state, now);
	report_here(c, d, m, nonce, state, now, actions);
}

static void candidate_state(struct core *c, struct database *d,
			    struct member *m,
			    const struct endpoint_state *state, hm_time now,
			    struct actions *actions)
{
	if (!state->reachable)
		return;
	m->owner = state->owner;
	if (state->owner == c->options.incarnation)
		hold(c, d, m, now, actions);
	else if (is_owner(c, m, now) && is_abandoned(c, state))
		take(c, d, m, state->owner, now, actions);
}

void holder_state(struct core *c, struct rid nonce,
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
		report_here(c, d, m, nonce, state, now, actions);
		return;
	}
	m->probe_sent_at = 0;
	m->handover_ordered = false; /* ordered again unless it took effect */
	if (m->executor)
		held_state(c, d, m, nonce, state, now, actions);
	else
		candidate_state(c, d, m, state, now, actions);
}

void holder_event(struct core *c, const struct event *e, hm_time now,
		  struct actions *actions)
{
	uint32_t i, k;

	for (i = 0; i < c->database_count; i++)
		for (k = 0; k < c->databases[i].member_count; k++) {
			struct home *h = c->databases[i].members[k].executor;

			if (h && home_event(h, e, now, actions))
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
		ask(c, d, m, CONTROL_PROBE, now, actions);
	else if (!member_live_owner(c, m) && is_owner(c, m, now))
		ask(c, d, m, CONTROL_PROBE, now, actions);
}

static void hand_over(struct core *c, struct database *d, struct member *m,
		      hm_time now, struct actions *actions)
{
	uint64_t next =
		peers_owner(c->peers, m->spec.endpoint, m->spec.zone, true);
	struct control *step;

	if (m->probe_sent_at || m->handover_ordered)
		return;
	m->handover_ordered = true;
	if (!next || next == c->options.incarnation || !m->reachable) {
		drop(c, d, m, "given up", now, actions);
		return;
	}
	ask(c, d, m, CONTROL_SET_OWNER, now, actions);
	step = &actions->list[actions->count - 1].control;
	step->requester = next;
	step->expected = c->options.incarnation;
	log_member("home", "handed over", d, m, next, actions);
}

/* Open transactions are served to their end before work is turned away. */
static void drain(struct core *c, struct database *d, struct member *m,
		  hm_time now, struct actions *actions)
{
	struct home_load load;

	home_load(m->executor, now, &load);
	if (load.transactions)
		return;
	m->draining = true;
	if (load.queued || load.running || verify_waiting(d->verify))
		return;
	hand_over(c, d, m, now, actions);
}

/* Held from another zone though an instance of its own zone could. */
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
		home_hold_writes(m->executor, verify_stalled(d->verify, now) &&
						      is_primary(d, m, now));
		home_tick(m->executor, now, actions);
	}
	if (m->executor &&
	    (c->stopping ? !ingress_count(c) : is_misplaced(c, m, now)))
		drain(c, d, m, now, actions);
	if (!m->handover_ordered)
		probe(c, d, m, now, actions);
}

void holder_tick(struct core *c, hm_time now, struct actions *actions)
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

/* A statement that needs no proof is answered as it ended. */
static void ended_result(const struct home_ended *e, struct result *r)
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

static bool needs_proof(const struct home_ended *e)
{
	enum op op = e->statement.op;

	return e->error == ERR_NONE && op != OP_BEGIN && op != OP_ROLLBACK;
}

static struct served *served_of(struct core *c, const struct statement *s,
				hm_id endpoint)
{
	return dedup_find(&c->owner->served, s->id, s->attempt, endpoint);
}

static void flush_home(struct core *c, struct database *d, struct member *m,
		       hm_time now, struct actions *actions)
{
	struct home_ended ended;
	struct served *s;
	struct result r;

	while (home_next_ended(m->executor, &ended)) {
		if (needs_proof(&ended)) {
			verify_add(d->verify, &ended, now, actions);
			continue;
		}
		ended_result(&ended, &r);
		r.endpoint = m->spec.endpoint;
		s = served_of(c, &ended.statement, m->spec.endpoint);
		if (s)
			finish(s, &r, now, actions);
	}
}

static void flush_verified(struct core *c, struct database *d, hm_time now,
			   struct actions *actions)
{
	struct verified v;
	struct served *s;

	while (verify_next(d->verify, &v)) {
		if (v.again) {
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

void holder_flush(struct core *c, hm_time now, struct actions *actions)
{
	uint32_t i, k;

	for (i = 0; i < c->database_count; i++) {
		struct database *d = &c->databases[i];

		for (k = 0; k < d->member_count; k++)
			if (d->members[k].executor)
				flush_home(c, d, &d->members[k], now, actions);
		flush_verified(c, d, now, actions);
	}
}

uint32_t holder_count(const struct core *c)
{
	uint32_t i, k, held = 0;

	for (i = 0; i < c->database_count; i++)
		for (k = 0; k < c->databases[i].member_count; k++)
			held += c->databases[i].members[k].executor != NULL;
	return held;
}
