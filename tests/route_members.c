/** @file route_members.c The members of the services of a route fixture. */
#include "route_members.h"

#include <check.h>
#include <string.h>

/* End of the log that a service had at a time. */
static uint64_t position_at(const struct route_service *s, hm_time at)
{
	guint i = s->commits->len;

	while (i-- > 0) {
		const struct route_commit *c =
			&g_array_index(s->commits, struct route_commit, i);

		if (c->at <= at)
			return c->pos;
	}
	return ROUTE_FIRST_POSITION;
}

uint64_t route_fixture_position(const struct route_fixture *r, uint32_t service,
				hm_time at)
{
	return position_at(&r->services[service], at);
}

/* Commits what the last statement, or its transaction, has written. */
static void commit(struct route_fixture *r, struct route_service *s)
{
	struct route_commit c = { r->now, ++s->pos };

	g_array_append_val(s->commits, c);
	g_array_index(r->runs, struct route_run, r->runs->len - 1).committed =
		s->pos;
}

static struct route_conn *conn_of(struct route_fixture *r, uint64_t number)
{
	uint32_t i;

	for (i = 0; i < r->conn_count; i++)
		if (r->conns[i].number == number && !r->conns[i].closed)
			return &r->conns[i];
	return NULL;
}

static struct route_conn *add_conn(struct route_fixture *r)
{
	uint32_t i;

	for (i = 0; i < r->conn_count; i++)
		if (r->conns[i].closed)
			return &r->conns[i];
	ck_assert_uint_lt(r->conn_count, ROUTE_CONNS);
	return &r->conns[r->conn_count++];
}

void route_members_connect(struct route_fixture *r,
			   const struct proxy_action *a)
{
	struct proxy_event e = { .kind = PROXY_MEMBER_READY };
	struct route_conn *c = add_conn(r);

	*c = (struct route_conn){ .number = a->member.conn };
	c->service = (uint32_t)(a->member.endpoint[0] - 'a');
	c->replica = a->member.endpoint[2] == '2';
	c->checks = !strcmp(a->member.who, "keeper");
	e.member.conn = c->number;
	proxy_step(r->proxy, &e, r->now, &r->out);
}

/* Records a statement, and what the member's log had. */
static bool run(struct route_fixture *r, const struct route_conn *c,
		const struct member_command *m, uint64_t applied)
{
	struct route_run s = { .service = c->service,
			       .replica = c->replica,
			       .applied = applied,
			       .lagging = m->min_position.pos > applied };

	g_strlcpy(s.request, m->request, sizeof(s.request));
	g_array_append_val(r->runs, s);
	g_string_append_printf(r->text, "%c-%d %s", (char)('a' + c->service),
			       c->replica ? 2 : 1,
			       m->kind == MEMBER_BEGIN_READ ? "begin_read"
							    : m->request);
	if (m->min_position.term)
		g_string_append_printf(
			r->text,
			" after=%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT,
			m->min_position.term, m->min_position.pos);
	g_string_append(r->text, s.lagging ? " lagging\n" : "\n");
	return !s.lagging;
}

/* Runs a command at its member and fills in the reply. */
static void command(struct route_fixture *r, struct route_conn *c,
		    const struct member_command *m, struct member_reply *to)
{
	struct route_service *s = &r->services[c->service];
	bool writes = m->op == STMT_WRITE;
	uint64_t applied = s->pos;

	if (c->replica) {
		/* A longer lag takes back nothing. */
		s->applied = MAX(s->applied, position_at(s, r->now - s->lag));
		applied = s->applied;
	}
	to->at.term = 1;
	to->signature = "proof";
	switch (m->kind) {
	case MEMBER_BEGIN:
		c->in_tx = !c->replica;
		if (c->replica)
			to->error = ERR_READ_ONLY;
		break;
	case MEMBER_BEGIN_READ:
		c->in_tx = run(r, c, m, applied);
		if (!c->in_tx)
			to->error = ERR_NOT_CAUGHT_UP;
		break;
	case MEMBER_ROLLBACK:
		c->in_tx = c->wrote = false;
		break;
	case MEMBER_STATEMENT:
		if (!run(r, c, m, applied)) {
			to->error = ERR_NOT_CAUGHT_UP;
			break;
		}
		if (m->op == STMT_COMMIT) {
			writes = c->wrote;
			c->in_tx = c->wrote = false;
		}
		if (writes && c->in_tx)
			c->wrote = true;
		else if (writes)
			commit(r, s);
		break;
	default:
		break;
	}
	to->at.pos = c->replica ? applied : s->pos;
	to->state = c->in_tx ? SESSION_OPEN : SESSION_IDLE;
}

void route_members_command(struct route_fixture *r,
			   const struct proxy_action *a)
{
	struct route_conn *c = conn_of(r, a->member.conn);
	struct route_reply held = { .conn = a->member.conn };
	struct proxy_event e = { .kind = PROXY_MEMBER_REPLIED };

	ck_assert_ptr_nonnull(c);
	if (c->checks) {
		held.reply.error = ERR_READ_ONLY;
		held.reply.at.term = 1;
		held.reply.at.pos = r->services[c->service].pos;
	} else {
		command(r, c, &a->member.command, &held.reply);
		if (r->hold && a->member.command.kind == MEMBER_STATEMENT) {
			g_array_append_val(r->held, held);
			return;
		}
	}
	e.member.conn = held.conn;
	e.member.reply = &held.reply;
	proxy_step(r->proxy, &e, r->now, &r->out);
}

void route_members_close(struct route_fixture *r, const struct proxy_action *a)
{
	struct route_conn *c = conn_of(r, a->member.conn);

	if (c)
		c->closed = true;
}

bool route_members_next_held(struct route_fixture *r, struct route_reply *out)
{
	while (r->held->len) {
		*out = g_array_index(r->held, struct route_reply, 0);
		g_array_remove_index(r->held, 0);
		if (conn_of(r, out->conn))
			return true;
	}
	return false;
}
