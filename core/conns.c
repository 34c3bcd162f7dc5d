/** @file conns.c Table of the connections of one executor. */
#include "conns.h"

#include <stdlib.h>

void conns_free(struct conns *c)
{
	free(c->list);
	*c = (struct conns){ 0 };
}

struct conn *conns_add(struct conns *c, uint64_t number)
{
	if (c->count == c->capacity) {
		uint32_t capacity = c->capacity ? c->capacity * 2 : 16;
		struct conn *list = realloc(c->list, capacity * sizeof(*list));

		if (!list)
			abort();
		c->list = list;
		c->capacity = capacity;
	}
	c->list[c->count] = (struct conn){ .number = number };
	return &c->list[c->count++];
}

void conns_remove(struct conns *c, struct conn *conn)
{
	*conn = c->list[--c->count];
}

struct conn *conns_find(const struct conns *c, uint64_t number)
{
	uint32_t i;

	for (i = 0; i < c->count; i++)
		if (c->list[i].number == number &&
		    c->list[i].state != CONN_CLOSED)
			return &c->list[i];
	return NULL;
}

struct conn *conns_of_tx(const struct conns *c, struct rid tx)
{
	uint32_t i;

	for (i = 0; i < c->count; i++)
		if (c->list[i].tx.id.seq && rid_equal(c->list[i].tx.id, tx))
			return &c->list[i];
	return NULL;
}

struct conn *conns_idle(const struct conns *c)
{
	uint32_t i;

	for (i = 0; i < c->count; i++)
		if (c->list[i].state == CONN_IDLE && !c->list[i].tx.id.seq)
			return &c->list[i];
	return NULL;
}

uint32_t conns_count(const struct conns *c, enum conn_state state)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < c->count; i++)
		n += c->list[i].state == state;
	return n;
}

static bool uses_slot(const struct conn *conn)
{
	return conn->state == CONN_RUNNING || conn->state == CONN_RESETTING ||
	       (conn->state == CONN_CLOSED && conn->had_slot);
}

uint32_t conns_slots_used(const struct conns *c)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < c->count; i++)
		n += uses_slot(&c->list[i]);
	return n;
}

uint32_t conns_transactions(const struct conns *c, hm_id account)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < c->count; i++)
		if (c->list[i].tx.id.seq &&
		    (!account || c->list[i].tx.account == account))
			n++;
	return n;
}
