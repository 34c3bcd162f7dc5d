/**
 * @file sessions_internal.h
 * What sessions_run.c and sessions_result.c share: properties of the pending
 * statement of a session.
 */
#ifndef SESSIONS_INTERNAL_H
#define SESSIONS_INTERNAL_H

#include "proxy_state.h"

enum run_scope session_scope(const struct session *s);
/** Whether only the primary may run the statement. */
bool session_needs_primary(const struct session *s,
			   const struct route_spec *route, hm_time now);
/** Age of the commit that the session's read must see, 0: none. */
hm_time session_commit_age(const struct session *s,
			   const struct route_spec *route, hm_time now);

#endif
