/** @file model_load.c Simulated clients, and checks of their answers. */
#include <string.h>

#include "model_world.h"

#define SESSIONS_PER_ACCOUNT 200
/* Time until the load balancer stops sending to a stopped instance. */
#define BALANCER_LAG (500 * HM_MS)
#define WARM_UP (3 * HM_SEC)

/* State of a session for one database. */
struct session {
	struct log_pos own_commit;
	bool unsure;
	uint64_t own_write; /* last acknowledged write, 0 for none */
	uint64_t own_pos;
};

struct model_request {
	bool ended;
	uint32_t account;
	uint32_t session;
	uint32_t group;
	uint32_t instance;
	uint32_t starts;
	bool read;
	bool inside_rate;
	bool measured;
	/* whether the rate limit of its account admitted the request */
	bool admitted;
	hm_time max_age;
	hm_time sent_at;
	hm_time arrive_at;
	uint64_t required_write; /* own write that a read must see */
	uint64_t required_pos;
	uint64_t age_write; /* write that max_age requires */
	uint64_t age_pos;
	uint64_t write; /* write that this request committed, 0 for none */
	uint64_t write_pos;
	uint32_t executions;
	uint32_t commits;
	struct statement statement;
};

/* An acknowledged write. */
struct acked_write {
	hm_time at;
	uint64_t write;
	uint64_t pos;
};

struct load_generator {
	struct world *world;
	/* struct model_request; the sequence number is the index + 1. */
	GPtrArray *requests;
	struct session sessions[MODEL_ACCOUNTS_MAX][SESSIONS_PER_ACCOUNT][4];
	/* By database: struct acked_write, with rising positions. */
	GArray *acked_writes[4];
	GArray *latencies[MODEL_ACCOUNTS_MAX]; /* hm_time */
	/* Token bucket over arrivals, leaky bucket over admitted requests. */
	double bucket[MODEL_ACCOUNTS_MAX];
	double admitted[MODEL_ACCOUNTS_MAX];
	hm_time bucket_at[MODEL_ACCOUNTS_MAX];
	hm_time admitted_at[MODEL_ACCOUNTS_MAX];
	uint64_t entitled[MODEL_ACCOUNTS_MAX];
	uint64_t served[MODEL_ACCOUNTS_MAX];
	/* Requests inside the rate that were refused, but servable. */
	uint64_t refused[MODEL_ACCOUNTS_MAX];
	hm_time last_ack;
	hm_time dead_since[MODEL_INSTANCES_MAX];
};

/*
 * Flags in the body of a read's result: the read returned the session's own
 * write, its data was not older than max_age, and the body was filled in.
 */
#define BODY_OWN_WRITE 1
#define BODY_WITHIN_AGE 2
#define BODY_SET 4

static struct model_request *request_of(const struct load_generator *l,
					uint64_t seq)
{
	if (!seq || seq > l->requests->len)
		return NULL;
	return g_ptr_array_index(l->requests, seq - 1);
}

/* Whether a request is inside its contract: a token bucket over arrivals. */
static bool is_inside_rate(struct load_generator *l, uint32_t account,
			   hm_time now)
{
	const struct model_account *a = &l->world->plan.site.accounts[account];
	double add = (double)(now - l->bucket_at[account]) * a->rate / HM_SEC;

	l->bucket[account] = MIN((double)a->burst, l->bucket[account] + add);
	l->bucket_at[account] = now;
	if (l->bucket[account] < 1)
		return false;
	l->bucket[account] -= 1;
	return true;
}

/*
 * Counts an admitted request in the leaky bucket of its account. More than one
 * request above the burst is a violation of the rate limit.
 */
static void count_admitted(struct load_generator *l, uint32_t account,
			   hm_time now)
{
	const struct model_account *a = &l->world->plan.site.accounts[account];
	double drain =
		(double)(now - l->admitted_at[account]) * a->rate / HM_SEC;

	l->admitted[account] = MAX(0, l->admitted[account] - drain) + 1;
	l->admitted_at[account] = now;
	if (l->admitted[account] > (double)a->burst + 1)
		l->world->results.over_rate++;
}

