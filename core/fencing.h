/**
 * @file fencing.h
 * Fencing tokens. A token has the era of the store in its high bits and a count
 * within the era below. The era rises when the store is restored from an older
 * copy, so tokens increase even if the copy lacks the newest ones.
 */
#ifndef FENCING_H
#define FENCING_H

#include <stdbool.h>
#include <stdint.h>

/** Era in which a token was taken. */
uint64_t fencing_era(uint64_t token);
/**
 * Next token of @a era after @a newest, the newest token of that era in the
 * store or 0.
 * @return 0 if the era has no token left
 */
uint64_t fencing_next(uint64_t newest, uint64_t era);
/**
 * Whether @a token is the newest one according to the store: @a newest, the
 * newest token in the store, is not newer, and @a era, the present era of the
 * store, is still the era of the token.
 */
bool fencing_is_newest(uint64_t token, uint64_t newest, uint64_t era);

#endif
