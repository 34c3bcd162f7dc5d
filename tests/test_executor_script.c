/** @file test_executor_script.c Scripted runs of one executor. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "../core/executor.h"
#include "script.h"
#include "suite.h"

#define INCARNATION 9

struct run {
	struct core_options options;
	struct contracts *contracts;
	struct executor *executor;
	struct endpoint_spec spec;
	struct actions actions;
	uint64_t next_conn;
	uint64_t version;
	hm_time now;
};

static const char *const ops[] = { "read", "write", "begin", "commit",
				   "rollback" };
static const char *const dones[] = { "ok", "rejected", "refused", "not_sent",
				     "lost" };

static int index_of(const char *const *words, int count, const char *line,
		    const char *name)
{
	char *word = script_arg(line, name);
	int i, found = 0;

	for (i = 0; word && i < count; i++)
		if (!strcmp(words[i], word))
			found = i;
	g_free(word);
	return found;
}

static void grant(struct run *r, hm_id account, bool withdrawn,
		  uint32_t transactions)
{
	struct contract c = { .account = account,
			      .version = ++r->version,
			      .withdrawn = withdrawn,
			      .rate = 100,
			      .burst = 100,
			      .weight = 1,
			      .transactions = transactions,
			      .database_count = 1,
			      .key_count = 1 };
	const char *fault;

	c.databases[0].database = 1;
	c.keys[0] = (struct key_id){ account, 1 };
	contracts_apply(r->contracts, &c, &fault);
}

static void submit(struct run *r, const char *line)
{
	struct statement s = { .database = 1 };

	s.id = (struct rid){ INCARNATION, (uint64_t)script_int(line, "id", 0) };
	s.account = (hm_id)script_int(line, "account", 1);
	s.key = (struct key_id){ s.account, 1 };
	s.op = (enum op)index_of(ops, 5, line, "op");
	s.deadline = r->now + script_int(line, "within", 1000) * HM_MS;
	s.tx.id.seq = (uint64_t)script_int(line, "tx", 0);
	s.tx.id.incarnation = s.tx.id.seq ? INCARNATION : 0;
	executor_submit(r->executor, &s, 5, r->now, &r->actions);
}

static void event(struct run *r, const char *line, enum event_kind kind)
{
	struct event e = { .kind = kind };
	uint64_t conn = (uint64_t)script_int(line, "conn", 0);

	if (kind == EV_DONE) {
		e.done.conn = conn;
		e.done.id.seq = (uint64_t)script_int(line, "id", 0);
		e.done.id.incarnation = e.done.id.seq ? INCARNATION : 0;
		e.done.done = (enum completion)index_of(dones, 5, line, "done");
		e.done.open_tx = script_int(line, "open", 0);
	} else {
		e.conn.conn = conn;
	}
	executor_event(r->executor, &e, r->now, &r->actions);
}

static void print_actions(struct run *r, GString *out)
{
	static const char *const names[] = {
		[ACT_CONNECT] = "connect", [ACT_EXECUTE] = "execute",
		[ACT_CANCEL] = "cancel",   [ACT_RESET] = "reset",
		[ACT_CLOSE] = "close",
	};
	size_t i;

	for (i = 0; i < r->actions.count; i++) {
		const struct action *act = &r->actions.list[i];

		g_string_append_printf(out, "%s conn=%d", names[act->kind],
				       (int)act->conn.conn);
		if (act->kind == ACT_EXECUTE)
			g_string_append_printf(out, " id=%d",
					       (int)act->conn.statement.id.seq);
		g_string_append_c(out, '\n');
	}
	actions_clear(&r->actions);
}

static void print_executor_results(struct run *r, GString *out)
{
	struct executor_result e;

	while (executor_next_result(r->executor, &e)) {
		g_string_append_printf(out, "ended id=%d %s, %s",
				       (int)e.statement.id.seq,
				       error_answer(e.error)->code,
				       execution_name(e.execution));
		if (e.tx.id.seq)
			g_string_append_printf(out, " tx=%d", (int)e.tx.id.seq);
		if (e.retry_at)
			g_string_append_printf(
				out, " retry_in=%d",
				(int)((e.retry_at - r->now) / HM_MS));
		g_string_append_c(out, '\n');
	}
}

static void print_load(struct run *r, GString *out)
{
	struct executor_load l;

	executor_get_load(r->executor, r->now, &l);
	g_string_append_printf(out,
			       "queued=%u running=%u connections=%u "
			       "transactions=%u\n",
			       l.queued, l.running, l.connections,
			       l.transactions);
}

static void change(struct run *r, const char *line)
{
	hm_id account = (hm_id)script_int(line, "account", 1);

	grant(r, account, g_str_has_prefix(line, "withdraw"),
	      (uint32_t)script_int(line, "transactions", 2));
}

static void leave(struct run *r)
{
	r->spec.leaving = true;
	executor_set_spec(r->executor, &r->spec);
}

static void command(void *context, const char *line, GString *out)
{
	struct run *r = context;

	r->now += script_int(line, "after", 0) * HM_MS;
	if (g_str_has_prefix(line, "submit"))
		submit(r, line);
	else if (g_str_has_prefix(line, "connected"))
		event(r, line, EV_CONNECTED);
	else if (g_str_has_prefix(line, "closed"))
		event(r, line, EV_CLOSED);
	else if (g_str_has_prefix(line, "done"))
		event(r, line, EV_DONE);
	else if (g_str_has_prefix(line, "tick"))
		executor_tick(r->executor, r->now, &r->actions);
	else if (g_str_has_prefix(line, "abandon"))
		executor_abandon(
			r->executor,
			(struct rid){ INCARNATION,
				      (uint64_t)script_int(line, "id", 0) },
			r->now, &r->actions);
	else if (g_str_has_prefix(line, "hold"))
		executor_block_writes(r->executor, script_int(line, "on", 1));
	else if (g_str_has_prefix(line, "leaving"))
		leave(r);
	else if (g_str_has_prefix(line, "close"))
		executor_close(r->executor, r->now, &r->actions);
	else if (g_str_has_prefix(line, "load"))
		print_load(r, out);
	else
		change(r, line);
	print_actions(r, out);
	print_executor_results(r, out);
}

static void run_file(const char *file)
{
	struct run r = {
		.options = { .incarnation = INCARNATION,
			     .idle_transaction = HM_SEC,
			     .statement_limit = 5 * HM_SEC,
			     .queue_limit = 4 },
		.spec = { .endpoint = 2, .slots = 2, .connections = 8 },
	};
	struct database_spec d = { .database = 1 };
	char *fault;

	r.contracts = contracts_new();
	grant(&r, 1, false, 2);
	grant(&r, 2, false, 2);
	r.executor = executor_new(&r.options, r.contracts, &d, &r.spec,
				  &r.next_conn, 0);
	fault = script_run(file, command, &r);
	ck_assert_msg(!fault, "%s", fault);
	executor_free(r.executor);
	contracts_free(r.contracts);
	actions_free(&r.actions);
}

static const char *const files[] = {
	"tests/scripts/executor_transactions.txt",
	"tests/scripts/executor_keys.txt",
	"tests/scripts/executor_deadlines.txt",
	"tests/scripts/executor_queue.txt",
	"tests/scripts/executor_silent.txt",
	"tests/scripts/executor_mixed.txt",
};

START_TEST(scripted)
{
	run_file(files[_i]);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("executor_script");

	tcase_add_loop_test(tc, scripted, 0, (int)G_N_ELEMENTS(files));
	return suite_run("executor_script", tc);
}
