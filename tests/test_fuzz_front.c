/**
 * @file test_fuzz_front.c
 * Corrupted input, generated from fixed random seeds, for the parsers of
 * settings, request bodies, session tokens, transaction IDs and HTTP.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../core/rng.h"
#include "../src/names.h"
#include "../src/request.h"
#include "../src/token.h"
#include "front_fixture.h"
#include "suite.h"

#define SETTINGS_ROUNDS 20000
#define REQUEST_ROUNDS 40000
#define TOKEN_ROUNDS 40000
#define SOCKET_ROUNDS 150
#define INPUT_MAX 1024
#define CHANGES_MAX 6

static const char settings_text[] =
	"{\"instance\":\"a\",\"zone\":\"n\",\"zones\":[\"n\",\"s\"],"
	"\"listen\":{\"callers\":\"127.0.0.1:1\",\"peers\":\"127.0.0.1:2\","
	"\"operators\":\"[::1]:3\"},\"platform\":\"127.0.0.1:9\","
	"\"seeds\":[\"127.0.0.1:5\"],\"limits\":{\"rows\":10},"
	"\"timing\":{\"heartbeat_ms\":100},\"token_secret\":"
	"\"000102030405060708090a0b0c0d0e0f"
	"101112131415161718191a1b1c1d1e1f\"}";

static const char request_text[] =
	"{\"database\":\"rota\",\"sql\":\"select $1\",\"params\":[1,2.5,null,"
	"true,\"x\\u00e9\"],\"mode\":\"read\",\"idempotent\":true,"
	"\"max_age_ms\":10,\"deadline_ms\":20,\"transaction\":\"1-2-3-4\"}";

static const char raw_text[] =
	"POST /v1/statement HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer k\r\n"
	"Session-Token: AQ\r\nContent-Length: 45\r\n\r\n"
	"{\"database\":\"rota\",\"sql\":\"s\",\"mode\":\"read\"}\r\n";

/* Copies the input with a few random bytes changed, removed or repeated. */
static size_t corrupt(struct rng *rng, const char *from, size_t bytes, char *to)
{
	uint64_t changes = rng_below(rng, CHANGES_MAX) + 1;
	size_t at, part;

	memcpy(to, from, bytes);
	while (changes--) {
		at = rng_below(rng, bytes);
		part = rng_below(rng, bytes - at) + 1;
		switch (rng_below(rng, 5)) {
		case 0:
			to[at] = (char)rng_next(rng);
			break;
		case 1:
			to[at] = "{}[]\",:0-9.\\"[rng_below(rng, 12)];
			break;
		case 2:
			memmove(to + at, to + at + part, bytes - at - part);
			bytes -= part;
			break;
		case 3:
			if (bytes + part > INPUT_MAX)
				break;
			memmove(to + at + part, to + at, bytes - at);
			bytes += part;
			break;
		default:
			memcpy(to + at, to + rng_below(rng, at + 1),
			       MIN(part, 1));
			break;
		}
		if (!bytes)
			return 0;
	}
	return bytes;
}

static void assert_one_line(const char *fault, const char *file)
{
	ck_assert_msg(g_str_has_prefix(fault, file), "%s", fault);
	ck_assert_msg(!strchr(fault, '\n'), "%s", fault);
}

START_TEST(settings_parser_survives_corruption)
{
	struct rng rng = { 21 };
	char fault[SETTINGS_FAULT_BYTES];
	char text[INPUT_MAX + 1];
	struct settings s;
	size_t bytes;
	int i;

	for (i = 0; i < SETTINGS_ROUNDS; i++) {
		bytes = corrupt(&rng, settings_text, strlen(settings_text),
				text);
		text[bytes] = '\0';
		if (!settings_parse(&s, "f.json", text, fault)) {
			assert_one_line(fault, "f.json: $");
			continue;
		}
		ck_assert(s.zone_count > 0 && s.core.zone < s.zone_count);
		ck_assert(s.core.heartbeat_every > 0);
		ck_assert(s.seed_count <= SEEDS_MAX);
	}
}
END_TEST

