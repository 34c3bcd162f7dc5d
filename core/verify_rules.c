/** @file verify_rules.c How the results of each kind of statement are checked. */
#include "verify_state.h"

/**
 * A read of current data (first limit), or one that accepts an age (second), is
 * retried on another member when not confirmed within this time.
 */
#define READ_CONFIRM_LIMIT (500 * HM_MS)
#define AGE_CONFIRM_LIMIT (100 * HM_MS)
/** Results that stay unconfirmed are sent this long before the deadline. */
#define DEADLINE_MARGIN (20 * HM_MS)

static bool guard_off(const struct verify *v, enum guard guard)
{
	return v->options->guards_off & guard;
}

bool verify_in_transaction(const struct pending *w)
{
	return w->ended.statement.tx.id.seq != 0;
}

/* Number of other members that form a majority with the primary. */
static uint32_t others_needed(const struct verify *v)
{
	return group_majority(v->group) - 1;
}

/* Verdict by whether the log of the statement contains the session floor. */
enum verdict verify_check_floor(const struct verify *v, const struct pending *w)
{
	const struct executor_result *e = &w->ended;

	switch (group_reach(v->group, &e->lineage, e->before,
			    e->statement.floor)) {
	case REACH_OK:
		return VERDICT_OK;
	case REACH_LOST:
		return VERDICT_FLOOR_LOST;
	case REACH_BEHIND:
		break;
	}
	return VERDICT_RETRY;
}

/*
 * Verdict on a write that cannot be lost any more: an earlier write of its
 * session may be lost all the same.
 */
static enum verdict check_committed(const struct verify *v,
				    const struct pending *w)
{
	if (verify_check_floor(v, w) == VERDICT_FLOOR_LOST)
		return VERDICT_FLOOR_LOST;
	return VERDICT_OK;
}

/*
 * Verdict on a write by the log of a later, confirmed term, which either has
 * the write or has lost it.
 */
static enum verdict check_by_successor(const struct verify *v,
				       struct pending *w, hm_time now)
{
	struct log_pos at = w->ended.after;

	if (now >= group_confirmed_until(v->group) ||
	    group_term(v->group) <= at.term)
		return VERDICT_WAIT;
	if (!lineage_contains(group_lineage(v->group), at))
		return VERDICT_UNKNOWN;
	w->valid_until = group_confirmed_until(v->group);
	w->confirmed_term = group_term(v->group);
	return check_committed(v, w);
}

/*
 * Whether a majority confirmed the term by replies to rounds sent after the
 * commit. Until the confirmation is confirmation_valid old, no later term can
 * have a primary.
 */
static bool confirm_term(const struct verify *v, struct pending *w, hm_time now)
{
	struct quorum_query q = { .since = w->ended.ended_at };
	hm_time confirmed_at = quorum_confirmed_at(
		&v->quorum, q, w->ended.after.term, group_majority(v->group));

	if (confirmed_at < 0 ||
	    now - confirmed_at >= v->options->confirmation_valid)
		return false;
	w->valid_until = confirmed_at + v->options->confirmation_valid;
	w->confirmed_term = w->ended.after.term;
	return true;
}

static enum verdict check_commit(const struct verify *v, struct pending *w,
				 hm_time now)
{
	const struct executor_result *e = &w->ended;
	struct quorum_query after = { e->endpoint, e->ended_at };

	if (guard_off(v, GUARD_CONFIRMATION))
		return VERDICT_OK;
	if (quorum_count_holding(&v->quorum, after, e->after) >=
	    others_needed(v))
		return check_committed(v, w);
	if (now - e->ended_at >= v->options->replica_wait &&
	    confirm_term(v, w, now))
		return check_committed(v, w);
	if (now >= e->statement.deadline - DEADLINE_MARGIN)
		return VERDICT_UNKNOWN;
	return check_by_successor(v, w, now);
}

/*
 * Read of the primary: its term must be confirmed by rounds sent after the read
 * began. The primary counts towards the majority only if it has replied to such
 * a round, too: it may have been fenced before the read.
 */
static enum verdict check_read(const struct verify *v, struct pending *w,
			       hm_time now)
{
	const struct executor_result *e = &w->ended;
	struct quorum_query q = { .since = e->started_at };
	uint64_t term = lineage_term(&e->lineage);

	if (guard_off(v, GUARD_CONFIRMATION))
		return verify_check_floor(v, w);
	if (group_is_primary(v->group, e->endpoint, term) &&
	    quorum_confirmed_at(&v->quorum, q, term,
				group_majority(v->group)) >= 0)
		return verify_check_floor(v, w);
	if (group_superseded(v->group, term))
		return VERDICT_RETRY;
	if (now - w->added_at >= READ_CONFIRM_LIMIT ||
	    now >= e->statement.deadline - DEADLINE_MARGIN)
		return VERDICT_RETRY;
	return VERDICT_WAIT;
}

/* Verdict on a read, on a replica or the primary, that accepts old data. */
static enum verdict check_aged(const struct verify *v, struct pending *w,
			       hm_time now)
{
	const struct executor_result *e = &w->ended;

	if (guard_off(v, GUARD_RECHECK))
		return VERDICT_OK;
	if (group_reach(v->group, &e->lineage, e->before, e->statement.floor) !=
	    REACH_OK)
		return VERDICT_RETRY;
	w->age = group_age(v->group, e->before, now);
	if (w->age <= e->statement.max_age)
		return VERDICT_OK;
	if (group_last_sample_at(v->group) >= w->added_at ||
	    now - w->added_at >= AGE_CONFIRM_LIMIT ||
	    now >= e->statement.deadline - DEADLINE_MARGIN)
		return VERDICT_RETRY;
	return VERDICT_WAIT;
}

static enum verdict check_nothing(const struct verify *v, struct pending *w,
				  hm_time now)
{
	(void)v;
	(void)w;
	(void)now;
	return VERDICT_OK;
}

static enum verdict check_again(const struct verify *v, struct pending *w,
				hm_time now)
{
	if (confirm_term(v, w, now))
		return VERDICT_OK;
	return check_commit(v, w, now);
}

static const struct rule rule_unchecked = { check_nothing, false };
static const struct rule rule_commit = { check_commit, true };
static const struct rule rule_read = { check_read, true };
static const struct rule rule_aged = { check_aged, true };
const struct rule verify_rule_reconfirm = { check_again, true };

const struct rule *verify_rule(const struct statement *s)
{
	switch (s->op) {
	case OP_BEGIN:
	case OP_ROLLBACK:
		return &rule_unchecked;
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
