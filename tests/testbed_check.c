/** @file testbed_check.c Checks answers against the members' logs. */
#include "testbed.h"

uint64_t testbed_incarnation(uint32_t proxy)
{
	return 1001 + proxy;
}

hm_time testbed_local_time(const struct testbed *b, uint32_t proxy)
{
	return b->now + b->proxies[proxy].skew;
}

static void report_violation(struct testbed *b, const char *rule)
{
	if (!b->violation)
		b->violation = rule;
}

void testbed_check_run(struct testbed *b, uint64_t write)
{
	uint64_t bit = (uint64_t)1 << write;

	if (b->ran & bit)
		report_violation(b, "a write ran twice");
	if (b->refused & bit)
		report_violation(b, "a write ran that was refused as not run");
	b->ran |= bit;
}

void testbed_check_refusal(struct testbed *b, uint64_t write)
{
	uint64_t bit = (uint64_t)1 << write;

	if (b->ran & bit)
		report_violation(
			b, "a write was refused as not run although it ran");
	b->refused |= bit;
}

/* A new primary must have all writes that were acknowledged as durable. */
void testbed_check_promotion(struct testbed *b)
{
	uint64_t bits;

	if (b->fakes.promoted == b->promoted)
		return;
	b->promoted = b->fakes.promoted;
	bits = fake_write_bits(&b->fakes.newest);
	if (b->durable & ~bits)
		report_violation(b,
				 "a promotion lost a write that a replica had");
	b->acked &= bits;
}

static void check_ack(struct testbed *b, const struct tracked *o)
{
	uint64_t bit = (uint64_t)1 << o->write;
	uint64_t term = o->ended.after.term;
	bool limited = o->verified.valid_until != HM_NEVER;

	b->acks++;
	b->acks_limited += limited;
	if (limited && b->fakes.promoted > o->verified.confirmed_term)
		report_violation(b,
				 "a superseded primary acknowledged a write");
	if (b->fakes.promoted > term &&
	    !(fake_write_bits(&b->fakes.newest) & bit))
		report_violation(b,
				 "acknowledged a write that a failover lost");
	if (!limited && b->fakes.promoted == term)
		b->durable |= bit;
	if (!(b->acked & bit))
		b->acked_at[o->write] = b->now;
	b->acked |= bit;
}

static uint64_t acked_before(const struct testbed *b, hm_time at)
{
	uint64_t bits = 0;
	uint64_t w;

	for (w = 1; w <= b->writes; w++)
		if (b->acked >> w & 1 && b->acked_at[w] <= at)
			bits |= (uint64_t)1 << w;
	return bits;
}

static void check_age(struct testbed *b, const struct tracked *o)
{
	hm_time max_age = o->ended.statement.max_age;
	uint64_t need = o->acked & b->acked;

	if (max_age)
		need = acked_before(b, b->now - max_age);
	if (need & ~o->snapshot)
		report_violation(b, "a read showed older data than accepted");
}

static void check_session(struct testbed *b, const struct tracked *o)
{
	const struct session *s = &b->sessions[o->session];

	if (s->pending != o->ended.statement.id.seq)
		return; /* the client no longer waits for it */
	if (s->must_see & ~o->snapshot)
		report_violation(b, "a session did not read its own writes");
}

void testbed_check_read(struct testbed *b, const struct tracked *o)
{
	check_age(b, o);
	check_session(b, o);
}

void testbed_session_answer(struct testbed *b, const struct tracked *o)
{
	const struct result *r = &o->verified.result;
	struct session *s = &b->sessions[o->session];

	if (s->pending != o->ended.statement.id.seq)
		return;
	s->pending = 0;
	if (r->error == ERR_WRITE_LOST) {
		b->lost++;
		if (o->floor_exists)
			report_violation(
				b, "reported the loss of a write that exists");
		s->must_see &= o->snapshot;
		if (o->write && r->execution == EXEC_RUN)
			s->must_see |= (uint64_t)1 << o->write;
		s->own_commit = r->at;
		return;
	}
	if (r->error == ERR_NONE && o->write)
		s->must_see |= (uint64_t)1 << o->write;
	if (r->error == ERR_NONE && !o->write)
		s->must_see |= o->snapshot;
	if (r->at.term)
		s->own_commit = r->at;
}

void testbed_log_answer(struct testbed *b, const struct tracked *o)
{
	const struct result *r = &o->verified.result;
	bool limited = o->verified.valid_until != HM_NEVER;

	if (!b->log)
		return;
	g_string_append_printf(b->log, "t=%d answer session=%u %s",
			       (int)((b->now - b->started_at) / HM_MS),
			       o->session, error_answer(r->error)->code);
	if (o->write)
		g_string_append_printf(b->log, " write=%u", (guint)o->write);
	if (r->error == ERR_NONE && o->write)
		g_string_append_printf(b->log, " by=%s",
				       limited ? "majority" : "replica");
	if (!o->write && r->error == ERR_NONE)
		g_string_append_printf(b->log, " from=%u age=%d",
				       (guint)(r->endpoint - fake_endpoint(0)),
				       (int)(r->age_bound / HM_MS));
	g_string_append_printf(b->log, " mark=%u:%u\n", (guint)r->at.term,
			       (guint)r->at.pos);
}

void testbed_receive_answer(struct testbed *b, uint32_t proxy,
			    struct tracked *o)
{
	struct result *r = &o->verified.result;

	if (r->error == ERR_NONE &&
	    testbed_local_time(b, proxy) >= o->verified.valid_until) {
		r->error = ERR_OUTCOME_UNKNOWN;
		r->execution = EXEC_UNKNOWN;
	}
	testbed_log_answer(b, o);
	b->answered++;
	b->unknown += r->error == ERR_OUTCOME_UNKNOWN;
	if (r->error == ERR_NONE && o->write)
		check_ack(b, o);
	testbed_session_answer(b, o);
}
