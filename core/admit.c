/** @file admit.c Lines of requests that wait for a token. */
#include "admit.h"

#include <stdlib.h>

#include "table.h"

/* A place in line is given up when twice the pace would not do. */
#define GIVE_UP_FACTOR 2

struct place {
	struct statement statement;
	struct place *next;
};

struct line {
	hm_id account;
	struct place *first;
	struct place **last; /* where the next place is linked in */
	uint32_t count;
};

struct admit {
	struct rate *rate;
	struct line *lines;
	uint32_t line_count;
	uint32_t line_room;
	struct table by_account;
	struct place *given_up;
	uint32_t cursor; /* line that is looked at next */
	uint32_t waiting;
};

struct admit *admit_new(struct rate *rate)
{
	struct admit *a = calloc(1, sizeof(*a));

	if (a)
		a->rate = rate;
	return a;
}

static void free_places(struct place *p)
{
	while (p) {
		struct place *next = p->next;

		free(p);
		p = next;
	}
}

void admit_free(struct admit *a)
{
	uint32_t i;

	if (!a)
		return;
	for (i = 0; i < a->line_count; i++)
		free_places(a->lines[i].first);
	free_places(a->given_up);
	free(a->lines);
	table_free(&a->by_account);
	free(a);
}

/* Lines may move when one is added, an empty one links to itself. */
static void relink(struct admit *a)
{
	uint32_t i;

	for (i = 0; i < a->line_count; i++)
		if (!a->lines[i].first)
			a->lines[i].last = &a->lines[i].first;
}

static struct line *line_of(struct admit *a, hm_id account)
{
	uint32_t h = table_get(&a->by_account, account);

	if (h != TABLE_NONE)
		return &a->lines[h];
	if (a->line_count == a->line_room) {
		uint32_t room = a->line_room ? a->line_room * 2 : 16;
		struct line *lines = realloc(a->lines, room * sizeof(*lines));

		if (!lines)
			abort();
		a->lines = lines;
		a->line_room = room;
	}
	if (!table_put(&a->by_account, account, a->line_count))
		abort();
	a->lines[a->line_count++] = (struct line){ .account = account };
	relink(a);
	return &a->lines[a->line_count - 1];
}

/* Unlinks the place that *link points to. */
static struct place *unlink_place(struct admit *a, struct line *l,
				  struct place **link)
{
	struct place *p = *link;

	*link = p->next;
	if (!p->next)
		l->last = link;
	l->count--;
	a->waiting--;
	return p;
}

static void append(struct admit *a, struct line *l, const struct statement *s)
{
	struct place *p = malloc(sizeof(*p));

	if (!p)
		abort();
	*p = (struct place){ .statement = *s };
	*l->last = p;
	l->last = &p->next;
	l->count++;
	a->waiting++;
}

enum admitted admit_push(struct admit *a, const struct statement *s,
			 hm_time now, hm_time *retry_at,
			 struct actions *actions)
{
	struct line *l = line_of(a, s->account);
	hm_time expected;

	if (!l->count && rate_take(a->rate, s->account, now)) {
		rate_demand(a->rate, s->account, 0, now, actions);
		return ADMIT_PASS;
	}
	expected = rate_retry_at(a->rate, s->account, l->count + 1, now);
	if (expected > s->deadline) {
		*retry_at = expected == HM_NEVER ? 0 : expected;
		return ADMIT_REFUSE;
	}
	append(a, l, s);
	rate_demand(a->rate, s->account, l->count, now, actions);
	return ADMIT_WAIT;
}

static bool drop_from(struct admit *a, struct line *l, struct rid id)
{
	struct place **link = &l->first;

	for (; *link; link = &(*link)->next)
		if (rid_equal((*link)->statement.id, id)) {
			free(unlink_place(a, l, link));
			return true;
		}
	return false;
}

bool admit_drop(struct admit *a, struct rid id)
{
	uint32_t i;

	for (i = 0; i < a->line_count; i++)
		if (drop_from(a, &a->lines[i], id))
			return true;
	return false;
}

static void leave(const struct admit *a, struct place *p, bool passed,
		  hm_time now, struct admit_left *out)
{
	hm_time at = rate_retry_at(a->rate, p->statement.account, 1, now);

	*out = (struct admit_left){ .statement = p->statement,
				    .passed = passed };
	if (!passed && at != HM_NEVER)
		out->retry_at = at;
	free(p);
}

static bool line_next(struct admit *a, struct line *l, hm_time now,
		      struct admit_left *out)
{
	bool late, passed;

	if (!l->first)
		return false;
	late = l->first->statement.deadline <= now ||
	       rate_retry_at(a->rate, l->account, 1, now) == HM_NEVER;
	passed = !late && rate_take(a->rate, l->account, now);
	if (!late && !passed)
		return false;
	leave(a, unlink_place(a, l, &l->first), passed, now, out);
	return true;
}

bool admit_next(struct admit *a, hm_time now, struct admit_left *out)
{
	struct place *p = a->given_up;
	uint32_t i;

	if (p) {
		a->given_up = p->next;
		leave(a, p, false, now, out);
		return true;
	}
	for (i = 0; i < a->line_count && a->waiting; i++) {
		a->cursor = (a->cursor + 1) % a->line_count;
		if (line_next(a, &a->lines[a->cursor], now, out))
			return true;
	}
	return false;
}

/* Moves places that cannot be served before their deadline out of line. */
static void give_up_hopeless(struct admit *a, struct line *l, hm_time now)
{
	hm_time one = rate_retry_at(a->rate, l->account, 1, now);
	struct place **link = &l->first;
	hm_time ahead = 0;

	if (one == HM_NEVER)
		return;
	while (*link) {
		hm_time left = (*link)->statement.deadline - now;
		struct place *p;

		ahead += one - now;
		if (ahead / GIVE_UP_FACTOR <= left) {
			link = &(*link)->next;
			continue;
		}
		ahead -= one - now;
		p = unlink_place(a, l, link);
		p->next = a->given_up;
		a->given_up = p;
	}
}

void admit_tick(struct admit *a, hm_time now, struct actions *actions)
{
	uint32_t i;

	for (i = 0; i < a->line_count; i++) {
		struct line *l = &a->lines[i];

		if (l->count)
			give_up_hopeless(a, l, now);
		rate_demand(a->rate, l->account, l->count, now, actions);
	}
}

uint32_t admit_waiting(const struct admit *a)
{
	return a->waiting;
}
