/**
 * @file services.c
 * Applies the configuration and the member list to the modules of an
 * instance: accounts, connection pools, views and monitors.
 */
#include "proxy_state.h"

#include <stdlib.h>
#include <string.h>

/* A request for a view is repeated if unanswered for this time. */
#define VIEW_REQUEST_LIMIT (700 * HM_MS)

static void withdraw_absent_accounts(struct proxy *p,
				     const struct site_config *c, hm_time now)
{
	uint32_t i, k, count = contracts_count(p->contracts);
	struct contract gone;
	const char *fault;

	for (i = 0; i < count; i++) {
		gone = *contracts_at(p->contracts, i);
		for (k = 0; k < c->account_count; k++)
			if (c->accounts[k].account == gone.account)
				break;
		if (gone.withdrawn || k < c->account_count)
			continue;
		gone.withdrawn = true;
		gone.version = c->version;
		contracts_apply(p->contracts, &gone, &fault);
		rate_set_contract(p->rate, &gone, now);
	}
}

static void log_account(const struct contract *a, uint32_t keys,
			struct proxy_output *out)
{
	proxy_log(out,
		  "event=account account=%s rate=%u burst=%u keys=%u "
		  "version=%llu",
		  a->name, a->rate, a->burst, keys,
		  (unsigned long long)a->version);
}

static bool limits_differ(const struct contract *a, const struct contract *b)
{
	return !a || a->withdrawn || a->rate != b->rate || a->burst != b->burst;
}

/* @param before the configuration until now, NULL for none */
static void apply_accounts(struct proxy *p, const struct site_config *c,
			   const struct site_config *before, hm_time now,
			   struct proxy_output *out)
{
	const char *fault;
	uint32_t i;

	withdraw_absent_accounts(p, c, now);
	for (i = 0; i < c->account_count; i++) {
		const struct contract *a = &c->accounts[i];
		uint32_t keys = site_account_keys(c, a->account);
		bool differs =
			limits_differ(contracts_find(p->contracts, a->account),
				      a) ||
			keys != site_account_keys(before, a->account);

		if (contracts_apply(p->contracts, a, &fault)) {
			rate_set_contract(p->rate, a, now);
			/* New versions are frequent and change few accounts. */
			if (differs)
				log_account(a, keys, out);
		}
		if (fault)
			proxy_log(out,
				  "event=account_fault account=%s fault=\"%s\"",
				  a->name, fault);
	}
}

struct service_state *services_view(const struct proxy *p, hm_id service)
{
	uint32_t i;

	for (i = 0; i < p->service_count; i++)
		if (p->views[i]->service == service)
			return p->views[i];
	return NULL;
}

struct monitor *services_monitor(const struct proxy *p, hm_id service)
{
	uint32_t i;

	for (i = 0; i < p->service_count; i++)
		if (p->views[i]->service == service)
			return p->monitors[i];
	return NULL;
}

void services_duty_done(struct proxy *p, const struct proxy_event *e,
			hm_time now, struct proxy_output *out)
{
	struct monitor *k;

	switch (e->kind) {
	case PROXY_TOKEN:
		k = services_monitor(p, e->token.service);
		if (k)
			monitor_token_taken(k,
					    e->token.taken ? e->token.token : 0,
					    e->token.record, now, out);
		break;
	case PROXY_VOTERS:
		k = services_monitor(p, e->voters.service);
		if (k)
			monitor_voters_recorded(k, e->voters.record, now, out);
		break;
	case PROXY_PROMOTED:
		k = services_monitor(p, e->promoted.service);
		if (k)
			monitor_promote_result(k, e->promoted.token,
					       e->promoted.outcome, now, out);
		break;
	default:
		break;
	}
}

/*
 * Adds a service that is not known yet. Services are never removed, since a
 * later version may add them again.
 */
static void add_service(struct proxy *p, hm_id service, hm_time now,
			struct proxy_output *out)
{
	struct monitor_deps site = { &p->options, &p->next_conn, &p->settled_at,
				     &p->store_era, &p->members_current_at };
	uint32_t n = p->service_count;

