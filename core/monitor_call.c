/** @file monitor_call.c The promote call of a primary change. */
#include "monitor_state.h"

#include <stdio.h>

/* After its limit the promote call is made again. */
#define CALL_LIMIT (3 * HM_SEC)
#define SETTLE_LIMIT (4 * HM_SEC)
/* Pause before a refused or unanswered promote call is repeated. */
#define CALL_RETRY_DELAY (200 * HM_MS)
/*
 * An accepted call takes effect some hundred ms later, whatever tokens are used
 * meanwhile.
 */
#define LEAD_LIMIT (1500 * HM_MS)
/* How long the target may take to show that it is the primary. */
#define LEAD_SHOWN_LIMIT (200 * HM_MS)

bool change_is_called(const struct monitor *k)
{
	return k->step == CHANGE_PROMOTE || k->step == CHANGE_SETTLE;
}

void change_call(struct monitor *k, const struct monitored_member *m,
		 struct proxy_output *out)
{
	struct proxy_action *a = monitor_duty(k, PROXY_PROMOTE, NULL, out);

	a->duty.token = k->token;
	snprintf(a->duty.endpoint, sizeof(a->duty.endpoint), "%s",
		 m->spec.name);
}

/* Which voters are paused at this call, and which may go on without it. */
static void log_call(const struct monitor *k,
		     const struct monitored_member *target,
		     struct proxy_output *out)
{
	char held[MISSING_NAMES_BYTES] = "", loose[MISSING_NAMES_BYTES] = "";
	uint32_t i;

	for (i = 0; i < k->record.voters.count; i++) {
		const char *name = k->record.contacts[i].name;

		if (voter_is_loose(k, i))
			monitor_list_name(loose, sizeof(loose), name);
		else if (k->record.voters.list[i].endpoint != k->target)
			monitor_list_name(held, sizeof(held), name);
	}
	proxy_log(out,
		  "event=promote service=%s member=%s token=%llu term=%llu "
		  "received=%llu.%llu planned=%d paused=%s loose=%s",
		  k->service_name, target->spec.name,
		  (unsigned long long)k->token, (unsigned long long)k->term,
		  (unsigned long long)target->status.received.term,
		  (unsigned long long)target->status.received.pos, k->planned,
		  held[0] ? held : "-", loose[0] ? loose : "-");
}

void change_promote(struct monitor *k, const struct monitored_member *target,
		    hm_time now, struct proxy_output *out)
{
	log_call(k, target, out);
	k->target_started = target->spec.started;
	k->give_up_at = 0;
	k->cancel_due = false;
	change_enter(k, CHANGE_PROMOTE, now + CALL_LIMIT, out);
	k->call_pending = true;
	change_call(k, target, out);
}

bool change_target_leads(struct monitor *k)
{
	const struct monitored_member *primary = monitor_primary(k);

	return primary && primary->spec.endpoint == k->target;
}

/* Whether the target is in the life that the call was made for, with its log. */
static bool target_is_intact(const struct monitor *k,
			     const struct monitored_member *target)
{
	return target && target->up &&
	       target->spec.started == k->target_started &&
	       !voter_has_lost_log(k, target);
}

/*
 * Whether paused voters receive again. A promotion resumes them, too, and the
 * target's next reply then shows that it is the primary.
 */
static bool is_resumed(struct monitor *k, hm_time now)
{
	if (choice_is_held(k))
		k->give_up_at = 0;
	else if (!k->give_up_at)
		k->give_up_at = now + LEAD_SHOWN_LIMIT;
	return k->give_up_at && now >= k->give_up_at;
}

void change_await(struct monitor *k, hm_time now, struct proxy_output *out)
{
	struct monitored_member *target = monitor_find(k, k->target);

	if (change_target_leads(k)) {
		k->promotions++;
		k->call_pending = false;
		proxy_log(out,
			  "event=promoted service=%s member=%s term=%llu "
			  "received=%llu.%llu",
			  k->service_name, target->spec.name,
			  (unsigned long long)k->term,
			  (unsigned long long)target->primary_pos.term,
			  (unsigned long long)target->primary_pos.pos);
		change_finish(k, now, out);
	} else if (!target_is_intact(k, target) || is_resumed(k, now)) {
		change_give_up(k, now, out);
	} else if (now > k->step_until && !k->give_up_at &&
		   target->has_status) {
		change_promote(k, target, now, out);
	}
}

/*
 * The call for the present primary was accepted and changes nothing, unless an
 * earlier one was accepted before it.
 */
void change_confirm_cancel(struct monitor *k, hm_time now,
			   struct proxy_output *out)
{
	if (!change_target_leads(k)) {
		change_give_up(k, now, out);
	} else if (now >= k->step_until) {
		k->call_pending = false;
		change_finish(k, now, out);
	}
}

void monitor_promote_result(struct monitor *k, uint64_t token,
			    enum promote_outcome outcome, hm_time now,
			    struct proxy_output *out)
{
	if (!k->active || token != k->token)
		return;
	if (k->step == CHANGE_CANCEL) {
		if (outcome != PROMOTE_DONE)
			return;
		change_enter(k, CHANGE_CANCELLED,
			     k->call_pending ? now + LEAD_LIMIT : now, out);
		change_confirm_cancel(k, now, out);
		return;
	}
	if (k->step != CHANGE_PROMOTE)
		return;
	switch (outcome) {
	case PROMOTE_DONE:
		change_enter(k, CHANGE_SETTLE, now + SETTLE_LIMIT, out);
		break;
	case PROMOTE_REJECTED:
		/*
		 * A newer token was used, or the target does not run: the
		 * probes show either before the next attempt.
		 */
		change_stop(k, now);
		break;
	case PROMOTE_REFUSED:
	case PROMOTE_LOST:
		k->step_until = now + CALL_RETRY_DELAY;
		break;
	}
}
