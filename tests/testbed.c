/** @file testbed.c Simulates proxies and the members of one database group. */
#include "testbed.h"

#include <string.h>

#define STATEMENT_LIMIT (2 * HM_SEC)

uint32_t testbed_proxy_of(uint64_t incarnation)
{
	return (uint32_t)(incarnation - testbed_incarnation(0));
}

static uint32_t node_of(hm_id endpoint)
{
	return TESTBED_PROXIES + (uint32_t)(endpoint - fake_endpoint(0));
}

struct packet *testbed_put(struct testbed *b, enum packet_kind kind,
			   uint32_t from, uint32_t to)
{
	struct packet *p;

	if (b->in_flight_count == TESTBED_PACKETS)
		testbed_drop(b, (uint32_t)rng_below(&b->rng, TESTBED_PACKETS));
	p = &b->in_flight[b->in_flight_count++];
	p->number = ++b->packets_sent;
	p->due = 0;
	p->kind = kind;
	p->from = from;
	p->to = to;
	return p;
}

static void fill_database_spec(struct database_spec *spec)
{
	uint32_t i;

	memset(spec, 0, sizeof(*spec));
	spec->database = TESTBED_DATABASE;
	spec->endpoint_count = FAKE_MEMBERS;
	for (i = 0; i < FAKE_MEMBERS; i++) {
		spec->endpoints[i].endpoint = fake_endpoint(i);
		spec->endpoints[i].zone = (uint16_t)i;
	}
}

static void set_short_limits(struct core_options *o)
{
	o->peer_silent = 300 * HM_MS;
	o->probe_every = 150 * HM_MS;
	o->probe_silent = 100 * HM_MS;
	o->confirmation_valid = 150 * HM_MS;
	o->replica_wait = 20 * HM_MS;
}

static void fill_options(struct core_options *o, uint32_t proxy, uint64_t seed,
			 uint32_t guards_off, const struct core_options *limits)
{
	core_options_default(o);
	if (limits)
		*o = *limits;
	else
		set_short_limits(o);
	o->instance = proxy + 1;
	o->incarnation = testbed_incarnation(proxy);
	o->zone = (uint16_t)proxy;
	o->zone_count = TESTBED_PROXIES;
	o->seed = seed;
	o->guards_off = guards_off;
}

static void proxy_init(struct testbed *b, uint32_t i, uint64_t seed,
		       uint32_t guards_off, const struct core_options *limits)
{
	struct proxy *p = &b->proxies[i];
	struct database_spec spec;

	fill_database_spec(&spec);
	fill_options(&p->options, i, seed, guards_off, limits);
	p->skew = (hm_time)rng_below(&b->rng, 1000) * HM_SEC;
	p->peers = peers_new(&p->options, testbed_local_time(b, i));
	p->group = group_new(&spec, p->options.zone, guards_off);
	p->verify = verify_new(&p->options, p->group);
	p->failover = failover_new(&p->options, p->peers, p->group,
				   testbed_local_time(b, i));
	p->owns[i] = true;
	b->fakes.members[i].owner = testbed_incarnation(i);
}

void testbed_init(struct testbed *b, uint64_t seed, uint32_t guards_off,
		  const struct core_options *limits)
{
	uint32_t i;

	memset(b, 0, offsetof(struct testbed, proxies));
	memset(&b->cut, 0, sizeof(*b) - offsetof(struct testbed, cut));
	b->rng.state = seed;
	b->now = HM_SEC;
	fake_init(&b->fakes);
	b->promoted = b->fakes.promoted;
	for (i = 0; i < TESTBED_PROXIES; i++) {
		struct proxy *p = &b->proxies[i];

		memset(p, 0, offsetof(struct proxy, tracked));
		proxy_init(b, i, seed, guards_off, limits);
	}
	testbed_advance(b, 0);
}

void testbed_free(struct testbed *b)
{
	uint32_t i;

	for (i = 0; i < TESTBED_PROXIES; i++) {
		struct proxy *p = &b->proxies[i];

		dedup_free(&p->served);
		failover_free(p->failover);
		verify_free(p->verify);
		group_free(p->group);
		peers_free(p->peers);
	}
	actions_free(&b->actions);
}

void testbed_cut(struct testbed *b, uint32_t a, uint32_t c, bool cut)
{
	b->cut[a][c] = cut;
	b->cut[c][a] = cut;
}

bool testbed_linked(const struct testbed *b, uint32_t a, uint32_t c)
{
	return !b->cut[a][c];
}

