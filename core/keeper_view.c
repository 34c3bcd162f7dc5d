/** @file keeper_view.c Views of a service for those who want one. */
#include "keeper_state.h"

static void fill_view(struct keeper *k, struct service_view *v)
{
	struct kept_member *primary = kept_primary(k);
	uint32_t i;

	*v = (struct service_view){ .service = k->service, .term = k->term };
	v->primary = primary ? primary->spec.endpoint : 0;
	v->replacing = k->step == CHANGE_CANCEL ||
		       (k->step != CHANGE_NONE && !k->planned);
	v->count = k->member_count;
	for (i = 0; i < k->member_count; i++) {
		const struct kept_member *m = &k->members[i];

		v->members[i] = (struct member_view){
			.endpoint = m->spec.endpoint,
			.up = m->up,
			.reached = m->up && m->answered,
			.primary = m == primary,
			.at = m->status.received,
			.held = m->status.held,
		};
	}
}

static void queue_view(struct keeper *k, uint64_t to,
		       const struct service_view *view)
{
	if (k->view_count == WANTS_MAX)
		return;
	k->views[k->view_count].to = to;
	k->views[k->view_count++].view = *view;
}

void keeper_announce(struct keeper *k)
{
	struct service_view v;

	fill_view(k, &v);
	queue_view(k, 0, &v);
}

bool keeper_next_view(struct keeper *k, uint64_t *to, struct service_view *view)
{
	if (k->view_first == k->view_count) {
		k->view_first = 0;
		k->view_count = 0;
		return false;
	}
	*to = k->views[k->view_first].to;
	*view = k->views[k->view_first++].view;
	return true;
}

/* Answers the wants that came before a question. */
static void answer_wants(struct keeper *k, uint64_t asked,
			 struct log_pos sample)
{
	struct service_view v;
	uint32_t i, kept = 0;

	fill_view(k, &v);
	v.sample = sample;
	for (i = 0; i < k->want_count; i++) {
		if (k->wants[i].order > asked) {
			k->wants[kept++] = k->wants[i];
			continue;
		}
		v.seq = k->wants[i].seq;
		queue_view(k, k->wants[i].from, &v);
	}
	k->want_count = kept;
}

/* Newest question since which the primary led alone, 0 for none. */
static uint64_t stood_since(const struct keeper *k,
			    const struct kept_member *primary)
{
	struct standing_answer others[ENDPOINTS_MAX + DEPARTED_MAX] = { 0 };
	uint64_t since, asked = primary->shown.asked;
	uint32_t i, n = 0;

	if (k->site.options->guards_off & PROXY_GUARD_STANDING)
		return asked;
	for (i = 0; i < k->member_count; i++)
		if (&k->members[i] != primary)
			others[n++] = k->members[i].shown;
	/* Those that are gone answer nothing, and may lead elsewhere. */
	n += k->departed_count;
	since = standing_since(others, n, primary->lead_at.term, k->sync);
	return since < asked ? since : asked;
}

void keeper_answer_proved(struct keeper *k)
{
	const struct kept_member *primary = kept_primary(k);

	if (primary && k->want_count)
		answer_wants(k, stood_since(k, primary), primary->lead_at);
}

void keeper_answer_unproved(struct keeper *k)
{
	const struct kept_member *primary = kept_primary(k);

	answer_wants(k, primary ? primary->shown.asked : k->order,
		     (struct log_pos){ 0 });
}

void keeper_want(struct keeper *k, uint64_t from, uint64_t seq)
{
	uint32_t i;

	if (!k->active)
		return;
	for (i = 0; i < k->want_count; i++)
		if (k->wants[i].from == from)
			break;
	if (i == WANTS_MAX)
		return;
	k->wants[i] = (struct want){ from, seq, ++k->order };
	if (i == k->want_count)
		k->want_count++;
}
