/** @file keeper_rig.c A keeper by itself, and its members. */
#include "keeper_rig.h"

#include <string.h>

void keeper_rig_publish(struct keeper_rig *r)
{
	struct site_members m = { .at = { 0, 1 } };
	struct site_member list[KEEPER_RIG_MEMBERS];
	uint32_t i;

	m.list = list;
	for (i = 0; i < r->count; i++)
		list[m.count++] = r->fakes[i].spec;
	keeper_members(r->keeper, &m, r->now, &r->out);
}

void keeper_rig_open(struct keeper_rig *r)
{
	struct keeper_site site = { &r->options, &r->next_conn,
				    &r->settled_at };
	uint32_t i;

	memset(r, 0, sizeof(*r));
	proxy_options_default(&r->options);
	r->now = 100 * HM_SEC;
	r->keeper = keeper_new(5, site);
	r->text = g_string_new(NULL);
	r->count = KEEPER_RIG_MEMBERS;
	for (i = 0; i < KEEPER_RIG_MEMBERS; i++) {
		struct kept_fake *f = &r->fakes[i];

		f->spec.endpoint = i + 1;
		f->spec.service = 5;
		g_snprintf(f->spec.name, NAME_BYTES, "m%u", i + 1);
		g_strlcpy(f->spec.service_name, "db", NAME_BYTES);
		f->term = 1;
		f->pos = 100;
	}
	r->fakes[0].leads = true;
	r->fakes[0].spec.says_primary = true;
	keeper_rig_publish(r);
	keeper_start(r->keeper, r->now, &r->out);
}

void keeper_rig_close(struct keeper_rig *r)
{
	keeper_stop(r->keeper, &r->out);
	keeper_free(r->keeper);
	proxy_output_free(&r->out);
	g_string_free(r->text, TRUE);
}

static struct kept_fake *fake_named(struct keeper_rig *r, const char *name)
{
	uint32_t i;

	for (i = 0; i < KEEPER_RIG_MEMBERS; i++)
		if (!strcmp(r->fakes[i].spec.name, name))
			return &r->fakes[i];
	return NULL;
}

static struct kept_fake *fake_of_conn(struct keeper_rig *r, uint64_t conn)
{
	uint32_t i;

	for (i = 0; i < KEEPER_RIG_MEMBERS; i++)
		if (r->fakes[i].conn == conn)
			return &r->fakes[i];
	return NULL;
}

void keeper_rig_answer(struct keeper_rig *r, struct kept_fake *f,
		       const struct member_command *c)
{
	struct member_reply m = { .at = { f->term - f->fresh, f->pos } };

	if (c->kind == MEMBER_BEGIN && !f->leads)
		m.error = ERR_READ_ONLY;
	if (c->kind == MEMBER_PAUSE)
		f->held = c->term;
	if (c->kind == MEMBER_RESUME)
		f->held = 0;
	if (c->kind == MEMBER_STEP_DOWN && f->term < c->term)
		f->leads = false;
	if (c->kind == MEMBER_STEP_DOWN || c->kind == MEMBER_STATUS ||
	    c->kind == MEMBER_PAUSE || c->kind == MEMBER_RESUME) {
		m.has_status = true;
		m.status.primary = f->leads;
		m.status.term = f->term;
		m.status.received = m.at;
		m.status.paused_term = f->held;
	}
	keeper_replied(r->keeper, f->conn, &m, r->now, &r->out);
}

static void connect_fake(struct keeper_rig *r, const struct proxy_action *a)
{
	struct kept_fake *f = fake_named(r, a->member.endpoint);

	f->conn = a->member.conn;
	if (f->dark)
		return;
	if (f->dead) {
		f->conn = 0;
		keeper_closed(r->keeper, a->member.conn, ERR_NO_ENDPOINT,
			      r->now, &r->out);
		return;
	}
	keeper_ready(r->keeper, f->conn, r->now, &r->out);
}

static void run_command(struct keeper_rig *r, const struct proxy_action *a)
{
	struct kept_fake *f = fake_of_conn(r, a->member.conn);
	enum member_command_kind kind = a->member.command.kind;

	if (f && kind == MEMBER_STEP_DOWN)
		g_string_append_printf(r->text,
				       "step_down %s %" G_GUINT64_FORMAT "\n",
				       f->spec.name, a->member.command.term);
	if (f && (kind == MEMBER_PAUSE || kind == MEMBER_RESUME))
		g_string_append_printf(r->text, "%s %s\n",
				       kind == MEMBER_PAUSE ? "hold" : "resume",
				       f->spec.name);
	if (f && !f->dark && !f->dead)
		keeper_rig_answer(r, f, &a->member.command);
}

/* Performs what the keeper asked for until it asks for nothing more. */
static void perform(struct keeper_rig *r)
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
			else if (a->kind == PROXY_TAKE_TOKEN &&
				 !r->token_silent)
				keeper_token(r->keeper, ++r->token, r->now,
					     &r->out);
			else if (a->kind == PROXY_PROMOTE) {
				g_string_append_printf(
					r->text,
					"promote %s token=%" G_GUINT64_FORMAT
					"\n",
					a->duty.endpoint, a->duty.token);
				if (!r->promote_silent)
					keeper_promoted(
						r->keeper, a->duty.token,
						r->outcome, r->now, &r->out);
			}
		}
		proxy_output_free(&out);
	}
}

void keeper_rig_run(struct keeper_rig *r, hm_time span)
{
	hm_time until = r->now + span;

	for (; r->now < until; r->now += PROXY_TICK) {
		keeper_tick(r->keeper, r->now, &r->out);
		perform(r);
	}
}

/* The promotion of a member is carried out. */
void keeper_rig_lead(struct keeper_rig *r, uint32_t index)
{
	uint32_t i;

	for (i = 0; i < KEEPER_RIG_MEMBERS; i++) {
		r->fakes[i].leads = i == index;
		r->fakes[i].held = 0;
		r->fakes[i].term = 2;
	}
}

struct service_view keeper_rig_view(struct keeper_rig *r)
{
	struct service_view v = { 0 };
	uint64_t to;

	while (keeper_next_view(r->keeper, &to, &v))
		;
	return v;
}
