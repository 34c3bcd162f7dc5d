/**
 * @file case_entry.c
 * Another writer puts one entry of kind "servers" that cannot be read. Then all
 * processes are killed and started again (the final fault). RECOVER: of the
 * requests sent later than RecoveryS after the machines are back, at least a
 * quarter is served.
 */
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "rig.h"

static const char config[] =
	"{\"Version\":7,\"Routes\":[{\"Name\":\"r-1\",\"Host\":\"bills\","
	"\"PathPrefix\":\"/\",\"Type\":\"primary\",\"TimeoutMs\":1000,"
	"\"TargetLatencyMs\":200,\"Priority\":1,\"Service\":\"" RIG_SERVICE
	"\",\"MaxAttempts\":2,\"Public\":false},{\"Name\":\"r-2\",\"Host\":"
	"\"meters\",\"PathPrefix\":\"/\",\"Type\":\"bounded\",\"TimeoutMs\":"
	"2000,\"TargetLatencyMs\":600,\"Priority\":2,\"Service\":\"" RIG_SERVICE
	"\",\"MaxAttempts\":2,\"MaxStalenessMs\":1500,\"Public\":false}],"
	"\"Services\":[{\"Name\":\"" RIG_SERVICE
	"\",\"HealthPath\":\"/health\",\"MaxConnections\":21,\"Protocol\":"
	"\"h1\",\"Tls\":false,\"SyncReplicas\":1}],\"Limits\":{\"TxIdleMs\":"
	"3000},\"Tenants\":[{\"Name\":\"nypu920\",\"ApiKeys\":[\"u6wsjnba\"],"
	"\"Priority\":1,\"PerS\":125,\"Burst\":125}]}";

/* An entry that another writer left: bytes that are no text. */
static const char unreadable[] = "\"\\u0000\\u0001\\u0007\\u0000\"";

/* Sends operations for @a seconds; returns the share that was served. */
static double play(const char *part, double length)
{
	double until = rig_now() + length;
	char answer[RIG_ANSWER_BYTES];
	int sent = 0, served = 0, i;
	struct rig_client c;

	for (i = 0; rig_now() < until; i++) {
		const char *host = i % 2 ? "meters" : "bills";
		const char *text = i % 4 ? "READ 1a4" : "WRITE 1a4 xkqp";
		bool ok = rig_open(&c, i % RIG_INSTANCES, host, "u6wsjnba",
				   answer);

		if (ok)
			ok = rig_query(&c, i % 2 ? "READ 1a4" : text, answer);
		rig_close(&c);
		sent++;
		served += ok;
		if (i < 6 || (!ok && sent - served <= 6))
			rig_record("%s: %s at instance %d: %s", part,
				   i % 2 ? "READ 1a4" : text, i % RIG_INSTANCES,
				   answer);
		rig_sleep(0.05);
	}
	rig_record("%s: %d operations sent, %d served, members ran %llu "
		   "statements so far",
		   part, sent, served, (unsigned long long)rig_runs());
	return sent ? (double)served / sent : 0;
}

int main(int argc, char **argv)
{
	const char *trouble = getenv("TROUBLE");
	double before, after, back;
	int i;

	if (argc != 3)
		return 2;
	rig_start(argv[1], argv[2]);
	rig_put("config", "main", config);
	rig_put_members();
	for (i = 0; i < RIG_INSTANCES; i++)
		rig_start_instance(i);
	if (!rig_wait_ready(15))
		return rig_end(2);
	rig_sleep(2);
	before = play("before", 6);
	if (!trouble || strcmp(trouble, "0") != 0)
		rig_put("servers", "i-0", unreadable);
	play("entry", 6);
	for (i = 0; i < RIG_INSTANCES; i++)
		rig_kill_instance(i, SIGKILL);
	rig_sleep(0.6);
	for (i = 0; i < RIG_INSTANCES; i++)
		rig_start_instance(i);
	back = rig_now();
	play("within RecoveryS", RECOVERY_S);
	rig_sleep(back + RECOVERY_S - rig_now());
	after = play("after RecoveryS", 20);
	for (i = 0; i < RIG_INSTANCES; i++)
		rig_record("instance %d: readiness %d", i, rig_ready(i));
	rig_record("served before the final fault %.3f, later than RecoveryS "
		   "after it %.3f",
		   before, after);
	if (before < 0.25)
		return rig_end(2);
	return rig_end(after < 0.25);
}