	if (services_view(p, service))
		return;
	p->views = realloc(p->views, (n + 1) * sizeof(void *));
	p->monitors = realloc(p->monitors, (n + 1) * sizeof(void *));
	if (!p->views || !p->monitors)
		abort();
	p->views[n] = calloc(1, sizeof(struct service_state));
	if (!p->views[n])
		abort();
	p->views[n]->service = service;
	p->monitors[n] = monitor_new(service, site);
	p->service_count++;
	if (p->members)
		monitor_set_members(p->monitors[n], p->members, now, out);
}

static uint32_t connections_of(const struct proxy *p,
			       const struct site_member *m)
{
	const struct service_spec *s = site_service(p->config, m->service);

	return s ? s->connections : 0;
}

/* Updates a pool with the service's configuration and other members. */
static void update_service(const struct proxy *p, struct pool *pool,
			   struct proxy_output *out)
{
	const struct service_spec *s =
		site_service(p->config, pool_service(pool));

	pool_set_cold(pool, s ? s->cold_per_s : 0, s ? s->cold_time : 0);
	pool_set_levels(pool, p->config ? p->config->level_count : 1);
	primary_check_set_sync_replicas(pool_check(pool),
					s ? s->sync_replicas : 1);
	primary_check_set_members(pool_check(pool), p->members,
				  pool_service(pool), out);
}

static void update_pools(struct proxy *p, struct proxy_output *out)
{
	const struct site_member *m;
	uint32_t i;

	for (i = 0; i < p->pool_count; i++) {
		update_service(p, p->pools[i], out);
		m = site_members_find(p->members, pool_endpoint(p->pools[i]));
		if (m)
			pool_member(p->pools[i], m, connections_of(p, m));
	}
}

void services_apply_config(struct proxy *p, struct site_config *c, hm_time now,
			   struct proxy_output *out)
{
	static const char *const source_names[DOCUMENT_SOURCE_COUNT] = {
		[FROM_LIST] = "list", [FROM_WATCH] = "watch",
		[FROM_POLL] = "poll", [FROM_READ] = "read",
		[FROM_PEER] = "peer",
	};
	struct site_config *before = p->config;
	uint64_t old = before ? before->version : 0;
	hm_time behind;
	uint32_t i;

	if (c->version <= old) {
		/* A restored store may contain an older version. */
		if (c->version < old)
			proxy_log(out,
				  "event=config_older version=%llu held=%llu",
				  (unsigned long long)c->version,
				  (unsigned long long)old);
		site_config_free(c);
		return;
	}
	p->config = c;
	p->config_at = now;
	behind = p->behind_since[DOCUMENT_CONFIG]
			 ? now - p->behind_since[DOCUMENT_CONFIG]
			 : 0;
	if (c->version >= p->newer[DOCUMENT_CONFIG].version.revision)
		p->behind_since[DOCUMENT_CONFIG] = 0;
	apply_accounts(p, c, before, now, out);
	site_config_free(before);
	rate_set_levels(p->rate, p->options.scheduling.priority_tokens
					 ? c->level_count
					 : 1);
	for (i = 0; i < c->service_count; i++) {
		add_service(p, c->services[i].service, now, out);
		monitor_set_sync_replicas(
			services_monitor(p, c->services[i].service),
			c->services[i].sync_replicas);
	}
	update_pools(p, out);
	proxy_log(out,
		  "event=config version=%llu before=%llu routes=%u accounts=%u "
		  "source=%s behind_us=%lld",
		  (unsigned long long)c->version, (unsigned long long)old,
		  c->route_count, c->account_count, source_names[c->source],
		  (long long)behind);
	sessions_check_access(p, now, out);
}

void services_members_changed(struct proxy *p, hm_time now,
			      struct proxy_output *out)
{
	uint32_t i;

	for (i = 0; i < p->service_count; i++)
		monitor_set_members(p->monitors[i], p->members, now, out);
	update_pools(p, out);
}

/*
 * Whether no live peer ran before this process started. A peer that is first
 * heard late may already issue tokens; its pools then end their start sooner.
 */
static bool all_started_together(const struct proxy *p)
{
	uint32_t i;

	for (i = 0; i < peers_count(p->peers); i++)
		if (peers_at(p->peers, i)->alive &&
		    peers_at(p->peers, i)->issued_tokens)
			return false;
	return true;
}

