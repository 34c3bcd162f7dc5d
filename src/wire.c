/**
 * @file wire.c
 * Codec of peer messages. One description of each message serves both
 * directions: a table of functions either packs a field or unpacks it.
 */
#include "wire.h"

#include <msgpack.h>
#include <string.h>

/* Results wait in the bodies for this long to be answered. */
#define RESULT_BODY_KEEP (10 * HM_SEC)
#define STATEMENT_BODY_KEEP (2 * HM_SEC)

/* First bytes of the msgpack items in use. */
#define FIXINT_LAST 0x7f
#define FIXSTR_FIRST 0xa0
#define FIXSTR_LAST 0xbf
#define BIN_FIRST 0xc4
#define BIN_LAST 0xc6
#define UINT_FIRST 0xcc
#define UINT_LAST 0xcf
#define STR_FIRST 0xd9
#define STR_LAST 0xdb

struct codec;

struct codec_table {
	void (*number)(struct codec *c, uint64_t *v);
	void (*text)(struct codec *c, char *text, size_t bytes);
	void (*body)(struct codec *c, uint64_t *id, hm_time until);
};

struct codec {
	const struct codec_table *table;
	hm_time now;
	bool failed;
	/* writing */
	msgpack_packer packer;
	const struct bodies *held;
	bool body_missing;
	/* reading */
	const char *data;
	size_t bytes;
	size_t offset;
	msgpack_unpacked item;
	struct bodies *bodies;
	uint64_t stored; /* body to drop when the message is malformed */
};

static void write_number(struct codec *c, uint64_t *v)
{
	msgpack_pack_uint64(&c->packer, *v);
}

static void write_text(struct codec *c, char *text, size_t bytes)
{
	size_t used = strnlen(text, bytes - 1);

	msgpack_pack_str(&c->packer, used);
	msgpack_pack_str_body(&c->packer, text, used);
}

static void write_body(struct codec *c, uint64_t *id, hm_time until)
{
	GBytes *bytes = *id ? bodies_get(c->held, *id) : NULL;
	size_t size = 0;
	const void *data = bytes ? g_bytes_get_data(bytes, &size) : "";

	(void)until;
	c->body_missing = *id && !bytes;
	msgpack_pack_bin(&c->packer, size);
	msgpack_pack_bin_body(&c->packer, data, size);
}

static const struct codec_table writer = { write_number, write_text,
					   write_body };

/*
 * Containers are never used, and one with a false count would make the
 * library ask for that much memory: only plain items are let through to it.
 */
static bool is_plain(const struct codec *c)
{
	uint8_t first;

	if (c->offset >= c->bytes)
		return false;
	first = (uint8_t)c->data[c->offset];
	return first <= FIXINT_LAST ||
	       (first >= FIXSTR_FIRST && first <= FIXSTR_LAST) ||
	       (first >= BIN_FIRST && first <= BIN_LAST) ||
	       (first >= UINT_FIRST && first <= UINT_LAST) ||
	       (first >= STR_FIRST && first <= STR_LAST);
}

/* Next item of @a type; NULL and failed when there is none. */
static const msgpack_object *read_item(struct codec *c,
				       msgpack_object_type type)
{
	msgpack_unpack_return got;

	if (c->failed || !is_plain(c)) {
		c->failed = true;
		return NULL;
	}
	got = msgpack_unpack_next(&c->item, c->data, c->bytes, &c->offset);
	if (got != MSGPACK_UNPACK_SUCCESS || c->item.data.type != type) {
		c->failed = true;
		return NULL;
	}
	return &c->item.data;
}

static void read_number(struct codec *c, uint64_t *v)
{
	const msgpack_object *o;

	o = read_item(c, MSGPACK_OBJECT_POSITIVE_INTEGER);
	*v = o ? o->via.u64 : 0;
}

static void read_text(struct codec *c, char *text, size_t bytes)
{
	const msgpack_object *o = read_item(c, MSGPACK_OBJECT_STR);

	memset(text, 0, bytes);
	if (!o)
		return;
	if (o->via.str.size >= bytes) {
		c->failed = true;
		return;
	}
	if (o->via.str.size)
		memcpy(text, o->via.str.ptr, o->via.str.size);
}

