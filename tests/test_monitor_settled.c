/**
 * @file test_monitor_settled.c
 * A keeper while the list of members is not whole: after an outage of the
 * store, and after it came back from an older copy.
 */
#include <check.h>
#include <string.h>

#include "monitor_fixture.h"
#include "suite.h"

/*
 * LOST, twinkle-pool trouble-3: after an outage of the store one replica of
 * three members was registered again, and was promoted.
 */
START_TEST(nobody_is_promoted_before_the_members_are_known)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	r.fakes[0].spec = r.fakes[2].spec; /* a replica alone */
	r.fakes[0].writable = false;
	r.count = 1;
	monitor_fixture_publish(&r);
	r.settled_at = r.now + 3 * HM_SEC;
	monitor_fixture_run(&r, 2900 * HM_MS);
	proxy_text_expect(r.text, "");
	monitor_fixture_close(&r);
}
END_TEST

/*
 * The store came back from an older copy, which lacks the primary: it has
 * until the members could have written again.
 */
START_TEST(nobody_is_replaced_because_a_copy_lacks_it)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	monitor_fixture_run(&r, HM_SEC);
	r.settled_at = r.now + 3 * HM_SEC;
	r.fakes[0].spec.missing_since = r.now;
	monitor_fixture_publish(&r);
	monitor_fixture_run(&r, 2800 * HM_MS);
	proxy_text_expect(r.text, "");
	monitor_fixture_run(&r, HM_SEC);
	ck_assert_ptr_nonnull(strstr(r.text->str, "promote m2 token=1\n"));
	monitor_fixture_close(&r);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("keeper_settled");

	tcase_add_test(tc, nobody_is_promoted_before_the_members_are_known);
	tcase_add_test(tc, nobody_is_replaced_because_a_copy_lacks_it);
	return suite_run("keeper_settled", tc);
}
