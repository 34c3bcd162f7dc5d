/**
 * @file live.h
 * Load on a running instance over real sockets, beside the same statements
 * sent straight to an endpoint.
 */
#ifndef LIVE_H
#define LIVE_H

#include <stdbool.h>

/** What to load and for how long. Texts are borrowed. */
struct live_plan {
	const char *callers; /**< "IP:port" of the instance */
	const char
		*endpoint; /**< "IP:port" of an endpoint, NULL to leave out */
	const char *key;
	const char *database;
	const char *sql;
	int clients;	/**< connections, one statement at a time on each */
	int seconds;	/**< of each of the two parts */
	int max_age_ms; /**< accepted age of the reads */
	int pid;	/**< of the instance, 0 when it is not to be measured */
};

/** What one part measured. */
struct live_figures {
	double per_second;
	double p50_ms;
	double p99_ms;
	long answered;
	long refused;
	double cpu_us_per_statement; /**< of the instance's process, or 0 */
	double bytes_per_connection; /**< growth of its memory, or 0 */
};

/** Through the instance. */
bool live_through(const struct live_plan *plan, struct live_figures *out);
/** Straight to the endpoint. */
bool live_direct(const struct live_plan *plan, struct live_figures *out);

#endif
