/** @file proxy_metrics.c Counters and histograms of a proxy. */
#include "proxy_metrics.h"

#include "log.h"

#define PREFIX "hyssopmount_"

static void write_answers(GString *out, const struct proxy_counters *f)
{
	char label[64];
	int i;

	metrics_family(out, PREFIX "answers", "counter",
		       "answers to callers by kind");
	for (i = 0; i < ERR_COUNT; i++) {
		g_snprintf(label, sizeof(label), "kind=\"%s\"",
			   error_answer((enum error)i)->code);
		metrics_value(out, PREFIX "answers", label, f->errors[i]);
	}
}

void proxy_metrics_write(GString *out, const struct proxy_counters *f,
			 const struct proxy_io_counters *c)
{
	const struct {
		const char *name;
		const char *type;
		const char *help;
		uint64_t value;
	} rows[] = {
		{ PREFIX "sessions", "gauge", "open sessions", f->clients },
		{ PREFIX "transactions", "gauge",
		  "open transactions at members held here", f->transactions },
		{ PREFIX "queued", "gauge", "statements waiting for a slot",
		  f->queued },
		{ PREFIX "connections", "gauge", "connections to members",
		  f->connections },
		{ PREFIX "peers_alive", "gauge", "instances heard lately",
		  f->peers_alive },
		{ PREFIX "config_version", "gauge", "configuration in force",
		  f->config_version },
		{ PREFIX "members_revision", "gauge", "members as of",
		  f->members.revision },
		{ PREFIX "members_era", "gauge",
		  "era of the store that the members are of", f->members.era },
		{ PREFIX "store_era", "gauge", "newest era of the store known",
		  f->store_era },
		{ PREFIX "store_returns", "counter",
		  "returns of the store from an older copy",
		  f->store_restores },
		{ PREFIX "reads_replica", "counter", "reads sent to replicas",
		  f->reads_replica },
		{ PREFIX "reads_primary", "counter", "reads sent to primaries",
		  f->reads_primary },
		{ PREFIX "retries", "counter", "statements sent elsewhere",
		  f->retries },
		{ PREFIX "promotions", "counter", "primaries replaced",
		  f->promotions },
		{ PREFIX "peer_dropped", "counter",
		  "messages to peers that did not fit", c->peer_dropped },
		{ PREFIX "store_calls", "counter", "calls to the store",
		  c->store_calls },
		{ PREFIX "log_dropped", "counter", "log lines not written",
		  log_dropped() },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		metrics_single(out, rows[i].name, rows[i].type, rows[i].help,
			       rows[i].value);
	write_answers(out, f);
	metrics_family(out, PREFIX "request_seconds", "histogram",
		       "time from a request to its answer");
	metrics_histogram(out, PREFIX "request_seconds", "outcome=\"served\"",
			  &c->served);
	metrics_histogram(out, PREFIX "request_seconds", "outcome=\"refused\"",
			  &c->refused);
}
