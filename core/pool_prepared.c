/**
 * @file pool_prepared.c
 * Prepared statements of a connection. Sessions that prepare the same text
 * share one, so a text is known by its digest. Its name at the member is a
 * number that the connection gives only once.
 */
#include "pool_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static struct conn_prepared *find(const struct pool_conn *c,
				  const struct run_request *o,
				  const struct text_digest *text)
{
	uint32_t i;

	for (i = 0; i < c->prepared_count; i++) {
		struct conn_prepared *s = &c->prepared[i];

		if (s->writes == o->writes && text_digest_equal(&s->text, text))
			return s;
	}
	return NULL;
}

/* Drops the least recently used statement; returns its place in the list. */
static struct conn_prepared *
drop_oldest(const struct pool *p, struct pool_conn *c, struct proxy_output *out)
{
	struct conn_prepared *oldest = &c->prepared[0];
	uint32_t i;

	for (i = 1; i < c->prepared_count; i++)
		if (c->prepared[i].last_use < oldest->last_use)
			oldest = &c->prepared[i];
	conn_command(c, EXPECT_SETUP, MEMBER_DEALLOCATE, out)->name =
		text_copy(oldest->name);
	proxy_log(out, "event=deallocate member=%s conn=%llu name=%s",
		  p->member.name, (unsigned long long)c->number, oldest->name);
	return oldest;
}

static struct conn_prepared *append(struct pool_conn *c)
{
	c->prepared = realloc(c->prepared,
			      (c->prepared_count + 1) * sizeof(*c->prepared));
	if (!c->prepared)
		abort();
	return &c->prepared[c->prepared_count++];
}

static struct conn_prepared *prepare(const struct pool *p, struct pool_conn *c,
				     const struct run_request *o,
				     const struct text_digest *text,
				     struct proxy_output *out)
{
	struct conn_prepared *s = c->prepared_count == SESSION_PREPARED_MAX
					  ? drop_oldest(p, c, out)
					  : append(c);
	struct member_command *m;

	*s = (struct conn_prepared){ .text = *text, .writes = o->writes };
	snprintf(s->name, sizeof(s->name), "%c%llu", o->writes ? 'w' : 'r',
		 (unsigned long long)++c->prepared_names);
	m = conn_command(c, EXPECT_SETUP, MEMBER_PREPARE, out);
	m->op = o->writes ? STMT_WRITE : STMT_READ;
	m->name = text_copy(s->name);
	m->text = text_copy(o->shape);
	proxy_log(out,
		  "event=prepare request=%s member=%s conn=%llu name=%s "
		  "text=%016llx bytes=%zu",
		  o->request, p->member.name, (unsigned long long)c->number,
		  s->name, (unsigned long long)text_digest_short(text),
		  strlen(o->shape));
	return s;
}

void conn_apply_prepared(const struct pool *p, struct pool_conn *c,
			 struct proxy_output *out)
{
	const struct run_request *o = c->job->run;
	struct text_digest text = text_digest(o->shape);
	struct conn_prepared *s = find(c, o, &text);

	if (!s)
		s = prepare(p, c, o, &text, out);
	s->last_use = ++c->executes;
	c->job->prepared = *s;
}
