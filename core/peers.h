/**
 * @file peers.h
 * Membership: which instances live, from heartbeats first and the platform's
 * lagging list second, and which of them owns what. Ownership is a
 * rendezvous hash, so that a change of one instance moves only its share.
 */
#ifndef PEERS_H
#define PEERS_H

#include "core.h"

struct peers;

/** @a options is borrowed for the life of the peers. */
struct peers *peers_new(const struct core_options *options, hm_time now);
void peers_free(struct peers *p);

/** Any message of a peer proves that its life lives; keeps its sequence. */
void peers_message(struct peers *p, const struct message *m, hm_time now);
void peers_listed(struct peers *p, const struct listed_instance *list,
		  uint32_t count, hm_time now);
/** Drops peers that are long dead; call on every tick. */
void peers_tick(struct peers *p, hm_time now);

/** A peer, as seen from here. */
struct peer {
	uint64_t life;
	hm_id instance;
	uint16_t zone;
	bool alive;   /**< heard within the limit and not stopped */
	bool leaving; /**< told by itself or by the list: route no work there */
	bool gave_up; /**< said itself that it is leaving or has stopped */
	hm_time heard_at;
	uint64_t seq;
	bool minted; /**< when it was heard first, it minted tokens */
	bool platform_ok;
	uint64_t config_version;
	uint64_t config_digest;
};

uint32_t peers_count(const struct peers *p);
/** Peer @a index, in no stated order; this instance is not among them. */
const struct peer *peers_at(const struct peers *p, uint32_t index);
const struct peer *peers_find(const struct peers *p, uint64_t life);
/** Self counts as alive. */
bool peers_alive(const struct peers *p, uint64_t life);
/**
 * A life that stopped, or whose instance lives again under a newer life:
 * messages from it are to be dropped.
 */
bool peers_void(const struct peers *p, uint64_t life);
/** Grows whenever the outcome of peers_owner() may have changed. */
uint64_t peers_generation(const struct peers *p);

/**
 * Owner of @a key among the live instances of @a zone; if that zone has
 * none and @a anywhere, among all live instances. Instances that told their
 * peers that they leave own nothing unless nobody else does; what the list
 * says does not count here, since two readers of it may disagree.
 * @return its life, 0 when there is none.
 */
uint64_t peers_owner(const struct peers *p, hm_id key, uint16_t zone,
		     bool anywhere);

/**
 * No peer of another zone was heard, nor the platform, for the grace. With a
 * single zone configured there is nothing to be cut off from: never true.
 */
bool peers_isolated(const struct peers *p, hm_time now);
/** Tells the peers that the platform answered or failed. */
void peers_platform(struct peers *p, bool ok, hm_time now);
/** This instance is leaving: it owns nothing any more. */
void peers_leave(struct peers *p);

#endif
