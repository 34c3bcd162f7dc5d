/** @file sessions_load.c Load of members: early refusal, order of return. */
#include "proxy_state.h"

/* What refused operations of an error wait for. */
enum wait_kind { WAIT_NONE, WAIT_MEMBERS, WAIT_TOKENS };

static const enum wait_kind wait_kinds[ERR_COUNT] = {
	[ERR_OVERLOADED] = WAIT_MEMBERS,
	[ERR_NO_ENDPOINT] = WAIT_MEMBERS,
	[ERR_NO_PRIMARY] = WAIT_MEMBERS,
	[ERR_RATE_LIMITED] = WAIT_TOKENS,
};

/*
 * Finds the longest target of each level, again for each configuration. With a
 * shorter one, operations of other routes would be refused that can meet
 * theirs.
 */
static void update_targets(const struct proxy *p, struct member_load *l,
			   hm_id service)
{
	const struct site_config *c = p->config;
	uint32_t i;

	if (l->target_version == c->version)
		return;
	l->target_version = c->version;
	for (i = 0; i < PRIORITY_LEVELS; i++)
		l->target[i] = 0;
	for (i = 0; i < c->route_count; i++) {
		const struct route_spec *route = &c->routes[i];

		if (route->service == service &&
		    route->target > l->target[route->level])
			l->target[route->level] = route->target;
	}
}

static void log_changes(struct proxy *p, const struct load_state *l,
			const struct site_member *m, uint32_t changed,
			struct proxy_output *out)
{
	uint32_t i;

	for (i = 0; i < PRIORITY_LEVELS; i++) {
		if (!(changed >> i & 1))
			continue;
		p->counters.load_closed += l->levels[i].closed;
		proxy_log(out,
			  "event=load_level member=%s level=%u closed=%d "
			  "wait_us=%lld slack_us=%lld",
			  m->name, i, l->levels[i].closed,
			  (long long)l->wait[i], (long long)l->slack[i]);
	}
}

void session_take_load(struct proxy *p, const struct session *s,
		       const struct run_result *r, hm_time now,
		       struct proxy_output *out)
{
	const struct site_member *m =
		site_members_find(p->members, r->endpoint);
	const struct route_spec *route = session_route(p, s);
	struct member_load *l = place_load(p, r->endpoint);
	hm_time slack[PRIORITY_LEVELS];
	struct load_report report = { s->pending.owner, r->load.wait, slack };
	uint32_t i;

	if (!p->options.scheduling.load_levels || !r->load.known || !m)
		return;
	update_targets(p, l, m->service);
	if (!r->error && route && s->pending.expected_wait >= 0)
		load_add_executing(&l->level, route->level,
				   now - s->pending.sent_at -
					   s->pending.expected_wait);
	for (i = 0; i < PRIORITY_LEVELS; i++)
		slack[i] = load_slack(&l->level, i, l->target[i]);
	log_changes(p, &l->level, m, load_take_report(&l->level, &report, now),
		    out);
}

bool session_refuse_by_load(struct proxy *p, struct session *s,
			    const struct placement *place, hm_time now,
			    struct proxy_output *out)
{
	const struct route_spec *route = session_route(p, s);
	const struct site_member *m =
		site_members_find(p->members, place->endpoint);
	struct load_state *l = &place_load(p, place->endpoint)->level;
	bool returns;

	if (!route)
		return false;
	returns = return_ticket_is_due(&s->told, route->service,
				       s->pending.text, now);
	p->counters.load_returns += returns;
	switch (load_admit(l, place->owner, route->level, returns, now)) {
	case LOAD_OPEN:
	case LOAD_RETURNS:
		return false;
	case LOAD_PROBE:
		p->counters.load_probes++;
		return false;
	case LOAD_REFUSED:
		break;
	}
	p->counters.refused_by_load[route->level]++;
	proxy_log(out,
		  "event=refused_by_load request=%s member=%s level=%u "
		  "wait_us=%lld age_us=%lld",
		  s->pending.request, m ? m->name : "-", route->level,
		  (long long)l->wait[route->level],
		  (long long)(now - l->reported_at));
	session_answer(p, s, ERR_OVERLOADED, NULL, now + RETURN_MIN, now, out);
	return true;
}

/* Records a served operation; a statement inside a transaction is none. */
static void note_served(struct proxy *p, const struct session *s,
			const struct route_spec *route, hm_time now)
{
	if (s->tx.state != SESSION_IDLE)
		return;
	return_order_served(p->service_returns, route->service, route->level,
			    now);
	if (s->account)
		return_order_served(p->account_returns, s->account,
				    route->level, now);
}

hm_time session_order_return(struct proxy *p, struct session *s,
			     enum error error, bool ran, hm_time retry_at,
			     hm_time now)
{
	const struct route_spec *route = session_route(p, s);
	bool tokens = wait_kinds[error] == WAIT_TOKENS;

	if (!p->options.scheduling.load_levels || !route)
		return retry_at;
	if (!error && ran)
		note_served(p, s, route, now);
	if (wait_kinds[error] == WAIT_NONE || !retry_at)
		return retry_at;
	retry_at = return_order_next(tokens ? p->account_returns
					    : p->service_returns,
				     tokens ? s->account : route->service,
				     route->level, retry_at, now);
	return_ticket_set(&s->told, route->service, s->pending.text, retry_at);
	return retry_at;
}
