/** @file ingress_filters.c Filters of a request, from key to endpoint. */
#include "ingress_state.h"

/* Interval of repeating a statement to an owner that has not answered. */
#define RESEND_EVERY (300 * HM_MS)
/*
 * While no contract is loaded, a valid key looks like an unknown one. For this
 * time unknown keys then get ERR_ISOLATED.
 */
#define STARTUP_GRACE (3 * HM_SEC)
/* A statement with less time left than this would hardly end in time. */
#define ADMIT_SLACK (100 * HM_MS)

static bool is_starting(const struct core *c, hm_time now)
{
	return !contracts_count(c->contracts) &&
	       now < c->started_at + STARTUP_GRACE;
}

static enum verdict authenticate(struct core *c, struct pending *p, hm_time now,
				 struct actions *actions)
{
	const struct contract *contract;

	contract = contracts_by_key(c->contracts, p->statement.key);
	if (!contract && is_starting(c, now))
		return ingress_refuse(c, p, ERR_ISOLATED, now + RETRY_AFTER,
				      actions);
	if (!contract)
		return ingress_refuse(c, p, ERR_UNAUTHENTICATED, 0, actions);
	if (!contract->serve_isolated && peers_isolated(c->peers, now))
		return ingress_refuse(c, p, ERR_ISOLATED, now + HM_SEC,
				      actions);
	p->statement.account = contract->account;
	return VERDICT_NEXT;
}

static enum verdict permit(struct core *c, struct pending *p, hm_time now,
			   struct actions *actions)
{
	const struct statement *s = &p->statement;
	const struct contract *contract;
	const struct contract_database *right;

	contract = contracts_find(c->contracts, s->account);
	right = contract ? contract_database(contract, s->database) : NULL;
	if (!right || s->max_age > right->max_age)
		return ingress_refuse(c, p, ERR_FORBIDDEN, 0, actions);
	if (s->deadline <= now)
		return ingress_refuse(c, p, ERR_DEADLINE, now, actions);
	if (!database_find(c, s->database))
		return ingress_refuse(c, p, ERR_NO_ENDPOINT, now + RETRY_AFTER,
				      actions);
	return VERDICT_NEXT;
}

/* Time that must be left before the deadline when a request gets its token. */
static hm_time admit_slack(const struct pending *p, hm_time now)
{
	hm_time part = (p->statement.deadline - now) / 4;

	return part < ADMIT_SLACK ? part : ADMIT_SLACK;
}

static enum verdict admit(struct core *c, struct pending *p, hm_time now,
			  struct actions *actions)
{
	struct statement s = p->statement;
	hm_time retry_at = 0;

	s.deadline -= admit_slack(p, now);
	switch (admit_push(c->admit, &s, now, &retry_at, actions)) {
	case ADMIT_PASS:
		return VERDICT_NEXT;
	case ADMIT_WAIT:
		return VERDICT_WAIT;
	case ADMIT_REFUSE:
		break;
	}
	return ingress_refuse(c, p, ERR_RATE_LIMITED, retry_at, actions);
}

static void log_route(const struct pending *p, const char *reason,
		      struct actions *actions)
{
	struct decision *d = actions_log(actions, "route", reason);

	d->request = p->statement.id;
	d->account = p->statement.account;
	d->database = p->statement.database;
	d->endpoint = p->endpoint;
	d->peer = p->owner;
	d->at = p->statement.floor;
}

/* Logs one line per request that no endpoint can serve yet. */
static void log_wait(struct pending *p, const char *reason,
		     struct actions *actions)
{
	if (p->wait_logged)
		return;
	p->wait_logged = true;
	p->endpoint = 0;
	p->owner = 0;
	log_route(p, reason, actions);
}

/*
 * Number of the newest message received from an incarnation. It shows that
 * incarnation how long a forwarded statement was in transit, see seq_clock.h.
 */
static uint64_t received_seq(const struct core *c, uint64_t incarnation)
{
	const struct peer *peer = peers_find(c->peers, incarnation);

	return peer ? peer->seq : 0;
}

