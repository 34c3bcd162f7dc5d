/** @file verify.c Results that wait for a confirmation. */
#include "verify_state.h"

#include "grow.h"

#include <stdlib.h>

/**
 * Least time between two rounds of probes to the members, so that results that
 * end shortly after each other share a round.
 */
#define PROBE_GAP HM_MS
/** Shortest and longest pause between rounds while results are pending. */
#define PROBE_AGAIN_MIN (10 * HM_MS)
#define PROBE_AGAIN_MAX (100 * HM_MS)
/**
 * A primary is stalled when for this many probe intervals no majority confirmed
 * a log position of it (no sample was taken).
 */
#define STALLED_PERIODS 3

struct verify *verify_new(const struct core_options *options,
			  struct group *group)
{
	struct verify *v = calloc(1, sizeof(*v));

	if (!v)
		return NULL;
	v->options = options;
	v->group = group;
	v->quorum.incarnation = options->incarnation;
	v->quorum.group = group;
	group_set_confirmation_valid(group, options->confirmation_valid);
	return v;
}

void verify_free(struct verify *v)
{
	if (!v)
		return;
	free(v->pending);
	free(v->ready);
	free(v);
}

static void answer_ok(const struct pending *w, struct verified *out)
{
	struct result *r = &out->result;

	r->execution = EXEC_RUN;
	r->tx = w->ended.tx;
	r->body = w->ended.body;
	r->age_bound = w->age;
	if (w->rule->sets_position)
		r->at = w->ended.after;
}

static void answer_retry(const struct pending *w, struct verified *out)
{
	struct result *r = &out->result;

	r->execution = EXEC_RUN;
	r->error = verify_in_transaction(w) ? ERR_TX_GONE : ERR_NOT_CAUGHT_UP;
	out->retry = !verify_in_transaction(w);
}

static void answer_lost(const struct pending *w, struct verified *out)
{
	struct result *r = &out->result;

	r->execution = EXEC_RUN;
	r->error = ERR_WRITE_LOST;
	r->tx = w->ended.tx;
	r->at = w->ended.after;
	r->reset_floor = true;
}

/*
 * The log position of the write goes to the session, so that later reads show
 * the write or report its loss. It may replace the session floor only if the
 * log included that floor.
 */
static void answer_unknown(const struct verify *v, const struct pending *w,
			   hm_time now, struct verified *out)
{
	struct result *r = &out->result;

	r->execution = EXEC_UNKNOWN;
	r->error = ERR_OUTCOME_UNKNOWN;
	r->retry_at = now;
	if (verify_check_floor(v, w) == VERDICT_OK)
		r->at = w->ended.after;
	else
		r->unsure = true;
}

static struct verified *ready_add(struct verify *v, const struct pending *w)
{
	const struct executor_result *e = &w->ended;
	struct verified *out;

	v->ready = grow_list(v->ready, v->ready_count, &v->ready_capacity,
			     sizeof(*v->ready));
	out = &v->ready[v->ready_count++];
	*out = (struct verified){ .reply_to = e->reply_to,
				  .attempt = e->statement.attempt,
				  .reconfirmed =
					  w->rule == &verify_rule_reconfirm,
				  .valid_until = w->valid_until,
				  .confirmed_term = w->confirmed_term };
	out->result.id = e->statement.id;
	out->result.database = e->statement.database;
	out->result.endpoint = e->endpoint;
	out->result.unsure = e->statement.unsure;
	return out;
}

static void answer(struct verify *v, const struct pending *w,
		   enum verdict verdict, hm_time now)
{
	struct verified *out = ready_add(v, w);

