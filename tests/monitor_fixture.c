/** @file monitor_fixture.c A monitor and its simulated members. */
#include "monitor_fixture.h"

#include <string.h>

void monitor_fixture_publish(struct monitor_fixture *r)
{
	struct site_members m = { .at = { 0, 1 } };
	struct site_member list[MONITOR_FIXTURE_MEMBERS];
	uint32_t i;

	m.list = list;
	for (i = 0; i < r->count; i++) {
		struct site_member *spec = &r->fakes[i].spec;

		if (spec->leaving && !spec->leaving_since)
			spec->leaving_since = r->now;
		list[m.count++] = *spec;
	}
	monitor_set_members(r->monitor, &m, r->now, &r->out);
}

static void start_monitor(struct monitor_fixture *r)
{
	struct monitor_deps deps = { &r->options, &r->next_conn, &r->settled_at,
				     &r->store_era, &r->members_current_at };

	r->monitor = monitor_new(5, deps);
	monitor_fixture_publish(r);
	monitor_start(r->monitor, r->now, &r->out);
}

void monitor_fixture_restart(struct monitor_fixture *r)
{
	uint32_t i;

	monitor_free(r->monitor);
	proxy_output_clear(&r->out);
	for (i = 0; i < MONITOR_FIXTURE_MEMBERS; i++)
		r->fakes[i].conn = 0;
	start_monitor(r);
}

bool monitor_fixture_is_voter(const struct monitor_fixture *r, uint32_t index)
{
	const struct site_member *m = &r->fakes[index].spec;

	return voters_have(&r->record.voters, m->endpoint, m->started);
}

void monitor_fixture_open(struct monitor_fixture *r)
{
	uint32_t i;

	memset(r, 0, sizeof(*r));
	proxy_options_default(&r->options);
	r->now = 100 * HM_SEC;
	r->record.voters.at.revision = 1;
	r->record.committed = true;
	r->text = g_string_new(NULL);
	r->log = g_string_new(NULL);
	r->count = MONITOR_FIXTURE_MEMBERS;
	for (i = 0; i < MONITOR_FIXTURE_MEMBERS; i++) {
		struct monitored_fake *f = &r->fakes[i];

		f->spec.endpoint = i + 1;
		f->spec.service = 5;
		g_snprintf(f->spec.name, NAME_BYTES, "m%u", i + 1);
		g_strlcpy(f->spec.service_name, "db", NAME_BYTES);
		g_snprintf(f->spec.address, ADDRESS_BYTES, "10.0.0.%u:1",
			   i + 1);
		f->spec.started = 1;
		f->term = 1;
		f->pos = 100;
		voter_record_add(&r->record, f->spec.endpoint, f->spec.started,
				 f->spec.name, f->spec.address);
	}
	r->fakes[0].writable = true;
	r->fakes[0].spec.registered_primary = true;
	start_monitor(r);
}

void monitor_fixture_close(struct monitor_fixture *r)
{
	monitor_stop(r->monitor, &r->out);
	monitor_free(r->monitor);
	proxy_output_free(&r->out);
	g_string_free(r->text, TRUE);
	g_string_free(r->log, TRUE);
}

static struct monitored_fake *fake_by_name(struct monitor_fixture *r,
					   const char *name)
{
	uint32_t i;

	for (i = 0; i < MONITOR_FIXTURE_MEMBERS; i++)
		if (!strcmp(r->fakes[i].spec.name, name))
			return &r->fakes[i];
	return NULL;
}

static struct monitored_fake *fake_by_conn(struct monitor_fixture *r,
					   uint64_t conn)
{
	uint32_t i;

	for (i = 0; i < MONITOR_FIXTURE_MEMBERS; i++)
		if (r->fakes[i].conn == conn)
			return &r->fakes[i];
	return NULL;
}

void monitor_fixture_reply(struct monitor_fixture *r, struct monitored_fake *f,
			   const struct member_command *c)
{
	struct member_reply m = { .at = { f->term - f->no_commit, f->pos } };

	if (c->kind == MEMBER_BEGIN && !f->writable)
		m.error = ERR_READ_ONLY;
	if (c->kind == MEMBER_PAUSE)
		f->paused_term = c->term;
	if (c->kind == MEMBER_RESUME)
		f->paused_term = 0;
	if (c->kind == MEMBER_STEP_DOWN && f->term < c->term)
		f->writable = false;
	if (c->kind == MEMBER_STEP_DOWN || c->kind == MEMBER_STATUS ||
	    c->kind == MEMBER_PAUSE || c->kind == MEMBER_RESUME) {
		m.has_status = true;
		m.status.primary = f->writable;
		m.status.term = f->term;
		m.status.received = m.at;
		m.status.paused_term = f->paused_term;
	}
	monitor_replied(r->monitor, f->conn, &m, r->now, &r->out);
}

