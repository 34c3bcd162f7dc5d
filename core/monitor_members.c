/** @file monitor_members.c Registered members of a service. */
#include "monitor_state.h"

#include <stdio.h>

static void update_member(struct monitor *k, struct monitored_member *m,
			  const struct site_member *spec,
			  struct proxy_output *out)
{
	bool restarted = site_member_restarted(&m->spec, spec);

	if (m->spec.started != spec->started) {
		m->received_most = (struct log_pos){ 0 };
		m->held = false;
	}
	m->spec = *spec;
	if (!restarted)
		return;
	/* The member restarted: its earlier replies are obsolete. */
	monitor_disconnect(m, out);
	m->writable = false;
	m->paused_since = 0;
	m->reported = (struct term_report){ .restarted = ++k->order };
}

/*
 * Removes the members without an entry that do not reply. A member that cannot
 * reach the store loses its entry but may continue to acknowledge commits, so
 * it counts as a member while it replies.
 */
void monitor_drop_unregistered(struct monitor *k, struct proxy_output *out)
{
	uint32_t i;

	for (i = k->member_count; i-- > 0;) {
		struct monitored_member *m = &k->members[i];

		if (!m->unregistered || (m->probe.ready && m->up))
			continue;
		proxy_log(out, "event=member_departed member=%s service=%s",
			  m->spec.name, k->service_name);
		monitor_disconnect(m, out);
		*m = k->members[--k->member_count];
	}
}

void monitor_set_members(struct monitor *k, const struct site_members *members,
			 hm_time now, struct proxy_output *out)
{
	struct monitored_member *m;
	uint32_t i;

	for (i = k->member_count; i-- > 0;) {
		m = &k->members[i];
		m->unregistered = !site_members_find(members, m->spec.endpoint);
	}
	monitor_drop_unregistered(k, out);
	for (i = 0; i < members->count; i++) {
		const struct site_member *s = &members->list[i];

		if (s->service != k->service)
			continue;
		snprintf(k->service_name, sizeof(k->service_name), "%s",
			 s->service_name);
		m = monitor_find(k, s->endpoint);
		if (m) {
			update_member(k, m, s, out);
		} else if (k->member_count < ENDPOINTS_MAX) {
			m = &k->members[k->member_count++];
			*m = (struct monitored_member){ .spec = *s,
							.up = true };
		}
	}
	k->next_probe_at = now;
}
