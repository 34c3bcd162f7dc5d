/** @file slopes.c Memory and time of the core and the codec per load unit. */
#include "slopes.h"

#include <glib.h>
#include <malloc.h>
#include <string.h>
#include <time.h>

#include "../core/core.h"
#include "wire.h"

#define POINTS 5 /* measurements for each fitted line */
#define INCARNATION 1000
#define TICKS 200
#define CODEC_ROUNDS 20000
#define ID_SPREAD 0x9e3779b97f4a7c15ULL /* spreads IDs like hashes */

/* A core that gets events from this file, without endpoints or network. */
struct bench_core {
	struct core *core;
	struct core_options options;
	struct actions actions;
	hm_time now;
};

static double now_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
	return (double)ts.tv_sec * 1e9 + (double)ts.tv_nsec;
}

static double heap_bytes(void)
{
	struct mallinfo2 m = mallinfo2();

	return (double)m.uordblks + (double)m.hblkhd;
}

static void bench_core_open(struct bench_core *r)
{
	memset(r, 0, sizeof(*r));
	core_options_default(&r->options);
	r->options.incarnation = INCARNATION;
	r->options.instance = 1;
	r->options.zone_count = 4;
	r->now = HM_SEC;
	r->core = core_new(&r->options, r->now);
}

static void bench_core_close(struct bench_core *r)
{
	core_free(r->core);
	actions_free(&r->actions);
}

static void bench_core_step(struct bench_core *r, const struct event *e)
{
	core_step(r->core, e, r->now, &r->actions);
	actions_clear(&r->actions);
}

static hm_id endpoint_id(int database, uint32_t member)
{
	return ((hm_id)database * ENDPOINTS_MAX + member + 1) * ID_SPREAD;
}

static hm_id database_id(int database)
{
	return ((hm_id)database + 1) * ID_SPREAD;
}

static void add_contract(struct bench_core *r, int i)
{
	struct contract c = { 0 };
	struct event e = { .kind = EV_CONTRACT, .contract = &c };

	c.account = (hm_id)i + 1;
	g_snprintf(c.name, sizeof(c.name), "account-%d", i);
	c.version = (uint64_t)i + 1;
	c.rate = 100;
	c.burst = 100;
	c.weight = 1;
	c.transactions = 4;
	c.database_count = 1;
	c.databases[0].database = database_id(0);
	c.databases[0].max_age = HM_SEC;
	g_strlcpy(c.databases[0].name, "db1", NAME_BYTES);
	c.key_count = 1;
	c.keys[0].hi = (uint64_t)i + 1;
	bench_core_step(r, &e);
}

static void add_peer(struct bench_core *r, int i)
{
	struct message m = { .kind = MSG_HEARTBEAT };
	struct event e = { .kind = EV_MESSAGE, .message = &m };

	m.from = (uint64_t)i + INCARNATION + 1;
	m.seq = (uint64_t)r->now;
	m.heartbeat.instance = (hm_id)i + 2;
	m.heartbeat.zone = (uint16_t)(i % 4);
	m.heartbeat.platform_ok = true;
	bench_core_step(r, &e);
}

static void add_database(struct bench_core *r, int i)
{
	struct database_spec d = { 0 };
	struct event e = { .kind = EV_DATABASE, .database = &d };
	uint32_t k;

	d.database = database_id(i);
	g_snprintf(d.name, sizeof(d.name), "db%d", i + 1);
	d.version = 1;
	d.endpoint_count = 3;
	for (k = 0; k < 3; k++) {
		d.endpoints[k].endpoint = endpoint_id(i, k);
		d.endpoints[k].zone = (uint16_t)(k + 1);
		d.endpoints[k].slots = 2;
		d.endpoints[k].connections = 16;
	}
	bench_core_step(r, &e);
}

static void fill_state_report(struct message *m, int database, uint32_t member)
{
	struct endpoint_state *s = &m->state.state;

	memset(m, 0, sizeof(*m));
	m->kind = MSG_STATE;
	m->from = (INCARNATION + 1 + member) * ID_SPREAD;
	s->database = database_id(database);
	s->endpoint = endpoint_id(database, member);
	s->reachable = true;
	s->role = member ? ROLE_REPLICA : ROLE_PRIMARY;
	s->promised = 1;
	s->at.term = 1;
	s->at.pos = 1000;
	s->lineage.count = 1;
	s->lineage.begin[0].term = 1;
	s->owner = m->from;
	m->state.age = HM_MS;
}

