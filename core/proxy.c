/** @file proxy.c Dispatches events to the modules of a proxy. */
#include "proxy_state.h"

#include <stdlib.h>
#include <string.h>

/*
 * Token reserves cost calls to the store, and what is learned of members sends
 * some statements across zones: both are for deployments that ask for them.
 */
struct scheduling_options scheduling_default(void)
{
	return (struct scheduling_options){ .priority_tokens = true,
					    .priority_queue = true,
					    .connection_queue = true,
					    .load_levels = true,
					    .owner_capacity = true,
					    .restart_pace = true };
}

void proxy_options_default(struct proxy_options *o)
{
	memset(o, 0, sizeof(*o));
	core_options_default(&o->core);
	o->core.heartbeat_every = 300 * HM_MS;
	o->core.peer_silent = gossip_small_fleet()->peer_silent;
	/*
	 * Within one heartbeat the peers know of a new process and no longer
	 * issue the rate tokens that it now owns.
	 */
	o->core.start_wait = 500 * HM_MS;
	o->drain_limit = 5 * HM_SEC;
	o->stop_limit = 3 * HM_SEC;
	o->connect_limit = 400 * HM_MS;
	o->settle_time = 3 * HM_SEC;
	o->member_probe_every = 200 * HM_MS;
	o->status_every = 3 * HM_SEC;
	o->member_probe_limit = 400 * HM_MS;
	o->view_every = 400 * HM_MS;
	o->scheduling = scheduling_default();
}

struct proxy *proxy_new(const struct proxy_options *options, hm_time now)
{
	struct proxy *p = calloc(1, sizeof(*p));

	if (!p)
		return NULL;
	p->options = *options;
	p->timing = gossip_small_fleet();
	p->rng.state = options->core.seed;
	p->started_at = now;
	p->stop_since = HM_NEVER;
	p->peers = peers_new(&p->options.core, now);
	if (p->peers && options->scheduling.owner_capacity)
		peers_own_capacity(p->peers, &p->options.capacity);
	p->rate = rate_new(&p->options.core, p->peers, now);
	if (options->scheduling.token_reserve)
		p->reserve = token_reserve_new(&p->options.core, p->rate,
					       p->peers, now);
	p->admit = admit_new(p->rate);
	p->budget = budget_new(rng_next(&p->rng));
	p->scarcity = scarcity_new();
	p->service_returns = return_order_new();
	p->account_returns = return_order_new();
	p->contracts = contracts_new();
	if (!p->peers || !p->rate || !p->admit || !p->budget || !p->contracts ||
	    !p->service_returns || !p->account_returns) {
		proxy_free(p);
		return NULL;
	}
	return p;
}

void proxy_free(struct proxy *p)
{
	uint32_t i;

	if (!p)
		return;
	for (i = 0; i < p->inbox_count; i++)
		message_clear(&p->inbox[i]);
	free(p->inbox);
	sessions_free(p);
	services_free(p);
	contracts_free(p->contracts);
	budget_free(p->budget);
	scarcity_free(p->scarcity);
	return_order_free(p->service_returns);
	return_order_free(p->account_returns);
	admit_free(p->admit);
	token_reserve_free(p->reserve);
	rate_free(p->rate);
	peers_free(p->peers);
	table_free(&p->logged_peers);
	free(p);
}

uint64_t proxy_store_era(const struct proxy *p)
{
	return p->store_era;
}

/* Raises the version of what full news of this instance contain. */
static void update_state_version(struct proxy *p, const struct heartbeat *h)
{
	uint32_t bits = 1u | (uint32_t)h->leaving << 1 |
			(uint32_t)h->stopped << 2 |
			(uint32_t)h->platform_ok << 3 |
			(uint32_t)h->issues_tokens << 4 |
			(uint32_t)p->options.capacity.busy << 5;

	if (bits == p->gossip.state_bits)
		return;
	p->gossip.state_bits = bits;
	p->gossip.state_version++;
}

