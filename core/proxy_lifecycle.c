/** @file proxy_lifecycle.c Readiness and shutdown of a proxy. */
#include "proxy_state.h"

/*
 * A new process does not report ready for this time, in which it receives the
 * heartbeats of its peers.
 */
#define READY_AFTER (400 * HM_MS)
/* A new process waits this long for a newer configuration of a peer. */
#define CATCH_UP_MAX (3 * HM_SEC)
/* Shortest shutdown: the peers learn of it and take over before the exit. */
#define STOP_MIN (2500 * HM_MS)

bool proxy_stopping(const struct proxy *p)
{
	return p->stop_since != HM_NEVER;
}

/*
 * Whether a peer has a newer configuration in force than this instance.
 * A new process may have read a restored store, whose configuration is older
 * than the one that its peers have in force.
 */
static bool peer_config_is_newer(const struct proxy *p, hm_time now)
{
	const struct peer *peer;
	uint32_t i;

	if (p->was_ready || now - p->started_at >= CATCH_UP_MAX)
		return false;
	for (i = 0; (peer = peers_at(p->peers, i)); i++)
		if (peer->alive && peer->config_version > p->config->version)
			return true;
	return false;
}

static void set_ready(struct proxy *p, hm_time now, struct proxy_output *out)
{
	struct store_version members = { 0 };
	bool ready = p->config && p->members && !proxy_stopping(p) &&
		     (!p->options.evacuation_limit ||
		      evacuation_known(&p->evacuation)) &&
		     !p->partitioned_since &&
		     now - p->started_at >= READY_AFTER &&
		     !peer_config_is_newer(p, now);

	if (ready == p->ready)
		return;
	p->ready = ready;
	p->was_ready |= ready;
	if (p->members)
		members = p->members->at;
	proxy_action(out, PROXY_READY)->ready = ready;
	proxy_log(out, "event=ready ready=%d config=%llu era=%llu members=%llu",
		  ready,
		  (unsigned long long)(p->config ? p->config->version : 0),
		  (unsigned long long)members.era,
		  (unsigned long long)members.revision);
}

/* Whether sessions, statements or transactions are still open here. */
static bool is_busy(const struct proxy *p)
{
	struct pool_load load;
	uint32_t i;

	if (p->session_count)
		return true;
	for (i = 0; i < p->pool_count; i++) {
		pool_load(p->pools[i], &load);
		if (load.queued || load.running || load.transactions)
			return true;
	}
	return false;
}

static void check_stop(struct proxy *p, hm_time now, struct proxy_output *out)
{
	hm_time since = now - p->stop_since;
	uint32_t i;

	if (!proxy_stopping(p) || p->stopped || since < STOP_MIN ||
	    (is_busy(p) && since < p->options.stop_limit + HM_SEC))
		return;
	p->stopped = true;
	for (i = 0; i < p->service_count; i++)
		monitor_stop(p->monitors[i], out);
	for (i = 0; i < p->pool_count; i++)
		pool_close(p->pools[i], now, out);
	proxy_heartbeat(p, now, out);
	proxy_log(out, "event=stop busy=%d", is_busy(p));
	proxy_action(out, PROXY_STOPPED);
}

void lifecycle_check(struct proxy *p, hm_time now, struct proxy_output *out)
{
	set_ready(p, now, out);
	check_stop(p, now, out);
}

void lifecycle_begin_stop(struct proxy *p, hm_time now,
			  struct proxy_output *out)
{
	if (proxy_stopping(p))
		return;
	p->stop_since = now;
	peers_leave(p->peers);
	proxy_log(out, "event=stopping sessions=%u", p->session_count);
	proxy_heartbeat(p, now, out);
	gossip_changed(p, now);
	set_ready(p, now, out);
}
