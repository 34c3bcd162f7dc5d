/**
 * @file test_admit.c
 * Scripted tests of one instance in zone 0: the queues of statements that wait
 * for tokens, delayed and repeated grants, and when it may issue tokens.
 */
#include <check.h>
#include <stdlib.h>

#include "../core/admit.h"
#include "../core/rng.h"
#include "script.h"
#include "suite.h"

#define INCARNATION 9
#define PEER_INCARNATION 200
/*
 * An account whose first share goes to zone 0, the zone of the tested instance:
 * 4 modulo 2 zones is 0.
 */
#define ACCOUNT 4

struct run {
	struct core_options options;
	struct peers *peers;
	struct rate *rate;
	struct admit *admit;
	struct actions actions;
	uint64_t peer_seq;
	uint64_t version;
	hm_time now;
};

static void contract(struct run *r, const char *line)
{
	struct contract c = { .account = ACCOUNT, .version = ++r->version };

	c.rate = (uint32_t)script_int(line, "rate", 100);
	c.burst = (uint32_t)script_int(line, "burst", 100);
	c.withdrawn = script_int(line, "withdrawn", 0);
	rate_set_contract(r->rate, &c, r->now);
}

static void heartbeat(struct run *r, const char *line)
{
	struct message m = { .kind = MSG_HEARTBEAT, .seq = ++r->peer_seq };

	m.from = (uint64_t)script_int(line, "life", PEER_INCARNATION);
	m.heartbeat.instance = m.from;
	m.heartbeat.zone = (uint16_t)script_int(line, "zone", 1);
	m.heartbeat.leaving = script_int(line, "leaving", 0);
	peers_message(r->peers, &m, r->now);
}

static void push(struct run *r, const char *line, GString *out)
{
	static const char *const names[] = { "pass", "wait", "refuse" };
	struct statement s = { .account = ACCOUNT };
	hm_time retry_at = 0;
	enum admit_outcome got;

	s.id = (struct rid){ INCARNATION, (uint64_t)script_int(line, "id", 0) };
	s.deadline = r->now + script_int(line, "within", 1000) * HM_MS;
	s.level = (uint32_t)script_int(line, "level", 0);
	got = admit_push(r->admit, &s, r->now, &retry_at, &r->actions);
	g_string_append(out, names[got]);
	if (retry_at)
		g_string_append_printf(out, " retry_in=%d",
				       (int)((retry_at - r->now) / HM_MS));
	g_string_append_c(out, '\n');
}

static void rate_order(struct run *r, const char *line, enum message_kind kind)
{
	struct message m = { .kind = kind };

	m.from = (uint64_t)script_int(line, "from", PEER_INCARNATION);
	m.rate.account = ACCOUNT;
	m.rate.nonce.seq = (uint64_t)script_int(line, "nonce", 1);
	m.rate.nonce.incarnation =
		kind == MSG_RATE_GRANT ? INCARNATION : m.from;
	m.rate.tokens = (uint32_t)script_int(line, "tokens", 0);
	m.rate.valid = script_int(line, "valid", 250) * HM_MS;
	m.rate.wanted[0] = (uint32_t)script_int(line, "urgent", 0);
	m.rate.wanted[2] = (uint32_t)script_int(line, "least", 0);
	rate_message(r->rate, &m, r->now, &r->actions);
}

static void print_actions(struct run *r, GString *out)
{
	size_t i;

	for (i = 0; i < r->actions.count; i++) {
		const struct action *act = &r->actions.list[i];
		const struct rate_tokens *o = &act->send.message.rate;

		g_string_append_printf(
			out, "%s to=%d nonce=%d tokens=%u\n",
			act->send.message.kind == MSG_RATE_REQUEST ? "want"
								   : "grant",
			(int)act->send.to, (int)o->nonce.seq, o->tokens);
		if (o->tokens && rate_level_count(r->rate) > 1 &&
		    act->send.message.kind == MSG_RATE_REQUEST) {
			g_string_truncate(out, out->len - 1);
			g_string_append_printf(out, " urgent=%u least=%u\n",
					       o->wanted[0], o->wanted[2]);
		}
	}
	actions_clear(&r->actions);
}