static void heartbeat(struct testbed *b, uint32_t from, uint32_t to)
{
	struct proxy *p = &b->proxies[from];
	struct message m = { .kind = MSG_HEARTBEAT,
			     .from = testbed_incarnation(from) };

	if (p->paused || b->proxies[to].paused || !testbed_linked(b, from, to))
		return;
	m.seq = ++p->seq;
	m.heartbeat.instance = p->options.instance;
	m.heartbeat.zone = p->options.zone;
	peers_message(b->proxies[to].peers, &m, testbed_local_time(b, to));
}

void testbed_advance(struct testbed *b, hm_time duration)
{
	uint32_t i, j;

	b->now += duration;
	for (i = 0; i < TESTBED_PROXIES; i++)
		for (j = 0; j < TESTBED_PROXIES; j++)
			if (i != j)
				heartbeat(b, i, j);
}

/* State reports and actions */

static void perform(struct testbed *b, uint32_t proxy);
static void flush(struct testbed *b, uint32_t proxy);

static void receive_report(struct testbed *b, uint32_t proxy,
			   const struct state_report *r, uint32_t from)
{
	struct proxy *p = &b->proxies[proxy];
	hm_time now = testbed_local_time(b, proxy);

	if (r->state.reachable && r->state.owner)
		failover_set_owner(p->failover, r->state.endpoint,
				   r->state.owner);
	group_report(p->group, r, testbed_incarnation(from), 0, now);
	failover_report(p->failover, r, testbed_incarnation(from), now,
			&b->actions);
	verify_report(p->verify, r, now, &b->actions);
	perform(b, proxy);
	flush(b, proxy);
}

static void send_report(struct testbed *b, uint32_t from, uint32_t to,
			const struct state_report *r)
{
	testbed_put(b, PACKET_REPORT, from, to)->report = *r;
}

static void broadcast(struct testbed *b, uint32_t proxy,
		      const struct state_report *r)
{
	uint32_t i;

	for (i = 0; i < TESTBED_PROXIES; i++)
		if (i != proxy)
			send_report(b, proxy, i, r);
}

static void perform_send(struct testbed *b, uint32_t proxy,
			 const struct action *a)
{
	const struct message *m = &a->send.message;

	if (m->kind == MSG_CONTROL)
		testbed_put(b, PACKET_CONTROL_FORWARD, proxy,
			    testbed_proxy_of(a->send.to))
			->command = m->control;
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
			testbed_put(b, PACKET_CONTROL, proxy,
				    node_of(a->control.endpoint))
				->command = a->control;
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
		struct tracked *o = &p->tracked[v.result.id.seq];
		uint32_t ingress =
			testbed_proxy_of(o->ended.statement.id.incarnation);

		o->verified = v;
		if (v.result.error == ERR_NONE && !o->write) {
			testbed_check_read(b, o);
			b->reads_replica += o->ended.statement.max_age != 0;
		}
		if (ingress == proxy)
			testbed_put(b, PACKET_ANSWER, proxy, proxy)->tracked =
				*o;
		else
			testbed_put(b, PACKET_RESULT, proxy, ingress)->tracked =
				*o;
	}
}

/* Delivery of packets */

static void send_control(struct testbed *b, uint32_t proxy,
			 const struct control *command)
{
	testbed_put(b, PACKET_CONTROL, proxy, node_of(command->endpoint))
		->command = *command;
}

static void deliver_control_forward(struct testbed *b, const struct packet *p)
{
	if (b->proxies[p->to]
		    .owns[node_of(p->command.endpoint) - TESTBED_PROXIES])
		send_control(b, p->to, &p->command);
}

/*
 * If the confirmation of a result can expire, the ingress verifies the result
 * before it answers.
 */
static void deliver_result(struct testbed *b, const struct packet *p)
{
	struct proxy *ingress = &b->proxies[p->to];
	struct result r = p->tracked.verified.result;
	struct statement s = p->tracked.ended.statement;

	r.valid_until = p->tracked.verified.valid_until;
	if (!verify_expires(&r)) {
		testbed_put(b, PACKET_ANSWER, p->to, p->to)->tracked =
			p->tracked;
		return;
	}
	ingress->tracked[r.id.seq] = p->tracked;
	if (r.error != ERR_NONE)
		return;
	s.deadline = testbed_local_time(b, p->to) + STATEMENT_LIMIT;
	verify_reconfirm(ingress->verify, &r, &s, testbed_local_time(b, p->to),
			 &b->actions);
	perform(b, p->to);
	flush(b, p->to);
}

