/**
 * @file monitor.h
 * Monitor of a service. One instance runs it: it probes all members of the
 * service periodically, sends its view of them to the other instances, and
 * replaces the primary by a failover or a switchover.
 *
 * A commit is acknowledged once one replica has received it, and as many
 * voters (voters.h) as that makes. Before a promotion the monitor takes a token
 * and with it the recorded voters, and pauses all replicas but the target: a
 * paused replica receives no log, so it acknowledges no more commits. The
 * target must have received everything that each paused replica has, and no
 * more voters may be loose, that is neither paused nor the target, than
 * replicas that a commit waits for. The primary of a switchover is loose. The
 * target therefore has, or receives, every commit that is acknowledged until the
 * promote call takes effect, which may be seconds later. The monitor gives the
 * call up if it sees that this no longer holds (monitor_call.c). It also keeps
 * the record of voters up to date (monitor_record.c). Paused replicas are
 * resumed only when no promote call can take effect late: after the new primary
 * was seen, or after a newer fencing token was used.
 *
 * A replaced primary may continue to accept writes until it is ordered to step
 * down. The primary is therefore the member that is primary under the newest
 * term seen; the monitor orders every other one to step down. The position of
 * the primary becomes a sample (a position from which the age of a replica's
 * data is computed) only if no other member shows a later term.
 */
#ifndef MONITOR_H
#define MONITOR_H

#include "proxy.h"
#include "view.h"

struct monitor;

/** Dependencies of a monitor; they must outlive it. */
struct monitor_deps {
	const struct proxy_options *options;
	uint64_t *next_conn;
	/** When the list of registered members can be taken as complete. */
	const hm_time *settled_at;
	const uint64_t *store_era; /**< newest known era of the store */
	/** Time up to which the list of members is known to be current. */
	const hm_time *members_current_at;
};

struct monitor *monitor_new(hm_id service, struct monitor_deps deps);
/** Closes no connections: call monitor_stop() first. */
void monitor_free(struct monitor *k);
/** This instance starts or stops monitoring the service. */
void monitor_start(struct monitor *k, hm_time now, struct proxy_output *out);
void monitor_stop(struct monitor *k, struct proxy_output *out);
/**
 * Takes over the registered members of the service from the site's list. A
 * member that is no longer listed counts as long as it replies to probes.
 */
void monitor_set_members(struct monitor *k, const struct site_members *members,
			 hm_time now, struct proxy_output *out);
/** Sets the number of replicas that a commit waits for; the default is 1. */
void monitor_set_sync_replicas(struct monitor *k, uint32_t count);
/**
 * Requests a view, that is the monitor's knowledge of the service, for instance
 * @a from; @a seq is the number of the request. monitor_next_view() returns the
 * view later.
 */
void monitor_request_view(struct monitor *k, uint64_t from, uint64_t seq);

/** Whether @a conn is a probe connection of this monitor. */
bool monitor_owns_conn(const struct monitor *k, uint64_t conn);
void monitor_conn_ready(struct monitor *k, uint64_t conn, hm_time now,
			struct proxy_output *out);
void monitor_replied(struct monitor *k, uint64_t conn,
		     const struct member_reply *reply, hm_time now,
		     struct proxy_output *out);
void monitor_conn_closed(struct monitor *k, uint64_t conn, enum error error,
			 hm_time now, struct proxy_output *out);
/**
 * Handles the result of PROXY_TAKE_TOKEN.
 * @param token the fencing token that was taken, or 0 if none could be taken
 * @param record the voters recorded with it, NULL if they are not known
 */
void monitor_token_taken(struct monitor *k, uint64_t token,
			 const struct voter_record *record, hm_time now,
			 struct proxy_output *out);
/**
 * Handles the result of PROXY_RECORD_VOTERS.
 * @param record as it is in the store, NULL if the store did not tell
 */
void monitor_voters_recorded(struct monitor *k,
			     const struct voter_record *record, hm_time now,
			     struct proxy_output *out);
/** Handles the result of the PROXY_PROMOTE call made with @a token. */
void monitor_promote_result(struct monitor *k, uint64_t token,
			    enum promote_outcome outcome, hm_time now,
			    struct proxy_output *out);
void monitor_tick(struct monitor *k, hm_time now, struct proxy_output *out);

/**
 * Takes the next view to send: *to is the instance that gets it, 0 for all
 * instances. Returns false when there is none to send.
 */
bool monitor_next_view(struct monitor *k, uint64_t *to,
		       struct service_view *view);
/** Number of promotions that this monitor completed. */
uint64_t monitor_promotions(const struct monitor *k);

#endif
