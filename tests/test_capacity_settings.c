/**
 * @file test_capacity_settings.c
 * Settings on the capacity of an instance, as a platform's template writes
 * them. Guards against a number that the template states with a fraction being
 * rejected, so that no instance starts.
 */
#include <check.h>
#include <stdio.h>
#include <string.h>

#include "../src/proxy_settings.h"
#include "suite.h"

static const char around[] =
	"{\"instance\":\"a\",\"zone\":\"north\",\"zones\":[\"north\"],"
	"\"listen\":{\"sessions\":\"127.0.0.1:1\",\"health\":\"127.0.0.1:2\","
	"\"peers\":\"127.0.0.1:3\"},\"store\":\"127.0.0.1:4\","
	"\"promote_calls\":\"127.0.0.1:5\",\"capacity\":{%s}}";

static const struct {
	const char *capacity;
	uint32_t millis;
	uint32_t link_mbit;
	const char *fault; /* NULL: the settings are valid */
} cases[] = {
	{ "", 0, 0, NULL },
	{ "\"processor_cores\":0.25,\"link_mbit\":1000.0", 250, 1000, NULL },
	{ "\"processor_cores\":1,\"link_mbit\":200", 1000, 200, NULL },
	{ "\"processor_millis\":120,\"link_mbit\":0.3", 120, 1, NULL },
	{ "\"processor_cores\":0.12", 120, 0, NULL },
	{ "\"processor_cores\":2", 2000, 0, NULL },
	{ "\"processor_cores\":0", 0, 0, "processor_cores" },
	{ "\"processor_cores\":65", 0, 0, "processor_cores" },
	{ "\"processor_cores\":\"1\"", 0, 0, "processor_cores" },
	{ "\"processor_millis\":0", 0, 0, "processor_millis" },
	{ "\"processor_cores\":1,\"processor_millis\":9", 0, 0,
	  "processor_cores" },
	{ "\"link_mbit\":0", 0, 0, "link_mbit" },
	{ "\"link_mbit\":1000001", 0, 0, "link_mbit" },
	{ "\"link_mbit\":\"10\"", 0, 0, "link_mbit" },
};

START_TEST(capacity_is_read)
{
	struct proxy_settings s;
	char text[1024], fault[SETTINGS_FAULT_BYTES];
	bool ok;

	snprintf(text, sizeof(text), around, cases[_i].capacity);
	ok = proxy_settings_parse(&s, "settings", text, fault);
	if (cases[_i].fault) {
		ck_assert(!ok);
		ck_assert_ptr_nonnull(strstr(fault, cases[_i].fault));
		return;
	}
	ck_assert_msg(ok, "%s", fault);
	ck_assert_uint_eq(s.capacity.processor_millis, cases[_i].millis);
	ck_assert_uint_eq(s.capacity.link_mbit, cases[_i].link_mbit);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("capacity_settings");

	tcase_add_loop_test(tc, capacity_is_read, 0,
			    (int)(sizeof(cases) / sizeof(cases[0])));
	return suite_run("capacity_settings", tc);
}
