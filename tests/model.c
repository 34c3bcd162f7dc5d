/** @file model.c Members of one database group in memory. */
#include "model.h"

#include <string.h>

hm_id model_endpoint(uint32_t index)
{
	return 101 + index;
}

struct model_member *model_member(struct model *m, hm_id endpoint)
{
	return &m->members[endpoint - model_endpoint(0)];
}

void model_init(struct model *m)
{
	uint32_t i;

	memset(m, 0, sizeof(*m));
	for (i = 0; i < MODEL_MEMBERS; i++) {
		struct model_member *e = &m->members[i];

		e->endpoint = model_endpoint(i);
		e->role = i ? ROLE_REPLICA : ROLE_PRIMARY;
		e->promised = 1;
		e->lineage.count = 1;
		e->lineage.begin[0] = (struct mark){ 1, 0 };
		e->target = i ? model_endpoint(0) : 0;
		e->follow_term = 1;
	}
	m->promoted = 1;
	m->newest = m->members[0];
}

struct mark model_at(const struct model_member *m)
{
	struct mark at = { 1, m->pos };

	if (m->pos)
		at.term = m->terms[m->pos - 1];
	return at;
}

static uint64_t last_term(const struct model_member *m)
{
	return m->lineage.begin[m->lineage.count - 1].term;
}

static bool fence(struct model_member *e, const struct control *step)
{
	if (step->term == e->promised && step->orderer == e->promised_by)
		return true;
	if (step->term <= e->promised)
		return false;
	e->promised = step->term;
	e->promised_by = step->orderer;
	e->role = ROLE_REPLICA;
	e->target = 0;
	return true;
}

static void lineage_add(struct lineage *l, struct mark begin)
{
	if (l->count == LINEAGE_MAX) {
		memmove(l->begin, l->begin + 1,
			(LINEAGE_MAX - 1) * sizeof(l->begin[0]));
		l->count--;
	}
	l->begin[l->count++] = begin;
}

static bool promote(struct model *m, struct model_member *e,
		    const struct control *step)
{
	if (step->term != e->promised || step->orderer != e->promised_by)
		return false;
	if (last_term(e) == step->term)
		return true;
	lineage_add(&e->lineage, (struct mark){ step->term, e->pos });
	e->role = ROLE_PRIMARY;
	e->target = 0;
	if (step->term > m->promoted) {
		m->promoted = step->term;
		m->newest = *e;
	}
	return true;
}

static bool follow(struct model_member *e, const struct control *step)
{
	if (step->term < e->promised || step->target == e->endpoint ||
	    (e->role == ROLE_PRIMARY && last_term(e) == step->term))
		return false;
	if (step->term > e->promised) {
		e->promised = step->term;
		e->promised_by = step->orderer;
	}
	e->role = ROLE_REPLICA;
	e->target = step->target;
	e->follow_term = step->term;
	return true;
}

struct endpoint_state model_control(struct model *m, const struct control *step)
{
	struct model_member *e = model_member(m, step->endpoint);
	struct endpoint_state s = { .database = step->database,
				    .endpoint = step->endpoint };

	if (step->op == CONTROL_FRESH)
		e->silent = false;
	if (e->down || e->silent)
		return s;
	if (step->op == CONTROL_FENCE)
		s.refused = !fence(e, step);
	else if (step->op == CONTROL_PROMOTE)
		s.refused = !promote(m, e, step);
	else if (step->op == CONTROL_FOLLOW)
		s.refused = !follow(e, step);
	s.reachable = true;
	s.role = e->role;
	s.promised = e->promised;
	s.promised_by = e->promised_by;
	s.at = model_at(e);
	s.lineage = e->lineage;
	s.home = e->home;
	return s;
}

bool model_write(struct model_member *m, uint64_t write)
{
	if (m->down || m->role != ROLE_PRIMARY || m->pos == MODEL_LOG)
		return false;
	m->terms[m->pos] = last_term(m);
	m->writes[m->pos++] = write;
	return true;
}

static uint64_t common_prefix(const struct model_member *a,
			      const struct model_member *b)
{
	uint64_t pos = 0;

	while (pos < a->pos && pos < b->pos && a->terms[pos] == b->terms[pos] &&
	       a->writes[pos] == b->writes[pos])
		pos++;
	return pos;
}

/* The terms of the source that the shorter log has come to. */
static void copy_lineage(struct model_member *to,
			 const struct model_member *from)
{
	uint32_t i;

	to->lineage.count = 0;
	for (i = 0; i < from->lineage.count; i++)
		if (!i || from->lineage.begin[i].pos <= to->pos)
			to->lineage.begin[to->lineage.count++] =
				from->lineage.begin[i];
}

bool model_replicate(struct model *m, struct model_member *to, uint32_t records)
{
	const struct model_member *from;

	if (!to->target || to->down || to->follow_term < to->promised)
		return false;
	from = model_member(m, to->target);
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

bool model_holds(const struct model_member *m, uint64_t write)
{
	uint64_t i;

	for (i = 0; i < m->pos; i++)
		if (m->writes[i] == write)
			return true;
	return false;
}

bool model_reached(const struct model_member *m, struct mark at)
{
	if (!at.pos)
		return true;
	return at.pos <= m->pos && m->terms[at.pos - 1] == at.term;
}

uint64_t model_bits(const struct model_member *m)
{
	uint64_t bits = 0;
	uint64_t i;

	for (i = 0; i < m->pos; i++)
		bits |= (uint64_t)1 << m->writes[i];
	return bits;
}
