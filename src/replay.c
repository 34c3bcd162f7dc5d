/** @file replay.c Replays traces. */
#include "replay.h"

#include <stdlib.h>
#include <string.h>

#include "trace_event.h"

#define DIFFERENCES_SHOWN 10

/** State of one replay. */
struct replay {
	const char *file;
	guint line;
	struct core *core;
	struct actions actions;
	char *actual;	   /**< actions of the last event; NULL when none */
	guint actual_line; /**< line of that event; 0 once it is compared */
	uint64_t events;
	uint64_t action_lines;
	uint64_t differences;
	GString *updated; /**< the trace with the new actions, or NULL */
	GString *out;	  /**< the report */
};

static bool report_damage(struct replay *r, const char *fault)
{
	g_string_append_printf(r->out, "%s:%u: %s\n", r->file, r->line, fault);
	return false;
}

static void report_difference(struct replay *r, const char *expected)
{
	r->differences++;
	if (r->differences > DIFFERENCES_SHOWN)
		return;
	g_string_append_printf(r->out, "%s:%u: expected %s\n", r->file,
			       r->actual_line,
			       expected ? expected : "no actions");
	g_string_append_printf(r->out, "%s:%u: got %s\n", r->file,
			       r->actual_line,
			       r->actual ? r->actual : "no actions");
}

/*
 * Compares the actions of the last event with those in the trace; @a expected
 * is NULL when the trace has none.
 */
static void compare(struct replay *r, const char *expected)
{
	if (g_strcmp0(expected, r->actual) != 0)
		report_difference(r, expected);
	free(r->actual);
	r->actual = NULL;
}

static void append_updated(struct replay *r, const char *text)
{
	if (r->updated && text)
		g_string_append_printf(r->updated, "%s\n", text);
}

static bool feed_header(struct replay *r, json_t *json)
{
	char fault[CODEC_FAULT_BYTES];
	struct core_options options;
	hm_time start = 0;

	if (!trace_header_read(json, &options, &start, fault))
		return report_damage(r, fault);
	if (!options.zone_count || options.zone_count > ZONES_MAX ||
	    options.zone >= options.zone_count)
		return report_damage(r, "options: zones are out of range");
	r->core = core_new(&options, start);
	return r->core ? true : report_damage(r, "options: not usable");
}

static bool feed_event(struct replay *r, json_t *json)
{
	char fault[CODEC_FAULT_BYTES];
	struct trace_step step;
	bool ok = trace_step_read(json, &step, fault);

	if (ok) {
		core_step(r->core, &step.event, step.at, &r->actions);
		r->actual = trace_actions_text(&r->actions, NULL);
		r->actual_line = r->line;
		actions_clear(&r->actions);
		append_updated(r, r->actual);
		r->events++;
	} else {
		report_damage(r, fault);
	}
	trace_step_clear(&step);
	return ok;
}

/*
 * Handles one line. The first line is the header. Each event line is followed
 * by a line of actions unless the event caused none.
 */
static bool feed_line(struct replay *r, const char *text, json_t *json)
{
	if (!json_is_object(json))
		return report_damage(r, "not a JSON object");
	if (json_object_get(json, "actions")) {
		r->action_lines++;
		if (!r->actual_line)
			return report_damage(r, "actions without an event");
		compare(r, text);
		r->actual_line = 0;
		return true;
	}
	if (r->actual_line)
		compare(r, NULL);
	r->actual_line = 0;
	append_updated(r, text);
	if (r->core)
		return feed_event(r, json);
	return feed_header(r, json);
}

static bool feed_lines(struct replay *r, char **lines)
{
	json_t *json;
	bool ok = true;

	for (r->line = 1; ok && lines[r->line - 1]; r->line++) {
		const char *text = lines[r->line - 1];

		if (!text[0] && !lines[r->line])
			break;
		json = json_loads(text, JSON_REJECT_DUPLICATES, NULL);
		ok = feed_line(r, text, json);
		json_decref(json);
	}
	if (ok && !r->core)
		ok = report_damage(r, "no header");
	if (ok && r->actual_line)
		compare(r, NULL);
	return ok;
}

enum replay_outcome replay_text(const char *file, const char *text,
				GString *updated, GString *out)
{
	struct replay r = { .file = file, .updated = updated, .out = out };
	char **lines = g_strsplit(text, "\n", -1);
	bool ok = feed_lines(&r, lines);

	if (ok)
		g_string_append_printf(
			out,
			"%s: %" G_GUINT64_FORMAT " events, %" G_GUINT64_FORMAT
			" with actions, %" G_GUINT64_FORMAT " differ\n",
			file, r.events, r.action_lines, r.differences);
	free(r.actual);
	actions_free(&r.actions);
	core_free(r.core);
	g_strfreev(lines);
	if (!ok)
		return REPLAY_DAMAGED;
	return r.differences ? REPLAY_DIFFERS : REPLAY_SAME;
}

enum replay_outcome replay_file(const char *file, bool update, GString *out)
{
	GString *updated = update ? g_string_new(NULL) : NULL;
	enum replay_outcome outcome = REPLAY_UNREADABLE;
	char *text = NULL;

	if (!g_file_get_contents(file, &text, NULL, NULL)) {
		g_string_append_printf(out, "%s: cannot be read\n", file);
		goto done;
	}
	outcome = replay_text(file, text, updated, out);
	if (!update || outcome != REPLAY_DIFFERS)
		goto done;
	if (g_file_set_contents(file, updated->str, (gssize)updated->len, NULL))
		g_string_append_printf(out, "%s: updated\n", file);
	else
		outcome = REPLAY_UNREADABLE;
done:
	if (updated)
		g_string_free(updated, TRUE);
	g_free(text);
	return outcome;
}