static void read_body(struct codec *c, uint64_t *id, hm_time until)
{
	const msgpack_object *o = read_item(c, MSGPACK_OBJECT_BIN);
	GBytes *bytes;

	*id = 0;
	if (!o || !o->via.bin.size)
		return;
	bytes = g_bytes_new(o->via.bin.ptr, o->via.bin.size);
	*id = bodies_put(c->bodies, bytes, until);
	c->stored = *id;
	g_bytes_unref(bytes);
}

static const struct codec_table reader = { read_number, read_text, read_body };

static void code_u64(struct codec *c, uint64_t *v)
{
	c->table->number(c, v);
}

static void code_u32(struct codec *c, uint32_t *v)
{
	uint64_t n = *v;

	code_u64(c, &n);
	if (n > UINT32_MAX)
		c->failed = true;
	*v = (uint32_t)n;
}

static void code_count(struct codec *c, uint32_t *v, uint32_t limit)
{
	code_u32(c, v);
	if (*v <= limit)
		return;
	c->failed = true;
	*v = 0;
}

static void code_u16(struct codec *c, uint16_t *v)
{
	uint32_t n = *v;

	code_count(c, &n, UINT16_MAX);
	*v = (uint16_t)n;
}

static void code_bool(struct codec *c, bool *v)
{
	uint32_t n = *v;

	code_count(c, &n, 1);
	*v = n;
}

/* A value of an enum below @a limit. */
#define CODE_ENUM(c, field, limit)                           \
	do {                                                 \
		uint32_t value_ = (uint32_t)(field);         \
		code_count(c, &value_, (uint32_t)(limit)-1); \
		(field) = value_;                            \
	} while (0)

/* A duration, kept as it is. */
static void code_span(struct codec *c, hm_time *v)
{
	uint64_t n = (uint64_t)*v;

	code_u64(c, &n);
	*v = (hm_time)n;
}

/* A deadline: remaining time on the wire; 0 and HM_NEVER stay. */
static void code_deadline(struct codec *c, hm_time *v)
{
	bool writing = c->table == &writer;
	bool plain = !*v || *v == HM_NEVER;
	hm_time left = plain ? *v : *v - c->now;

	if (writing && !plain && left < 1)
		left = 1;
	code_span(c, &left);
	if (writing)
		return;
	if (left < 0)
		c->failed = true;
	*v = left && left < HM_NEVER - c->now ? left + c->now : left;
}

static void code_rid(struct codec *c, struct rid *id)
{
	code_u64(c, &id->life);
	code_u64(c, &id->seq);
}

static void code_mark(struct codec *c, struct mark *m)
{
	code_u64(c, &m->term);
	code_u64(c, &m->pos);
}

static void code_tx(struct codec *c, struct tx_id *tx)
{
	code_rid(c, &tx->id);
	code_u64(c, &tx->endpoint);
}

static void code_heartbeat(struct codec *c, struct heartbeat *h)
{
	code_u64(c, &h->instance);
	code_u16(c, &h->zone);
	code_bool(c, &h->leaving);
	code_bool(c, &h->stopped);
	code_bool(c, &h->platform_ok);
	code_u64(c, &h->config_version);
	code_u64(c, &h->config_digest);
	code_u64(c, &h->echo);
}

static void code_statement(struct codec *c, struct statement *s)
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
	code_mark(c, &s->floor);
	code_span(c, &s->max_age);
	code_deadline(c, &s->deadline);
	code_tx(c, &s->tx);
	code_u32(c, &s->body_bytes);
	c->table->body(c, &s->body, s->deadline + STATEMENT_BODY_KEEP);
}

static void code_order(struct codec *c, struct statement_order *o)
{
	code_u64(c, &o->endpoint);
	code_u64(c, &o->term);
	code_u64(c, &o->to);
	code_u64(c, &o->heard);
	code_statement(c, &o->statement);
}

static void code_result(struct codec *c, struct result *r)
{
	code_rid(c, &r->id);
	CODE_ENUM(c, r->error, ERR_COUNT);
	CODE_ENUM(c, r->execution, EXEC_UNKNOWN + 1);
	code_deadline(c, &r->retry_at);
	code_deadline(c, &r->valid_until);
	code_u64(c, &r->database);
	code_u64(c, &r->endpoint);
	code_mark(c, &r->at);
	code_bool(c, &r->unsure);
	code_bool(c, &r->reset_floor);
	code_tx(c, &r->tx);
	code_span(c, &r->age_bound);
	c->table->body(c, &r->body, c->now + RESULT_BODY_KEEP);
}

