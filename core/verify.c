/** @file verify.c Answers that wait for evidence. */
#include "verify.h"

#include "proof.h"

#include <stdlib.h>

/** Answers that end at the same time share a question. */
#define ASK_GAP HM_MS
/** Pace of repeated questions while something waits. */
#define ASK_AGAIN_LEAST (10 * HM_MS)
#define ASK_AGAIN_MOST (100 * HM_MS)
/** A read that is not proved by then is tried elsewhere. */
#define READ_PROOF_LIMIT (500 * HM_MS)
#define AGE_PROOF_LIMIT (100 * HM_MS)
/** An answer given up on leaves this long before the deadline. */
#define DEADLINE_MARGIN (20 * HM_MS)
/** A primary without proof for so many sampling periods is stalled. */
#define STALLED_PERIODS 3

enum verdict {
	VERDICT_WAIT,
	VERDICT_GOOD,
	VERDICT_RETRY,
	VERDICT_FLOOR_LOST,
	VERDICT_UNKNOWN
};

struct waiting {
	struct home_ended ended;
	hm_time added_at;
	bool asked; /**< a question was sent since */
	const struct rule *rule;
	hm_time age;
	hm_time valid_until;
	uint64_t proved_term;
};

struct verify {
	const struct core_options *options;
	struct group *group;
	struct proof proof;
	hm_time started_at; /**< this instance became the primary's home */
	struct waiting *waiting;
	uint32_t waiting_count;
	uint32_t waiting_room;
	struct verified *ready;
	uint32_t ready_first;
	uint32_t ready_count;
	uint32_t ready_room;
};

/** How a kind of statement is judged. */
struct rule {
	enum verdict (*judge)(const struct verify *v, struct waiting *w,
			      hm_time now);
	bool marks; /**< the session has seen the position after it */
};

struct verify *verify_new(const struct core_options *options,
			  struct group *group)
{
	struct verify *v = calloc(1, sizeof(*v));

	if (!v)
		return NULL;
	v->options = options;
	v->group = group;
	v->proof.life = options->incarnation;
	v->proof.group = group;
	group_set_confirmation_valid(group, options->confirmation_valid);
	return v;
}

void verify_free(struct verify *v)
{
	if (!v)
		return;
	free(v->waiting);
	free(v->ready);
	free(v);
}

static void *grow(void *list, uint32_t count, uint32_t *room, size_t size)
{
	if (count < *room)
		return list;
	*room = *room ? *room * 2 : 16;
	list = realloc(list, *room * size);
	if (!list)
		abort();
	return list;
}

static bool guard_off(const struct verify *v, enum guard guard)
{
	return v->options->guards_off & guard;
}

static bool in_transaction(const struct waiting *w)
{
	return w->ended.statement.tx.id.seq != 0;
}

/* Members besides the primary that a majority with it needs. */
static uint32_t others_needed(const struct verify *v)
{
	return group_majority(v->group) - 1;
}

/* How what the session knew stands to what the statement worked on. */
static enum verdict judge_floor(const struct verify *v, const struct waiting *w)
{
	const struct home_ended *e = &w->ended;

	switch (group_reach(v->group, &e->lineage, e->before,
			    e->statement.floor)) {
	case REACH_OK:
		return VERDICT_GOOD;
	case REACH_LOST:
		return VERDICT_FLOOR_LOST;
	case REACH_BEHIND:
		break;
	}
	return VERDICT_RETRY;
}

/* A write that is kept, though what the session knew before may be lost. */
static enum verdict judge_kept(const struct verify *v, const struct waiting *w)
{
	if (judge_floor(v, w) == VERDICT_FLOOR_LOST)
		return VERDICT_FLOOR_LOST;
	return VERDICT_GOOD;
}

/* A later term is proved: it kept the write, or has cut it off. */
static enum verdict judge_by_successor(const struct verify *v,
				       struct waiting *w, hm_time now)
{
	struct log_pos at = w->ended.after;

	if (now >= group_confirmed_until(v->group) ||
	    group_term(v->group) <= at.term)
		return VERDICT_WAIT;
	if (!lineage_contains(group_lineage(v->group), at))
		return VERDICT_UNKNOWN;
	w->valid_until = group_confirmed_until(v->group);
	w->proved_term = group_term(v->group);
	return judge_kept(v, w);
}

