/**
 * @file member_list.c
 * The member list in force at an instance. A list replaces it only if it is
 * newer, also after the store was restored from an older copy. A member whose
 * entry disappears stays in the list for a grace period.
 */
#include "proxy_state.h"

/*
 * How long a member without an entry stays in the list. A running member
 * registers again within 2 s. A member that only the store cannot reach stays
 * in use until its service has a new primary, which takes 1 s in most
 * installations. The drain limit, if shorter, applies instead.
 */
#define MISSING_GRACE (4500 * HM_MS)

void member_list_set_era(struct proxy *p, uint64_t era, const char *source,
			 hm_time now, struct proxy_output *out)
{
	if (era <= p->store_era)
		return;
	proxy_log(out, "event=store_era before=%llu era=%llu source=%s",
		  (unsigned long long)p->store_era, (unsigned long long)era,
		  source);
	/* The list in force is of an earlier era: the store was restored. */
	if (p->members) {
		p->counters.store_restores++;
		/* Members need time to rewrite entries that the copy lacks. */
		if (p->settled_at < now + p->options.settle_time)
			p->settled_at = now + p->options.settle_time;
	}
	p->store_era = era;
}

/* Keeps members without an entry; a new era restarts their grace period. */
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
		    old->registered_primary == m->registered_primary &&
		    old->started == m->started)
			continue;
		proxy_log(out,
			  "event=member member=%s service=%s address=%s "
			  "leaving=%d primary=%d era=%llu revision=%llu",
			  m->name, m->service_name, m->address, m->leaving,
			  m->registered_primary,
			  (unsigned long long)after->at.era,
			  (unsigned long long)after->at.revision);
	}
}

static void log_withheld(const struct store_restore *r,
			 struct proxy_output *out)
{
	uint32_t i;

	for (i = 0; i < r->withheld.count; i++)
		proxy_log(out,
			  "event=member_doubted member=%s started=%llu "
			  "leaving=%d",
			  r->withheld.list[i].name,
			  (unsigned long long)r->withheld.list[i].started,
			  r->withheld.list[i].leaving);
}

/*
 * Whether a list is not newer than the one in force, or of an earlier era of
 * the store than the newest one known, which is logged.
 */
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

/* Marks the members of evacuated zones. */
static void mark_evacuated(const struct proxy *p, struct site_members *m)
{
	uint32_t i;

	for (i = 0; m && i < m->count; i++)
		m->list[i].evacuated_since =
			m->list[i].zone < ZONES_MAX
				? p->evacuation.since[m->list[i].zone]
				: 0;
}

/*
 * Sets until when members are cold. An entry that has not changed was written
 * at an unknown time: the end computed when it first arrived holds on.
 */
static void mark_cold(const struct site_members *before, struct site_members *m,
		      hm_time now, struct proxy_output *out)
{
	uint32_t i;

	for (i = 0; i < m->count; i++) {
		struct site_member *s = &m->list[i];
		const struct site_member *old =
			site_members_find(before, s->endpoint);

		if (old && old->cold_for == s->cold_for &&
		    !site_member_restarted(old, s)) {
			s->cold_until = old->cold_until;
			continue;
		}
		s->cold_until = s->cold_for ? now + s->cold_for : 0;
		if (s->cold_for)
			proxy_log(out,
				  "event=member_cold member=%s for_us=%lld",
				  s->name, (long long)s->cold_for);
	}
}

/*
 * Sets since when members leave. The list does not say when that was, and may be
 * late by seconds where the store and the peers could not be reached: it was
 * after the last time at which the list before was the newest one.
 */
static void mark_leaving(const struct proxy *p, struct site_members *m)
{
	uint32_t i;

	for (i = 0; i < m->count; i++) {
		struct site_member *s = &m->list[i];
		const struct site_member *old;

		if (!s->leaving)
			continue;
		old = site_members_find(p->members, s->endpoint);
		s->leaving_since =
			old && old->leaving && !site_member_restarted(old, s)
				? old->leaving_since
				: p->members_known.until;
	}
}

