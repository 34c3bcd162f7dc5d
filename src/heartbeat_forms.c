/** @file heartbeat_forms.c Full and repeated heartbeats of a link. */
#include "heartbeat_forms.h"

/* A heartbeat is sent in full after this time, in case one was lost. */
#define FULL_EVERY (1500 * HM_MS)

void heartbeat_forms_resend(struct heartbeat_forms *f)
{
	f->sent.seq = 0;
}

/* Whether two heartbeats differ only in what a repeated one contains. */
static bool says_the_same(const struct heartbeat *a, const struct heartbeat *b)
{
	return a->instance == b->instance && a->zone == b->zone &&
	       a->leaving == b->leaving && a->stopped == b->stopped &&
	       a->platform_ok == b->platform_ok &&
	       a->config_version == b->config_version &&
	       a->config_entries == b->config_entries &&
	       a->config_digest == b->config_digest &&
	       a->issues_tokens == b->issues_tokens &&
	       a->store_era == b->store_era && a->features == b->features &&
	       capacity_equal(&a->capacity, &b->capacity) &&
	       !store_version_compare(a->members, b->members) &&
	       !store_version_compare(a->evacuation.at, b->evacuation.at) &&
	       a->evacuation.requested == b->evacuation.requested &&
	       !a->evacuation.kept && !b->evacuation.kept;
}

void heartbeat_forms_send(struct heartbeat_forms *f, struct message *m,
			  hm_time now)
{
	struct heartbeat_repeated r = {
		.original = m->seq - f->sent.seq,
		.echo = m->heartbeat.echo,
		.store_read_ago = m->heartbeat.store_read_ago,
		.store_reads = m->heartbeat.store_reads,
		.lacks_original = f->lacks_original,
	};

	if (f->sent.seq && now < f->full_due &&
	    says_the_same(&m->heartbeat, &f->sent.heartbeat)) {
		m->kind = MSG_HEARTBEAT_REPEATED;
		m->repeated = r;
		return;
	}
	m->heartbeat.lacks_original = r.lacks_original;
	f->sent = (struct sent_heartbeat){ m->heartbeat, m->seq };
	f->full_due = now + FULL_EVERY;
}

/*
 * Turns a repeated heartbeat into a full one; false if its original is not
 * known.
 */
static bool restore(struct heartbeat_forms *f, struct message *m)
{
	struct heartbeat_repeated r = m->repeated;

	f->lacks_original =
		!f->received.seq || f->received.seq != m->seq - r.original;
	if (f->lacks_original)
		return false;
	m->kind = MSG_HEARTBEAT;
	m->heartbeat = f->received.heartbeat;
	m->heartbeat.echo = r.echo;
	m->heartbeat.store_read_ago = r.store_read_ago;
	m->heartbeat.store_reads = r.store_reads;
	m->heartbeat.lacks_original = r.lacks_original;
	return true;
}

bool heartbeat_forms_receive(struct heartbeat_forms *f, struct message *m)
{
	if (m->kind == MSG_HEARTBEAT) {
		f->received = (struct sent_heartbeat){ m->heartbeat, m->seq };
		f->lacks_original = false;
	} else if (m->kind != MSG_HEARTBEAT_REPEATED) {
		return true;
	} else if (!restore(f, m)) {
		return false;
	}
	if (m->heartbeat.lacks_original)
		f->sent.seq = 0;
	return true;
}