/*
 * A majority stood by the term, asked after the commit and not long ago, so
 * that no later one was promoted yet.
 */
static bool term_stands(const struct verify *v, struct waiting *w, hm_time now)
{
	struct proof_query q = { .since = w->ended.ended_at };
	hm_time stood = proof_stood_at(&v->proof, q, w->ended.after.term,
				       group_majority(v->group));

	if (stood < 0 || now - stood >= v->options->confirmation_valid)
		return false;
	w->valid_until = stood + v->options->confirmation_valid;
	w->proved_term = w->ended.after.term;
	return true;
}

static enum verdict judge_commit(const struct verify *v, struct waiting *w,
				 hm_time now)
{
	const struct home_ended *e = &w->ended;
	struct proof_query after = { e->endpoint, e->ended_at };

	if (guard_off(v, GUARD_CONFIRMATION))
		return VERDICT_GOOD;
	if (proof_holding(&v->proof, after, e->after) >= others_needed(v))
		return judge_kept(v, w);
	if (now - e->ended_at >= v->options->replica_wait &&
	    term_stands(v, w, now))
		return judge_kept(v, w);
	if (now >= e->statement.deadline - DEADLINE_MARGIN)
		return VERDICT_UNKNOWN;
	return judge_by_successor(v, w, now);
}

/*
 * Read of the primary: its term stood after the read began. The primary has
 * to answer like the others: it may have been fenced before the read.
 */
static enum verdict judge_read(const struct verify *v, struct waiting *w,
			       hm_time now)
{
	const struct home_ended *e = &w->ended;
	struct proof_query q = { .since = e->started_at };
	uint64_t term = lineage_term(&e->lineage);

	if (guard_off(v, GUARD_CONFIRMATION))
		return judge_floor(v, w);
	if (group_is_primary(v->group, e->endpoint, term) &&
	    proof_stood_at(&v->proof, q, term, group_majority(v->group)) >= 0)
		return judge_floor(v, w);
	if (group_superseded(v->group, term))
		return VERDICT_RETRY;
	if (now - w->added_at >= READ_PROOF_LIMIT ||
	    now >= e->statement.deadline - DEADLINE_MARGIN)
		return VERDICT_RETRY;
	return VERDICT_WAIT;
}

/* Read of an accepted age, on a replica or the primary. */
static enum verdict judge_aged(const struct verify *v, struct waiting *w,
			       hm_time now)
{
	const struct home_ended *e = &w->ended;

	if (guard_off(v, GUARD_RECHECK))
		return VERDICT_GOOD;
	if (group_reach(v->group, &e->lineage, e->before, e->statement.floor) !=
	    REACH_OK)
		return VERDICT_RETRY;
	w->age = group_age(v->group, e->before, now);
	if (w->age <= e->statement.max_age)
		return VERDICT_GOOD;
	if (group_last_sample_at(v->group) >= w->added_at ||
	    now - w->added_at >= AGE_PROOF_LIMIT ||
	    now >= e->statement.deadline - DEADLINE_MARGIN)
		return VERDICT_RETRY;
	return VERDICT_WAIT;
}

static enum verdict judge_free(const struct verify *v, struct waiting *w,
			       hm_time now)
{
	(void)v;
	(void)w;
	(void)now;
	return VERDICT_GOOD;
}

static enum verdict judge_again(const struct verify *v, struct waiting *w,
				hm_time now)
{
	if (term_stands(v, w, now))
		return VERDICT_GOOD;
	return judge_commit(v, w, now);
}

static const struct rule rule_free = { judge_free, false };
static const struct rule rule_commit = { judge_commit, true };
static const struct rule rule_read = { judge_read, true };
static const struct rule rule_aged = { judge_aged, true };
static const struct rule rule_again = { judge_again, true };

static const struct rule *rule_of(const struct statement *s)
{
	switch (s->op) {
	case OP_BEGIN:
	case OP_ROLLBACK:
		return &rule_free;
	case OP_COMMIT:
		return &rule_commit;
	case OP_WRITE:
		return s->tx.id.seq ? &rule_read : &rule_commit;
	case OP_READ:
		break;
	}
	if (s->tx.id.seq || s->unsure || !s->max_age)
		return &rule_read;
	return &rule_aged;
}

