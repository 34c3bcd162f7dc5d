/** @file wire.c Codec of the messages between instances. */
#include "wire.h"

#include <string.h>

#include "wire_codec.h"
#include "wire_run.h"

/* How long a received body stays in the body store if nobody removes it. */
#define RESULT_BODY_LIFETIME (10 * HM_SEC)
#define STATEMENT_BODY_LIFETIME (2 * HM_SEC) /* after the deadline */

/* Packs or unpacks the ages of the evacuated zones alone. */
static void code_ages(struct wire_codec *c, struct evacuation_report *r)
{
	uint16_t z;

	for (z = 0; z < ZONES_MAX; z++)
		if ((r->requested | r->kept) & zone_bit(z))
			code_duration(c, &r->age[z]);
}

static void code_heartbeat(struct wire_codec *c, struct heartbeat *h)
{
	code_u64(c, &h->instance);
	code_u16(c, &h->zone);
	code_bool(c, &h->leaving);
	code_bool(c, &h->stopped);
	code_bool(c, &h->platform_ok);
	code_u64(c, &h->config_version);
	code_u32(c, &h->config_entries);
	code_u64(c, &h->config_digest);
	code_u64(c, &h->echo);
	code_bool(c, &h->issues_tokens);
	code_duration(c, &h->store_read_ago);
	code_u64(c, &h->store_reads);
	code_u64(c, &h->store_era);
	code_store_version(c, &h->members);
	code_store_version(c, &h->evacuation.at);
	code_u32(c, &h->evacuation.requested);
	code_u32(c, &h->evacuation.kept);
	code_duration(c, &h->evacuation.kept_for);
	code_ages(c, &h->evacuation);
	code_bool(c, &h->lacks_original);
	code_u32(c, &h->state_version);
	c->table->text(c, h->address, sizeof(h->address));
}

static void code_news(struct wire_codec *c, struct peer_news *n)
{
	uint32_t age_ms = (uint32_t)(n->age / HM_MS);

	code_u64(c, &n->incarnation);
	code_u64(c, &n->seq);
	code_u32(c, &age_ms);
	n->age = age_ms * HM_MS;
	code_u32(c, &n->state_version);
	code_bool(c, &n->full);
	if (!n->full)
		return;
	code_u64(c, &n->instance);
	code_u16(c, &n->zone);
	code_bool(c, &n->leaving);
	code_bool(c, &n->stopped);
	code_bool(c, &n->platform_ok);
	code_bool(c, &n->issues_tokens);
	c->table->text(c, n->address, sizeof(n->address));
}

static void code_digest(struct wire_codec *c, bool with_heartbeat,
			struct digest *d)
{
	uint32_t i;

	if (with_heartbeat)
		code_heartbeat(c, &d->heartbeat);
	code_count(c, &d->count, DIGEST_MAX);
	if (c->failed)
		d->count = 0;
	if (c->table == &wire_reader)
		d->news = g_new0(struct peer_news, d->count);
	for (i = 0; i < d->count && !c->failed; i++) {
		if (with_heartbeat)
			code_news(c, &d->news[i]);
		else
			code_u64(c, &d->news[i].incarnation);
	}
}

static void code_repeated(struct wire_codec *c, struct heartbeat_repeated *r)
{
	code_u64(c, &r->original);
	code_u64(c, &r->echo);
	code_duration(c, &r->store_read_ago);
	code_u64(c, &r->store_reads);
	code_bool(c, &r->lacks_original);
}

static void code_statement(struct wire_codec *c, struct statement *s)
{
	code_rid(c, &s->id);
	code_u32(c, &s->attempt);
	CODE_ENUM(c, s->op, OP_ROLLBACK + 1);
	code_bool(c, &s->idempotent);
	code_bool(c, &s->unsure);
	code_u64(c, &s->account);
	code_u64(c, &s->key.hi);
	code_u64(c, &s->key.lo);
	code_u64(c, &s->database);
	code_log_pos(c, &s->floor);
	code_duration(c, &s->max_age);
	code_deadline(c, &s->deadline);
	code_tx(c, &s->tx);
	code_u32(c, &s->body_bytes);
	c->table->body(c, &s->body, s->deadline + STATEMENT_BODY_LIFETIME);
}

static void code_forward(struct wire_codec *c, struct statement_forward *f)
{
	code_u64(c, &f->endpoint);
	code_u64(c, &f->term);
	code_u64(c, &f->to);
	code_u64(c, &f->receiver_seq);
	code_statement(c, &f->statement);
}

