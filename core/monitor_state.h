/**
 * @file monitor_state.h
 * Internals of a monitor, shared by the monitor*.c files only.
 */
#ifndef MONITOR_STATE_H
#define MONITOR_STATE_H

#include "monitor.h"
#include "probe_conn.h"
#include "term_check.h"

/* Bound of unanswered view requests: one of each instance. */
#define VIEW_REQUESTS_MAX 4096

/** Steps of a primary change, in their order. */
enum change_step {
	CHANGE_NONE,
	CHANGE_TOKEN,	       /**< waiting for a fencing token */
	CHANGE_PAUSE_REPLICAS, /**< pausing replicas */
	CHANGE_PROMOTE,	       /**< promote call made, no outcome yet */
	CHANGE_SETTLE,	       /**< call accepted, target not yet primary */
	CHANGE_CANCEL,	  /**< invalidating calls that may take effect late */
	CHANGE_CANCELLED, /**< an earlier call that was accepted may lead */
	CHANGE_STEP_COUNT
};

/**
 * What a pending command of a probe connection is for. PROBE_PRIMARY begins a
 * read-write transaction, which only a primary accepts; PROBE_PRIMARY_END rolls
 * it back. PROBE_CONTROL pauses, resumes or demotes the member.
 */
enum probe_kind {
	PROBE_PRIMARY,
	PROBE_PRIMARY_END,
	PROBE_STATUS,
	PROBE_CONTROL
};

/** A member and what the probes of it have shown. */
struct monitored_member {
	struct site_member spec;
	struct probe_conn probe;
	hm_time next_status_at; /**< when its status is requested next */
	bool unregistered;	/**< no entry in the store, but it replies */
	bool up;		/**< assumed up until a probe fails */
	bool answered;		/**< replied since this monitor started */
	bool writable; /**< its last reply accepted a read-write transaction */
	uint64_t primary_order; /**< number of the last PROBE_PRIMARY */
	uint64_t status_order;	/**< number of the last status request */
	struct term_report reported;
	/** The most that it has shown in this life and under this term. */
	struct log_pos received_most;
	bool has_status; /**< @a status was received on this connection */
	struct member_status status;
	struct log_pos
		primary_pos; /**< log position when it was last writable */
	/** Term in the pause command last sent; 0 if none was sent. */
	uint64_t pause_sent;
	/** When the member was first seen paused; 0 if it is not paused. */
	hm_time paused_since;
	/* Reset when a primary change begins to pause replicas: */
	uint32_t stale_replies; /**< pending replies to earlier commands */
	/**
	 * Paused by the present change, by its last status. One that falls
	 * silent after the promote call is taken to stay paused.
	 */
	bool held;
	bool fresh_status;  /**< a status has been received since */
	bool fresh_primary; /**< its last reply showed that it is writable */
};

/**
 * A voter that does not reply. While it was up, it and the primary may have
 * acknowledged commits that no other member has. That is ruled out once nobody
 * counts it any more, the primary has replied to a later probe and other voters
 * have received the log up to the position in that reply.
 */
struct voter_end {
	hm_time ends_at; /**< when nobody counts it any more, 0: not known */
	uint64_t order;	 /**< monitor.order when that was seen, 0: not yet */
	/**
	 * Log position that other voters must have received, term 0: not known
	 * yet.
	 */
	struct log_pos needed;
};

/** Size of a list of members' names in a log line; further ones are cut off. */
#define MISSING_NAMES_BYTES 256

/** An unanswered request for the monitor's view of the service. */
struct pending_request {
	uint64_t from; /**< instance that gets the view */
	uint64_t seq;
	uint64_t order; /**< monitor.order when the request arrived */
};

/** A view to be sent to an instance, or to all (0). */
struct queued_view {
	uint64_t to;
	struct service_view view;
};

