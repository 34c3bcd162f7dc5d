/** @file front_key.c The caller's key and session token. */
#include "front_internal.h"

#include "names.h"

#define KEY_BYTES_MAX 256
#define SCHEME "bearer "
#define SCHEME_BYTES (sizeof(SCHEME) - 1)

/* A header that may come once; false when it comes more often. */
static bool single_header(const h2o_req_t *req, const char *name,
			  h2o_iovec_t *value)
{
	size_t bytes = strlen(name);
	ssize_t at = h2o_find_header_by_str(&req->headers, name, bytes, -1);

	*value = h2o_iovec_init(NULL, 0);
	if (at < 0)
		return true;
	*value = req->headers.entries[at].value;
	return h2o_find_header_by_str(&req->headers, name, bytes, at) < 0;
}

/* Hash of the key that came with the request; the key is not kept. */
static bool find_key(const h2o_req_t *req, struct key_id *key)
{
	h2o_iovec_t value;

	if (!single_header(req, "authorization", &value) ||
	    value.len <= SCHEME_BYTES ||
	    value.len > SCHEME_BYTES + KEY_BYTES_MAX ||
	    g_ascii_strncasecmp(value.base, SCHEME, SCHEME_BYTES) != 0)
		return false;
	*key = key_hash(value.base + SCHEME_BYTES, value.len - SCHEME_BYTES);
	return true;
}

static uint64_t binding_of(const struct front *f, struct key_id key)
{
	if (f->hooks.account)
		return f->hooks.account(f->hooks.owner, key);
	return key.lo;
}

/*
 * Reads the session token. A key of no account gets none read: whatever
 * comes with it is refused by authentication.
 */
static bool take_token(struct exchange *x)
{
	const uint8_t *secret = x->front->settings->token_secret;
	h2o_iovec_t text;

	if (!single_header(x->req, "session-token", &text))
		return false;
	if (!text.len || !x->binding) {
		x->token.binding = x->binding;
		return true;
	}
	return token_read(&x->token, secret, text.base, text.len) &&
	       x->token.binding == x->binding;
}

bool exchange_credentials(struct exchange *x)
{
	if (!find_key(x->req, &x->key)) {
		exchange_refuse(x, ERR_UNAUTHENTICATED, NULL);
		return false;
	}
	x->binding = binding_of(x->front, x->key);
	if (take_token(x))
		return true;
	x->binding = 0;
	exchange_refuse(x, ERR_BAD_TOKEN, NULL);
	return false;
}
