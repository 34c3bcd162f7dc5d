/** @file proxy_setup.c Creates and frees a proxy instance and its parts. */
#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "names.h"
#include "proxy_instance_state.h"

#define TOKEN_LIMIT (2500 * HM_MS)
#define PROMOTE_LIMIT (1500 * HM_MS)
/* Part of the grace that remains for the last answers and the exit. */
#define STOP_RESERVE (1500 * HM_MS)

/*
 * How long a leaving member still gets new work: three quarters of the time
 * that it serves, so that open work can finish before it ends.
 */
hm_time instance_drain_limit(const struct proxy_instance *i)
{
	return i->settings.drain_limit * 3 / 4;
}

/*
 * How long a primary in an evacuated zone still serves, from the earliest time
 * of the request on: four fifths of the limit.
 */
hm_time instance_evacuation_limit(const struct proxy_instance *i)
{
	return i->settings.evacuation_limit * 4 / 5;
}

/*
 * Longest graceful shutdown: half of the grace, and never more than the grace
 * less STOP_RESERVE.
 */
hm_time instance_stop_limit(const struct proxy_instance *i)
{
	return MIN(i->settings.grace / 2, i->settings.grace - STOP_RESERVE);
}

static void init_core(struct proxy_instance *i)
{
	struct proxy_options o;

	proxy_options_default(&o);
	o.core.instance = name_id(i->settings.instance);
	o.core.incarnation = i->incarnation;
	o.core.zone = i->settings.zone_index;
	o.core.zone_count = i->settings.zone_count;
	o.core.seed = random_id();
	g_strlcpy(o.core.address, i->settings.listen_peers,
		  sizeof(o.core.address));
	o.drain_limit = instance_drain_limit(i);
	o.evacuation_limit = instance_evacuation_limit(i);
	o.stop_limit = instance_stop_limit(i);
	o.scheduling = i->settings.scheduling;
	o.capacity = i->settings.capacity;
	i->proxy = proxy_new(&o, loop_now());
}

static bool start_listeners(struct proxy_instance *i,
			    char fault[SETTINGS_FAULT_BYTES])
{
	const struct proxy_settings *s = &i->settings;
	struct proxy_sink sink = { instance_on_event, i };
	struct health_options health = {
		.health_address = s->listen_health,
		.health_path = s->health_path,
		.metrics_address = s->listen_metrics,
		.metrics_path = s->metrics_path,
		.metrics = instance_write_metrics,
		.owner = i,
	};
	struct sink peer_sink = { instance_on_peer_event, i };

	i->health = health_http_new(i->loop, &health);
	i->front = line_front_new(i->loop, s->listen_sessions,
				  s->connection_limit, i->platform.lines, sink);
	i->peers = peer_links_new(i->loop, s->listen_peers, i->incarnation,
				  i->bodies, peer_sink);
	if (i->health && i->front && i->peers)
		return true;
	snprintf(fault, SETTINGS_FAULT_BYTES,
		 "listen: %s: allowed are unused addresses of this machine",
		 strerror(errno));
	return false;
}

/*
 * Passes the addresses of the seeds to the peer links. A seed names the host of
 * another instance. All instances use the same port for peers, so the port of
 * this instance replaces the port of the seed.
 */
static void use_seeds(struct proxy_instance *i)
{
	const char *port = strrchr(i->settings.listen_peers, ':');
	char list[SEEDS_MAX][ADDRESS_BYTES];
	uint32_t n;

	for (n = 0; n < i->settings.seed_count; n++) {
		const char *seed = i->settings.seeds[n];
		const char *colon = strrchr(seed, ':');

		g_snprintf(list[n], ADDRESS_BYTES, "%.*s%s",
			   (int)(colon - seed), seed, port);
	}
	peer_links_set_addresses(i->peers, (const char(*)[ADDRESS_BYTES])list,
				 n);
}

static void start_outbound(struct proxy_instance *i)
{
	const struct proxy_settings *s = &i->settings;
	struct proxy_sink sink = { instance_on_event, i };
	struct site_feed_options feed = {
		.api = i->platform.site,
		.store_address = s->store,
		.era = &i->era,
		.zones = { i->zones, s->zone_count, i->regions },
		.instance = s->instance,
		.peer_address = s->listen_peers,
		.call_limit = s->store_call_limit,
		.watch_wait = s->store_watch_wait,
		.list_every = s->store_list_every,
		.evacuations = s->evacuation_limit > 0,
		.seed = random_id(),
		.addresses = instance_on_addresses,
		.owner = i,
	};
	struct promoter_options promoter = {
		.api = i->platform.site,
		.store_address = s->store,
		.era = &i->era,
		.promote_address = s->promote_calls,
		.instance = s->instance,
		.fenced = s->promote_fenced,
		.token_limit = TOKEN_LIMIT,
		.call_limit = PROMOTE_LIMIT,
	};
	struct reserve_store_options reserves = {
		.api = i->platform.site,
		.store_address = s->store,
		.era = &i->era,
		.call_limit = s->store_call_limit,
	};

	i->members = member_links_new(i->loop, i->platform.lines, sink);
	i->reserves = reserve_store_new(i->loop, &reserves, sink);
	i->promoter = promoter_new(i->loop, &promoter, sink);
	i->feed = site_feed_new(i->loop, &feed, sink);
}

struct proxy_instance *proxy_instance_new(const struct proxy_settings *settings,
					  const struct proxy_platform *platform,
					  char fault[SETTINGS_FAULT_BYTES])
{
	struct proxy_instance *i = g_new0(struct proxy_instance, 1);
	uint16_t z;

	i->settings = *settings;
	i->platform = *platform;
	i->incarnation = random_id();
	for (z = 0; z < settings->zone_count; z++)
		i->zones[z] = i->settings.zones[z];
	for (z = 0; z < settings->zone_count; z++)
		i->regions[z] = i->settings.regions[z];
	i->loop = loop_new();
	i->bodies = bodies_new();
	init_core(i);
	if (!start_listeners(i, fault)) {
		proxy_instance_free(i);
		return NULL;
	}
	start_outbound(i);
	use_seeds(i);
	i->tick = timer_new(i->loop, instance_on_tick, i);
	timer_set(i->tick, loop_now());
	return i;
}

void proxy_instance_free(struct proxy_instance *i)
{
	if (!i)
		return;
	site_feed_free(i->feed);
	reserve_store_free(i->reserves);
	promoter_free(i->promoter);
	timer_free(i->tick);
	line_front_free(i->front);
	member_links_free(i->members);
	peer_links_free(i->peers);
	health_http_free(i->health);
	proxy_free(i->proxy);
	proxy_output_free(&i->out);
	bodies_free(i->bodies);
	loop_free(i->loop);
	g_free(i);
}
