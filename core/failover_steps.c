/** @file failover_steps.c The phases of a failover. */
#include "failover_state.h"

#include <string.h>

/** A control command without a reply is sent again after this time. */
#define STEP_AGAIN (100 * HM_MS)
/** Head start of each possible coordinator over the next in rank. */
#define RANK_DELAY (150 * HM_MS)
/**
 * In phase PROBE the suspected primary has probe_silent and this time to reply.
 * If no majority of the members has replied in twice that time, the failover is
 * abandoned.
 */
#define PROBE_EXTRA (100 * HM_MS)
#define FENCE_LIMIT (2 * HM_SEC)
/** Pause after an abandoned failover: minimum, and range of the random part. */
#define BACKOFF_MIN (100 * HM_MS)
#define BACKOFF_RANDOM (400 * HM_MS)

struct decision *failover_log_step(struct failover *f, struct actions *actions,
				   const char *what, const char *reason)
{
	struct decision *d = actions_log(actions, what, reason);

	d->database = group_database(f->group)->database;
	d->endpoint = f->target;
	d->at.term = f->term;
	return d;
}

void failover_enter(struct failover *f, enum phase_id phase, hm_time now)
{
	uint32_t i;

	f->phase = phase;
	f->entered_at = now;
	f->send_at = now;
	f->seq++;
	for (i = 0; i < f->count; i++)
		f->candidates[i].answered = false;
}

void failover_back_off(struct failover *f, hm_time now, const char *reason,
		       struct actions *actions)
{
	hm_time again =
		now + BACKOFF_MIN + (hm_time)rng_below(&f->rng, BACKOFF_RANDOM);

	failover_log_step(f, actions, "failover_abandoned", reason);
	if (f->not_before < again)
		f->not_before = again;
	f->suspect_since = 0;
	failover_enter(f, PHASE_IDLE, now);
}

void failover_send_step(struct failover *f, const struct candidate *c,
			enum control_op op, struct actions *actions)
{
	uint64_t owner = failover_owner(f, c);
	struct control step = {
		.nonce = { f->options->incarnation, f->seq },
		.op = op,
		.database = group_database(f->group)->database,
		.endpoint = c->endpoint,
		.term = f->term,
		.requester = f->options->incarnation,
		.target = f->target,
	};

	if (owner == f->options->incarnation)
		actions_add(actions, ACT_CONTROL)->control = step;
	else if (owner)
		actions_send(actions, owner, MSG_CONTROL)->control = step;
}

/*
 * Whether the control commands of the phase are to be sent now, for the first
 * time or again.
 */
bool failover_send_due(struct failover *f, hm_time now)
{
	if (now < f->send_at)
		return false;
	f->send_at = now + STEP_AGAIN;
	return true;
}

bool failover_elapsed(const struct failover *f, hm_time limit, hm_time now)
{
	return now - f->entered_at >= limit;
}

static uint64_t newest_term(const struct failover *f)
{
	uint64_t term = suspect_newest_promise(f);

	if (group_term(f->group) > term)
		term = group_term(f->group);
	return f->term > term ? f->term : term;
}

static void tick_idle(struct failover *f, hm_time now, struct actions *actions)
{
	uint32_t rank;

	f->cause = suspect_cause(f, now);
	if (!f->cause || f->leave ||
	    !suspect_rank(f, group_primary(f->group, now), &rank)) {
		f->suspect_since = 0;
		return;
	}
	if (!f->suspect_since)
		f->suspect_since = now;
	if (now < f->not_before || now < f->suspect_since + rank * RANK_DELAY)
		return;
	failover_log_step(f, actions, "failover_suspects", f->cause);
	failover_enter(f, PHASE_PROBE, now);
}

/* Phase PROBE */

static void start_fence(struct failover *f, hm_time now,
			struct actions *actions)
{
	hm_id primary = group_primary(f->group, now);
	uint32_t i;

	for (i = 0; i < f->count; i++)
		f->candidates[i].fenced = false;
	f->term = newest_term(f) + 1;
	f->target = 0;
	failover_log_step(f, actions, "failover_fences", f->cause);
	if (!strcmp(f->cause, "leaving")) {
		f->target = primary;
		failover_enter(f, PHASE_HAND_OVER, now);
	} else {
		failover_enter(f, PHASE_FENCE, now);
	}
}

static uint32_t reached_count(const struct failover *f)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < f->count; i++)
		if (f->candidates[i].answered &&
		    f->candidates[i].state.reachable)
			count++;
	return count;
}

/*
 * Whether the suspected primary replied on a new connection, or its time to
 * reply (see PROBE_EXTRA) has elapsed.
 */
static bool primary_decided(struct failover *f, hm_time now)
{
	struct candidate *c =
		failover_candidate(f, group_primary(f->group, now));
	hm_time limit = f->options->probe_silent + PROBE_EXTRA;

	return !c || c->answered || failover_elapsed(f, limit, now) ||
	       !peers_alive(f->peers, failover_owner(f, c));
}

/*
 * Whether the replies received so far show that the reason to replace the
 * primary no longer exists.
 */
static bool cause_gone(struct failover *f, hm_time now)
{
	struct candidate *c =
		failover_candidate(f, group_primary(f->group, now));

	if (!suspect_cause(f, now))
		return true;
	if (suspect_is_stalled(f->cause))
		return false;
	return c && c->answered && c->state.reachable &&
	       c->state.role == ROLE_PRIMARY &&
	       suspect_newest_promise(f) <= group_term(f->group) &&
	       !failover_is_leaving(f, c->endpoint);
}

