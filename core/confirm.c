/** @file confirm.c Whether an answered commit may be acknowledged. */
#include "proxy_state.h"

#include <stdlib.h>

/*
 * A promotion elsewhere holds every replica that its keeper knows, so that no
 * commit is answered any more. A replica that has just started in reach of
 * the old primary alone is not known to it, and lets commits through that the
 * new primary lacks. The home of the old primary therefore passes a commit on
 * only while it would hear of such a promotion, and a known replica is there.
 */

/* Views come every 400 ms, and a want may wait for a question of 200 ms. */
#define VIEW_TELLS (700 * HM_MS)

static bool has_replica(const struct service_view *v, hm_id endpoint)
{
	uint32_t i;

	for (i = 0; i < v->count; i++)
		if (v->members[i].endpoint != endpoint && v->members[i].reached)
			return true;
	return false;
}

static const char *doubt(const struct proxy *p, const struct service_state *v,
			 hm_id endpoint, hm_time now)
{
	const struct service_view *latest = &v->latest;
	bool fresh = v->heard_at && now - v->heard_at <= VIEW_TELLS;
	bool in_touch;
	struct heard_peers n;

	if (fresh && latest->replacing)
		return "replacing";
	if (fresh && latest->primary && latest->primary != endpoint)
		return "other_primary";
	if (fresh && latest->primary && has_replica(latest, endpoint))
		return NULL;
	n = partition_heard(p, true, now);
	in_touch = n.now * 2 >= n.recent;
	/* The keeper may be as cut off as this instance is. */
	if (fresh && latest->primary)
		return in_touch && n.now ? NULL : "no_replica";
	/* No keeper, or one that knows nothing yet: it would have to begin. */
	return in_touch ? NULL : "cut_off";
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
	why = doubt(p, v, r->endpoint, now);
	if (!why)
		return;
	r->error = ERR_OUTCOME_UNKNOWN;
	r->execution = EXEC_UNKNOWN;
	free(r->signature);
	r->signature = NULL;
	proxy_log(out,
		  "event=unconfirmed request=%s reason=%s view_age_us=%lld "
		  "term=%llu pos=%llu",
		  r->request, why, (long long)(now - v->heard_at),
		  (unsigned long long)r->at.term,
		  (unsigned long long)r->at.pos);
}
