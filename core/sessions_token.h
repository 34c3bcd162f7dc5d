/**
 * @file sessions_token.h
 * Urgency of operations of sessions that need a rate token.
 */
#ifndef SESSIONS_TOKEN_H
#define SESSIONS_TOKEN_H

#include "proxy_state.h"

/** Urgency of a new operation of a session. */
uint32_t session_level(const struct proxy *p, const struct session *s);
/** Whether operations of that urgency were refused lately, over rate. */
bool session_tokens_scarce(const struct proxy *p, const struct session *s,
			   hm_time now);
/** Logs that a waiting operation is refused, as a more urgent one was served. */
void session_log_displaced(const struct proxy *p, const struct session *s,
			   uint32_t by_level, struct proxy_output *out);
/** Records that the pending operation of a session is refused, over rate. */
void session_note_over_rate(struct proxy *p, const struct session *s,
			    hm_time now);

#endif
