/**
 * @file outcome.h
 * Maps the end of a statement on a connection to the error and the execution
 * reported to the client. "Not run" is reported only when it is certain.
 */
#ifndef OUTCOME_H
#define OUTCOME_H

#include "core.h"

struct outcome {
	enum error error;
	enum execution execution;
};

/**
 * @param in_tx the statement belonged to an open transaction
 * @param cancelled a cancel request was sent before the statement ended
 */
struct outcome outcome_of(enum op op, enum completion done, bool in_tx,
			  bool cancelled);

#endif