static void code_result(struct wire_codec *c, struct result *r)
{
	code_rid(c, &r->id);
	CODE_ENUM(c, r->error, ERR_COUNT);
	CODE_ENUM(c, r->execution, EXEC_UNKNOWN + 1);
	code_deadline(c, &r->retry_at);
	code_deadline(c, &r->valid_until);
	code_u64(c, &r->database);
	code_u64(c, &r->endpoint);
	code_log_pos(c, &r->at);
	code_bool(c, &r->unsure);
	code_bool(c, &r->reset_floor);
	code_tx(c, &r->tx);
	code_duration(c, &r->age_bound);
	c->table->body(c, &r->body, c->now + RESULT_BODY_LIFETIME);
}

static void code_control(struct wire_codec *c, struct control *s)
{
	code_rid(c, &s->nonce);
	CODE_ENUM(c, s->op, CONTROL_PROBE_NEW_CONN + 1);
	code_u64(c, &s->database);
	code_u64(c, &s->endpoint);
	code_u64(c, &s->term);
	code_u64(c, &s->requester);
	code_u64(c, &s->expected);
	code_u64(c, &s->target);
}

static void code_lineage(struct wire_codec *c, struct lineage *l)
{
	uint32_t i;

	code_count(c, &l->count, LINEAGE_MAX);
	for (i = 0; i < l->count; i++)
		code_log_pos(c, &l->begin[i]);
}

static void code_report(struct wire_codec *c, struct state_report *r)
{
	struct endpoint_state *s = &r->state;

	code_rid(c, &r->nonce);
	code_u64(c, &s->database);
	code_u64(c, &s->endpoint);
	code_bool(c, &s->reachable);
	code_bool(c, &s->refused);
	CODE_ENUM(c, s->role, ROLE_PRIMARY + 1);
	code_u64(c, &s->promised);
	code_u64(c, &s->promised_by);
	code_log_pos(c, &s->at);
	code_lineage(c, &s->lineage);
	code_u64(c, &s->owner);
	code_duration(c, &s->owner_idle);
	code_u32(c, &r->queued);
	code_u32(c, &r->free_slots);
	code_duration(c, &r->wait);
	code_duration(c, &r->age);
}

static void code_rate(struct wire_codec *c, struct rate_tokens *r)
{
	code_rid(c, &r->nonce);
	code_u64(c, &r->account);
	code_u32(c, &r->tokens);
	code_duration(c, &r->valid);
	code_u64(c, &r->contract_version);
}

static void code_contract(struct wire_codec *c, struct contract *k)
{
	uint32_t i;

	code_u64(c, &k->account);
	c->table->text(c, k->name, sizeof(k->name));
	code_u64(c, &k->version);
	code_bool(c, &k->withdrawn);
	code_bool(c, &k->serve_isolated);
	code_u32(c, &k->rate);
	code_u32(c, &k->burst);
	code_u32(c, &k->weight);
	code_u32(c, &k->transactions);
	code_count(c, &k->database_count, CONTRACT_DATABASES_MAX);
	for (i = 0; i < k->database_count; i++) {
		struct contract_database *d = &k->databases[i];

		code_u64(c, &d->database);
		c->table->text(c, d->name, sizeof(d->name));
		code_duration(c, &d->max_age);
	}
	code_count(c, &k->key_count, CONTRACT_KEYS_MAX);
	for (i = 0; i < k->key_count; i++) {
		code_u64(c, &k->keys[i].hi);
		code_u64(c, &k->keys[i].lo);
	}
}

static void code_endpoint(struct wire_codec *c, struct endpoint_spec *e)
{
	code_u64(c, &e->endpoint);
	c->table->text(c, e->name, sizeof(e->name));
	c->table->text(c, e->address, sizeof(e->address));
	code_u16(c, &e->zone);
	code_bool(c, &e->leaving);
	code_u32(c, &e->slots);
	code_u32(c, &e->connections);
}

static void code_database(struct wire_codec *c, struct database_spec *d)
{
	uint32_t i;

	code_u64(c, &d->database);
	c->table->text(c, d->name, sizeof(d->name));
	code_u64(c, &d->version);
	code_count(c, &d->endpoint_count, ENDPOINTS_MAX);
	for (i = 0; i < d->endpoint_count; i++)
		code_endpoint(c, &d->endpoints[i]);
}

