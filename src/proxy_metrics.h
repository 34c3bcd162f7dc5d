/** @file proxy_metrics.h Writes the metrics of a proxy as text. */
#ifndef PROXY_METRICS_H
#define PROXY_METRICS_H

#include "../core/proxy.h"
#include "metrics.h"

/** Counters that are kept outside of the core. */
struct proxy_io_counters {
	uint64_t peer_dropped;
	uint64_t store_calls;
	struct histogram served;  /**< requests answered with success */
	struct histogram refused; /**< requests answered with an error */
};

/** Appends all metrics in the text exposition format of Prometheus. */
void proxy_metrics_write(GString *out, const struct proxy_counters *counters,
			 const struct proxy_io_counters *io_counters);

#endif
