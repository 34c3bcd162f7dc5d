/**
 * @file monitor_state.h
 * Inside of a keeper, shared by monitor.c (questions to members and views) and
 * monitor_change.c (the change of a primary).
 */
#ifndef KEEPER_STATE_H
#define KEEPER_STATE_H

#include "monitor.h"
#include "probe_conn.h"
#include "term_check.h"

#define VIEW_REQUESTS_MAX 64

/** Steps of a change of the primary, in their order. */
enum change_step {
	CHANGE_NONE,
	CHANGE_TOKEN,	/**< waits for a fencing token */
	CHANGE_HOLD,	/**< replicas are being held */
	CHANGE_PROMOTE, /**< the call is out */
	CHANGE_SETTLE,	/**< accepted; the target does not lead yet */
	CHANGE_CANCEL,	/**< voids calls that may be carried out late */
	CHANGE_STEP_COUNT
};

/** A question on a member's connection, answered in order. */
enum probe_kind {
	PROBE_PRIMARY,
	PROBE_PRIMARY_END,
	PROBE_STATUS,
	PROBE_CONTROL
};

struct monitored_member {
	struct site_member spec;
	struct probe_conn probe;
	hm_time next_status_at; /**< when its state is asked next */
	bool unregistered; /**< its entry is gone, it answers all the same */
	bool up;	   /**< answered the last question, or is being asked */
	bool answered;	   /**< since this instance keeps the service */
	bool writable;	   /**< proved by its last answer */
	uint64_t primary_order; /**< of the last question whether it leads */
	uint64_t status_order;	/**< of the last question of its state */
	struct term_report reported;
	bool has_status; /**< status was heard since the connection is ready */
	struct member_status status;
	struct mark primary_pos; /**< position at the last proof */
	uint64_t hold_sent;	 /**< hold ordered on this connection, or 0 */
	hm_time held_since;	 /**< seen held, outside of a change */
	/* Since the present change began to hold members: */
	uint32_t stale_replies;	       /**< due to questions from before it */
	bool fresh_status;	       /**< it told its state */
	bool fresh_primary;	       /**< it proved that it leads */
	struct mark first_primary_pos; /**< its log at the first such proof */
};

/**
 * A member that is gone. With the primary it may have acknowledged commits
 * that nobody else has, until the primary was heard after its end and another
 * replica has received what the primary had then.
 */
struct departed {
	hm_id endpoint;
	char name[NAME_BYTES];
	bool was_primary;
	uint64_t order;	    /**< among questions, when it was missed */
	struct mark needed; /**< position of the primary after its end */
};

#define DEPARTED_MAX 16

struct view_request {
	uint64_t from;
	uint64_t seq;
	uint64_t order; /**< among wants and questions of this keeper */
};

struct monitor {
	hm_id service;
	char service_name[NAME_BYTES];
	struct monitor_deps deps;
	bool active;
	bool sync; /**< a commit waits for a replica */
	struct monitored_member members[ENDPOINTS_MAX];
	uint32_t member_count;
	struct departed departed[DEPARTED_MAX];
	uint32_t departed_count;
	hm_time next_probe_at;
	struct view_request requests[VIEW_REQUESTS_MAX];
	uint32_t request_count;
	uint64_t order; /**< counts wants and questions */
	struct {
		uint64_t to;
		struct service_view view;
	} views[VIEW_REQUESTS_MAX];
	uint32_t view_first;
	uint32_t view_count;
	uint64_t term; /**< newest one seen */
	hm_id primary; /**< last one that led */
	/* change of the primary */
	enum change_step step;
	hm_time step_until;
	hm_time retry_at;
	bool planned;
	hm_id target;
	uint64_t token;
	uint64_t hold_term;
	bool call_pending; /**< a promote call may be carried out late */
	uint64_t promotions;
};

struct monitored_member *monitor_find(struct monitor *k, hm_id endpoint);
/** Ends the connection to a member. */
void monitor_disconnect(struct monitored_member *m, struct proxy_output *out);
/** Forgets members whose entry is gone and that do not answer. */
void monitor_drop_unregistered(struct monitor *k, struct proxy_output *out);
/** The member that leads and answers, NULL when there is none. */
struct monitored_member *monitor_primary(struct monitor *k);
/** Takes a member's answer to the question whether it leads. */
void primary_probed(struct monitor *k, struct monitored_member *m,
		    const struct member_reply *r, hm_time now,
		    struct proxy_output *out);
/**
 * It said that it leads: it is the primary, or is told to step down when its
 * state names an older term than the newest one seen.
 */
void primary_observed(struct monitor *k, struct monitored_member *m,
		      hm_time now, struct proxy_output *out);
/** The primary answered: what it has now is all that departed ones had. */
void departed_note_primary(struct monitor *k,
			   const struct monitored_member *primary);
/** A replica told what it has received. */
void departed_note_received(struct monitor *k, struct mark received);
/** A member's entry is gone and it does not answer. */
void departed_add(struct monitor *k, const struct monitored_member *m);
/** It is back, under whatever entry. */
void departed_remove(struct monitor *k, hm_id endpoint);
/** Whether one of them may hold commits that the others lack. */
bool departed_block_promotion(const struct monitor *k);
/** Answers the wants for which the primary's position is proved. */
void monitor_send_confirmed(struct monitor *k);
/** Answers, without a sample, those for which the proof is overdue. */
void monitor_send_unconfirmed(struct monitor *k);
/** Tells all instances what is known now. */
void monitor_broadcast_view(struct monitor *k);
/** Whether every acknowledged commit is held by a member that answers. */
bool choice_sees_all_commits(const struct monitor *k);
/** Members that answer and told their state. */
uint32_t choice_reachable_count(const struct monitor *k);
/** Furthest replica; at the same position one that stays. */
struct monitored_member *choice_most_advanced(struct monitor *k, bool planned);
/** From here on only answers to new questions count as fresh. */
void monitor_forget_replies(struct monitor *k);
/** Whether a member must be held before the target is promoted. */
bool choice_must_hold(struct monitor *k, const struct monitored_member *m);
/** Whether a planned change to the target loses no commit. */
bool choice_switchover_is_safe(struct monitor *k);
/** Whether the target has received all that any held replica has. */
bool choice_target_has_all(struct monitor *k);
/** Decides about a change of the primary; call after each event. */
void change_check(struct monitor *k, hm_time now, struct proxy_output *out);
/** Name of a step, for logs. */
const char *change_name(enum change_step step);

#endif
