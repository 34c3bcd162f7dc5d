/**
 * @file test_store_era.c
 * A store that comes back from an older copy, over real sockets: what a
 * feed delivers, which tokens are taken and sent, and what is written again.
 * Waits are polls with a deadline.
 */
#include <check.h>
#include <string.h>

#include "../core/fencing.h"
#include "../platform/adapter.h"
#include "../src/duty.h"
#include "../src/names.h"
#include "../src/site_feed.h"
#include "../standin/object_store.h"
#include "suite.h"

#define SERVICE "rota-db"
#define LIMIT (10 * HM_SEC)
#define PAUSE_US 2000
#define MEMBER                                                 \
	"{\"Service\":\"rota-db\",\"Address\":\"10.0.0.1:5\"," \
	"\"Zone\":\"a\",\"Capacity\":2,\"State\":\"ready\","   \
	"\"DbRole\":\"replica\",\"born\":1}"

/* One instance's share of the store: its feed, its duty, what they told. */
struct reader {
	struct store_era era;
	struct loop *loop;
	struct site_feed *feed;
	struct duty *duty;
	GThread *thread;
	GMutex lock;
	struct site_members *members; /* newest list, by its version */
	struct proxy_event done;      /* last token or outcome */
	bool is_done;
};

struct rig {
	struct line_members *line;
	struct object_store *store;
	struct reader reader;
};

static void take_members(struct reader *r, struct site_members *m)
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
	struct reader *r = owner;

	g_mutex_lock(&r->lock);
	if (e->kind == PROXY_CONFIG)
		site_config_free(e->config);
	else if (e->kind == PROXY_MEMBERS)
		take_members(r, e->members);
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

static void reader_open(struct reader *r, struct object_store *store,
			const char *name)
{
	static const char *const zones[] = { "a" };
	struct proxy_sink sink = { on_event, r };
	struct site_feed_options f = { .api = &platform_site,
				       .store = object_store_address(store),
				       .era = &r->era,
				       .zones = { zones, 1 },
				       .instance = name,
				       .peer_address = "127.0.0.1:9",
				       .call_limit = HM_SEC,
				       .watch_wait = 20 * HM_SEC,
				       .list_every = HM_SEC,
				       .addresses = on_addresses };
	struct duty_options d = { .api = &platform_site,
				  .store = f.store,
				  .era = &r->era,
				  .calls = f.store,
				  .instance = name,
				  .token_limit = 3 * HM_SEC,
				  .call_limit = HM_SEC };

	memset(r, 0, sizeof(*r));
	g_mutex_init(&r->lock);
	r->loop = loop_new();
	r->duty = duty_new(r->loop, &d, sink);
	r->feed = site_feed_new(r->loop, &f, sink);
	r->thread = g_thread_new("loop", run_loop, r->loop);
}

static void reader_close(struct reader *r)
{
	loop_stop(r->loop);
	g_thread_join(r->thread);
	site_feed_free(r->feed);
	duty_free(r->duty);
	loop_free(r->loop);
	site_members_free(r->members);
	g_mutex_clear(&r->lock);
}

static void rig_open(struct rig *r)
{
	r->line = line_members_new(SERVICE);
	r->store = object_store_new(r->line);
	ck_assert(r->line && r->store);
	object_store_put(r->store, "servers", "i-1", MEMBER);
	reader_open(&r->reader, r->store, "proxy-1");
}

static void rig_close(struct rig *r)
{
	reader_close(&r->reader);
	object_store_free(r->store);
	line_members_free(r->line);
}

static bool is_listed(struct reader *r, const char *name)
{
	bool found;

	g_mutex_lock(&r->lock);
	found = site_members_find(r->members, name_id(name)) != NULL;
	g_mutex_unlock(&r->lock);
	return found;
}

/* Waits until a member stands in the newest list, or does not. */
static void await_member(struct reader *r, const char *name, bool listed)
{
	hm_time until = loop_now() + LIMIT;

	while (is_listed(r, name) != listed) {
		ck_assert_msg(loop_now() < until, "%s", name);
		g_usleep(PAUSE_US);
	}
}

static void await_era(struct reader *r, uint64_t era)
{
	hm_time until = loop_now() + LIMIT;

	while (store_era_newest(&r->era) != era) {
		ck_assert_int_lt(loop_now(), until);
		g_usleep(PAUSE_US);
	}
}

/* Away for a moment, and back from the copy of @a revision. */
static void drill(struct rig *r, uint64_t revision)
{
	object_store_down(r->store, true);
	object_store_return_to(r->store, revision);
	object_store_down(r->store, false);
}

static void perform(struct reader *r, const struct proxy_action *a)
{
	hm_time until = loop_now() + LIMIT;
	bool done = false;

	duty_perform(r->duty, a);
	while (!done) {
		ck_assert_int_lt(loop_now(), until);
		g_usleep(PAUSE_US);
		g_mutex_lock(&r->lock);
		done = r->is_done;
		r->is_done = false;
		g_mutex_unlock(&r->lock);
	}
}

