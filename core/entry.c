/** @file entry.c Requests from arrival to answer. */
#include "entry.h"

#include <stdlib.h>
#include <string.h>

/* Pace of sending an order again to a home that has not answered. */
#define RESEND_EVERY (300 * HM_MS)
/* Retry advice when nothing more exact is known. */
#define RETRY_AFTER (200 * HM_MS)
/* An instance that knows no contracts yet cannot tell keys apart. */
#define STARTUP_GRACE (3 * HM_SEC)
#define ATTEMPTS_MAX 8
/* A request admitted later than this before its deadline hardly finishes. */
#define ADMIT_SLACK (100 * HM_MS)

/** Where a request stands: index into the table of filters. */
enum stage {
	STAGE_AUTHENTICATE,
	STAGE_PERMIT,
	STAGE_ADMIT,
	STAGE_ROUTE,
	STAGE_AWAIT
};

struct pending {
	bool used;
	enum stage stage;
	struct statement statement;
	endpoint_set tried;
	uint32_t attempts;
	hm_id endpoint;	 /* STAGE_AWAIT: where it was sent */
	uint64_t holder; /* life it was sent to */
	uint64_t term;	 /* of the group when it was sent */
	hm_time resend_at;
	hm_time route_at; /* STAGE_ROUTE: next try */
	bool wait_logged;
	bool maybe_run;	  /* an attempt has an unknown outcome */
	bool proving;	  /* the answer is here, its proof is made anew */
	enum error error; /* what to say when the deadline comes */
};

struct entry {
	struct pending *list;
	uint32_t room;
	uint32_t count;
	struct table by_seq;
};

/** What a filter decides about a request. */
enum verdict { VERDICT_NEXT, VERDICT_WAIT, VERDICT_DONE };

struct entry *entry_new(void)
{
	return calloc(1, sizeof(struct entry));
}

void entry_free(struct entry *e)
{
	if (!e)
		return;
	table_free(&e->by_seq);
	free(e->list);
	free(e);
}

static struct pending *pending_find(struct entry *e, struct rid id)
{
	uint32_t place = table_get(&e->by_seq, id.seq);

	return place == TABLE_NONE ? NULL : &e->list[place];
}

static uint32_t free_place(struct entry *e)
{
	uint32_t i, room;
	struct pending *list;

	for (i = 0; i < e->room; i++)
		if (!e->list[i].used)
			return i;
	room = e->room ? e->room * 2 : 64;
	list = realloc(e->list, room * sizeof(*list));
	if (!list)
		abort();
	memset(list + e->room, 0, (room - e->room) * sizeof(*list));
	i = e->room;
	e->list = list;
	e->room = room;
	return i;
}

static struct pending *pending_add(struct entry *e, const struct statement *s)
{
	uint32_t place = free_place(e);
	struct pending *p = &e->list[place];

	memset(p, 0, sizeof(*p));
	p->used = true;
	p->statement = *s;
	if (!table_put(&e->by_seq, s->id.seq, place))
		abort();
	e->count++;
	return p;
}

static void pending_remove(struct entry *e, struct pending *p)
{
	table_remove(&e->by_seq, p->statement.id.seq);
	p->used = false;
	e->count--;
}

static void count_answer(struct core *c, const struct result *r)
{
	c->figures.answered++;
	c->figures.errors[r->error]++;
}

/* The last attempt did not run it, but an earlier one may have. */
static void admit_doubt(const struct pending *p, struct result *r)
{
	if (!p->maybe_run || r->error == ERR_NONE)
		return;
	if (r->execution == EXEC_NOT_RUN)
		r->execution = EXEC_UNKNOWN;
	if (p->statement.op == OP_READ)
		return;
	r->error = ERR_OUTCOME_UNKNOWN;
	r->unsure = true;
}

static void answer(struct core *c, struct pending *p, const struct result *r,
		   struct actions *actions)
{
	struct result *out = &actions_add(actions, ACT_ANSWER)->answer;

	*out = *r;
	admit_doubt(p, out);
	out->id = p->statement.id;
	out->database = p->statement.database;
	count_answer(c, out);
	pending_remove(c->entry, p);
}

