/** @file partition.c Detects that this instance is in a partition minority. */
#include "proxy_state.h"

/* A peer heard within this time was reachable before the partition. */
#define PEER_RECENT_WITHIN (5 * HM_SEC)
/*
 * A primary whose newest sample is older than this is not confirmed. Samples
 * arrive every 400 ms, after up to 200 ms for a probe.
 */
#define SAMPLE_MAX_AGE (1 * HM_SEC)
/* Longest time out of rotation; then the instance serves what it can. */
#define PARTITION_MAX (15 * HM_SEC)

struct heard_peers partition_count_peers(const struct proxy *p,
					 bool other_zones, hm_time now)
{
	const struct core_options *o = &p->options.core;
	struct heard_peers n = { 0 };
	const struct peer *peer;
	uint32_t i;

	for (i = 0; (peer = peers_at(p->peers, i)); i++) {
		if ((other_zones && o->zone_count > 1 &&
		     peer->zone == o->zone) ||
		    peer->announced_exit ||
		    now - peer->heard_at > PEER_RECENT_WITHIN)
			continue;
		n.recent++;
		n.now += now - peer->heard_at <= p->timing->heard_within;
	}
	return n;
}

bool proxy_zone_isolated(const struct proxy *p, hm_time now)
{
	struct heard_peers n = partition_count_peers(p, true, now);

	return n.recent && !n.now;
}

static bool hears_minority(const struct proxy *p, hm_time now)
{
	struct heard_peers n = partition_count_peers(p, false, now);

	return n.now * 2 < n.recent;
}

/* Whether half of the services or more have no confirmed primary. */
static bool lacks_primaries(const struct proxy *p, hm_time now)
{
	uint32_t i, count = 0, lacking = 0;

	for (i = 0; i < p->service_count; i++) {
		const struct service_state *v = p->views[i];

		if (!p->config || !site_service(p->config, v->service))
			continue;
		count++;
		lacking += !v->sample_count ||
			   now - v->samples[v->sample_count - 1].requested_at >
				   SAMPLE_MAX_AGE;
	}
	return count && lacking * 2 >= count;
}

/*
 * In the minority of a partition an instance cannot confirm any primary, and
 * refuses requests that the other side would serve. It then reports not ready,
 * so that the load balancer sends clients to other instances. It still serves
 * the clients that do connect.
 */
void partition_check(struct proxy *p, hm_time now, struct proxy_output *out)
{
	bool lacking = lacks_primaries(p, now);

	if (!p->partitioned_since) {
		if (!p->ready || !lacking || !hears_minority(p, now))
			return;
		p->partitioned_since = now;
		proxy_log(out, "event=partitioned sessions=%u",
			  p->session_count);
		return;
	}
	if (lacking && now - p->partitioned_since < PARTITION_MAX)
		return;
	proxy_log(out, "event=partition_over lacking=%d lasted_us=%lld",
		  lacking, (long long)(now - p->partitioned_since));
	p->partitioned_since = 0;
}
