/** @file test_owner_choice.c Who owns how many keys, and which keys move. */
#include <check.h>

#include "../core/owner_choice.h"
#include "suite.h"

#define KEYS 4000
#define ZONE 1

static struct owner_choice *choice;
static uint64_t version;

static void open_choice(void)
{
	choice = owner_choice_new();
}

static void close_choice(void)
{
	owner_choice_free(choice);
}

static struct owner_candidate candidate(uint64_t number, uint32_t millis,
					uint32_t mbit)
{
	return (struct owner_candidate){ .incarnation = 100 + number,
					 .instance = number,
					 .zone = ZONE,
					 .weighted = true,
					 .capacity = { millis, mbit, false } };
}

static void set(const struct owner_candidate *list, uint32_t count)
{
	uint32_t i;

	owner_choice_begin(choice, ++version);
	for (i = 0; i < count; i++)
		owner_choice_add(choice, &list[i]);
	owner_choice_end(choice);
}

static uint64_t owner_of(hm_id key)
{
	return owner_choice_find(choice, key, ZONE, true);
}

static uint32_t keys_of(const struct owner_candidate *o)
{
	uint32_t n = 0;
	hm_id key;

	for (key = 1; key <= KEYS; key++)
		n += owner_of(key) == o->incarnation;
	return n;
}

/* The zone of deployment A: two instances of 0.5 cores, others of 0.12. */
static void fill_zone(struct owner_candidate list[20])
{
	uint32_t i;

	for (i = 0; i < 20; i++)
		list[i] =
			i < 2 ? candidate(i, 500, 200) : candidate(i, 120, 10);
}

/*
 * Guards against members at instances with 0.12 cores, where the work for a
 * statement takes four times as long.
 */
START_TEST(small_instances_own_nothing_beside_two_large_ones)
{
	struct owner_candidate list[20];

	fill_zone(list);
	set(list, 20);
	ck_assert_uint_eq(keys_of(&list[0]) + keys_of(&list[1]), KEYS);
	ck_assert_uint_gt(keys_of(&list[0]), KEYS / 2 * 9 / 10);
	ck_assert_uint_gt(keys_of(&list[1]), KEYS / 2 * 9 / 10);
}
END_TEST

/* Guards against all members at one instance while the other is busy or gone. */
START_TEST(small_instances_take_part_beside_one_large_one)
{
	struct owner_candidate list[20];
	uint32_t others;

	fill_zone(list);
	list[1].capacity.busy = true;
	set(list, 20);
	/* Weights: 1, a quarter, and 18 times 0.05, which the link gives. */
	others = KEYS - keys_of(&list[0]) - keys_of(&list[1]);
	ck_assert_uint_gt(keys_of(&list[0]), (uint32_t)(KEYS / 2.15 * 0.9));
	ck_assert_uint_lt(keys_of(&list[0]), (uint32_t)(KEYS / 2.15 * 1.1));
	ck_assert_uint_gt(keys_of(&list[1]),
			  (uint32_t)(KEYS * .25 / 2.15 * .8));
	ck_assert_uint_lt(keys_of(&list[1]),
			  (uint32_t)(KEYS * .25 / 2.15 * 1.2));
	ck_assert_uint_gt(others, (uint32_t)(KEYS * 0.9 / 2.15 * 0.9));
	set(list, 1);
	ck_assert_uint_eq(keys_of(&list[0]), KEYS);
}
END_TEST

/* Guards against keys that move between instances that did not change. */
START_TEST(a_changed_weight_moves_only_keys_of_that_instance)
{
	struct owner_candidate list[4];
	uint64_t before[KEYS];
	uint32_t i, moved = 0;

	for (i = 0; i < 4; i++)
		list[i] = candidate(i, 300 + 50 * i, 0);
	set(list, 4);
	for (i = 0; i < KEYS; i++)
		before[i] = owner_of(i);
	list[2].capacity.busy = true;
	set(list, 4);
	for (i = 0; i < KEYS; i++) {
		if (owner_of(i) == before[i])
			continue;
		ck_assert_uint_eq(before[i], list[2].incarnation);
		moved++;
	}
	ck_assert_uint_gt(moved, KEYS / 8);
}
END_TEST

/* The choice by an unweighted hash, as builds before this one make it. */
static uint64_t unweighted_owner(const struct owner_candidate *list,
				 uint32_t count, hm_id key)
{
	uint64_t best = 0, owner = 0;
	uint32_t i;

	for (i = 0; i < count; i++) {
		uint64_t x = key ^ (list[i].instance * 0x9e3779b97f4a7c15ULL);

		x = (x ^ (x >> 33)) * 0xff51afd7ed558ccdULL;
		x = (x ^ (x >> 33)) * 0xc4ceb9fe1a85ec53ULL;
		x ^= x >> 33;
		if (owner && x <= best)
			continue;
		best = x;
		owner = list[i].incarnation;
	}
	return owner;
}

static void check_unweighted(const struct owner_candidate *list, uint32_t count)
{
	hm_id key;

	set(list, count);
	for (key = 0; key < KEYS; key++)
		ck_assert_uint_eq(owner_of(key),
				  unweighted_owner(list, count, key));
}

/*
 * Guards against members that move with an upgrade to this build in a fleet of
 * equal instances, and against two opinions in a fleet of both builds.
 */
START_TEST(equal_or_unknown_capacity_chooses_as_before)
{
	struct owner_candidate list[20];
	uint32_t i;

	for (i = 0; i < 20; i++)
		list[i] = candidate(i, 300, 100);
	check_unweighted(list, 20);
	fill_zone(list);
	list[7].capacity.processor_millis = 0;
	check_unweighted(list, 20);
	fill_zone(list);
	list[0].weighted = false;
	list[1].capacity.busy = true;
	check_unweighted(list, 20);
}
END_TEST

/* Guards against results of former candidates, and of other zones. */
START_TEST(leaving_and_empty_zones)
{
	struct owner_candidate list[3];

	list[0] = candidate(1, 500, 0);
	list[1] = candidate(2, 100, 0);
	list[2] = candidate(3, 500, 0);
	list[2].zone = ZONE + 1;
	set(list, 3);
	ck_assert_uint_eq(owner_choice_find(choice, 5, ZONE + 1, false), 103);
	ck_assert_uint_eq(owner_choice_find(choice, 5, ZONE + 2, false), 0);
	ck_assert_uint_ne(owner_choice_find(choice, 5, ZONE + 2, true), 0);
	list[0].leaving = true;
	set(list, 3);
	ck_assert_uint_eq(keys_of(&list[1]), KEYS);
	list[1].leaving = true;
	set(list, 3);
	ck_assert_uint_eq(keys_of(&list[2]), KEYS);
	ck_assert_uint_ne(owner_choice_find(choice, 5, ZONE, false), 0);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("owner_choice");

	tcase_add_checked_fixture(tc, open_choice, close_choice);
	tcase_add_test(tc, small_instances_own_nothing_beside_two_large_ones);
	tcase_add_test(tc, small_instances_take_part_beside_one_large_one);
	tcase_add_test(tc, a_changed_weight_moves_only_keys_of_that_instance);
	tcase_add_test(tc, equal_or_unknown_capacity_chooses_as_before);
	tcase_add_test(tc, leaving_and_empty_zones);
	return suite_run("owner_choice", tc);
}
