/** @file monitor_change.c Failover and switchover of a primary. */
#include "monitor_state.h"

#include <stdio.h>
#include <string.h>

/* Time limits of the steps. After its limit a step is given up. */
#define TOKEN_LIMIT (3 * HM_SEC)
#define PAUSE_LIMIT (2 * HM_SEC)
/* Pause before a primary change is started again. */
#define RETRY_DELAY (500 * HM_MS)
/* For the order to step down, and a probe that shows its effect. */
#define STEP_DOWN_DELAY (100 * HM_MS)
/* Probe interval during a primary change. */
#define CHANGE_PROBE_EVERY (40 * HM_MS)
/*
 * A member whose entry is missing for longer counts as leaving. After an outage
 * of the store entries return within 2 s.
 */
#define MISSING_LEAVES (2200 * HM_MS)
/*
 * A member paused for longer outside of a change was paused by a monitor that
 * no longer runs.
 */
#define ORPHAN_PAUSE_LIMIT (3 * HM_SEC)
/* The same for a change that the record of voters states. */
#define ORPHAN_CHANGE_LIMIT (5 * HM_SEC)

static const char *const step_names[CHANGE_STEP_COUNT] = {
	[CHANGE_NONE] = "none",		  [CHANGE_TOKEN] = "token",
	[CHANGE_PAUSE_REPLICAS] = "hold", [CHANGE_PROMOTE] = "promote",
	[CHANGE_SETTLE] = "settle",	  [CHANGE_CANCEL] = "cancel",
	[CHANGE_CANCELLED] = "cancelled",
};

const char *change_name(enum change_step step)
{
	return step_names[step];
}

void change_stop(struct monitor *k, hm_time now)
{
	k->step = CHANGE_NONE;
	k->retry_at = now + RETRY_DELAY;
}

void change_enter(struct monitor *k, enum change_step step, hm_time until,
		  struct proxy_output *out)
{
	struct monitored_member *target = monitor_find(k, k->target);

	k->step = step;
	k->step_until = until;
	proxy_log(out,
		  "event=change service=%s step=%s planned=%d target=%s "
		  "token=%llu",
		  k->service_name, change_name(step), k->planned,
		  target ? target->spec.name : "-",
		  (unsigned long long)k->token);
}

/* The term in the pause commands of a change: each change has a later one. */
static uint64_t pause_term(const struct monitor *k)
{
	return k->term + k->token;
}

static void resume_all(struct monitor *k, hm_time now, struct proxy_output *out)
{
	uint32_t i;

	for (i = 0; i < k->member_count; i++) {
		struct monitored_member *m = &k->members[i];

		if (!m->pause_sent && !m->status.paused_term)
			continue;
		/* Paused for a newer change, of another monitor. */
		if (m->status.paused_term > pause_term(k))
			continue;
		if (!probe_conn_send(&m->probe, PROBE_CONTROL, MEMBER_RESUME, 0,
				     now, out))
			continue;
		m->pause_sent = 0;
		m->paused_since = 0;
	}
}

void change_finish(struct monitor *k, hm_time now, struct proxy_output *out)
{
	resume_all(k, now, out);
	record_change_ended(k, now);
	change_stop(k, now);
	monitor_broadcast_view(k);
}

/*
 * A promote call may still take effect. Invalidates it, before any replica is
 * resumed, by promoting the present primary with a newer token.
 */
static void cancel(struct monitor *k, hm_time now, struct proxy_output *out)
{
	k->token = 0;
	k->target = 0;
	k->cancel_due = false;
	change_enter(k, CHANGE_CANCEL, now + TOKEN_LIMIT, out);
	record_request_token(k, out);
	monitor_broadcast_view(k);
}

static void begin_change(struct monitor *k, bool planned, hm_time now,
			 struct proxy_output *out)
{
	k->planned = planned;
	k->target = 0;
	k->token = 0;
	change_enter(k, CHANGE_TOKEN, now + TOKEN_LIMIT, out);
	record_request_token(k, out);
	monitor_broadcast_view(k);
}

