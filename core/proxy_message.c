/** @file proxy_message.c Messages of peers, and of this instance to itself. */
#include "proxy_state.h"

#include <stdlib.h>
#include <string.h>

/* A newer document that the store does not bring is asked of a peer. */
#define BEHIND_WAIT (250 * HM_MS)
/* A document that was asked for is on its way for so long. */
#define WANT_PAUSE (100 * HM_MS)

static struct message *inbox_add(struct proxy *p)
{
	if (p->inbox_count == p->inbox_room) {
		p->inbox_room = p->inbox_room ? p->inbox_room * 2 : 16;
		p->inbox = realloc(p->inbox, p->inbox_room * sizeof(*p->inbox));
		if (!p->inbox)
			abort();
	}
	memset(&p->inbox[p->inbox_count], 0, sizeof(*p->inbox));
	return &p->inbox[p->inbox_count++];
}

struct message *proxy_send(struct proxy *p, uint64_t to, enum message_kind kind,
			   struct proxy_output *out)
{
	struct message *m;

	if (to != p->options.core.incarnation)
		return actions_send(&out->peers, to, kind);
	m = inbox_add(p);
	m->kind = kind;
	m->from = to;
	return m;
}

static void take_run(struct proxy *p, const struct message *m, hm_time now,
		     struct proxy_output *out)
{
	struct pool *pool = services_pool(p, m->run->endpoint, now, out);
	struct run_result r = { .id = m->run->id,
				.endpoint = m->run->endpoint,
				.error = ERR_NO_ENDPOINT,
				.state = SESSION_FAILED };

	if (pool) {
		pool_submit(pool, m->run, m->from, now, out);
		return;
	}
	/* This instance does not know the member yet, or not any more. */
	proxy_send(p, m->from, MSG_RUN_RESULT, out)->ran = run_result_copy(&r);
}

static void take_ran(struct proxy *p, const struct message *m, hm_time now,
		     struct proxy_output *out)
{
	session_result(p, m->ran, now, out);
}

static void take_release(struct proxy *p, const struct message *m, hm_time now,
			 struct proxy_output *out)
{
	uint32_t i;

	for (i = 0; i < p->pool_count; i++)
		if (pool_endpoint(p->pools[i]) == m->release.endpoint)
			pool_release(p->pools[i], m->release.tx, now, out);
}

static void take_want(struct proxy *p, const struct message *m, hm_time now,
		      struct proxy_output *out)
{
	struct keeper *k = services_keeper(p, m->view_want.service);

	(void)now;
	(void)out;
	if (k)
		keeper_want(k, m->from, m->view_want.seq);
}

static void take_view(struct proxy *p, const struct message *m, hm_time now,
		      struct proxy_output *out)
{
	struct service_state *v = services_view(p, m->view->service);
	hm_id before;

	if (!v)
		return;
	before = v->latest.primary;
	view_take(v, m->view, now);
	if (v->latest.primary != before)
		proxy_log(out,
			  "event=view primary=%016llx term=%llu from=%016llx",
			  (unsigned long long)v->latest.primary,
			  (unsigned long long)v->latest.term,
			  (unsigned long long)m->from);
}

/* What is in force here; zero for nothing. */
static struct store_version document_held(const struct proxy *p,
					  enum document_kind kind)
{
	struct store_version none = { 0 };

	if (kind == DOCUMENT_MEMBERS)
		return p->members ? p->members->at : none;
	/* Versions of the configuration grow whatever becomes of the store. */
	none.revision = p->config ? p->config->version : 0;
	return none;
}

static void take_document_want(struct proxy *p, const struct message *m,
			       hm_time now, struct proxy_output *out)
{
	enum document_kind kind = m->document.kind;
	struct proxy_action *a;

	(void)now;
	if (store_version_compare(document_held(p, kind),
				  m->document.version) <= 0)
		return;
	a = proxy_action(out, PROXY_SHARE_DOCUMENT);
	a->share.to = m->from;
	a->share.kind = kind;
}

static void (*const takers[MSG_KIND_COUNT])(struct proxy *p,
					    const struct message *m,
					    hm_time now,
					    struct proxy_output *out) = {
	[MSG_RUN] = take_run,
	[MSG_RUN_RESULT] = take_ran,
	[MSG_RELEASE] = take_release,
	[MSG_VIEW_REQUEST] = take_want,
	[MSG_VIEW] = take_view,
	[MSG_DOCUMENT_REQUEST] = take_document_want,
};

