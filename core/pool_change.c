/**
 * @file pool_change.c
 * Logs commits that are acknowledged while a change of primary runs, as far as
 * the owner's view shows it. If one is lost, its line tells who had it.
 */
#include <stdio.h>

#include "pool_state.h"

/* Lines of one change; commits beyond it are only counted. */
#define LINES_PER_CHANGE 200

/* A switchover shows by its pauses alone. */
static bool change_runs(const struct service_view *v)
{
	uint32_t i;

	if (v->replacing)
		return true;
	for (i = 0; i < v->count; i++)
		if (v->members[i].paused_term)
			return true;
	return false;
}

/* What the view says of a member that had the commit. */
static const char *state_of(const struct service_state *v, hm_id endpoint)
{
	const struct member_view *m = view_member(v, endpoint);

	if (!m)
		return "unknown";
	if (m->paused_term)
		return m->reached ? "paused" : "paused/silent";
	return m->reached ? "unpaused" : "unpaused/silent";
}

/* Writes "name:state" of each voter that had the commit, separated by commas. */
static void list_holders(const struct pool *p, struct log_pos commit,
			 hm_time now, char *out, size_t size)
{
	const struct site_member *list[ENDPOINTS_MAX];
	uint32_t i, count = primary_check_holders(p->check, commit,
						  p->deps.view, now, list);
	size_t used = 0;

	snprintf(out, size, "-");
	for (i = 0; i < count && used < size; i++)
		used += (size_t)snprintf(
			out + used, size - used, "%s%s:%s", i ? "," : "",
			list[i]->name,
			state_of(p->deps.view, list[i]->endpoint));
}

void change_note_confirmed(struct pool *p, const struct run_result *r,
			   hm_time now, struct proxy_output *out)
{
	char holders[ENDPOINTS_MAX * (NAME_BYTES + 20)];

	if (!change_runs(&p->deps.view->latest))
		return;
	p->confirmed_in_change++;
	if (++p->change_commits > LINES_PER_CHANGE)
		return;
	list_holders(p, r->at, now, holders, sizeof(holders));
	proxy_log(out,
		  "event=confirmed_in_change request=%s member=%s term=%llu "
		  "pos=%llu view_age_us=%lld by=%s",
		  r->request, p->member.name, (unsigned long long)r->at.term,
		  (unsigned long long)r->at.pos,
		  (long long)(now - p->deps.view->received_at), holders);
}

void change_tick(struct pool *p, struct proxy_output *out)
{
	uint32_t n = p->change_commits;

	if (!n || change_runs(&p->deps.view->latest))
		return;
	p->change_commits = 0;
	proxy_log(out,
		  "event=confirmed_in_change_end member=%s commits=%u "
		  "unlogged=%u",
		  p->member.name, n,
		  n > LINES_PER_CHANGE ? n - LINES_PER_CHANGE : 0);
}
