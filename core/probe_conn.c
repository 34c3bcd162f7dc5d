/** @file probe_conn.c Commands on a probe connection and their order. */
#include "probe_conn.h"

#include <string.h>

/* Client name that the connections present to a member. */
#define PROBE_CLIENT_NAME "keeper"

void probe_conn_reset(struct probe_conn *q)
{
	q->conn = 0;
	q->ready = false;
	q->waiting_since = 0;
	q->pending = 0;
}

void probe_conn_open(struct probe_conn *q, const struct site_member *member,
		     uint64_t *next_conn, hm_time now, struct proxy_output *out)
{
	probe_conn_reset(q);
	q->conn = ++*next_conn;
	q->opened_at = now;
	proxy_connect(out, q->conn, member, PROBE_CLIENT_NAME);
}

void probe_conn_close(struct probe_conn *q, struct proxy_output *out)
{
	if (q->conn)
		proxy_action(out, PROXY_CLOSE_MEMBER)->member.conn = q->conn;
	probe_conn_reset(q);
}

bool probe_conn_send(struct probe_conn *q, uint8_t tag,
		     enum member_command_kind kind, uint64_t term, hm_time now,
		     struct proxy_output *out)
{
	struct proxy_action *a;

	if (!q->ready || q->pending == PROBE_PENDING_MAX)
		return false;
	a = proxy_action(out, PROXY_COMMAND);
	a->member.conn = q->conn;
	a->member.command.kind = kind;
	a->member.command.term = term;
	q->tags[q->pending++] = tag;
	if (!q->waiting_since)
		q->waiting_since = now;
	return true;
}

bool probe_conn_replied(struct probe_conn *q, hm_time now, uint8_t *tag)
{
	if (!q->pending)
		return false;
	*tag = q->tags[0];
	q->pending--;
	memmove(q->tags, q->tags + 1, q->pending);
	q->waiting_since = q->pending ? now : 0;
	return true;
}

bool probe_conn_timed_out(const struct probe_conn *q, hm_time limit,
			  hm_time now)
{
	if (!q->conn)
		return false;
	if (!q->ready)
		return now - q->opened_at > limit;
	return q->waiting_since && now - q->waiting_since > limit;
}
