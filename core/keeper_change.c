/** @file keeper_change.c The change of a primary, planned or after its loss. */
#include "keeper_state.h"

#include <stdio.h>
#include <string.h>

/* A step without progress is given up. */
#define TOKEN_LIMIT (3 * HM_SEC)
#define HOLD_LIMIT (2 * HM_SEC)
#define CALL_LIMIT (3 * HM_SEC)
#define SETTLE_LIMIT (4 * HM_SEC)
/* Pause before a change that was given up is begun again. */
#define CHANGE_PAUSE (500 * HM_MS)
/* A refused call is made again. */
#define CALL_PAUSE (200 * HM_MS)
/* Members are asked at this pace while a change is under way. */
#define CHANGE_ASK_EVERY (40 * HM_MS)
/* Entries that an outage of the store removed are back within 2 s. */
#define MISSING_LEAVES (2200 * HM_MS)
/* Held outside of a change for so long: whoever held it is gone. */
#define ORPHAN_HOLD (3 * HM_SEC)

static const char *const step_names[CHANGE_STEP_COUNT] = {
	[CHANGE_NONE] = "none",	    [CHANGE_TOKEN] = "token",
	[CHANGE_HOLD] = "hold",	    [CHANGE_PROMOTE] = "promote",
	[CHANGE_SETTLE] = "settle", [CHANGE_CANCEL] = "cancel",
};

const char *change_name(enum change_step step)
{
	return step_names[step];
}

static void go(struct keeper *k, enum change_step step, hm_time until,
	       struct proxy_output *out)
{
	struct kept_member *target = kept_find(k, k->target);

	k->step = step;
	k->step_until = until;
	proxy_log(out,
		  "event=change service=%s step=%s planned=%d target=%s "
		  "token=%llu",
		  k->service_name, change_name(step), k->planned,
		  target ? target->spec.name : "-",
		  (unsigned long long)k->token);
}

static void ask_token(struct keeper *k, struct proxy_output *out)
{
	struct proxy_action *a = proxy_action(out, PROXY_TAKE_TOKEN);

	a->duty.id = k->service;
	snprintf(a->duty.service, sizeof(a->duty.service), "%s",
		 k->service_name);
}

static void call_promote(struct keeper *k, const struct kept_member *m,
			 struct proxy_output *out)
{
	struct proxy_action *a = proxy_action(out, PROXY_PROMOTE);

	a->duty.id = k->service;
	a->duty.token = k->token;
	snprintf(a->duty.service, sizeof(a->duty.service), "%s",
		 k->service_name);
	snprintf(a->duty.endpoint, sizeof(a->duty.endpoint), "%s",
		 m->spec.name);
}

static void resume_all(struct keeper *k, hm_time now, struct proxy_output *out)
{
	uint32_t i;

	for (i = 0; i < k->member_count; i++) {
		struct kept_member *m = &k->members[i];

		if (!m->told_held && !m->status.paused_term)
			continue;
		if (!inquiry_ask(&m->inquiry, ASKED_HOLD, MEMBER_RESUME, 0, now,
				 out))
			continue;
		m->told_held = 0;
		m->held_since = 0;
	}
}

static void finish(struct keeper *k, hm_time now, struct proxy_output *out)
{
	resume_all(k, now, out);
	k->step = CHANGE_NONE;
	k->retry_at = now + CHANGE_PAUSE;
	keeper_announce(k);
}

/* A call may still be carried out: void it before anything is resumed. */
static void cancel(struct keeper *k, hm_time now, struct proxy_output *out)
{
	k->token = 0;
	k->target = 0;
	go(k, CHANGE_CANCEL, now + TOKEN_LIMIT, out);
	ask_token(k, out);
	keeper_announce(k);
}

static void begin_change(struct keeper *k, bool planned, hm_time now,
			 struct proxy_output *out)
{
	k->planned = planned;
	k->target = 0;
	k->token = 0;
	go(k, CHANGE_TOKEN, now + TOKEN_LIMIT, out);
	ask_token(k, out);
	keeper_announce(k);
}

