/** @file fakes.c Simulated members of one database group. */
#include "fakes.h"

#include <string.h>

hm_id fake_endpoint(uint32_t index)
{
	return 101 + index;
}

struct fake_member *fake_member(struct fakes *m, hm_id endpoint)
{
	return &m->members[endpoint - fake_endpoint(0)];
}

void fake_init(struct fakes *m)
{
	uint32_t i;

	memset(m, 0, sizeof(*m));
	for (i = 0; i < FAKE_MEMBERS; i++) {
		struct fake_member *e = &m->members[i];

		e->endpoint = fake_endpoint(i);
		e->role = i ? ROLE_REPLICA : ROLE_PRIMARY;
		e->promised = 1;
		e->lineage.count = 1;
		e->lineage.begin[0] = (struct log_pos){ 1, 0 };
		e->target = i ? fake_endpoint(0) : 0;
		e->follow_term = 1;
	}
	m->promoted = 1;
	m->newest = m->members[0];
}

struct log_pos fake_at(const struct fake_member *m)
{
	struct log_pos at = { 1, m->pos };

	if (m->pos)
		at.term = m->terms[m->pos - 1];
	return at;
}

static uint64_t last_term(const struct fake_member *m)
{
	return m->lineage.begin[m->lineage.count - 1].term;
}

static bool fence(struct fake_member *e, const struct control *command)
{
	if (command->term == e->promised &&
	    command->requester == e->promised_by)
		return true;
	if (command->term <= e->promised)
		return false;
	e->promised = command->term;
	e->promised_by = command->requester;
	e->role = ROLE_REPLICA;
	e->target = 0;
	return true;
}

static void lineage_add(struct lineage *l, struct log_pos begin)
{
	if (l->count == LINEAGE_MAX) {
		memmove(l->begin, l->begin + 1,
			(LINEAGE_MAX - 1) * sizeof(l->begin[0]));
		l->count--;
	}
	l->begin[l->count++] = begin;
}

static bool promote(struct fakes *m, struct fake_member *e,
		    const struct control *command)
{
	if (command->term != e->promised ||
	    command->requester != e->promised_by)
		return false;
	if (last_term(e) == command->term)
		return true;
	lineage_add(&e->lineage, (struct log_pos){ command->term, e->pos });
	e->role = ROLE_PRIMARY;
	e->target = 0;
	if (command->term > m->promoted) {
		m->promoted = command->term;
		m->newest = *e;
	}
	return true;
}

static bool follow(struct fake_member *e, const struct control *command)
{
	if (command->term < e->promised || command->target == e->endpoint ||
	    (e->role == ROLE_PRIMARY && last_term(e) == command->term))
		return false;
	if (command->term > e->promised) {
		e->promised = command->term;
		e->promised_by = command->requester;
	}
	e->role = ROLE_REPLICA;
	e->target = command->target;
	e->follow_term = command->term;
	return true;
}

struct endpoint_state fake_control(struct fakes *m,
				   const struct control *command)
{
	struct fake_member *e = fake_member(m, command->endpoint);
	struct endpoint_state s = { .database = command->database,
				    .endpoint = command->endpoint };

	if (command->op == CONTROL_PROBE_NEW_CONN)
		e->silent = false;
	if (e->down || e->silent)
		return s;
	if (command->op == CONTROL_FENCE)
		s.refused = !fence(e, command);
	else if (command->op == CONTROL_PROMOTE)
		s.refused = !promote(m, e, command);
	else if (command->op == CONTROL_FOLLOW)
		s.refused = !follow(e, command);
	s.reachable = true;
	s.role = e->role;
	s.promised = e->promised;
	s.promised_by = e->promised_by;
	s.at = fake_at(e);
	s.lineage = e->lineage;
	s.owner = e->owner;
	return s;
}

bool fake_write(struct fake_member *m, uint64_t write)
{
	if (m->down || m->role != ROLE_PRIMARY || m->pos == FAKE_LOG)
		return false;
	m->terms[m->pos] = last_term(m);
	m->writes[m->pos++] = write;
	return true;
}

static uint64_t common_prefix(const struct fake_member *a,
			      const struct fake_member *b)
{
	uint64_t pos = 0;

	while (pos < a->pos && pos < b->pos && a->terms[pos] == b->terms[pos] &&
	       a->writes[pos] == b->writes[pos])
		pos++;
	return pos;
}

/* Copies the terms that begin within the part of the log copied so far. */
static void copy_lineage(struct fake_member *to, const struct fake_member *from)
{
	uint32_t i;

	to->lineage.count = 0;
	for (i = 0; i < from->lineage.count; i++)
		if (!i || from->lineage.begin[i].pos <= to->pos)
			to->lineage.begin[to->lineage.count++] =
				from->lineage.begin[i];
}

bool fake_replicate(struct fakes *m, struct fake_member *to, uint32_t records)
{
	const struct fake_member *from;

	if (!to->target || to->down || to->follow_term < to->promised)
		return false;
	from = fake_member(m, to->target);
	if (from->down || last_term(from) != to->follow_term || from->target)
		return false;
	to->pos = common_prefix(to, from);
	while (records-- && to->pos < from->pos) {
		to->terms[to->pos] = from->terms[to->pos];
		to->writes[to->pos] = from->writes[to->pos];
		to->pos++;
	}
	copy_lineage(to, from);
	return true;
}

bool fake_has_write(const struct fake_member *m, uint64_t write)
{
	uint64_t i;

	for (i = 0; i < m->pos; i++)
		if (m->writes[i] == write)
			return true;
	return false;
}

bool fake_has_record(const struct fake_member *m, struct log_pos at)
{
	if (!at.pos)
		return true;
	return at.pos <= m->pos && m->terms[at.pos - 1] == at.term;
}

uint64_t fake_write_bits(const struct fake_member *m)
{
	uint64_t bits = 0;
	uint64_t i;

	for (i = 0; i < m->pos; i++)
		bits |= (uint64_t)1 << m->writes[i];
	return bits;
}
