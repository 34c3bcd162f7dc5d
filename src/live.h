/**
 * @file live.h
 * Load test of a running instance over real sockets, and of an endpoint with
 * the same statements for comparison.
 */
#ifndef LIVE_H
#define LIVE_H

#include <stdbool.h>

/** Target, statement and duration of a load test. Texts are borrowed. */
struct live_plan {
	const char *instance; /**< "IP:port" of its client listener */
	const char *endpoint; /**< "IP:port", NULL for no comparison */
	const char *key;
	const char *database;
	const char *sql;
	int clients;	/**< connections, one statement at a time on each */
	int seconds;	/**< duration of each of the two measurements */
	int max_age_ms; /**< accepted age of the data read */
	/**
	 * process ID of the instance; 0: its CPU and memory are not measured
	 */
	int pid;
};

/** What one measurement found. */
struct live_result {
	double per_second;
	double p50_ms;
	double p99_ms;
	long answered;
	long refused;
	/** CPU time of the instance; 0: not measured */
	double cpu_us_per_statement;
	/** resident memory of the instance; 0: not measured */
	double bytes_per_connection;
};

/** Sends the load to the instance; false when nothing was answered. */
bool live_measure_instance(const struct live_plan *plan,
			   struct live_result *out);
/**
 * Sends the load straight to the endpoint; false when a connection fails or
 * nothing was answered.
 */
bool live_measure_endpoint(const struct live_plan *plan,
			   struct live_result *out);

#endif
