/**
 * @file test_monitor_settled.c
 * A monitor while the list of members is incomplete: after an outage of the
 * store, and after the store was restored from an older copy.
 */
#include <check.h>
#include <string.h>

#include "monitor_fixture.h"
#include "suite.h"

/*
 * Run twinkle-pool trouble-3 lost acknowledged commits: after an outage of the
 * store only one replica of three members was registered again, and it was
 * promoted.
 */
START_TEST(no_promotion_before_the_member_list_is_complete)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	r.fakes[0].spec = r.fakes[2].spec; /* one replica only */
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
 * The store was restored from an older copy that lacks the primary. The primary
 * must not be replaced before it had the time to write its entry again.
 */
START_TEST(primary_missing_from_a_restored_copy_is_not_replaced)
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
	TCase *tc = tcase_create("monitor_settled");

	tcase_add_test(tc, no_promotion_before_the_member_list_is_complete);
	tcase_add_test(tc,
		       primary_missing_from_a_restored_copy_is_not_replaced);
	return suite_run("monitor_settled", tc);
}
