/** @file monitor.c Probes of the members of a service. */
#include "monitor_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct monitor *monitor_new(hm_id service, struct monitor_deps deps)
{
	struct monitor *k = calloc(1, sizeof(*k));

	if (!k)
		abort();
	k->service = service;
	k->deps = deps;
	k->sync_replicas = 1;
	return k;
}

void monitor_set_sync_replicas(struct monitor *k, uint32_t count)
{
	k->sync_replicas = count;
}

void monitor_free(struct monitor *k)
{
	if (k) {
		free(k->requests);
		free(k->views);
	}
	free(k);
}

uint64_t monitor_promotions(const struct monitor *k)
{
	return k->promotions;
}

void monitor_raise_term(struct monitor *k, uint64_t term)
{
	uint32_t i;

	if (term <= k->term)
		return;
	k->term = term;
	/* The promotion has rolled back what the new primary lacks. */
	for (i = 0; i < k->member_count; i++)
		k->members[i].received_most = (struct log_pos){ 0 };
}

struct monitored_member *monitor_find(const struct monitor *k, hm_id endpoint)
{
	uint32_t i;

	for (i = 0; i < k->member_count; i++)
		if (k->members[i].spec.endpoint == endpoint)
			return (struct monitored_member *)&k->members[i];
	return NULL;
}

static struct monitored_member *find_conn(const struct monitor *k,
					  uint64_t conn)
{
	uint32_t i;

	for (i = 0; i < k->member_count; i++)
		if (conn && k->members[i].probe.conn == conn)
			return (struct monitored_member *)&k->members[i];
	return NULL;
}

bool monitor_owns_conn(const struct monitor *k, uint64_t conn)
{
	return find_conn(k, conn) != NULL;
}

/* Resets everything that was sent and received on the connection. */
static void reset_conn(struct monitored_member *m)
{
	probe_conn_reset(&m->probe);
	m->has_status = false;
	m->stale_replies = 0;
}

static void connect_member(struct monitor *k, struct monitored_member *m,
			   hm_time now, struct proxy_output *out)
{
	reset_conn(m);
	m->pause_sent = 0;
	probe_conn_open(&m->probe, &m->spec, k->deps.next_conn, now, out);
}

static void mark_down(struct monitor *k, struct monitored_member *m,
		      const char *reason, struct proxy_output *out)
{
	m->writable = false;
	m->has_status = false;
	m->answered = false;
	m->paused_since = 0;
	if (!change_is_called(k))
		m->held = false;
	if (!m->up)
		return;
	m->up = false;
	proxy_log(out, "event=member_down member=%s service=%s reason=%s",
		  m->spec.name, k->service_name, reason);
	monitor_broadcast_view(k);
}

void monitor_disconnect(struct monitored_member *m, struct proxy_output *out)
{
	probe_conn_close(&m->probe, out);
	reset_conn(m);
}

void monitor_discard_replies(struct monitor *k)
{
	uint32_t i;

	for (i = 0; i < k->member_count; i++) {
		struct monitored_member *m = &k->members[i];

		m->stale_replies = m->probe.pending;
		m->held = false;
		m->fresh_status = false;
		m->fresh_primary = false;
	}
}

void monitor_start(struct monitor *k, hm_time now, struct proxy_output *out)
{
	uint32_t i;

	if (k->active)
		return;
	k->active = true;
	k->step = CHANGE_NONE;
	k->retry_at = now;
	k->cancel_due = k->call_pending = false;
	for (i = 0; i < k->member_count; i++) {
		k->members[i].up = true; /* assumed until a probe fails */
		k->members[i].answered = false;
		k->members[i].paused_since = 0;
	}
	record_forget(k, now);
	proxy_log(out, "event=keeper_start service=%s members=%u",
		  k->service_name, k->member_count);
}

void monitor_stop(struct monitor *k, struct proxy_output *out)
{
	uint32_t i;

	if (!k->active)
		return;
	k->active = false;
	k->request_count = 0;
	for (i = 0; i < k->member_count; i++) {
		monitor_disconnect(&k->members[i], out);
		k->members[i].writable = false;
	}
	proxy_log(out, "event=keeper_stop service=%s step=%s", k->service_name,
		  change_name(k->step));
	k->step = CHANGE_NONE;
}

/*
 * Probes whether the member is writable, and requests its status. A status
 * request takes a slot of the member, so it is sent only when @a status is set,
 * when it is due, or during a primary change.
 */
static void probe_member(struct monitor *k, struct monitored_member *m,
			 bool status, hm_time now, struct proxy_output *out)
{
	struct probe_conn *q = &m->probe;

	if (q->pending)
		return;
	m->primary_order = ++k->order;
	probe_conn_send(q, PROBE_PRIMARY, MEMBER_BEGIN, 0, now, out);
	probe_conn_send(q, PROBE_PRIMARY_END, MEMBER_ROLLBACK, 0, now, out);
	if (k->step == CHANGE_NONE && !status && m->has_status &&
	    now < m->next_status_at)
		return;
	m->next_status_at = now + k->deps.options->status_every;
	m->status_order = m->primary_order;
	probe_conn_send(q, PROBE_STATUS, MEMBER_STATUS, 0, now, out);
}

/*
 * Whether a member is silent or a voter is not registered. The statuses of the
 * others are then needed to confirm the primary.
 */
