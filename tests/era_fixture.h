/**
 * @file era_fixture.h
 * Instances' feeds and duties against the stand-in store, which can come back
 * from an older copy. Waits are polls with a deadline.
 */
#ifndef ERA_RIG_H
#define ERA_RIG_H

#include "../platform/adapter.h"
#include "../src/promoter.h"
#include "../src/site_feed.h"
#include "../standin/object_store.h"

#define ERA_SERVICE "rota-db"
#define ERA_LIMIT (10 * HM_SEC)
#define ERA_PAUSE_US 2000

/** One instance's share of the store: its feed, its duty, what they told. */
struct era_client {
	struct store_era era;
	struct loop *loop;
	struct site_feed *feed;
	struct promoter *duty;
	GThread *thread;
	GMutex lock;
	struct site_members *members; /**< newest list, by its version */
	struct proxy_event done;      /**< last token or outcome */
	bool is_done;
};

struct era_fixture {
	struct line_members *line;
	struct object_store *store;
	struct era_client reader;
};

/** Starts the share of an instance of that name. */
void era_client_open(struct era_client *r, struct object_store *store,
		     const char *name);
void era_client_close(struct era_client *r);
/** A store with the member i-1, and the share of "proxy-1". */
void era_fixture_open(struct era_fixture *r);
void era_fixture_close(struct era_fixture *r);
/** The member writes its entry so many times. */
void era_put_members(struct era_fixture *r, const char *name, int times);
/** Away for a moment, and back from the copy of @a revision. */
void era_restore(struct era_fixture *r, uint64_t revision);

/** Whether the newest list has the member. */
bool era_is_listed(struct era_client *r, const char *name);
void era_await_member(struct era_client *r, const char *name, bool listed);
/** Waits until an answer has told the era. */
void era_await(struct era_client *r, uint64_t era);
uint64_t era_take_token(struct era_client *r);
enum promote_outcome era_promote(struct era_client *r, const char *endpoint,
				 uint64_t token);

#endif
