/** @file proxy_message.c Messages from peers and from this instance itself. */
#include "proxy_state.h"

#include <stdlib.h>
#include <string.h>

#include "grow.h"

/* A newer document is requested from a peer if it has not arrived by then. */
#define STORE_FIRST_WAIT (250 * HM_MS)
/* A large one is read from the store, which takes longer on a slow link. */
#define LARGE_FIRST_WAIT (1500 * HM_MS)
/*
 * Peers that miss the same change request it at the same moment, and again
 * until it arrives. Bounds the copies that leave in a window, so that they do
 * not fill the link of the instance that has it first: those that get a copy
 * pass it on.
 */
#define SHARE_WINDOW (200 * HM_MS)
#define SHARE_BYTES (128 * 1024) /* per window, but at least one copy */
/* Estimated size of an entry of a document, as text. */
#define ENTRY_BYTES 256
/*
 * Interval between two requests for a document: it may be in transit, or its
 * holder may have sent as many copies as it may.
 */
#define REQUEST_INTERVAL (250 * HM_MS)

static struct message *inbox_add(struct proxy *p)
{
	p->inbox = grow_list(p->inbox, p->inbox_count, &p->inbox_capacity,
			     sizeof(*p->inbox));
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

static void handle_run(struct proxy *p, const struct message *m, hm_time now,
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
	/* The member is not in the list of this instance yet, or no longer. */
	proxy_send(p, m->from, MSG_RUN_RESULT, out)->ran = run_result_copy(&r);
}

static void handle_ran(struct proxy *p, const struct message *m, hm_time now,
		       struct proxy_output *out)
{
	session_result(p, m->ran, now, out);
}

static void handle_release(struct proxy *p, const struct message *m,
			   hm_time now, struct proxy_output *out)
{
	uint32_t i;

	for (i = 0; i < p->pool_count; i++)
		if (pool_endpoint(p->pools[i]) == m->release.endpoint)
			pool_release(p->pools[i], m->release.tx, now, out);
}

static void handle_view_request(struct proxy *p, const struct message *m,
				hm_time now, struct proxy_output *out)
{
	struct monitor *k = services_monitor(p, m->view_want.service);

	(void)now;
	(void)out;
	if (k)
		monitor_request_view(k, m->from, m->view_want.seq);
}

static void handle_view(struct proxy *p, const struct message *m, hm_time now,
			struct proxy_output *out)
{
	struct service_state *v = services_view(p, m->view->service);
	hm_id before;

	if (!v)
		return;
	before = v->latest.primary;
	view_update(v, m->view, now);
	if (v->latest.primary != before)
		proxy_log(out,
			  "event=view primary=%016llx term=%llu from=%016llx",
			  (unsigned long long)v->latest.primary,
			  (unsigned long long)v->latest.term,
			  (unsigned long long)m->from);
}

static uint32_t copies_per_window(const struct proxy *p,
				  enum document_kind kind)
{
	uint32_t entries = p->members ? p->members->count : 0, copies;

