/** @file admit_line.c List of statements that wait for a rate token. */
#include "admit_line.h"

#include <stdlib.h>

void waiters_free(struct waiter *w)
{
	while (w) {
		struct waiter *next = w->next;

		free(w);
		w = next;
	}
}

struct waiter *line_unlink_after(struct line *line, struct waiter *before)
{
	struct waiter *w = before ? before->next : line->first;

	if (before)
		before->next = w->next;
	else
		line->first = w->next;
	if (line->last == w)
		line->last = before;
	line->count--;
	return w;
}

struct waiter *line_place(const struct line *line, hm_time deadline)
{
	struct waiter *before = NULL, *w;

	if (!line->last || line->last->statement.deadline <= deadline)
		return line->last;
	for (w = line->first; w->statement.deadline <= deadline; w = w->next)
		before = w;
	return before;
}

struct waiter *line_insert_after(struct line *line, struct waiter *before,
				 const struct statement *s)
{
	struct waiter *w = malloc(sizeof(*w));

	if (!w)
		abort();
	*w = (struct waiter){ .statement = *s };
	w->next = before ? before->next : line->first;
	if (before)
		before->next = w;
	else
		line->first = w;
	if (!w->next)
		line->last = w;
	line->count++;
	return w;
}

struct waiter *line_find(const struct line *line, struct rid id,
			 struct waiter **before)
{
	struct waiter *w;

	*before = NULL;
	for (w = line->first; w; w = w->next) {
		if (rid_equal(w->statement.id, id))
			return w;
		*before = w;
	}
	return NULL;
}
