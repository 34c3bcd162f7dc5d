/**
 * @file test_wire.c
 * Messages between instances: each kind is unchanged by packing and unpacking,
 * and corrupted messages are refused without a crash or a leaked body.
 */
#include <check.h>
#include <glib.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "../core/rng.h"
#include "../src/wire.h"
#include "script.h"
#include "suite.h"

#define NOW (100 * HM_SEC)
#define CORRUPTED_MESSAGES 40000
#define SEED 11

static GBytes *text(const char *s)
{
	return g_bytes_new(s, strlen(s));
}

static void fill_statement(struct message *m, struct bodies *bodies)
{
	struct statement *s = &m->statement.statement;
	GBytes *body = text("{\"sql\":\"SELECT 1\"}");

	m->statement.endpoint = 77;
	m->statement.term = 3;
	s->id.incarnation = UINT64_MAX;
	s->id.seq = 9;
	s->attempt = 2;
	s->op = OP_COMMIT;
	s->idempotent = true;
	s->unsure = true;
	s->account = 5;
	s->key.hi = 1;
	s->key.lo = 2;
	s->database = 6;
	s->floor.term = 3;
	s->floor.pos = 100;
	s->max_age = HM_SEC;
	s->deadline = NOW + 3 * HM_SEC;
	s->tx.id.seq = 4;
	s->tx.endpoint = 77;
	s->body = bodies_put(bodies, body, NOW + HM_SEC);
	g_bytes_unref(body);
}

static void fill_contract(struct message *m)
{
	struct contract *c = g_new0(struct contract, 1);

	c->account = 8;
	g_strlcpy(c->name, "library-unit", sizeof(c->name));
	c->version = 12;
	c->serve_isolated = true;
	c->rate = 10;
	c->burst = 20;
	c->database_count = 1;
	c->databases[0].database = 6;
	c->databases[0].max_age = HM_SEC;
	g_strlcpy(c->databases[0].name, "rota", NAME_BYTES);
	c->key_count = 2;
	c->keys[1].hi = 3;
	m->contract = c;
}

static void fill_database(struct message *m)
{
	struct database_spec *d = g_new0(struct database_spec, 1);

	d->database = 6;
	g_strlcpy(d->name, "rota", NAME_BYTES);
	d->version = 4;
	d->endpoint_count = 2;
	d->endpoints[1].endpoint = 77;
	d->endpoints[1].zone = 3;
	d->endpoints[1].slots = 2;
	g_strlcpy(d->endpoints[1].address, "127.0.0.1:5432", ADDRESS_BYTES);
	m->database = d;
}

static void fill_run(struct message *m)
{
	struct run_request *o = calloc(1, sizeof(*o));

	o->id.seq = 3;
	o->tx.seq = 4;
	o->endpoint = 77;
	g_strlcpy(o->account_name, "library-unit", sizeof(o->account_name));
	o->weight = 1;
	o->op = STMT_EXECUTE;
	o->scope = RUN_INSIDE;
	o->writes = true;
	o->min_position.term = 3;
	o->min_position.pos = 1207;
	o->start_by = NOW + HM_SEC;
	o->deadline = NOW + 3 * HM_SEC;
	g_strlcpy(o->request, "5c0e7a21", sizeof(o->request));
	o->text = text_copy("1a4 a value with blanks");
	o->shape = text_copy("q2c");
	o->values = calloc(1, sizeof(*o->values));
	o->values[0].name = text_copy("tz");
	o->values[0].value = text_copy("");
	o->value_count = 1;
	m->run = o;
}

static void fill_run_result(struct message *m)
{
	struct run_result *r = calloc(1, sizeof(*r));

	r->id.seq = 3;
	r->endpoint = 77;
	r->state = SESSION_OPEN;
	r->at.term = 3;
	r->at.pos = 1209;
	r->wait = 40;
	r->rows = text_copy("one\ntwo\n");
	r->row_bytes = 8;
	r->signature = text_copy("7.1f3");
	m->ran = r;
}

