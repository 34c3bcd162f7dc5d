/** @file testbed.c Proxies and members of one group, with checks of answers. */
#include "testbed.h"

#include <string.h>

#define STATEMENT_LIMIT (2 * HM_SEC)

uint32_t bed_proxy_of(uint64_t life)
{
	return (uint32_t)(life - bed_life(0));
}

static uint32_t node_of(hm_id endpoint)
{
	return BED_PROXIES + (uint32_t)(endpoint - fake_endpoint(0));
}

struct packet *bed_put(struct testbed *b, enum packet_kind kind, uint32_t from,
		       uint32_t to)
{
	struct packet *p;

	if (b->in_flight_count == BED_PACKETS)
		bed_drop(b, (uint32_t)rng_below(&b->rng, BED_PACKETS));
	p = &b->in_flight[b->in_flight_count++];
	p->number = ++b->packets_sent;
	p->due = 0;
	p->kind = kind;
	p->from = from;
	p->to = to;
	return p;
}

static void spec_of(struct database_spec *spec)
{
	uint32_t i;

	memset(spec, 0, sizeof(*spec));
	spec->database = BED_DATABASE;
	spec->endpoint_count = FAKE_MEMBERS;
	for (i = 0; i < FAKE_MEMBERS; i++) {
		spec->endpoints[i].endpoint = fake_endpoint(i);
		spec->endpoints[i].zone = (uint16_t)i;
	}
}

static void short_limits(struct core_options *o)
{
	o->peer_silent = 300 * HM_MS;
	o->probe_every = 150 * HM_MS;
	o->probe_silent = 100 * HM_MS;
	o->evidence_valid = 150 * HM_MS;
	o->replica_wait = 20 * HM_MS;
}

static void options_of(struct core_options *o, uint32_t proxy, uint64_t seed,
		       uint32_t guards_off, const struct core_options *limits)
{
	core_options_default(o);
	if (limits)
		*o = *limits;
	else
		short_limits(o);
	o->instance = proxy + 1;
	o->incarnation = bed_life(proxy);
	o->zone = (uint16_t)proxy;
	o->zone_count = BED_PROXIES;
	o->seed = seed;
	o->guards_off = guards_off;
}

static void proxy_init(struct testbed *b, uint32_t i, uint64_t seed,
		       uint32_t guards_off, const struct core_options *limits)
{
	struct proxy *p = &b->proxies[i];
	struct database_spec spec;

	spec_of(&spec);
	options_of(&p->options, i, seed, guards_off, limits);
	p->skew = (hm_time)rng_below(&b->rng, 1000) * HM_SEC;
	p->peers = peers_new(&p->options, bed_local(b, i));
	p->group = group_new(&spec, p->options.zone, guards_off);
	p->verify = verify_new(&p->options, p->group);
	p->failover =
		failover_new(&p->options, p->peers, p->group, bed_local(b, i));
	p->owns[i] = true;
	b->fakes.members[i].home = bed_life(i);
}

void bed_init(struct testbed *b, uint64_t seed, uint32_t guards_off,
	      const struct core_options *limits)
{
	uint32_t i;

	memset(b, 0, offsetof(struct testbed, proxies));
	memset(&b->cut, 0, sizeof(*b) - offsetof(struct testbed, cut));
	b->rng.state = seed;
	b->now = HM_SEC;
	fake_init(&b->fakes);
	b->promoted = b->fakes.promoted;
	for (i = 0; i < BED_PROXIES; i++) {
		struct proxy *p = &b->proxies[i];

		memset(p, 0, offsetof(struct proxy, orders));
		proxy_init(b, i, seed, guards_off, limits);
	}
	bed_advance(b, 0);
}

void bed_free(struct testbed *b)
{
	uint32_t i;

	for (i = 0; i < BED_PROXIES; i++) {
		struct proxy *p = &b->proxies[i];

		dedup_free(&p->served);
		failover_free(p->failover);
		verify_free(p->verify);
		group_free(p->group);
		peers_free(p->peers);
	}
	actions_free(&b->actions);
}

void bed_cut(struct testbed *b, uint32_t a, uint32_t c, bool cut)
{
	b->cut[a][c] = cut;
	b->cut[c][a] = cut;
}

bool bed_linked(const struct testbed *b, uint32_t a, uint32_t c)
{
	return !b->cut[a][c];
}