static void connect_fake(struct monitor_fixture *r,
			 const struct proxy_action *a)
{
	struct monitored_fake *f = fake_by_name(r, a->member.endpoint);

	f->conn = a->member.conn;
	if (f->silent)
		return;
	if (f->refuses) {
		f->conn = 0;
		monitor_conn_closed(r->monitor, a->member.conn, ERR_NO_ENDPOINT,
				    r->now, &r->out);
		return;
	}
	monitor_conn_ready(r->monitor, f->conn, r->now, &r->out);
}

static void run_command(struct monitor_fixture *r, const struct proxy_action *a)
{
	struct monitored_fake *f = fake_by_conn(r, a->member.conn);
	enum member_command_kind kind = a->member.command.kind;

	if (f && kind == MEMBER_STEP_DOWN)
		g_string_append_printf(r->text,
				       "step_down %s %" G_GUINT64_FORMAT "\n",
				       f->spec.name, a->member.command.term);
	if (f && (kind == MEMBER_PAUSE || kind == MEMBER_RESUME))
		g_string_append_printf(r->text, "%s %s\n",
				       kind == MEMBER_PAUSE ? "pause"
							    : "resume",
				       f->spec.name);
	if (f && !f->silent && !f->refuses)
		monitor_fixture_reply(r, f, &a->member.command);
}

/* Takes a token, and with it the record, in one write. */
static void take_token(struct monitor_fixture *r, const struct proxy_action *a)
{
	if (!voters_known(&r->record.voters))
		r->record = *a->duty.record;
	r->record.token = ++r->token;
	r->record.was_changing = r->record.changing;
	r->record.changing = true;
	r->record.voters.at.revision++;
	monitor_token_taken(r->monitor, r->token, &r->record, r->now, &r->out);
}

/* Writes the record that the action brings, if none was written meanwhile. */
static void record_voters(struct monitor_fixture *r,
			  const struct proxy_action *a)
{
	const struct voter_record *next = a->duty.record;

	r->record_calls++;
	if (r->record_silent)
		return;
	if (next &&
	    !store_version_compare(next->voters.at, r->record.voters.at)) {
		r->record = *next;
		r->record.voters.at.revision++;
	}
	monitor_voters_recorded(r->monitor, &r->record, r->now, &r->out);
}

/* Performs the actions of the monitor until there are none left. */
static void perform(struct monitor_fixture *r)
{
	struct proxy_output out;
	size_t i;

	while (r->out.count) {
		out = r->out;
		r->out = (struct proxy_output){ 0 };
		for (i = 0; i < out.count; i++) {
			const struct proxy_action *a = &out.list[i];

			if (a->kind == PROXY_CONNECT)
				connect_fake(r, a);
			else if (a->kind == PROXY_COMMAND)
				run_command(r, a);
			else if (a->kind == PROXY_LOG)
				g_string_append_printf(r->log, "%s\n", a->line);
			else if (a->kind == PROXY_TAKE_TOKEN &&
				 !r->token_silent)
				take_token(r, a);
			else if (a->kind == PROXY_RECORD_VOTERS)
				record_voters(r, a);
			else if (a->kind == PROXY_PROMOTE) {
				g_string_append_printf(
					r->text,
					"promote %s token=%" G_GUINT64_FORMAT
					"\n",
					a->duty.endpoint, a->duty.token);
				if (!r->promote_silent)
					monitor_promote_result(
						r->monitor, a->duty.token,
						r->outcome, r->now, &r->out);
			}
		}
		proxy_output_free(&out);
	}
}

void monitor_fixture_run(struct monitor_fixture *r, hm_time span)
{
	hm_time until = r->now + span;

	for (; r->now < until; r->now += PROXY_TICK) {
		if (!r->members_outdated)
			r->members_current_at = r->now;
		monitor_tick(r->monitor, r->now, &r->out);
		perform(r);
	}
}

void monitor_fixture_crash(struct monitor_fixture *r, uint32_t index)
{
	r->fakes[index].refuses = true;
	monitor_conn_closed(r->monitor, r->fakes[index].conn, ERR_NO_ENDPOINT,
			    r->now, &r->out);
}

void monitor_fixture_rename(struct monitor_fixture *r, uint32_t index,
			    const char *name)
{
	struct site_member *spec = &r->fakes[index].spec;

	spec->endpoint += 100;
	spec->started++;
	g_strlcpy(spec->name, name, NAME_BYTES);
}

void monitor_fixture_promote(struct monitor_fixture *r, uint32_t index)
{
	uint32_t i;

	for (i = 0; i < MONITOR_FIXTURE_MEMBERS; i++) {
		r->fakes[i].writable = i == index;
		r->fakes[i].paused_term = 0;
		r->fakes[i].term = 2;
	}
}

struct service_view monitor_fixture_view(struct monitor_fixture *r)
{
	struct service_view v = { 0 };
	uint64_t to;

	while (monitor_next_view(r->monitor, &to, &v))
		;
	return v;
}