static void fill_view(struct message *m)
{
	struct service_view *v = calloc(1, sizeof(*v));

	v->service = 6;
	v->seq = 12;
	v->sample.term = 2;
	v->sample.pos = 99;
	v->count = 2;
	v->members[1].endpoint = 77;
	v->members[1].up = true;
	v->members[1].reached = true;
	v->members[1].paused_term = 9;
	m->view = v;
}

/* Short and full news; in a request the incarnations alone. */
static void fill_digest(struct message *m, bool with_news)
{
	struct digest *d = m->digest = g_new0(struct digest, 1);

	d->count = 2;
	d->news = g_new0(struct peer_news, 2);
	d->news[0].incarnation = 77;
	d->news[1].incarnation = 78;
	if (!with_news)
		return;
	d->heartbeat.zone = 2;
	d->heartbeat.evacuation.requested = 4;
	d->heartbeat.evacuation.age[2] = 900 * HM_MS;
	g_strlcpy(d->heartbeat.address, "10.0.0.1:7", ADDRESS_BYTES);
	d->news[0].seq = 900;
	d->news[0].age = 250 * HM_MS;
	d->news[1].full = true;
	d->news[1].instance = 5;
	d->news[1].zone = 3;
	d->news[1].stopped = true;
	d->news[1].state_version = 4;
	g_strlcpy(d->news[1].address, "10.0.0.2:7", ADDRESS_BYTES);
}

static void fill(struct message *m, enum message_kind kind,
		 struct bodies *bodies)
{
	memset(m, 0, sizeof(*m));
	m->kind = kind;
	m->from = UINT64_MAX - 1;
	m->seq = 1234;
	if (kind == MSG_STATEMENT)
		fill_statement(m, bodies);
	else if (kind == MSG_CONTRACT)
		fill_contract(m);
	else if (kind == MSG_DATABASE)
		fill_database(m);
	else if (kind == MSG_RESULT) {
		m->result.id.seq = 3;
		m->result.error = ERR_STATEMENT;
		m->result.execution = EXEC_RUN;
		m->result.retry_at = NOW + HM_SEC;
		m->result.valid_until = HM_NEVER;
	} else if (kind == MSG_STATE) {
		m->state.state.reachable = true;
		m->state.state.lineage.count = 2;
		m->state.state.lineage.begin[1].pos = 50;
		m->state.age = HM_NEVER;
	} else if (kind == MSG_HEARTBEAT) {
		m->heartbeat.zone = 3;
		m->heartbeat.leaving = true;
		m->heartbeat.echo = 55;
		m->heartbeat.store_read_ago = 70 * HM_MS;
	} else if (kind == MSG_RUN) {
		fill_run(m);
	} else if (kind == MSG_RUN_RESULT) {
		fill_run_result(m);
	} else if (kind == MSG_VIEW) {
		fill_view(m);
	} else if (kind == MSG_DIGEST || kind == MSG_DIGEST_REQUEST) {
		fill_digest(m, kind == MSG_DIGEST);
	} else if (kind == MSG_DOCUMENT) {
		m->document.version = (struct store_version){ 2, 8 };
		m->document.data = text_copy("{\"Version\":8}");
		m->document.bytes = 13;
	}
}

static GBytes *write_kind(enum message_kind kind, struct bodies *bodies)
{
	struct message m;
	GBytes *bytes;

	fill(&m, kind, bodies);
	bytes = wire_write(&m, bodies, NOW);
	message_clear(&m);
	return bytes;
}

static bool read_bytes(GBytes *bytes, struct message *m, struct bodies *bodies,
		       hm_time now)
{
	return wire_read(g_bytes_get_data(bytes, NULL), g_bytes_get_size(bytes),
			 m, bodies, now);
}

static void assert_same_run(const struct run_request *a,
			    const struct run_request *b)
{
	ck_assert_mem_eq(a, b, offsetof(struct run_request, text));
	ck_assert_str_eq(a->text, b->text);
	ck_assert_str_eq(a->shape, b->shape);
	ck_assert_uint_eq(b->value_count, 1);
	ck_assert_str_eq(b->values[0].name, "tz");
	ck_assert_str_eq(b->values[0].value, "");
}

