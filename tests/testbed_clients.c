/** @file testbed_clients.c Statements of callers that roam over a bed. */
#include "testbed.h"

#include <string.h>

static bool send_order(struct testbed *b, uint32_t proxy, struct order *o)
{
	struct proxy *p = &b->proxies[proxy];
	struct session *s = &b->sessions[o->session];
	struct route r;
	uint64_t home;

	o->ended.statement.floor = s->floor;
	o->ended.statement.unsure = s->unsure;
	s->pending = o->ended.statement.id.seq;
	r = group_route(p->group, &o->ended.statement, 0, bed_local(b, proxy));
	if (r.error == ERR_WRITE_LOST && !r.wait_until) {
		o->verified.result.error = ERR_WRITE_LOST;
		o->snapshot = fake_bits(&b->fakes.newest);
		o->floor_exists = fake_reached(&b->fakes.newest, s->floor);
		o->verified.result.at = r.new_floor;
		bed_log_answer(b, o);
		bed_session_answer(b, o);
	}
	home = r.endpoint ? group_owner(p->group, r.endpoint) : 0;
	if (!home) {
		s->pending = 0;
		return false;
	}
	o->ended.endpoint = r.endpoint;
	o->acked = b->acked;
	o->term = group_term(p->group);
	bed_put(b, PACKET_ORDER, proxy, bed_proxy_of(home))->order = *o;
	return true;
}

static void number(struct testbed *b, struct order *o, uint32_t session,
		   uint32_t proxy)
{
	memset(o, 0, sizeof(*o));
	o->session = session;
	o->ended.statement.id.incarnation = bed_life(proxy);
	o->ended.statement.id.seq = 1 + b->statements++ % (BED_STATEMENTS - 1);
	o->ended.statement.database = BED_DATABASE;
}

/* A caller has one statement out; now and then it gives up on it. */
static bool caller_free(struct testbed *b, uint32_t session, uint32_t proxy)
{
	if (b->proxies[proxy].paused)
		return false;
	return !b->sessions[session].pending || !rng_below(&b->rng, 16);
}

bool bed_write(struct testbed *b, uint32_t session, uint32_t proxy)
{
	struct order o;

	if (!caller_free(b, session, proxy) || b->writes == BED_WRITES)
		return false;
	number(b, &o, session, proxy);
	o.write = b->writes + 1;
	o.ended.statement.op = OP_WRITE;
	if (!send_order(b, proxy, &o))
		return false;
	b->writes++;
	return true;
}

bool bed_read(struct testbed *b, uint32_t session, uint32_t proxy,
	      hm_time max_age)
{
	struct order o;

	if (!caller_free(b, session, proxy))
		return false;
	number(b, &o, session, proxy);
	o.ended.statement.op = OP_READ;
	o.ended.statement.max_age = max_age;
	return send_order(b, proxy, &o);
}

void bed_take_over(struct testbed *b, uint32_t proxy, uint32_t member)
{
	struct proxy *p = &b->proxies[proxy];
	struct fake_member *m = &b->fakes.members[member];

	if (p->paused || m->down ||
	    !bed_linked(b, proxy, BED_PROXIES + member) ||
	    peers_alive(p->peers, m->home))
		return;
	m->home = bed_life(proxy);
	p->owns[member] = true;
	p->probe_at = 0;
}