static enum verdict refuse(struct core *c, struct pending *p, enum error error,
			   hm_time retry_at, struct actions *actions)
{
	struct result r = { 0 };

	r.error = error;
	r.execution = error_answer(error)->execution;
	r.retry_at = retry_at;
	answer(c, p, &r, actions);
	return VERDICT_DONE;
}

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
		return refuse(c, p, ERR_ISOLATED, now + RETRY_AFTER, actions);
	if (!contract)
		return refuse(c, p, ERR_UNAUTHENTICATED, 0, actions);
	if (!contract->serve_isolated && peers_isolated(c->peers, now))
		return refuse(c, p, ERR_ISOLATED, now + HM_SEC, actions);
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
		return refuse(c, p, ERR_FORBIDDEN, 0, actions);
	if (s->deadline <= now)
		return refuse(c, p, ERR_DEADLINE, now, actions);
	if (!database_find(c, s->database))
		return refuse(c, p, ERR_NO_ENDPOINT, now + RETRY_AFTER,
			      actions);
	return VERDICT_NEXT;
}

/* Time that must be left when a request gets its token. */
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
	return refuse(c, p, ERR_RATE_LIMITED, retry_at, actions);
}

static void log_route(const struct pending *p, const char *reason,
		      struct actions *actions)
{
	struct decision *d = actions_log(actions, "route", reason);

	d->request = p->statement.id;
	d->account = p->statement.account;
	d->database = p->statement.database;
	d->endpoint = p->endpoint;
	d->peer = p->holder;
	d->at = p->statement.floor;
}

/* One line for a request that nothing can serve yet. */
static void log_wait(struct pending *p, const char *reason,
		     struct actions *actions)
{
	if (p->wait_logged)
		return;
	p->wait_logged = true;
	p->endpoint = 0;
	p->holder = 0;
	log_route(p, reason, actions);
}

static void send_order(struct core *c, struct pending *p, hm_time now,
		       struct actions *actions)
{
	struct message *m = actions_send(actions, p->holder, MSG_STATEMENT);

	m->statement.statement = p->statement;
	m->statement.endpoint = p->endpoint;
	m->statement.term = p->term;
	p->resend_at = now + RESEND_EVERY;
	p->stage = STAGE_AWAIT;
	(void)c;
}

static enum verdict wait_for_route(struct pending *p, enum error error,
				   hm_time until)
{
	p->error = error;
	p->route_at = until;
	return VERDICT_WAIT;
}

/* A transaction stays at the endpoint and the life where it began. */
static enum verdict route_transaction(struct core *c, struct pending *p,
				      hm_time now, struct actions *actions)
{
	const struct tx_id *tx = &p->statement.tx;

	if (tx->id.life != c->options.life &&
	    !peers_alive(c->peers, tx->id.life))
		return refuse(c, p, ERR_TX_GONE, now, actions);
	p->endpoint = tx->endpoint;
	p->holder = tx->id.life;
	log_route(p, "transaction", actions);
	send_order(c, p, now, actions);
	return VERDICT_WAIT;
}

/* What the session knew was cut off; its mark goes back to what is left. */
static enum verdict refuse_lost(struct core *c, struct pending *p,
				struct mark left, struct actions *actions)
{
	struct result r = { .error = ERR_WRITE_LOST,
			    .execution = EXEC_NOT_RUN,
			    .at = left,
			    .reset_floor = true };

	if (p->maybe_run)
		return refuse(c, p, ERR_OUTCOME_UNKNOWN, 0, actions);
	answer(c, p, &r, actions);
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
		return refuse(c, p, ERR_NO_ENDPOINT, now + RETRY_AFTER,
			      actions);
	r = group_route(d->group, &p->statement, p->tried, now);
	if (!r.endpoint && r.error == ERR_WRITE_LOST)
		return refuse_lost(c, p, r.reset, actions);
	if (!r.endpoint) {
		log_wait(p, r.reason, actions);
		p->tried = 0;
		return wait_for_route(p, r.error, r.wait_until);
	}
	m = database_member(d, r.endpoint);
	p->holder = m ? member_holder(c, m) : 0;
	if (!p->holder) {
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
	send_order(c, p, now, actions);
	return VERDICT_WAIT;
}

typedef enum verdict (*filter_run)(struct core *c, struct pending *p,
				   hm_time now, struct actions *actions);

/** The path of a request here; queue, execute and verify are at the home. */
static const struct filter {
	const char *name;
	filter_run run;
} filters[] = {
	[STAGE_AUTHENTICATE] = { "authenticate", authenticate },
	[STAGE_PERMIT] = { "permit", permit },
	[STAGE_ADMIT] = { "admit", admit },
	[STAGE_ROUTE] = { "route", route },
};

static void run_filters(struct core *c, struct pending *p, hm_time now,
			struct actions *actions)
{
	while (p->stage < STAGE_AWAIT) {
		if (filters[p->stage].run(c, p, now, actions) != VERDICT_NEXT)
			return;
		p->stage++;
	}
}

void entry_request(struct core *c, const struct statement *s, hm_time now,
		   struct actions *actions)
{
	struct pending *p = pending_add(c->entry, s);

