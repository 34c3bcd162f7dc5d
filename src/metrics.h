/**
 * @file metrics.h
 * Counters and histograms of our own, written in the text exposition format
 * of Prometheus. A registry belongs to one task.
 */
#ifndef METRICS_H
#define METRICS_H

#include <glib.h>

#include "../core/types.h"

/** Upper bounds of latency buckets grow by half from 100 microseconds. */
#define HISTOGRAM_BUCKETS 32

/** Counts of durations by bucket; all zero is empty and valid. */
struct histogram {
	uint64_t buckets[HISTOGRAM_BUCKETS]; /**< the last has no bound */
	uint64_t count;
	hm_time sum;
};

void histogram_add(struct histogram *h, hm_time duration);
/** Upper bound of bucket @a index, HM_NEVER for the last. */
hm_time histogram_bound(uint32_t index);

/** Writes the HELP and TYPE lines of a family. */
void metrics_family(GString *out, const char *name, const char *type,
		    const char *help);
/** Writes one value; @a labels is "a=\"b\"" or NULL. */
void metrics_value(GString *out, const char *name, const char *labels,
		   uint64_t value);
/** Family of one value without labels. */
void metrics_single(GString *out, const char *name, const char *type,
		    const char *help, uint64_t value);
/** Writes buckets, sum and count in seconds. */
void metrics_histogram(GString *out, const char *name, const char *labels,
		       const struct histogram *h);
#endif
