/**
 * @file pool_setup.c
 * What a connection is given before a statement is sent on it: the values and
 * the prepared statement of its session, the proof that its member leads, and
 * the position that a replica's log must hold.
 */
#include "pool_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const struct session_value *value_of(const struct session_value *list,
					    uint32_t count, const char *name)
{
	uint32_t i;

	for (i = 0; i < count; i++)
		if (!strcmp(list[i].name, name))
			return &list[i];
	return NULL;
}

/* A value that the session never set can only be dropped with all others. */
static bool has_foreign_value(const struct pool_conn *c,
			      const struct run_order *o)
{
	uint32_t i;

	for (i = 0; i < c->value_count; i++)
		if (!value_of(o->values, o->value_count, c->values[i].name))
			return true;
	return false;
}

static bool has_value(const struct pool_conn *c, const struct session_value *v)
{
	const struct session_value *held =
		value_of(c->values, c->value_count, v->name);

	return held && !strcmp(held->value, v->value);
}

/* Brings the values of the connection to those of the session. */
void conn_apply_values(struct pool *p, struct pool_conn *c,
		       const struct run_order *o, struct proxy_output *out)
{
	struct member_command *m;
	uint32_t i;

	if (p->site.options->guards_off & PROXY_GUARD_VALUES)
		return;
	if (has_foreign_value(c, o)) {
		conn_command(c, EXPECT_SETUP, MEMBER_RESET, out);
		conn_forget(c);
	}
	for (i = 0; i < o->value_count; i++) {
		if (has_value(c, &o->values[i]))
			continue;
		m = conn_command(c, EXPECT_SETUP, MEMBER_SET, out);
		m->name = text_copy(o->values[i].name);
		m->text = text_copy(o->values[i].value);
	}
	values_free(c->values, c->value_count);
	c->values = values_copy(o->values, o->value_count);
	c->value_count = o->value_count;
}

/* Sessions share prepared statements: the name tells the shape. */
void conn_prepared_name(const struct run_order *o,
			char out[PREPARED_NAME_BYTES])
{
	uint64_t hash = 0xcbf29ce484222325ULL; /* FNV-1a */
	const char *s;

	for (s = o->shape; *s; s++)
		hash = (hash ^ (uint8_t)*s) * 0x100000001b3ULL;
	snprintf(out, PREPARED_NAME_BYTES, "%c%016llx", o->writes ? 'w' : 'r',
		 (unsigned long long)hash);
}

void conn_apply_prepared(struct pool_conn *c, const struct run_order *o,
			 struct proxy_output *out)
{
	char name[PREPARED_NAME_BYTES];
	struct member_command *m;
	uint32_t i;

	conn_prepared_name(o, name);
	for (i = 0; i < c->prepared_count; i++)
		if (!strcmp(c->prepared[i], name))
			return;
	c->prepared = realloc(c->prepared,
			      (c->prepared_count + 1) * sizeof(*c->prepared));
	if (!c->prepared)
		abort();
	memcpy(c->prepared[c->prepared_count++], name, sizeof(name));
	m = conn_command(c, EXPECT_SETUP, MEMBER_PREPARE, out);
	m->op = o->writes ? STMT_WRITE : STMT_READ;
	m->name = text_copy(name);
	m->text = text_copy(o->shape);
}

/* An answered BEGIN proves that the member leads. */
static void prove_lead(struct pool *p, struct pool_conn *c,
		       struct proxy_output *out)
{
	if (p->site.options->guards_off & PROXY_GUARD_LEAD)
		return;
	conn_command(c, EXPECT_BEGIN, MEMBER_BEGIN, out);
	conn_command(c, EXPECT_LEAD_END, MEMBER_ROLLBACK, out);
}

/* Position that the log must hold; false when none is known. */
bool conn_find_floor(const struct pool *p, const struct run_order *o,
		     hm_time now, struct log_pos *floor)
{
	struct log_pos sampled;

	*floor = o->floor;
	if (o->lead || !o->max_age)
		return true;
	if (p->site.options->guards_off & PROXY_GUARD_FLOOR)
		return true;
	if (!view_floor(p->site.view, o->max_age, now, &sampled))
		return false;
	if (log_pos_compare(sampled, *floor) > 0)
		*floor = sampled;
	return true;
}

void conn_begin(struct pool *p, struct pool_conn *c, const struct run_order *o,
		struct log_pos floor, struct proxy_output *out)
{
	if (o->scope == RUN_FIRST && !o->read_only) {
		/* Refused by a member that does not lead. */
		conn_command(c, EXPECT_BEGIN, MEMBER_BEGIN, out);
		return;
	}
	if (o->lead && o->scope != RUN_INSIDE && !o->writes)
		prove_lead(p, c, out);
	if (o->scope != RUN_FIRST)
		return;
	conn_command(c, EXPECT_BEGIN, MEMBER_BEGIN_READ, out)->floor = floor;
}
