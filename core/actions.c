/** @file actions.c The list of actions that a core returns. */
#include "core.h"

#include <stdlib.h>
#include <string.h>

#define ACTIONS_CAPACITY_FIRST 16

struct action *actions_add(struct actions *a, enum action_kind kind)
{
	struct action *act;

	if (a->count == a->capacity) {
		size_t capacity =
			a->capacity ? a->capacity * 2 : ACTIONS_CAPACITY_FIRST;
		struct action *list =
			realloc(a->list, capacity * sizeof(*list));

		if (!list)
			abort();
		a->list = list;
		a->capacity = capacity;
	}
	act = &a->list[a->count++];
	memset(act, 0, sizeof(*act));
	act->kind = kind;
	return act;
}

void actions_clear(struct actions *a)
{
	size_t i;

	for (i = 0; i < a->count; i++) {
		struct action *act = &a->list[i];

		if (act->kind == ACT_SEND)
			message_clear(&act->send.message);
	}
	a->count = 0;
}

void actions_free(struct actions *a)
{
	actions_clear(a);
	free(a->list);
	*a = (struct actions){ 0 };
}

struct decision *actions_log(struct actions *a, const char *what,
			     const char *reason)
{
	struct decision *d = &actions_add(a, ACT_LOG)->decision;

	d->what = what;
	d->reason = reason;
	return d;
}

struct message *actions_send(struct actions *a, uint64_t to,
			     enum message_kind kind)
{
	struct action *act = actions_add(a, ACT_SEND);

	act->send.to = to;
	act->send.message.kind = kind;
	return &act->send.message;
}
