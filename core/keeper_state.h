/**
 * @file keeper_state.h
 * Inside of a keeper, shared by keeper.c (questions to members and views) and
 * keeper_change.c (the change of a primary).
 */
#ifndef KEEPER_STATE_H
#define KEEPER_STATE_H

#include "inquiry.h"
#include "keeper.h"
#include "standing.h"

#define WANTS_MAX 64

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
enum asked { ASKED_LEAD, ASKED_LEAD_END, ASKED_STATUS, ASKED_HOLD };

struct kept_member {
	struct site_member spec;
	struct inquiry inquiry;
	hm_time status_at; /**< when its state is asked next */
	bool unlisted;	   /**< its entry is gone, it answers all the same */
	bool up;	   /**< answered the last question, or is being asked */
	bool answered;	   /**< since this instance keeps the service */
	bool leads;	   /**< proved by its last answer */
	uint64_t lead_order;  /**< of the last question whether it leads */
	uint64_t state_order; /**< of the last question of its state */
	struct standing_answer shown;
	bool known; /**< status was heard since the connection is ready */
	struct member_status status;
	struct log_pos lead_at; /**< position at the last proof */
	uint64_t told_held;	/**< hold ordered on this connection, or 0 */
	hm_time held_since;	/**< seen held, outside of a change */
	/* Since the present change began to hold members: */
	uint32_t old_answers;	   /**< due to questions from before it */
	bool fresh_status;	   /**< it told its state */
	bool fresh_lead;	   /**< it proved that it leads */
	struct log_pos first_lead; /**< its log at the first such proof */
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
	uint64_t order;	       /**< among questions, when it was missed */
	struct log_pos needed; /**< position of the primary after its end */
};

#define DEPARTED_MAX 16

struct want {
	uint64_t from;
	uint64_t seq;
	uint64_t order; /**< among wants and questions of this keeper */
};

struct keeper {
	hm_id service;
	char service_name[NAME_BYTES];
	struct keeper_site site;
	bool active;
	bool sync; /**< a commit waits for a replica */
	struct kept_member members[ENDPOINTS_MAX];
	uint32_t member_count;
	struct departed departed[DEPARTED_MAX];
	uint32_t departed_count;
	hm_time ask_at;
	struct want wants[WANTS_MAX];
	uint32_t want_count;
	uint64_t order; /**< counts wants and questions */
	struct {
		uint64_t to;
		struct service_view view;
	} views[WANTS_MAX];
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
	bool call_open; /**< a promote call may be carried out late */
	uint64_t promotions;
};

struct kept_member *kept_find(struct keeper *k, hm_id endpoint);
/** Ends the connection to a member. */
void kept_disconnect(struct kept_member *m, struct proxy_output *out);
/** Forgets members whose entry is gone and that do not answer. */
void kept_drop_unlisted(struct keeper *k, struct proxy_output *out);
/** The member that leads and answers, NULL when there is none. */
struct kept_member *kept_primary(struct keeper *k);
/** Takes a member's answer to the question whether it leads. */
void lead_answered(struct keeper *k, struct kept_member *m,
		   const struct member_reply *r, hm_time now,
		   struct proxy_output *out);
/**
 * It said that it leads: it is the primary, or is told to step down when its
 * state names an older term than the newest one seen.
 */
void lead_take(struct keeper *k, struct kept_member *m, hm_time now,
	       struct proxy_output *out);
/** The primary answered: what it has now is all that departed ones had. */
void departed_lead(struct keeper *k, const struct kept_member *primary);
/** A replica told what it has received. */
void departed_received(struct keeper *k, struct log_pos received);
/** A member's entry is gone and it does not answer. */
void departed_add(struct keeper *k, const struct kept_member *m);
/** It is back, under whatever entry. */
void departed_back(struct keeper *k, hm_id endpoint);
/** Whether one of them may hold commits that the others lack. */
bool departed_matter(const struct keeper *k);
/** Answers the wants for which the primary's position is proved. */
void keeper_answer_proved(struct keeper *k);
/** Answers, without a sample, those for which the proof is overdue. */
void keeper_answer_unproved(struct keeper *k);
/** Tells all instances what is known now. */
void keeper_announce(struct keeper *k);
/** Whether every acknowledged commit is held by a member that answers. */
bool choice_replicas_answer(const struct keeper *k);
/** Members that answer and told their state. */
uint32_t choice_count_up(const struct keeper *k);
/** Furthest replica; at the same position one that stays. */
struct kept_member *choice_furthest(struct keeper *k, bool planned);
/** From here on only answers to new questions count as fresh. */
void kept_forget_answers(struct keeper *k);
/** Whether a member must be held before the target is promoted. */
bool choice_is_held_back(struct keeper *k, const struct kept_member *m);
/** Whether a planned change to the target loses no commit. */
bool choice_planned_is_safe(struct keeper *k);
/** Whether the target has received all that any held replica has. */
bool choice_target_has_all(struct keeper *k);
/** Decides about a change of the primary; call after each event. */
void change_check(struct keeper *k, hm_time now, struct proxy_output *out);
/** Name of a step, for logs. */
const char *change_name(enum change_step step);

#endif
