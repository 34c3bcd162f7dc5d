/**
 * @file test_load_level.c
 * Scripted tests of the load levels of one member, and of the order in which
 * refused operations are told to return.
 */
#include <check.h>
#include <stdlib.h>

#include "../core/load_level.h"
#include "../core/return_order.h"
#include "script.h"
#include "suite.h"

#define QUEUE 5
#define LEVELS 3
/* Returns are counted per this time; each is told at most 1 s ahead. */
#define WINDOW (100 * HM_MS)
#define WINDOWS 24

struct run {
	struct load_state load;
	struct return_order *order;
	hm_time now;
};

/* Waits in milliseconds: of level 0 by wait=, of level 1 by wait1=. */
static void report(struct run *r, const char *line, GString *out)
{
	hm_time wait[PRIORITY_LEVELS] = { 0 };
	hm_time slack[PRIORITY_LEVELS] = { 100 * HM_MS, 100 * HM_MS };
	struct load_report o = { (uint64_t)script_int(line, "owner", 1), wait,
				 slack };
	uint32_t changed, i;

	wait[0] = script_int(line, "wait", 0) * HM_MS;
	wait[1] = script_int(line, "wait1", 0) * HM_MS;
	changed = load_take_report(&r->load, &o, r->now);
	for (i = 0; i < PRIORITY_LEVELS; i++)
		if (changed >> i & 1)
			g_string_append_printf(
				out, "level=%u %s\n", i,
				r->load.levels[i].closed ? "closed" : "open");
}

static void ask(struct run *r, const char *line, GString *out)
{
	static const char *const names[] = { "open", "probe", "returns",
					     "refused" };
	gint64 count = script_int(line, "count", 1);
	int got[G_N_ELEMENTS(names)] = { 0 };
	size_t i;

	while (count-- > 0)
		got[load_admit(&r->load, (uint64_t)script_int(line, "owner", 1),
			       (uint32_t)script_int(line, "level", 0),
			       script_int(line, "returns", 0), r->now)]++;
	for (i = 0; i < G_N_ELEMENTS(names); i++)
		if (got[i])
			g_string_append_printf(out, "%s=%d\n", names[i],
					       got[i]);
}

/* Serves rate= operations a second, of level=, for ms=. */
static void serve(struct run *r, const char *line)
{
	hm_time every = HM_SEC / script_int(line, "rate", 1);
	hm_time until = r->now + script_int(line, "ms", 1000) * HM_MS;

	for (; r->now < until; r->now += every)
		return_order_served(r->order, QUEUE,
				    (uint32_t)script_int(line, "level", 0),
				    r->now);
}

/*
 * Refuses count= operations within ms=, of levels= in turn. At most limit= of
 * them are to return within any WINDOW.
 */
static void refuse(struct run *r, const char *line, GString *out)
{
	gint64 count = script_int(line, "count", 1), i;
	gint64 levels = script_int(line, "levels", 1);
	hm_time every = script_int(line, "ms", 0) * HM_MS / count;
	hm_time base = script_int(line, "base", 0) * HM_MS;
	hm_time start = r->now, least = HM_NEVER, most = 0;
	hm_time sum[LEVELS] = { 0 };
	int told[WINDOWS] = { 0 };
	int peak = 0;

	for (i = 0; i < count; i++, r->now += every) {
		hm_time at = return_order_next(
			r->order, QUEUE, (uint32_t)(i % levels),
			base ? r->now + base : 0, r->now);

		least = MIN(least, at - r->now);
		most = MAX(most, at - r->now);
		sum[i % levels] += at - r->now;
		told[(at - start) / WINDOW]++;
	}
	for (i = 0; i < WINDOWS; i++)
		peak = MAX(peak, told[i]);
	g_string_append_printf(out, "least_ms=%d most_ms=%d",
			       (int)(least / HM_MS), (int)(most / HM_MS));
	if (peak > script_int(line, "limit", count))
		g_string_append_printf(out, " peak=%d", peak);
	g_string_append_c(out, '\n');
	for (i = 0; i < levels && levels > 1; i++)
		g_string_append_printf(out, "level=%d mean_ms=%d\n", (int)i,
				       (int)(sum[i] * levels / count / HM_MS));
}

static void command(void *context, const char *line, GString *out)
{
	struct run *r = context;

	r->now += script_int(line, "after", 0) * HM_MS;
	if (g_str_has_prefix(line, "report"))
		report(r, line, out);
	else if (g_str_has_prefix(line, "ask"))
		ask(r, line, out);
	else if (g_str_has_prefix(line, "serve"))
		serve(r, line);
	else if (g_str_has_prefix(line, "refuse"))
		refuse(r, line, out);
}

static const char *const files[] = {
	"tests/scripts/load_levels.txt",
	"tests/scripts/return_order.txt",
};

START_TEST(scripted)
{
	struct run r = { .order = return_order_new(), .now = 100 * HM_SEC };
	char *fault = script_run(files[_i], command, &r);

	ck_assert_msg(!fault, "%s", fault);
	return_order_free(r.order);
}
END_TEST

START_TEST(waits_taken_for_execution_do_not_close_a_level)
{
	struct load_state l = { 0 };
	int i;

	for (i = 0; i < 500; i++)
		load_add_executing(&l, 0, HM_SEC);
	ck_assert_int_eq(load_slack(&l, 0, 200 * HM_MS), 100 * HM_MS);
}
END_TEST

START_TEST(only_the_same_text_near_its_time_returns)
{
	struct return_ticket t = { 0 };
	hm_time at = 100 * HM_SEC;

	return_ticket_set(&t, QUEUE, "READ k", at);
	ck_assert(return_ticket_is_due(&t, QUEUE, "READ k", at + 300 * HM_MS));
	ck_assert(!return_ticket_is_due(&t, QUEUE, "READ k", at + 301 * HM_MS));
	ck_assert(!return_ticket_is_due(&t, QUEUE, "READ k", at - 301 * HM_MS));
	ck_assert(!return_ticket_is_due(&t, QUEUE, "READ j", at));
	/* Its route has moved: another service has told it nothing. */
	ck_assert(!return_ticket_is_due(&t, QUEUE + 1, "READ k", at));
	return_ticket_clear(&t);
	ck_assert(!return_ticket_is_due(&t, QUEUE, "READ k", at));
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("load_level");

	tcase_add_loop_test(tc, scripted, 0, (int)G_N_ELEMENTS(files));
	tcase_add_test(tc, waits_taken_for_execution_do_not_close_a_level);
	tcase_add_test(tc, only_the_same_text_near_its_time_returns);
	return suite_run("load_level", tc);
}
