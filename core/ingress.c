/** @file ingress.c Client requests: arrival, retries, deadline and answer. */
#include "ingress_state.h"

#include <stdlib.h>
#include <string.h>

#define ATTEMPTS_MAX 8

struct ingress *ingress_new(void)
{
	return calloc(1, sizeof(struct ingress));
}

void ingress_free(struct ingress *e)
{
	if (!e)
		return;
	table_free(&e->by_seq);
	free(e->list);
	free(e);
}

static struct pending *pending_find(struct ingress *e, struct rid id)
{
	uint32_t index = table_get(&e->by_seq, id.seq);

	return index == TABLE_NONE ? NULL : &e->list[index];
}

static uint32_t free_index(struct ingress *e)
{
	uint32_t i, capacity;
	struct pending *list;

	for (i = 0; i < e->capacity; i++)
		if (!e->list[i].used)
			return i;
	capacity = e->capacity ? e->capacity * 2 : 64;
	list = realloc(e->list, capacity * sizeof(*list));
	if (!list)
		abort();
	memset(list + e->capacity, 0, (capacity - e->capacity) * sizeof(*list));
	i = e->capacity;
	e->list = list;
	e->capacity = capacity;
	return i;
}

static struct pending *pending_add(struct ingress *e, const struct statement *s)
{
	uint32_t index = free_index(e);
	struct pending *p = &e->list[index];

	memset(p, 0, sizeof(*p));
	p->used = true;
	p->statement = *s;
	if (!table_put(&e->by_seq, s->id.seq, index))
		abort();
	e->count++;
	return p;
}

static void pending_remove(struct ingress *e, struct pending *p)
{
	table_remove(&e->by_seq, p->statement.id.seq);
	p->used = false;
	e->count--;
}

static void count_answer(struct core *c, const struct result *r)
{
	c->counters.answered++;
	c->counters.errors[r->error]++;
}

/*
 * The last attempt did not run the statement, but an earlier one may have: the
 * answer must not report "not run".
 */
static void report_unknown_outcome(const struct pending *p, struct result *r)
{
	if (!p->may_have_run || r->error == ERR_NONE)
		return;
	if (r->execution == EXEC_NOT_RUN)
		r->execution = EXEC_UNKNOWN;
	if (p->statement.op == OP_READ)
		return;
	r->error = ERR_OUTCOME_UNKNOWN;
	r->unsure = true;
}

void ingress_answer(struct core *c, struct pending *p, const struct result *r,
		    struct actions *actions)
{
	struct result *out = &actions_add(actions, ACT_ANSWER)->answer;

	*out = *r;
	report_unknown_outcome(p, out);
	out->id = p->statement.id;
	out->database = p->statement.database;
	count_answer(c, out);
	pending_remove(c->ingress, p);
}

enum verdict ingress_refuse(struct core *c, struct pending *p, enum error error,
			    hm_time retry_at, struct actions *actions)
{
	struct result r = { 0 };

	r.error = error;
	r.execution = error_answer(error)->execution;
	r.retry_at = retry_at;
	ingress_answer(c, p, &r, actions);
	return VERDICT_DONE;
}

void ingress_request(struct core *c, const struct statement *s, hm_time now,
		     struct actions *actions)
{
	struct pending *p = pending_add(c->ingress, s);

	ingress_run_filters(c, p, now, actions);
}

void ingress_client_gone(struct core *c, struct rid id, hm_time now,
			 struct actions *actions)
{
	struct pending *p = pending_find(c->ingress, id);

	(void)now;
	if (!p)
		return;
	if (p->stage == STAGE_ADMIT)
		admit_drop(c->admit, id);
	if (p->stage == STAGE_AWAIT)
		actions_send(actions, p->owner, MSG_ABANDON)->abandon = id;
	pending_remove(c->ingress, p);
}

