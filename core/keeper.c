/** @file keeper.c Questions to the members of a service, and its view. */
#include "keeper_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct keeper *keeper_new(hm_id service, struct keeper_site site)
{
	struct keeper *k = calloc(1, sizeof(*k));

	if (!k)
		abort();
	k->service = service;
	k->site = site;
	k->sync = true;
	return k;
}

void keeper_sync(struct keeper *k, bool sync)
{
	k->sync = sync;
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

static struct kept_member *find_conn(const struct keeper *k, uint64_t conn)
{
	uint32_t i;

	for (i = 0; i < k->member_count; i++)
		if (conn && k->members[i].inquiry.conn == conn)
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
	inquiry_forget(&m->inquiry);
	m->known = false;
	m->old_answers = 0;
}

static void connect_member(struct keeper *k, struct kept_member *m, hm_time now,
			   struct proxy_output *out)
{
	forget_conn(m);
	m->told_held = 0;
	inquiry_connect(&m->inquiry, &m->spec, k->site.next_conn, now, out);
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
	inquiry_disconnect(&m->inquiry, out);
	forget_conn(m);
}

void kept_forget_answers(struct keeper *k)
{
	uint32_t i;

	for (i = 0; i < k->member_count; i++) {
		struct kept_member *m = &k->members[i];

		m->old_answers = m->inquiry.count;
		m->fresh_status = false;
		m->fresh_lead = false;
		m->first_lead = (struct log_pos){ 0 };
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

/*
 * Asks whether the member leads, and what it has. The state takes a slot of
 * the member: it is asked when it matters.
 */
static void ask_member(struct keeper *k, struct kept_member *m, bool state,
		       hm_time now, struct proxy_output *out)
{
	struct inquiry *q = &m->inquiry;

	if (q->count)
		return;
	m->lead_order = ++k->order;
	inquiry_ask(q, ASKED_LEAD, MEMBER_BEGIN, 0, now, out);
	inquiry_ask(q, ASKED_LEAD_END, MEMBER_ROLLBACK, 0, now, out);
	if (k->step == CHANGE_NONE && !state && m->known && now < m->status_at)
		return;
	m->status_at = now + k->site.options->status_every;
	m->state_order = m->lead_order;
	inquiry_ask(q, ASKED_STATUS, MEMBER_STATUS, 0, now, out);
}

/* While a member is silent the states of the others prove who leads. */
static bool is_any_silent(const struct keeper *k,
			  const struct kept_member *primary)
{
	uint32_t i;

	for (i = 0; i < k->member_count; i++) {
		const struct kept_member *m = &k->members[i];

		if (m != primary && (!m->inquiry.ready || m->inquiry.count))
			return true;
	}
	return k->departed_count > 0;
}

static void ask_all(struct keeper *k, hm_time now, struct proxy_output *out)
{
	const struct kept_member *primary = kept_primary(k);
	bool silent = primary && is_any_silent(k, primary);
	uint32_t i;

	for (i = 0; i < k->member_count; i++) {
		struct kept_member *m = &k->members[i];

		if (!m->inquiry.conn && now >= m->inquiry.connect_after)
			connect_member(k, m, now, out);
		else
			ask_member(k, m, silent && m != primary, now, out);
	}
}

void keeper_ready(struct keeper *k, uint64_t conn, hm_time now,
		  struct proxy_output *out)
{
	struct kept_member *m = find_conn(k, conn);

	m->inquiry.ready = true;
	m->answered = true;
	ask_member(k, m, false, now, out);
}

static void take_status(struct keeper *k, struct kept_member *m,
			const struct member_reply *r, hm_time now,
			struct proxy_output *out)
{
	if (!r->has_status)
		return; /* busy: alive, and nothing is known */
	m->status = r->status;
	m->known = true;
	m->shown.state_asked = m->state_order;
	m->shown.received_term = r->status.received.term;
	if (!r->status.primary)
		departed_received(k, r->status.received);
	if (r->status.term > k->term)
		k->term = r->status.term;
	if (r->status.primary && m->leads)
		lead_take(k, m, now, out);
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
	uint8_t asked;
	bool old;

	if (!inquiry_answered(&m->inquiry, now, &asked)) {
		kept_disconnect(m, out);
		return;
	}
	old = m->old_answers > 0;
	m->old_answers -= old;
	if (!m->up) {
		m->up = true;
		proxy_log(out, "event=member_up member=%s service=%s",
			  m->spec.name, k->service_name);
	}
	if (asked == ASKED_LEAD) {
		lead_answered(k, m, reply, now, out);
		if (m->leads && !old && !m->first_lead.term)
			m->first_lead = m->lead_at;
		m->fresh_lead = m->leads && !old;
	} else if (asked == ASKED_STATUS || asked == ASKED_HOLD) {
		take_status(k, m, reply, now, out);
		m->fresh_status |= reply->has_status && !old;
	}
	keeper_answer_proved(k);
	change_check(k, now, out);
}

void keeper_closed(struct keeper *k, uint64_t conn, enum error error,
		   hm_time now, struct proxy_output *out)
{
	struct kept_member *m = find_conn(k, conn);
	bool was_ready = m->inquiry.ready;

	forget_conn(m);
	m->inquiry.connect_after = now + INQUIRY_RECONNECT;
	if (error == ERR_CONNECTION_LIMIT) {
		m->answered = true; /* it lives, and is full */
		return;
	}
	if (was_ready)
		m->inquiry.connect_after = now; /* one more try tells */
	else
		mark_down(k, m, "refused", out);
	change_check(k, now, out);
}

/* A connection that is silent is given up; a second one then decides. */
static void check_silence(struct keeper *k, struct kept_member *m, hm_time now,
			  struct proxy_output *out)
{
	bool was_ready = m->inquiry.ready;

	if (!inquiry_is_silent(&m->inquiry, k->site.options->keeper_silent,
			       now))
		return;
	kept_disconnect(m, out);
	m->inquiry.connect_after = now;
	if (!was_ready)
		mark_down(k, m, "silent", out);
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
		keeper_answer_unproved(k);
		ask_all(k, now, out);
	}
	change_check(k, now, out);
}
