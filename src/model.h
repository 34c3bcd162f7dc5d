/**
 * @file model.h
 * Model of a deployment in virtual time: instances that run the real
 * decisions (or the naive ones), modelled endpoints with terms and an
 * asynchronous log, zones with delays, a platform, and callers with
 * sessions. Seeded: the same plan gives the same figures.
 */
#ifndef MODEL_H
#define MODEL_H

#include "../core/core.h"

#define MODEL_INSTANCES_MAX 16
#define MODEL_ACCOUNTS_MAX 16
#define MODEL_FAULTS_MAX 8

/** What serves: new, free and step of a core, or of the naive version. */
struct model_server {
	const char *name;
	void *(*create)(const struct core_options *options, hm_time now);
	void (*destroy)(void *server);
	void (*step)(void *server, const struct event *e, hm_time now,
		     struct actions *actions);
};

extern const struct model_server model_core;
extern const struct model_server model_naive;

struct model_account {
	uint32_t rate; /**< of the contract, requests per second */
	uint32_t burst;
	uint32_t weight;
	uint32_t offered;     /**< requests per second that its callers send */
	uint32_t cost_factor; /**< statement cost relative to the others */
};

/** Size and load of one user's deployment. */
struct model_site {
	const char *name;
	uint32_t instances;
	uint32_t zones;
	uint32_t databases;
	uint32_t slots;
	uint32_t connections;
	hm_time zone_delay;   /**< one way between zones */
	hm_time client_delay; /**< one way to callers */
	hm_time connect_cost;
	hm_time read_cost; /**< mean slot time of a read */
	hm_time write_cost;
	hm_time lag;		  /**< of replicas */
	uint32_t read_percent;	  /**< of requests */
	uint32_t max_age_percent; /**< of reads, accept max_age */
	hm_time max_age;
	hm_time deadline;      /**< of a request */
	uint32_t skew_percent; /**< of requests that go to instance 0 */
	uint32_t account_count;
	struct model_account accounts[MODEL_ACCOUNTS_MAX];
};

enum model_fault_kind {
	FAULT_NONE,
	FAULT_PRIMARY_DEAD,  /**< primary of database 0 is gone */
	FAULT_PRIMARY_CUT,   /**< it is cut off from the other members only */
	FAULT_ZONE_CUT,	     /**< zone of that primary is cut off */
	FAULT_INSTANCE_DEAD, /**< instance 0 is gone, restarts at the end */
	FAULT_INSTANCE_PAUSED,
	FAULT_REPLICA_BEHIND, /**< one replica lags 30 s */
	FAULT_PLATFORM_DOWN,
	FAULT_KIND_COUNT
};

struct model_fault {
	enum model_fault_kind kind;
	hm_time at;
	hm_time until;
};

struct model_plan {
	struct model_site site;
	const struct model_server *server;
	uint64_t seed;
	hm_time duration;
	struct model_fault faults[MODEL_FAULTS_MAX];
	uint32_t fault_count;
	uint32_t guards_off;
	/** Account 0 has its key withdrawn at this time, 0 for never. */
	hm_time withdraw_at;
	/** Sees each decision that an instance logs; NULL for none. */
	void (*decision)(hm_time at, uint32_t instance,
			 const struct decision *d);
};

/** What a run measured. Requests count once, by their final answer. */
struct model_results {
	uint64_t requests;
	uint64_t sent;	     /**< requests, those of the warm-up too */
	uint64_t executions; /**< statements begun at endpoints */
	uint64_t answered;
	uint64_t reads_max_age; /**< answered reads that accept an age */
	uint64_t reads_max_age_replica; /**< of these, by a replica */
	uint64_t writes_acked;
	uint64_t refused_not_run;
	uint64_t unknown;
	uint64_t no_answer;	  /**< the instance died, or was cut off */
	uint64_t inside_rate;	  /**< requests inside their rate */
	uint64_t refused_wrongly; /**< of these, refused as not run */
	uint64_t unservable; /**< refused, and nothing could have served it */
	uint64_t refused_by[ERR_COUNT];
	hm_time write_gap_worst;  /**< between acknowledgements, database 0 */
	hm_time withdrawn_served; /**< last answer after the withdrawal */
	double worst_share;	  /**< lowest served / entitled of accounts */
	hm_time worst_p99;	  /**< highest p99 wait of accounts in rate */
	hm_time p50;
	hm_time p99;
	/* Must be zero. */
	uint64_t stale_session; /**< read without the session's own write */
	uint64_t stale_age;	/**< read older than accepted */
	uint64_t acked_superseded;
	uint64_t acked_lost; /**< acknowledged, not in the final log */
	uint64_t wrong_not_run;
	uint64_t run_twice;
	uint64_t over_rate;  /**< requests let through beyond the contract */
	uint64_t over_slots; /**< statements at once beyond the limit */
	uint64_t over_connections;
	uint64_t messages; /**< between instances */
	uint64_t controls; /**< control steps at endpoints */
};

/** Runs a plan to its end. */
void model_run(const struct model_plan *plan, struct model_results *out);

/** Deployments of today. */
void model_site_library(struct model_site *site);
void model_site_tangle(struct model_site *site);

#endif
