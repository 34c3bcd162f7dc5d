/** @file conn_queue.c Accounts that share the connections of a member. */
#include "conn_queue.h"

#include <math.h>
#include <stdlib.h>

#include "grow.h"
#include "recent_count.h"
#include "table.h"

/*
 * Most small accounts use a member once in some seconds: the uses of several
 * times that long are needed to tell them apart.
 */
#define USE_HALF_LIFE (20 * HM_SEC)
#define USE_DEPTHS 8 /* connections of an account with a rate of their own */
#define USER_SPAN (60 * HM_SEC)
/*
 * An account with queued statements keeps its connection at least so long
 * before an equally urgent one gets it: a shorter turn would spend more than a
 * tenth of it on the handshake.
 */
#define TURN (120 * HM_MS)
/*
 * A statement waits so long for a connection in use by its own account before
 * another account's connection is closed for it. About two handshakes: most
 * statements end earlier than a new connection would be ready.
 */
#define OWN_WAIT (25 * HM_MS)

struct conn_account {
	hm_id account;
	double uses[USE_DEPTHS]; /* decaying counts, as of used_at */
	hm_time used_at;
	hm_time got_at; /* got a connection */
	bool waiting;
	/* Counted by the pool: */
	uint32_t connections;
	uint32_t usable; /* connections that are not inside a transaction */
	uint32_t idle;
	uint32_t queued;
	uint32_t level; /* of its most urgent queued statement */
	hm_time oldest; /* its first queued statement arrived */
};

struct conn_queue {
	struct conn_account *list;
	uint32_t count;
	uint32_t capacity;
	struct table by_account;
	uint32_t waiting;
	struct recent_count freed; /* connections */
	uint32_t least_freed;	   /* expected per second */
};

struct conn_queue *conn_queue_new(void)
{
	struct conn_queue *q = calloc(1, sizeof(*q));

	if (!q)
		abort();
	return q;
}

void conn_queue_free(struct conn_queue *q)
{
	if (!q)
		return;
	table_free(&q->by_account);
	free(q->list);
	free(q);
}

static struct conn_account *find(const struct conn_queue *q, hm_id account)
{
	uint32_t h = table_get(&q->by_account, account);

	return h == TABLE_NONE ? NULL : &q->list[h];
}

static struct conn_account *find_or_add(struct conn_queue *q, hm_id account)
{
	struct conn_account *a = find(q, account);

	if (a)
		return a;
	q->list = grow_list(q->list, q->count, &q->capacity, sizeof(*a));
	if (!table_put(&q->by_account, account, q->count))
		abort();
	a = &q->list[q->count++];
	*a = (struct conn_account){ .account = account, .used_at = -USER_SPAN };
	return a;
}

static uint32_t depth_index(uint32_t depth)
{
	return depth < USE_DEPTHS ? depth : USE_DEPTHS - 1;
}

static double decay(const struct conn_account *a, hm_time now)
{
	return exp2(-(double)(now - a->used_at) / USE_HALF_LIFE);
}

void conn_queue_use(struct conn_queue *q, hm_id account, uint32_t depth,
		    hm_time now)
{
	struct conn_account *a = find_or_add(q, account);
	double rest = decay(a, now);
	uint32_t i;

	for (i = 0; i < USE_DEPTHS; i++)
		a->uses[i] *= rest;
	a->uses[depth_index(depth)] += 1;
	a->used_at = now;
}

static double rate_of(const struct conn_account *a, uint32_t depth, hm_time now)
{
	return a->uses[depth_index(depth)] * decay(a, now) * M_LN2 * HM_SEC /
	       USE_HALF_LIFE;
}

double conn_queue_rate(const struct conn_queue *q, hm_id account,
		       uint32_t depth, hm_time now)
{
	const struct conn_account *a = find(q, account);

	return a ? rate_of(a, depth, now) : 0;
}

uint32_t conn_queue_users(const struct conn_queue *q, hm_time now)
{
	uint32_t i, n = 0;

	for (i = 0; i < q->count; i++)
		n += now - q->list[i].used_at < USER_SPAN;
	return n;
}

void conn_queue_freed(struct conn_queue *q, hm_time now)
{
	recent_count_add(&q->freed, now);
}

void conn_queue_set_rate(struct conn_queue *q, uint32_t per_s)
{
	q->least_freed = per_s;
}

void conn_queue_got(struct conn_queue *q, hm_id account, hm_time now)
{
	find_or_add(q, account)->got_at = now;
}

void conn_queue_begin(struct conn_queue *q)
{
	uint32_t i;

	for (i = 0; i < q->count; i++) {
		struct conn_account *a = &q->list[i];

		a->connections = 0;
		a->usable = 0;
		a->idle = 0;
		a->queued = 0;
	}
}

void conn_queue_add_conn(struct conn_queue *q, hm_id account, bool usable,
			 bool idle)
{
	struct conn_account *a = find_or_add(q, account);

	a->connections++;
	a->usable += usable;
	a->idle += idle;
}

void conn_queue_add_job(struct conn_queue *q, hm_id account, uint32_t level,
			hm_time queued_at)
{
	struct conn_account *a = find_or_add(q, account);

	if (!a->queued || level < a->level)
		a->level = level;
	if (!a->queued || queued_at < a->oldest)
		a->oldest = queued_at;
	a->queued++;
}

static bool needs_conn(const struct conn_account *a)
{
	return a->queued && !a->idle;
}

