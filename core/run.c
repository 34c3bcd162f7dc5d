/** @file run.c Copying and freeing of run requests and results. */
#include "run.h"

#include <stdlib.h>
#include <string.h>

static void *alloc_or_abort(size_t bytes)
{
	void *p = calloc(1, bytes ? bytes : 1);

	if (!p)
		abort();
	return p;
}

char *text_copy(const char *text)
{
	size_t bytes;
	char *copy;

	if (!text)
		return NULL;
	bytes = strlen(text) + 1;
	copy = alloc_or_abort(bytes);
	memcpy(copy, text, bytes);
	return copy;
}

struct session_value *values_copy(const struct session_value *from,
				  uint32_t count)
{
	struct session_value *copy;
	uint32_t i;

	if (!count)
		return NULL;
	copy = alloc_or_abort(count * sizeof(*copy));
	for (i = 0; i < count; i++) {
		copy[i].name = text_copy(from[i].name);
		copy[i].value = text_copy(from[i].value);
	}
	return copy;
}

void values_free(struct session_value *values, uint32_t count)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		free(values[i].name);
		free(values[i].value);
	}
	free(values);
}

struct run_request *run_request_copy(const struct run_request *from)
{
	struct run_request *copy = alloc_or_abort(sizeof(*copy));

	*copy = *from;
	copy->text = text_copy(from->text);
	copy->shape = text_copy(from->shape);
	copy->values = values_copy(from->values, from->value_count);
	return copy;
}

void run_request_free(struct run_request *o)
{
	if (!o)
		return;
	free(o->text);
	free(o->shape);
	values_free(o->values, o->value_count);
	free(o);
}

struct run_result *run_result_copy(const struct run_result *from)
{
	struct run_result *copy = alloc_or_abort(sizeof(*copy));

	*copy = *from;
	copy->signature = text_copy(from->signature);
	copy->rows = NULL;
	if (from->rows) {
		copy->rows = alloc_or_abort(from->row_bytes + 1);
		memcpy(copy->rows, from->rows, from->row_bytes);
	}
	return copy;
}

void run_result_unknown(struct run_result *r)
{
	r->error = ERR_OUTCOME_UNKNOWN;
	r->execution = EXEC_UNKNOWN;
	free(r->signature);
	r->signature = NULL;
}

void run_result_free(struct run_result *r)
{
	if (!r)
		return;
	free(r->rows);
	free(r->signature);
	free(r);
}
