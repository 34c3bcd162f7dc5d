/** @file record.c Records a trace of one instance in a model run. */
#include "record.h"

#include <check.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <stdio.h>

#include "../src/trace.h"

#define RECORDED_TIME (2200 * HM_MS) /* of virtual time, from the start */
#define PRIMARY_FAILS_AT HM_SEC
#define LOAD_DIVISOR 4 /* the offered load is divided by this */

struct recorded_server {
	struct core *core;
	struct trace *trace; /**< of the first server only; else NULL */
};

static char *path;   /* file of the trace */
static bool started; /* the first server has been created */

static void *create(const struct core_options *options, hm_time now)
{
	struct recorded_server *r = g_new0(struct recorded_server, 1);

	r->core = core_new(options, now);
	if (!started)
		r->trace = trace_open(path, options, now);
	started = true;
	return r;
}

static void destroy(void *server)
{
	struct recorded_server *r = server;

	ck_assert(trace_close(r->trace));
	core_free(r->core);
	g_free(r);
}

static void step(void *server, const struct event *e, hm_time now,
		 struct actions *actions)
{
	struct recorded_server *r = server;

	if (r->trace && now > RECORDED_TIME) {
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
				   .duration = RECORDED_TIME,
				   .fault_count = 1 };
	struct model_results results;
	char *text = NULL;
	uint32_t i;
	int fd;

	plan.faults[0] =
		(struct model_fault){ FAULT_PRIMARY_DEAD, PRIMARY_FAILS_AT,
				      RECORDED_TIME };
	for (i = 0; i < site->account_count; i++)
		plan.site.accounts[i].offered /= LOAD_DIVISOR;
	fd = g_file_open_tmp("trace-XXXXXX", &path, NULL);
	ck_assert_int_ge(fd, 0);
	g_close(fd, NULL);
	started = false;
	model_run(&plan, &results);
	ck_assert(g_file_get_contents(path, &text, NULL, NULL));
	remove(path);
	g_free(path);
	return text;
}
