/**
 * @file naive.c
 * Naive baseline that the simulation compares the core with. Each instance
 * has a fixed share of the rates and connections and one first-in first-out
 * queue per database. All reads go to the primary, results are returned
 * without a check, and the instance with the lowest number replaces a primary
 * that did not answer for a fixed time.
 */
#include <glib.h>
#include <string.h>

#include "model.h"

#define DATABASES_MAX 4
#define CONNS_MAX 2 /* connections of an instance to an endpoint */
#define PROBE_EVERY (200 * HM_MS)
#define SILENCE_LIMIT (10 * HM_SEC)

struct naive_conn {
	uint64_t number; /* 0: no connection */
	bool ready;
	bool busy;
	struct statement statement;
};

struct naive_member {
	struct endpoint_state state;
	hm_time last_reply_at;
	bool asked;
	struct naive_conn conns[CONNS_MAX];
};

struct naive_database {
	struct database_spec spec;
	struct naive_member members[ENDPOINTS_MAX];
	GQueue waiting; /* struct statement */
	hm_time promoted_at;
	uint64_t term; /* highest term sent to a member */
};

struct naive_account {
	struct contract contract;
	double tokens;
	hm_time filled_at;
};

struct naive {
	struct core_options options;
	struct naive_database databases[DATABASES_MAX];
	uint32_t database_count;
	struct naive_account accounts[MODEL_ACCOUNTS_MAX];
	uint32_t account_count;
	uint32_t instance_count;
	bool first; /* this instance has the lowest number of all instances */
	uint64_t next_conn;
	uint64_t next_nonce;
	hm_time probe_at;
};

static void *naive_create(const struct core_options *options, hm_time now)
{
	struct naive *n = g_new0(struct naive, 1);

	n->options = *options;
	n->instance_count = 1;
	(void)now;
	return n;
}

static void naive_destroy(void *server)
{
	struct naive *n = server;
	uint32_t i;

	for (i = 0; i < n->database_count; i++)
		g_queue_clear_full(&n->databases[i].waiting, g_free);
	g_free(n);
}

static void answer(struct rid id, enum error error, enum execution execution,
		   struct actions *actions, const struct event *e,
		   hm_id endpoint)
{
	struct result *r = &actions_add(actions, ACT_ANSWER)->answer;

	r->id = id;
	r->error = error;
	r->execution = execution;
	r->endpoint = endpoint;
	if (!e)
		return;
	r->at = e->done.after;
	r->body = e->done.body;
}

static struct naive_account *account_of(struct naive *n, struct key_id key)
{
	uint32_t i;

	for (i = 0; i < n->account_count; i++)
		if (n->accounts[i].contract.key_count &&
		    key_equal(n->accounts[i].contract.keys[0], key))
			return &n->accounts[i];
	return NULL;
}

static bool take_token(struct naive *n, struct naive_account *a, hm_time now)
{
	double share = 1.0 / n->instance_count;
	double add = (double)(now - a->filled_at) / HM_SEC * a->contract.rate *
		     share;

	a->tokens = MIN(a->contract.burst * share, a->tokens + add);
	a->filled_at = now;
	if (a->tokens < 1)
		return false;
	a->tokens -= 1;
	return true;
}

static struct naive_member *primary_of(struct naive_database *d,
				       const struct endpoint_spec **spec)
{
	struct naive_member *best = NULL;
	uint32_t i;

	for (i = 0; i < d->spec.endpoint_count; i++) {
		struct naive_member *m = &d->members[i];

		if (m->state.role != ROLE_PRIMARY || !m->last_reply_at)
			continue;
		if (best && m->state.at.term <= best->state.at.term)
			continue;
		best = m;
		*spec = &d->spec.endpoints[i];
	}
	return best;
}

static void execute(struct naive_conn *c, const struct endpoint_spec *spec,
		    const struct statement *s, struct actions *actions)
{
	struct action *a = actions_add(actions, ACT_EXECUTE);

	c->busy = true;
	c->statement = *s;
	a->conn.conn = c->number;
	a->conn.endpoint = spec->endpoint;
	a->conn.statement = *s;
}

static void dispatch(struct naive *n, struct naive_database *d,
		     struct actions *actions)
{
	const struct endpoint_spec *spec = NULL;
	struct naive_member *m = primary_of(d, &spec);
	uint32_t i;

