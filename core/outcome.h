/**
 * @file outcome.h
 * What may be told of a statement that ended on a connection: the error and
 * whether it ran. A claim that it did not run must be true.
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
 * @param cancelled a cancel was sent before it ended
 */
struct outcome outcome_of(enum op op, enum completion done, bool in_tx,
			  bool cancelled);

#endif
