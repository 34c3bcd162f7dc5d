/** @file script.c Runs test scripts. */
#include "script.h"

#include <string.h>

static gboolean is_command(const char *line)
{
	return line[0] == '>';
}

static gboolean is_comment(const char *line)
{
	return line[0] == '#' || line[0] == '\0';
}

static char *mismatch(const char *file, guint line, const char *want,
		      const char *got)
{
	return g_strdup_printf("%s:%u:\n--- expected\n%s--- got\n%s", file,
			       line, want, got);
}

/* Expected output below the command at line i; sets *next to the line after. */
static GString *expected_below(char **lines, guint i, guint *next)
{
	GString *want = g_string_new(NULL);

	for (i++; lines[i] && !is_command(lines[i]); i++)
		if (!is_comment(lines[i]))
			g_string_append_printf(want, "%s\n", lines[i]);
	*next = i;
	return want;
}

char *script_run(const char *file, script_command command, void *context)
{
	char *fault = NULL;
	char *text = NULL;
	char **lines = NULL;
	guint i, next;

	if (!g_file_get_contents(file, &text, NULL, NULL))
		return g_strdup_printf("%s: cannot be read", file);
	lines = g_strsplit(text, "\n", -1);
	for (i = 0; lines[i] && !fault; i = next) {
		GString *want = expected_below(lines, i, &next);
		GString *got = g_string_new(NULL);

		if (is_command(lines[i]))
			command(context, g_strstrip(lines[i] + 1), got);
		if (is_command(lines[i]) && strcmp(want->str, got->str) != 0)
			fault = mismatch(file, i + 1, want->str, got->str);
		g_string_free(want, TRUE);
		g_string_free(got, TRUE);
	}
	g_strfreev(lines);
	g_free(text);
	return fault;
}

char *script_arg(const char *line, const char *name)
{
	char **words = g_strsplit(line, " ", -1);
	size_t bytes = strlen(name);
	char *value = NULL;
	guint i;

	for (i = 0; words[i] && !value; i++)
		if (!strncmp(words[i], name, bytes) && words[i][bytes] == '=')
			value = g_strdup(words[i] + bytes + 1);
	g_strfreev(words);
	return value;
}

gint64 script_int(const char *line, const char *name, gint64 missing)
{
	char *value = script_arg(line, name);
	gint64 n = value ? g_ascii_strtoll(value, NULL, 0) : missing;

	g_free(value);
	return n;
}
