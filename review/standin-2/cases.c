/** @file cases.c The scripts: one deployment each, and what is judged. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rig.h"

/* ConfigApplyMs of the site. */
#define CONFIG_APPLY_MS 3000
/* gap_s of the site's config_storm. */
#define CONFIG_GAP_MS 330
/* x of the site's replica_lag, 60 times the usual 20 ms. */
#define LAG_MS 1200
/* Longer than StableWindowMs: all machines are in touch. */
#define SETTLE_MS 5000

#define SERVICES                                                        \
	"\"Services\":[{\"Name\":\"svca\",\"MaxConnections\":21,"       \
	"\"SyncReplicas\":1},{\"Name\":\"svcb\",\"MaxConnections\":21," \
	"\"SyncReplicas\":1}],\"Limits\":{\"TxIdleMs\":3000}"

#define TENANT(name, keys)                                              \
	"{\"Name\":\"" name "\",\"ApiKeys\":[" keys "],\"Priority\":1," \
	"\"PerS\":500,\"Burst\":500}"

static bool trouble;

/* A configuration with one route and two tenants; free with g_free(). */
static char *config(int version, const char *type, const char *service,
		    const char *tenants)
{
	return g_strdup_printf(
		"{\"Version\":%d,\"Routes\":[{\"Name\":\"r-1\",\"Host\":"
		"\"desk\",\"PathPrefix\":\"/\",\"Type\":\"%s\","
		"\"TimeoutMs\":1000,\"TargetLatencyMs\":400,\"Priority\":1,"
		"\"Service\":\"%s\",\"MaxAttempts\":2,"
		"\"MaxStalenessMs\":2500,\"Public\":false}],%s,"
		"\"Tenants\":[%s]}",
		version, type, service, SERVICES, tenants);
}

static gint64 put_config(int version, const char *type, const char *service,
			 const char *tenants)
{
	char *text = config(version, type, service, tenants);
	gint64 at = rig_config(text);

	g_free(text);
	return at;
}

/* Serves on all instances, and waits until all machines are in touch. */
static bool settle(const char *key)
{
	int i;

	rig_start_instances();
	for (i = 0; i < RIG_INSTANCES; i++)
		if (!rig_until_served(i, "desk", key, "WRITE start x"))
			return false;
	rig_sleep_until(rig_now() + SETTLE_MS);
	return true;
}

/* Whether a statement ran as another tenant than the holder of its key. */
static bool is_foreign(const char *id, const char *holder, gint64 after_ms)
{
	struct rig_run run;

	if (!rig_find_run(id, &run) || !strcmp(run.tenant, holder))
		return false;
	rig_record("BROKEN: %s, sent %" G_GINT64_FORMAT
		   " ms after the acknowledgement, ran as tenant %s; its key "
		   "is held by %s",
		   id, after_ms, run.tenant, holder);
	return true;
}

/*
 * A key moves from one tenant to another while a client that has presented it
 * is in a transaction.
 */
static int moved_key(void)
{
	static const int pauses_ms[] = { 1500, 1600, 600, 1500 };
	const char *holder = trouble ? "beta" : "acme";
	struct rig_client c, fresh;
	gint64 acked, sent;
	bool broken = false;
	size_t i;

	rig_service("svca");
	rig_service("svcb");
	put_config(1, "primary", "svca",
		   TENANT("acme", "\"key-own\",\"key-moved\"") "," TENANT(
			   "beta", "\"key-beta\""));
	if (!settle("key-own") || !rig_open(&c, 0, "desk", "key-moved") ||
	    !rig_query(&c, "BEGIN") || !rig_query(&c, "WRITE bill 1"))
		return RIG_NOT_RUN;
	acked = trouble ? put_config(
				  2, "primary", "svca",
				  TENANT("acme", "\"key-own\"") "," TENANT(
					  "beta", "\"key-beta\",\"key-moved\""))
			: rig_now();
	for (i = 0; i < G_N_ELEMENTS(pauses_ms) && !c.closed; i++) {
		rig_sleep_until(rig_now() + pauses_ms[i]);
		sent = rig_now() - acked;
		rig_query(&c, i + 1 < G_N_ELEMENTS(pauses_ms) ? "READ bill"
							      : "COMMIT");
		if (sent > CONFIG_APPLY_MS)
			broken |= is_foreign(c.last_id, holder, sent);
	}
	rig_close(&c);
	/* Which tenant a new session with the key is. */
	if (rig_open(&fresh, 0, "desk", "key-moved")) {
		sent = rig_now() - acked;
		rig_query(&fresh, "READ bill");
		broken |= is_foreign(fresh.last_id, holder, sent);
	}
	rig_close(&fresh);
	return broken ? RIG_BROKEN : RIG_HELD;
}

