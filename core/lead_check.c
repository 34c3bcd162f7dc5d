/** @file lead_check.c Questions to the members beside the primary. */
#include "lead_check.h"

#include <stdlib.h>

#include "inquiry.h"
#include "standing.h"

/* Without an answer for so long the states of the others are asked, too. */
#define LATE_AFTER (60 * HM_MS)
/* Without a new proof for so long none is expected. */
#define FAILS_AFTER (400 * HM_MS)
/* Connections that nobody needed for so long are closed. */
#define IDLE_CLOSE (10 * HM_SEC)

enum checked { CHECKED_LEAD, CHECKED_END, CHECKED_STATE };

struct checked_member {
	struct site_member spec;
	struct inquiry inquiry;
	uint64_t lead_order;  /**< of the last question whether it leads */
	uint64_t state_order; /**< of the last question of its state */
	struct standing_answer shown;
	bool listed;
};

struct lead_check {
	hm_id endpoint; /**< the primary, not asked */
	struct lead_check_site site;
	bool sync;
	struct checked_member others[ENDPOINTS_MAX];
	uint32_t count;
	uint64_t order;	    /**< counts tickets and questions */
	uint64_t begun;	    /**< newest ticket */
	hm_time begun_at;   /**< when it was drawn */
	uint64_t asked;	    /**< newest question */
	hm_time asked_at;   /**< when it was asked */
	uint64_t proved;    /**< newest question that proved it */
	hm_time open_since; /**< a ticket is open without progress, or 0 */
};

struct lead_check *lead_check_new(hm_id endpoint, struct lead_check_site site)
{
	struct lead_check *c = calloc(1, sizeof(*c));

	if (!c)
		abort();
	c->endpoint = endpoint;
	c->site = site;
	c->sync = true;
	return c;
}

void lead_check_free(struct lead_check *c)
{
	free(c);
}

void lead_check_sync(struct lead_check *c, bool sync)
{
	c->sync = sync;
}

static struct checked_member *find_member(struct lead_check *c, hm_id endpoint)
{
	uint32_t i;

	for (i = 0; i < c->count; i++)
		if (c->others[i].spec.endpoint == endpoint)
			return &c->others[i];
	return NULL;
}

static void take_member(struct lead_check *c, const struct site_member *spec,
			struct proxy_output *out)
{
	struct checked_member *m = find_member(c, spec->endpoint);

	if (!m) {
		if (c->count == ENDPOINTS_MAX)
			return;
		m = &c->others[c->count++];
		*m = (struct checked_member){ .spec = *spec };
	} else if (site_member_restarted(&m->spec, spec)) {
		/* What it showed was shown by another life. */
		inquiry_disconnect(&m->inquiry, out);
		*m = (struct checked_member){ .shown.reborn = ++c->order };
	}
	m->spec = *spec;
	m->listed = true;
}

void lead_check_members(struct lead_check *c,
			const struct site_members *members, hm_id service,
			struct proxy_output *out)
{
	uint32_t i;

	for (i = 0; i < c->count; i++)
		c->others[i].listed = false;
	for (i = 0; i < members->count; i++)
		if (members->list[i].service == service &&
		    members->list[i].endpoint != c->endpoint)
			take_member(c, &members->list[i], out);
	for (i = c->count; i-- > 0;) {
		if (c->others[i].listed)
			continue;
		inquiry_disconnect(&c->others[i].inquiry, out);
		c->others[i] = c->others[--c->count];
	}
}

/* It cannot be waited for. */
static bool is_late(const struct checked_member *m, hm_time now)
{
	return !m->inquiry.conn ||
	       inquiry_is_silent(&m->inquiry, LATE_AFTER, now);
}

static bool is_any_late(const struct lead_check *c, hm_time now)
{
	uint32_t i;

	for (i = 0; i < c->count; i++)
		if (is_late(&c->others[i], now))
			return true;
	return false;
}

static bool is_answer_due(const struct lead_check *c, hm_time now)
{
	uint32_t i;

	for (i = 0; i < c->count; i++) {
		const struct inquiry *q = &c->others[i].inquiry;

		if ((q->count || !q->ready) && !is_late(&c->others[i], now))
			return true;
	}
	return false;
}

static void connect_members(struct lead_check *c, hm_time now,
			    struct proxy_output *out)
{
	uint32_t i;

	for (i = 0; i < c->count; i++) {
		struct checked_member *m = &c->others[i];

		if (!m->inquiry.conn && now >= m->inquiry.connect_after)
			inquiry_connect(&m->inquiry, &m->spec,
					c->site.next_conn, now, out);
	}
}

static void ask_member(struct lead_check *c, struct checked_member *m,
		       bool state, hm_time now, struct proxy_output *out)
{
	if (m->inquiry.count ||
	    !inquiry_ask(&m->inquiry, CHECKED_LEAD, MEMBER_BEGIN, 0, now, out))
		return;
	m->lead_order = c->asked;
	if (!state)
		return;
	m->state_order = c->asked;
	inquiry_ask(&m->inquiry, CHECKED_STATE, MEMBER_STATUS, 0, now, out);
}