static void answer_good(const struct waiting *w, struct verified *out)
{
	struct result *r = &out->result;

	r->execution = EXEC_RUN;
	r->tx = w->ended.tx;
	r->body = w->ended.body;
	r->age_bound = w->age;
	if (w->rule->marks)
		r->at = w->ended.after;
}

static void answer_retry(const struct waiting *w, struct verified *out)
{
	struct result *r = &out->result;

	r->execution = EXEC_RUN;
	r->error = in_transaction(w) ? ERR_TX_GONE : ERR_NOT_CAUGHT_UP;
	out->retry = !in_transaction(w);
}

static void answer_lost(const struct waiting *w, struct verified *out)
{
	struct result *r = &out->result;

	r->execution = EXEC_RUN;
	r->error = ERR_WRITE_LOST;
	r->tx = w->ended.tx;
	r->at = w->ended.after;
	r->reset_floor = true;
}

/*
 * The mark pins the write: later reads show it or report its loss. It may
 * replace the session's own only where the log held that.
 */
static void answer_unknown(const struct verify *v, const struct waiting *w,
			   hm_time now, struct verified *out)
{
	struct result *r = &out->result;

	r->execution = EXEC_UNKNOWN;
	r->error = ERR_OUTCOME_UNKNOWN;
	r->retry_at = now;
	if (judge_floor(v, w) == VERDICT_GOOD)
		r->at = w->ended.after;
	else
		r->unsure = true;
}

static struct verified *ready_add(struct verify *v, const struct waiting *w)
{
	const struct home_ended *e = &w->ended;
	struct verified *out;

	v->ready = grow(v->ready, v->ready_count, &v->ready_room,
			sizeof(*v->ready));
	out = &v->ready[v->ready_count++];
	*out = (struct verified){ .reply_to = e->reply_to,
				  .attempt = e->statement.attempt,
				  .again = w->rule == &rule_again,
				  .valid_until = w->valid_until,
				  .proved_term = w->proved_term };
	out->result.id = e->statement.id;
	out->result.database = e->statement.database;
	out->result.endpoint = e->endpoint;
	out->result.unsure = e->statement.unsure;
	return out;
}

static void answer(struct verify *v, const struct waiting *w,
		   enum verdict verdict, hm_time now)
{
	struct verified *out = ready_add(v, w);

	switch (verdict) {
	case VERDICT_GOOD:
		answer_good(w, out);
		break;
	case VERDICT_FLOOR_LOST:
		answer_lost(w, out);
		break;
	case VERDICT_UNKNOWN:
		answer_unknown(v, w, now, out);
		break;
	case VERDICT_RETRY:
	case VERDICT_WAIT:
		answer_retry(w, out);
		break;
	}
}

static void judge_all(struct verify *v, hm_time now)
{
	uint32_t kept = 0;
	uint32_t i;

	for (i = 0; i < v->waiting_count; i++) {
		struct waiting *w = &v->waiting[i];
		enum verdict verdict = w->rule->judge(v, w, now);

		if (verdict != VERDICT_WAIT)
			answer(v, w, verdict, now);
		else
			v->waiting[kept++] = *w;
	}
	v->waiting_count = kept;
}

static void ask(struct verify *v, hm_time now, struct actions *actions)
{
	uint32_t i;

	proof_ask(&v->proof, now, actions);
	for (i = 0; i < v->waiting_count; i++)
		v->waiting[i].asked = true;
}

static void ask_for_new(struct verify *v, hm_time now, struct actions *actions)
{
	uint32_t i;

	if (now - v->proof.asked_at < ASK_GAP && v->proof.seq)
		return;
	for (i = 0; i < v->waiting_count; i++)
		if (!v->waiting[i].asked)
			break;
	if (i < v->waiting_count)
		ask(v, now, actions);
}

