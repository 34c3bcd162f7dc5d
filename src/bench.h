/**
 * @file bench.h
 * Experiments on the model: both deployments, each fault, ours beside the
 * naive version and beside the physical limits.
 */
#ifndef BENCH_H
#define BENCH_H

#include <jansson.h>

#include "model.h"

/** A named load or fault. */
struct bench_case {
	const char *name;
	enum model_fault_kind fault;
	hm_time lag;	 /**< of replicas, 0 for the site's own */
	bool skewed;	 /**< nine of ten callers at one instance */
	bool overloaded; /**< account 0 sends five times its rate */
};

extern const struct bench_case bench_cases[];
extern const size_t bench_case_count;

/** Figures of one case over several seeds. */
struct bench_row {
	const char *site;
	const char *name;
	const char *server;
	uint32_t seeds;
	double replica_share; /**< of aged reads */
	hm_time gap_median;   /**< of the worst gaps of each seed */
	hm_time gap_worst;
	double worst_share; /**< of entitlement, worst account and seed */
	hm_time worst_p99;
	double wrongful; /**< refusals per 10,000 inside the rate */
	double unknown;	 /**< per 10,000 requests */
	hm_time p50;
	hm_time p99;
	uint64_t violations; /**< of what must always hold, see model.h */
	struct model_results last;
};

/** Runs @a seeds seeds from @a seed on. */
void bench_run(const struct bench_case *c, const struct model_site *site,
	       const struct model_server *server, uint64_t seed, uint32_t seeds,
	       hm_time duration, struct bench_row *out);
/** As bench_run() for one seed, and tells each decision. */
void bench_watch(const struct bench_case *c, const struct model_site *site,
		 uint64_t seed, hm_time duration,
		 void (*decision)(hm_time at, uint32_t instance,
				  const struct decision *d));
/**
 * Withdraws the key of account 0 in the middle of the fault of a case.
 * @return how long after that a request of it was last served; of a fault
 * of the platform, how long after the fault ended
 */
hm_time bench_withdraw(const struct bench_case *c,
		       const struct model_site *site, uint64_t seed);
/** Sum of all counts that must be zero for a correct server. */
uint64_t bench_violations(const struct model_results *f);
/** New reference. */
json_t *bench_json(const struct bench_row *row);

#endif