/* Order in which accounts get connections. */
static int compare(const void *left, const void *right)
{
	const struct conn_account *a = *(struct conn_account *const *)left;
	const struct conn_account *b = *(struct conn_account *const *)right;

	if (a->level != b->level)
		return a->level < b->level ? -1 : 1;
	if (a->connections != b->connections)
		return a->connections < b->connections ? -1 : 1;
	if (a->oldest != b->oldest)
		return a->oldest < b->oldest ? -1 : 1;
	return a->account < b->account ? -1 : a->account > b->account;
}

/* Whether @a v is a better victim than @a best. */
static bool yields_before(const struct conn_account *v,
			  const struct conn_account *best, hm_time now)
{
	double rate, best_rate;

	if (!best)
		return true;
	rate = rate_of(v, v->connections - 1, now);
	best_rate = rate_of(best, best->connections - 1, now);
	if (rate != best_rate)
		return rate < best_rate;
	if (v->idle != best->idle)
		return v->idle > best->idle;
	return v->used_at < best->used_at;
}

/* Account with the idle connection whose next use is expected the latest. */
static struct conn_account *find_unused(const struct conn_queue *q,
					const struct conn_account *a,
					hm_time now)
{
	struct conn_account *best = NULL;
	uint32_t i;

	for (i = 0; i < q->count; i++) {
		struct conn_account *v = &q->list[i];

		if (v != a && v->idle && v->idle > v->queued &&
		    yields_before(v, best, now))
			best = v;
	}
	if (best && a->usable && now - a->oldest < OWN_WAIT)
		return NULL;
	return best;
}

/*
 * Account that has statements queued for its idle connections and still has to
 * give one up: they are less urgent, or it is the other account's turn.
 */
static struct conn_account *find_turn(const struct conn_queue *q,
				      const struct conn_account *a, hm_time now)
{
	struct conn_account *best = NULL;
	uint32_t i;

	for (i = 0; i < q->count && !a->usable; i++) {
		struct conn_account *v = &q->list[i];
		bool over = v->level == a->level &&
			    v->connections >= a->connections &&
			    now - v->got_at >= TURN;

		if (v == a || !v->idle || !v->queued ||
		    !(v->level > a->level || over))
			continue;
		if (!best || v->level > best->level ||
		    (v->level == best->level && v->got_at < best->got_at))
			best = v;
	}
	return best;
}

static bool may_get(const struct conn_queue *q, const struct conn_account *a,
		    const struct conn_room *room, hm_time now,
		    struct conn_choice *out)
{
	bool more = a->level && a->connections;
	struct conn_account *victim;

	*out = (struct conn_choice){ .found = true, .account = a->account };
	if (a->connections >= room->hold && q->waiting > a->waiting)
		return false;
	if (room->open < (more ? room->most_others : room->most))
		return true;
	victim = find_unused(q, a, now);
	if (!victim) {
		victim = find_turn(q, a, now);
		out->turn = victim;
	}
	if (!victim)
		return false;
	out->evict = true;
	out->victim = victim->account;
	return true;
}

struct conn_choice conn_queue_choose(struct conn_queue *q,
				     const struct conn_room *room, hm_time now)
{
	struct conn_account **order = calloc(q->count + 1, sizeof(void *));
	struct conn_choice choice = { 0 };
	bool found = false;
	uint32_t i, n = 0;

	if (!order)
		abort();
	for (i = 0; i < q->count; i++)
		if (needs_conn(&q->list[i]))
			order[n++] = &q->list[i];
	qsort(order, n, sizeof(void *), compare);
	for (i = 0; i < n && !found; i++)
		found = may_get(q, order[i], room, now, &choice);
	free(order);
	return found ? choice : (struct conn_choice){ 0 };
}

bool conn_queue_next_waiting(struct conn_queue *q, hm_id *account,
			     uint32_t *level)
{
	uint32_t i;

	for (i = 0; i < q->count; i++) {
		struct conn_account *a = &q->list[i];

		if (a->waiting || !needs_conn(a) || a->usable)
			continue;
		a->waiting = true;
		q->waiting++;
		*account = a->account;
		*level = a->level;
		return true;
	}
	return false;
}

void conn_queue_update_waiting(struct conn_queue *q)
{
	uint32_t i;

	q->waiting = 0;
	for (i = 0; i < q->count; i++) {
		struct conn_account *a = &q->list[i];

		a->waiting = a->waiting && needs_conn(a) && !a->usable;
		q->waiting += a->waiting;
	}
}

uint32_t conn_queue_waiting(const struct conn_queue *q)
{
	return q->waiting;
}

/*
 * Whether @a a waits and gets a connection before a statement of @a level and
 * of the account @a own, which may be NULL.
 */
static bool goes_before(const struct conn_account *a,
			const struct conn_account *own, uint32_t level)
{
	if (!a->waiting || a == own)
		return false;
	if (a->level != level || !own || !own->queued || own->level != level)
		return a->level <= level;
	return compare(&a, &own) < 0;
}

hm_time conn_queue_wait(const struct conn_queue *q, hm_id account,
			uint32_t level, bool queued, hm_time attempt_at,
			hm_time now)
{
	hm_time wait = attempt_at > now ? attempt_at - now : 0;
	uint32_t freed = recent_count_get(&q->freed, now);
	const struct conn_account *own = find(q, account);
	uint32_t i, ahead = 0;
	hm_time turns;

	if (freed < q->least_freed)
		freed = q->least_freed;
	for (i = 0; i < q->count; i++)
		ahead += goes_before(&q->list[i], own, level);
	/*
	 * Without a free connection in the last second the first statement
	 * waits for the next attempt and the others for longer than a second.
	 */
	if (!freed && !queued && own && own->waiting && own->level <= level)
		ahead++;
	if (!freed)
		return wait + ahead * HM_SEC;
	turns = (ahead + 1) * HM_SEC / freed;
	return turns > wait ? turns : wait;
}