static void print_results(struct run *r, GString *out)
{
	struct admit_result result;

	while (admit_next(r->admit, r->now, &result))
		g_string_append_printf(out, "%s id=%d%s\n",
				       result.admitted ? "passed" : "refused",
				       (int)result.statement.id.seq,
				       result.overtaken ? " overtaken" : "");
}

static void tick(struct run *r)
{
	peers_tick(r->peers, r->now);
	rate_tick(r->rate, r->now, &r->actions);
	admit_tick(r->admit, r->now, &r->actions);
}

/* Advances the time by ticks without other events. */
static void pass_time(struct run *r, hm_time until)
{
	while (r->now < until) {
		r->now += CORE_TICK;
		tick(r);
		actions_clear(&r->actions);
	}
}

static void command(void *context, const char *line, GString *out)
{
	struct run *r = context;

	pass_time(r, r->now + script_int(line, "after", 0) * HM_MS);
	r->now += script_int(line, "paused", 0) * HM_MS;
	if (g_str_has_prefix(line, "contract"))
		contract(r, line);
	else if (g_str_has_prefix(line, "beat"))
		heartbeat(r, line);
	else if (g_str_has_prefix(line, "push"))
		push(r, line, out);
	else if (g_str_has_prefix(line, "want"))
		rate_order(r, line, MSG_RATE_REQUEST);
	else if (g_str_has_prefix(line, "grant"))
		rate_order(r, line, MSG_RATE_GRANT);
	else if (g_str_has_prefix(line, "tick"))
		tick(r);
	else if (g_str_has_prefix(line, "levels"))
		rate_set_levels(r->rate,
				(uint32_t)script_int(line, "count", 3));
	else if (g_str_has_prefix(line, "give_up"))
		admit_refuse_exhausted(r->admit, ACCOUNT, r->now);
	else if (g_str_has_prefix(line, "exhausted"))
		g_string_append_printf(
			out, "urgent=%d least=%d\n",
			rate_exhausted(r->rate, ACCOUNT, 0, r->now),
			rate_exhausted(r->rate, ACCOUNT, 2, r->now));
	else if (g_str_has_prefix(line, "drop"))
		admit_drop(r->admit,
			   (struct rid){ INCARNATION,
					 (uint64_t)script_int(line, "id", 0) });
	print_actions(r, out);
	print_results(r, out);
}

static void run_file(const char *file)
{
	struct run r = { .options = { .instance = 1,
				      .incarnation = INCARNATION,
				      .zone_count = 2,
				      .peer_silent = HM_SEC } };
	char *fault;

	r.peers = peers_new(&r.options, 0);
	r.rate = rate_new(&r.options, r.peers, 0);
	r.admit = admit_new(r.rate);
	fault = script_run(file, command, &r);
	ck_assert_msg(!fault, "%s", fault);
	admit_free(r.admit);
	rate_free(r.rate);
	peers_free(r.peers);
	actions_free(&r.actions);
}

static const char *const files[] = {
	"tests/scripts/admit_lines.txt", "tests/scripts/rate_grants.txt",
	"tests/scripts/rate_owner.txt",	 "tests/scripts/token_levels.txt",
	"tests/scripts/token_floor.txt", "tests/scripts/token_owner.txt",
};

START_TEST(scripted)
{
	run_file(files[_i]);
}
END_TEST

START_TEST(shares_sum_exactly)
{
	struct rng rng = { 3 };
	uint32_t i;

	for (i = 0; i < 5000; i++) {
		struct contract c = { .account = rng_next(&rng) };
		uint16_t zones = (uint16_t)(1 + rng_below(&rng, 8));
		uint64_t rate = 0, burst = 0;
		uint16_t z;

		c.rate = (uint32_t)(1 + rng_below(&rng, 300));
		c.burst = (uint32_t)(1 + rng_below(&rng, 300));
		for (z = 0; z < zones; z++) {
			struct rate_share p;

			rate_share_of(&c, z, zones, &p);
			ck_assert(!p.rate == !p.burst);
			rate += p.rate;
			burst += p.burst;
		}
		ck_assert_uint_eq(rate, c.rate);
		ck_assert_uint_eq(burst, c.burst);
	}
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("admit");

	tcase_add_loop_test(tc, scripted, 0, (int)G_N_ELEMENTS(files));
	tcase_add_test(tc, shares_sum_exactly);
	return suite_run("admit", tc);
}
