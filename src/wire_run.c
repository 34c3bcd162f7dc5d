/** @file wire_run.c Codec of orders, results, views and documents. */
#include "wire_run.h"

#include <stdlib.h>

static void *reserve(void *held, size_t bytes)
{
	if (!held)
		held = calloc(1, bytes);
	if (!held)
		abort();
	return held;
}

static void code_values(struct wire_codec *c, struct run_request *o)
{
	uint32_t i;

	code_count(c, &o->value_count, SESSION_VALUES_MAX);
	if (c->table == &wire_reader && o->value_count)
		o->values = reserve(NULL, o->value_count * sizeof(*o->values));
	for (i = 0; i < o->value_count; i++) {
		code_string(c, &o->values[i].name);
		code_string(c, &o->values[i].value);
		if (!o->values[i].name || !o->values[i].value)
			c->failed = true;
	}
}

void wire_run(struct wire_codec *c, struct run_request **order)
{
	struct run_request *o = reserve(*order, sizeof(*o));

	*order = o;
	code_rid(c, &o->id);
	code_rid(c, &o->tx);
	code_u64(c, &o->service);
	code_u64(c, &o->endpoint);
	code_u64(c, &o->account);
	c->table->text(c, o->account_name, sizeof(o->account_name));
	code_u32(c, &o->weight);
	CODE_ENUM(c, o->op, STMT_OP_COUNT);
	CODE_ENUM(c, o->scope, RUN_SCOPE_COUNT);
	code_bool(c, &o->read_only);
	code_bool(c, &o->writes);
	code_bool(c, &o->primary_only);
	code_mark(c, &o->min_position);
	code_span(c, &o->max_age);
	code_deadline(c, &o->start_by);
	code_deadline(c, &o->deadline);
	code_span(c, &o->idle_limit);
	c->table->text(c, o->request, sizeof(o->request));
	code_string(c, &o->text);
	code_string(c, &o->shape);
	if (!o->text || !o->weight || (o->op == STMT_EXECUTE) != !!o->shape)
		c->failed = true;
	code_values(c, o);
}

void wire_ran(struct wire_codec *c, struct run_result **result)
{
	struct run_result *r = reserve(*result, sizeof(*r));

	*result = r;
	code_rid(c, &r->id);
	code_u64(c, &r->endpoint);
	CODE_ENUM(c, r->error, ERR_COUNT);
	CODE_ENUM(c, r->execution, EXEC_UNKNOWN + 1);
	CODE_ENUM(c, r->state, SESSION_FAILED + 1);
	code_mark(c, &r->at);
	code_deadline(c, &r->retry_at);
	code_span(c, &r->wait);
	c->table->bytes(c, &r->rows, &r->row_bytes);
	code_string(c, &r->signature);
}

void wire_view(struct wire_codec *c, struct service_view **view)
{
	struct service_view *v = reserve(*view, sizeof(*v));
	uint32_t i;

	*view = v;
	code_u64(c, &v->service);
	code_u64(c, &v->seq);
	code_u64(c, &v->primary);
	code_u64(c, &v->term);
	code_mark(c, &v->sample);
	code_bool(c, &v->replacing);
	code_count(c, &v->count, ENDPOINTS_MAX);
	for (i = 0; i < v->count; i++) {
		struct member_view *m = &v->members[i];

		code_u64(c, &m->endpoint);
		code_bool(c, &m->up);
		code_bool(c, &m->reached);
		code_bool(c, &m->primary);
		code_mark(c, &m->at);
		code_u64(c, &m->paused_term);
	}
}

void wire_document(struct wire_codec *c, struct document *d)
{
	CODE_ENUM(c, d->kind, DOCUMENT_KIND_COUNT);
	code_store_version(c, &d->version);
	c->table->bytes(c, &d->data, &d->bytes);
}
