/**
 * @file ownership.c
 * Which instance owns an endpoint: probes of the endpoints, taking them over
 * from an owner that is gone, and handing them over.
 */
#include "ownership.h"

#include "ingress.h"
#include "owner.h"

#include <stdlib.h>
#include <string.h>

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

void ownership_tick(struct core *c, struct database *d, struct member *m,
		    hm_time now, struct actions *actions)
{
	if (m->executor) {
		executor_block_writes(m->executor,
				      verify_is_stalled(d->verify, now) &&
					      group_primary(d->group, now) ==
						      m->spec.endpoint);
		executor_tick(m->executor, now, actions);
	}
	if (m->executor &&
	    (c->stopping ? !ingress_count(c) : is_misplaced(c, m, now)))
		drain(c, d, m, now, actions);
	if (!m->handover_requested)
		probe(c, d, m, now, actions);
}
