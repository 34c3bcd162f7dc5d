/**
 * @file model.h
 * Discrete-event simulation of a deployment in virtual time. The instances
 * run the proxy's core or a naive baseline. Endpoints with terms and an
 * asynchronously replicated log, network delays between zones, the platform
 * and clients with sessions are simulated. All random numbers come from the
 * plan's seed: the same plan gives the same results.
 */
#ifndef MODEL_H
#define MODEL_H

#include "../core/core.h"

#define MODEL_INSTANCES_MAX 16
#define MODEL_ACCOUNTS_MAX 16
#define MODEL_FAULTS_MAX 8

/**
 * Implementation of an instance under test: the proxy's core or the naive
 * baseline.
 */
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
	uint32_t rate; /**< contract rate, requests per second */
	uint32_t burst;
	uint32_t weight;
	uint32_t offered; /**< load from its clients, requests per second */
	/** multiplies the costs of its statements; 0 means 1 */
	uint32_t cost_factor;
};

/** Size and load of one simulated deployment. */
struct model_site {
	const char *name;
	uint32_t instances;
	uint32_t zones;
	uint32_t databases;
	uint32_t slots;
	uint32_t connections;
	hm_time zone_delay;   /**< one way, between zones */
	hm_time client_delay; /**< one way, client to instance */
	hm_time connect_cost;
	hm_time read_cost; /**< mean time that a read uses a slot */
	hm_time write_cost;
	/** time by which replicas are behind the primary */
	hm_time lag;
	uint32_t read_percent;	  /**< share of reads among requests */
	uint32_t max_age_percent; /**< share of reads with a max_age */
	hm_time max_age;
	hm_time deadline; /**< time limit of a request */
	/** percentage of requests always sent to instance 0 */
	uint32_t skew_percent;
	uint32_t account_count;
	struct model_account accounts[MODEL_ACCOUNTS_MAX];
};

enum model_fault_kind {
	FAULT_NONE,
	FAULT_PRIMARY_DEAD, /**< primary of database 0 is down */
	/** the primary of database 0 is isolated from its replicas */
	FAULT_PRIMARY_CUT,
	/** the zone of the primary of database 0 is isolated */
	FAULT_ZONE_CUT,
	FAULT_INSTANCE_DEAD, /**< instance 0 is down, restarts at the end */
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
	/** Time at which account 0's key is withdrawn; 0: never. */
	hm_time withdraw_at;
	/** Called for each decision that an instance logs; may be NULL. */
	void (*decision)(hm_time at, uint32_t instance,
			 const struct decision *d);
};

/**
 * Measurements of a run. A request counts once, by its final answer. Requests
 * of the warm-up count only in sent, in executions and in the violations.
 */
struct model_results {
	uint64_t requests;
	uint64_t sent;	     /**< requests, including the warm-up */
	uint64_t executions; /**< statements started at endpoints */
	uint64_t answered;
	uint64_t reads_max_age;		/**< answered reads with a max_age */
	uint64_t reads_max_age_replica; /**< of these, answered by a replica */
	uint64_t writes_acked;
	uint64_t refused_not_run;
	uint64_t unknown;
	uint64_t no_answer;	  /**< the instance was down or stopped */
	uint64_t inside_rate;	  /**< requests within their account's rate */
	uint64_t refused_wrongly; /**< of these, refused although servable */
	uint64_t unservable; /**< refused, and no instance could serve it */
	uint64_t refused_by[ERR_COUNT];
	/** longest time between two acknowledged writes of database 0 */
	hm_time write_gap_worst;
	/** time from the key's withdrawal to the last answer */
	hm_time withdrawn_served;
	/** lowest ratio of served to entitled requests of an account */
	double worst_share;
	/** highest p99 latency of an account within its rate */
	hm_time worst_p99;
	hm_time p50;
	hm_time p99;
	/* Violations of guarantees, zero in a correct run. */
	uint64_t stale_session; /**< reads without the session's own write */
	uint64_t stale_age;	/**< reads older than their max_age */
	/** Writes not in the newest primary's log when acknowledged. */
	uint64_t acked_superseded;
	uint64_t acked_lost;	/**< acknowledged, but not in the final log */
	uint64_t wrong_not_run; /**< answered as not run, although it ran */
	uint64_t run_twice;	/**< writes committed more than once */
	uint64_t over_rate;	/**< requests admitted beyond the contract */
	/**
	 * statements that ran at an endpoint beyond its limit of concurrent
	 * statements
	 */
	uint64_t over_slots;
	uint64_t over_connections; /**< connects above an endpoint's limit */
	/* Load, not a violation. */
	uint64_t messages; /**< sent between instances */
	uint64_t controls; /**< control commands sent to endpoints */
};

/** Runs a plan to its end; fills in @a out. */
void model_run(const struct model_plan *plan, struct model_results *out);

/** Fill in the sizes and loads of the two reference deployments. */
void model_site_library(struct model_site *site);
void model_site_tangle(struct model_site *site);

#endif
