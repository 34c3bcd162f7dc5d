/**
 * @file budget.h
 * Retry budgets per account and per endpoint. Each first attempt adds a tenth
 * of a retry, so that retries add at most a tenth to the load during a fault.
 * A slow refill over time lets accounts with little traffic retry too.
 */
#ifndef BUDGET_H
#define BUDGET_H

#include "types.h"

struct budget;

struct budget *budget_new(uint64_t seed);
void budget_free(struct budget *b);

/** Records the first attempt of a request. */
void budget_request(struct budget *b, hm_id account, hm_id endpoint,
		    hm_time now);
/**
 * Takes one retry from the budgets of the account and of the endpoint that is
 * to receive it; false, and nothing is taken, when either budget is used up.
 */
bool budget_retry(struct budget *b, hm_id account, hm_id endpoint, hm_time now);
/**
 * When to make retry number @a attempt (1 is the first): after a random time
 * whose upper limit doubles with each retry, up to a maximum.
 */
hm_time budget_retry_at(struct budget *b, uint32_t attempt, hm_time now);

#endif
