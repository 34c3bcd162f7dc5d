/** @file metrics.c Writes counters and histograms as text. */
#include "metrics.h"

#define FIRST_BOUND (100 * (hm_time)1)

hm_time histogram_bound(uint32_t index)
{
	hm_time bound = FIRST_BOUND;

	if (index >= HISTOGRAM_BUCKETS - 1)
		return HM_NEVER;
	while (index--)
		bound += bound / 2;
	return bound;
}

void histogram_add(struct histogram *h, hm_time duration)
{
	hm_time bound = FIRST_BOUND;
	uint32_t i = 0;

	while (i < HISTOGRAM_BUCKETS - 1 && duration > bound) {
		bound += bound / 2;
		i++;
	}
	h->buckets[i]++;
	h->count++;
	h->sum += duration;
}

void metrics_family(GString *out, const char *name, const char *type,
		    const char *help)
{
	g_string_append_printf(out, "# HELP %s %s\n# TYPE %s %s\n", name, help,
			       name, type);
}

void metrics_value(GString *out, const char *name, const char *labels,
		   uint64_t value)
{
	g_string_append(out, name);
	if (labels)
		g_string_append_printf(out, "{%s}", labels);
	g_string_append_printf(out, " %" G_GUINT64_FORMAT "\n", value);
}

void metrics_single(GString *out, const char *name, const char *type,
		    const char *help, uint64_t value)
{
	metrics_family(out, name, type, help);
	metrics_value(out, name, NULL, value);
}

static void append_bound(GString *out, uint32_t index)
{
	hm_time bound = histogram_bound(index);

	if (bound == HM_NEVER)
		g_string_append(out, "+Inf");
	else
		g_string_append_printf(
			out, "%" G_GINT64_FORMAT ".%06" G_GINT64_FORMAT,
			bound / HM_SEC, bound % HM_SEC);
}

void metrics_histogram(GString *out, const char *name, const char *labels,
		       const struct histogram *h)
{
	const char *comma = *labels ? "," : "";
	uint64_t seen = 0;
	uint32_t i;

	for (i = 0; i < HISTOGRAM_BUCKETS; i++) {
		seen += h->buckets[i];
		g_string_append_printf(out, "%s_bucket{%s%sle=\"", name, labels,
				       comma);
		append_bound(out, i);
		g_string_append_printf(out, "\"} %" G_GUINT64_FORMAT "\n",
				       seen);
	}
	g_string_append_printf(out,
			       "%s_sum{%s} %" G_GINT64_FORMAT
			       ".%06" G_GINT64_FORMAT "\n"
			       "%s_count{%s} %" G_GUINT64_FORMAT "\n",
			       name, labels, h->sum / HM_SEC, h->sum % HM_SEC,
			       name, labels, h->count);
}