static bool may_repeat(const struct statement *s)
{
	if (s->tx.id.seq || s->op == OP_COMMIT)
		return false;
	return s->op == OP_READ || s->idempotent;
}

/* Whether an error may be absent at another endpoint or at a later time. */
static bool is_transient(enum error error)
{
	return error == ERR_NO_PRIMARY || error == ERR_NO_ENDPOINT ||
	       error == ERR_NOT_CAUGHT_UP || error == ERR_OUTCOME_UNKNOWN;
}

/* Whether the request may succeed at another endpoint or later. */
static bool is_worth_retry(const struct pending *p, const struct result *r)
{
	if (p->statement.tx.id.seq)
		return false;
	if (r->execution != EXEC_NOT_RUN)
		return may_repeat(&p->statement) &&
		       p->attempts < ATTEMPTS_MAX && is_transient(r->error);
	return is_transient(r->error);
}

static void retry(struct core *c, struct pending *p, const struct result *r,
		  hm_time now, struct actions *actions)
{
	struct database *d = database_find(c, p->statement.database);

	p->attempts++;
	p->statement.attempt++;
	p->error = r->error;
	if (r->execution != EXEC_NOT_RUN)
		p->may_have_run = true;
	if (d)
		p->tried |= group_bit(d->group, p->endpoint);
	p->stage = STAGE_ROUTE;
	p->route_at = budget_retry_at(c->budget, p->attempts, now);
	if (p->attempts == 1)
		ingress_run_filters(c, p, now, actions);
}

static void count_read(struct core *c, const struct pending *p)
{
	struct database *d = database_find(c, p->statement.database);

	if (p->statement.op != OP_READ || !d)
		return;
	if (group_primary(d->group, 0) == p->endpoint)
		c->counters.reads_primary++;
	else
		c->counters.reads_replica++;
}

/*
 * Reports the attempt to the endpoint's circuit breaker. Other errors, such as
 * a missing confirmation of the term, don't mean that the endpoint failed.
 */
static void record_attempt(struct database *d, hm_id endpoint, enum error error,
			   hm_time now)
{
	if (error == ERR_NONE || error == ERR_STATEMENT)
		group_record_attempt(d->group, endpoint, true, now);
	else if (error == ERR_NO_ENDPOINT || error == ERR_OUTCOME_UNKNOWN)
		group_record_attempt(d->group, endpoint, false, now);
}

/*
 * Whether a statement may be retried. Only the retry of a statement that may
 * have run takes from the retry budgets, because it adds load.
 */
static bool may_retry_within_budget(struct core *c, const struct pending *p,
				    const struct result *r, hm_time now)
{
	if (r->execution == EXEC_NOT_RUN)
		return true;
	return budget_retry(c->budget, p->statement.account, p->endpoint, now);
}

static void conclude(struct core *c, struct pending *p, const struct result *r,
		     hm_time now, struct actions *actions)
{
	if (is_worth_retry(p, r) && may_retry_within_budget(c, p, r, now)) {
		retry(c, p, r, now, actions);
		return;
	}
	if (r->error == ERR_NONE)
		count_read(c, p);
	ingress_answer(c, p, r, actions);
}

void ingress_confirmed(struct core *c, const struct result *r, hm_time now,
		       struct actions *actions)
{
	struct pending *p = pending_find(c->ingress, r->id);

	if (!p || !p->confirming)
		return;
	p->confirming = false;
	conclude(c, p, r, now, actions);
}

void ingress_result(struct core *c, const struct result *r, uint64_t from,
		    hm_time now, struct actions *actions)
{
	struct pending *p = pending_find(c->ingress, r->id);
	bool from_self = from == c->options.incarnation;
	struct result unconfirmed;
	struct database *d;

	if (!p || r->id.incarnation != c->options.incarnation)
		return;
	if (p->stage != STAGE_AWAIT || p->owner != from || p->confirming)
		return;
	d = database_find(c, p->statement.database);
	if (d)
		record_attempt(d, p->endpoint, r->error, now);
	if (d && verify_expires(r) && !from_self && r->error == ERR_NONE) {
		p->confirming = true;
		verify_reconfirm(d->verify, r, &p->statement, now, actions);
		return;
	}
	if (verify_expires(r) && (!from_self || now >= r->valid_until)) {
		unconfirmed = verify_expired_result(r);
		r = &unconfirmed;
	}
	conclude(c, p, r, now, actions);
}

