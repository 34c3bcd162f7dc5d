/** @file keeper_members.c Members of a service as registered. */
#include "keeper_state.h"

#include <stdio.h>

static void update_member(struct keeper *k, struct kept_member *m,
			  const struct site_member *spec,
			  struct proxy_output *out)
{
	bool reborn = site_member_restarted(&m->spec, spec);

	m->spec = *spec;
	if (!reborn)
		return;
	/* What it said before was said by another life. */
	kept_disconnect(m, out);
	m->leads = false;
	m->held_since = 0;
	m->shown = (struct standing_answer){ .reborn = ++k->order };
}

/*
 * A member that cannot reach the store loses its entry, and may go on to
 * acknowledge commits: it counts for as long as it answers.
 */
void kept_drop_unlisted(struct keeper *k, struct proxy_output *out)
{
	uint32_t i;

	for (i = k->member_count; i-- > 0;) {
		struct kept_member *m = &k->members[i];

		if (!m->unlisted || (m->inquiry.ready && m->up))
			continue;
		departed_add(k, m);
		proxy_log(out, "event=member_departed member=%s service=%s",
			  m->spec.name, k->service_name);
		kept_disconnect(m, out);
		*m = k->members[--k->member_count];
	}
}

void keeper_members(struct keeper *k, const struct site_members *members,
		    hm_time now, struct proxy_output *out)
{
	struct kept_member *m;
	uint32_t i;

	for (i = k->member_count; i-- > 0;) {
		m = &k->members[i];
		m->unlisted = !site_members_find(members, m->spec.endpoint);
	}
	kept_drop_unlisted(k, out);
	for (i = 0; i < members->count; i++) {
		const struct site_member *s = &members->list[i];

		if (s->service != k->service)
			continue;
		snprintf(k->service_name, sizeof(k->service_name), "%s",
			 s->service_name);
		departed_back(k, s->endpoint);
		m = kept_find(k, s->endpoint);
		if (m) {
			update_member(k, m, s, out);
		} else if (k->member_count < ENDPOINTS_MAX) {
			m = &k->members[k->member_count++];
			*m = (struct kept_member){ .spec = *s, .up = true };
		}
	}
	k->ask_at = now;
}