struct monitor {
	hm_id service;
	char service_name[NAME_BYTES];
	struct monitor_deps deps;
	bool active;
	uint32_t sync_replicas; /**< replicas that a commit waits for */
	struct monitored_member members[ENDPOINTS_MAX];
	uint32_t member_count;
	/** The voters, as last read from or written to the store. */
	struct voter_record record;
	struct voter_end ends[VOTERS_MAX]; /**< same index as the voters */
	bool record_read;		   /**< since this monitor started */
	hm_time record_read_at; /**< when it was last read or written */
	bool record_stored;	/**< the store has a record in this era */
	hm_time record_until;	/**< limit of the call in progress, 0: none */
	hm_time record_after;	/**< no call before */
	hm_time record_due_at; /**< when a change is written, 0: there is none */
	hm_time changing_since; /**< when record.changing was first seen */
	uint64_t unused_token; /**< the only one since a change ended, unused */
	uint64_t ended_token;  /**< token of the last change that ended here */
	hm_time next_probe_at;
	struct pending_request *requests;
	uint32_t request_count;
	uint32_t request_capacity;
	/**
	 * Logical clock: counts probes, view requests, ends of voters and
	 * restarts of members.
	 */
	uint64_t order;
	struct queued_view *views;
	uint32_t view_first;
	uint32_t view_count;
	uint32_t view_capacity;
	uint64_t term; /**< newest term seen */
	hm_id primary; /**< last known primary */
	/* primary change */
	enum change_step step;
	hm_time step_until;
	hm_time retry_at;
	bool planned;
	hm_id target;
	uint64_t target_started; /**< life for which the call was made */
	uint64_t token;
	uint64_t pause_term;
	bool cancel_due; /**< a call that was given up is to be cancelled */
	/** A promote call, also another monitor's, may still take effect. */
	bool call_pending;
	/** When the call is given up; 0: as few voters are loose as must be. */
	hm_time give_up_at;
	uint64_t promotions;
	uint32_t missing_logged; /**< missing logs in the last log line */
};

/** Raises the newest term seen. */
void monitor_raise_term(struct monitor *k, uint64_t term);
struct monitored_member *monitor_find(const struct monitor *k, hm_id endpoint);
/** Closes the probe connection to a member. */
void monitor_disconnect(struct monitored_member *m, struct proxy_output *out);
/** Removes members that have no entry in the store and do not reply. */
void monitor_drop_unregistered(struct monitor *k, struct proxy_output *out);
/** The current primary that replies to probes, NULL if there is none. */
struct monitored_member *monitor_primary(struct monitor *k);
/** Handles the reply @a r of a member to PROBE_PRIMARY. */
void primary_probed(struct monitor *k, struct monitored_member *m,
		    const struct member_reply *r, hm_time now,
		    struct proxy_output *out);
/**
 * Handles a member that is writable: it becomes the primary, or is ordered to
 * step down if its status shows an older term than the newest one seen.
 */
void primary_observed(struct monitor *k, struct monitored_member *m,
		      hm_time now, struct proxy_output *out);
/** Orders the current primary to become a replica. */
void primary_retire(struct monitor *k, struct monitored_member *primary,
		    hm_time now, struct proxy_output *out);
/**
 * Records the primary's position for voters that had ended before the probe was
 * sent: the primary's log up to there has all that they had received.
 */
void voters_note_primary(struct monitor *k,
			 const struct monitored_member *primary);
bool monitor_is_voter(const struct monitor *k,
		      const struct monitored_member *m);
/** Whether no member that replies has the log of a voter. */
bool voter_is_missing(const struct monitor *k, uint32_t index);
/** Number of voters for which that holds. */
uint32_t voters_missing(const struct monitor *k);
/**
 * Whether a voter may confirm commits that the target of the present change
 * lacks: it is neither the target nor paused by the change.
 */
bool voter_is_loose(const struct monitor *k, uint32_t index);
/** Number of loose voters. */
uint32_t voters_loose(const struct monitor *k);
/** Whether a member that replies has lost the log that it had. */
bool voter_has_lost_log(const struct monitor *k,
			const struct monitored_member *m);
/** Whether the service has had a commit, as far as is known. */
bool voters_committed(const struct monitor *k);
/** Notes which voters nobody counts any more. */
void voters_note_ends(struct monitor *k, hm_time now);
/** Whether an ended voter may be removed: others have what it had. */
bool voter_is_replaced(struct monitor *k, uint32_t index);
/** Number of voters that are no registered member and may have commits. */
uint32_t voters_unmonitored(struct monitor *k);
/** Forgets what was read before, since others may have changed the record. */
void record_forget(struct monitor *k, hm_time now);
/** Reads the record, or writes it when the voters have changed. */
void record_tick(struct monitor *k, hm_time now, struct proxy_output *out);
/** Puts the record in force that the store has. */
void record_take(struct monitor *k, const struct voter_record *record,
		 hm_time now, struct proxy_output *out);
/** Requests a token; the record says from then on that a change runs. */
void record_request_token(struct monitor *k, struct proxy_output *out);
/** The change that took the token makes no promote call. */
void record_token_unused(struct monitor *k);
/** The change that took the token has ended: voters may be added again. */
void record_change_ended(struct monitor *k, hm_time now);
/** Whether a change of a monitor that no longer runs prevents new voters. */
bool record_change_is_orphaned(const struct monitor *k, hm_time limit,
			       hm_time now);