static void heartbeat(struct testbed *b, uint32_t from, uint32_t to)
{
	struct proxy *p = &b->proxies[from];
	struct message m = { .kind = MSG_HEARTBEAT, .from = bed_life(from) };

	if (p->paused || b->proxies[to].paused || !bed_linked(b, from, to))
		return;
	m.seq = ++p->seq;
	m.heartbeat.instance = p->options.instance;
	m.heartbeat.zone = p->options.zone;
	peers_message(b->proxies[to].peers, &m, bed_local(b, to));
}

void bed_advance(struct testbed *b, hm_time step)
{
	uint32_t i, j;

	b->now += step;
	for (i = 0; i < BED_PROXIES; i++)
		for (j = 0; j < BED_PROXIES; j++)
			if (i != j)
				heartbeat(b, i, j);
}

/* Reports */

static void perform(struct testbed *b, uint32_t proxy);
static void flush(struct testbed *b, uint32_t proxy);

static void take_report(struct testbed *b, uint32_t proxy,
			const struct state_report *r, uint32_t from)
{
	struct proxy *p = &b->proxies[proxy];
	hm_time now = bed_local(b, proxy);

	if (r->state.reachable && r->state.owner)
		failover_home(p->failover, r->state.endpoint, r->state.owner);
	group_report(p->group, r, bed_life(from), 0, now);
	failover_report(p->failover, r, bed_life(from), now, &b->actions);
	verify_report(p->verify, r, now, &b->actions);
	perform(b, proxy);
	flush(b, proxy);
}

static void send_report(struct testbed *b, uint32_t from, uint32_t to,
			const struct state_report *r)
{
	bed_put(b, PACKET_REPORT, from, to)->report = *r;
}

static void broadcast(struct testbed *b, uint32_t proxy,
		      const struct state_report *r)
{
	uint32_t i;

	for (i = 0; i < BED_PROXIES; i++)
		if (i != proxy)
			send_report(b, proxy, i, r);
}

static void perform_send(struct testbed *b, uint32_t proxy,
			 const struct action *a)
{
	const struct message *m = &a->send.message;

	if (m->kind == MSG_CONTROL)
		bed_put(b, PACKET_QUESTION, proxy, bed_proxy_of(a->send.to))
			->step = m->control;
	else if (m->kind == MSG_STATE)
		broadcast(b, proxy, &m->state);
}

static void perform_log(struct testbed *b, uint32_t proxy,
			const struct decision *d)
{
	if (b->log)
		g_string_append_printf(
			b->log, "t=%d proxy=%u %s reason=%s term=%u\n",
			(int)((b->now - b->started_at) / HM_MS), proxy, d->what,
			d->reason, (unsigned int)d->at.term);
	if (!strcmp(d->what, "failover_promoted"))
		b->promotions++;
}

static void perform(struct testbed *b, uint32_t proxy)
{
	size_t i;

	for (i = 0; i < b->actions.count; i++) {
		const struct action *a = &b->actions.list[i];

		if (a->kind == ACT_SEND)
			perform_send(b, proxy, a);
		else if (a->kind == ACT_CONTROL)
			bed_put(b, PACKET_STEP, proxy,
				node_of(a->control.endpoint))
				->step = a->control;
		else if (a->kind == ACT_LOG)
			perform_log(b, proxy, &a->decision);
	}
	actions_clear(&b->actions);
}

static void flush(struct testbed *b, uint32_t proxy)
{
	struct proxy *p = &b->proxies[proxy];
	struct verified v;

	while (verify_next(p->verify, &v)) {
		struct order *o = &p->orders[v.result.id.seq];
		uint32_t entry =
			bed_proxy_of(o->ended.statement.id.incarnation);

		o->verified = v;
		if (v.result.error == ERR_NONE && !o->write) {
			bed_check_read(b, o);
			b->reads_replica += o->ended.statement.max_age != 0;
		}
		if (entry == proxy)
			bed_put(b, PACKET_ANSWER, proxy, proxy)->order = *o;
		else
			bed_put(b, PACKET_RESULT, proxy, entry)->order = *o;
	}
}

/* Delivery */

static void ask_member(struct testbed *b, uint32_t proxy,
		       const struct control *step)
{
	bed_put(b, PACKET_STEP, proxy, node_of(step->endpoint))->step = *step;
}

static void deliver_question(struct testbed *b, const struct packet *p)
{
	if (b->proxies[p->to].owns[node_of(p->step.endpoint) - BED_PROXIES])
		ask_member(b, p->to, &p->step);
}

