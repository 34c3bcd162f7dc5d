/** @file trace_values.c Types of the core as JSON fields. */
#include "trace_values.h"

#include <glib.h>

/*
 * Reads or writes an enum as text. The first of the names is the text of 0,
 * which is omitted like all zero values.
 */
#define TRACE_ENUM(c, name, value, names)                                      \
	do {                                                                   \
		int number = (int)(value);                                     \
		codec_enum(c, name, &number, names, (int)G_N_ELEMENTS(names)); \
		(value) = number;                                              \
	} while (0)

static const char *const ops[] = { "read", "write", "begin", "commit",
				   "rollback" };
static const char *const roles[] = { "replica", "primary" };
static const char *const executions[] = { "not_run", "run", "unknown" };
static const char *const control_ops[] = { "probe",  "fence", "promote",
					   "follow", "home",  "fresh" };
static const char *const message_kinds[] = {
	"heartbeat",	 "repeated", "statement",     "result",	  "abandon",
	"control",	 "state",    "want",	      "grant",	  "contract",
	"contract_want", "database", "run",	      "ran",	  "release",
	"view_want",	 "view",     "document_want", "document", "digest",
	"digest_want"
};

G_STATIC_ASSERT(G_N_ELEMENTS(message_kinds) == MSG_KIND_COUNT);

void trace_rid(struct codec *c, const char *name, struct rid *v)
{
	struct codec in;

	if (c->state->writing && !v->incarnation && !v->seq)
		return;
	in = codec_object(c, name);
	codec_id(&in, "life", &v->incarnation);
	codec_u64(&in, "seq", &v->seq);
}

void trace_log_pos(struct codec *c, const char *name, struct log_pos *v)
{
	struct codec in;

	if (c->state->writing && !v->term && !v->pos)
		return;
	in = codec_object(c, name);
	codec_u64(&in, "term", &v->term);
	codec_u64(&in, "pos", &v->pos);
}

void trace_lineage(struct codec *c, const char *name, struct lineage *v)
{
	struct codec array, item;
	uint32_t i;

	if (c->state->writing && !v->count)
		return;
	array = codec_array(c, name, &v->count, LINEAGE_MAX);
	for (i = 0; i < v->count; i++) {
		item = codec_item(&array, i);
		codec_u64(&item, "term", &v->begin[i].term);
		codec_u64(&item, "pos", &v->begin[i].pos);
	}
}

static void trace_tx(struct codec *c, const char *name, struct tx_id *v)
{
	struct codec in;

	if (c->state->writing && !v->id.seq)
		return;
	in = codec_object(c, name);
	trace_rid(&in, "id", &v->id);
	codec_id(&in, "endpoint", &v->endpoint);
}

void trace_statement(struct codec *c, const char *name, struct statement *v)
{
	struct codec in = codec_object(c, name);

	trace_rid(&in, "id", &v->id);
	codec_u32(&in, "attempt", &v->attempt);
	TRACE_ENUM(&in, "op", v->op, ops);
	codec_bool(&in, "idempotent", &v->idempotent);
	codec_bool(&in, "unsure", &v->unsure);
	codec_id(&in, "account", &v->account);
	codec_key(&in, "key", &v->key);
	codec_id(&in, "database", &v->database);
	trace_log_pos(&in, "floor", &v->floor);
	codec_time(&in, "max_age", &v->max_age);
	codec_time(&in, "deadline", &v->deadline);
	trace_tx(&in, "tx", &v->tx);
	codec_u64(&in, "body", &v->body);
	codec_u32(&in, "body_bytes", &v->body_bytes);
}

static void trace_error(struct codec *c, const char *name, enum error *v)
{
	const char *codes[ERR_COUNT];
	int i, number = (int)*v;

	for (i = 0; i < ERR_COUNT; i++)
		codes[i] = error_answer((enum error)i)->code;
	codec_enum(c, name, &number, codes, ERR_COUNT);
	*v = (enum error)number;
}

void trace_result(struct codec *c, const char *name, struct result *v)
{
	struct codec in = codec_object(c, name);

	trace_rid(&in, "id", &v->id);
	trace_error(&in, "error", &v->error);
	TRACE_ENUM(&in, "execution", v->execution, executions);
	codec_time(&in, "retry_at", &v->retry_at);
	codec_time(&in, "valid_until", &v->valid_until);
	codec_id(&in, "database", &v->database);
	codec_id(&in, "endpoint", &v->endpoint);
	trace_log_pos(&in, "at", &v->at);
	codec_bool(&in, "unsure", &v->unsure);
	codec_bool(&in, "reset_floor", &v->reset_floor);
	trace_tx(&in, "tx", &v->tx);
	codec_u64(&in, "body", &v->body);
	codec_time(&in, "age_bound", &v->age_bound);
}

