/** @file text_digest.c Digest of a text, by BLAKE2b of libsodium. */
#include "text_digest.h"

#include <sodium.h>
#include <string.h>

struct text_digest text_digest(const char *text)
{
	struct text_digest d;

	crypto_generichash(d.bytes, sizeof(d.bytes),
			   (const unsigned char *)text, strlen(text), NULL, 0);
	return d;
}

bool text_digest_equal(const struct text_digest *a, const struct text_digest *b)
{
	return !memcmp(a->bytes, b->bytes, sizeof(a->bytes));
}

uint64_t text_digest_short(const struct text_digest *d)
{
	uint64_t n = 0;
	int i;

	for (i = 0; i < 8; i++)
		n = n << 8 | d->bytes[i];
	return n;
}