static bool has_orphan_pause(const struct monitor *k, hm_time now)
{
	uint32_t i;

	for (i = 0; i < k->member_count; i++)
		if (k->members[i].paused_since &&
		    now - k->members[i].paused_since > ORPHAN_PAUSE_LIMIT)
			return true;
	return false;
}

/*
 * Whether a member counts as leaving: it announced that it leaves, its zone is
 * evacuated, or its entry has been missing for too long.
 */
static bool is_leaving(const struct monitor *k,
		       const struct monitored_member *m, hm_time now)
{
	hm_time missing_since = m->spec.missing_since;

	return site_member_retires(&m->spec) ||
	       (missing_since && now - missing_since > MISSING_LEAVES &&
		now >= *k->deps.settled_at);
}

/* Whether the list of members is complete and current. */
static bool members_are_known(const struct monitor *k, hm_time now)
{
	return now >= *k->deps.settled_at &&
	       now - *k->deps.members_current_at <= MEMBERS_CURRENT;
}

/* Whether instances send a leaving member no more requests. */
static bool is_drained(const struct monitor *k,
		       const struct monitored_member *m, hm_time now)
{
	const struct proxy_options *o = k->deps.options;

	return (m->spec.leaving &&
		now - m->spec.leaving_since > o->drain_limit) ||
	       site_member_is_evacuated(&m->spec, o->evacuation_limit, now);
}

/*
 * A switchover waits while a voter is silent. Once the primary gets no more
 * requests there is nothing to wait for: it becomes a replica, and a failover
 * follows, in which one more voter may be missing.
 */
static void replace_leaving(struct monitor *k, struct monitored_member *primary,
			    hm_time now, struct proxy_output *out)
{
	choice_log_wait(k, out);
	if (choice_may_switch(k)) {
		begin_change(k, true, now, out);
	} else if (is_drained(k, primary, now) && members_are_known(k, now) &&
		   choice_may_retire(k)) {
		primary_retire(k, primary, now, out);
		k->next_probe_at = now + CHANGE_PROBE_EVERY;
		k->retry_at = now + STEP_DOWN_DELAY;
	}
}

static void decide(struct monitor *k, hm_time now, struct proxy_output *out)
{
	struct monitored_member *primary = monitor_primary(k);

	if (now < k->retry_at)
		return;
	if ((k->cancel_due || has_orphan_pause(k, now) ||
	     record_change_is_orphaned(k, ORPHAN_CHANGE_LIMIT, now)) &&
	    members_are_known(k, now) && choice_sees_newest_primary(k)) {
		k->planned = true;
		k->call_pending = true;
		cancel(k, now, out);
	} else if (primary && is_leaving(k, primary, now)) {
		replace_leaving(k, primary, now, out);
	} else if (!primary && members_are_known(k, now) &&
		   choice_reachable_count(k)) {
		choice_log_wait(k, out);
		/* The token brings a record that could not be read yet. */
		if (k->record_read ? choice_sees_all_commits(k)
				   : choice_sees_only_replicas(k))
			begin_change(k, false, now, out);
	}
}

/* Pauses the replicas that must be paused; true once all report it. */
static bool pause_members(struct monitor *k, hm_time now,
			  struct proxy_output *out)
{
	bool all = true;
	uint32_t i;

	for (i = 0; i < k->member_count; i++) {
		struct monitored_member *m = &k->members[i];

		if (!choice_must_pause(k, m))
			continue;
		if (m->pause_sent != k->pause_term &&
		    probe_conn_send(&m->probe, PROBE_CONTROL, MEMBER_PAUSE,
				    k->pause_term, now, out))
			m->pause_sent = k->pause_term;
		if (!m->has_status || m->status.paused_term != k->pause_term)
			all = false;
	}
	return all;
}

