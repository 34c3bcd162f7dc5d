/**
 * @file pool_setup.c
 * Setup of a connection before a statement is sent on it: the values of its
 * session, the check that its member is the primary, and the minimum log
 * position for a read at a replica.
 */
#include "pool_state.h"

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

/*
 * Whether the connection has a value that the session did not set. Such a value
 * can only be removed by a reset of all values.
 */
static bool has_extra_value(const struct pool_conn *c,
			    const struct run_request *o)
{
	uint32_t i;

	for (i = 0; i < c->value_count; i++)
		if (!value_of(o->values, o->value_count, c->values[i].name))
			return true;
	return false;
}

static bool has_value(const struct pool_conn *c, const struct session_value *v)
{
	const struct session_value *current =
		value_of(c->values, c->value_count, v->name);

	return current && !strcmp(current->value, v->value);
}

void conn_apply_values(struct pool *p, struct pool_conn *c,
		       const struct run_request *o, struct proxy_output *out)
{
	struct member_command *m;
	uint32_t i;

	if (p->deps.options->guards_off & PROXY_GUARD_VALUES)
		return;
	if (has_extra_value(c, o)) {
		conn_command(c, EXPECT_SETUP, MEMBER_RESET, out);
		conn_clear_session(c);
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

/*
 * Checks the role of the member: only a primary accepts this BEGIN, since the
 * transaction may write. The ROLLBACK ends the transaction. Whether the term of
 * that primary is current is confirmed by primary_check.h.
 */
static void check_role(struct pool *p, struct pool_conn *c,
		       struct proxy_output *out)
{
	if (p->deps.options->guards_off & PROXY_GUARD_PRIMARY)
		return;
	conn_command(c, EXPECT_BEGIN, MEMBER_BEGIN, out);
	conn_command(c, EXPECT_CHECK_END, MEMBER_ROLLBACK, out);
}

bool conn_find_floor(const struct pool *p, const struct run_request *o,
		     hm_time now, struct log_pos *floor)
{
	struct log_pos sampled;

	*floor = o->min_position;
	if (o->primary_only || !o->max_age)
		return true;
	if (p->deps.options->guards_off & PROXY_GUARD_POSITION)
		return true;
	if (!view_min_position(p->deps.view, o->max_age, now, &sampled))
		return false;
	if (log_pos_compare(sampled, *floor) > 0)
		*floor = sampled;
	return true;
}

void conn_begin(struct pool *p, struct pool_conn *c,
		const struct run_request *o, struct log_pos floor,
		struct proxy_output *out)
{
	if (o->scope == RUN_FIRST && !o->read_only) {
		/* Fails at a member that is not a primary. */
		conn_command(c, EXPECT_BEGIN, MEMBER_BEGIN, out);
		return;
	}
	if (o->primary_only && o->scope != RUN_INSIDE && !o->writes)
		check_role(p, c, out);
	if (o->scope != RUN_FIRST)
		return;
	conn_command(c, EXPECT_BEGIN, MEMBER_BEGIN_READ, out)->min_position =
		floor;
}