static void report_database(struct bench_core *r, int i)
{
	struct message m;
	struct event e = { .kind = EV_MESSAGE, .message = &m };
	uint32_t k;

	for (k = 0; k < 3; k++) {
		fill_state_report(&m, i, k);
		m.seq = (uint64_t)r->now;
		bench_core_step(r, &e);
	}
}

typedef void (*add_fn)(struct bench_core *r, int i);

/* Heap bytes after adding n objects. */
static double memory_cost(add_fn add, int n)
{
	double before = heap_bytes(), bytes;
	struct bench_core r;
	int i;

	bench_core_open(&r);
	for (i = 0; i < n; i++)
		add(&r, i);
	bytes = heap_bytes() - before;
	bench_core_close(&r);
	return bytes;
}

/* Nanoseconds to handle n messages that the core has handled before. */
static double repeat_cost(add_fn add, int n)
{
	struct bench_core r;
	double start, elapsed;
	int i, round;

	bench_core_open(&r);
	for (i = 0; i < n; i++)
		add(&r, i);
	start = now_ns();
	for (round = 0; round < 10; round++) {
		r.now += HM_MS;
		for (i = 0; i < n; i++)
			add(&r, i);
	}
	elapsed = (now_ns() - start) / 10;
	bench_core_close(&r);
	return elapsed;
}

/* Nanoseconds for one tick with n objects. */
static double tick_cost(add_fn add, int n)
{
	struct event e = { .kind = EV_TICK };
	struct bench_core r;
	double start, elapsed;
	int i;

	bench_core_open(&r);
	for (i = 0; i < n; i++)
		add(&r, i);
	start = now_ns();
	for (i = 0; i < TICKS; i++) {
		r.now += CORE_TICK;
		bench_core_step(&r, &e);
	}
	elapsed = (now_ns() - start) / TICKS;
	bench_core_close(&r);
	return elapsed;
}

static void add_reported_database(struct bench_core *r, int i)
{
	add_database(r, i);
	report_database(r, i);
}

/* Adds a request that keeps waiting: no endpoint is known as the primary. */
static void add_request(struct bench_core *r, int i)
{
	struct event e = { .kind = EV_REQUEST };

	if (!i) {
		add_contract(r, 0);
		add_database(r, 0);
	}
	e.request.id.incarnation = INCARNATION;
	e.request.id.seq = (uint64_t)i + 1;
	e.request.op = OP_READ;
	e.request.key.hi = 1;
	e.request.database = database_id(0);
	e.request.deadline = r->now + 3600 * HM_SEC;
	bench_core_step(r, &e);
}

/* Least-squares line through the points. */
static void fit_line(struct slope *s, const double *x, const double *y)
{
	double sx = 0, sy = 0, sxx = 0, sxy = 0, syy = 0, var;
	int i;

	for (i = 0; i < POINTS; i++) {
		sx += x[i];
		sy += y[i];
		sxx += x[i] * x[i];
		sxy += x[i] * y[i];
		syy += y[i] * y[i];
	}
	var = POINTS * sxx - sx * sx;
	s->slope = (POINTS * sxy - sx * sy) / var;
	s->base = (sy - s->slope * sx) / POINTS;
	var *= POINTS * syy - sy * sy;
	s->r_squared = var > 0 ? (POINTS * sxy - sx * sy) *
					 (POINTS * sxy - sx * sy) / var
			       : 1;
}

static const struct cost_case {
	const char *per;
	const char *unit;
	double (*cost)(add_fn add, int n);
	add_fn add;
	int step; /* increase of n from one measurement to the next */
} cost_cases[] = {
	{ "contract held", "bytes", memory_cost, add_contract, 400 },
	{ "peer known", "bytes", memory_cost, add_peer, 200 },
	{ "database known", "bytes", memory_cost, add_reported_database, 100 },
	{ "request waiting", "bytes", memory_cost, add_request, 400 },
	{ "heartbeat taken", "ns", repeat_cost, add_peer, 200 },
	{ "three state reports taken", "ns", repeat_cost, report_database,
	  100 },
	{ "contract held", "ns/tick", tick_cost, add_contract, 400 },
	{ "peer known", "ns/tick", tick_cost, add_peer, 200 },
	{ "database known", "ns/tick", tick_cost, add_reported_database, 100 },
	{ "request waiting", "ns/tick", tick_cost, add_request, 400 },
};