void ingress_forward(struct core *c, struct pending *p, hm_time now,
		     struct actions *actions)
{
	struct message *m = actions_send(actions, p->owner, MSG_STATEMENT);

	m->statement.statement = p->statement;
	m->statement.endpoint = p->endpoint;
	m->statement.term = p->term;
	m->statement.to = p->owner;
	m->statement.receiver_seq = received_seq(c, p->owner);
	p->resend_at = now + RESEND_EVERY;
	p->stage = STAGE_AWAIT;
}

static enum verdict wait_for_route(struct pending *p, enum error error,
				   hm_time until)
{
	p->error = error;
	p->route_at = until;
	return VERDICT_WAIT;
}

/*
 * Sends a statement of a transaction to the owner where the transaction began.
 */
static enum verdict route_transaction(struct core *c, struct pending *p,
				      hm_time now, struct actions *actions)
{
	const struct tx_id *tx = &p->statement.tx;

	if (tx->id.incarnation != c->options.incarnation &&
	    !peers_alive(c->peers, tx->id.incarnation))
		return ingress_refuse(c, p, ERR_TX_GONE, now, actions);
	p->endpoint = tx->endpoint;
	p->owner = tx->id.incarnation;
	log_route(p, "transaction", actions);
	ingress_forward(c, p, now, actions);
	return VERDICT_WAIT;
}

/* A failover lost data that the session knew: resets the session's floor. */
static enum verdict refuse_floor_lost(struct core *c, struct pending *p,
				      struct log_pos new_floor,
				      struct actions *actions)
{
	struct result r = { .error = ERR_WRITE_LOST,
			    .execution = EXEC_NOT_RUN,
			    .at = new_floor,
			    .reset_floor = true };

	if (p->may_have_run)
		return ingress_refuse(c, p, ERR_OUTCOME_UNKNOWN, 0, actions);
	ingress_answer(c, p, &r, actions);
	return VERDICT_DONE;
}

static enum verdict route(struct core *c, struct pending *p, hm_time now,
			  struct actions *actions)
{
	struct database *d = database_find(c, p->statement.database);
	struct member *m;
	struct route r;

	if (p->statement.tx.id.seq)
		return route_transaction(c, p, now, actions);
	if (!d)
		return ingress_refuse(c, p, ERR_NO_ENDPOINT, now + RETRY_AFTER,
				      actions);
	r = group_route(d->group, &p->statement, p->tried, now);
	if (!r.endpoint && r.error == ERR_WRITE_LOST)
		return refuse_floor_lost(c, p, r.new_floor, actions);
	if (!r.endpoint) {
		log_wait(p, r.reason, actions);
		p->tried = 0;
		return wait_for_route(p, r.error, r.wait_until);
	}
	m = database_member(d, r.endpoint);
	p->owner = m ? member_live_owner(c, m) : 0;
	if (!p->owner) {
		log_wait(p, "no_home", actions);
		p->tried |= group_bit(d->group, r.endpoint);
		return wait_for_route(p, ERR_NO_ENDPOINT, now + CORE_TICK);
	}
	p->endpoint = r.endpoint;
	p->term = group_term(d->group);
	log_route(p, r.reason, actions);
	if (!p->attempts)
		budget_request(c->budget, p->statement.account, p->endpoint,
			       now);
	ingress_forward(c, p, now, actions);
	return VERDICT_WAIT;
}

typedef enum verdict (*filter_func)(struct core *c, struct pending *p,
				    hm_time now, struct actions *actions);

/** Filters by stage. The endpoint's owner queues, executes and verifies. */
static const struct filter {
	const char *name;
	filter_func run;
} filters[] = {
	[STAGE_AUTHENTICATE] = { "authenticate", authenticate },
	[STAGE_PERMIT] = { "permit", permit },
	[STAGE_ADMIT] = { "admit", admit },
	[STAGE_ROUTE] = { "route", route },
};

void ingress_run_filters(struct core *c, struct pending *p, hm_time now,
			 struct actions *actions)
{
	while (p->stage < STAGE_AWAIT) {
		if (filters[p->stage].run(c, p, now, actions) != VERDICT_NEXT)
			return;
		p->stage++;
	}
}
