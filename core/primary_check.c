/** @file primary_check.c Confirms a primary's term and commits. */
#include "primary_check_state.h"

#include <stdlib.h>

/*
 * A member that has not replied for this time is late. The statuses of the
 * other members are then requested, to confirm the term without its reply.
 */
#define LATE_AFTER (60 * HM_MS)
/* After this time without a confirmation statements do not wait for one. */
#define FAILING_AFTER (400 * HM_MS)
/* Probe connections without a new ticket for this time are closed. */
#define IDLE_CLOSE (10 * HM_SEC)

struct primary_check *primary_check_new(hm_id endpoint,
					struct primary_check_deps deps)
{
	struct primary_check *c = calloc(1, sizeof(*c));

	if (!c)
		abort();
	c->endpoint = endpoint;
	c->deps = deps;
	c->sync_replicas = 1;
	return c;
}

void primary_check_free(struct primary_check *c)
{
	free(c);
}

void primary_check_set_sync_replicas(struct primary_check *c, uint32_t count)
{
	c->sync_replicas = count;
}

uint32_t primary_check_sync_replicas(const struct primary_check *c)
{
	return c->sync_replicas;
}

static struct checked_member *find_member(struct primary_check *c,
					  hm_id endpoint)
{
	uint32_t i;

	for (i = 0; i < c->count; i++)
		if (c->others[i].spec.endpoint == endpoint)
			return &c->others[i];
	return NULL;
}

/*
 * The connection to a member that has shown its log has failed: it may have
 * started again with an empty log.
 */
static void log_cut(struct checked_member *m, const char *reason, hm_time now,
		    struct proxy_output *out)
{
	if (!m->received.term || !m->probe.ready || now < m->log_cut_after)
		return;
	m->log_cut_after = now + CHECK_LOG_EVERY;
	proxy_log(out,
		  "event=replica_disconnected member=%s reason=%s "
		  "received=%llu.%llu",
		  m->spec.name, reason, (unsigned long long)m->received.term,
		  (unsigned long long)m->received.pos);
}

static void disconnect(struct checked_member *m, struct proxy_output *out)
{
	probe_conn_close(&m->probe, out);
	m->commit_requested_at = 0;
}

static void update_member(struct primary_check *c,
			  const struct site_member *spec,
			  struct proxy_output *out)
{
	struct checked_member *m = find_member(c, spec->endpoint);

	if (!m) {
		if (c->count == ENDPOINTS_MAX)
			return;
		m = &c->others[c->count++];
		*m = (struct checked_member){ .spec = *spec };
	} else if (site_member_restarted(&m->spec, spec)) {
		/* The member restarted: its earlier reports are obsolete. */
		probe_conn_close(&m->probe, out);
		*m = (struct checked_member){ .reported.restarted =
						      ++c->order };
	}
	m->spec = *spec;
	m->registered = true;
}

void primary_check_set_members(struct primary_check *c,
			       const struct site_members *members,
			       hm_id service, struct proxy_output *out)
{
	uint32_t i;

	for (i = 0; i < c->count; i++)
		c->others[i].registered = false;
	for (i = 0; i < members->count; i++)
		if (members->list[i].service == service &&
		    members->list[i].endpoint != c->endpoint)
			update_member(c, &members->list[i], out);
	for (i = c->count; i-- > 0;) {
		if (c->others[i].registered)
			continue;
		probe_conn_close(&c->others[i].probe, out);
		c->others[i] = c->others[--c->count];
	}
}

/* Whether a member has no connection or has not replied in time. */
static bool is_late(const struct checked_member *m, hm_time now)
{
	return !m->probe.conn ||
	       probe_conn_timed_out(&m->probe, LATE_AFTER, now);
}

static bool is_any_late(const struct primary_check *c, hm_time now)
{
	uint32_t i;

	for (i = 0; i < c->count; i++)
		if (is_late(&c->others[i], now))
			return true;
	return false;
}

