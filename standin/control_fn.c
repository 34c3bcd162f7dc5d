/**
 * @file control_fn.c
 * Control functions of a stand-in member: hm_state(), hm_fence(term,
 * requester), hm_promote(term, requester), hm_follow(term, requester, target),
 * hm_home(incarnation, expected), which sets the owner, and hm_cancel(pid).
 * Terms and process numbers are decimal, incarnations and targets hexadecimal.
 */
#include <string.h>

#include "session.h"

#define ARGS_MAX 3

struct control_args {
	uint32_t count;
	char text[ARGS_MAX][32];
};

typedef bool (*control_handler)(struct session *s,
				const struct control_args *args, hm_time now);

static uint64_t decimal(const char *text)
{
	return g_ascii_strtoull(text, NULL, 10);
}

static uint64_t hexadecimal(const char *text)
{
	return g_ascii_strtoull(text, NULL, 16);
}

static bool state(struct session *s, const struct control_args *args,
		  hm_time now)
{
	(void)s;
	(void)args;
	(void)now;
	return true;
}

static bool fence(struct session *s, const struct control_args *args,
		  hm_time now)
{
	(void)now;
	return memlog_fence(&s->node->log, decimal(args->text[0]),
			    hexadecimal(args->text[1]));
}

static bool promote(struct session *s, const struct control_args *args,
		    hm_time now)
{
	return memlog_promote(&s->node->log, decimal(args->text[0]),
			      hexadecimal(args->text[1]), now);
}

static bool follow(struct session *s, const struct control_args *args,
		   hm_time now)
{
	return node_follow(s->node, decimal(args->text[0]),
			   hexadecimal(args->text[1]),
			   hexadecimal(args->text[2]), now);
}

static bool set_owner(struct session *s, const struct control_args *args,
		      hm_time now)
{
	return node_set_owner(s->node, hexadecimal(args->text[0]),
			      hexadecimal(args->text[1]), now);
}

static bool cancel(struct session *s, const struct control_args *args,
		   hm_time now)
{
	uint64_t pid = decimal(args->text[0]);
	struct session *other = node_session(s->node, (uint32_t)pid);

	if (!other)
		return false;
	statement_cancel(other, now);
	return true;
}

static const struct {
	const char *name;
	uint32_t args;
	bool effect;
	control_handler handler;
} functions[] = {
	{ "hm_state", 0, false, state },    { "hm_fence", 2, true, fence },
	{ "hm_promote", 2, true, promote }, { "hm_follow", 3, true, follow },
	{ "hm_home", 2, true, set_owner },  { "hm_cancel", 1, false, cancel },
};

static const char *skip(const char *at, const char *what)
{
	return at + strspn(at, what);
}

/* Parses arguments in parentheses; quotes and blanks are dropped. */
static bool parse_args(const char *at, struct control_args *out)
{
	size_t bytes;

	out->count = 0;
	at = skip(at, " ");
	if (*at++ != '(')
		return false;
	for (at = skip(at, " ',"); *at && *at != ')'; at = skip(at, " ',")) {
		bytes = strcspn(at, " ',)");
		if (out->count == ARGS_MAX || bytes >= sizeof(out->text[0]))
			return false;
		memcpy(out->text[out->count], at, bytes);
		out->text[out->count++][bytes] = 0;
		at += bytes;
	}
	return *at == ')' && !*skip(at + 1, " ;\n");
}

static void write_lineage(GString *row, const struct lineage *lineage)
{
	uint32_t i;

	for (i = 0; i < lineage->count; i++)
		g_string_append_printf(
			row, "%s[%" G_GUINT64_FORMAT ",%" G_GUINT64_FORMAT "]",
			i ? "," : "", lineage->begin[i].term,
			lineage->begin[i].pos);
}

static void write_state(GString *row, const struct endpoint_state *e)
{
	const char *role = e->role == ROLE_PRIMARY ? "primary" : "replica";

	g_string_append_printf(row,
			       "{\"refused\":%s,\"role\":\"%s\","
			       "\"promised\":%" G_GUINT64_FORMAT ","
			       "\"promised_by\":\"%016" G_GINT64_MODIFIER "x\","
			       "\"at\":[%" G_GUINT64_FORMAT
			       ",%" G_GUINT64_FORMAT "],\"lineage\":[",
			       e->refused ? "true" : "false", role, e->promised,
			       e->promised_by, e->at.term, e->at.pos);
	write_lineage(row, &e->lineage);
	g_string_append_printf(row,
			       "],\"home\":\"%016" G_GINT64_MODIFIER "x\","
			       "\"home_idle\":%" G_GINT64_FORMAT "}",
			       e->owner, e->owner_idle);
}

enum control_fn control_fn_run(struct session *s, const char *sql, GString *row,
			       bool *effect, hm_time now)
{
	const char *name = skip(sql, " \n\t");
	struct control_args args;
	struct endpoint_state e;
	bool accepted;
	size_t i, bytes;

	if (g_ascii_strncasecmp(name, "select ", 7) != 0)
		return CONTROL_FN_NONE;
	name = skip(name + 7, " ");
	bytes = strcspn(name, " (");
	for (i = 0; i < G_N_ELEMENTS(functions); i++)
		if (strlen(functions[i].name) == bytes &&
		    !strncmp(functions[i].name, name, bytes))
			break;
	if (i == G_N_ELEMENTS(functions))
		return CONTROL_FN_NONE;
	if (!parse_args(name + bytes, &args) || args.count != functions[i].args)
		return CONTROL_FN_ERROR;
	accepted = functions[i].handler(s, &args, now);
	node_state(s->node, now, &e);
	e.refused = !accepted;
	write_state(row, &e);
	*effect = functions[i].effect;
	return CONTROL_FN_DONE;
}
