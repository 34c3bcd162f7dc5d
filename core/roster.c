/**
 * @file roster.c
 * The members in force at an instance: which list is newer than the one held,
 * also when the store comes back from an older copy, and which members stay
 * while their entry is missing.
 */
#include "proxy_state.h"

/*
 * A member without an entry is gone when it is not back within 2 s; one that
 * the store alone does not hear serves on while its primary is replaced
 * (1 s at most measured sites), and never past the limit of a drain.
 */
#define MISSING_GRACE (4500 * HM_MS)

void roster_take_era(struct proxy *p, uint64_t era, const char *source,
		     hm_time now, struct proxy_output *out)
{
	if (era <= p->store_era)
		return;
	proxy_log(out, "event=store_era before=%llu era=%llu source=%s",
		  (unsigned long long)p->store_era, (unsigned long long)era,
		  source);
	/* A list from before: the store has come back. */
	if (p->members) {
		p->figures.store_returns++;
		/* Members write again what the copy lacks of them. */
		if (p->settled_at < now + p->options.settle_time)
			p->settled_at = now + p->options.settle_time;
	}
	p->store_era = era;
}

/* Members whose entry is gone stay for a moment, from now on in a new era. */
static void keep_missing(struct proxy *p, struct site_members *m, bool new_era,
			 hm_time now, struct proxy_output *out)
{
	uint32_t i;

	for (i = 0; p->members && i < p->members->count; i++) {
		struct site_member old = p->members->list[i];

		if (site_members_find(m, old.endpoint))
			continue;
		if (!old.missing_since)
			proxy_log(out, "event=member_missing member=%s",
				  old.name);
		if (!old.missing_since || new_era)
			old.missing_since = now;
		site_members_add(m, &old);
	}
}

static void log_changes(const struct site_members *before,
			const struct site_members *after,
			struct proxy_output *out)
{
	uint32_t i;

	for (i = 0; i < after->count; i++) {
		const struct site_member *m = &after->list[i];
		const struct site_member *old =
			site_members_find(before, m->endpoint);

		if (old && old->leaving == m->leaving &&
		    old->says_primary == m->says_primary &&
		    old->started == m->started)
			continue;
		proxy_log(out,
			  "event=member member=%s service=%s address=%s "
			  "leaving=%d primary=%d era=%llu revision=%llu",
			  m->name, m->service_name, m->address, m->leaving,
			  m->says_primary, (unsigned long long)after->at.era,
			  (unsigned long long)after->at.revision);
	}
}

static void log_doubted(const struct recall *r, struct proxy_output *out)
{
	uint32_t i;

	for (i = 0; i < r->held.count; i++)
		proxy_log(out,
			  "event=member_doubted member=%s started=%llu "
			  "leaving=%d",
			  r->held.list[i].name,
			  (unsigned long long)r->held.list[i].started,
			  r->held.list[i].leaving);
}

/* Whether a list is of no use; one of an earlier era is told of. */
static bool is_outdated(const struct proxy *p, const struct site_members *m,
			struct proxy_output *out)
{
	if (m->at.era < p->store_era) {
		proxy_log(out,
			  "event=members_dropped era=%llu revision=%llu "
			  "newest=%llu",
			  (unsigned long long)m->at.era,
			  (unsigned long long)m->at.revision,
			  (unsigned long long)p->store_era);
		return true;
	}
	return p->members && store_version_compare(m->at, p->members->at) <= 0;
}

void roster_apply(struct proxy *p, struct site_members *m, hm_time now,
		  struct proxy_output *out)
{
	bool new_era = p->members && m->at.era > p->members->at.era;

	roster_take_era(p, m->at.era, "members", now, out);
	if (is_outdated(p, m, out)) {
		site_members_free(m);
		return;
	}
	p->behind_since[DOCUMENT_MEMBERS] = 0;
	if (!p->members)
		p->settled_at = now + p->options.settle_time;
	if (new_era)
		recall_begin(&p->recall, now);
	recall_filter(&p->recall, p->members, m, now);
	log_doubted(&p->recall, out);
	keep_missing(p, m, new_era, now, out);
	log_changes(p->members, m, out);
	site_members_free(p->members);
	p->members = m;
	services_members_changed(p, now, out);
}

static bool drop_missing(struct proxy *p, hm_time now, struct proxy_output *out)
{
	hm_time grace = MISSING_GRACE < p->options.drain_limit
				? MISSING_GRACE
				: p->options.drain_limit;
	struct site_members *m = p->members;
	bool changed = false;
	uint32_t i;

	for (i = m ? m->count : 0; i-- > 0;) {
		if (!m->list[i].missing_since ||
		    now - m->list[i].missing_since < grace)
			continue;
		proxy_log(out, "event=member_gone member=%s", m->list[i].name);
		recall_left(&p->recall, &m->list[i]);
		m->list[i] = m->list[--m->count];
		changed = true;
	}
	return changed;
}

void roster_tick(struct proxy *p, hm_time now, struct proxy_output *out)
{
	bool changed = drop_missing(p, now, out);

	if (recall_settle(&p->recall, p->members, now)) {
		proxy_log(out, "event=members_believed count=%u",
			  p->members->count);
		changed = true;
	}
	if (changed)
		services_members_changed(p, now, out);
}