void change_give_up(struct monitor *k, hm_time now, struct proxy_output *out)
{
	proxy_log(out,
		  "event=change_given_up service=%s step=%s call_open=%d "
		  "loose=%u",
		  k->service_name, change_name(k->step), k->call_pending,
		  voters_loose(k));
	if (k->step >= CHANGE_CANCEL)
		k->call_pending = true;
	/*
	 * Another monitor may have paused the same members for a promote call
	 * that has not taken effect yet: cancel() invalidates that one, too. So
	 * does a failover.
	 */
	if (monitor_primary(k)) {
		cancel(k, now, out);
	} else {
		k->step = CHANGE_NONE;
		k->retry_at = now;
		k->cancel_due = true;
	}
}

static void pause_step(struct monitor *k, hm_time now, struct proxy_output *out)
{
	struct monitored_member *primary = monitor_primary(k);
	bool paused = pause_members(k, now, out) ||
		      k->deps.options->guards_off & PROXY_GUARD_PAUSE;
	struct monitored_member *target;

	if (now > k->step_until || (!k->planned && primary) ||
	    (k->planned && !primary)) {
		change_give_up(k, now, out);
		return;
	}
	if (!paused || (!k->planned && !choice_sees_all_commits(k)))
		return;
	if (!k->planned) {
		target = choice_most_advanced(k, false);
		k->target = target ? target->spec.endpoint : 0;
	}
	target = monitor_find(k, k->target);
	if (!target || !target->up || !target->has_status || !choice_is_safe(k))
		return;
	change_promote(k, target, now, out);
}

void change_check(struct monitor *k, hm_time now, struct proxy_output *out)
{
	if (!k->active)
		return;
	if (k->step != CHANGE_NONE &&
	    k->next_probe_at > now + CHANGE_PROBE_EVERY)
		k->next_probe_at = now + CHANGE_PROBE_EVERY;
	switch (k->step) {
	case CHANGE_NONE:
		decide(k, now, out);
		break;
	case CHANGE_TOKEN:
		if (now > k->step_until)
			change_stop(k, now);
		break;
	case CHANGE_CANCEL:
		if (k->target && !change_target_leads(k))
			change_give_up(k, now, out);
		else if (now > k->step_until)
			change_stop(k, now);
		break;
	case CHANGE_PAUSE_REPLICAS:
		pause_step(k, now, out);
		break;
	case CHANGE_PROMOTE:
	case CHANGE_SETTLE:
		change_await(k, now, out);
		break;
	case CHANGE_CANCELLED:
		change_confirm_cancel(k, now, out);
		break;
	case CHANGE_STEP_COUNT:
		break;
	}
}

static void token_for_cancel(struct monitor *k, hm_time now,
			     struct proxy_output *out)
{
	struct monitored_member *primary = monitor_primary(k);

	if (!k->token || !choice_sees_newest_primary(k)) {
		change_stop(k, now);
		return;
	}
	k->target = primary->spec.endpoint;
	change_call(k, primary, out);
}

void monitor_token_taken(struct monitor *k, uint64_t token,
			 const struct voter_record *record, hm_time now,
			 struct proxy_output *out)
{
	struct monitored_member *target;

	if (!k->active)
		return;
	if (record)
		record_take(k, record, now, out);
	else
		token = 0; /* without the voters it is of no use */
	if (k->step != CHANGE_TOKEN && k->step != CHANGE_CANCEL)
		return;
	k->token = token;
	if (k->step == CHANGE_CANCEL) {
		token_for_cancel(k, now, out);
		return;
	}
	if (!token ||
	    !(k->planned ? choice_may_switch(k) : choice_sees_all_commits(k))) {
		if (token)
			record_token_unused(k);
		change_stop(k, now);
		return;
	}
	k->call_pending |= k->record.was_changing;
	k->pause_term = pause_term(k);
	target = k->planned ? choice_most_advanced(k, true) : NULL;
	k->target = target ? target->spec.endpoint : 0;
	change_enter(k, CHANGE_PAUSE_REPLICAS, now + PAUSE_LIMIT, out);
	monitor_discard_replies(k);
	change_check(k, now, out);
}
