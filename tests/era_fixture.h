/**
 * @file era_fixture.h
 * Test fixture: store feeds and promoters of instances against a simulated
 * store that can be restored from an older copy. Each restore starts a new era
 * of the store. Waits are polls with a deadline.
 */
#ifndef ERA_FIXTURE_H
#define ERA_FIXTURE_H

#include "../platform/adapter.h"
#include "../src/promoter.h"
#include "../src/site_feed.h"
#include "../standin/object_store.h"

#define ERA_SERVICE "rota-db"
#define ERA_LIMIT (10 * HM_SEC)
#define ERA_PAUSE_US 2000

/** Store feed and promoter of one instance, and what they delivered. */
struct era_client {
	struct store_era era;
	struct loop *loop;
	struct site_feed *feed;
	struct promoter *promoter;
	GThread *thread;
	GMutex lock;
	struct site_members *members; /**< newest member list */
	struct proxy_event done;      /**< last PROXY_TOKEN or PROXY_PROMOTED */
	bool is_done;
};

struct era_fixture {
	struct line_members *line;
	struct object_store *store;
	struct era_client client;
};

/** Starts the feed and the promoter of the instance @a name. */
void era_client_open(struct era_client *r, struct object_store *store,
		     const char *name);
void era_client_close(struct era_client *r);
/** Starts a store that lists member i-1, and the client of "proxy-1". */
void era_fixture_open(struct era_fixture *r);
void era_fixture_close(struct era_fixture *r);
/** Writes the entry of member @a name @a times times. */
void era_put_members(struct era_fixture *r, const char *name, int times);
/** Stops the store and restores it from the copy made at @a revision. */
void era_restore(struct era_fixture *r, uint64_t revision);

/** Whether the newest list contains the member. */
bool era_is_listed(struct era_client *r, const char *name);
void era_await_member(struct era_client *r, const char *name, bool listed);
/** Waits until @a era is the newest era that the client knows. */
void era_await(struct era_client *r, uint64_t era);
uint64_t era_take_token(struct era_client *r);
enum promote_outcome era_promote(struct era_client *r, const char *endpoint,
				 uint64_t token);

#endif