struct pool *services_pool(struct proxy *p, hm_id endpoint, hm_time now,
			   struct proxy_output *out)
{
	const struct site_member *m = site_members_find(p->members, endpoint);
	struct pool_deps site = { &p->options, NULL, &p->next_conn };
	uint32_t i;

	for (i = 0; i < p->pool_count; i++)
		if (pool_endpoint(p->pools[i]) == endpoint)
			return p->pools[i];
	site.view = m ? services_view(p, m->service) : NULL;
	if (!site.view)
		return NULL;
	p->pools = realloc(p->pools, (p->pool_count + 1) * sizeof(void *));
	if (!p->pools)
		abort();
	p->pools[p->pool_count++] =
		pool_new(m, connections_of(p, m), site, now);
	if (all_started_together(p))
		pool_set_restarted(p->pools[p->pool_count - 1]);
	update_service(p, p->pools[p->pool_count - 1], out);
	return p->pools[p->pool_count - 1];
}

static void tick_pools(struct proxy *p, hm_time now, struct proxy_output *out)
{
	uint32_t i = p->pool_count;
	struct pool_load load;

	while (i-- > 0) {
		struct pool *pool = p->pools[i];
		const struct site_member *m =
			site_members_find(p->members, pool_endpoint(pool));

		if (m) {
			pool_tick(pool,
				  member_owner(p, m) ==
					  p->options.core.incarnation,
				  now, out);
			continue;
		}
		/* Results of pool_close() are sent before the next tick. */
		pool_load(pool, &load);
		if (load.connections || load.queued || load.running) {
			pool_close(pool, now, out);
			continue;
		}
		p->counters.displaced += load.displaced;
		p->counters.confirmed_in_change += load.confirmed_in_change;
		proxy_count_conns(&p->counters, &load.conn_counts);
		pool_free(pool);
		p->pools[i] = p->pools[--p->pool_count];
	}
}

/*
 * Returns the instance that monitors a service. The monitors are spread over
 * the zones by a hash of the service, so that no zone monitors all services.
 */
static uint64_t monitor_instance(const struct proxy *p, hm_id service)
{
	uint16_t zones = p->options.core.zone_count;

	return peers_owner(p->peers, service,
			   (uint16_t)(service % (zones ? zones : 1)), true);
}

static void tick_service(struct proxy *p, uint32_t i, hm_time now,
			 struct proxy_output *out)
{
	struct service_state *v = p->views[i];
	struct monitor *k = p->monitors[i];
	uint64_t owner = monitor_instance(p, v->service);
	struct message *m;

	if (now - p->started_at < p->timing->monitor_after)
		return;
	if (owner == p->options.core.incarnation && p->members &&
	    p->members->count)
		monitor_start(k, now, out);
	else
		monitor_stop(k, out);
	monitor_tick(k, now, out);
	if (now - v->requested_at <
	    (v->waiting ? VIEW_REQUEST_LIMIT : p->options.view_every))
		return;
	v->requested_at = now;
	v->waiting = true;
	m = proxy_send(p, owner, MSG_VIEW_REQUEST, out);
	m->view_want.service = v->service;
	m->view_want.seq = ++v->seq;
}

void services_tick(struct proxy *p, hm_time now, struct proxy_output *out)
{
	uint32_t i;

	if (proxy_zone_isolated(p, now) &&
	    p->settled_at < now + p->timing->reconnect_settle)
		p->settled_at = now + p->timing->reconnect_settle;
	member_list_tick(p, now, out);
	p->members_current_at = members_current_at(p, now);
	members_note_current(p, now);
	for (i = 0; i < p->service_count; i++) {
		p->views[i]->members_current_at = p->members_current_at;
		p->views[i]->members_read_at = members_read_at(p);
	}
	tick_pools(p, now, out);
	for (i = 0; i < p->service_count; i++)
		tick_service(p, i, now, out);
}

void services_free(struct proxy *p)
{
	uint32_t i;

	for (i = 0; i < p->pool_count; i++)
		pool_free(p->pools[i]);
	for (i = 0; i < p->service_count; i++) {
		monitor_free(p->monitors[i]);
		free(p->views[i]);
	}
	free(p->pools);
	free(p->monitors);
	free(p->views);
	free(p->loads);
	site_config_free(p->config);
	site_members_free(p->members);
	store_restore_free(&p->restore);
}