static void assert_same_run_result(const struct run_result *a,
				   const struct run_result *b)
{
	ck_assert_mem_eq(a, b, offsetof(struct run_result, rows));
	ck_assert_uint_eq(b->row_bytes, 8);
	ck_assert_mem_eq(a->rows, b->rows, 8);
	ck_assert_str_eq(a->signature, b->signature);
}

static void assert_same_digest(const struct digest *a, const struct digest *b)
{
	ck_assert_mem_eq(&a->heartbeat, &b->heartbeat, sizeof(a->heartbeat));
	ck_assert_uint_eq(a->count, b->count);
	ck_assert_mem_eq(a->news, b->news, a->count * sizeof(*a->news));
}

START_TEST(round_trip)
{
	enum message_kind kind = (enum message_kind)_i;
	struct bodies *bodies = bodies_new();
	struct message sent, got;
	GBytes *bytes = write_kind(kind, bodies);

	fill(&sent, kind, bodies);
	ck_assert(read_bytes(bytes, &got, bodies, NOW));
	if (kind == MSG_CONTRACT) {
		ck_assert_mem_eq(sent.contract, got.contract,
				 sizeof(*got.contract));
	} else if (kind == MSG_DATABASE) {
		ck_assert_mem_eq(sent.database, got.database,
				 sizeof(*got.database));
	} else if (kind == MSG_RUN) {
		assert_same_run(sent.run, got.run);
	} else if (kind == MSG_RUN_RESULT) {
		assert_same_run_result(sent.ran, got.ran);
	} else if (kind == MSG_VIEW) {
		ck_assert_mem_eq(sent.view, got.view, sizeof(*got.view));
	} else if (kind == MSG_DIGEST || kind == MSG_DIGEST_REQUEST) {
		assert_same_digest(sent.digest, got.digest);
	} else if (kind == MSG_DOCUMENT) {
		ck_assert_uint_eq(got.document.version.era, 2);
		ck_assert_uint_eq(got.document.version.revision, 8);
		ck_assert_str_eq(got.document.data, sent.document.data);
	} else {
		if (kind == MSG_STATEMENT) {
			GBytes *body = bodies_get(bodies,
						  got.statement.statement.body);

			ck_assert_uint_eq(g_bytes_get_size(body), 18);
			got.statement.statement.body =
				sent.statement.statement.body;
		}
		ck_assert_mem_eq(&sent, &got, sizeof(got));
	}
	message_clear(&sent);
	message_clear(&got);
	g_bytes_unref(bytes);
	bodies_free(bodies);
}
END_TEST

START_TEST(deadlines_follow_the_receivers_clock)
{
	struct bodies *bodies = bodies_new();
	GBytes *bytes = write_kind(MSG_STATEMENT, bodies);
	struct message got;

	ck_assert(read_bytes(bytes, &got, bodies, 7 * HM_SEC));
	ck_assert_int_eq(got.statement.statement.deadline, 10 * HM_SEC);
	g_bytes_unref(bytes);
	bodies_free(bodies);
}
END_TEST

START_TEST(result_with_expired_rows_is_unknown)
{
	struct bodies *bodies = bodies_new();
	struct message m, got;
	GBytes *bytes;

	fill(&m, MSG_RESULT, bodies);
	m.result.error = ERR_NONE;
	m.result.body = 4711;
	bytes = wire_write(&m, bodies, NOW);
	ck_assert(read_bytes(bytes, &got, bodies, NOW));
	ck_assert_int_eq(got.result.error, ERR_OUTCOME_UNKNOWN);
	ck_assert_int_eq(got.result.execution, EXEC_RUN);
	g_bytes_unref(bytes);
	bodies_free(bodies);
}
END_TEST

