/**
 * @file bench.h
 * Benchmark of the core on the model: each modelled site under each load or
 * fault, compared with the naive baseline.
 */
#ifndef BENCH_H
#define BENCH_H

#include <jansson.h>

#include "model.h"

/** A named load or fault. */
struct bench_case {
	const char *name;
	enum model_fault_kind fault;
	hm_time lag;	 /**< replication lag, 0 for the site's own lag */
	bool skewed;	 /**< 90 % of the requests go to one instance */
	bool overloaded; /**< account 0 sends five times its rate */
};

extern const struct bench_case bench_cases[];
extern const size_t bench_case_count;

/** Results of one case with one server over several seeds. */
struct bench_result {
	const char *site;
	const char *case_name;
	const char *server;
	uint32_t seeds;
	/** share, among the reads with a max_age, that replicas answered */
	double replica_share;
	hm_time gap_median; /**< median of each seed's longest write gap */
	hm_time gap_worst;  /**< longest write gap of all seeds */
	/**
	 * lowest ratio, over the accounts, of requests served to requests that
	 * the account was entitled to
	 */
	double worst_share;
	/**
	 * highest 99th percentile of the wait among accounts that stay within
	 * their rate
	 */
	hm_time worst_p99;
	double wrongful_refusals; /**< per 10,000 requests inside the rate */
	double unknown_outcomes;  /**< per 10,000 requests */
	hm_time p50;
	hm_time p99;
	uint64_t violations;	  /**< sum of bench_violations() */
	struct model_results sum; /**< counts summed over the seeds */
};

/** Runs a case with the seeds @a seed, @a seed + 1, ...; @a seeds runs. */
void bench_run(const struct bench_case *c, const struct model_site *site,
	       const struct model_server *server, uint64_t seed, uint32_t seeds,
	       hm_time duration, struct bench_result *out);
/**
 * Runs a case once with the core and calls @a decision for each decision that
 * an instance logs.
 */
void bench_trace_decisions(const struct bench_case *c,
			   const struct model_site *site, uint64_t seed,
			   hm_time duration,
			   void (*decision)(hm_time at, uint32_t instance,
					    const struct decision *d));
/**
 * Runs a case once and withdraws the key of account 0 in the middle of the
 * fault.
 * @return time from the withdrawal to the last request of account 0 that was
 * still served. For FAULT_PLATFORM_DOWN the time counts from the end of the
 * fault, as no instance learns of the withdrawal before.
 */
hm_time bench_withdraw_key(const struct bench_case *c,
			   const struct model_site *site, uint64_t seed);
/**
 * Sum of the violations of guarantees counted in @a f; zero for a correct
 * server.
 */
uint64_t bench_violations(const struct model_results *f);
/** Returns the result as a JSON object; the caller owns the reference. */
json_t *bench_json(const struct bench_result *result);

#endif