static void code_control(struct codec *c, struct control *s)
{
	code_rid(c, &s->nonce);
	CODE_ENUM(c, s->op, CONTROL_FRESH + 1);
	code_u64(c, &s->database);
	code_u64(c, &s->endpoint);
	code_u64(c, &s->term);
	code_u64(c, &s->orderer);
	code_u64(c, &s->expected);
	code_u64(c, &s->target);
}

static void code_lineage(struct codec *c, struct lineage *l)
{
	uint32_t i;

	code_count(c, &l->count, LINEAGE_MAX);
	for (i = 0; i < l->count; i++)
		code_mark(c, &l->begin[i]);
}

static void code_report(struct codec *c, struct state_report *r)
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
	code_mark(c, &s->at);
	code_lineage(c, &s->lineage);
	code_u64(c, &s->home);
	code_span(c, &s->home_idle);
	code_u32(c, &r->queued);
	code_u32(c, &r->free_slots);
	code_span(c, &r->wait);
	code_span(c, &r->age);
}

static void code_rate(struct codec *c, struct rate_order *r)
{
	code_rid(c, &r->nonce);
	code_u64(c, &r->account);
	code_u32(c, &r->tokens);
	code_span(c, &r->valid);
	code_u64(c, &r->contract_version);
}

static void code_contract(struct codec *c, struct contract *k)
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
		code_span(c, &d->max_age);
	}
	code_count(c, &k->key_count, CONTRACT_KEYS_MAX);
	for (i = 0; i < k->key_count; i++) {
		code_u64(c, &k->keys[i].hi);
		code_u64(c, &k->keys[i].lo);
	}
}

static void code_endpoint(struct codec *c, struct endpoint_spec *e)
{
	code_u64(c, &e->endpoint);
	c->table->text(c, e->name, sizeof(e->name));
	c->table->text(c, e->address, sizeof(e->address));
	code_u16(c, &e->zone);
	code_bool(c, &e->leaving);
	code_u32(c, &e->slots);
	code_u32(c, &e->connections);
}

static void code_database(struct codec *c, struct database_spec *d)
{
	uint32_t i;

	code_u64(c, &d->database);
	c->table->text(c, d->name, sizeof(d->name));
	code_u64(c, &d->version);
	code_count(c, &d->endpoint_count, ENDPOINTS_MAX);
	for (i = 0; i < d->endpoint_count; i++)
		code_endpoint(c, &d->endpoints[i]);
}

static void code_message(struct codec *c, struct message *m)
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
	case MSG_STATEMENT:
		code_order(c, &m->statement);
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
	case MSG_WANT:
	case MSG_GRANT:
		code_rate(c, &m->rate);
		break;
	case MSG_CONTRACT:
		if (!m->contract)
			m->contract = g_new0(struct contract, 1);
		code_contract(c, m->contract);
		break;
	case MSG_CONTRACT_WANT:
		code_u64(c, &m->contract_want);
		break;
	case MSG_DATABASE:
		if (!m->database)
			m->database = g_new0(struct database_spec, 1);
		code_database(c, m->database);
		break;
	case MSG_KIND_COUNT:
		break;
	}
}

static GBytes *pack(const struct message *m, const struct bodies *bodies,
		    hm_time now, bool *body_missing)
{
	struct codec c = { .table = &writer, .held = bodies, .now = now };
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
	GBytes *bytes = pack(m, bodies, now, &missing);

	if (!missing || m->kind != MSG_RESULT)
		return bytes;
	/* The rows of a repeated result are gone: it ran, and that is all. */
	g_bytes_unref(bytes);
	without = *m;
	without.result.error = ERR_OUTCOME_UNKNOWN;
	without.result.execution = EXEC_RUN;
	without.result.body = 0;
	return pack(&without, bodies, now, &missing);
}

bool wire_read(const void *data, size_t bytes, struct message *m,
	       struct bodies *bodies, hm_time now)
{
	struct codec c = { .table = &reader,
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