void trace_control(struct codec *c, const char *name, struct control *v)
{
	struct codec in = codec_object(c, name);

	trace_rid(&in, "nonce", &v->nonce);
	TRACE_ENUM(&in, "op", v->op, control_ops);
	codec_id(&in, "database", &v->database);
	codec_id(&in, "endpoint", &v->endpoint);
	codec_u64(&in, "term", &v->term);
	codec_id(&in, "orderer", &v->requester);
	codec_id(&in, "expected", &v->expected);
	codec_id(&in, "target", &v->target);
}

void trace_state(struct codec *c, const char *name, struct endpoint_state *v)
{
	struct codec in = codec_object(c, name);

	codec_id(&in, "database", &v->database);
	codec_id(&in, "endpoint", &v->endpoint);
	codec_bool(&in, "reachable", &v->reachable);
	codec_bool(&in, "refused", &v->refused);
	TRACE_ENUM(&in, "role", v->role, roles);
	codec_u64(&in, "promised", &v->promised);
	codec_id(&in, "promised_by", &v->promised_by);
	trace_log_pos(&in, "at", &v->at);
	trace_lineage(&in, "lineage", &v->lineage);
	codec_id(&in, "home", &v->owner);
	codec_time(&in, "home_idle", &v->owner_idle);
}

static void trace_contract_databases(struct codec *c, struct contract *v)
{
	struct codec array = codec_array(c, "databases", &v->database_count,
					 CONTRACT_DATABASES_MAX);
	struct codec item;
	uint32_t i;

	for (i = 0; i < v->database_count; i++) {
		item = codec_item(&array, i);
		codec_id(&item, "database", &v->databases[i].database);
		codec_text(&item, "name", v->databases[i].name, NAME_BYTES);
		codec_time(&item, "max_age", &v->databases[i].max_age);
	}
}

void trace_contract(struct codec *c, const char *name, struct contract *v)
{
	struct codec in = codec_object(c, name);
	struct codec array, item;
	uint32_t i;

	codec_id(&in, "account", &v->account);
	codec_text(&in, "name", v->name, NAME_BYTES);
	codec_u64(&in, "version", &v->version);
	codec_bool(&in, "withdrawn", &v->withdrawn);
	codec_bool(&in, "serve_isolated", &v->serve_isolated);
	codec_u32(&in, "rate", &v->rate);
	codec_u32(&in, "burst", &v->burst);
	codec_u32(&in, "weight", &v->weight);
	codec_u32(&in, "transactions", &v->transactions);
	trace_contract_databases(&in, v);
	array = codec_array(&in, "keys", &v->key_count, CONTRACT_KEYS_MAX);
	for (i = 0; i < v->key_count; i++) {
		item = codec_item(&array, i);
		codec_key(&item, "key", &v->keys[i]);
	}
}

static void trace_endpoint(struct codec *c, struct endpoint_spec *v)
{
	codec_id(c, "endpoint", &v->endpoint);
	codec_text(c, "name", v->name, NAME_BYTES);
	codec_text(c, "address", v->address, ADDRESS_BYTES);
	codec_u16(c, "zone", &v->zone);
	codec_bool(c, "leaving", &v->leaving);
	codec_u32(c, "slots", &v->slots);
	codec_u32(c, "connections", &v->connections);
}

void trace_database(struct codec *c, const char *name, struct database_spec *v)
{
	struct codec in = codec_object(c, name);
	struct codec array, item;
	uint32_t i;

	codec_id(&in, "database", &v->database);
	codec_text(&in, "name", v->name, NAME_BYTES);
	codec_u64(&in, "version", &v->version);
	array = codec_array(&in, "endpoints", &v->endpoint_count,
			    ENDPOINTS_MAX);
	for (i = 0; i < v->endpoint_count; i++) {
		item = codec_item(&array, i);
		trace_endpoint(&item, &v->endpoints[i]);
	}
}

void trace_evacuation(struct codec *c, struct evacuation_report *v)
{
	codec_u64(c, "evacuation_era", &v->at.era);
	codec_u64(c, "evacuation_revision", &v->at.revision);
	codec_u32(c, "evacuated", &v->requested);
	codec_u32(c, "evacuated_kept", &v->kept);
	codec_time(c, "evacuated_kept_for", &v->kept_for);
}

static void trace_heartbeat(struct codec *c, struct heartbeat *v)
{
	codec_id(c, "instance", &v->instance);
	codec_u16(c, "zone", &v->zone);
	codec_bool(c, "leaving", &v->leaving);
	codec_bool(c, "stopped", &v->stopped);
	codec_bool(c, "platform_ok", &v->platform_ok);
	codec_u64(c, "config_version", &v->config_version);
	codec_id(c, "config_digest", &v->config_digest);
	codec_u64(c, "echo", &v->echo);
	trace_evacuation(c, &v->evacuation);
}

