/**
 * @file view.h
 * What is known of a service: its keeper asks all members at a steady pace
 * and answers whoever wants to know. A view holds a sample: the position of
 * the primary, proved by an answer to a question that was sent after the
 * want arrived. On the asker's own clock the sample therefore covers all
 * that was acknowledged before the want was sent.
 */
#ifndef VIEW_H
#define VIEW_H

#include "types.h"

#define VIEW_SAMPLES 24

/** Asks the keeper of a service. */
struct view_want {
	hm_id service;
	uint64_t seq; /**< of the asker, grows */
};

/** A member as its keeper saw it last. */
struct member_view {
	hm_id endpoint;
	bool up;      /**< it answers, or was not asked in vain yet */
	bool reached; /**< it answered its keeper, and was not lost since */
	bool primary;
	struct log_pos at; /**< end of its log */
	uint64_t held;	   /**< term under which it receives nothing, or 0 */
};

/** A service as its keeper sees it. */
struct service_view {
	hm_id service;
	uint64_t seq;	       /**< of the want that the sample answers */
	hm_id primary;	       /**< leads, 0 for none */
	uint64_t term;	       /**< newest one seen */
	struct log_pos sample; /**< term 0 for none */
	bool replacing;	       /**< replicas are held, no commit is answered */
	uint32_t count;
	struct member_view members[ENDPOINTS_MAX];
};

/** A position of the primary and when it was asked for, local time. */
struct view_sample {
	hm_time asked_at;
	struct log_pos at;
};

/** Views of one service at one instance. */
struct service_state {
	hm_id service;
	struct service_view latest;
	hm_time heard_at;			  /**< 0: never */
	struct view_sample samples[VIEW_SAMPLES]; /**< oldest first */
	uint32_t sample_count;
	uint64_t seq;	  /**< of the newest want */
	hm_time asked_at; /**< when it was sent */
	bool waiting;	  /**< for its answer */
};

/** Takes a view that the keeper sent; what is older than known is left. */
void view_take(struct service_state *v, const struct service_view *from,
	       hm_time now);
/**
 * Position that a log must hold so that a read at @a now misses nothing that
 * was acknowledged more than @a max_age before.
 * @return false when no sample is young enough
 */
bool view_floor(const struct service_state *v, hm_time max_age, hm_time now,
		struct log_pos *out);
const struct member_view *view_member(const struct service_state *v,
				      hm_id endpoint);

#endif
