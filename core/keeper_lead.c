/** @file keeper_lead.c Who leads a service, where two may claim it. */
#include "keeper_state.h"

/*
 * Term under which a member leads. The position names it from the first commit
 * on; until then its state does.
 */
static uint64_t term_led(const struct kept_member *m)
{
	uint64_t told = m->status.primary ? m->status.term : 0;

	return told > m->lead_at.term ? told : m->lead_at.term;
}

struct kept_member *kept_primary(struct keeper *k)
{
	struct kept_member *best = NULL;
	uint32_t i;

	for (i = 0; i < k->member_count; i++) {
		struct kept_member *m = &k->members[i];

		if (!m->up || !m->leads || term_led(m) < k->term)
			continue;
		if (!best || term_led(m) > term_led(best) ||
		    (term_led(m) == term_led(best) &&
		     m->lead_order > best->lead_order))
			best = m;
	}
	return best;
}

/* Older proofs of others hold no more, but for a later term. */
static void disprove_others(struct keeper *k, const struct kept_member *leader,
			    struct proxy_output *out)
{
	uint32_t i;

	for (i = 0; i < k->member_count; i++) {
		struct kept_member *m = &k->members[i];

		if (m == leader || !m->leads ||
		    term_led(m) > term_led(leader) ||
		    m->lead_order > leader->lead_order)
			continue;
		m->leads = false;
		proxy_log(out, "event=lead_lost service=%s member=%s",
			  k->service_name, m->spec.name);
	}
}

static void took_lead(struct keeper *k, struct kept_member *m,
		      struct proxy_output *out)
{
	if (term_led(m) > k->term)
		k->term = term_led(m);
	disprove_others(k, m, out);
	if (k->primary == m->spec.endpoint)
		return;
	k->primary = m->spec.endpoint;
	proxy_log(out, "event=primary service=%s member=%s term=%llu pos=%llu",
		  k->service_name, m->spec.name,
		  (unsigned long long)term_led(m),
		  (unsigned long long)m->lead_at.pos);
	keeper_announce(k);
}

/* A superseded primary goes on until it is told, also more than once. */
static void step_down(struct keeper *k, struct kept_member *m, hm_time now,
		      struct proxy_output *out)
{
	m->state_order = m->lead_order;
	if (!inquiry_ask(&m->inquiry, ASKED_HOLD, MEMBER_STEP_DOWN, k->term,
			 now, out))
		return;
	proxy_log(out,
		  "event=step_down service=%s member=%s term=%llu newest=%llu",
		  k->service_name, m->spec.name,
		  (unsigned long long)term_led(m), (unsigned long long)k->term);
}

/* It leads, by its last answer and by what is known of its term. */
void lead_take(struct keeper *k, struct kept_member *m, hm_time now,
	       struct proxy_output *out)
{
	if (term_led(m) >= k->term) {
		took_lead(k, m, out);
		if (kept_primary(k) == m)
			departed_lead(k, m);
	} else if (m->known && m->status.primary) {
		step_down(k, m, now, out);
	} else {
		m->status_at = now; /* its term is not known yet */
	}
}

void lead_answered(struct keeper *k, struct kept_member *m,
		   const struct member_reply *r, hm_time now,
		   struct proxy_output *out)
{
	bool led = m->leads;

	if (r->error && r->error != ERR_READ_ONLY)
		return; /* it does not say */
	m->shown.asked = m->lead_order;
	m->shown.term = r->at.term;
	m->leads = !r->error && r->at.term;
	if (m->leads) {
		m->lead_at = r->at;
		lead_take(k, m, now, out);
	} else if (led) {
		proxy_log(out, "event=lead_lost service=%s member=%s",
			  k->service_name, m->spec.name);
		keeper_announce(k);
	}
}
