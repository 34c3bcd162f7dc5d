/**
 * @file pool_commit.c
 * Commits that wait for their confirmation. A member acknowledges a commit once
 * any replica has received it, also one that only the member has heard of. The
 * commit is safe once SyncReplicas + 1 voters have it, of which the member is
 * one: a monitor promotes no member while that many of them are loose
 * (voters.h).
 */
#include "pool_state.h"

#include <stdlib.h>

#include "grow.h"

/*
 * A commit that is not confirmed within this time has an unknown outcome. A
 * change of primary takes longer.
 */
#define CONFIRM_LIMIT (400 * HM_MS)

bool commit_must_wait(const struct pool *p, const struct run_result *r)
{
	return r->commits && !r->error &&
	       primary_check_sync_replicas(p->check) &&
	       !(p->deps.options->guards_off & PROXY_GUARD_CONFIRM);
}

void commit_hold(struct pool *p, uint64_t reply_to, struct run_result *r,
		 hm_time deadline, hm_time now)
{
	hm_time until = now + CONFIRM_LIMIT;

	p->commits = grow_list(p->commits, p->commit_count, &p->commit_capacity,
			       sizeof(*p->commits));
	p->commits[p->commit_count++] = (struct held_commit){
		.reply_to = reply_to,
		.result = r,
		.held_since = now,
		.until = until < deadline ? until : deadline,
	};
}

/* @param why the commit is not confirmed, NULL: it is */
static void release(struct pool *p, struct held_commit *c, const char *why,
		    hm_time now, struct proxy_output *out)
{
	struct run_result *r = c->result;

	if (why) {
		proxy_log(out,
			  "event=unconfirmed request=%s member=%s reason=%s "
			  "term=%llu pos=%llu waited_us=%lld",
			  r->request, p->member.name, why,
			  (unsigned long long)r->at.term,
			  (unsigned long long)r->at.pos,
			  (long long)(now - c->held_since));
		run_result_unknown(r);
	} else {
		change_note_confirmed(p, r, now, out);
	}
	result_add(p, c->reply_to, r);
}

static void release_due(struct pool *p, hm_time now, struct proxy_output *out)
{
	uint32_t i, kept = 0;

	for (i = 0; i < p->commit_count; i++) {
		struct held_commit *c = &p->commits[i];

		if (primary_check_confirms(p->check, c->result->at,
					   p->member.started, p->deps.view,
					   now))
			release(p, c, NULL, now, out);
		else if (now > c->until)
			release(p, c, "no_replica", now, out);
		else
			p->commits[kept++] = *c;
	}
	p->commit_count = kept;
}

/* Asks for the newest commit that waits; its replies show earlier ones, too. */
static void request(struct pool *p, enum commit_asked asked, hm_time now,
		    struct proxy_output *out)
{
	uint32_t i;

	for (i = 0; i < p->commit_count; i++)
		p->commits[i].asked = asked;
	primary_check_request_commit(p->check,
				     p->commits[p->commit_count - 1].result->at,
				     asked == ASKED_ALL, now, out);
}

void commits_check(struct pool *p, hm_time now, struct proxy_output *out)
{
	bool unasked = false, unshown = false;
	uint32_t i;

	release_due(p, now, out);
	if (!p->commit_count || primary_check_commit_requested(p->check))
		return;
	for (i = 0; i < p->commit_count; i++) {
		unasked |= p->commits[i].asked == ASKED_NONE;
		unshown |= p->commits[i].asked == ASKED_ONE;
	}
	if (unshown || unasked)
		request(p, unshown ? ASKED_ALL : ASKED_ONE, now, out);
}

void commits_tick(struct pool *p, hm_time now, struct proxy_output *out)
{
	commits_check(p, now, out);
	/* Replicas were busy, behind or not connected. */
	if (p->commit_count && now - p->commits[0].held_since >= PROXY_TICK)
		request(p, ASKED_ALL, now, out);
}

void commits_give_up(struct pool *p, hm_time now, struct proxy_output *out)
{
	uint32_t i;

	for (i = 0; i < p->commit_count; i++)
		release(p, &p->commits[i], "pool_closed", now, out);
	p->commit_count = 0;
}

void commits_free(struct pool *p)
{
	uint32_t i;

	for (i = 0; i < p->commit_count; i++)
		run_result_free(p->commits[i].result);
	free(p->commits);
}
