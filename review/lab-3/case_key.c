/**
 * @file case_key.c
 * A new version of the config takes the key of a connected client from its
 * tenant and gives it to another one, while the client has a transaction open.
 * With TROUBLE=0 the new version adds a key only.
 */
#include "lab.h"

#include <string.h>

#include "member.h"

#define KEY_HOLDER "zenith"    /* from the second version on */
#define CONFIG_APPLY 3.0       /* s, ConfigApplyMs */
#define STATEMENT_EVERY 1.0    /* s, less than TxIdleMs */
#define STATEMENTS 6

static bool trouble;
static double acked_at; /* of the second version; 0: not yet */
static double sent_at;	/* of the client's last statement */
static int wrong;

static void on_run(int member, const char *tenant, const char *id,
		   const char *text)
{
	const char *holder = trouble && acked_at > 0 ? KEY_HOLDER : "acme";
	bool late = acked_at > 0 && sent_at > acked_at + CONFIG_APPLY;

	/* The statements by which the lab waits for the start don't count. */
	if (!g_str_has_prefix(id, "5c0e7a21"))
		return;
	lab_note("member %s runs %s for tenant %s: %s", member_name(member), id,
		 tenant, text);
	if (!strcmp(tenant, holder))
		return;
	lab_note("  the key is held by %s; sent %.3f s after the ack", holder,
		 sent_at - acked_at);
	wrong += late;
}

static bool request(struct lab_client *c, int number, const char *text)
{
	struct lab_answer a;

	sent_at = lab_time();
	lab_note("client sends 5c0e7a21%08x %s", number, text);
	if (!lab_send(c, "QUERY 5c0e7a21%08x %s\r\n", number, text))
		return false;
	lab_read_answer(c, lab_time() + 3, 0, &a);
	lab_note("client gets %s%s%s",
		 !a.complete  ? a.end
		 : a.error[0] ? "error "
			      : "success",
		 a.error, a.success ? " with a receipt" : "");
	return a.complete && !a.error[0];
}

int main(int argc, char **argv)
{
	struct lab_client c;
	bool open;
	int i;

	trouble = lab_open(argc > 1 ? argv[1] : "record.txt");
	lab_start(3);
	lab_sleep(4); /* StableWindowMs without any disruption */
	members_on_run(on_run);
	if (!lab_connect(&c, &lab_instances[1], "rota", 0) ||
	    !request(&c, 1, "BEGIN") || !request(&c, 2, "WRITE 1a4 first"))
		lab_end(LAB_NOT_RUN);
	lab_configure(2, trouble ? "[{\"Name\":\"acme\",\"ApiKeys\":[\"spare\"],"
				   "\"PerS\":200,\"Burst\":200},"
				   "{\"Name\":\"zenith\",\"ApiKeys\":[\"other\","
				   "\"secret\"],\"PerS\":200,\"Burst\":200}]"
				 : "[{\"Name\":\"acme\",\"ApiKeys\":[\"secret\","
				   "\"spare\"],\"PerS\":200,\"Burst\":200},"
				   "{\"Name\":\"zenith\",\"ApiKeys\":[\"other\"],"
				   "\"PerS\":200,\"Burst\":200}]");
	acked_at = lab_time();
	open = true;
	for (i = 0; open && i < STATEMENTS; i++) {
		lab_sleep(STATEMENT_EVERY);
		open = request(&c, 10 + i, "WRITE 1a4 more");
	}
	if (open)
		request(&c, 3, "COMMIT");
	lab_note("%d statements sent later than ConfigApplyMs after the ack ran "
		 "for a tenant that doesn't hold the key",
		 wrong);
	lab_end(wrong ? LAB_BROKEN : LAB_HELD);
}
