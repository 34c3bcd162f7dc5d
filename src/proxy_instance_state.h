/**
 * @file proxy_instance_state.h
 * Internal state of a proxy instance, shared by proxy_instance.c (events and
 * actions) and proxy_setup.c (construction and destruction).
 */
#ifndef PROXY_INSTANCE_STATE_H
#define PROXY_INSTANCE_STATE_H

#include <signal.h>
#include <time.h>

#include "health_http.h"
#include "line_front.h"
#include "member_link.h"
#include "peer.h"
#include "promoter.h"
#include "proxy_instance.h"
#include "proxy_metrics.h"
#include "reserve_store.h"
#include "site_feed.h"

struct proxy_instance {
	struct proxy_settings settings;
	struct proxy_platform platform;
	const char *zones[ZONES_MAX];
	const char *regions[ZONES_MAX];
	struct loop *loop;
	struct bodies *bodies;
	struct proxy *proxy;
	struct line_front *front;
	struct member_links *members;
	struct peer_links *peers;
	struct site_feed *feed;
	struct promoter *promoter;
	struct reserve_store *reserves;
	struct store_era era; /* newest era of the store seen */
	struct health_http *health;
	struct timer *tick;
	struct proxy_output out;
	struct proxy_io_counters io_counters;
	uint64_t incarnation;
	uint64_t next_seq; /* sequence number of the last message to a peer */
	bool stepping;
	char file[PATH_BYTES];
	struct timespec file_time;
	hm_time file_check_at;
	hm_time feed_schedule_at;
	volatile sig_atomic_t stops;
	volatile sig_atomic_t reloads;
	bool stop_begun;
};

/** How long a leaving member still gets new work. */
hm_time instance_drain_limit(const struct proxy_instance *i);
/** How long the primary in an evacuated zone still serves, 0: unused. */
hm_time instance_evacuation_limit(const struct proxy_instance *i);
/** How long a graceful shutdown waits for open transactions. */
hm_time instance_stop_limit(const struct proxy_instance *i);

/* Callbacks of the links, feeds and timers, all on the event loop's thread. */
void instance_on_event(void *owner, const struct proxy_event *e);
void instance_on_peer_event(void *owner, const struct event *e);
void instance_on_addresses(void *owner, const char (*list)[ADDRESS_BYTES],
			   uint32_t count);
void instance_write_metrics(void *owner, GString *out);
void instance_on_tick(void *arg);

#endif