/* By the own watch, or soon from a peer of the own zone. */
static bool may_come_cheaper(const struct proxy *p, enum document_kind kind,
			     uint64_t from, hm_time now)
{
	const struct peer *peer = peers_find(p->peers, from);

	if (!p->was_ready || !p->store_ok)
		return false;
	return kind == DOCUMENT_CONFIG || proxy_watches(p, now) || !peer ||
	       peer->zone != p->options.core.zone;
}

static void want_document(struct proxy *p, enum document_kind kind,
			  struct store_version theirs, uint64_t from,
			  hm_time now, struct proxy_output *out)
{
	struct store_version have = document_held(p, kind);
	struct message *m;

	if (store_version_compare(theirs, have) <= 0)
		return;
	if (!p->behind_since[kind])
		p->behind_since[kind] = now;
	if (may_come_cheaper(p, kind, from, now) &&
	    now - p->behind_since[kind] < BEHIND_WAIT)
		return;
	p->behind_since[kind] = now;
	if (now < p->want_next[kind])
		return;
	p->want_next[kind] = now + WANT_PAUSE;
	m = proxy_send(p, from, MSG_DOCUMENT_REQUEST, out);
	m->document.kind = kind;
	m->document.version = have;
	proxy_log(out,
		  "event=document_want kind=%d have=%llu.%llu theirs=%llu.%llu",
		  kind, (unsigned long long)have.era,
		  (unsigned long long)have.revision,
		  (unsigned long long)theirs.era,
		  (unsigned long long)theirs.revision);
}

static void take_heartbeat(struct proxy *p, const struct message *m,
			   hm_time now, struct proxy_output *out)
{
	struct store_version config = { 0, m->heartbeat.config_version };

	proxy_store_read(p, now - m->heartbeat.store_read_ago);
	roster_take_era(p, m->heartbeat.store_era, "peer", now, out);
	want_document(p, DOCUMENT_CONFIG, config, m->from, now, out);
	want_document(p, DOCUMENT_MEMBERS, m->heartbeat.members, m->from, now,
		      out);
}

static void take_rate(struct proxy *p, const struct message *m, hm_time now,
		      struct proxy_output *out)
{
	rate_message(p->rate, m, now, &out->peers);
	sessions_admitted(p, now, out);
	if (m->kind == MSG_RATE_GRANT)
		sessions_over_rate(p, m->rate.account, now, out);
}

void proxy_take(struct proxy *p, const struct message *m, hm_time now,
		struct proxy_output *out)
{
	if (m->from != p->options.core.incarnation) {
		if (peers_void(p->peers, m->from))
			return;
		peers_message(p->peers, m, now);
	}
	if (m->kind == MSG_HEARTBEAT)
		take_heartbeat(p, m, now, out);
	else if (m->kind == MSG_RATE_REQUEST || m->kind == MSG_RATE_GRANT)
		take_rate(p, m, now, out);
	else if (takers[m->kind])
		takers[m->kind](p, m, now, out);
}

/* Turns finished statements and views into messages. */
static void collect(struct proxy *p, hm_time now, struct proxy_output *out)
{
	struct service_view view, *copy;
	struct run_result *r;
	uint64_t to;
	uint32_t i;

	for (i = 0; i < p->pool_count; i++)
		while (pool_next_result(p->pools[i], &to, &r)) {
			confirm_commit(p, pool_service(p->pools[i]), r, now,
				       out);
			proxy_send(p, to, MSG_RUN_RESULT, out)->ran = r;
		}
	for (i = 0; i < p->service_count; i++)
		while (keeper_next_view(p->keepers[i], &to, &view)) {
			copy = malloc(sizeof(*copy));
			if (!copy)
				abort();
			*copy = view;
			proxy_send(p, to, MSG_VIEW, out)->view = copy;
			if (!to)
				view_take(p->views[i], &view, now);
		}
}

/* Delivers what the modules have for one another until nothing is left. */
void proxy_flush(struct proxy *p, hm_time now, struct proxy_output *out)
{
	struct message m;
	uint32_t done;

	for (;;) {
		collect(p, now, out);
		if (!p->inbox_count)
			return;
		for (done = 0; done < p->inbox_count; done++) {
			m = p->inbox[done]; /* the inbox may grow and move */
			proxy_take(p, &m, now, out);
			message_clear(&m);
		}
		p->inbox_count = 0;
	}
}
