/** @file monitor_primary.c Finds the primary where two members claim it. */
#include "monitor_state.h"

/*
 * Term under which a member is primary. Its log position shows this term only
 * after its first commit; until then its status does.
 */
static uint64_t primary_term(const struct monitored_member *m)
{
	uint64_t status_term = m->status.primary ? m->status.term : 0;

	return status_term > m->primary_pos.term ? status_term
						 : m->primary_pos.term;
}

struct monitored_member *monitor_primary(struct monitor *k)
{
	struct monitored_member *best = NULL;
	uint32_t i;

	for (i = 0; i < k->member_count; i++) {
		struct monitored_member *m = &k->members[i];

		if (!m->up || !m->writable || primary_term(m) < k->term)
			continue;
		if (!best || primary_term(m) > primary_term(best) ||
		    (primary_term(m) == primary_term(best) &&
		     m->primary_order > best->primary_order))
			best = m;
	}
	return best;
}

/*
 * Clears the writable flag of members whose last reply is to an older probe,
 * unless they are primary under a later term.
 */
static void demote_others(struct monitor *k,
			  const struct monitored_member *primary,
			  struct proxy_output *out)
{
	uint32_t i;

	for (i = 0; i < k->member_count; i++) {
		struct monitored_member *m = &k->members[i];

		if (m == primary || !m->writable ||
		    primary_term(m) > primary_term(primary) ||
		    m->primary_order > primary->primary_order)
			continue;
		m->writable = false;
		proxy_log(out, "event=lead_lost service=%s member=%s",
			  k->service_name, m->spec.name);
	}
}

static void set_primary(struct monitor *k, struct monitored_member *m,
			struct proxy_output *out)
{
	monitor_raise_term(k, primary_term(m));
	demote_others(k, m, out);
	if (k->primary == m->spec.endpoint)
		return;
	k->primary = m->spec.endpoint;
	proxy_log(out, "event=primary service=%s member=%s term=%llu pos=%llu",
		  k->service_name, m->spec.name,
		  (unsigned long long)primary_term(m),
		  (unsigned long long)m->primary_pos.pos);
	monitor_broadcast_view(k);
}

/*
 * Orders a primary of a lower term than @a term to become a replica. The command
 * may get lost, so it is sent again while the member is writable.
 */
static void step_down(struct monitor *k, struct monitored_member *m,
		      uint64_t term, hm_time now, struct proxy_output *out)
{
	m->status_order = m->primary_order;
	if (!probe_conn_send(&m->probe, PROBE_CONTROL, MEMBER_STEP_DOWN, term,
			     now, out))
		return;
	proxy_log(out,
		  "event=step_down service=%s member=%s term=%llu newest=%llu",
		  k->service_name, m->spec.name,
		  (unsigned long long)primary_term(m),
		  (unsigned long long)k->term);
}

void primary_retire(struct monitor *k, struct monitored_member *primary,
		    hm_time now, struct proxy_output *out)
{
	step_down(k, primary, k->term + 1, now, out);
}

void primary_observed(struct monitor *k, struct monitored_member *m,
		      hm_time now, struct proxy_output *out)
{
	if (primary_term(m) >= k->term) {
		set_primary(k, m, out);
		if (monitor_primary(k) == m)
			voters_note_primary(k, m);
	} else if (m->has_status && m->status.primary) {
		/* A superseded primary accepts writes until then. */
		step_down(k, m, k->term, now, out);
	} else {
		m->next_status_at = now; /* only the status shows its term */
	}
}

void primary_probed(struct monitor *k, struct monitored_member *m,
		    const struct member_reply *r, hm_time now,
		    struct proxy_output *out)
{
	bool was_writable = m->writable;

	if (r->error && r->error != ERR_READ_ONLY)
		return; /* does not show whether it is primary */
	m->reported.probed = m->primary_order;
	m->reported.applied_term = r->at.term;
	m->writable = !r->error && r->at.term;
	if (m->writable) {
		m->primary_pos = r->at;
		primary_observed(k, m, now, out);
	} else if (was_writable) {
		proxy_log(out, "event=lead_lost service=%s member=%s",
			  k->service_name, m->spec.name);
		monitor_broadcast_view(k);
	}
}