static bool is_reply_due(const struct primary_check *c, hm_time now)
{
	uint32_t i;

	for (i = 0; i < c->count; i++) {
		const struct probe_conn *q = &c->others[i].probe;

		if ((q->pending || !q->ready) && !is_late(&c->others[i], now))
			return true;
	}
	return false;
}

void check_connect_members(struct primary_check *c, hm_time now,
			   struct proxy_output *out)
{
	uint32_t i;

	for (i = 0; i < c->count; i++) {
		struct checked_member *m = &c->others[i];

		if (m->probe.conn || now < m->probe.connect_after)
			continue;
		m->life_known = false;
		probe_conn_open(&m->probe, &m->spec, c->deps.next_conn, now,
				out);
	}
}

static void probe_member(struct primary_check *c, struct checked_member *m,
			 bool status, hm_time now, struct proxy_output *out)
{
	if (m->probe.pending || !probe_conn_send(&m->probe, CHECK_PRIMARY,
						 MEMBER_BEGIN, 0, now, out))
		return;
	m->primary_order = c->probed;
	if (!status)
		return;
	m->status_order = c->probed;
	probe_conn_send(&m->probe, CHECK_STATUS, MEMBER_STATUS, 0, now, out);
}

/*
 * Probes the other members. One probe is sent at a time; tickets issued while
 * replies are due are served by the next one.
 */
static void probe_others(struct primary_check *c, hm_time now,
			 struct proxy_output *out)
{
	bool status;
	uint32_t i;

	check_connect_members(c, now, out);
	if (is_reply_due(c, now))
		return;
	status = c->sync_replicas && is_any_late(c, now);
	c->probed = ++c->order;
	c->probed_at = now;
	for (i = 0; i < c->count; i++)
		probe_member(c, &c->others[i], status, now, out);
}

uint64_t primary_check_begin(struct primary_check *c, hm_time now,
			     struct proxy_output *out)
{
	if (c->deps.options->guards_off & PROXY_GUARD_SUPERSEDED)
		return 0;
	c->newest_ticket = ++c->order;
	c->ticket_at = now;
	if (!c->unconfirmed_since)
		c->unconfirmed_since = now;
	probe_others(c, now, out);
	return c->newest_ticket;
}

void primary_check_connect(struct primary_check *c, hm_time now,
			   struct proxy_output *out)
{
	if (c->deps.options->guards_off & PROXY_GUARD_SUPERSEDED)
		return;
	c->ticket_at = now; /* keeps the connections open for IDLE_CLOSE */
	check_connect_members(c, now, out);
}

/* Copies the reports of the other members; @return their number. */
static uint32_t collect_reports(const struct primary_check *c,
				struct term_report out[ENDPOINTS_MAX])
{
	uint32_t i;

	for (i = 0; i < c->count; i++)
		out[i] = c->others[i].reported;
	return c->count;
}

enum term_status primary_check_status(const struct primary_check *c,
				      uint64_t ticket, uint64_t term)
{
	struct term_report others[ENDPOINTS_MAX];
	uint32_t count = collect_reports(c, others);

	if (!ticket || ticket <= term_check_current_since(others, count, term,
							  c->sync_replicas > 0))
		return TERM_CONFIRMED;
	return term_check_superseded(others, count, term) ? TERM_SUPERSEDED
							  : TERM_PENDING;
}

/* After a reply: records the newest probe whose replies confirm the term. */
static void note_confirmation(struct primary_check *c, hm_time now)
{
	struct term_report others[ENDPOINTS_MAX];
	uint32_t count = collect_reports(c, others);
	uint64_t since = term_check_current_since(
		others, count, term_check_newest(others, count),
		c->sync_replicas > 0);

	if (since <= c->confirmed)
		return;
	c->confirmed = since;
	c->unconfirmed_since = c->newest_ticket > since ? now : 0;
}

bool primary_check_is_failing(const struct primary_check *c, hm_time now)
{
	return c->unconfirmed_since &&
	       now - c->unconfirmed_since > FAILING_AFTER;
}

