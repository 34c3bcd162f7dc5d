/**
 * @file metrics.h
 * Counters and histograms, written in the text exposition format of
 * Prometheus. The functions do not lock: a histogram belongs to one thread.
 */
#ifndef METRICS_H
#define METRICS_H

#include <glib.h>

#include "../core/types.h"

/**
 * Buckets of a histogram. The upper bound of the first is 100 microseconds,
 * each further bound is 1.5 times the one before.
 */
#define HISTOGRAM_BUCKETS 32

/** Durations counted by bucket. An all-zero histogram is empty and valid. */
struct histogram {
	uint64_t buckets[HISTOGRAM_BUCKETS]; /**< the last has no upper bound */
	uint64_t count;
	hm_time sum;
};

/** Counts one duration. */
void histogram_add(struct histogram *h, hm_time duration);
/** Upper bound of the durations in bucket @a index, HM_NEVER for the last. */
hm_time histogram_bound(uint32_t index);

/** Writes the HELP and TYPE lines of a metric. */
void metrics_family(GString *out, const char *name, const char *type,
		    const char *help);
/**
 * Writes one value of a metric; @a labels is like "a=\"b\"", or NULL for none.
 */
void metrics_value(GString *out, const char *name, const char *labels,
		   uint64_t value);
/** Writes a metric with one value and no labels. */
void metrics_single(GString *out, const char *name, const char *type,
		    const char *help, uint64_t value);
/** Writes the buckets, the sum and the count; durations are in seconds. */
void metrics_histogram(GString *out, const char *name, const char *labels,
		       const struct histogram *h);
#endif