static uint64_t take_token(struct reader *r)
{
	struct proxy_action a = { .kind = PROXY_TAKE_TOKEN };

	g_strlcpy(a.duty.service, SERVICE, sizeof(a.duty.service));
	perform(r, &a);
	ck_assert(r->done.token.taken);
	return r->done.token.token;
}

static enum promote_outcome promote(struct reader *r, const char *endpoint,
				    uint64_t token)
{
	struct proxy_action a = { .kind = PROXY_PROMOTE };

	a.duty.token = token;
	g_strlcpy(a.duty.service, SERVICE, sizeof(a.duty.service));
	g_strlcpy(a.duty.endpoint, endpoint, sizeof(a.duty.endpoint));
	perform(r, &a);
	return r->done.promoted.outcome;
}

static void put_members(struct rig *r, const char *name, int times)
{
	while (times--)
		object_store_put(r->store, "servers", name, MEMBER);
}

/* Case 3: a list of a lower revision is newer in a later era. */
START_TEST(list_of_the_copy_is_taken)
{
	uint64_t copy;
	struct rig r;

	rig_open(&r);
	await_member(&r.reader, "i-1", true);
	copy = object_store_revision(r.store);
	put_members(&r, "i-2", 30);
	await_member(&r.reader, "i-2", true);
	drill(&r, copy);
	await_member(&r.reader, "i-2", false);
	ck_assert(is_listed(&r.reader, "i-1"));
	object_store_write_again(r.store, REWRITE_BACKWARDS);
	await_member(&r.reader, "i-2", true);
	rig_close(&r);
}
END_TEST

/*
 * Case 3: the watch waits at a revision that the store gives out again, for
 * other changes; i-2 was written before it and is in the copy no more.
 */
START_TEST(watch_does_not_go_on_in_another_history)
{
	uint64_t copy;
	struct rig r;

	rig_open(&r);
	await_member(&r.reader, "i-1", true);
	copy = object_store_revision(r.store);
	put_members(&r, "i-2", 3);
	await_member(&r.reader, "i-2", true);
	object_store_deaf(r.store, true);
	object_store_return_to(r.store, copy);
	put_members(&r, "i-3", 20);
	object_store_deaf(r.store, false);
	put_members(&r, "i-4", 1);
	await_member(&r.reader, "i-4", true);
	await_member(&r.reader, "i-3", true);
	await_member(&r.reader, "i-2", false);
	rig_close(&r);
}
END_TEST

static bool has_entry(struct rig *r, const char *name)
{
	struct http_client *http =
		http_client_new(object_store_address(r->store));
	struct store_object held;
	bool found;

	found = platform_site.read(http, STORE_INSTANCES, name,
				   loop_now() + HM_SEC, &held) == STORE_OK;
	store_object_clear(&held);
	http_client_free(http);
	return found;
}

static void await_entry(struct rig *r, const char *name)
{
	hm_time until = loop_now() + LIMIT;

	while (!has_entry(r, name)) {
		ck_assert_int_lt(loop_now(), until);
		g_usleep(PAUSE_US);
	}
}

/* Case 5: nobody writes our entries again but we; and a second time. */
START_TEST(own_entry_is_written_again)
{
	struct rig r;

	rig_open(&r);
	await_entry(&r, "proxy-1");
	drill(&r, 1);
	ck_assert(!has_entry(&r, "proxy-1"));
	await_entry(&r, "proxy-1");
	drill(&r, 1);
	await_entry(&r, "proxy-1");
	rig_close(&r);
}
END_TEST

/* Case 1: the copy lacks the newest tokens; a new process never saw them. */
START_TEST(token_is_newer_than_any_of_an_earlier_era)
{
	struct reader late;
	uint64_t copy, before, after;
	struct rig r;

	rig_open(&r);
	take_token(&r.reader);
	copy = object_store_revision(r.store);
	before = take_token(&r.reader);
	drill(&r, copy);
	reader_open(&late, r.store, "proxy-2");
	after = take_token(&late);
	ck_assert_uint_gt(after, before);
	before = after;
	drill(&r, copy);
	after = take_token(&r.reader);
	ck_assert_uint_gt(after, before);
	ck_assert_uint_gt(take_token(&late), after);
	reader_close(&late);
	rig_close(&r);
}
END_TEST

/* Cases 1 and 7: the drill falls between token and call. */
START_TEST(token_of_an_earlier_era_is_not_sent)
{
	struct reader other;
	uint64_t copy, token, newer;
	struct rig r;

	rig_open(&r);
	copy = object_store_revision(r.store);
	token = take_token(&r.reader);
	reader_open(&other, r.store, "proxy-2");
	drill(&r, copy);
	newer = take_token(&other);
	ck_assert_int_eq(promote(&r.reader, "i-2", token), PROMOTE_REJECTED);
	ck_assert_int_eq(line_members_primary(r.line), 0);
	ck_assert_int_eq(promote(&other, "i-3", newer), PROMOTE_DONE);
	ck_assert_int_eq(line_members_primary(r.line), 2);
	reader_close(&other);
	rig_close(&r);
}
END_TEST