/* One question at a time: what begins meanwhile is served by the next. */
static void ask(struct lead_check *c, hm_time now, struct proxy_output *out)
{
	bool state;
	uint32_t i;

	connect_members(c, now, out);
	if (is_answer_due(c, now))
		return;
	state = c->sync && is_any_late(c, now);
	c->asked = ++c->order;
	c->asked_at = now;
	for (i = 0; i < c->count; i++)
		ask_member(c, &c->others[i], state, now, out);
}

uint64_t lead_check_begin(struct lead_check *c, hm_time now,
			  struct proxy_output *out)
{
	if (c->site.options->guards_off & PROXY_GUARD_SUPERSEDED)
		return 0;
	c->begun = ++c->order;
	c->begun_at = now;
	if (!c->open_since)
		c->open_since = now;
	ask(c, now, out);
	return c->begun;
}

/* What the others showed; @return how many they are. */
static uint32_t answers_of(const struct lead_check *c,
			   struct standing_answer out[ENDPOINTS_MAX])
{
	uint32_t i;

	for (i = 0; i < c->count; i++)
		out[i] = c->others[i].shown;
	return c->count;
}

enum lead_proof lead_check_proof(const struct lead_check *c, uint64_t ticket,
				 uint64_t term)
{
	struct standing_answer others[ENDPOINTS_MAX];
	uint32_t count = answers_of(c, others);

	if (!ticket || ticket <= standing_since(others, count, term, c->sync))
		return LEAD_PROVED;
	return standing_is_over(others, count, term) ? LEAD_REFUTED : LEAD_OPEN;
}

/* Members answered: tickets drawn before that question are proved. */
static void note_progress(struct lead_check *c, hm_time now)
{
	struct standing_answer others[ENDPOINTS_MAX];
	uint32_t count = answers_of(c, others);
	uint64_t since = standing_since(
		others, count, standing_newest(others, count), c->sync);

	if (since <= c->proved)
		return;
	c->proved = since;
	c->open_since = c->begun > since ? now : 0;
}

bool lead_check_fails(const struct lead_check *c, hm_time now)
{
	return c->open_since && now - c->open_since > FAILS_AFTER;
}

static struct checked_member *find_conn(const struct lead_check *c,
					uint64_t conn)
{
	uint32_t i;

	for (i = 0; i < c->count; i++)
		if (conn && c->others[i].inquiry.conn == conn)
			return (struct checked_member *)&c->others[i];
	return NULL;
}

bool lead_check_has(const struct lead_check *c, uint64_t conn)
{
	return find_conn(c, conn) != NULL;
}

void lead_check_ready(struct lead_check *c, uint64_t conn, hm_time now,
		      struct proxy_output *out)
{
	find_conn(c, conn)->inquiry.ready = true;
	if (c->begun > c->proved)
		ask(c, now, out);
}

static void take_answer(struct checked_member *m, uint8_t asked,
			const struct member_reply *r, hm_time now,
			struct proxy_output *out)
{
	bool tells = !r->error || r->error == ERR_READ_ONLY;

	if (asked == CHECKED_LEAD && tells) {
		m->shown.asked = m->lead_order;
		m->shown.term = r->at.term;
	}
	if (asked == CHECKED_LEAD && !r->error)
		inquiry_ask(&m->inquiry, CHECKED_END, MEMBER_ROLLBACK, 0, now,
			    out);
	if (asked == CHECKED_STATE && r->has_status) {
		m->shown.state_asked = m->state_order;
		m->shown.received_term = r->status.received.term;
	}
}

void lead_check_replied(struct lead_check *c, uint64_t conn,
			const struct member_reply *reply, hm_time now,
			struct proxy_output *out)
{
	struct checked_member *m = find_conn(c, conn);
	uint8_t asked;

	if (!inquiry_answered(&m->inquiry, now, &asked)) {
		inquiry_disconnect(&m->inquiry, out);
		return;
	}
	take_answer(m, asked, reply, now, out);
	note_progress(c, now);
	if (c->begun > c->asked)
		ask(c, now, out);
}

void lead_check_closed(struct lead_check *c, uint64_t conn, hm_time now)
{
	struct checked_member *m = find_conn(c, conn);
	bool was_ready = m->inquiry.ready;

	inquiry_forget(&m->inquiry);
	m->inquiry.connect_after = was_ready ? now : now + INQUIRY_RECONNECT;
}

static void check_member(struct lead_check *c, struct checked_member *m,
			 bool needed, hm_time now, struct proxy_output *out)
{
	if (!needed) {
		inquiry_disconnect(&m->inquiry, out);
		return;
	}
	if (!inquiry_is_silent(&m->inquiry, c->site.options->member_probe_limit,
			       now))
		return;
	inquiry_disconnect(&m->inquiry, out);
	m->inquiry.connect_after = now;
}

void lead_check_tick(struct lead_check *c, hm_time now,
		     struct proxy_output *out)
{
	bool needed = now - c->begun_at < IDLE_CLOSE;
	bool open = c->begun > c->proved && now - c->begun_at < FAILS_AFTER;
	uint32_t i;

	for (i = 0; i < c->count; i++)
		check_member(c, &c->others[i], needed, now, out);
	/* Members that were late, busy or away are asked anew. */
	if (open && now - c->asked_at >= PROXY_TICK)
		ask(c, now, out);
}

void lead_check_close(struct lead_check *c, struct proxy_output *out)
{
	uint32_t i;

	for (i = 0; i < c->count; i++)
		inquiry_disconnect(&c->others[i].inquiry, out);
}