static uint32_t pick_instance(struct load_generator *l)
{
	struct world *w = l->world;
	const struct model_site *site = &w->plan.site;
	uint32_t i = 0, tries;

	for (tries = 0; tries < 20; tries++) {
		i = 0;
		if (rng_below(&w->rng, 100) >= site->skew_percent)
			i = (uint32_t)rng_below(&w->rng, site->instances);
		if (w->instances[i].server)
			return i;
		if (w->schedule.now < l->dead_since[i] + BALANCER_LAG)
			return i;
	}
	return i;
}

static void fill_expectations(struct load_generator *l, struct model_request *r)
{
	struct session *s = &l->sessions[r->account][r->session][r->group];
	hm_time before = r->sent_at - r->max_age;
	const GArray *acked = l->acked_writes[r->group];
	guint low = 0, high = acked->len;

	r->statement.floor = s->own_commit;
	r->statement.unsure = s->unsure;
	r->required_write = s->own_write;
	r->required_pos = s->own_pos;
	while (low < high) {
		guint middle = (low + high) / 2;

		if (g_array_index(acked, struct acked_write, middle).at <=
		    before)
			low = middle + 1;
		else
			high = middle;
	}
	if (!low)
		return;
	r->age_write = g_array_index(acked, struct acked_write, low - 1).write;
	r->age_pos = g_array_index(acked, struct acked_write, low - 1).pos;
}

static void arrive(void *owner, void *arg)
{
	struct world *w = owner;
	struct model_request *r = arg;
	struct model_instance *i = &w->instances[r->instance];
	struct event e = { .kind = EV_REQUEST };

	if (!i->server) {
		w->results.no_answer += r->measured;
		r->ended = true;
		return;
	}
	r->starts = i->starts;
	r->arrive_at = w->schedule.now;
	r->statement.id.incarnation = i->options.incarnation;
	r->statement.deadline = w->schedule.now + w->plan.site.deadline;
	e.request = r->statement;
	world_event(w, r->instance, i->starts, &e);
}

static void send_request(struct load_generator *l, uint32_t account)
{
	struct world *w = l->world;
	const struct model_site *site = &w->plan.site;
	struct model_request *r = g_new0(struct model_request, 1);

	g_ptr_array_add(l->requests, r);
	r->account = account;
	r->session = (uint32_t)rng_below(&w->rng, SESSIONS_PER_ACCOUNT);
	r->group = (uint32_t)rng_below(&w->rng, site->databases);
	r->read = rng_below(&w->rng, 100) < site->read_percent;
	if (r->read && rng_below(&w->rng, 100) < site->max_age_percent)
		r->max_age = site->max_age;
	r->sent_at = w->schedule.now;
	r->measured = r->sent_at >= WARM_UP;
	r->inside_rate = is_inside_rate(l, account, r->sent_at);
	r->instance = pick_instance(l);
	r->statement.id.seq = l->requests->len;
	r->statement.op = r->read ? OP_READ : OP_WRITE;
	r->statement.key = w->contracts[account].keys[0];
	r->statement.database = w->databases[r->group].database;
	r->statement.max_age = r->max_age;
	r->statement.body = l->requests->len;
	fill_expectations(l, r);
	w->results.sent++;
	w->results.requests += r->measured;
	if (r->measured && r->inside_rate) {
		w->results.inside_rate++;
		l->entitled[account]++;
	}
	schedule_at(&w->schedule, w->schedule.now + site->client_delay, arrive,
		    w, r, NULL);
}

