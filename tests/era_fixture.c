/** @file era_fixture.c Store feeds and promoters against a simulated store. */
#include "era_fixture.h"

#include <check.h>
#include <string.h>

#include "../src/names.h"

#define MEMBER                                                 \
	"{\"Service\":\"rota-db\",\"Address\":\"10.0.0.1:5\"," \
	"\"Zone\":\"a\",\"Capacity\":2,\"State\":\"ready\","   \
	"\"DbRole\":\"replica\",\"born\":1}"

static void keep_newest(struct era_client *r, struct site_members *m)
{
	if (r->members && store_version_compare(m->at, r->members->at) <= 0) {
		site_members_free(m);
		return;
	}
	site_members_free(r->members);
	r->members = m;
}

static void on_event(void *owner, const struct proxy_event *e)
{
	struct era_client *r = owner;

	g_mutex_lock(&r->lock);
	if (e->kind == PROXY_CONFIG)
		site_config_free(e->config);
	else if (e->kind == PROXY_MEMBERS)
		keep_newest(r, e->members);
	else if (e->kind == PROXY_TOKEN || e->kind == PROXY_PROMOTED)
		r->done = *e;
	r->is_done |= e->kind == PROXY_TOKEN || e->kind == PROXY_PROMOTED;
	g_mutex_unlock(&r->lock);
}

static void on_addresses(void *owner, const char (*list)[ADDRESS_BYTES],
			 uint32_t count)
{
	(void)owner;
	(void)list;
	(void)count;
}

static gpointer run_loop(gpointer loop)
{
	loop_run(loop);
	return NULL;
}

void era_client_open(struct era_client *r, struct object_store *store,
		     const char *name)
{
	static const char *const zones[] = { "a" };
	static const struct feed_schedule schedule = { .poll_at = HM_NEVER,
						       .watches = true };
	struct proxy_sink sink = { on_event, r };
	struct site_feed_options f = { .api = &platform_site,
				       .store_address =
					       object_store_address(store),
				       .era = &r->era,
				       .zones = { zones, 1 },
				       .instance = name,
				       .peer_address = "127.0.0.1:9",
				       .call_limit = HM_SEC,
				       .watch_wait = 20 * HM_SEC,
				       .list_every = HM_SEC,
				       .addresses = on_addresses };
	struct promoter_options d = { .api = &platform_site,
				      .store_address = f.store_address,
				      .era = &r->era,
				      .promote_address = f.store_address,
				      .instance = name,
				      .token_limit = 3 * HM_SEC,
				      .call_limit = HM_SEC };

	memset(r, 0, sizeof(*r));
	g_mutex_init(&r->lock);
	r->loop = loop_new();
	r->promoter = promoter_new(r->loop, &d, sink);
	r->feed = site_feed_new(r->loop, &f, sink);
	site_feed_set_schedule(r->feed, &schedule);
	r->thread = g_thread_new("loop", run_loop, r->loop);
}

void era_client_close(struct era_client *r)
{
	loop_stop(r->loop);
	g_thread_join(r->thread);
	site_feed_free(r->feed);
	promoter_free(r->promoter);
	loop_free(r->loop);
	site_members_free(r->members);
	g_mutex_clear(&r->lock);
}

void era_fixture_open(struct era_fixture *r)
{
	r->line = line_members_new(ERA_SERVICE);
	r->store = object_store_new(r->line);
	ck_assert(r->line && r->store);
	object_store_put(r->store, "servers", "i-1", MEMBER);
	era_client_open(&r->client, r->store, "proxy-1");
}

void era_fixture_close(struct era_fixture *r)
{
	era_client_close(&r->client);
	object_store_free(r->store);
	line_members_free(r->line);
}

bool era_is_listed(struct era_client *r, const char *name)
{
	bool found;

	g_mutex_lock(&r->lock);
	found = site_members_find(r->members, name_id(name)) != NULL;
	g_mutex_unlock(&r->lock);
	return found;
}

/*
 * Waits until the newest list contains the member (@a listed true) or no longer
 * contains it (false).
 */
void era_await_member(struct era_client *r, const char *name, bool listed)
{
	hm_time until = loop_now() + ERA_LIMIT;

	while (era_is_listed(r, name) != listed) {
		ck_assert_msg(loop_now() < until, "%s", name);
		g_usleep(ERA_PAUSE_US);
	}
}

void era_await(struct era_client *r, uint64_t era)
{
	hm_time until = loop_now() + ERA_LIMIT;

	while (store_era_newest(&r->era) != era) {
		ck_assert_int_lt(loop_now(), until);
		g_usleep(ERA_PAUSE_US);
	}
}

void era_restore(struct era_fixture *r, uint64_t revision)
{
	object_store_set_down(r->store, true);
	object_store_restore(r->store, revision);
	object_store_set_down(r->store, false);
}

static void perform(struct era_client *r, const struct proxy_action *a)
{
	hm_time until = loop_now() + ERA_LIMIT;
	bool done = false;

	promoter_submit(r->promoter, a);
	while (!done) {
		ck_assert_int_lt(loop_now(), until);
		g_usleep(ERA_PAUSE_US);
		g_mutex_lock(&r->lock);
		done = r->is_done;
		r->is_done = false;
		g_mutex_unlock(&r->lock);
	}
}

uint64_t era_take_token(struct era_client *r)
{
	struct proxy_action a = { .kind = PROXY_TAKE_TOKEN };

	g_strlcpy(a.duty.service, ERA_SERVICE, sizeof(a.duty.service));
	perform(r, &a);
	ck_assert(r->done.token.taken);
	return r->done.token.token;
}

enum promote_outcome era_promote(struct era_client *r, const char *endpoint,
				 uint64_t token)
{
	struct proxy_action a = { .kind = PROXY_PROMOTE };

	a.duty.token = token;
	g_strlcpy(a.duty.service, ERA_SERVICE, sizeof(a.duty.service));
	g_strlcpy(a.duty.endpoint, endpoint, sizeof(a.duty.endpoint));
	perform(r, &a);
	return r->done.promoted.outcome;
}

void era_put_members(struct era_fixture *r, const char *name, int times)
{
	while (times--)
		object_store_put(r->store, "servers", name, MEMBER);
}
