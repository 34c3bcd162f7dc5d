/**
 * @file pool_fixture.h
 * One connection pool without the rest of the proxy. Tests submit statements
 * and pass in the member's replies; the pool's commands and results are
 * appended to a text.
 */
#ifndef POOL_FIXTURE_H
#define POOL_FIXTURE_H

#include "../core/pool.h"
#include "proxy_text.h"

#define POOL_FIXTURE_INCARNATION 77
#define POOL_FIXTURE_NOW (100 * HM_SEC)

struct pool_fixture {
	struct proxy_options options;
	struct service_state view;
	struct site_member member;
	uint64_t next_conn;
	struct pool *pool;
	struct proxy_output out;
	GString *text;
	hm_time now;
};

void pool_fixture_open(struct pool_fixture *r, uint32_t slots,
		       uint32_t connections);
void pool_fixture_close(struct pool_fixture *r);
struct run_request pool_fixture_request(uint64_t id, enum statement_op op,
					enum run_scope scope);
void pool_fixture_submit(struct pool_fixture *r, const struct run_request *o);
/**
 * Simulate that the member accepts a connection, replies to a command or closes
 * the connection.
 */
void pool_fixture_ready(struct pool_fixture *r, uint64_t conn);
void pool_fixture_reply(struct pool_fixture *r, uint64_t conn, enum error error,
			enum session_state state);
void pool_fixture_closed(struct pool_fixture *r, uint64_t conn,
			 enum error error);
void pool_fixture_tick(struct pool_fixture *r, hm_time later);
/** Appends a line of text for each result that the pool has ready. */
void pool_fixture_results(struct pool_fixture *r);
/** Opens connection 1 and leaves it idle, for the first account. */
void pool_fixture_add_idle_conn(struct pool_fixture *r);

#endif
