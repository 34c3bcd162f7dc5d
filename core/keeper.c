/** @file keeper.c Questions to the members of a service, and its view. */
#include "keeper_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Pause before a member that refused a connection is tried again. */
#define RECONNECT_PAUSE (100 * HM_MS)
/* Who the keeper's own connections say they are. */
#define KEEPER_WHO "keeper"

struct keeper *keeper_new(hm_id service, struct keeper_site site)
{
	struct keeper *k = calloc(1, sizeof(*k));

	if (!k)
		abort();
	k->service = service;
	k->site = site;
	return k;
}

void keeper_free(struct keeper *k)
{
	free(k);
}

uint64_t keeper_promotions(const struct keeper *k)
{
	return k->promotions;
}

struct kept_member *kept_find(struct keeper *k, hm_id endpoint)
{
	uint32_t i;

	for (i = 0; i < k->member_count; i++)
		if (k->members[i].spec.endpoint == endpoint)
			return &k->members[i];
	return NULL;
}

struct kept_member *kept_primary(struct keeper *k)
{
	struct kept_member *best = NULL;
	uint32_t i;

	for (i = 0; i < k->member_count; i++) {
		struct kept_member *m = &k->members[i];

		if (!m->up || !m->leads)
			continue;
		if (!best || m->lead_at.term > best->lead_at.term ||
		    (m->lead_at.term == best->lead_at.term &&
		     m->lead_order > best->lead_order))
			best = m;
	}
	return best;
}

static struct kept_member *find_conn(const struct keeper *k, uint64_t conn)
{
	uint32_t i;

	for (i = 0; i < k->member_count; i++)
		if (conn && k->members[i].conn == conn)
			return (struct kept_member *)&k->members[i];
	return NULL;
}

bool keeper_has(const struct keeper *k, uint64_t conn)
{
	return find_conn(k, conn) != NULL;
}

/* What was asked and heard on a connection ends with it. */
static void forget_conn(struct kept_member *m)
{
	m->conn = 0;
	m->ready = false;
	m->known = false;
	m->asked_at = 0;
	m->asked_count = 0;
	m->old_answers = 0;
}

static void connect_member(struct keeper *k, struct kept_member *m, hm_time now,
			   struct proxy_output *out)
{
	forget_conn(m);
	m->conn = ++*k->site.next_conn;
	m->told_held = 0;
	m->opened_at = now;
	proxy_connect(out, m->conn, &m->spec, KEEPER_WHO);
}

static void mark_down(struct keeper *k, struct kept_member *m,
		      const char *reason, struct proxy_output *out)
{
	m->leads = false;
	m->known = false;
	m->answered = false;
	if (!m->up)
		return;
	m->up = false;
	proxy_log(out, "event=member_down member=%s service=%s reason=%s",
		  m->spec.name, k->service_name, reason);
	keeper_announce(k);
}

void kept_disconnect(struct kept_member *m, struct proxy_output *out)
{
	if (m->conn)
		proxy_action(out, PROXY_CLOSE_MEMBER)->member.conn = m->conn;
	forget_conn(m);
}

void kept_forget_answers(struct keeper *k)
{
	uint32_t i;

	for (i = 0; i < k->member_count; i++) {
		struct kept_member *m = &k->members[i];

		m->old_answers = m->asked_count;
		m->fresh_status = false;
		m->fresh_lead = false;
		m->first_lead = (struct mark){ 0 };
	}
}

void keeper_start(struct keeper *k, hm_time now, struct proxy_output *out)
{
	uint32_t i;

	if (k->active)
		return;
	k->active = true;
	k->step = CHANGE_NONE;
	k->retry_at = now;
	for (i = 0; i < k->member_count; i++) {
		k->members[i].up = true; /* until it is asked in vain */
		k->members[i].answered = false;
		k->members[i].held_since = 0;
	}
	proxy_log(out, "event=keeper_start service=%s members=%u",
		  k->service_name, k->member_count);
}

void keeper_stop(struct keeper *k, struct proxy_output *out)
{
	uint32_t i;

	if (!k->active)
		return;
	k->active = false;
	k->want_count = 0;
	for (i = 0; i < k->member_count; i++) {
		kept_disconnect(&k->members[i], out);
		k->members[i].leads = false;
	}
	proxy_log(out, "event=keeper_stop service=%s step=%s", k->service_name,
		  change_name(k->step));
	k->step = CHANGE_NONE;
}

bool kept_command(struct kept_member *m, enum asked asked,
		  enum member_command_kind kind, uint64_t term, hm_time now,
		  struct proxy_output *out)
{
	struct proxy_action *a;

	if (!m->ready || m->asked_count == ASKED_MAX)
		return false;
	a = proxy_action(out, PROXY_COMMAND);
	a->member.conn = m->conn;
	a->member.command.kind = kind;
	a->member.command.term = term;
	m->asked[m->asked_count++] = asked;
	if (!m->asked_at)
		m->asked_at = now;
	return true;
}

/* Asks whether the member leads, and what it has. */
static void ask_member(struct keeper *k, struct kept_member *m, hm_time now,
		       struct proxy_output *out)
{
	if (m->asked_count)
		return;
	m->lead_order = ++k->order;
	kept_command(m, ASKED_LEAD, MEMBER_BEGIN, 0, now, out);
	kept_command(m, ASKED_LEAD_END, MEMBER_ROLLBACK, 0, now, out);
	/* The state takes a slot of the member: asked when it matters. */
	if (k->step == CHANGE_NONE && m->known && now < m->status_at)
		return;
	m->status_at = now + k->site.options->status_every;
	kept_command(m, ASKED_STATUS, MEMBER_STATUS, 0, now, out);
}

