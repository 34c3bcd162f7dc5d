/** @file memlog.c Log, terms and lineage of a stand-in member. */
#include "memlog.h"

#include <string.h>

#define FIRST_TERM 1

struct memlog_statement *memlog_statement_new(const char *sql, int64_t clock,
					      char *const *params,
					      uint32_t count)
{
	struct memlog_statement *s = g_new0(struct memlog_statement, 1);
	uint32_t i;

	s->sql = g_strdup(sql);
	s->clock = clock;
	s->count = count;
	s->params = g_new0(char *, count);
	for (i = 0; i < count; i++)
		s->params[i] = g_strdup(params[i]);
	return s;
}

void memlog_statement_free(void *statement)
{
	struct memlog_statement *s = statement;
	uint32_t i;

	for (i = 0; i < s->count; i++)
		g_free(s->params[i]);
	g_free(s->params);
	g_free(s->sql);
	g_free(s);
}

void memlog_record_unref(void *record)
{
	struct memlog_record *r = record;

	if (--r->refs)
		return;
	g_ptr_array_unref(r->statements);
	g_free(r);
}

void memlog_open(struct memlog *l)
{
	struct log_pos first = { FIRST_TERM, 0 };

	memset(l, 0, sizeof(*l));
	l->promised = FIRST_TERM;
	l->records = g_ptr_array_new_with_free_func(memlog_record_unref);
	l->begin = g_array_new(false, false, sizeof(struct log_pos));
	g_array_append_val(l->begin, first);
}

void memlog_close(struct memlog *l)
{
	g_ptr_array_unref(l->records);
	g_array_unref(l->begin);
}

static struct memlog_record *record_at(const struct memlog *l, uint64_t pos)
{
	return l->records->pdata[pos - 1];
}

struct log_pos memlog_last_pos(const struct memlog *l)
{
	if (!l->records->len)
		return g_array_index(l->begin, struct log_pos, 0);
	return record_at(l, l->records->len)->at;
}

void memlog_lineage(const struct memlog *l, struct lineage *out)
{
	uint32_t skip = 0;

	if (l->begin->len > LINEAGE_MAX)
		skip = l->begin->len - LINEAGE_MAX;
	out->count = l->begin->len - skip;
	memcpy(out->begin, &g_array_index(l->begin, struct log_pos, skip),
	       out->count * sizeof(struct log_pos));
}

bool memlog_writable(const struct memlog *l)
{
	return l->role == ROLE_PRIMARY &&
	       l->promised == memlog_last_pos(l).term;
}

static void add(struct memlog *l, struct memlog_record *record)
{
	struct log_pos begin = { record->at.term, l->records->len };

	if (memlog_last_pos(l).term != record->at.term)
		g_array_append_val(l->begin, begin);
	record->refs++;
	g_ptr_array_add(l->records, record);
}

static void append(struct memlog *l, uint64_t term, GPtrArray *statements,
		   hm_time now)
{
	struct memlog_record *r = g_new0(struct memlog_record, 1);

	r->at.term = term;
	r->at.pos = l->records->len + 1;
	r->committed_at = now;
	r->statements = statements;
	add(l, r);
}

void memlog_append(struct memlog *l, GPtrArray *statements, hm_time now)
{
	append(l, memlog_last_pos(l).term, statements, now);
}

bool memlog_fence(struct memlog *l, uint64_t term, uint64_t requester)
{
	if (term == l->promised && requester == l->promised_by)
		return true;
	if (term <= l->promised)
		return false;
	l->promised = term;
	l->promised_by = requester;
	return true;
}

bool memlog_promote(struct memlog *l, uint64_t term, uint64_t requester,
		    hm_time now)
{
	if (term != l->promised || requester != l->promised_by)
		return false;
	if (l->role == ROLE_PRIMARY && memlog_last_pos(l).term == term)
		return true;
	/*
	 * The log has records of this term although this member isn't its
	 * primary: they come from the member that is.
	 */
	if (memlog_last_pos(l).term >= term)
		return false;
	l->role = ROLE_PRIMARY;
	l->following = 0;
	append(l, term, g_ptr_array_new_with_free_func(memlog_statement_free),
	       now);
	return true;
}

bool memlog_follow(struct memlog *l, uint64_t term, uint64_t requester,
		   hm_id target)
{
	if (term < l->promised)
		return false;
	if (l->role == ROLE_PRIMARY && memlog_last_pos(l).term >= term)
		return false;
	l->promised = term;
	l->promised_by = requester;
	l->role = ROLE_REPLICA;
	l->following = target;
	return true;
}

bool memlog_accepts(const struct memlog *l, const struct memlog *from)
{
	return l->role == ROLE_REPLICA &&
	       memlog_last_pos(from).term >= l->promised;
}

/* Last position up to which both logs are equal. */
static uint64_t common_prefix(const struct memlog *l, const struct memlog *from)
{
	uint64_t pos = MIN(l->records->len, from->records->len);

	while (pos &&
	       record_at(l, pos)->at.term != record_at(from, pos)->at.term)
		pos--;
	return pos;
}

static void truncate_log(struct memlog *l, uint64_t pos)
{
	struct log_pos *last;

	g_ptr_array_set_size(l->records, (int)pos);
	while (l->begin->len > 1) {
		last = &g_array_index(l->begin, struct log_pos,
				      l->begin->len - 1);
		if (last->pos < pos)
			break;
		g_array_set_size(l->begin, l->begin->len - 1);
	}
}

struct memlog_record *memlog_next(const struct memlog *l,
				  const struct memlog *from)
{
	if (l->records->len >= from->records->len)
		return NULL;
	return record_at(from, l->records->len + 1);
}

bool memlog_rewind(struct memlog *l, const struct memlog *from)
{
	uint64_t common = common_prefix(l, from);

	if (common == l->records->len || common == from->records->len)
		return false;
	truncate_log(l, common);
	return true;
}

void memlog_append_record(struct memlog *l, struct memlog_record *record)
{
	add(l, record);
	if (record->at.term <= l->promised)
		return;
	l->promised = record->at.term;
	/* The requester of this term has promoted another member. */
	l->promised_by = 0;
}
