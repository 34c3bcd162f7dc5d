/**
 * @file budget.h
 * Budgets of retries per account and per endpoint. Each first attempt earns a
 * tenth of a retry, so that a fault adds a tenth to the load and not more; a
 * slow refill lets callers with little traffic retry too.
 */
#ifndef BUDGET_H
#define BUDGET_H

#include "types.h"

struct budget;

struct budget *budget_new(uint64_t seed);
void budget_free(struct budget *b);

/** A request is sent for the first time. */
void budget_request(struct budget *b, hm_id account, hm_id endpoint,
		    hm_time now);
/**
 * Takes one retry from the account and from the endpoint that it would go
 * to; false, and nothing taken, when either has none left.
 */
bool budget_retry(struct budget *b, hm_id account, hm_id endpoint, hm_time now);
/** Time of retry number @a attempt (1 and up): exponential, full jitter. */
hm_time budget_retry_at(struct budget *b, uint32_t attempt, hm_time now);

#endif
