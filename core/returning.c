/** @file returning.c Operations that come back after a refusal. */
#include "returning.h"

#include <stdlib.h>
#include <string.h>

#include "run.h"

/*
 * Nine in ten of the callers that come back do so within 200 ms on measured
 * days; what comes later with the same words is taken for a new operation.
 */
#define RETURN_WITHIN (300 * HM_MS)
/* One refusal may be a share out of place, so many in a second are not. */
#define SCARCE_REFUSALS 4
#define SCARCE_WITHIN (1 * HM_SEC)
/* Accounts at their limit at once; a colliding one takes over the place. */
#define SCARCE_PLACES 64

struct scarce_place {
	hm_id account;
	hm_time refused_at[SCARCE_REFUSALS];
	uint32_t next;
};

struct scarcity {
	struct scarce_place places[SCARCE_PLACES];
};

void refused_op_clear(struct refused_op *r)
{
	free(r->what);
	*r = (struct refused_op){ 0 };
}

hm_time refused_op_since(const struct refused_op *r, const char *what,
			 hm_time now)
{
	if (!r->what || now - r->refused_at > RETURN_WITHIN ||
	    strcmp(r->what, what) != 0)
		return now;
	return r->first_at;
}

void refused_op_note(struct refused_op *r, const char *what, hm_time asked_at,
		     hm_time now)
{
	hm_time first_at = refused_op_since(r, what, asked_at);
	char *copy = text_copy(what);

	refused_op_clear(r);
	*r = (struct refused_op){ .what = copy,
				  .first_at = first_at,
				  .refused_at = now };
}

struct scarcity *scarcity_new(void)
{
	struct scarcity *s = calloc(1, sizeof(*s));

	if (!s)
		abort();
	return s;
}

void scarcity_free(struct scarcity *s)
{
	free(s);
}

void scarcity_refused(struct scarcity *s, hm_id account, hm_time now)
{
	struct scarce_place *p = &s->places[account % SCARCE_PLACES];

	if (p->account != account)
		*p = (struct scarce_place){ .account = account };
	p->refused_at[p->next] = now;
	p->next = (p->next + 1) % SCARCE_REFUSALS;
}

bool scarcity_holds(const struct scarcity *s, hm_id account, hm_time now)
{
	const struct scarce_place *p = &s->places[account % SCARCE_PLACES];
	hm_time oldest = p->refused_at[p->next];

	return p->account == account && oldest && now - oldest <= SCARCE_WITHIN;
}