static void next_request(void *owner, void *arg)
{
	struct world *w = owner;
	uint32_t account = GPOINTER_TO_UINT(arg);
	uint32_t offered = w->plan.site.accounts[account].offered;
	hm_time wait;

	if (!offered || w->schedule.now > w->plan.duration)
		return;
	send_request(w->load, account);
	wait = world_exponential(w, HM_SEC / offered);
	schedule_at(&w->schedule, w->schedule.now + wait, next_request, w, arg,
		    NULL);
}

struct load_generator *load_new(struct world *w)
{
	struct load_generator *l = g_new0(struct load_generator, 1);
	uint32_t i;

	l->world = w;
	l->requests = g_ptr_array_new_with_free_func(g_free);
	for (i = 0; i < 4; i++)
		l->acked_writes[i] =
			g_array_new(FALSE, FALSE, sizeof(struct acked_write));
	for (i = 0; i < MODEL_ACCOUNTS_MAX; i++)
		l->latencies[i] = g_array_new(FALSE, FALSE, sizeof(hm_time));
	for (i = 0; i < w->plan.site.account_count; i++) {
		l->bucket[i] = w->plan.site.accounts[i].burst;
		schedule_at(&w->schedule, HM_SEC, next_request, w,
			    GUINT_TO_POINTER(i), NULL);
	}
	return l;
}

void load_free(struct load_generator *l)
{
	uint32_t i;

	for (i = 0; i < 4; i++)
		g_array_free(l->acked_writes[i], TRUE);
	for (i = 0; i < MODEL_ACCOUNTS_MAX; i++)
		g_array_free(l->latencies[i], TRUE);
	g_ptr_array_free(l->requests, TRUE);
	g_free(l);
}

void load_admitted(struct load_generator *l, uint64_t seq)
{
	struct model_request *r = request_of(l, seq);

	if (!r || r->admitted)
		return;
	r->admitted = true;
	count_admitted(l, r->account, l->world->schedule.now);
}

uint64_t load_executed(struct load_generator *l, const struct statement *s,
		       const struct model_member *m, uint64_t visible)
{
	struct model_request *r = request_of(l, s->body);
	const struct model_member *primary;
	uint64_t body = BODY_SET;
	uint32_t newest;

	if (!r)
		return body;
	r->executions++;
	l->world->results.executions++;
	load_admitted(l, s->body);
	if (!r->required_write ||
	    member_has_write(m, r->required_pos, r->required_write, visible))
		body |= BODY_OWN_WRITE;
	newest = group_newest_primary(l->world, m->group);
	if (newest == NO_MEMBER)
		return body | BODY_WITHIN_AGE;
	primary = &l->world->members[m->group][newest];
	/* A write that a failover lost is not required of any member. */
	if (!r->age_write ||
	    !member_has_write(primary, r->age_pos, r->age_write,
			      primary->log->len) ||
	    member_has_write(m, r->age_pos, r->age_write, visible))
		body |= BODY_WITHIN_AGE;
	return body;
}

void load_committed(struct load_generator *l, const struct statement *s,
		    uint64_t write, uint64_t pos)
{
	struct model_request *r = request_of(l, s->body);

	if (!r)
		return;
	r->commits++;
	if (r->commits > 1)
		l->world->results.run_twice++;
	r->write = write;
	r->write_pos = pos;
}

static void check_superseded(struct load_generator *l,
			     const struct model_request *r)
{
	struct world *w = l->world;
	uint32_t newest = group_newest_primary(w, r->group);
	const struct model_member *m;

	if (newest == NO_MEMBER)
		return;
	m = &w->members[r->group][newest];
	if (!member_has_write(m, r->write_pos, r->write, m->log->len))
		w->results.acked_superseded++;
}

