/** @file model_member.c Simulated endpoints: terms, log, slots. */
#include <string.h>

#include "model_world.h"

/* Time after which an unanswered control command counts as unreachable. */
#define CONTROL_LIMIT (250 * HM_MS)

/* One statement that a member runs. */
struct model_job {
	struct model_member *member;
	uint32_t instance;
	/* start number of the instance that sent the statement */
	uint32_t starts;
	uint64_t conn;
	struct statement statement;
	struct log_pos before;
	uint64_t body;
	uint64_t write;
};

struct control_call {
	struct model_member *member;
	uint32_t instance;
	uint32_t starts;
	struct control step;
	struct endpoint_state state;
	bool answered;
	int references;
};

struct conn_event {
	struct model_member *member;
	uint32_t instance;
	uint32_t starts;
	struct event event;
	uint64_t conn; /* connection to open or close at the member */
};

static struct log_pos member_at(const struct model_member *m)
{
	struct log_pos at = { 1, m->log->len };

	if (m->log->len)
		at.term = g_array_index(m->log, struct model_record,
					m->log->len - 1)
				  .term;
	/*
	 * The newest term of the lineage counts even while it has no records.
	 */
	if (m->lineage.count)
		at.term = m->lineage.begin[m->lineage.count - 1].term;
	return at;
}

static void member_state(const struct model_member *m, struct endpoint_state *s)
{
	memset(s, 0, sizeof(*s));
	s->database = m->database->database;
	s->endpoint = m->spec->endpoint;
	s->reachable = true;
	s->role = m->role;
	s->promised = m->promised;
	s->promised_by = m->promised_by;
	s->at = member_at(m);
	s->lineage = m->lineage;
	s->owner = m->owner;
	s->owner_idle = m->world->schedule.now - m->owner_seen_at;
}

void member_init(struct world *w, uint32_t group, uint32_t index)
{
	struct model_member *m = &w->members[group][index];

	m->world = w;
	m->group = group;
	m->database = &w->databases[group];
	m->spec = &w->databases[group].endpoints[index];
	m->lag = w->plan.site.lag;
	m->role = index ? ROLE_REPLICA : ROLE_PRIMARY;
	m->promised = 1;
	m->lineage.count = 1;
	m->lineage.begin[0].term = 1;
	m->follows = index ? 0 : NO_MEMBER;
	m->log = g_array_new(FALSE, FALSE, sizeof(struct model_record));
	m->conns = g_hash_table_new(g_direct_hash, g_direct_equal);
	g_queue_init(&m->waiting);
}

void member_free(struct model_member *m)
{
	g_array_free(m->log, TRUE);
	g_hash_table_destroy(m->conns);
	g_queue_clear_full(&m->waiting, g_free);
}

bool member_has_write(const struct model_member *m, uint64_t pos,
		      uint64_t write, uint64_t visible)
{
	if (!pos || pos > visible || pos > m->log->len)
		return false;
	return g_array_index(m->log, struct model_record, pos - 1).write ==
	       write;
}

uint32_t group_newest_primary(const struct world *w, uint32_t group)
{
	uint32_t i, best = NO_MEMBER;
	uint64_t term = 0;

	for (i = 0; i < MODEL_MEMBERS; i++) {
		const struct model_member *m = &w->members[group][i];

		if (m->role != ROLE_PRIMARY || member_at(m).term <= term)
			continue;
		term = member_at(m).term;
		best = i;
	}
	return best;
}

static struct model_instance *instance_of(struct model_member *m, uint32_t i)
{
	return &m->world->instances[i];
}

static hm_time delay_to(struct model_member *m, uint32_t instance)
{
	return world_delay(m->world, instance_of(m, instance)->options.zone,
			   m->spec->zone);
}

static bool is_cut(struct model_member *m, uint32_t instance)
{
	return world_is_cut(m->world, instance_of(m, instance)->options.zone,
			    m->spec->zone);
}

static void deliver_event(void *owner, void *arg)
{
	struct conn_event *c = arg;

	if (!is_cut(c->member, c->instance))
		world_event(owner, c->instance, c->starts, &c->event);
	g_free(c);
}

static void send_event(struct model_member *m, uint32_t instance,
		       uint32_t starts, const struct event *e)
{
	struct conn_event *c = g_new0(struct conn_event, 1);

	c->member = m;
	c->instance = instance;
	c->starts = starts;
	c->event = *e;
	schedule_at(&m->world->schedule,
		    m->world->schedule.now + delay_to(m, instance),
		    deliver_event, m->world, c, g_free);
}

