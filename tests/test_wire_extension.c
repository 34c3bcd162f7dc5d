/**
 * @file test_wire_extension.c
 * The extension frame of messages: fields arrive, what a newer build adds is
 * skipped, and a malformed extension never sets a field that it does not
 * contain.
 */
#include <check.h>
#include <msgpack.h>
#include <string.h>

#include "../core/rng.h"
#include "../src/wire_extension.h"
#include "suite.h"

#define CORRUPTED 20000
#define SEED 23

static bool read_bytes(GBytes *bytes, struct message *m)
{
	gsize size;
	const void *data = g_bytes_get_data(bytes, &size);

	return wire_extension_read(data, size, m);
}

static void pack_field(msgpack_packer *k, uint32_t key, uint32_t count)
{
	uint32_t i;

	msgpack_pack_uint32(k, key);
	msgpack_pack_uint32(k, count);
	for (i = 0; i < count; i++)
		msgpack_pack_uint32(k, 10 + i);
}

START_TEST(fields_arrive)
{
	struct run_request run = { .level = 2 }, run_got = { 0 };
	struct run_result ran = { .load = { true, { 1, 2, 3, 4 }, 5 } };
	struct run_result ran_got = { 0 };
	struct message sent = { .kind = MSG_RUN, .run = &run };
	struct message got = { .kind = MSG_RUN, .run = &run_got };
	GBytes *bytes = wire_extension_write(&sent);

	ck_assert(read_bytes(bytes, &got));
	ck_assert_uint_eq(run_got.level, 2);
	g_bytes_unref(bytes);
	sent = (struct message){ .kind = MSG_RUN_RESULT, .ran = &ran };
	got = (struct message){ .kind = MSG_RUN_RESULT, .ran = &ran_got };
	bytes = wire_extension_write(&sent);
	ck_assert(read_bytes(bytes, &got));
	ck_assert_mem_eq(&ran.load, &ran_got.load, sizeof(ran.load));
	g_bytes_unref(bytes);
	sent = (struct message){ .kind = MSG_RATE_REQUEST };
	sent.rate.wanted[0] = 7;
	sent.rate.wanted[3] = 1;
	got = (struct message){ .kind = MSG_RATE_REQUEST };
	bytes = wire_extension_write(&sent);
	ck_assert(read_bytes(bytes, &got));
	ck_assert_mem_eq(sent.rate.wanted, got.rate.wanted,
			 sizeof(got.rate.wanted));
	g_bytes_unref(bytes);
}
END_TEST

/* A view of an older build states no voters, which differs from none. */
START_TEST(voters_arrive)
{
	struct service_view view = {
		.states_voters = true,
		.voters = { { 2, 40 }, 3, 2, { { 7, 70 }, { 8, 80 } } }
	};
	struct service_view got_view = { 0 };
	struct message sent = { .kind = MSG_VIEW, .view = &view };
	struct message got = { .kind = MSG_VIEW, .view = &got_view };
	GBytes *bytes = wire_extension_write(&sent);

	ck_assert(read_bytes(bytes, &got));
	ck_assert(got_view.states_voters);
	ck_assert_mem_eq(&got_view.voters, &view.voters, sizeof(view.voters));
	g_bytes_unref(bytes);
	view = (struct service_view){ .states_voters = true };
	got_view = (struct service_view){ 0 };
	bytes = wire_extension_write(&sent);
	ck_assert(read_bytes(bytes, &got));
	ck_assert(got_view.states_voters);
	ck_assert(!voters_known(&got_view.voters));
	g_bytes_unref(bytes);
	view.states_voters = false;
	ck_assert_ptr_null(wire_extension_write(&sent));
}
END_TEST

/*
 * Guards against lost commits: an owner that does not hear that the record knows
 * of no commit acknowledges the first ones. Builds before do not tell.
 */
START_TEST(record_without_commits_arrives)
{
	struct service_view view = { .states_voters = true,
				     .voters = { { 2, 40 } } };
	struct service_view got_view = { .committed = true };
	struct message sent = { .kind = MSG_VIEW, .view = &view };
	struct message got = { .kind = MSG_VIEW, .view = &got_view };
	GBytes *bytes = wire_extension_write(&sent);
	msgpack_sbuffer buffer;
	msgpack_packer k;

	ck_assert(read_bytes(bytes, &got));
	ck_assert(got_view.states_voters && !got_view.committed);
	g_bytes_unref(bytes);
	view.committed = true;
	bytes = wire_extension_write(&sent);
	ck_assert(read_bytes(bytes, &got));
	ck_assert(got_view.committed);
	g_bytes_unref(bytes);
	got_view.committed = false;
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&k, &buffer, msgpack_sbuffer_write);
	pack_field(&k, 8, 3); /* all that such a build says of the version */
	ck_assert(wire_extension_read(buffer.data, buffer.size, &got));
	ck_assert(got_view.committed);
	msgpack_sbuffer_destroy(&buffer);
}
END_TEST