/*
 * Replies to the owner for a member. With slow_failures, the reply that a
 * member is unreachable arrives only after the owner's time limit probe_silent,
 * else at once.
 */
static void reply_to_control(struct testbed *b, const struct packet *p,
			     const struct state_report *r)
{
	struct packet *answer =
		testbed_put(b, PACKET_CONTROL_REPLY, p->from, p->from);

	answer->report = *r;
	if (b->slow_failures && !r->state.reachable)
		answer->due = b->now + b->proxies[0].options.probe_silent;
}

static void deliver_control(struct testbed *b, const struct packet *p)
{
	struct fake_member *m = fake_member(&b->fakes, p->command.endpoint);
	struct state_report r = { .nonce = p->command.nonce };

	if (!m->down && m->owner != testbed_incarnation(p->from)) {
		b->proxies[p->from].owns[p->to - TESTBED_PROXIES] = false;
		return;
	}
	if (b->blocked[p->command.op][p->to - TESTBED_PROXIES])
		return;
	r.state = fake_control(&b->fakes, &p->command);
	testbed_check_promotion(b);
	if (b->run_twice[p->command.op])
		r.state = fake_control(&b->fakes, &p->command);
	if (b->replies_to_lose[p->command.op]) {
		b->replies_to_lose[p->command.op]--;
		return;
	}
	reply_to_control(b, p, &r);
}

/*
 * After a failed probe, probes again over a new connection; only the second
 * failure is reported.
 */
static bool recheck(struct testbed *b, const struct packet *p)
{
	struct proxy *owner = &b->proxies[p->to];
	uint32_t member = node_of(p->report.state.endpoint) - TESTBED_PROXIES;
	struct control command = { .nonce = p->report.nonce,
				   .op = CONTROL_PROBE_NEW_CONN,
				   .database = TESTBED_DATABASE,
				   .endpoint = p->report.state.endpoint };

	owner->rechecking[member] =
		!p->report.state.reachable && !owner->rechecking[member];
	if (!owner->rechecking[member])
		return false;
	send_control(b, p->to, &command);
	return true;
}

static void deliver_control_reply(struct testbed *b, const struct packet *p)
{
	struct state_report r = p->report;
	struct proxy *owner = &b->proxies[p->to];
	bool probe = r.nonce.seq >> 56 == NONCE_OWNER >> 56;
	hm_time age = group_age(owner->group, r.state.at,
				testbed_local_time(b, p->to));

	if (age != HM_NEVER)
		r.age = age;
	if (probe && recheck(b, p))
		return;
	if (r.nonce.incarnation != testbed_incarnation(p->to))
		send_report(b, p->to, testbed_proxy_of(r.nonce.incarnation),
			    &r);
	receive_report(b, p->to, &r, p->to);
	r.nonce = (struct rid){ 0 };
	if (probe)
		broadcast(b, p->to, &r);
}

static void refuse(struct testbed *b, const struct tracked *o)
{
	struct session *s = &b->sessions[o->session];

	if (s->pending == o->ended.statement.id.seq)
		s->pending = 0;
	if (o->write)
		testbed_check_refusal(b, o->write);
}

/*
 * Ignores a repeated statement; refuses a write of another term and a statement
 * for a member that this proxy does not own.
 */
static void deliver_statement(struct testbed *b, const struct packet *p)
{
	struct proxy *owner = &b->proxies[p->to];
	const struct statement *s = &p->tracked.ended.statement;
	hm_id endpoint = p->tracked.ended.endpoint;
	uint32_t node = node_of(endpoint);
	struct packet *e;

	owner->served.disabled = owner->options.guards_off & GUARD_DEDUP;
	if (dedup_find_repeat(&owner->served, s->id, s->attempt, endpoint))
		return;
	dedup_add(&owner->served, s->id, s->attempt, endpoint);
	if (!owner->owns[node - TESTBED_PROXIES] ||
	    (p->tracked.write && p->tracked.term != group_term(owner->group))) {
		refuse(b, &p->tracked);
		return;
	}
	e = testbed_put(b, PACKET_EXECUTE, p->to, node);
	e->tracked = p->tracked;
	e->tracked.ended.started_at = testbed_local_time(b, p->to);
}

