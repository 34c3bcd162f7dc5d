/** @file sessions_token.c Urgency of operations that need a rate token. */
#include "sessions_token.h"

uint32_t session_level(const struct proxy *p, const struct session *s)
{
	const struct route_spec *route = session_route(p, s);

	return route ? priority_level(route->level) : 0;
}

/* Level by which refusals are told apart; 0 while all levels are alike. */
static uint32_t scarcity_level(const struct proxy *p, const struct session *s)
{
	return rate_level_count(p->rate) > 1 ? session_level(p, s) : 0;
}

bool session_tokens_scarce(const struct proxy *p, const struct session *s,
			   hm_time now)
{
	return scarcity_active(p->scarcity, s->account, scarcity_level(p, s),
			       now);
}

void session_note_over_rate(struct proxy *p, const struct session *s,
			    hm_time now)
{
	scarcity_refused(p->scarcity, s->account, scarcity_level(p, s), now);
	rate_refused(p->rate, s->account, now);
	p->counters.tokens_refused[session_level(p, s)]++;
}

void session_log_displaced(const struct proxy *p, const struct session *s,
			   uint32_t by_level, struct proxy_output *out)
{
	const struct contract *c = contracts_find(p->contracts, s->account);

	proxy_log(out, "event=token_displaced account=%s level=%u by_level=%u",
		  c ? c->name : "-", session_level(p, s), by_level);
}
