/** @file partition.c Which peers are heard, and whether that is too few. */
#include "proxy_state.h"

/* Heartbeats come every 300 ms: one and a half, and the way here. */
#define PEER_TELLS (500 * HM_MS)
/* A peer that was heard this lately was on this side before. */
#define PEER_RECENT (5 * HM_SEC)
/* Samples come every 400 ms and take up to a round of 200 ms. */
#define SAMPLE_TELLS (1 * HM_SEC)
/* Whoever is still behind a partition then serves what it can. */
#define PARTITION_MOST (15 * HM_SEC)

struct heard_peers partition_heard(const struct proxy *p, bool other_zones,
				   hm_time now)
{
	const struct core_options *o = &p->options.core;
	struct heard_peers n = { 0 };
	const struct peer *peer;
	uint32_t i;

	for (i = 0; (peer = peers_at(p->peers, i)); i++) {
		if ((other_zones && o->zone_count > 1 &&
		     peer->zone == o->zone) ||
		    peer->announced_exit || now - peer->heard_at > PEER_RECENT)
			continue;
		n.recent++;
		n.now += now - peer->heard_at <= PEER_TELLS;
	}
	return n;
}

bool proxy_is_cut_off(const struct proxy *p, hm_time now)
{
	struct heard_peers n = partition_heard(p, true, now);

	return n.recent && !n.now;
}

static bool hears_few(const struct proxy *p, hm_time now)
{
	struct heard_peers n = partition_heard(p, false, now);

	return n.now * 2 < n.recent;
}

/* Whether half of the services have no primary that is proved. */
static bool lacks_primaries(const struct proxy *p, hm_time now)
{
	uint32_t i, count = 0, lacking = 0;

	for (i = 0; i < p->service_count; i++) {
		const struct service_state *v = p->views[i];

		if (!p->config || !site_service(p->config, v->service))
			continue;
		count++;
		lacking += !v->sample_count ||
			   now - v->samples[v->sample_count - 1].asked_at >
				   SAMPLE_TELLS;
	}
	return count && lacking * 2 >= count;
}

/*
 * Behind a partition with few others an instance proves no primary, and has
 * to refuse what the other side would serve. It then leaves the rotation, so
 * that callers reach others, and goes on to serve those who come.
 */
void partition_check(struct proxy *p, hm_time now, struct proxy_output *out)
{
	bool lacking = lacks_primaries(p, now);

	if (!p->partitioned_since) {
		if (!p->ready || !lacking || !hears_few(p, now))
			return;
		p->partitioned_since = now;
		proxy_log(out, "event=partitioned sessions=%u",
			  p->session_count);
		return;
	}
	if (lacking && now - p->partitioned_since < PARTITION_MOST)
		return;
	proxy_log(out, "event=partition_over lacking=%d lasted_us=%lld",
		  lacking, (long long)(now - p->partitioned_since));
	p->partitioned_since = 0;
}