/* Guards against capacities lost on the way, directly or by a relay. */
START_TEST(capacity_arrives)
{
	struct peer_news news[2] = {
		{ .incarnation = 1 },
		{ .full = true, .features = 2, .capacity = { 120, 10, true } }
	};
	struct peer_news news_got[2] = { 0 };
	struct digest digest = { .count = 2, .news = news };
	struct digest digest_got = { .count = 2, .news = news_got };
	struct message sent = { .kind = MSG_HEARTBEAT };
	struct message got = { .kind = MSG_HEARTBEAT };
	GBytes *bytes;

	sent.heartbeat.capacity = (struct capacity){ 500, 200, true };
	digest.heartbeat.capacity = sent.heartbeat.capacity;
	bytes = wire_extension_write(&sent);
	ck_assert(read_bytes(bytes, &got));
	ck_assert_uint_eq(got.heartbeat.capacity.processor_millis, 500);
	ck_assert_uint_eq(got.heartbeat.capacity.link_mbit, 200);
	ck_assert(got.heartbeat.capacity.busy);
	g_bytes_unref(bytes);
	sent = (struct message){ .kind = MSG_DIGEST, .digest = &digest };
	got = (struct message){ .kind = MSG_DIGEST, .digest = &digest_got };
	bytes = wire_extension_write(&sent);
	ck_assert(read_bytes(bytes, &got));
	ck_assert_uint_eq(digest_got.heartbeat.capacity.link_mbit, 200);
	ck_assert_uint_eq(news_got[0].features, 0);
	ck_assert_uint_eq(news_got[1].features, 2);
	ck_assert_uint_eq(news_got[1].capacity.processor_millis, 120);
	ck_assert(news_got[1].capacity.busy);
	/* A malicious or faulty relay: no such entry. */
	digest_got.count = 1;
	ck_assert(read_bytes(bytes, &got));
	g_bytes_unref(bytes);
}
END_TEST

START_TEST(no_field_no_extension)
{
	struct run_request run = { .level = 0 };
	struct message m = { .kind = MSG_RUN, .run = &run };

	ck_assert_ptr_null(wire_extension_write(&m));
	m = (struct message){ .kind = MSG_RELEASE };
	ck_assert_ptr_null(wire_extension_write(&m));
}
END_TEST

/* A build that comes later sends a field and levels that this one lacks. */
START_TEST(newer_fields_are_skipped)
{
	struct message m = { .kind = MSG_RATE_REQUEST };
	msgpack_sbuffer buffer;
	msgpack_packer k;
	uint32_t i;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&k, &buffer, msgpack_sbuffer_write);
	pack_field(&k, 900, 3);
	pack_field(&k, 2, 1); /* of another kind of message */
	pack_field(&k, 3, PRIORITY_LEVELS + 20);
	ck_assert(wire_extension_read(buffer.data, buffer.size, &m));
	for (i = 0; i < PRIORITY_LEVELS; i++)
		ck_assert_uint_eq(m.rate.wanted[i], 10 + i);
	msgpack_sbuffer_destroy(&buffer);
}
END_TEST

START_TEST(level_beyond_the_last_is_limited)
{
	struct run_request run = { .level = 200 }, got = { 0 };
	struct message m = { .kind = MSG_RUN, .run = &run };
	GBytes *bytes = wire_extension_write(&m);

	m.run = &got;
	ck_assert(read_bytes(bytes, &m));
	ck_assert_uint_eq(got.level, PRIORITY_LEVELS - 1);
	g_bytes_unref(bytes);
}
END_TEST

START_TEST(corrupted_extensions_are_refused_safely)
{
	struct run_result ran = { .load = { true, { 1, 2, 3, 4 }, 5 } };
	struct message m = { .kind = MSG_RUN_RESULT, .ran = &ran };
	GBytes *bytes = wire_extension_write(&m);
	struct rng rng = { SEED };
	int i, refused = 0;

	for (i = 0; i < CORRUPTED; i++) {
		struct run_result got = { 0 };
		gsize size = g_bytes_get_size(bytes);
		char *data = g_memdup2(g_bytes_get_data(bytes, NULL), size);

		m.ran = &got;
		data[rng_below(&rng, size)] = (char)rng_next(&rng);
		size = rng_below(&rng, 4) ? size : rng_below(&rng, size + 1);
		refused += !wire_extension_read(data, size, &m);
		if (!got.load.known)
			ck_assert_int_eq(got.load.connection_wait, 0);
		g_free(data);
	}
	ck_assert_int_gt(refused, CORRUPTED / 4);
	g_bytes_unref(bytes);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("wire_extension");

	tcase_add_test(tc, fields_arrive);
	tcase_add_test(tc, voters_arrive);
	tcase_add_test(tc, record_without_commits_arrives);
	tcase_add_test(tc, capacity_arrives);
	tcase_add_test(tc, no_field_no_extension);
	tcase_add_test(tc, newer_fields_are_skipped);
	tcase_add_test(tc, level_beyond_the_last_is_limited);
	tcase_add_test(tc, corrupted_extensions_are_refused_safely);
	return suite_run("wire_extension", tc);
}
