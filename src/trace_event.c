/** @file trace_event.c Writes and reads the lines of a trace. */
#include "trace_event.h"

#include <glib.h>
#include <string.h>

static const char *const event_kinds[] = {
	"tick",	     "request",	 "gone",       "message",  "connected",
	"closed",    "done",	 "state",      "contract", "database",
	"instances", "platform", "evacuation", "stop"
};
static const char *const completions[] = { "ok", "rejected", "refused",
					   "not_sent", "lost" };
static const char *const action_kinds[] = { "send",	"answer",  "connect",
					    "execute",	"cancel",  "reset",
					    "close",	"control", "log",
					    "announce", "stopped" };

G_STATIC_ASSERT(G_N_ELEMENTS(event_kinds) == EV_KIND_COUNT);
G_STATIC_ASSERT(G_N_ELEMENTS(action_kinds) == ACT_STOPPED + 1);

/* The visit functions write or read, depending on the state of the codec. */
static void visit_completion(struct codec *c, struct event *e)
{
	int done = (int)e->done.done;

	codec_u64(c, "conn", &e->done.conn);
	trace_rid(c, "id", &e->done.id);
	codec_enum(c, "done", &done, completions,
		   (int)G_N_ELEMENTS(completions));
	e->done.done = (enum completion)done;
	trace_log_pos(c, "before", &e->done.before);
	trace_log_pos(c, "after", &e->done.after);
	trace_lineage(c, "lineage", &e->done.lineage);
	codec_bool(c, "open_tx", &e->done.open_tx);
	codec_u64(c, "body", &e->done.body);
}

static void visit_instances(struct codec *c, struct trace_step *s)
{
	struct codec array, item;
	uint32_t i;

	array = codec_array(c, "list", &s->event.instances.count,
			    s->listed_capacity);
	for (i = 0; i < s->event.instances.count; i++) {
		item = codec_item(&array, i);
		codec_id(&item, "instance", &s->listed[i].instance);
		codec_u16(&item, "zone", &s->listed[i].zone);
		codec_bool(&item, "leaving", &s->listed[i].leaving);
	}
	s->event.instances.list = s->listed;
}

static void visit_event(struct codec *c, struct trace_step *s)
{
	struct event *e = &s->event;

	switch (e->kind) {
	case EV_REQUEST:
		trace_statement(c, "request", &e->request);
		break;
	case EV_CLIENT_GONE:
		trace_rid(c, "id", &e->gone);
		break;
	case EV_MESSAGE:
		trace_message(c, "message", &s->message);
		e->message = &s->message;
		break;
	case EV_CONNECTED:
	case EV_CLOSED:
		codec_u64(c, "conn", &e->conn.conn);
		codec_bool(c, "failed", &e->conn.failed);
		break;
	case EV_DONE:
		visit_completion(c, e);
		break;
	case EV_STATE:
		trace_rid(c, "nonce", &e->state.nonce);
		trace_state(c, "state", &e->state.state);
		break;
	case EV_CONTRACT:
		trace_contract(c, "contract", &s->contract);
		e->contract = &s->contract;
		break;
	case EV_DATABASE:
		trace_database(c, "database", &s->database);
		e->database = &s->database;
		break;
	case EV_INSTANCES:
		visit_instances(c, s);
		break;
	case EV_PLATFORM:
		codec_bool(c, "ok", &e->platform_ok);
		break;
	case EV_EVACUATION:
		trace_evacuation(c, &e->evacuation);
		break;
	case EV_TICK:
	case EV_STOP:
	case EV_KIND_COUNT:
		break;
	}
}

static void visit_step(struct codec *c, struct trace_step *s)
{
	int kind = (int)s->event.kind;

	codec_time(c, "at", &s->at);
	codec_enum(c, "event", &kind, event_kinds, EV_KIND_COUNT);
	s->event.kind = (enum event_kind)kind;
	visit_event(c, s);
}

static char *dump(json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);

	json_decref(json);
	return text;
}

/*
 * Copies the event and the structures that it borrows to where reading puts
 * them, so that visit_step() serves both directions.
 */
static void fill_step(const struct event *e, hm_time now,
		      struct trace_step *out)
{
	out->at = now;
	out->event = *e;
	if (e->kind == EV_MESSAGE)
		out->message = *e->message;
	else if (e->kind == EV_CONTRACT)
		out->contract = *e->contract;
	else if (e->kind == EV_DATABASE)
		out->database = *e->database;
	else if (e->kind == EV_INSTANCES)
		out->listed = (struct listed_instance *)e->instances.list;
}

char *trace_event_text(const struct event *event, hm_time now,
		       struct key_numbers *keys)
{
	struct codec_state state = { .writing = true, .keys = keys };
	struct codec c = { &state, json_object() };
	struct trace_step step = { 0 };

	fill_step(event, now, &step);
	visit_step(&c, &step);
	return dump(c.json);
}