/* A proof that runs out has to be made again by the entry. */
static void deliver_result(struct testbed *b, const struct packet *p)
{
	struct proxy *entry = &b->proxies[p->to];
	struct result r = p->order.verified.result;
	struct statement s = p->order.ended.statement;

	r.valid_until = p->order.verified.valid_until;
	if (!verify_ageing(&r)) {
		bed_put(b, PACKET_ANSWER, p->to, p->to)->order = p->order;
		return;
	}
	entry->orders[r.id.seq] = p->order;
	if (r.error != ERR_NONE)
		return;
	s.deadline = bed_local(b, p->to) + STATEMENT_LIMIT;
	verify_again(entry->verify, &r, &s, bed_local(b, p->to), &b->actions);
	perform(b, p->to);
	flush(b, p->to);
}

/* An endpoint that does not answer is given up on by a time limit. */
static void answer_step(struct testbed *b, const struct packet *p,
			const struct state_report *r)
{
	struct packet *answer = bed_put(b, PACKET_STATE, p->from, p->from);

	answer->report = *r;
	if (b->slow_failures && !r->state.reachable)
		answer->due = b->now + b->proxies[0].options.probe_silent;
}

static void deliver_step(struct testbed *b, const struct packet *p)
{
	struct fake_member *m = fake_member(&b->fakes, p->step.endpoint);
	struct state_report r = { .nonce = p->step.nonce };

	if (!m->down && m->home != bed_life(p->from)) {
		b->proxies[p->from].owns[p->to - BED_PROXIES] = false;
		return;
	}
	if (b->blocked[p->step.op][p->to - BED_PROXIES])
		return;
	r.state = fake_control(&b->fakes, &p->step);
	bed_check_promotion(b);
	if (b->run_twice[p->step.op])
		r.state = fake_control(&b->fakes, &p->step);
	if (b->replies_to_lose[p->step.op]) {
		b->replies_to_lose[p->step.op]--;
		return;
	}
	answer_step(b, p, &r);
}

/* A lost control connection is checked over a new one before it counts. */
static bool recheck(struct testbed *b, const struct packet *p)
{
	struct proxy *home = &b->proxies[p->to];
	uint32_t member = node_of(p->report.state.endpoint) - BED_PROXIES;
	struct control step = { .nonce = p->report.nonce,
				.op = CONTROL_PROBE_NEW_CONN,
				.database = BED_DATABASE,
				.endpoint = p->report.state.endpoint };

	home->rechecking[member] =
		!p->report.state.reachable && !home->rechecking[member];
	if (!home->rechecking[member])
		return false;
	ask_member(b, p->to, &step);
	return true;
}

static void deliver_state(struct testbed *b, const struct packet *p)
{
	struct state_report r = p->report;
	struct proxy *home = &b->proxies[p->to];
	bool probe = r.nonce.seq >> 56 == NONCE_OWNER >> 56;
	hm_time age = group_age(home->group, r.state.at, bed_local(b, p->to));

	if (age != HM_NEVER)
		r.age = age;
	if (probe && recheck(b, p))
		return;
	if (r.nonce.incarnation != bed_life(p->to))
		send_report(b, p->to, bed_proxy_of(r.nonce.incarnation), &r);
	take_report(b, p->to, &r, p->to);
	r.nonce = (struct rid){ 0 };
	if (probe)
		broadcast(b, p->to, &r);
}

static void refuse(struct testbed *b, const struct order *o)
{
	struct session *s = &b->sessions[o->session];

	if (s->pending == o->ended.statement.id.seq)
		s->pending = 0;
	if (o->write)
		bed_check_refusal(b, o->write);
}

/* A repeated order is ignored; one of another term or misdirected refused. */
static void deliver_order(struct testbed *b, const struct packet *p)
{
	struct proxy *home = &b->proxies[p->to];
	const struct statement *s = &p->order.ended.statement;
	hm_id endpoint = p->order.ended.endpoint;
	uint32_t node = node_of(endpoint);
	struct packet *e;

	home->served.disabled = home->options.guards_off & GUARD_DEDUP;
	if (dedup_find_repeat(&home->served, s->id, s->attempt, endpoint))
		return;
	dedup_add(&home->served, s->id, s->attempt, endpoint);
	if (!home->owns[node - BED_PROXIES] ||
	    (p->order.write && p->order.term != group_term(home->group))) {
		refuse(b, &p->order);
		return;
	}
	e = bed_put(b, PACKET_EXECUTE, p->to, node);
	e->order = p->order;
	e->order.ended.started_at = bed_local(b, p->to);
}