static void code_message(struct wire_codec *c, struct message *m)
{
	uint32_t version = WIRE_VERSION;

	code_u32(c, &version);
	if (version != WIRE_VERSION)
		c->failed = true;
	CODE_ENUM(c, m->kind, MSG_KIND_COUNT);
	code_u64(c, &m->from);
	code_u64(c, &m->seq);
	if (c->failed)
		return;
	switch (m->kind) {
	case MSG_HEARTBEAT:
		code_heartbeat(c, &m->heartbeat);
		break;
	case MSG_HEARTBEAT_REPEATED:
		code_repeated(c, &m->repeated);
		break;
	case MSG_STATEMENT:
		code_forward(c, &m->statement);
		break;
	case MSG_RESULT:
		code_result(c, &m->result);
		break;
	case MSG_ABANDON:
		code_rid(c, &m->abandon);
		break;
	case MSG_CONTROL:
		code_control(c, &m->control);
		break;
	case MSG_STATE:
		code_report(c, &m->state);
		break;
	case MSG_RATE_REQUEST:
	case MSG_RATE_GRANT:
		code_rate(c, &m->rate);
		break;
	case MSG_CONTRACT:
		if (!m->contract)
			m->contract = g_new0(struct contract, 1);
		code_contract(c, m->contract);
		break;
	case MSG_CONTRACT_REQUEST:
		code_u64(c, &m->contract_want);
		break;
	case MSG_DATABASE:
		if (!m->database)
			m->database = g_new0(struct database_spec, 1);
		code_database(c, m->database);
		break;
	case MSG_RUN:
		wire_run_request(c, &m->run);
		break;
	case MSG_RUN_RESULT:
		wire_run_result(c, &m->ran);
		break;
	case MSG_RELEASE:
		code_rid(c, &m->release.tx);
		code_u64(c, &m->release.endpoint);
		break;
	case MSG_VIEW_REQUEST:
		code_u64(c, &m->view_want.service);
		code_u64(c, &m->view_want.seq);
		break;
	case MSG_VIEW:
		wire_view(c, &m->view);
		break;
	case MSG_DIGEST:
	case MSG_DIGEST_REQUEST:
		if (!m->digest)
			m->digest = g_new0(struct digest, 1);
		code_digest(c, m->kind == MSG_DIGEST, m->digest);
		break;
	case MSG_DOCUMENT_REQUEST:
	case MSG_DOCUMENT:
		wire_document(c, &m->document);
		break;
	case MSG_KIND_COUNT:
		break;
	}
}

static GBytes *pack_message(const struct message *m,
			    const struct bodies *bodies, hm_time now,
			    bool *body_missing)
{
	struct wire_codec c = { .table = &wire_writer,
				.source = bodies,
				.now = now };
	struct message copy = *m;
	msgpack_sbuffer buffer;
	GBytes *bytes;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&c.packer, &buffer, msgpack_sbuffer_write);
	code_message(&c, &copy);
	bytes = g_bytes_new(buffer.data, buffer.size);
	msgpack_sbuffer_destroy(&buffer);
	*body_missing = c.body_missing;
	return bytes;
}

GBytes *wire_write(const struct message *m, const struct bodies *bodies,
		   hm_time now)
{
	struct message without;
	bool missing;
	GBytes *bytes = pack_message(m, bodies, now, &missing);

	if (!missing || m->kind != MSG_RESULT)
		return bytes;
	/*
	 * When a result is sent again, its rows may have been removed from the
	 * body store. The message then contains only that the statement ran.
	 */
	g_bytes_unref(bytes);
	without = *m;
	without.result.error = ERR_OUTCOME_UNKNOWN;
	without.result.execution = EXEC_RUN;
	without.result.body = 0;
	return pack_message(&without, bodies, now, &missing);
}

bool wire_read(const void *data, size_t bytes, struct message *m,
	       struct bodies *bodies, hm_time now)
{
	struct wire_codec c = { .table = &wire_reader,
				.now = now,
				.data = data,
				.bytes = bytes,
				.bodies = bodies };

	memset(m, 0, sizeof(*m));
	if (bytes > WIRE_BYTES_MAX)
		return false;
	msgpack_unpacked_init(&c.item);
	code_message(&c, m);
	msgpack_unpacked_destroy(&c.item);
	if (!c.failed && c.offset == c.bytes)
		return true;
	message_clear(m);
	if (c.stored)
		bodies_drop(bodies, c.stored);
	return false;
}
