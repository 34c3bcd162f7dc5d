/**
 * @file pool_setup.c
 * Setup of a connection before a statement is sent on it: the values and the
 * prepared statement of its session, the check that its member is the primary,
 * and the minimum log position for a read at a replica.
 */
#include "pool_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "text_digest.h"

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
 * The name is a hash of the statement's text without its arguments (its shape),
 * so that sessions which prepare the same text share one prepared statement.
 * The prefix is w for a statement that may write and r for one that only reads.
 */
void conn_prepared_name(const struct run_request *o,
			char out[PREPARED_NAME_BYTES])
{
	uint64_t hash = 0xcbf29ce484222325ULL; /* FNV-1a */
	const char *s;

	for (s = o->shape; *s; s++)
		hash = (hash ^ (uint8_t)*s) * 0x100000001b3ULL;
	snprintf(out, PREPARED_NAME_BYTES, "%c%016llx", o->writes ? 'w' : 'r',
		 (unsigned long long)hash);
}

static void log_prepare(const struct pool *p, const struct pool_conn *c,
			const struct run_request *o, const char *name,
			struct proxy_output *out)
{
	struct text_digest digest = text_digest(o->shape);

	proxy_log(out,
		  "event=prepare request=%s member=%s conn=%llu name=%s "
		  "text=%016llx bytes=%zu",
		  o->request, p->member.name, (unsigned long long)c->number,
		  name, (unsigned long long)text_digest_short(&digest),
		  strlen(o->shape));
}

void conn_apply_prepared(const struct pool *p, struct pool_conn *c,
			 const struct run_request *o, struct proxy_output *out)
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
	log_prepare(p, c, o, name, out);
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
