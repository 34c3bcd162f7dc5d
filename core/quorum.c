/** @file quorum.c Rounds of probes to all members of a group. */
#include "quorum.h"

#include <string.h>

static struct control probe_command(const struct quorum *p, hm_id endpoint)
{
	return (struct control){
		.nonce = { p->incarnation, p->seq },
		.op = CONTROL_PROBE,
		.database = group_database(p->group)->database,
		.endpoint = endpoint,
	};
}

static void probe_member(const struct quorum *p, hm_id endpoint,
			 struct actions *actions)
{
	uint64_t owner = group_owner(p->group, endpoint);
	struct control step = probe_command(p, endpoint);

	if (owner == p->incarnation)
		actions_add(actions, ACT_CONTROL)->control = step;
	else if (owner)
		actions_send(actions, owner, MSG_CONTROL)->control = step;
}

void quorum_sync(struct quorum *p)
{
	if (p->generation == group_generation(p->group))
		return;
	p->generation = group_generation(p->group);
	memset(p->rounds, 0, sizeof(p->rounds));
	memset(p->replies, 0, sizeof(p->replies));
}

void quorum_probe(struct quorum *p, hm_time now, struct actions *actions)
{
	const struct database_spec *spec = group_database(p->group);
	uint32_t i;

	p->seq = p->seq ? p->seq + 1 : NONCE_VERIFY;
	p->probed_at = now;
	p->rounds[p->seq % QUORUM_ROUNDS] =
		(struct quorum_round){ p->seq, now };
	for (i = 0; i < spec->endpoint_count; i++)
		probe_member(p, spec->endpoints[i].endpoint, actions);
}

/*
 * Whether a member's newest reply is to a round sent at @a since or later and
 * promises no term later than @a term.
 */
static bool confirms(const struct quorum_reply *a, hm_time since, uint64_t term)
{
	return a->received && a->sent_at >= since && a->state.promised <= term;
}

/*
 * Gives the group a sample: the log position in the primary's reply, and a time
 * up to which every acknowledged write is included in it. That time is when the
 * oldest of the rounds was sent whose replies, by the primary and a majority,
 * confirm the term.
 */
static void take_sample(struct quorum *p, const struct quorum_reply *a)
{
	uint64_t term = lineage_term(&a->state.lineage);
	hm_time confirmed_at;

	if (a->state.role != ROLE_PRIMARY || !confirms(a, 0, term))
		return;
	confirmed_at = quorum_confirmed_at(p, (struct quorum_query){ 0 }, term,
					   group_majority(p->group));
	if (confirmed_at > a->sent_at)
		confirmed_at = a->sent_at;
	if (confirmed_at >= 0 && confirmed_at > p->sampled_at)
		group_add_sample(p->group, confirmed_at, &a->state);
	if (confirmed_at > p->sampled_at)
		p->sampled_at = confirmed_at;
}

bool quorum_report(struct quorum *p, const struct state_report *r)
{
	const struct quorum_round *round =
		&p->rounds[r->nonce.seq % QUORUM_ROUNDS];
	uint32_t bit = group_bit(p->group, r->state.endpoint);
	struct quorum_reply *a;
	uint32_t i;

	if (r->nonce.incarnation != p->incarnation || !r->nonce.seq ||
	    round->seq != r->nonce.seq || !bit)
		return false;
	a = &p->replies[__builtin_ctz(bit)];
	if (!r->state.reachable ||
	    (a->received && a->sent_at >= round->sent_at))
		return true;
	*a = (struct quorum_reply){ true, round->sent_at, r->state };
	for (i = 0; i < ENDPOINTS_MAX; i++)
		take_sample(p, &p->replies[i]);
	return true;
}

hm_time quorum_confirmed_at(const struct quorum *p, struct quorum_query q,
			    uint64_t term, uint32_t needed)
{
	endpoint_set excluded = group_bit(p->group, q.excluded);
	hm_time confirmed_at[ENDPOINTS_MAX];
	uint32_t count = 0;
	uint32_t i, j;

	for (i = 0; i < ENDPOINTS_MAX; i++) {
		const struct quorum_reply *a = &p->replies[i];

		if (excluded & (1U << i) || !confirms(a, q.since, term))
			continue;
		for (j = count++; j && confirmed_at[j - 1] < a->sent_at; j--)
			confirmed_at[j] = confirmed_at[j - 1];
		confirmed_at[j] = a->sent_at;
	}
	if (count < needed)
		return -1;
	return needed ? confirmed_at[needed - 1] : HM_NEVER;
}

uint32_t quorum_count_holding(const struct quorum *p, struct quorum_query q,
			      struct log_pos at)
{
	endpoint_set excluded = group_bit(p->group, q.excluded);
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < ENDPOINTS_MAX; i++) {
		const struct quorum_reply *a = &p->replies[i];

		if (excluded & (1U << i) || !confirms(a, q.since, at.term))
			continue;
		count += lineage_reach(&a->state.lineage, a->state.at, at) ==
			 REACH_OK;
	}
	return count;
}