static void add(struct verify *v, const struct home_ended *ended,
		const struct rule *rule, hm_time now, struct actions *actions)
{
	struct waiting *w;

	proof_sync(&v->proof);
	v->waiting = grow(v->waiting, v->waiting_count, &v->waiting_room,
			  sizeof(*v->waiting));
	w = &v->waiting[v->waiting_count++];
	*w = (struct waiting){ .ended = *ended,
			       .added_at = now,
			       .valid_until = HM_NEVER };
	w->rule = rule;
	judge_all(v, now);
	ask_for_new(v, now, actions);
}

void verify_add(struct verify *v, const struct home_ended *ended, hm_time now,
		struct actions *actions)
{
	add(v, ended, rule_of(&ended->statement), now, actions);
}

/* The home has checked the session's mark; only the term is in question. */
void verify_again(struct verify *v, const struct result *r,
		  const struct statement *s, hm_time now,
		  struct actions *actions)
{
	struct home_ended e = {
		.statement = *s,
		.endpoint = r->endpoint,
		.reply_to = v->options->incarnation,
		.started_at = now,
		.ended_at = now,
		.before = r->at,
		.after = r->at,
		.lineage = { 1, { { r->at.term, 0 } } },
		.tx = r->tx,
		.body = r->body,
	};

	e.statement.floor = (struct log_pos){ 0 };
	add(v, &e, &rule_again, now, actions);
}

void verify_report(struct verify *v, const struct state_report *r, hm_time now,
		   struct actions *actions)
{
	proof_sync(&v->proof);
	if (!proof_report(&v->proof, r))
		return;
	judge_all(v, now);
	ask_for_new(v, now, actions);
}

/* Whether this instance is the home of some member. */
static bool holds_member(const struct verify *v)
{
	const struct database_spec *spec = group_database(v->group);
	uint32_t i;

	for (i = 0; i < spec->endpoint_count; i++)
		if (group_owner(v->group, spec->endpoints[i].endpoint) ==
		    v->options->incarnation)
			return true;
	return false;
}

static hm_time ask_again_after(const struct verify *v, hm_time now)
{
	hm_time after;

	if (!v->waiting_count)
		return holds_member(v) ? v->options->probe_every : HM_NEVER;
	after = (now - v->waiting[v->waiting_count - 1].added_at) / 4;
	if (after < ASK_AGAIN_LEAST)
		return ASK_AGAIN_LEAST;
	return after < ASK_AGAIN_MOST ? after : ASK_AGAIN_MOST;
}

void verify_tick(struct verify *v, hm_time now, struct actions *actions)
{
	hm_time after = ask_again_after(v, now);

	proof_sync(&v->proof);
	judge_all(v, now);
	if (group_wants_confirmation(v->group, now))
		after = ASK_AGAIN_LEAST;
	if (!v->proof.seq || now - v->proof.asked_at >= after)
		ask(v, now, actions);
	else
		ask_for_new(v, now, actions);
	if (group_owner(v->group, group_primary(v->group, now)) !=
	    v->options->incarnation)
		v->started_at = now;
}

bool verify_ageing(const struct result *r)
{
	return r->valid_until && r->valid_until != HM_NEVER &&
	       r->execution == EXEC_RUN;
}

struct result verify_unproved(const struct result *r)
{
	struct result out = *r;

	if (r->error == ERR_WRITE_LOST) {
		out.at = (struct log_pos){ 0 };
		out.reset_floor = false;
		out.unsure = true;
	}
	out.error = ERR_OUTCOME_UNKNOWN;
	out.execution = EXEC_UNKNOWN;
	out.body = 0;
	return out;
}

bool verify_next(struct verify *v, struct verified *out)
{
	if (v->ready_first == v->ready_count) {
		v->ready_first = 0;
		v->ready_count = 0;
		return false;
	}
	*out = v->ready[v->ready_first++];
	return true;
}

uint32_t verify_waiting(const struct verify *v)
{
	return v->waiting_count;
}

bool verify_stalled(const struct verify *v, hm_time now)
{
	hm_time limit = STALLED_PERIODS * v->options->probe_every;
	hm_time since = group_last_sample_at(v->group);

	if (group_owner(v->group, group_primary(v->group, now)) !=
	    v->options->incarnation)
		return false;
	if (since < v->started_at)
		since = v->started_at;
	if (limit < v->options->confirmation_valid)
		limit = v->options->confirmation_valid;
	return now - since > limit;
}
