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
	uint64_t home = group_home(p->group, endpoint);
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
	memset(p->rounds, 0, sizeof(p->rounds));
}

void proof_ask(struct proof *p, hm_time now, struct actions *actions)
{
	const struct database_spec *spec = group_database(p->group);
	struct proof_round *round;
	uint32_t i;

	p->seq = p->seq ? p->seq + 1 : NONCE_VERIFY;
	p->asked_at = now;
	round = &p->rounds[p->seq % PROOF_ROUNDS];
	memset(round, 0, sizeof(*round));
	round->seq = p->seq;
	round->asked_at = now;
	for (i = 0; i < spec->endpoint_count; i++)
		ask_member(p, spec->endpoints[i].endpoint, actions);
}

/* Answers of a round that leave @a term standing. */
static uint32_t round_standing(const struct proof_round *round, uint64_t term)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < ENDPOINTS_MAX; i++)
		if (round->answered & (1U << i) &&
		    round->states[i].promised <= term)
			count++;
	return count;
}

/* The answer of a primary whose term a majority of the round left standing. */
static const struct endpoint_state *round_primary(const struct proof *p,
						  const struct proof_round *r)
{
	uint32_t i;

	for (i = 0; i < ENDPOINTS_MAX; i++) {
		const struct endpoint_state *s = &r->states[i];
		uint64_t term = lineage_term(&s->lineage);

		if (!(r->answered & (1U << i)) || s->role != ROLE_PRIMARY ||
		    s->promised > term)
			continue;
		if (round_standing(r, term) >= group_majority(p->group))
			return s;
	}
	return NULL;
}

static void sample_round(struct proof *p, struct proof_round *round)
{
	const struct endpoint_state *s;

	if (round->sampled)
		return;
	s = round_primary(p, round);
	if (!s)
		return;
	round->sampled = true;
	group_sample(p->group, round->asked_at, s);
}

bool proof_report(struct proof *p, const struct state_report *r)
{
	struct proof_round *round = &p->rounds[r->nonce.seq % PROOF_ROUNDS];
	endpoint_set bit = group_bit(p->group, r->state.endpoint);

	if (r->nonce.life != p->life || !r->nonce.seq ||
	    round->seq != r->nonce.seq || !bit)
		return false;
	if (!r->state.reachable || round->answered & bit)
		return true;
	round->answered |= bit;
	round->states[__builtin_ctz(bit)] = r->state;
	sample_round(p, round);
	return true;
}

typedef bool (*state_test)(const struct endpoint_state *s, struct mark at);

static bool holds(const struct endpoint_state *s, struct mark at)
{
	return s->promised <= at.term &&
	       lineage_reach(&s->lineage, s->at, at) == REACH_OK;
}

static endpoint_set round_passing(const struct proof_round *round,
				  struct mark at, state_test test)
{
	endpoint_set passing = 0;
	uint32_t i;

	for (i = 0; i < ENDPOINTS_MAX; i++)
		if (round->answered & (1U << i) && test(&round->states[i], at))
			passing |= 1U << i;
	return passing;
}

static uint32_t count_passing(const struct proof *p, struct proof_query q,
			      struct mark at, state_test test)
{
	endpoint_set passing = 0;
	uint32_t i;

	for (i = 0; i < PROOF_ROUNDS; i++)
		if (p->rounds[i].seq && p->rounds[i].asked_at >= q.since)
			passing |= round_passing(&p->rounds[i], at, test);
	passing &= ~group_bit(p->group, q.endpoint);
	return (uint32_t)__builtin_popcount(passing);
}

static hm_time member_stood_at(const struct proof *p, struct proof_query q,
			       uint64_t term, uint32_t member)
{
	hm_time newest = -1;
	uint32_t i;

	for (i = 0; i < PROOF_ROUNDS; i++) {
		const struct proof_round *r = &p->rounds[i];

		if (r->answered & (1U << member) && r->asked_at >= q.since &&
		    r->asked_at > newest && r->states[member].promised <= term)
			newest = r->asked_at;
	}
	return newest;
}

hm_time proof_stood_at(const struct proof *p, struct proof_query q,
		       uint64_t term, uint32_t needed)
{
	hm_time stood[ENDPOINTS_MAX];
	uint32_t count = 0;
	uint32_t i, j;

	for (i = 0; i < ENDPOINTS_MAX; i++) {
		hm_time at = member_stood_at(p, q, term, i);

		if (at < 0 || group_bit(p->group, q.endpoint) == 1U << i)
			continue;
		for (j = count++; j && stood[j - 1] < at; j--)
			stood[j] = stood[j - 1];
		stood[j] = at;
	}
	if (count < needed)
		return -1;
	return needed ? stood[needed - 1] : HM_NEVER;
}

uint32_t proof_holding(const struct proof *p, struct proof_query q,
		       struct mark at)
{
	return count_passing(p, q, at, holds);
}
