/** @file raw_values.c Values that are returned byte for byte. */
#include "raw_values.h"

#include <string.h>

static char *string_for(guint index)
{
	return g_strdup_printf("\"raw-value-%u\"", index);
}

char *raw_values_add(GPtrArray *values, const char *raw)
{
	g_ptr_array_add(values, g_strdup(raw));
	return string_for(values->len - 1);
}

char *raw_values_insert(const GPtrArray *values, char *answer)
{
	guint i;

	for (i = 0; i < values->len; i++) {
		char *string = string_for(i);
		char **parts = g_strsplit(answer, string, -1);

		g_free(answer);
		answer = g_strjoinv(g_ptr_array_index(values, i), parts);
		g_strfreev(parts);
		g_free(string);
	}
	return answer;
}