static void assert_request(const struct request *r, const struct settings *s)
{
	ck_assert(r->deadline > 0 && r->deadline <= s->deadline_limit);
	ck_assert(r->max_age >= 0);
	ck_assert(r->database[0] != '\0');
	ck_assert(g_bytes_get_size(r->body) > 0);
	ck_assert(r->op == OP_READ || r->op == OP_WRITE);
}

START_TEST(request_parser_survives_corruption)
{
	struct rng rng = { 22 };
	char text[INPUT_MAX];
	struct settings s;
	struct refusal why;
	struct request r;
	size_t bytes;
	int i;

	settings_default(&s);
	for (i = 0; i < REQUEST_ROUNDS; i++) {
		bytes = corrupt(&rng, request_text, strlen(request_text), text);
		if (!request_parse(&r, OP_READ, text, bytes, &s, 0, &why)) {
			assert_one_line(why.text, "body: $");
			ck_assert(why.error != ERR_NONE);
			continue;
		}
		assert_request(&r, &s);
		g_bytes_unref(r.body);
	}
}
END_TEST

START_TEST(corrupted_tokens_are_refused)
{
	static const uint8_t secret[SECRET_BYTES] = { 9 };
	struct rng rng = { 23 };
	struct token t = { .binding = 3, .count = 2 }, parsed;
	char valid[TOKEN_TEXT_BYTES], text[INPUT_MAX];
	size_t bytes;
	int i;

	token_write(&t, secret, valid);
	for (i = 0; i < TOKEN_ROUNDS; i++) {
		bytes = corrupt(&rng, valid, strlen(valid), text);
		if (token_read(&parsed, secret, text, bytes))
			ck_assert(bytes == strlen(valid) &&
				  !memcmp(text, valid, bytes));
	}
}
END_TEST

START_TEST(tx_parser_survives_corruption)
{
	struct rng rng = { 24 };
	struct tx_id tx = { { 1, 2 }, 3 }, parsed;
	char valid[TX_TEXT_BYTES], text[INPUT_MAX];
	size_t bytes;
	hm_id database;
	int i;

	tx_text(tx, 4, valid);
	ck_assert(tx_parse(valid, strlen(valid), &parsed, &database));
	ck_assert(rid_equal(tx.id, parsed.id) && parsed.endpoint == 3);
	ck_assert(database == 4);
	for (i = 0; i < TOKEN_ROUNDS; i++) {
		bytes = corrupt(&rng, valid, strlen(valid), text);
		if (tx_parse(text, bytes, &parsed, &database))
			ck_assert(parsed.id.seq && parsed.endpoint && database);
	}
}
END_TEST

/* Any answer is accepted, but the front end must keep serving. */
START_TEST(sockets_survive_corruption)
{
	struct rng rng = { 25 };
	struct call c = { .path = "/health" };
	char text[INPUT_MAX];
	struct settings s;
	struct front_fixture *f;
	size_t bytes;
	int i, fd;

	front_fixture_settings(&s);
	f = front_fixture_new(&s);
	for (i = 0; i < SOCKET_ROUNDS; i++) {
		bytes = corrupt(&rng, raw_text, strlen(raw_text), text);
		fd = front_fixture_connect(f);
		send(fd, text, bytes, MSG_NOSIGNAL);
		if (rng_below(&rng, 2))
			shutdown(fd, SHUT_WR);
		close(fd);
	}
	front_fixture_call(f, &c);
	ck_assert_int_eq(c.status, 200);
	call_clear(&c);
	front_fixture_free(f);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("fuzz_front");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, settings_parser_survives_corruption);
	tcase_add_test(tc, request_parser_survives_corruption);
	tcase_add_test(tc, corrupted_tokens_are_refused);
	tcase_add_test(tc, tx_parser_survives_corruption);
	tcase_add_test(tc, sockets_survive_corruption);
	return suite_run("fuzz_front", tc);
}