static void send_probe(struct failover *f, const struct candidate *c,
		       hm_id primary, struct actions *actions)
{
	if (c->answered)
		return;
	failover_send_step(f, c,
			   c->endpoint == primary ? CONTROL_PROBE_NEW_CONN
						  : CONTROL_PROBE,
			   actions);
}

static void tick_probe(struct failover *f, hm_time now, struct actions *actions)
{
	hm_id primary = group_primary(f->group, now);
	hm_time limit = 2 * (f->options->probe_silent + PROBE_EXTRA);
	uint32_t i;

	if (f->leave || cause_gone(f, now)) {
		failover_back_off(f, now, f->leave ? "stopping" : "cause_gone",
				  actions);
		return;
	}
	if (now < f->not_before) {
		failover_back_off(f, now, "other_orderer", actions);
		return;
	}
	if (primary_decided(f, now) &&
	    reached_count(f) >= group_majority(f->group)) {
		start_fence(f, now, actions);
		failover_phases[f->phase].tick(f, now, actions);
		return;
	}
	if (failover_elapsed(f, limit, now)) {
		failover_back_off(f, now, "no_majority", actions);
		return;
	}
	if (!failover_send_due(f, now))
		return;
	for (i = 0; i < f->count; i++)
		send_probe(f, &f->candidates[i], primary, actions);
}

static void answer_probe(struct failover *f, struct candidate *c,
			 const struct state_report *r, hm_time now,
			 struct actions *actions)
{
	c->answered = true;
	c->state = r->state;
	tick_probe(f, now, actions);
}

/* Phase FENCE */

bool failover_take_fence(struct failover *f, struct candidate *c,
			 const struct state_report *r)
{
	if (r->state.refused || r->state.promised != f->term ||
	    r->state.promised_by != f->options->incarnation)
		return false;
	c->answered = true;
	c->fenced = true;
	c->state = r->state;
	return true;
}

static uint32_t fenced_count(const struct failover *f)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < f->count; i++)
		count += f->candidates[i].fenced;
	return count;
}

static bool fence_complete(const struct failover *f)
{
	uint32_t needed = group_majority(f->group);

	if (f->options->guards_off & GUARD_FENCE)
		needed = 1;
	return fenced_count(f) >= needed;
}

/*
 * A stalled primary has the most advanced log, but the end of it was received
 * by no other member. It is excluded: the other members have every write that
 * was acknowledged because a majority has it.
 */
static bool is_excluded(const struct failover *f, const struct candidate *c,
			hm_time now)
{
	return suspect_is_stalled(f->cause) &&
	       c->endpoint == group_primary(f->group, now);
}

void failover_send_fences(struct failover *f, hm_time now,
			  struct actions *actions)
{
	uint32_t i;

	if (!failover_send_due(f, now))
		return;
	for (i = 0; i < f->count; i++)
		if (!f->candidates[i].fenced &&
		    !is_excluded(f, &f->candidates[i], now))
			failover_send_step(f, &f->candidates[i], CONTROL_FENCE,
					   actions);
}

/*
 * A member promised its term to another coordinator first. If both use the same
 * term, possibly neither gets a majority; the one that retries first then takes
 * a newer term.
 */
void failover_fence_refused(struct failover *f, const struct state_report *r,
			    hm_time now, struct actions *actions)
{
	bool split = r->state.promised == f->term;

	if (split)
		f->not_before = 0;
	failover_back_off(f, now, split ? "split_fence" : "newer_term",
			  actions);
}

void failover_tick_fence(struct failover *f, hm_time now,
			 struct actions *actions)
{
	if (failover_elapsed(f, FENCE_LIMIT, now))
		failover_back_off(f, now, "no_fence_majority", actions);
	else
		failover_send_fences(f, now, actions);
}

static void answer_fence(struct failover *f, struct candidate *c,
			 const struct state_report *r, hm_time now,
			 struct actions *actions)
{
	if (!r->state.reachable)
		return;
	if (!failover_take_fence(f, c, r)) {
		failover_fence_refused(f, r, now, actions);
		return;
	}
	if (!fence_complete(f))
		return;
	/*
	 * The phase is set directly, so f->seq stays the same and late replies
	 * to the fence commands are still taken.
	 */
	f->phase = PHASE_WAIT;
	f->entered_at = now;
}

static void ignore_answer(struct failover *f, struct candidate *c,
			  const struct state_report *r, hm_time now,
			  struct actions *actions)
{
	(void)f;
	(void)c;
	(void)r;
	(void)now;
	(void)actions;
}

const struct phase failover_phases[PHASE_COUNT] = {
	[PHASE_IDLE] = { "idle", tick_idle, ignore_answer },
	[PHASE_PROBE] = { "confirm", tick_probe, answer_probe },
	[PHASE_HAND_OVER] = { "hand_over", failover_tick_hand_over,
			      failover_answer_hand_over },
	[PHASE_FENCE] = { "fence", failover_tick_fence, answer_fence },
	[PHASE_WAIT] = { "wait", failover_tick_wait, failover_answer_wait },
	[PHASE_PROMOTE] = { "promote", failover_tick_promote,
			    failover_answer_promote },
	[PHASE_FOLLOW] = { "follow", failover_tick_follow,
			   failover_answer_follow },
};