/*
 * Case 2: a write of the earlier era is carried out late, where its condition
 * names the revision that the new era's token has by now.
 */
START_TEST(late_write_does_not_take_a_token_back)
{
	struct http_client *http;
	struct store_object held = { 0 };
	uint64_t copy, token, era;
	json_t *old;
	struct rig r;

	rig_open(&r);
	copy = object_store_revision(r.store);
	old = json_pack("{s:s, s:I, s:s}", "holder", "proxy-9", "token",
			(json_int_t)take_token(&r.reader), "nonce", "9");
	drill(&r, copy);
	token = take_token(&r.reader);
	http = http_client_new(object_store_address(r.store));
	ck_assert_int_eq(platform_site.read(http, STORE_DUTIES, SERVICE ".2",
					    loop_now() + HM_SEC, &held),
			 STORE_OK);
	ck_assert_int_ne(platform_site.write(http, STORE_DUTIES, SERVICE ".1",
					     held.at.revision, old,
					     loop_now() + HM_SEC, &era),
			 STORE_OK);
	ck_assert_uint_gt(take_token(&r.reader), token);
	json_decref(old);
	store_object_clear(&held);
	http_client_free(http);
	rig_close(&r);
}
END_TEST

struct taking {
	struct reader *reader;
	uint64_t token;
};

static gpointer take_in_thread(gpointer data)
{
	struct taking *t = data;

	t->token = take_token(t->reader);
	return NULL;
}

/* Case 6: a read of the earlier era is answered after one of the new era. */
START_TEST(late_answer_of_the_earlier_era_is_dropped)
{
	struct taking taking;
	GThread *thread;
	uint64_t copy;
	struct rig r;

	rig_open(&r);
	await_member(&r.reader, "i-1", true);
	copy = object_store_revision(r.store);
	taking.reader = &r.reader;
	object_store_slow(r.store, "proxy-duties/");
	thread = g_thread_new("taking", take_in_thread, &taking);
	while (!object_store_waiting(r.store))
		g_usleep(PAUSE_US);
	object_store_return_to(r.store, copy);
	await_era(&r.reader, 2);
	object_store_slow(r.store, NULL);
	g_thread_join(thread);
	ck_assert_uint_eq(fencing_era(taking.token), 2);
	rig_close(&r);
}
END_TEST

/* Members write again in any order, the operator's removal among them. */
START_TEST(what_is_written_again_comes_in_any_order)
{
	uint64_t copy;
	struct rig r;

	rig_open(&r);
	put_members(&r, "i-2", 1);
	await_member(&r.reader, "i-2", true);
	copy = object_store_revision(r.store);
	object_store_remove(r.store, "servers", "i-2");
	put_members(&r, "i-3", 1);
	await_member(&r.reader, "i-3", true);
	drill(&r, copy);
	await_member(&r.reader, "i-3", false);
	object_store_write_again(r.store,
				 _i ? REWRITE_BACKWARDS : REWRITE_AS_WRITTEN);
	await_member(&r.reader, "i-3", true);
	await_member(&r.reader, "i-2", false);
	rig_close(&r);
}
END_TEST

START_TEST(tokens_grow_with_the_era)
{
	uint64_t last = fencing_next(UINT32_MAX, 0);

	ck_assert_uint_eq(last, 0); /* there are no more of them */
	ck_assert_uint_eq(fencing_next(0, 0), 1);
	ck_assert_uint_eq(fencing_next(7, 0), 8);
	ck_assert_uint_gt(fencing_next(7, 1), UINT32_MAX);
	ck_assert_uint_eq(fencing_next(fencing_next(0, 3), 3),
			  fencing_next(0, 3) + 1);
	ck_assert_uint_eq(fencing_next(fencing_next(0, 4), 3), 0);
	ck_assert(fencing_is_newest(5, 5, 0));
	ck_assert(!fencing_is_newest(5, 6, 0));
	ck_assert(!fencing_is_newest(5, 5, 1));
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("store_era");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, tokens_grow_with_the_era);
	tcase_add_test(tc, list_of_the_copy_is_taken);
	tcase_add_test(tc, watch_does_not_go_on_in_another_history);
	tcase_add_test(tc, own_entry_is_written_again);
	tcase_add_test(tc, token_is_newer_than_any_of_an_earlier_era);
	tcase_add_test(tc, token_of_an_earlier_era_is_not_sent);
	tcase_add_test(tc, late_write_does_not_take_a_token_back);
	tcase_add_test(tc, late_answer_of_the_earlier_era_is_dropped);
	tcase_add_loop_test(tc, what_is_written_again_comes_in_any_order, 0, 2);
	return suite_run("store_era", tc);
}