void proxy_fill_heartbeat(struct proxy *p, struct heartbeat *h, hm_time now)
{
	h->instance = p->options.core.instance;
	h->zone = p->options.core.zone;
	h->leaving = proxy_stopping(p);
	h->stopped = p->stopped;
	h->platform_ok = p->store_ok;
	h->config_version = p->config ? p->config->version : 0;
	h->config_entries = config_entries(p->config);
	h->store_read_ago = now - p->store_read_at;
	h->store_reads = p->store_reads;
	h->issues_tokens = rate_may_issue(p->rate, now);
	h->store_era = p->store_era;
	if (p->members)
		h->members = p->members->at;
	h->evacuation = evacuation_report(&p->evacuation, now);
	update_state_version(p, h);
	h->state_version = p->gossip.state_version;
	memcpy(h->address, p->options.core.address, sizeof(h->address));
	h->features =
		p->options.scheduling.token_reserve ? PEER_FEATURE_RESERVES : 0;
	if (!p->options.scheduling.owner_capacity)
		return;
	h->features |= PEER_STATES_CAPACITY;
	h->capacity = p->options.capacity;
}

void proxy_heartbeat(struct proxy *p, hm_time now, struct proxy_output *out)
{
	struct message *m = actions_send(&out->peers, 0, MSG_HEARTBEAT);

	p->heartbeat_at = now + gossip_heartbeat_every(p);
	proxy_fill_heartbeat(p, &m->heartbeat, now);
}

/* State of a peer that was logged last. */
enum logged_peer { LOGGED_DEAD = 1, LOGGED_ALIVE, LOGGED_LEAVING };

/* Logs a change of a peer's state once. */
static void log_peer_change(struct proxy *p, const struct peer *peer,
			    struct proxy_output *out)
{
	uint32_t state = LOGGED_DEAD;

	if (peer->alive)
		state = peer->leaving ? LOGGED_LEAVING : LOGGED_ALIVE;
	if (table_get(&p->logged_peers, peer->incarnation) == state)
		return;
	if (!table_put(&p->logged_peers, peer->incarnation, state))
		abort();
	proxy_log(out, "event=peer life=%016llx zone=%u alive=%d leaving=%d",
		  (unsigned long long)peer->incarnation, peer->zone,
		  peer->alive, peer->leaving);
}

/* Logs changed peers and rolls back the transactions of dead ones. */
static void check_peers(struct proxy *p, hm_time now, struct proxy_output *out)
{
	uint64_t generation = peers_generation(p->peers);
	const struct peer *peer;
	uint32_t i, k;

	if (generation == p->peers_generation)
		return;
	p->peers_generation = generation;
	for (i = 0; (peer = peers_at(p->peers, i)); i++) {
		log_peer_change(p, peer, out);
		for (k = 0; !peer->alive && k < p->pool_count; k++)
			pool_release_incarnation(p->pools[k], peer->incarnation,
						 now, out);
	}
}

static void tick(struct proxy *p, hm_time now, struct proxy_output *out)
{
	peers_tick(p->peers, now);
	rate_tick(p->rate, now, &out->peers);
	if (p->reserve)
		token_reserve_tick(p->reserve, p->store_era, now, out);
	check_peers(p, now, out);
	owners_tick(p, now, out);
	services_tick(p, now, out);
	sessions_tick(p, now, out);
	if (now >= p->heartbeat_at)
		proxy_heartbeat(p, now, out);
	gossip_tick(p, now, out);
	partition_check(p, now, out);
	lifecycle_check(p, now, out);
}

static void member_event(struct proxy *p, const struct proxy_event *e,
			 hm_time now, struct proxy_output *out)
{
	uint64_t conn = e->member.conn;
	uint32_t i;

	for (i = 0; i < p->pool_count; i++) {
		if (!pool_has(p->pools[i], conn))
			continue;
		if (e->kind == PROXY_MEMBER_READY)
			pool_ready(p->pools[i], conn, now, out);
		else if (e->kind == PROXY_MEMBER_REPLIED)
			pool_replied(p->pools[i], conn, e->member.reply, now,
				     out);
		else
			pool_closed(p->pools[i], conn, e->member.error, now,
				    out);
		return;
	}
	for (i = 0; i < p->service_count; i++) {
		if (!monitor_owns_conn(p->monitors[i], conn))
			continue;
		if (e->kind == PROXY_MEMBER_READY)
			monitor_conn_ready(p->monitors[i], conn, now, out);
		else if (e->kind == PROXY_MEMBER_REPLIED)
			monitor_replied(p->monitors[i], conn, e->member.reply,
					now, out);
		else
			monitor_conn_closed(p->monitors[i], conn,
					    e->member.error, now, out);
		return;
	}
}

