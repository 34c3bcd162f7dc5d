/** @file member_stats.c Execution times, failures and lag of a member. */
#include "member_stats.h"

#define DECAY_TIME (2 * HM_SEC) /* attempts this old no longer count */
#define ONE ((int64_t)1000)	/* an attempt, in thousandths */
#define ATTEMPTS_MIN (8 * ONE)	/* fewer do not show a share of failures */
#define EJECT_SHARE 300u	/* thousandths */
#define PROBE_EVERY (500 * HM_MS)
#define PROBES_TO_RETURN 3
/* Estimate before the first statement was served. */
#define INITIAL_COST (5 * HM_MS)
/*
 * Statements that a cost is averaged over. Execution times of single statements
 * differ by more than the price of another zone, so that the mean of a few
 * would send statements to and fro.
 */
#define COST_WINDOW 64
#define LAG_WINDOW 8
/* A replica that is not chosen any more shows no shorter lag. */
#define LAG_DECAY (2 * HM_SEC)
/* A commit is sooner in the log than the oldest one that was missing. */
#define LAG_MARGIN(age) ((age) + (age) / 4)
/* Pause for reads of bounded age, doubled while the replica stays behind. */
#define BEHIND_MIN (30 * HM_MS)
#define BEHIND_MAX (1 * HM_SEC)

static void decay(struct member_stats *s, hm_time now)
{
	hm_time dt = now - s->decayed_at;

	if (dt >= DECAY_TIME) {
		s->attempts = 0;
		s->failures = 0;
	} else if (dt > 0) {
		s->attempts -= s->attempts * dt / DECAY_TIME;
		s->failures -= s->failures * dt / DECAY_TIME;
	}
	s->decayed_at = now;
}

static void learn_cost(hm_time *cost, uint32_t *seen,
		       const struct member_attempt *a)
{
	hm_time took = a->took - a->queue_wait;

	if (took < 1)
		took = 1;
	if (*seen < COST_WINDOW)
		++*seen;
	*cost += (took - *cost) / *seen;
	if (*cost < 1)
		*cost = 1;
}

static hm_time lag_now(const struct member_stats *s, hm_time now)
{
	hm_time dt = now - s->lag_at;

	return dt >= LAG_DECAY ? 0 : s->lag - s->lag * dt / LAG_DECAY;
}

static void set_lag(struct member_stats *s, hm_time lag, hm_time now)
{
	s->lag = lag;
	s->lag_at = now;
}

static void add_served(struct member_stats *s, const struct member_attempt *a,
		       hm_time now)
{
	hm_time lag = lag_now(s, now);

	if (a->writes)
		learn_cost(&s->write_cost, &s->writes, a);
	else
		learn_cost(&s->read_cost, &s->reads, a);
	if (a->commit_age && a->commit_age < lag)
		set_lag(s, lag - (lag - a->commit_age) / LAG_WINDOW, now);
	else if (!a->commit_age && now >= s->behind_until)
		s->behind_for /= 2;
	if (s->ejected && ++s->probes_served >= PROBES_TO_RETURN) {
		s->ejected = false;
		s->attempts = 0;
		s->failures = 0;
	}
}

static void add_behind(struct member_stats *s, const struct member_attempt *a,
		       hm_time now)
{
	if (a->commit_age) {
		if (lag_now(s, now) < LAG_MARGIN(a->commit_age))
			set_lag(s, LAG_MARGIN(a->commit_age), now);
		return;
	}
	if (now < s->behind_until)
		return; /* sent before the last one was answered */
	s->behind_for *= 2;
	if (s->behind_for < BEHIND_MIN)
		s->behind_for = BEHIND_MIN;
	if (s->behind_for > BEHIND_MAX)
		s->behind_for = BEHIND_MAX;
	s->behind_until = now + s->behind_for;
}

void member_stats_add(struct member_stats *s, const struct member_attempt *a,
		      hm_time now)
{
	decay(s, now);
	if (a->outcome == MEMBER_SKIPPED)
		return;
	if (a->outcome == MEMBER_BEHIND) {
		add_behind(s, a, now);
		return;
	}
	s->attempts += ONE;
	if (a->outcome == MEMBER_SERVED) {
		add_served(s, a, now);
		return;
	}
	s->failures += ONE;
	s->probes_served = 0;
}

hm_time member_stats_cost(const struct member_stats *s, bool writes)
{
	hm_time cost = writes ? s->write_cost : s->read_cost;

	return cost ? cost : INITIAL_COST;
}

uint32_t member_stats_failures(struct member_stats *s, hm_time now)
{
	decay(s, now);
	if (s->attempts < ATTEMPTS_MIN)
		return 0;
	return (uint32_t)(s->failures * 1000 / s->attempts);
}

bool member_stats_is_behind(const struct member_stats *s, hm_time commit_age,
			    hm_time now)
{
	if (commit_age)
		return commit_age < lag_now(s, now);
	return now < s->behind_until;
}

bool member_stats_fails(struct member_stats *s, uint32_t others, hm_time now)
{
	uint32_t share = member_stats_failures(s, now);

	return !s->ejected && share > EJECT_SHARE && share > 2 * others;
}

void member_stats_eject(struct member_stats *s, hm_time now)
{
	s->ejected = true;
	s->probes_served = 0;
	s->probe_at = now + PROBE_EVERY;
}

bool member_stats_probe(struct member_stats *s, hm_time now)
{
	if (now < s->probe_at)
		return false;
	s->probe_at = now + PROBE_EVERY;
	return true;
}