static bool is_any_silent(struct monitor *k,
			  const struct monitored_member *primary)
{
	uint32_t i;

	for (i = 0; i < k->member_count; i++) {
		const struct monitored_member *m = &k->members[i];

		if (m != primary && (!m->probe.ready || m->probe.pending))
			return true;
	}
	return voters_unmonitored(k) > 0;
}

static void probe_all(struct monitor *k, hm_time now, struct proxy_output *out)
{
	const struct monitored_member *primary = monitor_primary(k);
	bool silent = primary && is_any_silent(k, primary);
	uint32_t i;

	for (i = 0; i < k->member_count; i++) {
		struct monitored_member *m = &k->members[i];

		if (!m->probe.conn && now >= m->probe.connect_after)
			connect_member(k, m, now, out);
		else
			probe_member(k, m, silent && m != primary, now, out);
	}
}

void monitor_conn_ready(struct monitor *k, uint64_t conn, hm_time now,
			struct proxy_output *out)
{
	struct monitored_member *m = find_conn(k, conn);

	m->probe.ready = true;
	m->answered = true;
	probe_member(k, m, false, now, out);
}

/* Notes whether a member is paused by the present change. */
static void note_hold(struct monitor *k, struct monitored_member *m,
		      struct proxy_output *out)
{
	bool held =
		m->status.paused_term && m->status.paused_term == k->pause_term;

	if (m->held && !held && change_is_called(k))
		proxy_log(out,
			  "event=pause_lost service=%s member=%s "
			  "received=%llu.%llu paused_term=%llu token=%llu",
			  k->service_name, m->spec.name,
			  (unsigned long long)m->status.received.term,
			  (unsigned long long)m->status.received.pos,
			  (unsigned long long)m->status.paused_term,
			  (unsigned long long)k->token);
	m->held = held;
}

static void take_status(struct monitor *k, struct monitored_member *m,
			const struct member_reply *r, hm_time now,
			struct proxy_output *out)
{
	if (!r->has_status)
		return; /* the member is busy, its status is unknown */
	m->status = r->status;
	m->has_status = true;
	note_hold(k, m, out);
	m->reported.status_probed = m->status_order;
	m->reported.received_term = r->status.received.term;
	monitor_raise_term(k, r->status.term);
	if (log_pos_compare(r->status.received, m->received_most) > 0)
		m->received_most = r->status.received;
	if (r->status.primary && m->writable)
		primary_observed(k, m, now, out);
	if (!r->status.paused_term)
		m->paused_since = 0;
	else if (!m->paused_since)
		m->paused_since = now;
}

void monitor_replied(struct monitor *k, uint64_t conn,
		     const struct member_reply *reply, hm_time now,
		     struct proxy_output *out)
{
	struct monitored_member *m = find_conn(k, conn);
	uint8_t tag;
	bool old;

	if (!probe_conn_replied(&m->probe, now, &tag)) {
		monitor_disconnect(m, out);
		return;
	}
	old = m->stale_replies > 0;
	m->stale_replies -= old;
	if (!m->up) {
		m->up = true;
		proxy_log(out, "event=member_up member=%s service=%s",
			  m->spec.name, k->service_name);
	}
	if (tag == PROBE_PRIMARY) {
		primary_probed(k, m, reply, now, out);
		m->fresh_primary = m->writable && !old;
	} else if (tag == PROBE_STATUS || tag == PROBE_CONTROL) {
		take_status(k, m, reply, now, out);
		m->fresh_status |= reply->has_status && !old;
	}
	monitor_send_confirmed(k);
	change_check(k, now, out);
}

void monitor_conn_closed(struct monitor *k, uint64_t conn, enum error error,
			 hm_time now, struct proxy_output *out)
{
	struct monitored_member *m = find_conn(k, conn);
	bool was_ready = m->probe.ready;

	reset_conn(m);
	m->probe.connect_after = now + PROBE_RECONNECT_DELAY;
	if (error == ERR_CONNECTION_LIMIT) {
		m->answered = true; /* it is up and has no free slot */
		return;
	}
	if (was_ready)
		m->probe.connect_after = now; /* down if that fails too */
	else
		mark_down(k, m, "refused", out);
	change_check(k, now, out);
}

/*
 * Closes a silent connection. The member is marked down only if a second
 * connection stays silent before it is ready.
 */
static void check_silence(struct monitor *k, struct monitored_member *m,
			  hm_time now, struct proxy_output *out)
{
	bool was_ready = m->probe.ready;

	if (!probe_conn_timed_out(&m->probe,
				  k->deps.options->member_probe_limit, now))
		return;
	monitor_disconnect(m, out);
	m->probe.connect_after = now;
	if (!was_ready)
		mark_down(k, m, "silent", out);
}

void monitor_tick(struct monitor *k, hm_time now, struct proxy_output *out)
{
	uint32_t i;

	if (!k->active)
		return;
	for (i = 0; i < k->member_count; i++)
		check_silence(k, &k->members[i], now, out);
	monitor_drop_unregistered(k, out);
	if (now >= k->next_probe_at) {
		k->next_probe_at = now + k->deps.options->member_probe_every;
		monitor_send_unconfirmed(k);
		probe_all(k, now, out);
	}
	record_tick(k, now, out);
	change_check(k, now, out);
}