static void trace_forward(struct codec *c, struct statement_forward *v)
{
	trace_statement(c, "statement", &v->statement);
	codec_id(c, "endpoint", &v->endpoint);
	codec_u64(c, "term", &v->term);
	codec_id(c, "to", &v->to);
	codec_u64(c, "heard", &v->receiver_seq);
}

static void trace_report(struct codec *c, struct state_report *v)
{
	trace_rid(c, "nonce", &v->nonce);
	trace_state(c, "state", &v->state);
	codec_u32(c, "queued", &v->queued);
	codec_u32(c, "free_slots", &v->free_slots);
	codec_time(c, "wait", &v->wait);
	codec_time(c, "age", &v->age);
}

static void trace_rate(struct codec *c, struct rate_tokens *v)
{
	trace_rid(c, "nonce", &v->nonce);
	codec_id(c, "account", &v->account);
	codec_u32(c, "tokens", &v->tokens);
	codec_time(c, "valid", &v->valid);
	codec_u64(c, "contract_version", &v->contract_version);
}

static void trace_message_body(struct codec *c, struct message *v)
{
	switch (v->kind) {
	case MSG_HEARTBEAT:
		trace_heartbeat(c, &v->heartbeat);
		break;
	case MSG_HEARTBEAT_REPEATED: /* never leaves the peer links */
	case MSG_DIGEST:	     /* proxies write no traces */
	case MSG_DIGEST_REQUEST:
		break;
	case MSG_STATEMENT:
		trace_forward(c, &v->statement);
		break;
	case MSG_RESULT:
		trace_result(c, "result", &v->result);
		break;
	case MSG_ABANDON:
		trace_rid(c, "id", &v->abandon);
		break;
	case MSG_CONTROL:
		trace_control(c, "control", &v->control);
		break;
	case MSG_STATE:
		trace_report(c, &v->state);
		break;
	case MSG_RATE_REQUEST:
	case MSG_RATE_GRANT:
		trace_rate(c, &v->rate);
		break;
	case MSG_CONTRACT:
		trace_contract(c, "contract", v->contract);
		break;
	case MSG_CONTRACT_REQUEST:
		codec_id(c, "account", &v->contract_want);
		break;
	case MSG_DATABASE:
		trace_database(c, "database", v->database);
		break;
	case MSG_RUN:
	case MSG_RUN_RESULT:
	case MSG_RELEASE:
	case MSG_VIEW_REQUEST:
	case MSG_VIEW:
	case MSG_DOCUMENT_REQUEST:
	case MSG_DOCUMENT:
		break; /* sent only between proxies, which record no trace */
	case MSG_KIND_COUNT:
		break;
	}
}

void trace_message(struct codec *c, const char *name, struct message *v)
{
	struct codec in = codec_object(c, name);

	TRACE_ENUM(&in, "kind", v->kind, message_kinds);
	codec_id(&in, "from", &v->from);
	codec_u64(&in, "seq", &v->seq);
	if (!c->state->writing && v->kind == MSG_CONTRACT)
		v->contract = g_new0(struct contract, 1);
	if (!c->state->writing && v->kind == MSG_DATABASE)
		v->database = g_new0(struct database_spec, 1);
	trace_message_body(&in, v);
}

void trace_message_clear(struct message *v)
{
	message_clear(v);
}

void trace_options(struct codec *c, const char *name, struct core_options *v)
{
	struct codec in = codec_object(c, name);

	codec_id(&in, "instance", &v->instance);
	codec_id(&in, "life", &v->incarnation);
	codec_u16(&in, "zone", &v->zone);
	codec_u16(&in, "zone_count", &v->zone_count);
	codec_id(&in, "seed", &v->seed);
	codec_time(&in, "heartbeat_every", &v->heartbeat_every);
	codec_time(&in, "peer_silent", &v->peer_silent);
	codec_time(&in, "probe_every", &v->probe_every);
	codec_time(&in, "probe_silent", &v->probe_silent);
	codec_time(&in, "evidence_valid", &v->confirmation_valid);
	codec_time(&in, "replica_wait", &v->replica_wait);
	codec_time(&in, "isolated_grace", &v->isolated_grace);
	codec_time(&in, "idle_transaction", &v->idle_transaction);
	codec_time(&in, "statement_limit", &v->statement_limit);
	codec_u32(&in, "queue_limit", &v->queue_limit);
	codec_u32(&in, "guards_off", &v->guards_off);
}
