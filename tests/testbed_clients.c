/** @file testbed_clients.c Clients that send statements to any proxy. */
#include "testbed.h"

#include <string.h>

static bool send_statement(struct testbed *b, uint32_t proxy, struct tracked *o)
{
	struct proxy *p = &b->proxies[proxy];
	struct session *s = &b->sessions[o->session];
	struct route r;
	uint64_t owner;

	o->ended.statement.floor = s->own_commit;
	o->ended.statement.unsure = s->unsure;
	s->pending = o->ended.statement.id.seq;
	r = group_route(p->group, &o->ended.statement, 0,
			testbed_local_time(b, proxy));
	if (r.error == ERR_WRITE_LOST && !r.wait_until) {
		o->verified.result.error = ERR_WRITE_LOST;
		o->snapshot = fake_write_bits(&b->fakes.newest);
		o->floor_exists =
			fake_has_record(&b->fakes.newest, s->own_commit);
		o->verified.result.at = r.new_floor;
		testbed_log_answer(b, o);
		testbed_session_answer(b, o);
	}
	owner = r.endpoint ? group_owner(p->group, r.endpoint) : 0;
	if (!owner) {
		s->pending = 0;
		return false;
	}
	o->ended.endpoint = r.endpoint;
	o->acked = b->acked;
	o->term = group_term(p->group);
	testbed_put(b, PACKET_STATEMENT, proxy, testbed_proxy_of(owner))
		->tracked = *o;
	return true;
}

static void assign_id(struct testbed *b, struct tracked *o, uint32_t session,
		      uint32_t proxy)
{
	memset(o, 0, sizeof(*o));
	o->session = session;
	o->ended.statement.id.incarnation = testbed_incarnation(proxy);
	o->ended.statement.id.seq =
		1 + b->statements++ % (TESTBED_STATEMENTS - 1);
	o->ended.statement.database = TESTBED_DATABASE;
}

/*
 * Whether the client may send a statement to @a proxy, which must not be
 * paused. A client has at most one open statement; sometimes it abandons that
 * statement to send another.
 */
static bool client_can_send(struct testbed *b, uint32_t session, uint32_t proxy)
{
	if (b->proxies[proxy].paused)
		return false;
	return !b->sessions[session].pending || !rng_below(&b->rng, 16);
}

bool testbed_write(struct testbed *b, uint32_t session, uint32_t proxy)
{
	struct tracked o;

	if (!client_can_send(b, session, proxy) || b->writes == TESTBED_WRITES)
		return false;
	assign_id(b, &o, session, proxy);
	o.write = b->writes + 1;
	o.ended.statement.op = OP_WRITE;
	if (!send_statement(b, proxy, &o))
		return false;
	b->writes++;
	return true;
}

bool testbed_read(struct testbed *b, uint32_t session, uint32_t proxy,
		  hm_time max_age)
{
	struct tracked o;

	if (!client_can_send(b, session, proxy))
		return false;
	assign_id(b, &o, session, proxy);
	o.ended.statement.op = OP_READ;
	o.ended.statement.max_age = max_age;
	return send_statement(b, proxy, &o);
}

void testbed_take_ownership(struct testbed *b, uint32_t proxy, uint32_t member)
{
	struct proxy *p = &b->proxies[proxy];
	struct fake_member *m = &b->fakes.members[member];

	if (p->paused || m->down ||
	    !testbed_linked(b, proxy, TESTBED_PROXIES + member) ||
	    peers_alive(p->peers, m->owner))
		return;
	m->owner = testbed_incarnation(proxy);
	p->owns[member] = true;
	p->probe_at = 0;
}
