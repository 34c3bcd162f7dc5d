/**
 * @file fencing.h
 * Numbers of fencing tokens. They grow with each change of a holder, also over
 * the return of the store from a copy in which the newest ones are missing:
 * the era stands above a count within it.
 */
#ifndef FENCING_H
#define FENCING_H

#include <stdbool.h>
#include <stdint.h>

/** The era under which a token was taken. */
uint64_t fencing_era(uint64_t token);
/**
 * Token to be taken under @a era after @a newest, the newest one that the store
 * has of that era or 0.
 * @return 0 when the era has no more of them
 */
uint64_t fencing_next(uint64_t newest, uint64_t era);
/**
 * Whether a token is the newest, as far as the store can tell: it has no
 * newer one, and all that were taken under the token's era are still there.
 */
bool fencing_is_newest(uint64_t token, uint64_t newest, uint64_t era);

#endif