static void deliver_execute(struct testbed *b, const struct packet *p)
{
	struct fake_member *m =
		fake_member(&b->fakes, p->tracked.ended.endpoint);
	struct tracked o = p->tracked;

	if (m->down || m->owner != testbed_incarnation(p->from))
		return;
	o.ended.before = fake_at(m);
	o.snapshot = fake_write_bits(m);
	o.floor_exists =
		fake_has_record(m, o.ended.statement.floor) ||
		b->fakes.promoted > m->lineage.begin[m->lineage.count - 1].term;
	if (o.write && !fake_write(m, o.write))
		return;
	if (o.write)
		testbed_check_run(b, o.write);
	o.ended.after = fake_at(m);
	o.ended.lineage = m->lineage;
	testbed_put(b, PACKET_DONE, p->to, p->from)->tracked = o;
}

static void deliver_done(struct testbed *b, const struct packet *p)
{
	struct proxy *owner = &b->proxies[p->to];
	struct tracked *o = &owner->tracked[p->tracked.ended.statement.id.seq];

	*o = p->tracked;
	o->ended.ended_at = testbed_local_time(b, p->to);
	o->ended.statement.deadline = o->ended.ended_at + STATEMENT_LIMIT;
	verify_add(owner->verify, &o->ended, testbed_local_time(b, p->to),
		   &b->actions);
	perform(b, p->to);
	flush(b, p->to);
}

/* A command over a cut link fails as if the member were unreachable. */
static void fail_packet(struct testbed *b, const struct packet *p)
{
	struct state_report r = { .nonce = p->command.nonce };

	if (p->kind != PACKET_CONTROL)
		return;
	r.state.database = TESTBED_DATABASE;
	r.state.endpoint = p->command.endpoint;
	reply_to_control(b, p, &r);
}

static void deliver_one(struct testbed *b, struct packet *p)
{
	static void (*const deliver[])(struct testbed *,
				       const struct packet *) = {
		[PACKET_CONTROL_FORWARD] = deliver_control_forward,
		[PACKET_CONTROL] = deliver_control,
		[PACKET_CONTROL_REPLY] = deliver_control_reply,
		[PACKET_STATEMENT] = deliver_statement,
		[PACKET_EXECUTE] = deliver_execute,
		[PACKET_DONE] = deliver_done,
		[PACKET_RESULT] = deliver_result,
	};

	if (p->kind == PACKET_REPORT)
		receive_report(b, p->to, &p->report, p->from);
	else if (p->kind == PACKET_ANSWER)
		testbed_receive_answer(b, p->to, &p->tracked);
	else
		deliver[p->kind](b, p);
}

void testbed_drop(struct testbed *b, uint32_t index)
{
	b->in_flight[index] = b->in_flight[--b->in_flight_count];
}

void testbed_repeat(struct testbed *b, uint32_t index)
{
	struct packet p = b->in_flight[index];

	if (p.kind != PACKET_DONE && p.kind != PACKET_ANSWER &&
	    p.kind != PACKET_EXECUTE && p.kind != PACKET_RESULT)
		*testbed_put(b, p.kind, p.from, p.to) = p;
}

void testbed_deliver(struct testbed *b, uint32_t index)
{
	struct packet p = b->in_flight[index];

	if (p.to < TESTBED_PROXIES && b->proxies[p.to].paused)
		return;
	testbed_drop(b, index);
	if (testbed_linked(b, p.from, p.to))
		deliver_one(b, &p);
	else
		fail_packet(b, &p);
}

static void probe(struct testbed *b, uint32_t proxy)
{
	struct proxy *p = &b->proxies[proxy];
	struct control command = { .database = TESTBED_DATABASE };
	uint32_t i;

	if (testbed_local_time(b, proxy) < p->probe_at)
		return;
	p->probe_at = testbed_local_time(b, proxy) + p->options.probe_every;
	for (i = 0; i < FAKE_MEMBERS; i++) {
		if (!p->owns[i])
			continue;
		command.nonce.incarnation = testbed_incarnation(proxy);
		command.nonce.seq = NONCE_OWNER + ++p->nonce;
		command.endpoint = fake_endpoint(i);
		send_control(b, proxy, &command);
	}
}

void testbed_tick(struct testbed *b, uint32_t proxy)
{
	struct proxy *p = &b->proxies[proxy];

	if (p->paused)
		return;
	peers_tick(p->peers, testbed_local_time(b, proxy));
	probe(b, proxy);
	verify_tick(p->verify, testbed_local_time(b, proxy), &b->actions);
	perform(b, proxy);
	failover_tick(p->failover, testbed_local_time(b, proxy), &b->actions);
	perform(b, proxy);
	flush(b, proxy);
}
