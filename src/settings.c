/**
 * @file settings.c
 * Reads settings with a table of fields, which has the type and range of each
 * field.
 */
#include "settings.h"

#include <errno.h>
#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "field_lists.h"
#include "fields.h"
#include "names.h"

#define FILE_BYTES_MAX (1024 * 1024)

#define AT(member) offsetof(struct settings, member)
#define TEXT(json_path, member)                                            \
	{                                                                  \
		.path = (json_path), .kind = FIELD_TEXT, .at = AT(member), \
		.most = sizeof(((struct settings *)0)->member) - 1         \
	}
#define NAME(json_path, member)                                            \
	{                                                                  \
		.path = (json_path), .kind = FIELD_NAME, .at = AT(member), \
		.most = NAME_BYTES - 1, .required = true                   \
	}
#define ADDRESS(json_path, member, must)                                      \
	{                                                                     \
		.path = (json_path), .kind = FIELD_ADDRESS, .at = AT(member), \
		.most = ADDRESS_BYTES - 1, .required = (must)                 \
	}
#define COUNT(json_path, member, from, to)                                  \
	{                                                                   \
		.path = (json_path), .kind = FIELD_COUNT, .at = AT(member), \
		.least = (from), .most = (to)                               \
	}
#define MS(json_path, member, from, to)                                  \
	{                                                                \
		.path = (json_path), .kind = FIELD_MS, .at = AT(member), \
		.least = (from), .most = (to)                            \
	}

static const struct field fields[] = {
	NAME("instance", instance),
	NAME("zone", zone),
	{ .path = "zones", .kind = FIELD_OTHER, .required = true },
	ADDRESS("listen.callers", listen_clients, true),
	ADDRESS("listen.peers", listen_peers, true),
	ADDRESS("listen.operators", listen_operators, true),
	ADDRESS("platform", platform, true),
	{ .path = "seeds", .kind = FIELD_OTHER },
	TEXT("tls.certificate", tls_certificate),
	TEXT("tls.key", tls_key),
	{ .path = "token_secret",
	  .kind = FIELD_SECRET,
	  .required = true,
	  .at = AT(token_secret),
	  .most = SECRET_BYTES },
	TEXT("trace", trace),
	TEXT("log_level", log_level),
	COUNT("limits.connections", connection_limit, 1, 1000000),
	COUNT("limits.body_bytes", body_limit, 1024, 4194304),
	COUNT("limits.header_bytes", header_limit, 1024, 65536),
	COUNT("limits.parameters", parameter_limit, 0, 32767),
	COUNT("limits.rows", rows_limit, 1, 1000000),
	COUNT("limits.answer_bytes", answer_limit, 1024, 4194304),
	COUNT("limits.queue", core.queue_limit, 1, 100000),
	MS("timing.deadline_default_ms", deadline_default, 1, 600000),
	MS("timing.deadline_limit_ms", deadline_limit, 1, 600000),
	MS("timing.stop_limit_ms", stop_limit, 100, 600000),
	MS("timing.connect_limit_ms", connect_limit, 10, 60000),
	MS("timing.control_limit_ms", control_limit, 10, 60000),
	MS("timing.platform_call_limit_ms", platform_call_limit, 10, 60000),
	MS("timing.platform_watch_wait_ms", platform_watch_wait, 100, 300000),
	MS("timing.platform_list_every_ms", platform_list_every, 100, 300000),
	MS("timing.heartbeat_ms", core.heartbeat_every, 10, 10000),
	MS("timing.peer_silent_ms", core.peer_silent, 50, 60000),
	MS("timing.probe_every_ms", core.probe_every, 10, 10000),
	MS("timing.probe_silent_ms", core.probe_silent, 20, 60000),
	MS("timing.evidence_valid_ms", core.confirmation_valid, 20, 60000),
	MS("timing.replica_wait_ms", core.replica_wait, 0, 60000),
	MS("timing.isolated_grace_ms", core.isolated_grace, 100, 600000),
	MS("timing.idle_transaction_ms", core.idle_transaction, 100, 600000),
	MS("timing.statement_limit_ms", core.statement_limit, 10, 600000),
};

#define FIELD_COUNT_ALL (sizeof(fields) / sizeof(fields[0]))

const struct field *settings_fields(size_t *count)
{
	*count = FIELD_COUNT_ALL;
	return fields;
}

void settings_default(struct settings *s)
{
	memset(s, 0, sizeof(*s));
	core_options_default(&s->core);
	s->core.incarnation = random_id();
	s->core.seed = random_id();
	snprintf(s->log_level, sizeof(s->log_level), "info");
	s->connection_limit = 4096;
	s->body_limit = 256 * 1024;
	s->header_limit = 16 * 1024;
	s->parameter_limit = 1000;
	s->rows_limit = 10000;
	s->answer_limit = 1024 * 1024;
	s->deadline_default = 5 * HM_SEC;
	s->deadline_limit = 30 * HM_SEC;
	s->stop_limit = 20 * HM_SEC;
	s->connect_limit = 2 * HM_SEC;
	s->control_limit = 250 * HM_MS;
	s->platform_call_limit = 2 * HM_SEC;
	s->platform_watch_wait = 5 * HM_SEC;
	s->platform_list_every = 1500 * HM_MS;
}

/* Finds the number of the zone; sets zone and instance ID of the core. */
static bool check_zone(struct settings *s, struct fault *fault)
{
	if (!list_zone_index((const char(*)[NAME_BYTES])s->zones, s->zone_count,
			     s->zone, &s->core.zone, fault))
		return false;
	s->core.zone_count = s->zone_count;
	s->core.instance = name_id(s->instance);
	return true;
}