static void measure_case(const struct cost_case *l, struct slope *s)
{
	double x[POINTS], y[POINTS];
	int i;

	memset(s, 0, sizeof(*s));
	s->per = l->per;
	s->unit = l->unit;
	s->from = l->step;
	s->to = l->step * POINTS;
	l->cost(l->add, l->step); /* warms up the allocator */
	for (i = 0; i < POINTS; i++) {
		x[i] = (double)l->step * (i + 1);
		y[i] = l->cost(l->add, l->step * (i + 1));
	}
	fit_line(s, x, y);
}

static void fill_message(struct message *m, enum message_kind kind)
{
	memset(m, 0, sizeof(*m));
	if (kind == MSG_STATE)
		fill_state_report(m, 0, 0);
	m->kind = kind;
	m->from = UINT64_MAX / 3;
	m->seq = 1000000;
	if (kind == MSG_HEARTBEAT) {
		m->heartbeat.instance = UINT64_MAX / 5;
		m->heartbeat.config_digest = UINT64_MAX / 7;
	} else if (kind == MSG_STATEMENT) {
		m->statement.statement.id.incarnation = UINT64_MAX / 3;
		m->statement.statement.key.hi = UINT64_MAX / 3;
		m->statement.statement.key.lo = UINT64_MAX / 5;
		m->statement.statement.account = UINT64_MAX / 3;
		m->statement.statement.database = database_id(0);
		m->statement.endpoint = endpoint_id(0, 0);
	} else if (kind == MSG_RATE_REQUEST || kind == MSG_RATE_GRANT) {
		m->rate.account = UINT64_MAX / 3;
		m->rate.nonce.incarnation = m->from;
	} else if (kind == MSG_CONTROL) {
		m->control.nonce.incarnation = m->from;
		m->control.nonce.seq = NONCE_VERIFY;
		m->control.database = database_id(0);
		m->control.endpoint = endpoint_id(0, 0);
	} else if (kind == MSG_RESULT) {
		m->result.id.incarnation = m->from;
		m->result.database = database_id(0);
		m->result.endpoint = endpoint_id(0, 0);
	}
}

/* Encoded bytes of one message, and time to encode and decode it. */
static void measure_message(enum message_kind kind, const char *per,
			    struct slope *bytes, struct slope *time)
{
	struct bodies *bodies = bodies_new();
	struct message m, decoded;
	double start;
	int i;

	fill_message(&m, kind);
	memset(bytes, 0, sizeof(*bytes));
	memset(time, 0, sizeof(*time));
	bytes->per = time->per = per;
	bytes->unit = "bytes";
	time->unit = "ns";
	bytes->r_squared = time->r_squared = 1;
	time->from = time->to = CODEC_ROUNDS;
	start = now_ns();
	for (i = 0; i < CODEC_ROUNDS; i++) {
		GBytes *encoded = wire_write(&m, bodies, 1);

		bytes->slope = (double)g_bytes_get_size(encoded);
		wire_read(g_bytes_get_data(encoded, NULL),
			  g_bytes_get_size(encoded), &decoded, bodies, 1);
		g_bytes_unref(encoded);
	}
	time->slope = (now_ns() - start) / CODEC_ROUNDS;
	bodies_free(bodies);
}

int slopes_measure(struct slope out[SLOPES_MAX])
{
	static const struct {
		enum message_kind kind;
		const char *per;
	} kinds[] = {
		{ MSG_HEARTBEAT, "heartbeat message" },
		{ MSG_STATE, "state report message" },
		{ MSG_CONTROL, "control message" },
		{ MSG_RATE_REQUEST, "rate message" },
		{ MSG_STATEMENT, "statement message, no body" },
		{ MSG_RESULT, "result message, no body" },
	};
	int count = 0;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cost_cases); i++)
		measure_case(&cost_cases[i], &out[count++]);
	for (i = 0; i < G_N_ELEMENTS(kinds); i++) {
		measure_message(kinds[i].kind, kinds[i].per, &out[count],
				&out[count + 1]);
		count += 2;
	}
	return count;
}

json_t *slope_json(const struct slope *s)
{
	return json_pack("{s:s,s:s,s:f,s:f,s:f,s:i,s:i}", "per", s->per, "unit",
			 s->unit, "slope", s->slope, "base", s->base, "fit",
			 s->r_squared, "from", s->from, "to", s->to);
}