static bool has_orphan_hold(const struct keeper *k, hm_time now)
{
	uint32_t i;

	for (i = 0; i < k->member_count; i++)
		if (k->members[i].held_since &&
		    now - k->members[i].held_since > ORPHAN_HOLD)
			return true;
	return false;
}

/* It announced its end, or its entry does not come back. */
static bool is_leaving(const struct keeper *k, const struct kept_member *m,
		       hm_time now)
{
	hm_time missing_since = m->spec.missing_since;

	return m->spec.leaving ||
	       (missing_since && now - missing_since > MISSING_LEAVES &&
		now >= *k->site.settled_at);
}

static void decide(struct keeper *k, hm_time now, struct proxy_output *out)
{
	struct kept_member *primary = kept_primary(k);

	if (now < k->retry_at)
		return;
	if (primary && has_orphan_hold(k, now)) {
		k->planned = true;
		cancel(k, now, out);
	} else if (primary && is_leaving(k, primary, now)) {
		if (choice_furthest(k, true))
			begin_change(k, true, now, out);
	} else if (!primary && now >= *k->site.settled_at &&
		   choice_count_up(k) && choice_replicas_answer(k)) {
		begin_change(k, false, now, out);
	}
}

/* Holds what must be held; true once all of it says so. */
static bool hold_members(struct keeper *k, hm_time now,
			 struct proxy_output *out)
{
	bool all = true;
	uint32_t i;

	for (i = 0; i < k->member_count; i++) {
		struct kept_member *m = &k->members[i];

		if (!choice_is_held_back(k, m))
			continue;
		if (m->told_held != k->hold_term &&
		    inquiry_ask(&m->inquiry, ASKED_HOLD, MEMBER_PAUSE,
				k->hold_term, now, out))
			m->told_held = k->hold_term;
		if (!m->known || m->status.paused_term != k->hold_term)
			all = false;
	}
	return all;
}

static void give_up_change(struct keeper *k, hm_time now,
			   struct proxy_output *out)
{
	proxy_log(out, "event=change_given_up service=%s call_open=%d",
		  k->service_name, k->call_open);
	/*
	 * Another keeper may have held the same members for a call of its own
	 * that is still to come: that one is void first, too.
	 */
	cancel(k, now, out);
}

static void hold_step(struct keeper *k, hm_time now, struct proxy_output *out)
{
	struct kept_member *primary = kept_primary(k);
	bool held = hold_members(k, now, out) ||
		    k->site.options->guards_off & PROXY_GUARD_PAUSE;
	struct kept_member *target;

	if (now > k->step_until || (!k->planned && primary) ||
	    (k->planned && !primary)) {
		give_up_change(k, now, out);
		return;
	}
	if (!held || (!k->planned && !choice_replicas_answer(k)))
		return;
	if (!k->planned) {
		target = choice_furthest(k, false);
		k->target = target ? target->spec.endpoint : 0;
	}
	target = kept_find(k, k->target);
	if (!target || !target->up || !target->known ||
	    !choice_target_has_all(k) ||
	    (k->planned && !choice_planned_is_safe(k)))
		return;
	proxy_log(out,
		  "event=promote service=%s member=%s token=%llu term=%llu "
		  "received=%llu.%llu planned=%d",
		  k->service_name, target->spec.name,
		  (unsigned long long)k->token, (unsigned long long)k->term,
		  (unsigned long long)target->status.received.term,
		  (unsigned long long)target->status.received.pos, k->planned);
	go(k, CHANGE_PROMOTE, now + CALL_LIMIT, out);
	k->call_open = true;
	call_promote(k, target, out);
}

static bool target_leads(struct keeper *k)
{
	const struct kept_member *primary = kept_primary(k);

	return primary && primary->spec.endpoint == k->target;
}