	run_filters(c, p, now, actions);
}

void entry_gone(struct core *c, struct rid id, hm_time now,
		struct actions *actions)
{
	struct pending *p = pending_find(c->entry, id);

	(void)now;
	if (!p)
		return;
	if (p->stage == STAGE_ADMIT)
		admit_drop(c->admit, id);
	if (p->stage == STAGE_AWAIT)
		actions_send(actions, p->holder, MSG_ABANDON)->abandon = id;
	pending_remove(c->entry, p);
}

static bool may_repeat(const struct statement *s)
{
	if (s->tx.id.seq || s->op == OP_COMMIT)
		return false;
	return s->op == OP_READ || s->idempotent;
}

/* Errors that another endpoint or a later moment may not show. */
static bool is_passing(enum error error)
{
	return error == ERR_NO_PRIMARY || error == ERR_NO_ENDPOINT ||
	       error == ERR_NOT_CAUGHT_UP || error == ERR_OUTCOME_UNKNOWN;
}

/* Whether another endpoint, or this one later, may do better. */
static bool is_worth_retry(const struct pending *p, const struct result *r)
{
	if (p->statement.tx.id.seq)
		return false;
	if (r->execution != EXEC_NOT_RUN)
		return may_repeat(&p->statement) &&
		       p->attempts < ATTEMPTS_MAX && is_passing(r->error);
	return is_passing(r->error);
}

static void retry(struct core *c, struct pending *p, const struct result *r,
		  hm_time now, struct actions *actions)
{
	struct database *d = database_find(c, p->statement.database);

	p->attempts++;
	p->statement.attempt++;
	p->error = r->error;
	if (r->execution != EXEC_NOT_RUN)
		p->maybe_run = true;
	if (d)
		p->tried |= group_bit(d->group, p->endpoint);
	p->stage = STAGE_ROUTE;
	p->route_at = budget_retry_at(c->budget, p->attempts, now);
	if (p->attempts == 1)
		run_filters(c, p, now, actions);
}

static void count_read(struct core *c, const struct pending *p)
{
	struct database *d = database_find(c, p->statement.database);

	if (p->statement.op != OP_READ || !d)
		return;
	if (group_primary(d->group, 0) == p->endpoint)
		c->figures.reads_primary++;
	else
		c->figures.reads_replica++;
}

/* Feeds the circuit; an answer without proof says nothing against it. */
static void note_attempt(struct database *d, hm_id endpoint, enum error error,
			 hm_time now)
{
	if (error == ERR_NONE || error == ERR_STATEMENT)
		group_attempt(d->group, endpoint, true, now);
	else if (error == ERR_NO_ENDPOINT || error == ERR_OUTCOME_UNKNOWN)
		group_attempt(d->group, endpoint, false, now);
}

/* A repeat of what ran loads endpoints anew, so that a budget bounds it. */
static bool may_load_again(struct core *c, const struct pending *p,
			   const struct result *r, hm_time now)
{
	if (r->execution == EXEC_NOT_RUN)
		return true;
	return budget_retry(c->budget, p->statement.account, p->endpoint, now);
}

static void conclude(struct core *c, struct pending *p, const struct result *r,
		     hm_time now, struct actions *actions)
{
	if (is_worth_retry(p, r) && may_load_again(c, p, r, now)) {
		retry(c, p, r, now, actions);
		return;
	}
	if (r->error == ERR_NONE)
		count_read(c, p);
	answer(c, p, r, actions);
}

void entry_proved(struct core *c, const struct result *r, hm_time now,
		  struct actions *actions)
{
	struct pending *p = pending_find(c->entry, r->id);

