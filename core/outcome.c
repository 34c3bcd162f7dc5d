/** @file outcome.c Maps the end of a statement to its error and execution. */
#include "outcome.h"

/* The statement was not sent, or the endpoint reported that it did not run. */
static struct outcome not_run(enum op op, bool in_tx, bool refused)
{
	if (in_tx)
		return (struct outcome){ ERR_TX_GONE, EXEC_NOT_RUN };
	if (refused && op != OP_READ)
		return (struct outcome){ ERR_NO_PRIMARY, EXEC_NOT_RUN };
	return (struct outcome){ ERR_NO_ENDPOINT, EXEC_NOT_RUN };
}

/*
 * The connection closed while the statement was running, and the endpoint
 * rolls back the open transaction of that connection: only a commit, or a
 * statement outside of a transaction, may have taken effect.
 */
static struct outcome lost(enum op op, bool in_tx)
{
	if (op == OP_BEGIN)
		return (struct outcome){ ERR_NO_ENDPOINT, EXEC_NOT_RUN };
	if (in_tx && op != OP_COMMIT)
		return (struct outcome){ ERR_TX_GONE, EXEC_UNKNOWN };
	return (struct outcome){ ERR_OUTCOME_UNKNOWN, EXEC_UNKNOWN };
}

struct outcome outcome_of(enum op op, enum completion done, bool in_tx,
			  bool cancelled)
{
	switch (done) {
	case DONE_OK:
		return (struct outcome){ ERR_NONE, EXEC_RUN };
	case DONE_REJECTED:
		/*
		 * A rejected statement has no effect. After a cancel request,
		 * sent for example when the deadline has passed, the rejection
		 * is taken as the result of that request.
		 */
		if (cancelled)
			return (struct outcome){ ERR_DEADLINE, EXEC_NOT_RUN };
		return (struct outcome){ ERR_STATEMENT, EXEC_RUN };
	case DONE_REFUSED:
		return not_run(op, in_tx, true);
	case DONE_NOT_SENT:
		return not_run(op, in_tx, false);
	case DONE_LOST:
		break;
	}
	return lost(op, in_tx);
}
