/** @file peers_owner.c Ownership of keys among the live instances. */
#include "peers_state.h"

static void add_candidate(const struct peers *p, const struct peer *peer,
			  bool leaving)
{
	owner_choice_add(p->choice, &(struct owner_candidate){
					    .incarnation = peer->incarnation,
					    .instance = peer->instance,
					    .zone = peer->zone,
					    .leaving = leaving,
					    .weighted = peer->features &
							PEER_STATES_CAPACITY,
					    .capacity = peer->capacity });
}

/*
 * Passes the live instances to the choice of owners. What counts as leaving is
 * what an instance announced itself, since the platform's list may differ
 * between the instances that read it.
 */
static void update_candidates(const struct peers *p)
{
	uint32_t i;

	owner_choice_begin(p->choice, p->generation);
	add_candidate(p, &p->self, p->leaving);
	for (i = 0; i < p->count; i++)
		if (p->list[i].peer.alive)
			add_candidate(p, &p->list[i].peer,
				      p->list[i].announced_leaving);
	owner_choice_end(p->choice);
}

uint64_t peers_owner(const struct peers *p, hm_id key, uint16_t zone,
		     bool anywhere)
{
	if (owner_choice_version(p->choice) != p->generation)
		update_candidates(p);
	return owner_choice_find(p->choice, key, zone, anywhere);
}
