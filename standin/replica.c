/** @file replica.c Replication between stand-in members. */
#include "replica.h"

#include "session.h"

#define CHECKPOINT_INTERVAL 500 /* records */
#define CHECKPOINTS_MAX 3

static bool is_linked(const struct node *n)
{
	const struct member_faults *f = &n->faults;

	return !f->cut_peers && !f->cut_all && !f->paused && !f->dead;
}

/* The member to replicate from; NULL when replication is impossible now. */
static struct node *source_of(const struct node *n)
{
	struct node *from;

	if (n->log.role != ROLE_REPLICA || !n->log.following)
		return NULL;
	from = node_peer(n, n->log.following);
	if (!from || from == n || !is_linked(n) || !is_linked(from))
		return NULL;
	return memlog_accepts(&n->log, &from->log) ? from : NULL;
}

static hm_time arrival(const struct node *n, const struct memlog_record *r)
{
	hm_time lag = n->faults.lag ? n->faults.lag : n->options.lag;

	return r->committed_at + lag;
}

static bool replay(struct node *n, const struct memlog_record *r)
{
	return engine_apply(n->engine, r->statements);
}

/* Content of the database after the record at a position. */
struct checkpoint {
	uint64_t pos;
	struct engine_image *image;
};

static void checkpoint_free(void *checkpoint)
{
	struct checkpoint *c = checkpoint;

	engine_image_free(c->image);
	g_free(c);
}

void replica_checkpoint(struct node *n)
{
	const struct checkpoint *last = g_queue_peek_tail(&n->checkpoints);
	uint64_t pos = n->log.records->len;
	struct engine_image *image;
	struct checkpoint *c;

	if (pos < (last ? last->pos : 0) + CHECKPOINT_INTERVAL)
		return;
	image = engine_image_new(n->engine);
	if (!image)
		g_error("cannot copy the database of %s", n->spec.name);
	c = g_new0(struct checkpoint, 1);
	c->pos = pos;
	c->image = image;
	g_queue_push_tail(&n->checkpoints, c);
	if (n->checkpoints.length > CHECKPOINTS_MAX)
		checkpoint_free(g_queue_pop_head(&n->checkpoints));
}

void replica_free_checkpoints(struct node *n)
{
	g_queue_clear_full(&n->checkpoints, checkpoint_free);
}

/*
 * Newest checkpoint whose position is within the log, NULL for none; drops the
 * checkpoints beyond the end of the log.
 */
static struct checkpoint *valid_checkpoint(struct node *n)
{
	struct checkpoint *c;

	while ((c = g_queue_peek_tail(&n->checkpoints)) &&
	       c->pos > n->log.records->len)
		checkpoint_free(g_queue_pop_tail(&n->checkpoints));
	return c;
}

/* Rebuilds the database from a checkpoint and the log records after it. */
static void rebuild(struct node *n)
{
	const struct checkpoint *c = valid_checkpoint(n);
	guint i = c ? (guint)c->pos : 0;

	statement_rollback_writer(n, 0);
	engine_free(n->engine);
	n->engine = c ? engine_from_image(c->image) : engine_new();
	for (; n->engine && i < n->log.records->len; i++)
		if (!replay(n, n->log.records->pdata[i]))
			break;
	if (!n->engine || i < n->log.records->len)
		g_error("cannot replay the log of %s", n->spec.name);
}

static void apply_record(struct node *n, struct memlog_record *r)
{
	if (!replay(n, r))
		g_error("cannot apply a record to %s", n->spec.name);
	memlog_append_record(&n->log, r);
}

void replica_pull(struct node *n, hm_time now)
{
	struct node *from = source_of(n);
	struct memlog_record *r;

	if (!from)
		return;
	if (memlog_rewind(&n->log, &from->log))
		rebuild(n);
	while ((r = memlog_next(&n->log, &from->log)) && arrival(n, r) <= now)
		apply_record(n, r);
}

hm_time replica_due(const struct node *n)
{
	const struct node *from = source_of(n);
	const struct memlog_record *r =
		from ? memlog_next(&n->log, &from->log) : NULL;

	return r ? arrival(n, r) : HM_NEVER;
}