/* The call is out, or was accepted. */
static void wait_for_lead(struct keeper *k, hm_time now,
			  struct proxy_output *out)
{
	struct kept_member *target = kept_find(k, k->target);

	if (target_leads(k)) {
		k->promotions++;
		k->call_open = false;
		proxy_log(out, "event=promoted service=%s member=%s term=%llu",
			  k->service_name, target->spec.name,
			  (unsigned long long)k->term);
		finish(k, now, out);
	} else if (!target || !target->up) {
		/* It may lead all the same: a newer call must come first. */
		k->planned = kept_primary(k) != NULL;
		begin_change(k, k->planned, now, out);
	} else if (now > k->step_until) {
		go(k, CHANGE_PROMOTE, now + CALL_LIMIT, out);
		call_promote(k, target, out);
	}
}

void change_check(struct keeper *k, hm_time now, struct proxy_output *out)
{
	if (!k->active)
		return;
	if (k->step != CHANGE_NONE && k->ask_at > now + CHANGE_ASK_EVERY)
		k->ask_at = now + CHANGE_ASK_EVERY;
	switch (k->step) {
	case CHANGE_NONE:
		decide(k, now, out);
		break;
	case CHANGE_TOKEN:
	case CHANGE_CANCEL:
		if (now > k->step_until) {
			k->step = CHANGE_NONE;
			k->retry_at = now + CHANGE_PAUSE;
		}
		break;
	case CHANGE_HOLD:
		hold_step(k, now, out);
		break;
	case CHANGE_PROMOTE:
	case CHANGE_SETTLE:
		wait_for_lead(k, now, out);
		break;
	case CHANGE_STEP_COUNT:
		break;
	}
}

static void token_for_cancel(struct keeper *k, hm_time now,
			     struct proxy_output *out)
{
	struct kept_member *primary = kept_primary(k);

	if (!primary || !k->token) {
		k->step = CHANGE_NONE;
		k->retry_at = now + CHANGE_PAUSE;
		return;
	}
	k->target = primary->spec.endpoint;
	call_promote(k, primary, out);
}

void keeper_token(struct keeper *k, uint64_t token, hm_time now,
		  struct proxy_output *out)
{
	struct kept_member *target;

	if (!k->active || (k->step != CHANGE_TOKEN && k->step != CHANGE_CANCEL))
		return;
	k->token = token;
	if (k->step == CHANGE_CANCEL) {
		token_for_cancel(k, now, out);
		return;
	}
	if (!token) {
		k->step = CHANGE_NONE;
		k->retry_at = now + CHANGE_PAUSE;
		return;
	}
	k->hold_term = k->term + token;
	target = k->planned ? choice_furthest(k, true) : NULL;
	k->target = target ? target->spec.endpoint : 0;
	go(k, CHANGE_HOLD, now + HOLD_LIMIT, out);
	kept_forget_answers(k);
	change_check(k, now, out);
}

void keeper_promoted(struct keeper *k, uint64_t token,
		     enum promote_outcome outcome, hm_time now,
		     struct proxy_output *out)
{
	if (!k->active || token != k->token)
		return;
	if (k->step == CHANGE_CANCEL) {
		if (outcome != PROMOTE_DONE)
			return;
		k->call_open = false;
		finish(k, now, out);
		return;
	}
	if (k->step != CHANGE_PROMOTE)
		return;
	switch (outcome) {
	case PROMOTE_DONE:
		go(k, CHANGE_SETTLE, now + SETTLE_LIMIT, out);
		break;
	case PROMOTE_REJECTED:
		/* Fenced off, or the target is gone: both show by then. */
		k->step = CHANGE_NONE;
		k->retry_at = now + CHANGE_PAUSE;
		break;
	case PROMOTE_REFUSED:
	case PROMOTE_LOST:
		k->step_until = now + CALL_PAUSE;
		break;
	}
}
