/**
 * @file circuit.h
 * Circuit breaker of one endpoint: opens after failures in a row, lets one
 * trial through after a pause that doubles up to a limit.
 */
#ifndef CIRCUIT_H
#define CIRCUIT_H

#include "types.h"

/** All zero: closed. */
struct circuit {
	uint32_t failures; /**< in a row */
	hm_time open_until;
};

void circuit_attempt(struct circuit *c, bool ok, hm_time now);
bool circuit_open(const struct circuit *c, hm_time now);

#endif