static void send_closed(struct model_member *m, uint32_t instance,
			uint32_t starts, uint64_t conn, bool failed)
{
	struct event e = { .kind = EV_CLOSED };

	e.conn.conn = conn;
	e.conn.failed = failed;
	send_event(m, instance, starts, &e);
}

/*
 * Key of a connection at a member. It contains the instance too, since
 * different instances use the same connection numbers.
 */
static gpointer conn_key(uint32_t instance, uint64_t conn)
{
	return GSIZE_TO_POINTER((gsize)(conn << 8 | (instance + 1)));
}

static uint32_t key_instance(gpointer key)
{
	return (uint32_t)(GPOINTER_TO_SIZE(key) & 0xff) - 1;
}

static uint64_t key_conn(gpointer key)
{
	return GPOINTER_TO_SIZE(key) >> 8;
}

static bool has_conn(struct model_member *m, uint32_t instance, uint64_t conn)
{
	return g_hash_table_contains(m->conns, conn_key(instance, conn));
}

static void open_conn(void *owner, void *arg)
{
	struct world *w = owner;
	struct conn_event *c = arg;
	struct model_member *m = c->member;
	struct event e = { .kind = EV_CONNECTED };

	e.conn.conn = c->conn;
	if (m->dead || is_cut(m, c->instance)) {
		send_closed(m, c->instance, c->starts, c->conn, true);
		goto done;
	}
	if (g_hash_table_size(m->conns) >= m->spec->connections) {
		w->results.over_connections++;
		send_closed(m, c->instance, c->starts, c->conn, true);
		goto done;
	}
	g_hash_table_add(m->conns, conn_key(c->instance, c->conn));
	send_event(m, c->instance, c->starts, &e);

done:
	g_free(c);
}

void member_connect(struct model_member *m, uint32_t instance, uint64_t conn)
{
	struct world *w = m->world;
	struct conn_event *c = g_new0(struct conn_event, 1);
	hm_time cost = w->plan.site.connect_cost;

	c->member = m;
	c->instance = instance;
	c->starts = w->instances[instance].starts;
	c->conn = conn;
	schedule_at(&w->schedule,
		    w->schedule.now + cost + delay_to(m, instance), open_conn,
		    w, c, g_free);
}

static void finish_job(void *owner, void *arg);

static void start_job(struct model_job *j)
{
	struct model_member *m = j->member;
	struct world *w = m->world;
	const struct model_site *site = &w->plan.site;
	bool read = j->statement.op == OP_READ;
	hm_time cost = read ? site->read_cost : site->write_cost;
	uint32_t i;

	for (i = 0; i < site->account_count; i++)
		if (w->contracts[i].account == j->statement.account &&
		    site->accounts[i].cost_factor)
			cost *= site->accounts[i].cost_factor;
	if (m->running >= m->spec->slots)
		w->results.over_slots++;
	m->running++;
	j->before = member_at(m);
	j->body = load_executed(w->load, &j->statement, m, m->log->len);
	schedule_at(&w->schedule, w->schedule.now + world_exponential(w, cost),
		    finish_job, w, j, g_free);
}

static bool commit(struct model_member *m, struct model_job *j)
{
	struct world *w = m->world;
	struct model_record r;

	if (m->role != ROLE_PRIMARY || m->promised > member_at(m).term)
		return false;
	r.term = member_at(m).term;
	r.write = ++w->next_write;
	r.committed_at = w->schedule.now;
	g_array_append_val(m->log, r);
	j->write = r.write;
	load_committed(w->load, &j->statement, r.write, m->log->len);
	return true;
}

static void finish_job(void *owner, void *arg)
{
	struct model_job *j = arg;
	struct model_member *m = j->member;
	struct event e = { .kind = EV_DONE };
	struct model_job *next;

	(void)owner;
	m->running--;
	e.done.conn = j->conn;
	e.done.id = j->statement.id;
	e.done.done = DONE_OK;
	if (m->dead || !has_conn(m, j->instance, j->conn))
		goto next;
	if (j->statement.op != OP_READ && !commit(m, j))
		e.done.done = DONE_REFUSED;
	e.done.before = j->before;
	e.done.after = member_at(m);
	e.done.lineage = m->lineage;
	e.done.body = j->body;
	send_event(m, j->instance, j->starts, &e);

next:
	g_free(j);
	next = m->running < m->spec->slots ? g_queue_pop_head(&m->waiting)
					   : NULL;
	if (next)
		start_job(next);
}

