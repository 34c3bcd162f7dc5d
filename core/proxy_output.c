/** @file proxy_output.c The list of actions that a proxy returns. */
#include "proxy.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define INITIAL_CAPACITY 16
#define LOG_LINE_BYTES 512

struct proxy_action *proxy_action(struct proxy_output *out,
				  enum proxy_action_kind kind)
{
	struct proxy_action *a;

	if (out->count == out->capacity) {
		size_t capacity =
			out->capacity ? out->capacity * 2 : INITIAL_CAPACITY;

		a = realloc(out->list, capacity * sizeof(*a));
		if (!a)
			abort();
		out->list = a;
		out->capacity = capacity;
	}
	a = &out->list[out->count++];
	memset(a, 0, sizeof(*a));
	a->kind = kind;
	return a;
}

void proxy_log(struct proxy_output *out, const char *format, ...)
{
	char line[LOG_LINE_BYTES];
	va_list args;

	va_start(args, format);
	vsnprintf(line, sizeof(line), format, args);
	va_end(args);
	proxy_action(out, PROXY_LOG)->line = text_copy(line);
}

void proxy_connect(struct proxy_output *out, uint64_t conn,
		   const struct site_member *m, const char *who)
{
	struct proxy_action *a = proxy_action(out, PROXY_CONNECT);

	a->member.conn = conn;
	snprintf(a->member.address, sizeof(a->member.address), "%s",
		 m->address);
	snprintf(a->member.service, sizeof(a->member.service), "%s",
		 m->service_name);
	snprintf(a->member.endpoint, sizeof(a->member.endpoint), "%s", m->name);
	snprintf(a->member.who, sizeof(a->member.who), "%s", who);
}

static void clear_action(struct proxy_action *a)
{
	switch (a->kind) {
	case PROXY_TAKE_TOKEN:
	case PROXY_RECORD_VOTERS:
		free(a->duty.record);
		break;
	case PROXY_ANSWER:
		free(a->answer.rows);
		free(a->answer.signature);
		break;
	case PROXY_COMMAND:
		free(a->member.command.name);
		free(a->member.command.text);
		break;
	case PROXY_RESERVE:
		reserve_object_clear(&a->reserve->object);
		free(a->reserve);
		break;
	case PROXY_LOG:
		free(a->line);
		break;
	default:
		break;
	}
}

void proxy_output_clear(struct proxy_output *out)
{
	size_t i;

	actions_clear(&out->peers);
	for (i = 0; i < out->count; i++)
		clear_action(&out->list[i]);
	out->count = 0;
}

void proxy_output_free(struct proxy_output *out)
{
	proxy_output_clear(out);
	actions_free(&out->peers);
	free(out->list);
	*out = (struct proxy_output){ 0 };
}