static void write_decision(struct codec *c, struct decision *d)
{
	json_object_set_new(c->json, "what", json_string(d->what));
	json_object_set_new(c->json, "reason", json_string(d->reason));
	trace_rid(c, "request", &d->request);
	codec_id(c, "account", &d->account);
	codec_id(c, "database", &d->database);
	codec_id(c, "endpoint", &d->endpoint);
	codec_id(c, "peer", &d->peer);
	trace_log_pos(c, "at", &d->at);
}

static void write_conn(struct codec *c, struct action *a)
{
	codec_u64(c, "conn", &a->conn.conn);
	codec_id(c, "database", &a->conn.database);
	codec_id(c, "endpoint", &a->conn.endpoint);
	if (a->kind == ACT_EXECUTE)
		trace_statement(c, "statement", &a->conn.statement);
}

static void write_announce(struct codec *c, struct action *a)
{
	codec_id(c, "database", &a->announce.database);
	codec_id(c, "primary", &a->announce.primary);
	codec_u64(c, "term", &a->announce.term);
}

static void write_action(struct codec *c, struct action *a)
{
	json_object_set_new(c->json, "do", json_string(action_kinds[a->kind]));
	switch (a->kind) {
	case ACT_SEND:
		codec_id(c, "to", &a->send.to);
		trace_message(c, "message", &a->send.message);
		break;
	case ACT_ANSWER:
		trace_result(c, "answer", &a->answer);
		break;
	case ACT_CONNECT:
	case ACT_EXECUTE:
	case ACT_CANCEL:
	case ACT_RESET:
	case ACT_CLOSE:
		write_conn(c, a);
		break;
	case ACT_CONTROL:
		trace_control(c, "control", &a->control);
		break;
	case ACT_LOG:
		write_decision(c, &a->decision);
		break;
	case ACT_ANNOUNCE:
		write_announce(c, a);
		break;
	case ACT_STOPPED:
		break;
	}
}

char *trace_actions_text(const struct actions *actions,
			 struct key_numbers *keys)
{
	struct codec_state state = { .writing = true, .keys = keys };
	struct codec c = { &state, json_object() };
	uint32_t count = (uint32_t)actions->count;
	struct codec array, item;
	uint32_t i;

	array = codec_array(&c, "actions", &count, count);
	for (i = 0; i < count; i++) {
		struct action copy = actions->list[i];

		item = codec_item(&array, i);
		write_action(&item, &copy);
	}
	if (count)
		return dump(c.json);
	json_decref(c.json);
	return NULL;
}

static void visit_header(struct codec *c, uint32_t *format, hm_time *start,
			 struct core_options *options)
{
	codec_u32(c, "trace", format);
	codec_time(c, "start", start);
	trace_options(c, "options", options);
}

char *trace_header_text(const struct core_options *options, hm_time start)
{
	struct codec_state state = { .writing = true };
	struct codec c = { &state, json_object() };
	struct core_options copy = *options;
	uint32_t format = TRACE_FORMAT;

	visit_header(&c, &format, &start, &copy);
	return dump(c.json);
}

/*
 * Checks that writing the values that were read gives the same JSON. False,
 * with a line in @a fault, when it differs or when reading failed.
 */
static bool check_round_trip(const json_t *json, char *written,
			     const struct codec_state *state,
			     char fault[CODEC_FAULT_BYTES])
{
	json_t *again = json_loads(written, 0, NULL);
	bool same = json_equal((json_t *)json, again);

	json_decref(again);
	free(written);
	if (same && !state->fault[0])
		return true;
	g_strlcpy(fault,
		  state->fault[0] ? state->fault
				  : "found unknown or superfluous fields",
		  CODEC_FAULT_BYTES);
	return false;
}

bool trace_header_read(json_t *json, struct core_options *options,
		       hm_time *start, char fault[CODEC_FAULT_BYTES])
{
	struct codec_state state = { .writing = false };
	struct codec c = { &state, json };
	uint32_t format = 0;

	*options = (struct core_options){ 0 };
	visit_header(&c, &format, start, options);
	if (format != TRACE_FORMAT)
		codec_fault(&c, "trace", "not a format that is known");
	return check_round_trip(json, trace_header_text(options, *start),
				&state, fault);
}

bool trace_step_read(json_t *json, struct trace_step *out,
		     char fault[CODEC_FAULT_BYTES])
{
	struct codec_state state = { .writing = false };
	struct codec c = { &state, json };

	*out = (struct trace_step){ 0 };
	out->listed_capacity =
		(uint32_t)json_array_size(json_object_get(json, "list"));
	out->listed = g_new0(struct listed_instance, out->listed_capacity);
	visit_step(&c, out);
	return check_round_trip(json,
				trace_event_text(&out->event, out->at, NULL),
				&state, fault);
}

void trace_step_clear(struct trace_step *step)
{
	trace_message_clear(&step->message);
	g_free(step->listed);
	*step = (struct trace_step){ 0 };
}
