/** @file proxy_metrics.c Metrics of a proxy, for Prometheus. */
#include "proxy_metrics.h"

#include "log.h"

#define PREFIX "hyssopmount_"

static void write_answers(GString *out, const struct proxy_counters *counters)
{
	char label[64];
	int i;

	metrics_family(out, PREFIX "answers", "counter",
		       "answers to callers by kind");
	for (i = 0; i < ERR_COUNT; i++) {
		g_snprintf(label, sizeof(label), "kind=\"%s\"",
			   error_answer((enum error)i)->code);
		metrics_value(out, PREFIX "answers", label,
			      counters->errors[i]);
	}
}

static void write_levels(GString *out, const char *name, const char *help,
			 const uint64_t values[PRIORITY_LEVELS])
{
	char label[32];
	int i;

	metrics_family(out, name, "counter", help);
	for (i = 0; i < PRIORITY_LEVELS; i++) {
		g_snprintf(label, sizeof(label), "level=\"%d\"", i);
		metrics_value(out, name, label, values[i]);
	}
}

void proxy_metrics_write(GString *out, const struct proxy_counters *counters,
			 const struct proxy_io_counters *io)
{
	const struct {
		const char *name;
		const char *type;
		const char *help;
		uint64_t value;
	} rows[] = {
		{ PREFIX "sessions", "gauge", "open sessions",
		  counters->clients },
		{ PREFIX "transactions", "gauge",
		  "open transactions at members held here",
		  counters->transactions },
		{ PREFIX "queued", "gauge", "statements waiting for a slot",
		  counters->queued },
		{ PREFIX "connections", "gauge", "connections to members",
		  counters->connections },
		{ PREFIX "connections_waiting", "gauge",
		  "accounts waiting for a connection", counters->conn_waiting },
		{ PREFIX "connection_waits", "counter",
		  "accounts that began to wait for a connection",
		  counters->conn_waits },
		{ PREFIX "connections_given_up", "counter",
		  "idle connections closed for another account",
		  counters->conns_given_up },
		{ PREFIX "connections_refused", "counter",
		  "connections refused by members at their limit",
		  counters->conns_refused },
		{ PREFIX "connections_reassigned", "counter",
		  "connections given to another account by starting pools",
		  counters->conns_reassigned },
		{ PREFIX "peers_alive", "gauge", "instances heard lately",
		  counters->peers_alive },
		{ PREFIX "config_version", "gauge", "configuration in force",
		  counters->config_version },
		{ PREFIX "document_copies", "counter",
		  "documents sent to instances that requested them",
		  counters->copies_sent },
		{ PREFIX "document_copies_denied", "counter",
		  "requests for documents beyond the bound on copies",
		  counters->copies_denied },
		{ PREFIX "members_revision", "gauge", "members as of",
		  counters->members.revision },
		{ PREFIX "members_era", "gauge",
		  "era of the store that the members are of",
		  counters->members.era },
		{ PREFIX "store_era", "gauge", "newest era of the store known",
		  counters->store_era },
		{ PREFIX "store_returns", "counter",
		  "returns of the store from an older copy",
		  counters->store_restores },
		{ PREFIX "evacuated_zones", "gauge",
		  "zones to which nothing is sent, as a set of bits",
		  counters->evacuated_zones },
		{ PREFIX "member_ejections", "counter",
		  "members ejected for their failures", counters->ejections },
		{ PREFIX "busy", "gauge", "1: the event loop is late",
		  counters->busy },
		{ PREFIX "busy_changes", "counter",
		  "times that the instance became busy or stopped being so",
		  counters->busy_changes },
		{ PREFIX "members_owned", "gauge",
		  "members owned by this instance", counters->members_owned },
		{ PREFIX "members_gained", "counter",
		  "members that moved to this instance",
		  counters->members_gained },
		{ PREFIX "members_lost", "counter",
		  "members that moved to another instance",
		  counters->members_lost },
		{ PREFIX "reads_replica", "counter", "reads sent to replicas",
		  counters->reads_replica },
		{ PREFIX "reads_primary", "counter", "reads sent to primaries",
		  counters->reads_primary },
		{ PREFIX "retries", "counter", "statements sent elsewhere",
		  counters->retries },
		{ PREFIX "displaced", "counter",
		  "queued statements refused for more urgent ones",
		  counters->displaced },
		{ PREFIX "confirmed_in_change", "counter",
		  "commits acknowledged during a change of their primary",
		  counters->confirmed_in_change },
		{ PREFIX "promotions", "counter", "primaries replaced",
		  counters->promotions },
		{ PREFIX "load_closed", "counter",
		  "times that a level of a member closed",
		  counters->load_closed },
		{ PREFIX "load_probes", "counter",
		  "operations sent to closed members", counters->load_probes },
		{ PREFIX "load_returns", "counter",
		  "refused operations retried at the time told",
		  counters->load_returns },
		{ PREFIX "peer_dropped", "counter",
		  "messages to peers that did not fit", io->peer_dropped },
		{ PREFIX "store_calls", "counter", "calls to the store",
		  io->store_calls },
		{ PREFIX "token_reserves", "gauge",
		  "accounts with a token reserve in the store",
		  counters->reserves_recorded },
		{ PREFIX "token_reserve_claims", "counter",
		  "token reserves claimed", counters->reserve_claims },
		{ PREFIX "token_reserve_claimed_tokens", "counter",
		  "tokens of the reserves claimed",
		  counters->reserve_tokens_claimed },
		{ PREFIX "token_reserves_lost", "counter",
		  "token reserves claimed by others or void",
		  counters->reserves_lost },
		{ PREFIX "log_dropped", "counter", "log lines not written",
		  log_dropped() },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		metrics_single(out, rows[i].name, rows[i].type, rows[i].help,
			       rows[i].value);
	write_answers(out, counters);
	write_levels(out, PREFIX "tokens_taken",
		     "rate tokens taken by operations of a level",
		     counters->tokens_taken);
	write_levels(out, PREFIX "tokens_refused",
		     "operations of a level refused without a rate token",
		     counters->tokens_refused);
	write_levels(out, PREFIX "refused_by_load",
		     "operations of a level refused by the load of members",
		     counters->refused_by_load);
	metrics_family(out, PREFIX "request_seconds", "histogram",
		       "time from a request to its answer");
	metrics_histogram(out, PREFIX "request_seconds", "outcome=\"served\"",
			  &io->served);
	metrics_histogram(out, PREFIX "request_seconds", "outcome=\"refused\"",
			  &io->refused);
}
