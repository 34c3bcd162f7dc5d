/** @file confirm.c Decides whether a commit may be acknowledged. */
#include "proxy_state.h"

#include <stdlib.h>

/*
 * Before a promotion the monitor pauses every replica that it knows, so that
 * the old primary can complete no further commit. The monitor does not know a
 * replica that has just started and that only the old primary can reach. Such a
 * replica acknowledges commits that the new primary lacks. The owner of a
 * primary therefore acknowledges a commit to the client only while it would
 * learn of a promotion, and while the monitor reaches a replica.
 */

/* Views arrive every 400 ms, and a view may wait 200 ms for the next probe. */
#define VIEW_MAX_AGE (700 * HM_MS)

static bool has_replica(const struct service_view *v, hm_id endpoint)
{
	uint32_t i;

	for (i = 0; i < v->count; i++)
		if (v->members[i].endpoint != endpoint && v->members[i].reached)
			return true;
	return false;
}

static const char *unconfirmed_reason(const struct proxy *p,
				      const struct service_state *v,
				      hm_id endpoint, hm_time now)
{
	const struct service_view *latest = &v->latest;
	bool fresh = v->received_at && now - v->received_at <= VIEW_MAX_AGE;
	bool hears_most;
	struct heard_peers n;

	if (fresh && latest->replacing)
		return "replacing";
	if (fresh && latest->primary && latest->primary != endpoint)
		return "other_primary";
	if (fresh && latest->primary && has_replica(latest, endpoint))
		return NULL;
	n = partition_count_peers(p, true, now);
	hears_most = n.now * 2 >= n.recent;
	/* The monitor may be isolated together with this instance. */
	if (fresh && latest->primary)
		return hears_most && n.now ? NULL : "no_replica";
	/*
	 * There is no monitor, or a new one, which must probe before it can
	 * promote.
	 */
	return hears_most ? NULL : "cut_off";
}

void confirm_commit(const struct proxy *p, hm_id service, struct run_result *r,
		    hm_time now, struct proxy_output *out)
{
	const struct service_spec *spec =
		p->config ? site_service(p->config, service) : NULL;
	const struct service_state *v = services_view(p, service);
	const char *why;

	if (p->options.guards_off & PROXY_GUARD_CONFIRM)
		return;
	if (!r->commits || r->error || !v || (spec && !spec->sync_replicas))
		return;
	why = unconfirmed_reason(p, v, r->endpoint, now);
	if (!why)
		return;
	r->error = ERR_OUTCOME_UNKNOWN;
	r->execution = EXEC_UNKNOWN;
	free(r->signature);
	r->signature = NULL;
	proxy_log(out,
		  "event=unconfirmed request=%s reason=%s view_age_us=%lld "
		  "term=%llu pos=%llu",
		  r->request, why, (long long)(now - v->received_at),
		  (unsigned long long)r->at.term,
		  (unsigned long long)r->at.pos);
}
