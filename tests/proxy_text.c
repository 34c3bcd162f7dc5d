/** @file proxy_text.c Prints the actions of a proxy as text. */
#include "proxy_text.h"

#include <check.h>

#define NUM G_GUINT64_FORMAT

static const char *const commands[MEMBER_COMMAND_COUNT] = {
	[MEMBER_BEGIN] = "begin",
	[MEMBER_BEGIN_READ] = "begin_read",
	[MEMBER_ROLLBACK] = "rollback",
	[MEMBER_RESET] = "reset",
	[MEMBER_SET] = "set",
	[MEMBER_PREPARE] = "prepare",
	[MEMBER_DEALLOCATE] = "deallocate",
	[MEMBER_STATUS] = "status",
	[MEMBER_PAUSE] = "hold",
	[MEMBER_RESUME] = "resume",
	[MEMBER_STEP_DOWN] = "step_down",
	[MEMBER_STATEMENT] = "statement",
};

static void add_command(GString *to, const struct proxy_action *a)
{
	const struct member_command *c = &a->member.command;

	g_string_append_printf(to, "%s %" NUM, commands[c->kind],
			       a->member.conn);
	if (c->kind == MEMBER_PAUSE || c->kind == MEMBER_STEP_DOWN)
		g_string_append_printf(to, " %" NUM, c->term);
	if (c->request[0])
		g_string_append_printf(to, " %s", c->request);
	if (c->min_position.term)
		g_string_append_printf(to, " after=%" NUM ".%" NUM,
				       c->min_position.term,
				       c->min_position.pos);
	if (c->name)
		g_string_append_printf(to, " %s", c->name);
	if (c->text)
		g_string_append_printf(to, " %s", c->text);
	g_string_append_c(to, '\n');
}

static void add_answer(GString *to, const struct proxy_action *a)
{
	static const char states[] = "ITE";

	g_string_append_printf(to, "answer %" NUM " %s %c", a->answer.client,
			       error_answer(a->answer.error)->code,
			       states[a->answer.state]);
	if (a->answer.signature)
		g_string_append_printf(to, " signature=%s",
				       a->answer.signature);
	if (a->answer.retry_in)
		g_string_append(to, " later");
	g_string_append_c(to, '\n');
}

static void add_action(GString *to, const struct proxy_action *a)
{
	switch (a->kind) {
	case PROXY_ANSWER:
		add_answer(to, a);
		break;
	case PROXY_CLOSE_CLIENT:
		g_string_append_printf(to, "end %" NUM "\n", a->client);
		break;
	case PROXY_CONNECT:
		g_string_append_printf(to, "connect %" NUM " %s %s\n",
				       a->member.conn, a->member.endpoint,
				       a->member.who);
		break;
	case PROXY_COMMAND:
		add_command(to, a);
		break;
	case PROXY_CLOSE_MEMBER:
		g_string_append_printf(to, "close %" NUM "\n", a->member.conn);
		break;
	case PROXY_TAKE_TOKEN:
		g_string_append_printf(to, "token %s\n", a->duty.service);
		break;
	case PROXY_PROMOTE:
		g_string_append_printf(to, "promote %s %s %" NUM "\n",
				       a->duty.service, a->duty.endpoint,
				       a->duty.token);
		break;
	case PROXY_SHARE_DOCUMENT:
		g_string_append_printf(to, "share %d\n", a->share.kind);
		break;
	case PROXY_READY:
		g_string_append_printf(to, "ready %d\n", a->ready);
		break;
	case PROXY_STOPPED:
		g_string_append(to, "stopped\n");
		break;
	case PROXY_RECORD_VOTERS:
	case PROXY_DIGESTS:
	case PROXY_LEARN_PEER:
	case PROXY_RESERVE:
	case PROXY_LOG:
		break;
	}
}

void proxy_text_lines(GString *to, const struct proxy_output *out,
		      const char *prefix)
{
	size_t i;

	for (i = 0; i < out->count; i++) {
		const struct proxy_action *a = &out->list[i];

		if (a->kind == PROXY_LOG && a->line &&
		    g_str_has_prefix(a->line, prefix))
			g_string_append_printf(to, "%s\n", a->line);
	}
}

void proxy_text(GString *to, struct proxy_output *out)
{
	size_t i;

	for (i = 0; i < out->count; i++)
		add_action(to, &out->list[i]);
	proxy_output_clear(out);
}

void proxy_text_expect(GString *text, const char *expected)
{
	ck_assert_str_eq(text->str, expected);
	g_string_truncate(text, 0);
}
