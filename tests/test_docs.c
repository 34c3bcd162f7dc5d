/** @file test_docs.c Compares the tables of the documentation with the code. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "../src/fields.h"
#include "../src/proxy_settings.h"
#include "../src/reply.h"
#include "suite.h"

G_GNUC_NO_INLINE static char *read_file(const char *file)
{
	char *text = NULL;

	ck_assert_msg(g_file_get_contents(file, &text, NULL, NULL), "%s", file);
	return text;
}

static void assert_row(const char *text, const char *row)
{
	ck_assert_msg(strstr(text, row) != NULL, "missing: %s", row);
}

/* Counts table rows with @a columns cells whose first cell is code. */
static guint count_rows(const char *text, guint columns)
{
	char **lines = g_strsplit(text, "\n", -1);
	guint count = 0, i;

	for (i = 0; lines[i]; i++) {
		char **cells = g_strsplit(lines[i], " | ", -1);

		if (g_str_has_prefix(lines[i], "| `") &&
		    g_strv_length(cells) == columns)
			count++;
		g_strfreev(cells);
	}
	g_strfreev(lines);
	return count;
}

START_TEST(error_table)
{
	char *text = read_file("docs/API.md");
	char *errors = strstr(text, "## Errors");
	int i;

	ck_assert_ptr_nonnull(errors);
	for (i = ERR_NONE + 1; i < ERR_COUNT; i++) {
		const struct error_answer *a = error_answer((enum error)i);
		char *row = g_strdup_printf("\n| `%s` | %d | %s | %s | %s |\n",
					    a->code, a->status,
					    execution_name(a->execution),
					    advice_name(a->retry), a->text);

		assert_row(errors, row);
		g_free(row);
	}
	ck_assert_uint_eq(count_rows(errors, 5), ERR_COUNT - 1);
	g_free(text);
}
END_TEST

/* Default of a numeric setting, as the settings file would give it. */
static gint64 default_value(const struct settings *s, const struct field *f)
{
	const char *at = (const char *)s + f->at;
	uint32_t count;
	hm_time time;

	if (f->kind == FIELD_COUNT) {
		memcpy(&count, at, sizeof(count));
		return count;
	}
	memcpy(&time, at, sizeof(time));
	return time / HM_MS;
}

START_TEST(settings_table)
{
	char *text = read_file("docs/SETTINGS.md");
	const struct field *fields;
	struct settings s;
	size_t count, i;
	char *row;

	settings_default(&s);
	fields = settings_fields(&count);
	for (i = 0; i < count; i++) {
		const struct field *f = &fields[i];

		if (f->kind == FIELD_COUNT || f->kind == FIELD_MS)
			row = g_strdup_printf(
				"\n| `%s` | integer | %" G_GINT64_FORMAT
				" | %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT
				" |\n",
				f->path, default_value(&s, f), f->least,
				f->most);
		else
			row = g_strdup_printf("\n| `%s` | ", f->path);
		assert_row(text, row);
		g_free(row);
	}
	ck_assert_uint_eq(count_rows(text, 4), count);
	g_free(text);
}
END_TEST

START_TEST(proxy_settings_table)
{
	char *text = read_file("docs/SETTINGS.md");
	const struct field *fields;
	size_t count, i;
	char *row, *at;

	at = strstr(text, "## Settings of a proxy");
	ck_assert_ptr_nonnull(at);
	fields = proxy_settings_fields(&count);
	for (i = 0; i < count; i++) {
		row = g_strdup_printf("\n| `%s` | ", fields[i].path);
		assert_row(at, row);
		g_free(row);
	}
	ck_assert_uint_eq(count_rows(at, 3), count);
	g_free(text);
}
END_TEST

START_TEST(unknown_outcome_is_not_retried)
{
	struct result r = { 0 };
	int i;

	for (i = ERR_NONE + 1; i < ERR_COUNT; i++) {
		r.error = (enum error)i;
		r.execution = EXEC_UNKNOWN;
		ck_assert(reply_advice(&r) == RETRY_CHECK_FIRST ||
			  reply_advice(&r) == RETRY_NEVER);
		r.execution = EXEC_NOT_RUN;
		ck_assert(reply_advice(&r) == error_answer(r.error)->retry);
	}
}
END_TEST

START_TEST(retry_time_is_rounded_up)
{
	ck_assert_int_eq(reply_retry_ms(1001 * HM_MS + 1, HM_MS), 1001);
	ck_assert_int_eq(reply_retry_ms(1000 * HM_MS, 0), 1000);
	ck_assert_int_eq(reply_retry_ms(5, 9), 1);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("docs");

	tcase_add_test(tc, error_table);
	tcase_add_test(tc, settings_table);
	tcase_add_test(tc, proxy_settings_table);
	tcase_add_test(tc, unknown_outcome_is_not_retried);
	tcase_add_test(tc, retry_time_is_rounded_up);
	return suite_run("docs", tc);
}