static void arrive_job(void *owner, void *arg)
{
	struct world *w = owner;
	struct model_job *j = arg;
	struct model_member *m = j->member;

	if (m->dead || is_cut(m, j->instance) ||
	    !has_conn(m, j->instance, j->conn)) {
		g_free(j);
		return;
	}
	if (j->instance < w->plan.site.instances)
		m->owner_seen_at = w->schedule.now;
	if (m->running < m->spec->slots) {
		start_job(j);
		return;
	}
	w->results.over_slots++;
	g_queue_push_tail(&m->waiting, j);
}

void member_execute(struct model_member *m, uint32_t instance, uint64_t conn,
		    const struct statement *s)
{
	struct world *w = m->world;
	struct model_job *j = g_new0(struct model_job, 1);

	j->member = m;
	j->instance = instance;
	j->starts = w->instances[instance].starts;
	j->conn = conn;
	j->statement = *s;
	schedule_at(&w->schedule, w->schedule.now + delay_to(m, instance),
		    arrive_job, w, j, g_free);
}

static void arrive_close(void *owner, void *arg)
{
	struct conn_event *c = arg;

	(void)owner;
	g_hash_table_remove(c->member->conns, conn_key(c->instance, c->conn));
	g_free(c);
}

void member_close(struct model_member *m, uint32_t instance, uint64_t conn)
{
	struct conn_event *c = g_new0(struct conn_event, 1);

	c->member = m;
	c->instance = instance;
	c->conn = conn;
	schedule_at(&m->world->schedule,
		    m->world->schedule.now + delay_to(m, instance),
		    arrive_close, m->world, c, g_free);
}

void member_reset(struct model_member *m, uint32_t instance, uint64_t conn)
{
	struct event e = { .kind = EV_DONE };

	e.done.conn = conn;
	e.done.done = DONE_OK;
	send_event(m, instance, instance_of(m, instance)->starts, &e);
}

/*
 * Closes the connections of all incarnations except @a keep; with 0, all
 * connections.
 */
static void end_conns(struct model_member *m, uint64_t keep)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, m->conns);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct model_instance *i = instance_of(m, key_instance(key));

		if (keep && i->options.incarnation == keep)
			continue;
		send_closed(m, i->index, i->starts, key_conn(key), false);
		g_hash_table_iter_remove(&iter);
	}
}

void member_kill(struct model_member *m)
{
	m->dead = true;
	end_conns(m, 0);
	g_queue_clear_full(&m->waiting, g_free);
	g_queue_init(&m->waiting);
}

void member_revive(struct model_member *m)
{
	m->dead = false;
}

static bool fence(struct model_member *m, const struct control *step)
{
	if (step->term < m->promised)
		return false;
	if (step->term == m->promised)
		return step->requester == m->promised_by;
	m->promised = step->term;
	m->promised_by = step->requester;
	return true;
}

static void add_term(struct lineage *l, uint64_t term, uint64_t pos)
{
	if (l->count == LINEAGE_MAX) {
		memmove(l->begin, l->begin + 1,
			(LINEAGE_MAX - 1) * sizeof(l->begin[0]));
		l->count--;
	}
	l->begin[l->count].term = term;
	l->begin[l->count].pos = pos;
	l->count++;
}

static bool promote(struct model_member *m, const struct control *step)
{
	if (step->term != m->promised || step->requester != m->promised_by)
		return false;
	if (m->role == ROLE_PRIMARY && member_at(m).term == step->term)
		return true;
	m->role = ROLE_PRIMARY;
	m->follows = NO_MEMBER;
	add_term(&m->lineage, step->term, m->log->len);
	return true;
}

static bool follow(struct model_member *m, const struct control *step)
{
	uint32_t i;

	if (step->term < m->promised)
		return false;
	for (i = 0; i < MODEL_MEMBERS; i++)
		if (m->database->endpoints[i].endpoint == step->target)
			m->follows = i;
	if (step->term > m->promised) {
		m->promised = step->term;
		m->promised_by = step->requester;
	}
	m->role = ROLE_REPLICA;
	return true;
}

static bool set_owner(struct model_member *m, const struct control *step)
{
	if (m->owner == step->requester)
		return true;
	if (m->owner != step->expected)
		return false;
	m->owner = step->requester;
	end_conns(m, m->owner);
	return true;
}