	for (i = 0; m && i < CONNS_MAX; i++) {
		struct naive_conn *c = &m->conns[i];
		struct action *a;

		if (!c->number) {
			c->number = ++n->next_conn;
			a = actions_add(actions, ACT_CONNECT);
			a->conn.conn = c->number;
			a->conn.endpoint = spec->endpoint;
		}
		if (c->ready && !c->busy && d->waiting.length) {
			struct statement *s = g_queue_pop_head(&d->waiting);

			execute(c, spec, s, actions);
			g_free(s);
		}
	}
}

static struct naive_database *database_of(struct naive *n, hm_id database)
{
	uint32_t i;

	for (i = 0; i < n->database_count; i++)
		if (n->databases[i].spec.database == database)
			return &n->databases[i];
	return NULL;
}

static void on_request(struct naive *n, const struct statement *s, hm_time now,
		       struct actions *actions)
{
	struct naive_account *a = account_of(n, s->key);
	struct naive_database *d = database_of(n, s->database);

	if (!a || !d) {
		answer(s->id, ERR_UNAUTHENTICATED, EXEC_NOT_RUN, actions, NULL,
		       0);
		return;
	}
	if (!take_token(n, a, now)) {
		answer(s->id, ERR_RATE_LIMITED, EXEC_NOT_RUN, actions, NULL, 0);
		return;
	}
	g_queue_push_tail(&d->waiting, g_memdup2(s, sizeof(*s)));
	((struct statement *)d->waiting.tail->data)->account =
		a->contract.account;
	dispatch(n, d, actions);
}

static struct naive_conn *conn_of(struct naive *n, uint64_t number,
				  struct naive_database **d, uint32_t *member)
{
	uint32_t i, k, c;

	for (i = 0; i < n->database_count; i++)
		for (k = 0; k < n->databases[i].spec.endpoint_count; k++)
			for (c = 0; c < CONNS_MAX; c++) {
				struct naive_member *m =
					&n->databases[i].members[k];

				if (m->conns[c].number != number)
					continue;
				*d = &n->databases[i];
				*member = k;
				return &m->conns[c];
			}
	return NULL;
}

static void on_done(struct naive *n, const struct event *e,
		    struct actions *actions)
{
	struct naive_database *d = NULL;
	uint32_t member = 0;
	struct naive_conn *c = conn_of(n, e->done.conn, &d, &member);
	bool ok = e->done.done == DONE_OK;

	if (!c || !c->busy)
		return;
	c->busy = false;
	answer(c->statement.id, ok ? ERR_NONE : ERR_NO_PRIMARY,
	       ok ? EXEC_RUN : EXEC_NOT_RUN, actions, e,
	       d->spec.endpoints[member].endpoint);
	dispatch(n, d, actions);
}

static void on_closed(struct naive *n, uint64_t number, struct actions *actions)
{
	struct naive_database *d = NULL;
	uint32_t member = 0;
	struct naive_conn *c = conn_of(n, number, &d, &member);

	if (!c)
		return;
	if (c->busy)
		answer(c->statement.id, ERR_OUTCOME_UNKNOWN, EXEC_UNKNOWN,
		       actions, NULL, 0);
	memset(c, 0, sizeof(*c));
}

static void on_connected(struct naive *n, uint64_t number,
			 struct actions *actions)
{
	struct naive_database *d = NULL;
	uint32_t member = 0;
	struct naive_conn *c = conn_of(n, number, &d, &member);

	if (!c)
		return;
	c->ready = true;
	dispatch(n, d, actions);
}

static struct control *send_control(struct naive *n, enum control_op op,
				    const struct naive_database *d,
				    uint32_t member, struct actions *actions)
{
	struct control *c = &actions_add(actions, ACT_CONTROL)->control;

	c->nonce.incarnation = n->options.incarnation;
	c->nonce.seq = ++n->next_nonce;
	c->op = op;
	c->database = d->spec.database;
	c->endpoint = d->spec.endpoints[member].endpoint;
	c->term = d->term;
	c->requester = n->options.incarnation;
	return c;
}

/* Replaces a primary that did not answer for SILENCE_LIMIT. */
static void promote(struct naive *n, struct naive_database *d, hm_time now,
		    struct actions *actions)
{
	const struct endpoint_spec *spec = NULL;
	struct naive_member *m = primary_of(d, &spec);
	uint32_t i, best = UINT32_MAX;