	switch (verdict) {
	case VERDICT_OK:
		answer_ok(w, out);
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

static void check_all(struct verify *v, hm_time now)
{
	uint32_t kept = 0;
	uint32_t i;

	for (i = 0; i < v->pending_count; i++) {
		struct pending *w = &v->pending[i];
		enum verdict verdict = w->rule->check(v, w, now);

		if (verdict != VERDICT_WAIT)
			answer(v, w, verdict, now);
		else
			v->pending[kept++] = *w;
	}
	v->pending_count = kept;
}

static void probe(struct verify *v, hm_time now, struct actions *actions)
{
	uint32_t i;

	quorum_probe(&v->quorum, now, actions);
	for (i = 0; i < v->pending_count; i++)
		v->pending[i].probed = true;
}

static void probe_for_new(struct verify *v, hm_time now,
			  struct actions *actions)
{
	uint32_t i;

	if (now - v->quorum.probed_at < PROBE_GAP && v->quorum.seq)
		return;
	for (i = 0; i < v->pending_count; i++)
		if (!v->pending[i].probed)
			break;
	if (i < v->pending_count)
		probe(v, now, actions);
}

static void add(struct verify *v, const struct executor_result *ended,
		const struct rule *rule, hm_time now, struct actions *actions)
{
	struct pending *w;

	quorum_sync(&v->quorum);
	v->pending = grow_list(v->pending, v->pending_count,
			       &v->pending_capacity, sizeof(*v->pending));
	w = &v->pending[v->pending_count++];
	*w = (struct pending){ .ended = *ended,
			       .added_at = now,
			       .valid_until = HM_NEVER };
	w->rule = rule;
	check_all(v, now);
	probe_for_new(v, now, actions);
}

void verify_add(struct verify *v, const struct executor_result *ended,
		hm_time now, struct actions *actions)
{
	add(v, ended, verify_rule(&ended->statement), now, actions);
}

/*
 * Checks only the term: the owner that sent the result has checked the session
 * floor (the newest log position known to the session).
 */
void verify_reconfirm(struct verify *v, const struct result *r,
		      const struct statement *s, hm_time now,
		      struct actions *actions)
{
	struct executor_result e = {
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
	add(v, &e, &verify_rule_reconfirm, now, actions);
}

void verify_report(struct verify *v, const struct state_report *r, hm_time now,
		   struct actions *actions)
{
	quorum_sync(&v->quorum);
	if (!quorum_report(&v->quorum, r))
		return;
	check_all(v, now);
	probe_for_new(v, now, actions);
}

/* Whether this instance owns any member of the group. */
static bool owns_member(const struct verify *v)
{
	const struct database_spec *spec = group_database(v->group);
	uint32_t i;

	for (i = 0; i < spec->endpoint_count; i++)
		if (group_owner(v->group, spec->endpoints[i].endpoint) ==
		    v->options->incarnation)
			return true;
	return false;
}

static hm_time probe_again_after(const struct verify *v, hm_time now)
{
	hm_time after;

	if (!v->pending_count)
		return owns_member(v) ? v->options->probe_every : HM_NEVER;
	after = (now - v->pending[v->pending_count - 1].added_at) / 4;
	if (after < PROBE_AGAIN_MIN)
		return PROBE_AGAIN_MIN;
	return after < PROBE_AGAIN_MAX ? after : PROBE_AGAIN_MAX;
}

void verify_tick(struct verify *v, hm_time now, struct actions *actions)
{
	hm_time after = probe_again_after(v, now);

	quorum_sync(&v->quorum);
	check_all(v, now);
	if (group_wants_confirmation(v->group, now))
		after = PROBE_AGAIN_MIN;
	if (!v->quorum.seq || now - v->quorum.probed_at >= after)
		probe(v, now, actions);
	else
		probe_for_new(v, now, actions);
	if (group_owner(v->group, group_primary(v->group, now)) !=
	    v->options->incarnation)
		v->started_at = now;
}

bool verify_expires(const struct result *r)
{
	return r->valid_until && r->valid_until != HM_NEVER &&
	       r->execution == EXEC_RUN;
}

struct result verify_expired_result(const struct result *r)
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

uint32_t verify_pending_count(const struct verify *v)
{
	return v->pending_count;
}

bool verify_is_stalled(const struct verify *v, hm_time now)
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