static void deliver_execute(struct testbed *b, const struct packet *p)
{
	struct fake_member *m = fake_member(&b->fakes, p->order.ended.endpoint);
	struct order o = p->order;

	if (m->down || m->home != bed_life(p->from))
		return;
	o.ended.before = fake_at(m);
	o.snapshot = fake_bits(m);
	o.floor_exists =
		fake_reached(m, o.ended.statement.floor) ||
		b->fakes.promoted > m->lineage.begin[m->lineage.count - 1].term;
	if (o.write && !fake_write(m, o.write))
		return;
	if (o.write)
		bed_check_run(b, o.write);
	o.ended.after = fake_at(m);
	o.ended.lineage = m->lineage;
	bed_put(b, PACKET_DONE, p->to, p->from)->order = o;
}

static void deliver_done(struct testbed *b, const struct packet *p)
{
	struct proxy *home = &b->proxies[p->to];
	struct order *o = &home->orders[p->order.ended.statement.id.seq];

	*o = p->order;
	o->ended.ended_at = bed_local(b, p->to);
	o->ended.statement.deadline = o->ended.ended_at + STATEMENT_LIMIT;
	verify_add(home->verify, &o->ended, bed_local(b, p->to), &b->actions);
	perform(b, p->to);
	flush(b, p->to);
}

/* Nothing answers over a cut link; the home finds out by its time limit. */
static void fail_packet(struct testbed *b, const struct packet *p)
{
	struct state_report r = { .nonce = p->step.nonce };

	if (p->kind != PACKET_STEP)
		return;
	r.state.database = BED_DATABASE;
	r.state.endpoint = p->step.endpoint;
	answer_step(b, p, &r);
}

static void deliver_one(struct testbed *b, struct packet *p)
{
	static void (*const deliver[])(struct testbed *,
				       const struct packet *) = {
		[PACKET_QUESTION] = deliver_question,
		[PACKET_STEP] = deliver_step,
		[PACKET_STATE] = deliver_state,
		[PACKET_ORDER] = deliver_order,
		[PACKET_EXECUTE] = deliver_execute,
		[PACKET_DONE] = deliver_done,
		[PACKET_RESULT] = deliver_result,
	};

	if (p->kind == PACKET_REPORT)
		take_report(b, p->to, &p->report, p->from);
	else if (p->kind == PACKET_ANSWER)
		bed_take_answer(b, p->to, &p->order);
	else
		deliver[p->kind](b, p);
}

void bed_drop(struct testbed *b, uint32_t index)
{
	b->in_flight[index] = b->in_flight[--b->in_flight_count];
}

void bed_repeat(struct testbed *b, uint32_t index)
{
	struct packet p = b->in_flight[index];

	if (p.kind != PACKET_DONE && p.kind != PACKET_ANSWER &&
	    p.kind != PACKET_EXECUTE && p.kind != PACKET_RESULT)
		*bed_put(b, p.kind, p.from, p.to) = p;
}

void bed_deliver(struct testbed *b, uint32_t index)
{
	struct packet p = b->in_flight[index];

	if (p.to < BED_PROXIES && b->proxies[p.to].paused)
		return;
	bed_drop(b, index);
	if (bed_linked(b, p.from, p.to))
		deliver_one(b, &p);
	else
		fail_packet(b, &p);
}

static void probe(struct testbed *b, uint32_t proxy)
{
	struct proxy *p = &b->proxies[proxy];
	struct control step = { .database = BED_DATABASE };
	uint32_t i;

	if (bed_local(b, proxy) < p->probe_at)
		return;
	p->probe_at = bed_local(b, proxy) + p->options.probe_every;
	for (i = 0; i < FAKE_MEMBERS; i++) {
		if (!p->owns[i])
			continue;
		step.nonce.incarnation = bed_life(proxy);
		step.nonce.seq = NONCE_OWNER + ++p->nonce;
		step.endpoint = fake_endpoint(i);
		ask_member(b, proxy, &step);
	}
}

void bed_tick(struct testbed *b, uint32_t proxy)
{
	struct proxy *p = &b->proxies[proxy];

	if (p->paused)
		return;
	peers_tick(p->peers, bed_local(b, proxy));
	probe(b, proxy);
	verify_tick(p->verify, bed_local(b, proxy), &b->actions);
	perform(b, proxy);
	failover_tick(p->failover, bed_local(b, proxy), &b->actions);
	perform(b, proxy);
	flush(b, proxy);
}
