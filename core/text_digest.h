/**
 * @file text_digest.h
 * Digest that stands for a text. It is a cryptographic hash: nobody can make
 * two texts that have the same one.
 */
#ifndef TEXT_DIGEST_H
#define TEXT_DIGEST_H

#include <stdbool.h>
#include <stdint.h>

#define TEXT_DIGEST_BYTES 32

struct text_digest {
	unsigned char bytes[TEXT_DIGEST_BYTES];
};

struct text_digest text_digest(const char *text);
bool text_digest_equal(const struct text_digest *a,
		       const struct text_digest *b);
/** The first 64 bits, for log lines. */
uint64_t text_digest_short(const struct text_digest *d);

#endif
