/** @file holder.c Endpoints held by this instance. */
#include "holder.h"

#include "entry.h"
#include "served.h"

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
	struct served_list served;
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
	served_free(&h->served);
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
	if (s->forget_at < now + REMEMBER_AFTER)
		s->forget_at = now + REMEMBER_AFTER;
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
			      const struct statement_order *order,
			      struct database *d, struct member *m, hm_time now)
{
	const struct statement *s = &order->statement;

	if (s->tx.id.seq && s->tx.id.life != c->options.life)
		return ERR_TX_GONE;
	if (!m || !m->home)
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

static void refuse_unremembered(const struct statement_order *order,
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
static bool is_void(const struct core *c, const struct statement_order *order,
		    uint64_t from, hm_time now)
{
	if (from == c->options.life)
		return false;
	return order->to != c->options.life ||
	       fresh_is_void(&c->fresh, order->heard, now);
}

/* A late copy of an order that may have run; its sender has given it up. */
static void log_stale(const struct statement_order *order, uint64_t from,
		      struct actions *actions)
{
	struct decision *log = actions_log(actions, "refuse", "stale_order");

	log->request = order->statement.id;
	log->endpoint = order->endpoint;
	log->peer = from;
}

void holder_statement(struct core *c, const struct statement_order *order,
		      uint64_t from, hm_time now, struct actions *actions)
{
	struct served_list *served = &c->holder->served;
	const struct statement *s = &order->statement;
	struct database *d = NULL;
	struct member *m = databases_member(c, order->endpoint, &d);
	struct served *known;
	enum error fault;

	served->forgetful = c->options.guards_off & GUARD_ONCE;
	if (is_void(c, order, from, now)) {
		log_stale(order, from, actions);
		return;
	}
	known = served_repeated(served, s->id, s->attempt, order->endpoint);
	if (known && known->ended)
		send_result(known, actions);
	if (known)
		return;
	known = served_add(served, s->id, s->attempt, order->endpoint);
	if (!known) {
		refuse_unremembered(order, from, now, actions);
		return;
	}
	known->reply_to = from;
	known->forget_at = s->deadline + REMEMBER_AFTER;
	fault = order_fault(c, order, d, m, now);
	if (fault)
		refuse(known, fault, now, actions);
	else
		home_submit(m->home, s, from, now, actions);
}

void holder_abandon(struct core *c, struct rid id, hm_time now,
		    struct actions *actions)
{
	uint32_t i, k;

	for (i = 0; i < c->database_count; i++)
		for (k = 0; k < c->databases[i].member_count; k++) {
			struct home *h = c->databases[i].members[k].home;

			if (h)
				home_abandon(h, id, now, actions);
		}
}

void holder_control(struct core *c, const struct control *step, hm_time now,
		    struct actions *actions)
{
	struct member *m = databases_member(c, step->endpoint, NULL);

	(void)now;
	if (m && m->home)
		actions_add(actions, ACT_CONTROL)->control = *step;
}

static void ask(struct core *c, struct database *d, struct member *m,
		enum control_op op, hm_time now, struct actions *actions)
{
	struct control *step = &actions_add(actions, ACT_CONTROL)->control;

	step->nonce.life = c->options.life;
	step->nonce.seq = NONCE_HOLDER | ++c->next_nonce;
	step->op = op;
	step->database = d->spec.database;
	step->endpoint = m->spec.endpoint;
	m->asked = step->nonce;
	m->asked_at = now;
	m->probe_at = now + c->options.probe_every;
	question_asked(c, step, now);
}

static void take(struct core *c, struct database *d, struct member *m,
		 uint64_t expected, hm_time now, struct actions *actions)
{
	struct control *step;

	ask(c, d, m, CONTROL_HOME, now, actions);
	step = &actions->list[actions->count - 1].control;
	step->orderer = c->options.life;
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
	if (m->home)
		return;
	m->home = home_new(&c->options, c->contracts, &d->spec, &m->spec,
			   &c->next_conn, now);
	if (!m->home)
		return;
	m->draining = false;
	m->handed = false;
	m->misplaced_at = 0;
	m->reachable = true;
	m->probe_at = now;
	log_member("home", "taken", d, m, c->options.life, actions);
}

/* Ends what is left at a home and sends the results. */
static void drop(struct core *c, struct database *d, struct member *m,
		 const char *reason, hm_time now, struct actions *actions)
{
	home_close(m->home, now, actions);
	holder_flush(c, now, actions);
	home_free(m->home);
	m->home = NULL;
	m->draining = false;
	log_member("home", reason, d, m, m->holder, actions);
}

void holder_named(struct core *c, struct database *d, struct member *m,
		  uint64_t life, hm_time now, struct actions *actions)
{
	if (life == c->options.life && !c->stopping)
		hold(c, d, m, now, actions);
	else if (life != c->options.life && m->home)
		drop(c, d, m, "replaced", now, actions);
}

/* Whether the home named by the endpoint no longer serves. */
static bool is_abandoned(const struct core *c,
			 const struct endpoint_state *state)
{
	if (!state->home)
		return true;
	return !peers_alive(c->peers, state->home) &&
	       state->home_idle > c->options.peer_silent;
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
		       c->options.life;
}

static struct state_report report_of(const struct database *d,
				     const struct member *m,
				     const struct endpoint_state *state,
				     hm_time now)
{
	struct state_report r = { 0 };
	struct home_load load = { 0 };

	if (m->home)
		home_load(m->home, now, &load);
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
	databases_report(c, &r, c->options.life, now, actions);
}

/* A lost control connection is checked over a new one before it counts. */
static void held_state(struct core *c, struct database *d, struct member *m,
		       struct rid nonce, const struct endpoint_state *state,
		       hm_time now, struct actions *actions)
{
	if (!state->reachable && !m->rechecking) {
		m->rechecking = true;
		ask(c, d, m, CONTROL_FRESH, now, actions);
		return;
	}
	m->rechecking = false;
	if (!state->reachable && m->reachable) {
		log_member("endpoint", "unreachable", d, m, 0, actions);
		home_close(m->home, now, actions);
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
	m->holder = state->home;
	if (state->home == c->options.life)
		hold(c, d, m, now, actions);
	else if (is_owner(c, m, now) && is_abandoned(c, state))
		take(c, d, m, state->home, now, actions);
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
	if (nonce.life != c->options.life) {
		answer = actions_send(actions, nonce.life, MSG_STATE);
		answer->state.nonce = nonce;
		answer->state.state = *state;
		return;
	}
	if (!rid_equal(nonce, m->asked)) {
		report_here(c, d, m, nonce, state, now, actions);
		return;
	}
	m->asked_at = 0;
	m->handed = false; /* ordered again unless it took effect */
	if (m->home)
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
			struct home *h = c->databases[i].members[k].home;

			if (h && home_event(h, e, now, actions))
				return;
		}
}

static void probe(struct core *c, struct database *d, struct member *m,
		  hm_time now, struct actions *actions)
{
	if (now < m->probe_at)
		return;
	if (m->asked_at && now < m->asked_at + 2 * c->options.probe_silent)
		return;
	if (m->home)
		ask(c, d, m, CONTROL_PROBE, now, actions);
	else if (!member_holder(c, m) && is_owner(c, m, now))
		ask(c, d, m, CONTROL_PROBE, now, actions);
}

static void hand_over(struct core *c, struct database *d, struct member *m,
		      hm_time now, struct actions *actions)
{
	uint64_t next =
		peers_owner(c->peers, m->spec.endpoint, m->spec.zone, true);
	struct control *step;

	if (m->asked_at || m->handed)
		return;
	m->handed = true;
	if (!next || next == c->options.life || !m->reachable) {
		drop(c, d, m, "given up", now, actions);
		return;
	}
	ask(c, d, m, CONTROL_HOME, now, actions);
	step = &actions->list[actions->count - 1].control;
	step->orderer = next;
	step->expected = c->options.life;
	log_member("home", "handed over", d, m, next, actions);
}

/* Open transactions are served to their end before work is turned away. */
static void drain(struct core *c, struct database *d, struct member *m,
		  hm_time now, struct actions *actions)
{
	struct home_load load;

	home_load(m->home, now, &load);
	if (load.transactions)
		return;
	m->draining = true;
	if (load.queued || load.running || verify_pending_count(d->verify))
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
	if (m->home) {
		home_hold_writes(m->home, verify_is_stalled(d->verify, now) &&
						  is_primary(d, m, now));
		home_tick(m->home, now, actions);
	}
	if (m->home &&
	    (c->stopping ? !entry_count(c) : is_misplaced(c, m, now)))
		drain(c, d, m, now, actions);
	if (!m->handed)
		probe(c, d, m, now, actions);
}

void holder_tick(struct core *c, hm_time now, struct actions *actions)
{
	uint32_t i, k;

	for (i = 0; i < c->database_count; i++)
		for (k = 0; k < c->databases[i].member_count; k++)
			member_tick(c, &c->databases[i],
				    &c->databases[i].members[k], now, actions);
	if (now < c->holder->expire_at)
		return;
	c->holder->expire_at = now + EXPIRE_EVERY;
	served_expire(&c->holder->served, now);
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
	return served_find(&c->holder->served, s->id, s->attempt, endpoint);
}

static void flush_home(struct core *c, struct database *d, struct member *m,
		       hm_time now, struct actions *actions)
{
	struct home_ended ended;
	struct served *s;
	struct result r;

	while (home_next_ended(m->home, &ended)) {
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
		if (v.reconfirmed) {
			entry_proved(c, &v.result, now, actions);
			continue;
		}
		v.result.valid_until = v.valid_until;
		s = served_find(&c->holder->served, v.result.id, v.attempt,
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
			if (d->members[k].home)
				flush_home(c, d, &d->members[k], now, actions);
		flush_verified(c, d, now, actions);
	}
}

uint32_t holder_count(const struct core *c)
{
	uint32_t i, k, held = 0;

	for (i = 0; i < c->database_count; i++)
		for (k = 0; k < c->databases[i].member_count; k++)
			held += c->databases[i].members[k].home != NULL;
	return held;
}
