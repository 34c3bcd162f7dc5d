/**
 * @file test_voter_walk.c
 * Random walks over the parties that decide about commits and primaries: what a
 * member that is promoted lacks was never acknowledged.
 *
 * VOTER_WALK=SEED runs one walk of 60 s and prints what it lost, with
 * VOTER_WALK_LOG=1 also all that happens. VOTER_WALKS=FIRST-LAST runs many, and
 * prints each that loses commits. VOTER_WALK_PROFILE names another profile: late,
 * slow.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "suite.h"
#include "voter_walk.h"

#define WALKS 1000
#define SPAN (40 * HM_SEC)
#define LATE_WALKS 1000
#define LATE_SPAN (60 * HM_SEC)
#define LATE_ACKS 40 /* least a walk */
#define HAND_SPAN (60 * HM_SEC)

struct totals {
	uint64_t walks, acks, promotions, lost, uncovered;
	uint64_t first_lost; /* seed */
	hm_time led;
};

static uint32_t run_walk(const struct walk_profile *profile, uint64_t seed,
			 hm_time span, bool any_member_votes, struct totals *t)
{
	struct walk *w = calloc(1, sizeof(*w));
	uint32_t lost;

	if (!w)
		abort();
	w->profile = profile;
	w->log = getenv("VOTER_WALK") && getenv("VOTER_WALK_LOG");
	w->any_member_votes = any_member_votes;
	voter_walk_run(w, seed, span);
	t->walks++;
	t->acks += w->acks;
	t->promotions += w->promotions;
	t->led += w->led;
	t->lost += w->lost;
	t->uncovered += w->uncovered;
	if (w->lost && !t->first_lost)
		t->first_lost = seed;
	lost = w->lost;
	voter_walk_free(w);
	free(w);
	return lost;
}

static void print_totals(const char *what, const struct totals *t)
{
	printf("%s: %llu walks, %llu acknowledged (%.1f a walk), "
	       "%llu promotions, led %.1f s a walk, %llu lost (first seed "
	       "%llu), %llu late for an ended life\n",
	       what, (unsigned long long)t->walks, (unsigned long long)t->acks,
	       (double)t->acks / (double)t->walks,
	       (unsigned long long)t->promotions,
	       (double)t->led / (double)HM_SEC / (double)t->walks,
	       (unsigned long long)t->lost, (unsigned long long)t->first_lost,
	       (unsigned long long)t->uncovered);
}

static struct totals run_walks(const char *what,
			       const struct walk_profile *profile,
			       uint32_t walks, hm_time span,
			       bool any_member_votes)
{
	struct totals t = { 0 };
	uint64_t seed;

	for (seed = 1; seed <= walks; seed++)
		run_walk(profile, seed, span, any_member_votes, &t);
	print_totals(what, &t);
	return t;
}

/* Guards against lost commits, whoever knows what how late. */
START_TEST(promoted_members_have_each_acknowledged_commit)
{
	struct totals t = run_walks("voters", &walk_usual, WALKS, SPAN, false);

	ck_assert_uint_eq(t.lost, 0);
	ck_assert_uint_gt(t.promotions, WALKS);
	ck_assert_uint_gt(t.acks, WALKS * walk_usual.commits / 4);
}
END_TEST

/* The walk finds what owners that count registered members lose. */
START_TEST(counting_registered_members_loses_commits)
{
	struct totals t =
		run_walks("registered members", &walk_usual, WALKS, SPAN, true);

	ck_assert_uint_gt(t.lost, 0);
}
END_TEST

/* Guards against commits lost by promote calls that are executed late. */
START_TEST(late_promotions_have_each_acknowledged_commit)
{
	struct totals t = run_walks("late calls", &walk_late, LATE_WALKS,
				    LATE_SPAN, false);

	ck_assert_uint_eq(t.lost, 0);
	ck_assert_uint_gt(t.promotions, LATE_WALKS);
	ck_assert_uint_gt(t.acks, LATE_WALKS * LATE_ACKS);
}
END_TEST

static const struct walk_profile *chosen_profile(void)
{
	const struct walk_profile *all[] = { &walk_usual, &walk_late,
					     &walk_slow };
	const char *name = getenv("VOTER_WALK_PROFILE");
	size_t i;

	for (i = 0; name && i < sizeof(all) / sizeof(all[0]); i++)
		if (!strcmp(name, all[i]->name))
			return all[i];
	if (!name)
		return &walk_usual;
	fprintf(stderr, "no profile %s\n", name);
	exit(EXIT_FAILURE);
}

static int run_one(const struct walk_profile *profile, uint64_t seed)
{
	struct totals t = { 0 };

	run_walk(profile, seed, HAND_SPAN, false, &t);
	printf("%llu acknowledged, %llu promotions, %llu lost\n",
	       (unsigned long long)t.acks, (unsigned long long)t.promotions,
	       (unsigned long long)t.lost);
	return t.lost > 0;
}

static int run_range(const struct walk_profile *profile, const char *range)
{
	struct totals t = { 0 };
	uint64_t seed, last, losing = 0;
	char *end;

	seed = strtoull(range, &end, 10);
	last = *end == '-' ? strtoull(end + 1, NULL, 10) : seed;
	for (; seed <= last; seed++) {
		if (!run_walk(profile, seed, HAND_SPAN, false, &t))
			continue;
		losing++;
		printf("seed %llu loses commits\n", (unsigned long long)seed);
		fflush(stdout);
	}
	print_totals(profile->name, &t);
	printf("%llu of %llu walks lose commits\n", (unsigned long long)losing,
	       (unsigned long long)t.walks);
	return losing > 0;
}

int main(void)
{
	const char *one = getenv("VOTER_WALK"), *many = getenv("VOTER_WALKS");
	const struct walk_profile *profile = chosen_profile();
	TCase *tc;

	if (one)
		return run_one(profile, strtoull(one, NULL, 10));
	if (many)
		return run_range(profile, many);
	tc = tcase_create("voter_walk");
	tcase_add_test(tc, promoted_members_have_each_acknowledged_commit);
	tcase_add_test(tc, counting_registered_members_loses_commits);
	tcase_add_test(tc, late_promotions_have_each_acknowledged_commit);
	return suite_run("voter_walk", tc);
}