static void ask_all(struct keeper *k, hm_time now, struct proxy_output *out)
{
	uint32_t i;

	for (i = 0; i < k->member_count; i++) {
		struct kept_member *m = &k->members[i];

		if (!m->conn && now >= m->connect_after)
			connect_member(k, m, now, out);
		else
			ask_member(k, m, now, out);
	}
}

void keeper_ready(struct keeper *k, uint64_t conn, hm_time now,
		  struct proxy_output *out)
{
	struct kept_member *m = find_conn(k, conn);

	m->ready = true;
	m->answered = true;
	ask_member(k, m, now, out);
}

/* One member leads at a time: older proofs of others hold no more. */
static void disprove_others(struct keeper *k, const struct kept_member *leader,
			    struct proxy_output *out)
{
	uint32_t i;

	for (i = 0; i < k->member_count; i++) {
		struct kept_member *m = &k->members[i];

		if (m == leader || !m->leads ||
		    m->lead_order > leader->lead_order)
			continue;
		m->leads = false;
		proxy_log(out, "event=lead_lost service=%s member=%s",
			  k->service_name, m->spec.name);
	}
}

static void took_lead(struct keeper *k, struct kept_member *m,
		      struct proxy_output *out)
{
	if (m->lead_at.term > k->term)
		k->term = m->lead_at.term;
	disprove_others(k, m, out);
	if (k->primary == m->spec.endpoint)
		return;
	k->primary = m->spec.endpoint;
	proxy_log(out, "event=primary service=%s member=%s term=%llu pos=%llu",
		  k->service_name, m->spec.name,
		  (unsigned long long)m->lead_at.term,
		  (unsigned long long)m->lead_at.pos);
	keeper_announce(k);
}

static void take_lead_answer(struct keeper *k, struct kept_member *m,
			     const struct member_reply *r,
			     struct proxy_output *out)
{
	bool led = m->leads;

	if (r->error && r->error != ERR_READ_ONLY)
		return; /* it does not say */
	m->leads = !r->error && r->at.term;
	if (m->leads) {
		m->lead_at = r->at;
		took_lead(k, m, out);
		if (kept_primary(k) != m)
			return;
		departed_lead(k, m);
		keeper_answer_wants(k, m->lead_order, r->at);
	} else if (led) {
		proxy_log(out, "event=lead_lost service=%s member=%s",
			  k->service_name, m->spec.name);
		keeper_announce(k);
	}
}

static void take_status(struct keeper *k, struct kept_member *m,
			const struct member_reply *r, hm_time now)
{
	if (!r->has_status)
		return; /* busy: alive, and nothing is known */
	m->status = r->status;
	m->known = true;
	if (!r->status.primary)
		departed_received(k, r->status.received);
	if (r->status.term > k->term)
		k->term = r->status.term;
	if (!r->status.held)
		m->held_since = 0;
	else if (!m->held_since)
		m->held_since = now;
}

void keeper_replied(struct keeper *k, uint64_t conn,
		    const struct member_reply *reply, hm_time now,
		    struct proxy_output *out)
{
	struct kept_member *m = find_conn(k, conn);
	enum asked asked;
	bool old;

	if (!m->asked_count) {
		kept_disconnect(m, out);
		return;
	}
	asked = m->asked[0];
	m->asked_count--;
	old = m->old_answers > 0;
	m->old_answers -= old;
	memmove(m->asked, m->asked + 1, m->asked_count * sizeof(asked));
	m->asked_at = m->asked_count ? now : 0;
	if (!m->up) {
		m->up = true;
		proxy_log(out, "event=member_up member=%s service=%s",
			  m->spec.name, k->service_name);
	}
	if (asked == ASKED_LEAD) {
		take_lead_answer(k, m, reply, out);
		if (m->leads && !old && !m->first_lead.term)
			m->first_lead = m->lead_at;
		m->fresh_lead = m->leads && !old;
	} else if (asked == ASKED_STATUS || asked == ASKED_HOLD) {
		take_status(k, m, reply, now);
		m->fresh_status |= reply->has_status && !old;
	}
	change_check(k, now, out);
}

void keeper_closed(struct keeper *k, uint64_t conn, enum error error,
		   hm_time now, struct proxy_output *out)
{
	struct kept_member *m = find_conn(k, conn);
	bool was_ready = m->ready;

	forget_conn(m);
	m->connect_after = now + RECONNECT_PAUSE;
	if (error == ERR_CONNECTION_LIMIT) {
		m->answered = true; /* it lives, and is full */
		return;
	}
	if (was_ready)
		m->connect_after = now; /* one more try tells */
	else
		mark_down(k, m, "refused", out);
	change_check(k, now, out);
}

/* A connection that is silent is given up; a second one then decides. */
static void check_silence(struct keeper *k, struct kept_member *m, hm_time now,
			  struct proxy_output *out)
{
	hm_time silent = k->site.options->keeper_silent;

	if (!m->conn)
		return;
	if (m->ready && m->asked_at && now - m->asked_at > silent) {
		kept_disconnect(m, out);
		m->connect_after = now;
	} else if (!m->ready && now - m->opened_at > silent) {
		kept_disconnect(m, out);
		m->connect_after = now;
		mark_down(k, m, "silent", out);
	}
}

void keeper_tick(struct keeper *k, hm_time now, struct proxy_output *out)
{
	uint32_t i;

	if (!k->active)
		return;
	for (i = 0; i < k->member_count; i++)
		check_silence(k, &k->members[i], now, out);
	kept_drop_unlisted(k, out);
	if (now >= k->ask_at) {
		k->ask_at = now + k->site.options->keeper_every;
		/* Nobody leads: the wants are answered without a sample. */
		if (!kept_primary(k))
			keeper_answer_wants(k, k->order, (struct mark){ 0 });
		ask_all(k, now, out);
	}
	change_check(k, now, out);
}
