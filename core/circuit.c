/** @file circuit.c Circuit breaker of one endpoint. */
#include "circuit.h"

#define CIRCUIT_FAILURES 3 /* consecutive failures that open the circuit */
#define CIRCUIT_PAUSE (200 * HM_MS)
#define CIRCUIT_DOUBLINGS 4

void circuit_record(struct circuit *c, bool ok, hm_time now)
{
	uint32_t doublings;

	if (ok) {
		*c = (struct circuit){ 0 };
		return;
	}
	if (c->failures < CIRCUIT_FAILURES + CIRCUIT_DOUBLINGS)
		c->failures++;
	if (c->failures < CIRCUIT_FAILURES)
		return;
	doublings = c->failures - CIRCUIT_FAILURES;
	c->open_until = now + (CIRCUIT_PAUSE << doublings);
}

bool circuit_open(const struct circuit *c, hm_time now)
{
	return now < c->open_until;
}
