/** @file proof.c Rounds of questions to all members of a group. */
#include "proof.h"

#include <string.h>

static struct control question(const struct proof *p, hm_id endpoint)
{
	return (struct control){
		.nonce = { p->life, p->seq },
		.op = CONTROL_PROBE,
		.database = group_database(p->group)->database,
		.endpoint = endpoint,
	};
}

static void ask_member(const struct proof *p, hm_id endpoint,
		       struct actions *actions)
{
	uint64_t home = group_owner(p->group, endpoint);
	struct control step = question(p, endpoint);

	if (home == p->life)
		actions_add(actions, ACT_CONTROL)->control = step;
	else if (home)
		actions_send(actions, home, MSG_CONTROL)->control = step;
}

void proof_sync(struct proof *p)
{
	if (p->generation == group_generation(p->group))
		return;
	p->generation = group_generation(p->group);
	memset(p->asked, 0, sizeof(p->asked));
	memset(p->answers, 0, sizeof(p->answers));
}

void proof_ask(struct proof *p, hm_time now, struct actions *actions)
{
	const struct database_spec *spec = group_database(p->group);
	uint32_t i;

	p->seq = p->seq ? p->seq + 1 : NONCE_VERIFY;
	p->asked_at = now;
	p->asked[p->seq % PROOF_ROUNDS] = (struct proof_round){ p->seq, now };
	for (i = 0; i < spec->endpoint_count; i++)
		ask_member(p, spec->endpoints[i].endpoint, actions);
}

/* Whether a member's newest answer counts for a query about a term. */
static bool stands(const struct proof_answer *a, hm_time since, uint64_t term)
{
	return a->given && a->asked_at >= since && a->state.promised <= term;
}

/*
 * The primary's answer is a sample of the time since which it and a majority
 * were asked: what it held when it answered includes all from before.
 */
static void take_sample(struct proof *p, const struct proof_answer *a)
{
	uint64_t term = lineage_term(&a->state.lineage);
	hm_time stood;

	if (a->state.role != ROLE_PRIMARY || !stands(a, 0, term))
		return;
	stood = proof_stood_at(p, (struct proof_query){ 0 }, term,
			       group_majority(p->group));
	if (stood > a->asked_at)
		stood = a->asked_at;
	if (stood >= 0 && stood > p->sampled_at)
		group_add_sample(p->group, stood, &a->state);
	if (stood > p->sampled_at)
		p->sampled_at = stood;
}

bool proof_report(struct proof *p, const struct state_report *r)
{
	const struct proof_round *round =
		&p->asked[r->nonce.seq % PROOF_ROUNDS];
	uint32_t bit = group_bit(p->group, r->state.endpoint);
	struct proof_answer *a;
	uint32_t i;

	if (r->nonce.incarnation != p->life || !r->nonce.seq ||
	    round->seq != r->nonce.seq || !bit)
		return false;
	a = &p->answers[__builtin_ctz(bit)];
	if (!r->state.reachable || (a->given && a->asked_at >= round->asked_at))
		return true;
	*a = (struct proof_answer){ true, round->asked_at, r->state };
	for (i = 0; i < ENDPOINTS_MAX; i++)
		take_sample(p, &p->answers[i]);
	return true;
}

hm_time proof_stood_at(const struct proof *p, struct proof_query q,
		       uint64_t term, uint32_t needed)
{
	endpoint_set left_out = group_bit(p->group, q.endpoint);
	hm_time stood[ENDPOINTS_MAX];
	uint32_t count = 0;
	uint32_t i, j;

	for (i = 0; i < ENDPOINTS_MAX; i++) {
		const struct proof_answer *a = &p->answers[i];

		if (left_out & (1U << i) || !stands(a, q.since, term))
			continue;
		for (j = count++; j && stood[j - 1] < a->asked_at; j--)
			stood[j] = stood[j - 1];
		stood[j] = a->asked_at;
	}
	if (count < needed)
		return -1;
	return needed ? stood[needed - 1] : HM_NEVER;
}

uint32_t proof_holding(const struct proof *p, struct proof_query q,
		       struct log_pos at)
{
	endpoint_set left_out = group_bit(p->group, q.endpoint);
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < ENDPOINTS_MAX; i++) {
		const struct proof_answer *a = &p->answers[i];

		if (left_out & (1U << i) || !stands(a, q.since, at.term))
			continue;
		count += lineage_reach(&a->state.lineage, a->state.at, at) ==
			 REACH_OK;
	}
	return count;
}