static void write_acked(struct load_generator *l, struct model_request *r)
{
	struct world *w = l->world;
	struct session *s = &l->sessions[r->account][r->session][r->group];
	struct acked_write acked = { w->schedule.now, r->write, r->write_pos };
	GArray *all = l->acked_writes[r->group];

	check_superseded(l, r);
	s->own_write = r->write;
	s->own_pos = r->write_pos;
	if (!all->len ||
	    g_array_index(all, struct acked_write, all->len - 1).pos <
		    r->write_pos)
		g_array_append_val(all, acked);
	w->results.writes_acked += r->measured;
	if (r->group || w->schedule.now > w->plan.duration)
		return;
	if (l->last_ack >= WARM_UP)
		w->results.write_gap_worst = MAX(w->results.write_gap_worst,
						 w->schedule.now - l->last_ack);
	l->last_ack = w->schedule.now;
}

static void read_answered(struct load_generator *l,
			  const struct model_request *r,
			  const struct result *result)
{
	struct world *w = l->world;
	uint32_t newest = group_newest_primary(w, r->group);
	bool replica =
		newest == NO_MEMBER ||
		w->members[r->group][newest].spec->endpoint != result->endpoint;

	if (!(result->body & BODY_OWN_WRITE))
		w->results.stale_session++;
	if (!(result->body & BODY_WITHIN_AGE))
		w->results.stale_age++;
	if (!r->measured || !r->max_age)
		return;
	w->results.reads_max_age++;
	w->results.reads_max_age_replica += replica;
}

static void update_session(struct session *s, const struct result *r)
{
	if (r->reset_floor) {
		s->own_commit = r->at;
		s->own_write = 0;
	} else if (log_pos_compare(r->at, s->own_commit) > 0) {
		s->own_commit = r->at;
	}
	if (r->unsure)
		s->unsure = true;
	else if (r->error == ERR_NONE)
		s->unsure = false;
}

static void answered(struct load_generator *l, struct model_request *r,
		     const struct result *result)
{
	struct world *w = l->world;
	hm_time latency =
		w->schedule.now + w->plan.site.client_delay - r->sent_at;

	if (r->read)
		read_answered(l, r, result);
	else
		write_acked(l, r);
	if (w->plan.withdraw_at && r->account == 0 &&
	    w->schedule.now > w->plan.withdraw_at)
		w->results.withdrawn_served =
			w->schedule.now - w->plan.withdraw_at;
	if (!r->measured)
		return;
	w->results.answered++;
	g_array_append_val(l->latencies[r->account], latency);
	l->served[r->account]++;
}

/* Whether a live member in the zone has reached the session floor. */
static bool zone_has_replica(const struct world *w, uint32_t zone,
			     const struct model_request *r)
{
	uint32_t k;

	for (k = 0; k < MODEL_MEMBERS; k++) {
		const struct model_member *m = &w->members[r->group][k];

		if (m->spec->zone == zone && !m->dead &&
		    m->log->len >= r->statement.floor.pos)
			return true;
	}
	return false;
}

/*
 * Whether no implementation could have served a request: its instance was
 * paused, or the zone of its instance was isolated and the request needed the
 * primary, had a max_age shorter than the isolation so far, or found no
 * replica in the zone that has reached the session floor.
 */
static bool is_unservable(const struct load_generator *l,
			  const struct model_request *r)
{
	const struct world *w = l->world;
	const struct model_instance *i = &w->instances[r->instance];
	hm_time cut = w->zone_cut_since[i->options.zone];

	if (r->sent_at < i->paused_until)
		return true;
	if (!cut || r->arrive_at + w->plan.site.deadline < cut)
		return false;
	if (!w->zone_cut[i->options.zone] &&
	    r->arrive_at > w->zone_healed_at[i->options.zone])
		return false;
	return !r->max_age || r->arrive_at - cut > r->max_age ||
	       !zone_has_replica(w, i->options.zone, r);
}

static void refused(struct load_generator *l, struct model_request *r,
		    const struct result *result)
{
	struct model_results *f = &l->world->results;
	bool ran = r->read ? r->executions > 0 : r->commits > 0;

	if (result->execution == EXEC_NOT_RUN && ran)
		f->wrong_not_run++;
	if (!r->measured)
		return;
	f->refused_by[result->error]++;
	if (result->execution == EXEC_UNKNOWN)
		f->unknown++;
	if (result->execution != EXEC_NOT_RUN)
		return;
	f->refused_not_run++;
	if (is_unservable(l, r))
		f->unservable++;
	else if (r->inside_rate && result->error != ERR_UNAUTHENTICATED &&
		 result->error != ERR_WRITE_LOST)
		l->refused[r->account]++;
}

