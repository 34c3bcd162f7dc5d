/** @file inquiry.c Questions to a member, and their order. */
#include "inquiry.h"

#include <string.h>

/* Who the connections say they are. */
#define INQUIRY_WHO "keeper"

void inquiry_forget(struct inquiry *q)
{
	q->conn = 0;
	q->ready = false;
	q->asked_at = 0;
	q->count = 0;
}

void inquiry_connect(struct inquiry *q, const struct site_member *member,
		     uint64_t *next_conn, hm_time now, struct proxy_output *out)
{
	inquiry_forget(q);
	q->conn = ++*next_conn;
	q->opened_at = now;
	proxy_connect(out, q->conn, member, INQUIRY_WHO);
}

void inquiry_disconnect(struct inquiry *q, struct proxy_output *out)
{
	if (q->conn)
		proxy_action(out, PROXY_CLOSE_MEMBER)->member.conn = q->conn;
	inquiry_forget(q);
}

bool inquiry_ask(struct inquiry *q, uint8_t asked,
		 enum member_command_kind kind, uint64_t term, hm_time now,
		 struct proxy_output *out)
{
	struct proxy_action *a;

	if (!q->ready || q->count == INQUIRY_MAX)
		return false;
	a = proxy_action(out, PROXY_COMMAND);
	a->member.conn = q->conn;
	a->member.command.kind = kind;
	a->member.command.term = term;
	q->asked[q->count++] = asked;
	if (!q->asked_at)
		q->asked_at = now;
	return true;
}

bool inquiry_answered(struct inquiry *q, hm_time now, uint8_t *asked)
{
	if (!q->count)
		return false;
	*asked = q->asked[0];
	q->count--;
	memmove(q->asked, q->asked + 1, q->count);
	q->asked_at = q->count ? now : 0;
	return true;
}

bool inquiry_is_silent(const struct inquiry *q, hm_time limit, hm_time now)
{
	if (!q->conn)
		return false;
	if (!q->ready)
		return now - q->opened_at > limit;
	return q->asked_at && now - q->asked_at > limit;
}