/* Claimed tokens admit statements that wait for one. */
static void handle_reserved(struct proxy *p, const struct proxy_event *e,
			    hm_time now, struct proxy_output *out)
{
	if (!p->reserve)
		return;
	token_reserve_answer(p->reserve, e->reserve, now, out);
	sessions_run_admitted(p, now, out);
}

static void count_reserves(const struct proxy *p, struct proxy_counters *out)
{
	struct token_reserve_counters c;

	token_reserve_get(p->reserve, &c);
	out->reserves_recorded = c.recorded;
	out->reserve_claims = c.claims;
	out->reserve_tokens_claimed = c.claimed;
	out->reserves_lost = c.lost;
}

static void handle_store(struct proxy *p, bool ok, hm_time now,
			 struct proxy_output *out)
{
	if (ok != p->store_ok)
		proxy_log(out, "event=store ok=%d", ok);
	p->store_ok = ok;
	peers_platform(p->peers, ok, now);
}

void proxy_step(struct proxy *p, const struct proxy_event *e, hm_time now,
		struct proxy_output *out)
{
	switch (e->kind) {
	case PROXY_TICKED:
		tick(p, now, out);
		break;
	case PROXY_CLIENT_OPENED:
		session_opened(p, e, now, out);
		break;
	case PROXY_CLIENT_REQUEST:
		session_request(p, e, now, out);
		break;
	case PROXY_CLIENT_CLOSED:
		session_closed(p, e->client, now, out);
		break;
	case PROXY_MESSAGE:
		proxy_handle_message(p, e->message, now, out);
		break;
	case PROXY_MEMBER_READY:
	case PROXY_MEMBER_REPLIED:
	case PROXY_MEMBER_CLOSED:
		member_event(p, e, now, out);
		break;
	case PROXY_CONFIG:
		services_apply_config(p, e->config, now, out);
		gossip_changed(p, now);
		break;
	case PROXY_MEMBERS:
		member_list_apply(p, e->members, now, out);
		gossip_changed(p, now);
		break;
	case PROXY_STORE:
		handle_store(p, e->store_ok, now, out);
		break;
	case PROXY_STORE_READ:
		proxy_store_read(p, p->store_reads + 1, e->read_at);
		break;
	case PROXY_STORE_ERA:
		member_list_set_era(p, e->store_era, "store", now, out);
		break;
	case PROXY_EVACUATION:
		member_list_evacuate_read(p, e->evacuation, now, out);
		break;
	case PROXY_TOKEN:
	case PROXY_VOTERS:
	case PROXY_PROMOTED:
		services_duty_done(p, e, now, out);
		break;
	case PROXY_RESERVED:
		handle_reserved(p, e, now, out);
		break;
	case PROXY_LISTED:
		gossip_listed(p, e->listed, out);
		break;
	case PROXY_LIMITS:
		p->options.drain_limit = e->limits.drain_limit;
		p->options.stop_limit = e->limits.stop_limit;
		break;
	case PROXY_STOP:
		lifecycle_begin_stop(p, now, out);
		break;
	}
	proxy_flush(p, now, out);
}

void proxy_count_conns(struct proxy_counters *to, const struct conn_counts *n)
{
	to->conn_waits += n->waits;
	to->conns_given_up += n->given_up;
	to->conns_refused += n->refused;
	to->conns_reassigned += n->reassigned;
}

void proxy_get_counters(const struct proxy *p, struct proxy_counters *out)
{
	struct pool_load load;
	uint32_t i;

	*out = p->counters;
	out->busy = p->options.capacity.busy;
	out->clients = p->session_count;
	out->config_version = p->config ? p->config->version : 0;
	out->store_era = p->store_era;
	if (p->members)
		out->members = p->members->at;
	out->evacuated_zones = evacuation_zones(&p->evacuation);
	count_reserves(p, out);
	out->peers_alive = 0;
	for (i = 0; i < peers_count(p->peers); i++)
		out->peers_alive += peers_at(p->peers, i)->alive;
	for (i = 0; i < p->pool_count; i++) {
		pool_load(p->pools[i], &load);
		out->queued += load.queued;
		out->displaced += load.displaced;
		out->confirmed_in_change += load.confirmed_in_change;
		out->connections += load.connections;
		out->transactions += load.transactions;
		out->conn_waiting += load.conn_waiting;
		proxy_count_conns(out, &load.conn_counts);
	}
	for (i = 0; i < p->service_count; i++)
		out->promotions += monitor_promotions(p->monitors[i]);
}