static bool perform(struct model_member *m, const struct control *step)
{
	switch (step->op) {
	case CONTROL_FENCE:
		return fence(m, step);
	case CONTROL_PROMOTE:
		return promote(m, step);
	case CONTROL_FOLLOW:
		return follow(m, step);
	case CONTROL_SET_OWNER:
		return set_owner(m, step);
	case CONTROL_PROBE:
	case CONTROL_PROBE_NEW_CONN:
		break;
	}
	return true;
}

static void control_done(struct control_call *c)
{
	if (!--c->references)
		g_free(c);
}

static void control_drop(void *arg)
{
	control_done(arg);
}

static void control_answer(struct control_call *c)
{
	struct event e = { .kind = EV_STATE };

	if (c->answered)
		return;
	c->answered = true;
	e.state.nonce = c->step.nonce;
	e.state.state = c->state;
	world_event(c->member->world, c->instance, c->starts, &e);
}

static void control_return(void *owner, void *arg)
{
	struct control_call *c = arg;

	(void)owner;
	if (!is_cut(c->member, c->instance))
		control_answer(c);
	control_done(c);
}

static void control_timeout(void *owner, void *arg)
{
	struct control_call *c = arg;

	(void)owner;
	memset(&c->state, 0, sizeof(c->state));
	c->state.database = c->step.database;
	c->state.endpoint = c->step.endpoint;
	control_answer(c);
	control_done(c);
}

static void control_arrive(void *owner, void *arg)
{
	struct world *w = owner;
	struct control_call *c = arg;
	struct model_member *m = c->member;
	bool done;

	if (m->dead || is_cut(m, c->instance)) {
		control_done(c);
		return;
	}
	done = perform(m, &c->step);
	member_state(m, &c->state);
	c->state.refused = !done;
	if (instance_of(m, c->instance)->options.incarnation == m->owner)
		m->owner_seen_at = w->schedule.now;
	schedule_at(&w->schedule, w->schedule.now + delay_to(m, c->instance),
		    control_return, w, c, control_drop);
}

void member_control(struct model_member *m, uint32_t instance,
		    const struct control *step)
{
	struct world *w = m->world;
	struct control_call *c = g_new0(struct control_call, 1);
	hm_time cost = step->op == CONTROL_PROBE_NEW_CONN
			       ? w->plan.site.connect_cost
			       : 0;

	w->results.controls++;
	c->member = m;
	c->instance = instance;
	c->starts = w->instances[instance].starts;
	c->step = *step;
	c->references = 2;
	schedule_at(&w->schedule,
		    w->schedule.now + cost + delay_to(m, instance),
		    control_arrive, w, c, control_drop);
	schedule_at(&w->schedule, w->schedule.now + CONTROL_LIMIT,
		    control_timeout, w, c, control_drop);
}

/*
 * Removes the records at the end of the log of @a m that member @a f does not
 * have in its log.
 */
static void rewind_to(struct model_member *m, const struct model_member *f)
{
	while (m->log->len) {
		guint last = m->log->len - 1;
		uint64_t write =
			g_array_index(m->log, struct model_record, last).write;

		if (member_has_write(f, last + 1, write, f->log->len))
			return;
		g_array_set_size(m->log, last);
	}
}

static void replicate(struct model_member *m, const struct model_member *f)
{
	hm_time before = m->world->schedule.now - m->lag;

	rewind_to(m, f);
	while (m->log->len < f->log->len) {
		struct model_record r =
			g_array_index(f->log, struct model_record, m->log->len);

		if (r.committed_at > before)
			break;
		g_array_append_val(m->log, r);
	}
	m->lineage = f->lineage;
	/* Leave out terms that begin after the end of the copied log. */
	while (m->lineage.count > 1 &&
	       m->lineage.begin[m->lineage.count - 1].pos > m->log->len)
		m->lineage.count--;
}

void group_replicate(struct world *w, uint32_t group)
{
	uint32_t i;

	for (i = 0; i < MODEL_MEMBERS; i++) {
		struct model_member *m = &w->members[group][i];
		const struct model_member *f;

		if (m->dead || m->cut_peers || m->follows == NO_MEMBER)
			continue;
		f = &w->members[group][m->follows];
		if (f->dead || f->cut_peers || f->role != ROLE_PRIMARY)
			continue;
		if (world_is_cut(w, m->spec->zone, f->spec->zone))
			continue;
		if (member_at(f).term >= m->promised)
			replicate(m, f);
	}
}
