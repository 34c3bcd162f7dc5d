/** @file test_peers.c Membership changes and the stability of ownership. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "../core/peers.h"
#include "script.h"
#include "suite.h"

#define SELF_INCARNATION 100
#define KEYS 4000

static struct core_options options_of_self(void)
{
	return (struct core_options){ .instance = 1,
				      .incarnation = SELF_INCARNATION,
				      .zone = 0,
				      .zone_count = 4,
				      .peer_silent = HM_SEC,
				      .isolated_grace = 10 * HM_SEC };
}

static void heartbeat(struct peers *p, const char *line, hm_time now)
{
	struct message m = { .kind = MSG_HEARTBEAT };

	m.from = (uint64_t)script_int(line, "life", 0);
	m.seq = (uint64_t)script_int(line, "seq", 1);
	m.heartbeat.instance = (hm_id)script_int(line, "instance", 0);
	m.heartbeat.zone = (uint16_t)script_int(line, "zone", 0);
	m.heartbeat.leaving = script_int(line, "leaving", 0);
	m.heartbeat.stopped = script_int(line, "stopped", 0);
	peers_message(p, &m, now);
}

static void list(struct peers *p, const char *line, hm_time now)
{
	struct listed_instance entry = { .leaving = true };

	entry.instance = (hm_id)script_int(line, "leaving", 0);
	peers_listed(p, &entry, entry.instance ? 1 : 0, now);
}

static void show(struct peers *p, GString *out)
{
	uint32_t i;

	for (i = 0; i < peers_count(p); i++) {
		const struct peer *peer = peers_at(p, i);

		g_string_append_printf(out, "life=%d %s%s\n",
				       (int)peer->incarnation,
				       peer->alive ? "alive" : "dead",
				       peer->leaving ? " leaving" : "");
	}
}

static void command(void *context, const char *line, GString *out)
{
	struct peers *p = context;
	hm_time now = script_int(line, "ms", 0) * HM_MS;
	uint16_t zone = (uint16_t)script_int(line, "zone", 0);

	if (g_str_has_prefix(line, "beat"))
		heartbeat(p, line, now);
	else if (g_str_has_prefix(line, "list"))
		list(p, line, now);
	else if (g_str_has_prefix(line, "tick"))
		peers_tick(p, now);
	else if (g_str_has_prefix(line, "leave"))
		peers_leave(p);
	else if (g_str_has_prefix(line, "platform"))
		peers_platform(p, true, now);
	else if (g_str_has_prefix(line, "show"))
		show(p, out);
	else if (g_str_has_prefix(line, "isolated"))
		g_string_append(out, peers_isolated(p, now) ? "yes\n" : "no\n");
	else if (g_str_has_prefix(line, "owner"))
		g_string_append_printf(
			out, "%d\n",
			(int)peers_owner(p, (hm_id)script_int(line, "key", 7),
					 zone, script_int(line, "any", 0)));
	else
		g_string_append(out, "unknown command\n");
}

START_TEST(scripted)
{
	struct core_options o = options_of_self();
	struct peers *p = peers_new(&o, 0);
	char *fault = script_run("tests/scripts/peers_lives.txt", command, p);

	ck_assert_msg(!fault, "%s", fault);
	peers_free(p);
}
END_TEST

static struct peers *six_peers(const struct core_options *o)
{
	struct peers *p = peers_new(o, 0);
	uint64_t i;

	for (i = 2; i <= 7; i++) {
		struct message m = { .kind = MSG_HEARTBEAT,
				     .from = SELF_INCARNATION + i,
				     .seq = 1 };

		m.heartbeat.instance = i;
		m.heartbeat.zone = (uint16_t)(i % 4);
		peers_message(p, &m, 0);
	}
	return p;
}

START_TEST(stopped_instance_moves_only_its_keys)
{
	struct core_options o = options_of_self();
	struct peers *p = six_peers(&o);
	struct message stop = { .kind = MSG_HEARTBEAT,
				.from = SELF_INCARNATION + 3,
				.seq = 2 };
	uint64_t before[KEYS];
	uint32_t moved = 0;
	hm_id key;

	for (key = 0; key < KEYS; key++)
		before[key] = peers_owner(p, key, 31, true);
	stop.heartbeat.instance = 3;
	stop.heartbeat.stopped = true;
	peers_message(p, &stop, 1);
	for (key = 0; key < KEYS; key++) {
		uint64_t after = peers_owner(p, key, 31, true);

		ck_assert_uint_ne(after, stop.from);
		ck_assert(before[key] == stop.from || before[key] == after);
		moved += before[key] != after;
	}
	/* A seventh of the keys must move, give or take a fifth of that. */
	ck_assert_uint_gt(moved, KEYS / 7 * 4 / 5);
	ck_assert_uint_lt(moved, KEYS / 7 * 6 / 5);
	peers_free(p);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("peers");

	tcase_add_test(tc, scripted);
	tcase_add_test(tc, stopped_instance_moves_only_its_keys);
	return suite_run("peers", tc);
}
