/** @file record.c A model server that records one of its instances. */
#include "record.h"

#include <check.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <stdio.h>

#include "../src/trace.h"

#define RECORDED (2200 * HM_MS) /* virtual time, from the start */
#define PRIMARY_DIES HM_SEC
#define LOAD_PART 4 /* offered load is one part in so many */

struct recorded {
	struct core *core;
	struct trace *trace; /**< of the first one alone */
};

static char *path;   /* of the trace, NULL when there is none */
static bool started; /* the first server was created */

static void *create(const struct core_options *options, hm_time now)
{
	struct recorded *r = g_new0(struct recorded, 1);

	r->core = core_new(options, now);
	if (!started)
		r->trace = trace_open(path, options, now);
	started = true;
	return r;
}

static void destroy(void *server)
{
	struct recorded *r = server;

	ck_assert(trace_close(r->trace));
	core_free(r->core);
	g_free(r);
}

static void step(void *server, const struct event *e, hm_time now,
		 struct actions *actions)
{
	struct recorded *r = server;

	if (r->trace && now > RECORDED) {
		ck_assert(trace_close(r->trace));
		r->trace = NULL;
	}
	if (r->trace)
		trace_event(r->trace, e, now);
	core_step(r->core, e, now, actions);
	if (r->trace)
		trace_actions(r->trace, actions);
}

static const struct model_server recorder = { "recorder", create, destroy,
					      step };

char *record_site(const struct model_site *site, uint64_t seed)
{
	struct model_plan plan = { .site = *site,
				   .server = &recorder,
				   .seed = seed,
				   .duration = RECORDED,
				   .fault_count = 1 };
	struct model_results figures;
	char *text = NULL;
	uint32_t i;
	int fd;

	plan.faults[0] = (struct model_fault){ FAULT_PRIMARY_DEAD, PRIMARY_DIES,
					       RECORDED };
	for (i = 0; i < site->account_count; i++)
		plan.site.accounts[i].offered /= LOAD_PART;
	fd = g_file_open_tmp("trace-XXXXXX", &path, NULL);
	ck_assert_int_ge(fd, 0);
	g_close(fd, NULL);
	started = false;
	model_run(&plan, &figures);
	ck_assert(g_file_get_contents(path, &text, NULL, NULL));
	remove(path);
	g_free(path);
	return text;
}
