/** @file monitor_view.c Views of a service for other instances. */
#include "grow.h"
#include "monitor_state.h"

static void fill_view(struct monitor *k, struct service_view *v)
{
	struct monitored_member *primary = monitor_primary(k);
	uint32_t i;

	*v = (struct service_view){ .service = k->service, .term = k->term };
	v->primary = primary ? primary->spec.endpoint : 0;
	v->replacing = k->step >= CHANGE_CANCEL ||
		       (k->step != CHANGE_NONE && !k->planned);
	v->states_voters = true;
	v->voters = k->record.voters;
	v->committed = k->record.committed;
	v->count = k->member_count;
	for (i = 0; i < k->member_count; i++) {
		const struct monitored_member *m = &k->members[i];

		v->members[i] = (struct member_view){
			.endpoint = m->spec.endpoint,
			.up = m->up,
			.reached = m->up && m->answered,
			.primary = m == primary,
			.at = m->status.received,
			.paused_term = m->status.paused_term,
		};
	}
}

static void queue_view(struct monitor *k, uint64_t to,
		       const struct service_view *view)
{
	if (k->view_count == VIEW_REQUESTS_MAX)
		return;
	k->views = grow_list(k->views, k->view_count, &k->view_capacity,
			     sizeof(*k->views));
	k->views[k->view_count].to = to;
	k->views[k->view_count++].view = *view;
}

void monitor_broadcast_view(struct monitor *k)
{
	struct service_view v;

	fill_view(k, &v);
	queue_view(k, 0, &v);
}

bool monitor_next_view(struct monitor *k, uint64_t *to,
		       struct service_view *view)
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

/*
 * Answers the requests that arrived before the probe numbered @a probed, with
 * @a sample as the primary's confirmed position (term 0: none).
 */
static void answer_requests(struct monitor *k, uint64_t probed,
			    struct log_pos sample)
{
	struct service_view v;
	uint32_t i, kept = 0;

	fill_view(k, &v);
	v.sample = sample;
	for (i = 0; i < k->request_count; i++) {
		if (k->requests[i].order > probed) {
			k->requests[kept++] = k->requests[i];
			continue;
		}
		v.seq = k->requests[i].seq;
		queue_view(k, k->requests[i].from, &v);
	}
	k->request_count = kept;
}

/*
 * Number of the newest probe of @a primary for which it is known that, when the
 * probe was sent, no later term had acknowledged a commit; 0 if there is none.
 */
static uint64_t current_since(struct monitor *k,
			      const struct monitored_member *primary)
{
	struct term_report others[ENDPOINTS_MAX + VOTERS_MAX] = { 0 };
	uint64_t since, probed = primary->reported.probed;
	uint32_t i, n = 0;

	if (k->deps.options->guards_off & PROXY_GUARD_SUPERSEDED)
		return probed;
	for (i = 0; i < k->member_count; i++)
		if (&k->members[i] != primary)
			others[n++] = k->members[i].reported;
	/* These count as silent: one may be primary of a later term. */
	n += voters_unmonitored(k);
	since = term_check_current_since(others, n, primary->primary_pos.term,
					 k->sync_replicas > 0);
	return since < probed ? since : probed;
}

void monitor_send_confirmed(struct monitor *k)
{
	const struct monitored_member *primary = monitor_primary(k);

	if (primary && k->request_count)
		answer_requests(k, current_since(k, primary),
				primary->primary_pos);
}

void monitor_send_unconfirmed(struct monitor *k)
{
	const struct monitored_member *primary = monitor_primary(k);

	answer_requests(k, primary ? primary->reported.probed : k->order,
			(struct log_pos){ 0 });
}

void monitor_request_view(struct monitor *k, uint64_t from, uint64_t seq)
{
	uint32_t i;

	if (!k->active)
		return;
	for (i = 0; i < k->request_count; i++)
		if (k->requests[i].from == from)
			break;
	if (i == VIEW_REQUESTS_MAX)
		return;
	k->requests = grow_list(k->requests, i, &k->request_capacity,
				sizeof(*k->requests));
	k->requests[i] = (struct pending_request){ from, seq, ++k->order };
	if (i == k->request_count)
		k->request_count++;
}
