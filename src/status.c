/** @file status.c Writes metrics as text and JSON from one table of fields. */
#include "status.h"

#include <glib.h>
#include <jansson.h>
#include <stddef.h>

#include "log.h"

enum field_type { FIELD_U32, FIELD_U64 };

static const struct field {
	const char *name;
	const char *type; /* metric type: gauge or counter */
	enum field_type size;
	size_t offset;
} fields[] = {
#define CORE(name, type, size)                                        \
	{                                                             \
#name, type, size, offsetof(struct status, core.name) \
	}
	CORE(contracts, "gauge", FIELD_U32),
	CORE(databases, "gauge", FIELD_U32),
	CORE(peers_alive, "gauge", FIELD_U32),
	CORE(waiting, "gauge", FIELD_U32),
	CORE(in_flight, "gauge", FIELD_U32),
	CORE(queued, "gauge", FIELD_U32),
	CORE(transactions, "gauge", FIELD_U32),
	CORE(connections, "gauge", FIELD_U32),
	CORE(config_version, "gauge", FIELD_U64),
	CORE(answered, "counter", FIELD_U64),
	CORE(reads_replica, "counter", FIELD_U64),
	CORE(reads_primary, "counter", FIELD_U64),
	CORE(promotions, "counter", FIELD_U64),
	CORE(evacuated_zones, "gauge", FIELD_U32),
#undef CORE
	{ "bodies", "gauge", FIELD_U32, offsetof(struct status, bodies) },
	{ "peer_dropped", "counter", FIELD_U64,
	  offsetof(struct status, peer_dropped) },
	{ "platform_calls", "counter", FIELD_U64,
	  offsetof(struct status, platform_calls) },
};

static uint64_t field_value(const struct status *s, const struct field *f)
{
	const char *at = (const char *)s + f->offset;

	if (f->size == FIELD_U32)
		return *(const uint32_t *)(const void *)at;
	return *(const uint64_t *)(const void *)at;
}

char *status_metrics(const struct status *s)
{
	GString *out = g_string_new(NULL);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(fields); i++) {
		const struct field *f = &fields[i];

		g_string_append_printf(out, "# TYPE hyssopmount_%s %s\n",
				       f->name, f->type);
		g_string_append_printf(out,
				       "hyssopmount_%s %" G_GUINT64_FORMAT "\n",
				       f->name, field_value(s, f));
	}
	g_string_append(out, "# TYPE hyssopmount_answers counter\n");
	for (i = 0; i < ERR_COUNT; i++)
		g_string_append_printf(
			out,
			"hyssopmount_answers{kind=\"%s\"} %" G_GUINT64_FORMAT
			"\n",
			error_answer((enum error)i)->code, s->core.errors[i]);
	g_string_append_printf(out,
			       "# TYPE hyssopmount_log_dropped counter\n"
			       "hyssopmount_log_dropped %" G_GUINT64_FORMAT
			       "\n",
			       log_dropped());
	return g_string_free(out, FALSE);
}

/* Names of the evacuated zones. */
static json_t *evacuated_names(const struct status *s,
			       const struct settings *settings)
{
	json_t *names = json_array();
	uint16_t z;

	for (z = 0; z < settings->core.zone_count; z++)
		if (s->core.evacuated_zones & zone_bit(z))
			json_array_append_new(names,
					      json_string(settings->zones[z]));
	return names;
}

char *status_json(const struct status *s, const struct settings *settings)
{
	json_t *root = json_object();
	json_t *errors = json_object();
	char digest[17];
	char *text;
	size_t i;

	g_snprintf(digest, sizeof(digest), "%016" G_GINT64_MODIFIER "x",
		   s->core.config_digest);
	json_object_set_new(root, "instance", json_string(settings->instance));
	json_object_set_new(root, "zone", json_string(settings->zone));
	json_object_set_new(root, "config_digest", json_string(digest));
	for (i = 0; i < G_N_ELEMENTS(fields); i++)
		json_object_set_new(
			root, fields[i].name,
			json_integer((json_int_t)field_value(s, &fields[i])));
	for (i = 1; i < ERR_COUNT; i++)
		json_object_set_new(
			errors, error_answer((enum error)i)->code,
			json_integer((json_int_t)s->core.errors[i]));
	json_object_set_new(root, "errors", errors);
	json_object_set_new(root, "evacuated", evacuated_names(s, settings));
	text = json_dumps(root, JSON_INDENT(2));
	json_decref(root);
	return text;
}