/* Whether two listeners have the same address. Port 0 means any free port. */
static bool same_address(const char *a, const char *b)
{
	const char *port = strrchr(a, ':');

	return !strcmp(a, b) && port && strcmp(port, ":0") != 0;
}

static bool check_listeners(const struct settings *s, struct fault *fault)
{
	if (same_address(s->listen_clients, s->listen_peers))
		return fault_set(fault, "$.listen.peers", s->listen_peers,
				 "another address than $.listen.callers");
	if (same_address(s->listen_clients, s->listen_operators))
		return fault_set(fault, "$.listen.operators",
				 s->listen_operators,
				 "another address than $.listen.callers");
	if (same_address(s->listen_peers, s->listen_operators))
		return fault_set(fault, "$.listen.operators",
				 s->listen_operators,
				 "another address than $.listen.peers");
	return true;
}

static bool check_tls(const struct settings *s, struct fault *fault)
{
	if (s->tls_certificate[0] && !s->tls_key[0])
		return fault_set(fault, "$.tls.key", "nothing",
				 "a file, since $.tls.certificate is set");
	if (s->tls_key[0] && !s->tls_certificate[0])
		return fault_set(fault, "$.tls.certificate", "nothing",
				 "a file, since $.tls.key is set");
	return true;
}

/**
 * A limit of one duration relative to another: the first, times a factor, may
 * not exceed the second.
 */
struct duration_limit {
	const char *path;
	size_t at;
	const char *bound_path;
	size_t bound_at;
	int64_t factor; /**< duration * factor <= bound */
};

static const struct duration_limit duration_limits[] = {
	{ "$.timing.deadline_default_ms", AT(deadline_default),
	  "$.timing.deadline_limit_ms", AT(deadline_limit), 1 },
	{ "$.timing.heartbeat_ms", AT(core.heartbeat_every),
	  "$.timing.peer_silent_ms", AT(core.peer_silent), 3 },
	{ "$.timing.probe_every_ms", AT(core.probe_every),
	  "$.timing.probe_silent_ms", AT(core.probe_silent), 2 },
	{ "$.timing.replica_wait_ms", AT(core.replica_wait),
	  "$.timing.deadline_default_ms", AT(deadline_default), 1 },
	{ "$.timing.evidence_valid_ms", AT(core.confirmation_valid),
	  "$.timing.peer_silent_ms", AT(core.peer_silent), 1 },
};

static hm_time duration_at(const struct settings *s, size_t at)
{
	hm_time t;

	memcpy(&t, (const char *)s + at, sizeof(t));
	return t;
}

static bool check_durations(const struct settings *s, struct fault *fault)
{
	char found[64], allowed[128];
	hm_time a, b;
	size_t i;

	for (i = 0; i < sizeof(duration_limits) / sizeof(duration_limits[0]);
	     i++) {
		a = duration_at(s, duration_limits[i].at);
		b = duration_at(s, duration_limits[i].bound_at);
		if (a * duration_limits[i].factor <= b)
			continue;
		snprintf(found, sizeof(found), "%lld", (long long)(a / HM_MS));
		snprintf(allowed, sizeof(allowed),
			 "at most %lld (1/%lld of %s)",
			 (long long)(b / HM_MS / duration_limits[i].factor),
			 (long long)duration_limits[i].factor,
			 duration_limits[i].bound_path);
		return fault_set(fault, duration_limits[i].path, found,
				 allowed);
	}
	return true;
}

static bool check_combinations(struct settings *s, struct fault *fault)
{
	return check_zone(s, fault) && list_log_level(s->log_level, fault) &&
	       check_listeners(s, fault) && check_tls(s, fault) &&
	       check_durations(s, fault);
}

bool settings_parse(struct settings *s, const char *file, const char *text,
		    char fault[SETTINGS_FAULT_BYTES])
{
	struct fault f = { .file = file, .text = fault };
	json_t *root;
	bool ok;

	fault[0] = '\0';
	settings_default(s);
	root = fields_load(text, &f);
	if (!root)
		return false;
	ok = fields_read(fields, FIELD_COUNT_ALL, root, s, &f) &&
	     list_zones(root, s->zones, &s->zone_count, &f) &&
	     list_addresses(root, "seeds", s->seeds, &s->seed_count, &f) &&
	     check_combinations(s, &f);
	json_decref(root);
	return ok;
}

static bool fail_unreadable(const char *file, const char *found,
			    char fault[SETTINGS_FAULT_BYTES])
{
	snprintf(fault, SETTINGS_FAULT_BYTES,
		 "%s: $: found %s, allowed a readable file up to 1 MB", file,
		 found);
	return false;
}

char *settings_load(const char *file, char fault[SETTINGS_FAULT_BYTES])
{
	FILE *in = fopen(file, "re");
	char *text;
	size_t got;
	bool ok = false;

	if (!in) {
		fail_unreadable(file, strerror(errno), fault);
		return NULL;
	}
	text = calloc(1, FILE_BYTES_MAX + 1);
	got = text ? fread(text, 1, FILE_BYTES_MAX + 1, in) : 0;
	if (!text || ferror(in))
		fail_unreadable(file, strerror(errno), fault);
	else if (got > FILE_BYTES_MAX)
		fail_unreadable(file, "a larger file", fault);
	else if (strlen(text) != got)
		fail_unreadable(file, "a NUL byte", fault);
	else
		ok = true;
	fclose(in);
	if (ok)
		return text;
	free(text);
	return NULL;
}

bool settings_read(struct settings *s, const char *file,
		   char fault[SETTINGS_FAULT_BYTES])
{
	char *text = settings_load(file, fault);
	bool ok = text && settings_parse(s, file, text, fault);

	free(text);
	return ok;
}