	if (kind == DOCUMENT_CONFIG)
		entries = config_entries(p->config);
	copies = SHARE_BYTES / ENTRY_BYTES / (entries + 1);
	return copies ? copies : 1;
}

/* Whether one more copy of a document may leave now. */
static bool may_share(struct proxy *p, enum document_kind kind, hm_time now)
{
	struct share_window *w = &p->shared[kind];

	if (now - w->since >= SHARE_WINDOW)
		*w = (struct share_window){ .since = now };
	return w->copies++ < copies_per_window(p, kind);
}

static void handle_document_request(struct proxy *p, const struct message *m,
				    hm_time now, struct proxy_output *out)
{
	enum document_kind kind = m->document.kind;
	struct proxy_action *a;

	if (store_version_compare(document_version(p, kind),
				  m->document.version) <= 0)
		return;
	if (!may_share(p, kind, now)) {
		p->counters.copies_denied++;
		return;
	}
	p->counters.copies_sent++;
	a = proxy_action(out, PROXY_SHARE_DOCUMENT);
	a->share.to = m->from;
	a->share.kind = kind;
}

static void (*const handlers[MSG_KIND_COUNT])(struct proxy *p,
					      const struct message *m,
					      hm_time now,
					      struct proxy_output *out) = {
	[MSG_RUN] = handle_run,
	[MSG_RUN_RESULT] = handle_ran,
	[MSG_RELEASE] = handle_release,
	[MSG_VIEW_REQUEST] = handle_view_request,
	[MSG_VIEW] = handle_view,
	[MSG_DOCUMENT_REQUEST] = handle_document_request,
};

/*
 * Whether a document that peer @a from has may soon arrive in another way: from
 * the store, or from a peer in its own zone.
 */
static bool may_arrive_unrequested(const struct proxy *p,
				   enum document_kind kind, uint64_t from,
				   hm_time now)
{
	const struct peer *peer = peers_find(p->peers, from);

	if (!p->was_ready || !p->store_ok)
		return false;
	return proxy_watches_store(p, now) ||
	       (kind == DOCUMENT_CONFIG && config_is_large(p)) || !peer ||
	       peer->zone != p->options.core.zone;
}

static void request_document(struct proxy *p, enum document_kind kind,
			     struct store_version theirs, uint64_t from,
			     hm_time now, struct proxy_output *out)
{
	struct store_version have = document_version(p, kind);
	hm_time wait = kind == DOCUMENT_CONFIG && config_is_large(p)
			       ? LARGE_FIRST_WAIT
			       : STORE_FIRST_WAIT;
	struct message *m;

	if (store_version_compare(theirs, have) <= 0)
		return;
	if (may_arrive_unrequested(p, kind, from, now) &&
	    now - p->behind_since[kind] < wait)
		return;
	if (now < p->next_request_at[kind])
		return;
	p->next_request_at[kind] = now + REQUEST_INTERVAL;
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

static void handle_heartbeat(struct proxy *p, const struct heartbeat *h,
			     uint64_t from, hm_time now,
			     struct proxy_output *out)
{
	struct store_version config = { 0, h->config_version };

	proxy_store_read(p, h->store_reads, now - h->store_read_ago);
	member_list_set_era(p, h->store_era, "peer", now, out);
	member_list_evacuate(p, &h->evacuation, "peer", now, out);
	document_announced(p, DOCUMENT_CONFIG, config, h->config_entries, now);
	document_announced(p, DOCUMENT_MEMBERS, h->members, 0, now);
	request_document(p, DOCUMENT_CONFIG, config, from, now, out);
	request_document(p, DOCUMENT_MEMBERS, h->members, from, now, out);
}

static void handle_digest(struct proxy *p, const struct message *m, bool first,
			  hm_time now, struct proxy_output *out)
{
	handle_heartbeat(p, &m->digest->heartbeat, m->from, now, out);
	gossip_take(p, m, first, now, out);
}

static void handle_rate(struct proxy *p, const struct message *m, hm_time now,
			struct proxy_output *out)
{
	rate_message(p->rate, m, now, &out->peers);
	sessions_run_admitted(p, now, out);
	if (m->kind == MSG_RATE_GRANT)
		sessions_refuse_over_rate(p, m->rate.account, now, out);
}

void proxy_handle_message(struct proxy *p, const struct message *m, hm_time now,
			  struct proxy_output *out)
{
	/* Before the message makes its sender known. */
	bool first = m->kind == MSG_DIGEST &&
		     m->from != p->options.core.incarnation &&
		     !peers_alive(p->peers, m->from);

	if (m->from != p->options.core.incarnation) {
		if (peers_obsolete(p->peers, m->from))
			return;
		peers_message(p->peers, m, now);
	}
	if (m->kind == MSG_HEARTBEAT)
		handle_heartbeat(p, &m->heartbeat, m->from, now, out);
	else if (m->kind == MSG_DIGEST)
		handle_digest(p, m, first, now, out);
	else if (m->kind == MSG_DIGEST_REQUEST)
		gossip_answer(p, m, now, out);
	else if (m->kind == MSG_RATE_REQUEST || m->kind == MSG_RATE_GRANT)
		handle_rate(p, m, now, out);
	else if (handlers[m->kind])
		handlers[m->kind](p, m, now, out);
}

/* Sends the results of finished statements and new views as messages. */
static void send_results(struct proxy *p, hm_time now, struct proxy_output *out)
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
		while (monitor_next_view(p->monitors[i], &to, &view)) {
			copy = malloc(sizeof(*copy));
			if (!copy)
				abort();
			*copy = view;
			proxy_send(p, to, MSG_VIEW, out)->view = copy;
			if (!to)
				view_update(p->views[i], &view, now);
		}
}

/*
 * Delivers the messages of this instance to itself until none is left, since a
 * delivery may produce further ones.
 */
void proxy_flush(struct proxy *p, hm_time now, struct proxy_output *out)
{
	struct message m;
	uint32_t done;

	for (;;) {
		send_results(p, now, out);
		if (!p->inbox_count)
			return;
		for (done = 0; done < p->inbox_count; done++) {
			m = p->inbox[done]; /* the inbox may be reallocated */
			proxy_handle_message(p, &m, now, out);
			message_clear(&m);
		}
		p->inbox_count = 0;
	}
}
