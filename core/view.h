/**
 * @file view.h
 * Views of a service. The monitor of a service probes all members at regular
 * intervals and answers view requests of other instances. A view contains a
 * sample: the log position of the confirmed primary, from a probe that the
 * monitor sent after the view request arrived. The sample therefore covers
 * every commit that was acknowledged before the view request was sent, by
 * the clock of the requesting instance.
 */
#ifndef VIEW_H
#define VIEW_H

#include "voters.h"

#define VIEW_SAMPLES 24

/** Request for a view, sent to the monitor of a service. */
struct view_request {
	hm_id service;
	uint64_t seq; /**< number at the requesting instance, increasing */
};

/** State of a member, as last seen by the monitor. */
struct member_view {
	hm_id endpoint;
	bool up;      /**< no probe of it has failed since its last reply */
	bool reached; /**< it has replied to a probe, and is still connected */
	bool primary;
	struct log_pos at; /**< end of its log */
	/** The member receives no log of lower terms; 0: not paused. */
	uint64_t paused_term;
};

/** State of a service, as seen by its monitor. */
struct service_view {
	hm_id service;
	uint64_t seq;  /**< view request that the sample answers */
	hm_id primary; /**< current primary, 0 for none */
	uint64_t term; /**< newest term seen */
	/** Log position of the confirmed primary; term 0: none. */
	struct log_pos sample;
	/** Primary being replaced: replicas paused, no commit acknowledged. */
	bool replacing;
	uint32_t count;
	struct member_view members[ENDPOINTS_MAX];
	/** Whether @a voters is set; builds without a record leave it out. */
	bool states_voters;
	struct voters voters;
	/** The record of @a voters says that the service had a commit. */
	bool committed;
};

/**
 * A sample of the primary's log position, and the local time at which the view
 * request that it answers was sent.
 */
struct view_sample {
	hm_time requested_at;
	struct log_pos at;
};

/** Latest view and samples of one service at one instance. */
struct service_state {
	hm_id service;
	struct service_view latest;
	hm_time received_at;  /**< when @a latest arrived, 0: none yet */
	struct voters voters; /**< the newest that a view has stated */
	bool committed;	      /**< the same view said so */
	/** Time up to which the list of members is known to be current. */
	hm_time members_current_at;
	/** When the store was read last without a change of that list. */
	hm_time members_read_at;
	struct view_sample samples[VIEW_SAMPLES]; /**< oldest first */
	uint32_t sample_count;
	uint64_t seq;	      /**< number of the newest view request */
	hm_time requested_at; /**< when that request was sent */
	bool waiting;	      /**< that request is unanswered */
};

/**
 * Stores a view from the monitor, unless its term is older than that of a view
 * received before.
 */
void view_update(struct service_state *v, const struct service_view *from,
		 hm_time now);
/**
 * Finds the log position that a member must have reached so that a read at
 * @a now sees every commit that was acknowledged more than @a max_age ago.
 * @return false when no sample is recent enough
 */
bool view_min_position(const struct service_state *v, hm_time max_age,
		       hm_time now, struct log_pos *out);
const struct member_view *view_member(const struct service_state *v,
				      hm_id endpoint);

#endif
