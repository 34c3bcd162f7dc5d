/** @file quorum.c Rounds of questions to all members of a group. */
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
	uint64_t home = group_home(p->group, endpoint);
	struct control step = probe_command(p, endpoint);

	if (home == p->incarnation)
		actions_add(actions, ACT_CONTROL)->control = step;
	else if (home)
		actions_send(actions, home, MSG_CONTROL)->control = step;
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

/* Whether a member's newest answer counts for a query about a term. */
static bool confirms(const struct quorum_reply *a, hm_time since, uint64_t term)
{
	return a->received && a->sent_at >= since && a->state.promised <= term;
}

/*
 * The primary's answer is a sample of the time since which it and a majority
 * were asked: what it held when it answered includes all from before.
 */
static void take_sample(struct quorum *p, const struct quorum_reply *a)
{
	uint64_t term = lineage_term(&a->state.lineage);
	hm_time stood;

	if (a->state.role != ROLE_PRIMARY || !confirms(a, 0, term))
		return;
	stood = quorum_confirmed_at(p, (struct quorum_query){ 0 }, term,
				    group_majority(p->group));
	if (stood > a->sent_at)
		stood = a->sent_at;
	if (stood >= 0 && stood > p->sampled_at)
		group_sample(p->group, stood, &a->state);
	if (stood > p->sampled_at)
		p->sampled_at = stood;
}

bool quorum_report(struct quorum *p, const struct state_report *r)
{
	const struct quorum_round *round =
		&p->rounds[r->nonce.seq % QUORUM_ROUNDS];
	uint32_t bit = group_bit(p->group, r->state.endpoint);
	struct quorum_reply *a;
	uint32_t i;

	if (r->nonce.life != p->incarnation || !r->nonce.seq ||
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
	hm_time stood[ENDPOINTS_MAX];
	uint32_t count = 0;
	uint32_t i, j;

	for (i = 0; i < ENDPOINTS_MAX; i++) {
		const struct quorum_reply *a = &p->replies[i];

		if (excluded & (1U << i) || !confirms(a, q.since, term))
			continue;
		for (j = count++; j && stood[j - 1] < a->sent_at; j--)
			stood[j] = stood[j - 1];
		stood[j] = a->sent_at;
	}
	if (count < needed)
		return -1;
	return needed ? stood[needed - 1] : HM_NEVER;
}

uint32_t quorum_count_holding(const struct quorum *p, struct quorum_query q,
			      struct mark at)
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