	if (!p || !p->proving)
		return;
	p->proving = false;
	conclude(c, p, r, now, actions);
}

void entry_result(struct core *c, const struct result *r, uint64_t from,
		  hm_time now, struct actions *actions)
{
	struct pending *p = pending_find(c->entry, r->id);
	bool here = from == c->options.life;
	struct result late;
	struct database *d;

	if (!p || r->id.life != c->options.life)
		return;
	if (p->stage != STAGE_AWAIT || p->holder != from || p->proving)
		return;
	d = database_find(c, p->statement.database);
	if (d)
		note_attempt(d, p->endpoint, r->error, now);
	if (d && verify_ageing(r) && !here && r->error == ERR_NONE) {
		p->proving = true;
		verify_again(d->verify, r, &p->statement, now, actions);
		return;
	}
	if (verify_ageing(r) && (!here || now >= r->valid_until)) {
		late = verify_unproved(r);
		r = &late;
	}
	conclude(c, p, r, now, actions);
}

/* An open transaction ends with its home; a commit may have gone through. */
static enum error loss_of(const struct statement *s)
{
	if (s->tx.id.seq && s->op != OP_COMMIT)
		return ERR_TX_GONE;
	return ERR_OUTCOME_UNKNOWN;
}

static void await_tick(struct core *c, struct pending *p, hm_time now,
		       struct actions *actions)
{
	struct result lost = { 0 };

	if (p->holder != c->options.life && !peers_alive(c->peers, p->holder)) {
		lost.error = loss_of(&p->statement);
		lost.execution = EXEC_UNKNOWN;
		lost.unsure = lost.error == ERR_OUTCOME_UNKNOWN &&
			      p->statement.op != OP_READ;
		lost.id = p->statement.id;
		entry_result(c, &lost, p->holder, now, actions);
		return;
	}
	if (now >= p->resend_at)
		send_order(c, p, now, actions);
}

/* The home answers at the deadline itself; this is for one that does not. */
#define ANSWER_GRACE (200 * HM_MS)

static void deadline_passed(struct core *c, struct pending *p, hm_time now,
			    struct actions *actions)
{
	enum error error = p->error ? p->error : ERR_DEADLINE;

	if (p->stage == STAGE_AWAIT) {
		actions_send(actions, p->holder, MSG_ABANDON)->abandon =
			p->statement.id;
		p->maybe_run = true;
	}
	refuse(c, p, error, now + RETRY_AFTER, actions);
}

static void pending_tick(struct core *c, struct pending *p, hm_time now,
			 struct actions *actions)
{
	hm_time grace = p->stage == STAGE_AWAIT ? ANSWER_GRACE : 0;

	if (p->stage == STAGE_ADMIT)
		return; /* admit_next() reports its deadline */
	if (now >= p->statement.deadline + grace)
		deadline_passed(c, p, now, actions);
	else if (p->stage == STAGE_AWAIT && !p->proving)
		await_tick(c, p, now, actions);
	else if (p->stage == STAGE_ROUTE && now >= p->route_at)
		run_filters(c, p, now, actions);
}

static void admitted(struct core *c, const struct admit_left *left, hm_time now,
		     struct actions *actions)
{
	struct pending *p = pending_find(c->entry, left->statement.id);

	if (!p || p->stage != STAGE_ADMIT)
		return;
	if (!left->passed) {
		refuse(c, p, ERR_RATE_LIMITED, left->retry_at, actions);
		return;
	}
	p->stage = STAGE_ROUTE;
	run_filters(c, p, now, actions);
}

void entry_admitted(struct core *c, hm_time now, struct actions *actions)
{
	struct admit_left left;

	while (admit_next(c->admit, now, &left))
		admitted(c, &left, now, actions);
}

void entry_tick(struct core *c, hm_time now, struct actions *actions)
{
	struct entry *e = c->entry;
	uint32_t i;

	admit_tick(c->admit, now, actions);
	entry_admitted(c, now, actions);
	for (i = 0; i < e->room; i++)
		if (e->list[i].used)
			pending_tick(c, &e->list[i], now, actions);
}

uint32_t entry_count(const struct core *c)
{
	return c->entry->count;
}