void load_answer(struct load_generator *l, uint32_t instance,
		 const struct result *result)
{
	struct model_request *r = request_of(l, result->id.seq);
	struct session *s;

	(void)instance;
	if (!r || r->ended)
		return;
	r->ended = true;
	s = &l->sessions[r->account][r->session][r->group];
	if (result->error == ERR_NONE)
		answered(l, r, result);
	else
		refused(l, r, result);
	update_session(s, result);
}

void load_instance_died(struct load_generator *l, uint32_t instance)
{
	guint i;

	l->dead_since[instance] = l->world->schedule.now;
	for (i = 0; i < l->requests->len; i++) {
		struct model_request *r = g_ptr_array_index(l->requests, i);

		if (r->ended || r->instance != instance || !r->arrive_at)
			continue;
		l->world->results.no_answer += r->measured;
		r->ended = true;
	}
}

static gint compare_times(gconstpointer a, gconstpointer b)
{
	hm_time s = *(const hm_time *)a, t = *(const hm_time *)b;

	return s < t ? -1 : s > t;
}

static hm_time quantile(GArray *latencies, uint32_t percent)
{
	if (!latencies->len)
		return 0;
	g_array_sort(latencies, compare_times);
	return g_array_index(latencies, hm_time,
			     (latencies->len - 1) * percent / 100);
}

/*
 * Counts the wrong refusals of account @a i. An account that sends more than
 * its rate is entitled to as many answers as it sent requests inside its rate,
 * no matter which requests are admitted. So the individual refusals of such an
 * account are not counted as wrong.
 */
static void finish_account(struct load_generator *l, uint32_t i)
{
	struct model_results *f = &l->world->results;
	uint64_t entitled = l->entitled[i], served = l->served[i];

	const struct model_account *a = &l->world->plan.site.accounts[i];

	if (a->offered <= a->rate)
		f->refused_wrongly += l->refused[i];
	if (!entitled || served >= entitled)
		return;
	f->worst_share = MIN(f->worst_share, (double)served / (double)entitled);
}

static void finish_latencies(struct load_generator *l)
{
	struct world *w = l->world;
	GArray *all = g_array_new(FALSE, FALSE, sizeof(hm_time));
	uint32_t i;

	w->results.worst_share = 1;
	for (i = 0; i < w->plan.site.account_count; i++) {
		const struct model_account *a = &w->plan.site.accounts[i];
		GArray *latencies = l->latencies[i];

		g_array_append_vals(all, latencies->data, latencies->len);
		finish_account(l, i);
		if (a->offered <= a->rate)
			w->results.worst_p99 = MAX(w->results.worst_p99,
						   quantile(latencies, 99));
	}
	w->results.p50 = quantile(all, 50);
	w->results.p99 = quantile(all, 99);
	g_array_free(all, TRUE);
}

static void count_lost_writes(struct load_generator *l)
{
	struct world *w = l->world;
	uint32_t g;
	guint i;

	for (g = 0; g < w->plan.site.databases; g++) {
		uint32_t newest = group_newest_primary(w, g);
		const struct model_member *m;

		if (newest == NO_MEMBER)
			continue;
		m = &w->members[g][newest];
		for (i = 0; i < l->acked_writes[g]->len; i++) {
			const struct acked_write *a = &g_array_index(
				l->acked_writes[g], struct acked_write, i);

			if (!member_has_write(m, a->pos, a->write, m->log->len))
				w->results.acked_lost++;
		}
	}
}

void load_finish(struct load_generator *l)
{
	finish_latencies(l);
	count_lost_writes(l);
}