static struct checked_member *find_conn(const struct primary_check *c,
					uint64_t conn)
{
	uint32_t i;

	for (i = 0; i < c->count; i++)
		if (conn && c->others[i].probe.conn == conn)
			return (struct checked_member *)&c->others[i];
	return NULL;
}

bool primary_check_owns_conn(const struct primary_check *c, uint64_t conn)
{
	return find_conn(c, conn) != NULL;
}

void primary_check_conn_ready(struct primary_check *c, uint64_t conn,
			      hm_time now, struct proxy_output *out)
{
	struct checked_member *m = find_conn(c, conn);

	m->probe.ready = true;
	m->life_known = !m->connected_before;
	m->life_shown_at = now + VOTER_LIFE_SHOWN;
	m->connected_before = true;
	if (c->newest_ticket > c->confirmed)
		probe_others(c, now, out);
}

static void handle_reply(struct checked_member *m, uint8_t tag,
			 const struct member_reply *r, hm_time now,
			 struct proxy_output *out)
{
	bool valid = !r->error || r->error == ERR_READ_ONLY;

	if (tag == CHECK_PRIMARY && valid) {
		m->reported.probed = m->primary_order;
		m->reported.applied_term = r->at.term;
		check_note_received(m, r, now, out);
	}
	if (tag == CHECK_PRIMARY && !r->error)
		probe_conn_send(&m->probe, CHECK_PRIMARY_END, MEMBER_ROLLBACK,
				0, now, out);
	if (tag == CHECK_COMMIT) {
		check_commit_replied(m, r, now, out);
		return;
	}
	if (tag == CHECK_STATUS && r->has_status) {
		m->reported.status_probed = m->status_order;
		m->reported.received_term = r->status.received.term;
		check_note_received(m, r, now, out);
	}
}

void primary_check_replied(struct primary_check *c, uint64_t conn,
			   const struct member_reply *reply, hm_time now,
			   struct proxy_output *out)
{
	struct checked_member *m = find_conn(c, conn);
	uint8_t tag;

	if (!probe_conn_replied(&m->probe, now, &tag)) {
		disconnect(m, out);
		return;
	}
	handle_reply(m, tag, reply, now, out);
	note_confirmation(c, now);
	if (c->newest_ticket > c->probed)
		probe_others(c, now, out);
}

void primary_check_conn_closed(struct primary_check *c, uint64_t conn,
			       hm_time now, struct proxy_output *out)
{
	struct checked_member *m = find_conn(c, conn);
	bool was_ready = m->probe.ready;

	log_cut(m, "closed", now, out);
	probe_conn_reset(&m->probe);
	m->commit_requested_at = 0;
	m->probe.connect_after = was_ready ? now : now + PROBE_RECONNECT_DELAY;
}

static void check_connection(struct primary_check *c, struct checked_member *m,
			     bool needed, hm_time now, struct proxy_output *out)
{
	if (!needed) {
		disconnect(m, out);
		return;
	}
	if (!probe_conn_timed_out(&m->probe,
				  c->deps.options->member_probe_limit, now))
		return;
	log_cut(m, "silent", now, out);
	disconnect(m, out);
	m->probe.connect_after = now;
}

void primary_check_tick(struct primary_check *c, hm_time now,
			struct proxy_output *out)
{
	bool needed = now - c->ticket_at < IDLE_CLOSE;
	bool open = c->newest_ticket > c->confirmed &&
		    now - c->ticket_at < FAILING_AFTER;
	uint32_t i;

	for (i = 0; i < c->count; i++)
		check_connection(c, &c->others[i], needed, now, out);
	/* Probes members again that were late, busy or not connected. */
	if (open && now - c->probed_at >= PROXY_TICK)
		probe_others(c, now, out);
}

void primary_check_close(struct primary_check *c, struct proxy_output *out)
{
	uint32_t i;

	for (i = 0; i < c->count; i++)
		probe_conn_close(&c->others[i].probe, out);
}
