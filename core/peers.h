/**
 * @file peers.h
 * Membership of the other instances, and ownership of keys. Heartbeats decide
 * which instances are alive; the platform's list, which lags behind, only adds
 * which of them are leaving. The owner of a key is chosen by owner_choice.h.
 */
#ifndef PEERS_H
#define PEERS_H

#include "core.h"

struct peers;

/** @a options must stay valid until peers_free(). */
struct peers *peers_new(const struct core_options *options, hm_time now);
void peers_free(struct peers *p);

/**
 * Handles a message of a peer, which shows that its incarnation is alive.
 * Messages with a sequence number not above the last one are ignored.
 */
void peers_message(struct peers *p, const struct message *m, hm_time now);
/** What an instance lacks after it took news of a peer. */
enum news_outcome {
	NEWS_TAKEN,
	NEWS_ADDED,	/**< the peer was not known before */
	NEWS_LACKS_FULL /**< its state has changed, full news are needed */
};

/** Takes news of a peer that another one has sent. */
enum news_outcome peers_news(struct peers *p, const struct peer_news *n,
			     hm_time now);
/** Takes the platform's list of instances, for the leaving flag only. */
void peers_listed(struct peers *p, const struct listed_instance *list,
		  uint32_t count, hm_time now);
/**
 * Marks peers dead from which no message arrived for peer_silent, and removes
 * those that have been dead for long. Call on every tick.
 */
void peers_tick(struct peers *p, hm_time now);

/** State of a peer as this instance knows it. */
struct peer {
	uint64_t incarnation;
	hm_id instance;
	uint16_t zone;
	bool alive;   /**< heard within peer_silent and not stopped */
	bool leaving; /**< by its heartbeat or the list: send it no work */
	bool announced_exit; /**< its heartbeat announced leaving or stopped */
	hm_time heard_at;
	uint64_t seq;
	bool issued_tokens; /**< it already issued tokens when first heard */
	bool issues_tokens; /**< it does so now */
	bool platform_ok;
	uint64_t config_version;
	uint64_t config_digest;
	uint32_t state_version;
	uint64_t features; /**< enum peer_feature; 0 until its heartbeat */
	struct capacity capacity;
	char address[ADDRESS_BYTES];
};

uint32_t peers_count(const struct peers *p);
/**
 * Returns the peer with @a index. The order is arbitrary, and this instance is
 * not included.
 */
const struct peer *peers_at(const struct peers *p, uint32_t index);
const struct peer *peers_find(const struct peers *p, uint64_t incarnation);
/** Whether an incarnation is alive; that of this instance always is. */
bool peers_alive(const struct peers *p, uint64_t incarnation);
/**
 * Whether an incarnation has stopped, or a newer incarnation of the same
 * instance is alive. Messages from it are to be dropped.
 */
bool peers_obsolete(const struct peers *p, uint64_t incarnation);
/** Instances of the own zone that may run, see peers_count_zone(). */
struct zone_reach {
	uint32_t reached; /**< this one and those heard, unless they leave */
	uint32_t silent;  /**< not heard, and neither stopped nor replaced */
};

/**
 * Counts the instances of this zone. Nothing tells a silent one that has failed
 * from one that runs and is cut off, until it announced its exit, a newer
 * incarnation of it is heard, or it is removed.
 */
struct zone_reach peers_count_zone(const struct peers *p);
/** Counter that grows whenever the result of peers_owner() may have changed. */
uint64_t peers_generation(const struct peers *p);

/**
 * Finds the owner of @a key among the live instances of @a zone; when that zone
 * has none and @a anywhere is set, among all live instances. An instance whose
 * heartbeat says that it is leaving is the owner only when no other instance
 * can be. The platform's list is ignored, since two instances may have read
 * different versions of it.
 * @return the incarnation of the owner, 0 when there is none
 */
uint64_t peers_owner(const struct peers *p, hm_id key, uint16_t zone,
		     bool anywhere);

/**
 * Whether for isolated_grace neither the platform answered nor a message of a
 * peer in another zone arrived. Always false when only one zone is configured,
 * since there is no other zone to lose contact with.
 */
bool peers_isolated(const struct peers *p, hm_time now);
/** Records that the platform answered, or failed to. */
void peers_platform(struct peers *p, bool ok, hm_time now);
/**
 * Marks this instance as leaving: it is the owner of a key only when no other
 * instance can be.
 */
void peers_leave(struct peers *p);
/**
 * States the capacity of this instance. Without it this instance chooses no
 * owners of its zone by capacity.
 */
void peers_own_capacity(struct peers *p, const struct capacity *k);

#endif
