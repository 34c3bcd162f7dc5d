/** @file wire_run.c Codec of run requests, results, views and documents. */
#include "wire_run.h"

#include <stdlib.h>

static void *alloc_if_null(void *object, size_t bytes)
{
	if (!object)
		object = calloc(1, bytes);
	if (!object)
		abort();
	return object;
}

static void code_values(struct wire_codec *c, struct run_request *r)
{
	uint32_t i;

	code_count(c, &r->value_count, SESSION_VALUES_MAX);
	if (c->table == &wire_reader && r->value_count)
		r->values = alloc_if_null(NULL,
					  r->value_count * sizeof(*r->values));
	for (i = 0; i < r->value_count; i++) {
		code_string(c, &r->values[i].name);
		code_string(c, &r->values[i].value);
		if (!r->values[i].name || !r->values[i].value)
			c->failed = true;
	}
}

void wire_run_request(struct wire_codec *c, struct run_request **request)
{
	struct run_request *r = alloc_if_null(*request, sizeof(*r));

	*request = r;
	code_rid(c, &r->id);
	code_rid(c, &r->tx);
	code_u64(c, &r->service);
	code_u64(c, &r->endpoint);
	code_u64(c, &r->account);
	c->table->text(c, r->account_name, sizeof(r->account_name));
	code_u32(c, &r->weight);
	CODE_ENUM(c, r->op, STMT_OP_COUNT);
	CODE_ENUM(c, r->scope, RUN_SCOPE_COUNT);
	code_bool(c, &r->read_only);
	code_bool(c, &r->writes);
	code_bool(c, &r->primary_only);
	code_log_pos(c, &r->min_position);
	code_duration(c, &r->max_age);
	code_deadline(c, &r->start_by);
	code_deadline(c, &r->deadline);
	code_duration(c, &r->idle_limit);
	c->table->text(c, r->request, sizeof(r->request));
	code_string(c, &r->text);
	code_string(c, &r->shape);
	if (!r->text || !r->weight || (r->op == STMT_EXECUTE) != !!r->shape)
		c->failed = true;
	code_values(c, r);
}

void wire_run_result(struct wire_codec *c, struct run_result **result)
{
	struct run_result *r = alloc_if_null(*result, sizeof(*r));

	*result = r;
	code_rid(c, &r->id);
	code_u64(c, &r->endpoint);
	CODE_ENUM(c, r->error, ERR_COUNT);
	CODE_ENUM(c, r->execution, EXEC_UNKNOWN + 1);
	CODE_ENUM(c, r->state, SESSION_FAILED + 1);
	code_log_pos(c, &r->at);
	code_deadline(c, &r->retry_at);
	code_duration(c, &r->wait);
	c->table->bytes(c, &r->rows, &r->row_bytes);
	code_string(c, &r->signature);
}

void wire_view(struct wire_codec *c, struct service_view **view)
{
	struct service_view *v = alloc_if_null(*view, sizeof(*v));
	uint32_t i;

	*view = v;
	code_u64(c, &v->service);
	code_u64(c, &v->seq);
	code_u64(c, &v->primary);
	code_u64(c, &v->term);
	code_log_pos(c, &v->sample);
	code_bool(c, &v->replacing);
	code_count(c, &v->count, ENDPOINTS_MAX);
	for (i = 0; i < v->count; i++) {
		struct member_view *m = &v->members[i];

		code_u64(c, &m->endpoint);
		code_bool(c, &m->up);
		code_bool(c, &m->reached);
		code_bool(c, &m->primary);
		code_log_pos(c, &m->at);
		code_u64(c, &m->paused_term);
	}
}

void wire_document(struct wire_codec *c, struct document *d)
{
	CODE_ENUM(c, d->kind, DOCUMENT_KIND_COUNT);
	code_store_version(c, &d->version);
	c->table->bytes(c, &d->data, &d->bytes);
}
