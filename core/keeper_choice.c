/** @file keeper_choice.c Whether, and whom, a keeper may promote. */
#include "keeper_state.h"

/* The primary as last known: the one that led, or says that it does. */
static bool is_believed_primary(const struct keeper *k,
				const struct kept_member *m)
{
	uint32_t i;

	for (i = 0; i < k->member_count; i++)
		if (k->members[i].spec.endpoint == k->primary)
			return m->spec.endpoint == k->primary;
	return m->spec.says_primary;
}

/* Whether every commit that was acknowledged is held by a member that answers. */
bool choice_replicas_answer(const struct keeper *k)
{
	uint32_t i;

	if (departed_matter(k))
		return false;
	for (i = 0; i < k->member_count; i++) {
		const struct kept_member *m = &k->members[i];

		if (m->up && (!m->known || m->status.primary))
			return false;
		if (!m->up && !is_believed_primary(k, m))
			return false;
	}
	return true;
}

uint32_t choice_count_up(const struct keeper *k)
{
	uint32_t i, n = 0;

	for (i = 0; i < k->member_count; i++)
		n += k->members[i].up && k->members[i].known;
	return n;
}

/*
 * Furthest replica; one that stays goes before one that leaves. A planned
 * change needs a target that stays and receives what is committed meanwhile.
 */
struct kept_member *choice_furthest(struct keeper *k, bool planned)
{
	struct kept_member *best = NULL;
	uint32_t i;

	for (i = 0; i < k->member_count; i++) {
		struct kept_member *m = &k->members[i];
		int order;

		if (!m->up || !m->known || m->leads)
			continue;
		if (planned && (m->spec.leaving || m->spec.missing_since ||
				m->status.held))
			continue;
		order = best ? log_pos_compare(m->status.received,
					       best->status.received)
			     : 1;
		if (order > 0 ||
		    (!order && best->spec.leaving && !m->spec.leaving))
			best = m;
	}
	return best;
}

bool choice_is_held_back(struct keeper *k, const struct kept_member *m)
{
	if (!m->up)
		return false;
	if (!k->planned)
		return true;
	return m->spec.endpoint != k->target && m != kept_primary(k);
}

/* A replica that cannot be asked may have let commits through until now. */
static bool has_silent_replica(struct keeper *k)
{
	const struct kept_member *primary = kept_primary(k);
	uint32_t i;

	for (i = 0; i < k->member_count; i++)
		if (!k->members[i].up && &k->members[i] != primary)
			return true;
	return departed_matter(k);
}

/*
 * The primary goes on to commit: it must be the one that leads now, and the
 * target must receive, both told since the others are held. What a silent
 * replica let through is in the primary's log.
 */
bool choice_planned_is_safe(struct keeper *k)
{
	const struct kept_member *primary = kept_primary(k);
	const struct kept_member *target = kept_find(k, k->target);

	if (!primary || !primary->fresh_lead || !target->fresh_status ||
	    target->status.held)
		return false;
	return !has_silent_replica(k) ||
	       log_pos_compare(target->status.received, primary->first_lead) >=
		       0;
}

/* Whether the target has received all that any held replica has. */
bool choice_target_has_all(struct keeper *k)
{
	const struct kept_member *target = kept_find(k, k->target);
	uint32_t i;

	for (i = 0; i < k->member_count; i++) {
		const struct kept_member *m = &k->members[i];

		if (m == target || !choice_is_held_back(k, m))
			continue;
		if (log_pos_compare(m->status.received,
				    target->status.received) > 0)
			return false;
	}
	return true;
}