/* After an evacuation a member may be cold before its entry says so. */
static void assume_cold(const struct proxy *p, zone_set zones, hm_time now)
{
	uint32_t i;

	for (i = 0; p->members && i < p->members->count; i++) {
		struct site_member *m = &p->members->list[i];
		const struct service_spec *s =
			site_service(p->config, m->service);

		if (zones & zone_bit(m->zone) && s &&
		    m->cold_until < now + s->cold_time)
			m->cold_until = now + s->cold_time;
	}
}

/* @param before the zones that were evacuated until now */
static void evacuation_changed(struct proxy *p, zone_set before,
			       const char *source, hm_time now,
			       struct proxy_output *out)
{
	proxy_log(out,
		  "event=evacuation zones=%#x kept=%#x era=%llu revision=%llu "
		  "source=%s",
		  evacuation_zones(&p->evacuation), p->evacuation.kept,
		  (unsigned long long)p->evacuation.at.era,
		  (unsigned long long)p->evacuation.at.revision, source);
	mark_evacuated(p, p->members);
	gossip_changed(p, now);
	assume_cold(p, before & ~evacuation_zones(&p->evacuation), now);
	if (p->members)
		services_members_changed(p, now, out);
}

void member_list_evacuate_read(struct proxy *p,
			       const struct evacuation_report *r, hm_time now,
			       struct proxy_output *out)
{
	struct evacuation_report aged = *r;
	hm_time age = now - proxy_last_read(p);
	uint16_t z;

	/* At the first read a request may have been made any time ago. */
	if (!evacuation_known(&p->evacuation))
		age = p->options.evacuation_limit + HM_SEC;
	for (z = 0; z < ZONES_MAX; z++)
		aged.age[z] = age;
	member_list_evacuate(p, &aged, "store", now, out);
}

void member_list_evacuate(struct proxy *p, const struct evacuation_report *r,
			  const char *source, hm_time now,
			  struct proxy_output *out)
{
	zone_set before = evacuation_zones(&p->evacuation);

	if (evacuation_take(&p->evacuation, r, now))
		evacuation_changed(p, before, source, now, out);
}

void member_list_apply(struct proxy *p, struct site_members *m, hm_time now,
		       struct proxy_output *out)
{
	bool new_era = p->members && m->at.era > p->members->at.era;

	member_list_set_era(p, m->at.era, "members", now, out);
	if (is_outdated(p, m, out)) {
		site_members_free(m);
		return;
	}
	p->behind_since[DOCUMENT_MEMBERS] = 0;
	if (!p->members) {
		p->settled_at = now + p->options.settle_time;
		p->members_known.until = now;
	}
	if (new_era)
		store_restore_begin(&p->restore, now);
	mark_leaving(p, m);
	store_restore_filter(&p->restore, p->members, m, now);
	log_withheld(&p->restore, out);
	keep_missing(p, m, new_era, now, out);
	log_changes(p->members, m, out);
	mark_evacuated(p, m);
	mark_cold(p->members, m, now, out);
	site_members_free(p->members);
	p->members = m;
	services_members_changed(p, now, out);
}

hm_time member_list_grace(const struct proxy_options *o)
{
	return MISSING_GRACE < o->drain_limit ? MISSING_GRACE : o->drain_limit;
}

static bool drop_missing(struct proxy *p, hm_time now, struct proxy_output *out)
{
	hm_time grace = member_list_grace(&p->options);
	struct site_members *m = p->members;
	bool changed = false;
	uint32_t i;

	for (i = m ? m->count : 0; i-- > 0;) {
		if (!m->list[i].missing_since ||
		    now - m->list[i].missing_since < grace)
			continue;
		proxy_log(out, "event=member_gone member=%s", m->list[i].name);
		store_restore_departed(&p->restore, &m->list[i]);
		m->list[i] = m->list[--m->count];
		changed = true;
	}
	return changed;
}

void member_list_tick(struct proxy *p, hm_time now, struct proxy_output *out)
{
	zone_set before = evacuation_zones(&p->evacuation);
	bool changed = drop_missing(p, now, out);

	if (evacuation_tick(&p->evacuation, now))
		evacuation_changed(p, before, "keep_time", now, out);
	if (store_restore_settle(&p->restore, p->members, now)) {
		proxy_log(out, "event=members_believed count=%u",
			  p->members->count);
		mark_evacuated(p, p->members);
		changed = true;
	}
	if (changed)
		services_members_changed(p, now, out);
}
