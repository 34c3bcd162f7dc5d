/** @file confirm.c Decides whether a commit may be acknowledged. */
#include "proxy_state.h"

/* Views arrive every 400 ms, and a view may wait 200 ms for the next probe. */
#define VIEW_MAX_AGE (700 * HM_MS)

/*
 * Voters have the commit, see pool_commit.c. What is known of a
 * change of primary still counts: the former primary must acknowledge nothing
 * once another one leads.
 */
static const char *unconfirmed_reason(const struct service_state *v,
				      hm_id endpoint, hm_time now)
{
	const struct service_view *latest = &v->latest;

	if (!v->received_at || now - v->received_at > VIEW_MAX_AGE)
		return NULL;
	if (latest->replacing)
		return "replacing";
	if (latest->primary && latest->primary != endpoint)
		return "other_primary";
	return NULL;
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
	why = unconfirmed_reason(v, r->endpoint, now);
	if (!why)
		return;
	run_result_unknown(r);
	proxy_log(out,
		  "event=unconfirmed request=%s reason=%s view_age_us=%lld "
		  "term=%llu pos=%llu",
		  r->request, why, (long long)(now - v->received_at),
		  (unsigned long long)r->at.term,
		  (unsigned long long)r->at.pos);
}
