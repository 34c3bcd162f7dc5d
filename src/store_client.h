/**
 * @file store_client.h
 * Store calls of one thread that ignore outdated answers. When the store is
 * restored from an older copy its era rises; an answer of an earlier era that
 * arrives late no longer describes the store and is dropped.
 */
#ifndef STORE_CLIENT_H
#define STORE_CLIENT_H

#include <stdatomic.h>

#include "site_api.h"

/** Newest era that this process has seen, shared by its threads. */
struct store_era {
	_Atomic uint64_t newest;
};

/** Records the era of an answer; returns false when a newer one is known. */
bool store_era_observe(struct store_era *e, uint64_t era);
uint64_t store_era_newest(const struct store_era *e);

struct store_client {
	const struct site_api *api;
	struct http_client *http;
	struct store_era *era;
};

/*
 * The following functions make the call of the same name in struct site_api. An
 * answer of an earlier era than the newest known one is treated like no answer:
 * the result is STORE_UNAVAILABLE, for a write STORE_OUTCOME_UNKNOWN.
 */
enum store_outcome store_client_list(struct store_client *c,
				     enum store_kind kind, bool stale,
				     hm_time until, struct store_objects *out);
enum store_outcome store_client_watch(struct store_client *c,
				      enum store_kind kind, uint64_t from,
				      hm_time wait, hm_time until,
				      struct store_objects *out);
enum store_outcome store_client_read(struct store_client *c,
				     enum store_kind kind, const char *name,
				     hm_time until, struct store_object *out);
/** @a at receives the era of the answer and the object's new revision. */
enum store_outcome store_client_write(struct store_client *c,
				      enum store_kind kind, const char *name,
				      uint64_t revision, const json_t *value,
				      hm_time until, struct store_version *at);

#endif