/*
 * Error for a statement whose endpoint's owner died: an open transaction is
 * rolled back, but a commit or a single statement may have taken effect.
 */
static enum error lost_owner_error(const struct statement *s)
{
	if (s->tx.id.seq && s->op != OP_COMMIT)
		return ERR_TX_GONE;
	return ERR_OUTCOME_UNKNOWN;
}

static void await_tick(struct core *c, struct pending *p, hm_time now,
		       struct actions *actions)
{
	struct result lost = { 0 };

	if (p->owner != c->options.incarnation &&
	    !peers_alive(c->peers, p->owner)) {
		lost.error = lost_owner_error(&p->statement);
		lost.execution = EXEC_UNKNOWN;
		lost.unsure = lost.error == ERR_OUTCOME_UNKNOWN &&
			      p->statement.op != OP_READ;
		lost.id = p->statement.id;
		ingress_result(c, &lost, p->owner, now, actions);
		return;
	}
	if (now >= p->resend_at)
		ingress_forward(c, p, now, actions);
}

/*
 * How long after its deadline a request waits for the answer of the endpoint's
 * owner, which answers at the deadline unless it has failed.
 */
#define ANSWER_GRACE (200 * HM_MS)

static void deadline_passed(struct core *c, struct pending *p, hm_time now,
			    struct actions *actions)
{
	enum error error = p->error ? p->error : ERR_DEADLINE;

	if (p->stage == STAGE_AWAIT) {
		actions_send(actions, p->owner, MSG_ABANDON)->abandon =
			p->statement.id;
		p->may_have_run = true;
	}
	ingress_refuse(c, p, error, now + RETRY_AFTER, actions);
}

static void pending_tick(struct core *c, struct pending *p, hm_time now,
			 struct actions *actions)
{
	hm_time grace = p->stage == STAGE_AWAIT ? ANSWER_GRACE : 0;

	if (p->stage == STAGE_ADMIT)
		return; /* admit_next() reports the end of the wait */
	if (now >= p->statement.deadline + grace)
		deadline_passed(c, p, now, actions);
	else if (p->stage == STAGE_AWAIT && !p->confirming)
		await_tick(c, p, now, actions);
	else if (p->stage == STAGE_ROUTE && now >= p->route_at)
		ingress_run_filters(c, p, now, actions);
}

static void admitted(struct core *c, const struct admit_result *left,
		     hm_time now, struct actions *actions)
{
	struct pending *p = pending_find(c->ingress, left->statement.id);

	if (!p || p->stage != STAGE_ADMIT)
		return;
	if (!left->admitted) {
		ingress_refuse(c, p, ERR_RATE_LIMITED, left->retry_at, actions);
		return;
	}
	p->stage = STAGE_ROUTE;
	ingress_run_filters(c, p, now, actions);
}

void ingress_admitted(struct core *c, hm_time now, struct actions *actions)
{
	struct admit_result left;

	while (admit_next(c->admit, now, &left))
		admitted(c, &left, now, actions);
}

void ingress_tick(struct core *c, hm_time now, struct actions *actions)
{
	struct ingress *e = c->ingress;
	uint32_t i;

	admit_tick(c->admit, now, actions);
	ingress_admitted(c, now, actions);
	for (i = 0; i < e->capacity; i++)
		if (e->list[i].used)
			pending_tick(c, &e->list[i], now, actions);
}

uint32_t ingress_count(const struct core *c)
{
	return c->ingress->count;
}