	if (!m || now - m->last_reply_at < SILENCE_LIMIT ||
	    now < d->promoted_at + SILENCE_LIMIT)
		return;
	for (i = 0; i < d->spec.endpoint_count; i++)
		if (&d->members[i] != m &&
		    (best == UINT32_MAX ||
		     d->members[i].state.at.pos >
			     d->members[best].state.at.pos))
			best = i;
	d->promoted_at = now;
	d->term = m->state.at.term + 1;
	send_control(n, CONTROL_FENCE, d, best, actions);
	send_control(n, CONTROL_PROMOTE, d, best, actions);
	for (i = 0; i < d->spec.endpoint_count; i++)
		if (i != best)
			send_control(n, CONTROL_FOLLOW, d, i, actions)->target =
				d->spec.endpoints[best].endpoint;
}

static void expire(struct naive_database *d, hm_time now,
		   struct actions *actions)
{
	struct statement *s;

	while ((s = g_queue_peek_head(&d->waiting)) && s->deadline <= now) {
		answer(s->id, ERR_DEADLINE, EXEC_NOT_RUN, actions, NULL, 0);
		g_free(g_queue_pop_head(&d->waiting));
	}
}

static void expire_running(struct naive_database *d, hm_time now,
			   struct actions *actions)
{
	uint32_t k, c;

	for (k = 0; k < d->spec.endpoint_count; k++)
		for (c = 0; c < CONNS_MAX; c++) {
			struct naive_conn *conn = &d->members[k].conns[c];

			if (!conn->busy || conn->statement.deadline > now)
				continue;
			answer(conn->statement.id, ERR_OUTCOME_UNKNOWN,
			       EXEC_UNKNOWN, actions, NULL, 0);
			memset(conn, 0, sizeof(*conn));
		}
}

static void on_tick(struct naive *n, hm_time now, struct actions *actions)
{
	bool probe = now >= n->probe_at;
	uint32_t i, k;

	if (probe)
		n->probe_at = now + PROBE_EVERY;
	for (i = 0; i < n->database_count; i++) {
		struct naive_database *d = &n->databases[i];

		for (k = 0; probe && k < d->spec.endpoint_count; k++)
			send_control(n, CONTROL_PROBE, d, k, actions);
		expire(d, now, actions);
		expire_running(d, now, actions);
		if (n->first)
			promote(n, d, now, actions);
		dispatch(n, d, actions);
	}
}

static void on_state(struct naive *n, const struct endpoint_state *s,
		     hm_time now)
{
	struct naive_database *d = database_of(n, s->database);
	uint32_t k;

	for (k = 0; d && s->reachable && k < d->spec.endpoint_count; k++) {
		if (d->spec.endpoints[k].endpoint != s->endpoint)
			continue;
		d->members[k].state = *s;
		d->members[k].last_reply_at = now;
	}
}

static void on_contract(struct naive *n, const struct contract *c, hm_time now)
{
	uint32_t i;

	for (i = 0; i < n->account_count; i++)
		if (n->accounts[i].contract.account == c->account) {
			n->accounts[i].contract = *c;
			return;
		}
	n->accounts[i].contract = *c;
	n->accounts[i].tokens = c->burst;
	n->accounts[i].filled_at = now;
	n->account_count++;
}

static void on_instances(struct naive *n, const struct event *e)
{
	uint32_t i;

	n->instance_count = MAX(1, e->instances.count);
	n->first = true;
	for (i = 0; i < e->instances.count; i++)
		if (e->instances.list[i].instance < n->options.instance)
			n->first = false;
}

static void naive_step(void *server, const struct event *e, hm_time now,
		       struct actions *actions)
{
	struct naive *n = server;

	switch (e->kind) {
	case EV_TICK:
		on_tick(n, now, actions);
		break;
	case EV_REQUEST:
		on_request(n, &e->request, now, actions);
		break;
	case EV_CONNECTED:
		on_connected(n, e->conn.conn, actions);
		break;
	case EV_CLOSED:
		on_closed(n, e->conn.conn, actions);
		break;
	case EV_DONE:
		on_done(n, e, actions);
		break;
	case EV_STATE:
		on_state(n, &e->state.state, now);
		break;
	case EV_CONTRACT:
		on_contract(n, e->contract, now);
		break;
	case EV_DATABASE:
		n->databases[n->database_count++].spec = *e->database;
		break;
	case EV_INSTANCES:
		on_instances(n, e);
		break;
	default:
		break;
	}
}

const struct model_server model_naive = { "naive", naive_create, naive_destroy,
					  naive_step };