START_TEST(other_versions_are_refused)
{
	struct bodies *bodies = bodies_new();
	GBytes *bytes = write_kind(MSG_HEARTBEAT, bodies);
	gsize size;
	char *data = g_bytes_unref_to_data(bytes, &size);
	struct message got;

	data[0] = WIRE_VERSION + 1;
	ck_assert(!wire_read(data, size, &got, bodies, NOW));
	g_free(data);
	bodies_free(bodies);
}
END_TEST

static char *to_hex(GBytes *bytes)
{
	GString *out = g_string_new(NULL);
	gsize size, i;
	const guint8 *data = g_bytes_get_data(bytes, &size);

	for (i = 0; i < size; i++)
		g_string_append_printf(out, "%02x", data[i]);
	g_bytes_unref(bytes);
	return g_string_free(out, FALSE);
}

static GBytes *from_hex(const char *hex)
{
	GByteArray *out = g_byte_array_new();
	guint8 byte;

	for (; hex[0] && hex[1]; hex += 2) {
		byte = (guint8)(g_ascii_xdigit_value(hex[0]) << 4 |
				g_ascii_xdigit_value(hex[1]));
		g_byte_array_append(out, &byte, 1);
	}
	return g_byte_array_free_to_bytes(out);
}

static void version_8_command(void *context, const char *line, GString *out)
{
	enum message_kind kind =
		(enum message_kind)script_int(line, "kind", MSG_KIND_COUNT);
	char *hex = script_arg(line, "frame");
	struct message m;
	GBytes *bytes;

	if (!hex) {
		hex = to_hex(write_kind(kind, context));
		g_string_append_printf(out, "%s\n", hex);
	} else {
		bytes = from_hex(hex);
		if (read_bytes(bytes, &m, context, NOW) && m.kind == kind) {
			g_string_append(out, "read\n");
			message_clear(&m);
		}
		g_bytes_unref(bytes);
	}
	g_free(hex);
}

/* A build of version 8 rejects a body frame with any other layout. */
START_TEST(body_frames_are_those_of_version_8)
{
	struct bodies *bodies = bodies_new();
	char *fault = script_run("tests/scripts/wire_version_8.txt",
				 version_8_command, bodies);

	ck_assert_msg(!fault, "%s", fault);
	bodies_free(bodies);
}
END_TEST

/* Changes random bytes of a message, and truncates some messages. */
static void corrupt(struct rng *rng, GByteArray *a)
{
	uint64_t changes = 1 + rng_below(rng, 4);

	while (changes-- && a->len)
		a->data[rng_below(rng, a->len)] = (guint8)rng_next(rng);
	if (rng_below(rng, 4) == 0)
		g_byte_array_set_size(a, (guint)rng_below(rng, a->len + 1));
}

START_TEST(corrupted_messages_are_refused_safely)
{
	struct bodies *bodies = bodies_new();
	struct rng rng = { SEED };
	int i, refused = 0;

	for (i = 0; i < CORRUPTED_MESSAGES; i++) {
		enum message_kind kind =
			(enum message_kind)(i % MSG_KIND_COUNT);
		GBytes *bytes = write_kind(kind, bodies);
		GByteArray *a = g_bytes_unref_to_array(bytes);
		struct message m;

		corrupt(&rng, a);
		if (!wire_read(a->data, a->len, &m, bodies, NOW))
			refused++;
		else
			message_clear(&m);
		g_byte_array_unref(a);
		bodies_expire(bodies, HM_NEVER);
	}
	ck_assert_int_gt(refused, CORRUPTED_MESSAGES / 4);
	ck_assert_uint_eq(bodies_count(bodies), 0);
	bodies_free(bodies);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("wire");

	tcase_add_loop_test(tc, round_trip, 0, MSG_KIND_COUNT);
	tcase_add_test(tc, deadlines_follow_the_receivers_clock);
	tcase_add_test(tc, result_with_expired_rows_is_unknown);
	tcase_add_test(tc, other_versions_are_refused);
	tcase_add_test(tc, body_frames_are_those_of_version_8);
	tcase_add_test(tc, corrupted_messages_are_refused_safely);
	return suite_run("wire", tc);
}