/** Appends an action for the service with a copy of the record, if not NULL. */
struct proxy_action *monitor_duty(const struct monitor *k,
				  enum proxy_action_kind kind,
				  const struct voter_record *record,
				  struct proxy_output *out);
/** Appends a name to a list that is separated by commas. */
void monitor_list_name(char *list, size_t size, const char *name);
/**
 * Answers the view requests that arrived before a probe whose reply shows a
 * position of the primary, if no later term had acknowledged a commit when that
 * probe was sent. The views contain this position as a sample.
 */
void monitor_send_confirmed(struct monitor *k);
/**
 * Answers the remaining view requests that arrived before the primary's newest
 * probe, or all if there is no primary. The views contain no sample, because
 * the primary's position was not confirmed in time.
 */
void monitor_send_unconfirmed(struct monitor *k);
/** Sends the current view to all instances. */
void monitor_broadcast_view(struct monitor *k);
/** Whether each member that replies has shown that it is a replica. */
bool choice_sees_only_replicas(const struct monitor *k);
/**
 * Whether no member can have acknowledged a commit as the primary of a later
 * term than the primary that is known.
 */
bool choice_sees_newest_primary(struct monitor *k);
/** Whether members that reply have every acknowledged commit. */
bool choice_sees_all_commits(const struct monitor *k);
/** Logs, when this has changed, which members a change waits for. */
void choice_log_wait(struct monitor *k, struct proxy_output *out);
/** Number of members that reply and whose status is known. */
uint32_t choice_reachable_count(const struct monitor *k);
/**
 * The replying replica that has received the most log; at equal positions one
 * that is not leaving, then the one of the lowest identity. With @a planned (a switchover), leaving, unregistered
 * and paused replicas are left out. NULL if there is none.
 */
struct monitored_member *choice_most_advanced(struct monitor *k, bool planned);
/**
 * Makes all earlier replies stale: from now on only replies to commands sent
 * later set fresh_status and fresh_primary.
 */
void monitor_discard_replies(struct monitor *k);
/**
 * Whether a member must be paused before the target is promoted: in a failover
 * every member that is up; in a switchover the same but for the target and the
 * primary.
 */
bool choice_must_pause(struct monitor *k, const struct monitored_member *m);
/**
 * Whether a failover would lose nothing that the primary has if that became a
 * replica now: the target of a switchover has received it all.
 */
bool choice_may_retire(struct monitor *k);
/** Whether a switchover can begin: it has a target, and may pause the others. */
bool choice_may_switch(struct monitor *k);
/** Whether no commit can be confirmed without the target or a paused voter. */
bool choice_is_held(const struct monitor *k);
/**
 * Whether the target has, or will receive, every commit that is acknowledged
 * until a promote call takes effect, once the replicas are paused.
 */
bool choice_is_safe(struct monitor *k);
/** Starts or continues a primary change; call after each event. */
void change_check(struct monitor *k, hm_time now, struct proxy_output *out);
/** Whether a promote call of the present change may still take effect. */
bool change_is_called(const struct monitor *k);
/** Name of a step for log lines. */
const char *change_name(enum change_step step);
void change_enter(struct monitor *k, enum change_step step, hm_time until,
		  struct proxy_output *out);
/**
 * Ends a change whose promote call may still take effect: another one takes a
 * newer token, to invalidate the call.
 */
void change_give_up(struct monitor *k, hm_time now, struct proxy_output *out);
/** Ends a change after which no promote call can take effect. */
void change_finish(struct monitor *k, hm_time now, struct proxy_output *out);
/** Ends a change without knowing that; the next one begins a while later. */
void change_stop(struct monitor *k, hm_time now);
/** Whether the target is the primary, as far as is known. */
bool change_target_leads(struct monitor *k);
/** Logs and makes, or repeats, the promote call of the change. */
void change_promote(struct monitor *k, const struct monitored_member *target,
		    hm_time now, struct proxy_output *out);
/** Makes a promote call with the change's token, and nothing else. */
void change_call(struct monitor *k, const struct monitored_member *m,
		 struct proxy_output *out);
/**
 * Continues a change whose promote call was made or accepted: waits until the
 * target is primary.
 */
void change_await(struct monitor *k, hm_time now, struct proxy_output *out);
/** Ends a change that was cancelled, once no earlier call can take effect. */
void change_confirm_cancel(struct monitor *k, hm_time now,
			   struct proxy_output *out);

#endif
