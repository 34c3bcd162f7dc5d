/** @file refusals.c Retries of operations after a refusal. */
#include "refusals.h"

#include <stdlib.h>
#include <string.h>

#include "run.h"

/*
 * A request with the text of a refused one is its retry if it arrives within
 * this time, and a new operation if later. 90 % of the clients that retry do so
 * within 200 ms.
 */
#define RETRY_WITHIN (300 * HM_MS)
/*
 * After a single refusal the account may still have tokens at another instance.
 * This many refusals within SCARCE_WITHIN mean that its tokens are used up.
 */
#define SCARCE_REFUSALS 4
#define SCARCE_WITHIN (1 * HM_SEC)
/* Size of the hash table of accounts; a collision overwrites the entry. */
#define SCARCITY_ENTRIES 64

struct scarcity_entry {
	hm_id account;
	struct {
		hm_time at[SCARCE_REFUSALS];
		uint32_t next;
	} refused[PRIORITY_LEVELS];
};

struct scarcity {
	struct scarcity_entry entries[SCARCITY_ENTRIES];
};

void refused_op_clear(struct refused_op *r)
{
	free(r->text);
	*r = (struct refused_op){ 0 };
}

hm_time refused_op_since(const struct refused_op *r, const char *what,
			 hm_time now)
{
	if (!r->text || now - r->refused_at > RETRY_WITHIN ||
	    strcmp(r->text, what) != 0)
		return now;
	return r->first_arrived_at;
}

void refused_op_note(struct refused_op *r, const char *what, hm_time arrived_at,
		     hm_time now)
{
	hm_time first_at = refused_op_since(r, what, arrived_at);
	char *copy = text_copy(what);

	refused_op_clear(r);
	*r = (struct refused_op){ .text = copy,
				  .first_arrived_at = first_at,
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

void scarcity_refused(struct scarcity *s, hm_id account, uint32_t level,
		      hm_time now)
{
	struct scarcity_entry *p = &s->entries[account % SCARCITY_ENTRIES];
	uint32_t *next = &p->refused[level].next;

	if (p->account != account)
		*p = (struct scarcity_entry){ .account = account };
	p->refused[level].at[*next] = now;
	*next = (*next + 1) % SCARCE_REFUSALS;
}

bool scarcity_active(const struct scarcity *s, hm_id account, uint32_t level,
		     hm_time now)
{
	const struct scarcity_entry *p =
		&s->entries[account % SCARCITY_ENTRIES];
	uint32_t i;

	if (p->account != account)
		return false;
	for (i = 0; i <= level; i++) {
		hm_time oldest = p->refused[i].at[p->refused[i].next];

		if (oldest && now - oldest <= SCARCE_WITHIN)
			return true;
	}
	return false;
}
