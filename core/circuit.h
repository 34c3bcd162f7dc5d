/**
 * @file circuit.h
 * Circuit breaker of one endpoint: opens after a number of consecutive
 * failures. After a pause it lets attempts through again; each further failure
 * doubles the pause, up to a limit.
 */
#ifndef CIRCUIT_H
#define CIRCUIT_H

#include "types.h"

/** A zeroed circuit is closed. */
struct circuit {
	uint32_t failures; /**< failed attempts since the last success */
	hm_time open_until;
};

/** Records the result of an attempt; a success closes the circuit. */
void circuit_record(struct circuit *c, bool ok, hm_time now);
/** Whether no attempts are to be made now. */
bool circuit_open(const struct circuit *c, hm_time now);

#endif
