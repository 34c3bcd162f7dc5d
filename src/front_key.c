/** @file front_key.c API key and session token in a request's headers. */
#include "front_internal.h"

#include "names.h"

#define KEY_BYTES_MAX 256
#define SCHEME "bearer "
#define SCHEME_BYTES (sizeof(SCHEME) - 1)

/* Value of a header, empty if absent; false if the header is repeated. */
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

/* Hash of the API key in the request; the key itself is never stored. */
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

static uint64_t token_binding(const struct front *f, struct key_id key)
{
	if (f->hooks.account)
		return f->hooks.account(f->hooks.owner, key);
	return key.lo;
}

/*
 * Joins one token of the header to x->token; false if the token is invalid or
 * belongs to another account.
 */
static bool join_token(struct exchange *x, const char *text, size_t bytes)
{
	struct token t;

	return token_read(&t, x->front->settings->token_secret, text, bytes) &&
	       t.binding == x->binding && token_join(&x->token, &t);
}

/*
 * Reads the session tokens, separated by commas, and joins them to one. Tokens
 * are ignored if the API key belongs to no account: the instance's
 * authentication refuses such a request anyway.
 */
static bool read_tokens(struct exchange *x)
{
	h2o_iovec_t text;
	const char *p, *end, *comma;

	x->token.binding = x->binding;
	if (!single_header(x->req, "session-token", &text))
		return false;
	if (!text.len || !x->binding)
		return true;
	end = text.base + text.len;
	for (p = text.base; p; p = comma ? comma + 1 : NULL) {
		while (p < end && *p == ' ')
			p++;
		comma = memchr(p, ',', (size_t)(end - p));
		if (!join_token(x, p, (size_t)((comma ? comma : end) - p)))
			return false;
	}
	return true;
}

bool exchange_credentials(struct exchange *x)
{
	if (!find_key(x->req, &x->key)) {
		exchange_refuse(x, ERR_UNAUTHENTICATED, NULL);
		return false;
	}
	x->binding = token_binding(x->front, x->key);
	if (read_tokens(x))
		return true;
	x->binding = 0;
	exchange_refuse(x, ERR_BAD_TOKEN, NULL);
	return false;
}