/* Repeats a statement until it runs at a member of a service. */
static bool query_at(struct rig_client *c, const char *text,
		     const char *service, struct rig_run *run)
{
	char prefix[32];
	int i;

	g_snprintf(prefix, sizeof(prefix), "i-%s-", service);
	for (i = 0; i < 40 && !c->closed; i++) {
		if (rig_query(c, text) && rig_find_run(c->last_id, run) &&
		    g_str_has_prefix(run->member, prefix))
			return true;
		g_usleep(20000);
	}
	return false;
}

/*
 * The operator moves a route to another service and back, while a replica is
 * behind. A session that wrote before then reads its own write.
 */
static int route_back(void)
{
	const char *tenants = TENANT("acme", "\"key-own\"");
	struct rig_service *a = rig_service("svca");
	int i, version = 1, tried = 0;
	struct rig_client c;
	struct rig_run run;
	bool broken = false;
	uint64_t own;

	rig_service("svcb");
	put_config(version, "read_your_writes", "svca", tenants);
	if (!settle("key-own"))
		return RIG_NOT_RUN;
	/* The replica in the zone of the instance that the client uses. */
	if (trouble)
		rig_service_lag(a, 1, LAG_MS);
	rig_sleep_until(rig_now() + 3000);
	for (i = 0; i < 4; i++) {
		if (!rig_open(&c, 1, "desk", "key-own") ||
		    !query_at(&c, "WRITE shift mine", "svca", &run)) {
			rig_close(&c);
			continue;
		}
		put_config(++version, "read_your_writes", "svcb", tenants);
		rig_sleep_until(rig_now() + CONFIG_GAP_MS);
		if (!query_at(&c, "WRITE shift mine", "svcb", &run)) {
			rig_close(&c);
			continue;
		}
		own = rig_service_commits(a);
		put_config(++version, "read_your_writes", "svca", tenants);
		rig_sleep_until(rig_now() + CONFIG_GAP_MS);
		if (query_at(&c, "READ shift", "svca", &run)) {
			tried++;
			rig_record("the session's last commit at svca is "
				   "1.%" G_GUINT64_FORMAT,
				   own);
			if (run.applied < own) {
				rig_record("BROKEN: %s ran at %s on a log up "
					   "to 1.%" G_GUINT64_FORMAT,
					   run.id, run.member, run.applied);
				broken = true;
			}
		}
		rig_close(&c);
		rig_sleep_until(rig_now() + 3000);
	}
	if (!tried)
		return RIG_NOT_RUN;
	return broken ? RIG_BROKEN : RIG_HELD;
}

/*
 * Two texts with the same 64-bit FNV-1a hash, and one with another hash. Any
 * client can compute such a pair in a minute.
 */
#define SHAPE_ONE "dbdb333eb52a1f6c"
#define SHAPE_TWO "61510f8c6d9be5e8"
#define SHAPE_OTHER "61510f8c6d9be5e9"

/* Runs a prepared statement; true if what ran is not what was prepared. */
static bool runs_another(struct rig_client *c, const char *shape)
{
	struct rig_run run;

	if (!rig_query(c, "EXECUTE s1 bill") || !rig_find_run(c->last_id, &run))
		return false;
	if (!strcmp(run.shape, shape))
		return false;
	rig_record("BROKEN: %s runs shape %s, its client prepared %s", run.id,
		   run.shape, shape);
	return true;
}

/* Two clients of a tenant prepare different statements under one name. */
static int prepared(void)
{
	const char *second = trouble ? SHAPE_TWO : SHAPE_OTHER;
	char *text = g_strconcat("PREPARE s1 READ ", second, NULL);
	struct rig_client one, two;
	bool broken = false;
	int i;

	rig_service("svca");
	rig_service("svcb");
	put_config(1, "primary", "svca", TENANT("acme", "\"key-own\""));
	if (!settle("key-own") || !rig_open(&one, 0, "desk", "key-own") ||
	    !rig_open(&two, 0, "desk", "key-own") ||
	    !rig_query(&one, "PREPARE s1 READ " SHAPE_ONE) ||
	    !rig_query(&two, text))
		return RIG_NOT_RUN;
	for (i = 0; i < 5; i++) {
		broken |= runs_another(&one, SHAPE_ONE);
		broken |= runs_another(&two, second);
	}
	g_free(text);
	rig_close(&one);
	rig_close(&two);
	return broken ? RIG_BROKEN : RIG_HELD;
}

static const struct {
	const char *name;
	int (*run)(void);
} cases[] = {
	{ "moved-key", moved_key },
	{ "route-back", route_back },
	{ "prepared", prepared },
};

int main(int argc, char **argv)
{
	const char *text = getenv("TROUBLE");
	int result = RIG_NOT_RUN;
	size_t i;

	if (argc != 3) {
		fprintf(stderr, "rig CASE RECORD\n");
		return RIG_NOT_RUN;
	}
	trouble = !text || strcmp(text, "0") != 0;
	rig_begin(argv[2]);
	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		if (!strcmp(cases[i].name, argv[1]))
			result = cases[i].run();
	rig_record("result %d (0 held, 1 broken, 2 not run), trouble %d",
		   result, trouble);
	rig_end();
	return result;
}
