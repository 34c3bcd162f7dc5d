/**
 * @file route_fixture.h
 * Test fixture: a single proxy, and services that the only route, "desk", moves
 * between. Each service has a primary ("a-1") and a replica ("a-2") that
 * receives each commit at once and applies it later. Members answer at once,
 * except for statements while @a hold is set.
 */
#ifndef ROUTE_FIXTURE_H
#define ROUTE_FIXTURE_H

#include <glib.h>

#include "../core/proxy.h"

/** Services "a", "b" and so on. */
#define ROUTE_SERVICES 12
#define ROUTE_CONNS 256
#define ROUTE_CLIENTS 64

/** A commit of a service, at 1.POSITION of its log. */
struct route_commit {
	hm_time at; /**< when the primary ran it */
	uint64_t pos;
};

struct route_service {
	hm_id id;
	uint64_t pos;	  /**< end of the primary's log */
	uint64_t applied; /**< end of what the replica has applied */
	hm_time lag;	  /**< the replica applies a commit so much later */
	GArray *commits;  /**< struct route_commit, oldest first */
};

struct route_conn {
	uint64_t number;
	uint32_t service;
	bool replica;
	bool closed;
	bool checks; /**< connection of a primary check or a monitor */
	bool in_tx;
	bool wrote; /**< the open transaction has written */
};

/** A statement as a member ran it. */
struct route_run {
	char request[REQUEST_ID_BYTES];
	uint32_t service;
	bool replica;
	uint64_t applied;   /**< end of the member's log at that moment */
	uint64_t committed; /**< position that it committed, 0: nothing */
	bool lagging;	    /**< refused: the log lacks the required position */
};

struct route_fixture {
	struct proxy *proxy;
	struct proxy_output out;
	GString *text; /**< statements at members, and answers */
	hm_time now;
	uint64_t version;
	/** The route in force. */
	uint32_t service;
	enum consistency consistency;
	hm_time max_age;
	struct route_service services[ROUTE_SERVICES];
	struct route_conn conns[ROUTE_CONNS];
	uint32_t conn_count;
	bool hold;    /**< statements run, and are not answered yet */
	GArray *held; /**< struct route_reply */
	GArray *runs; /**< struct route_run, in order */
	/* By client number: */
	enum error answers[ROUTE_CLIENTS];
	bool answered[ROUTE_CLIENTS];
	bool ended[ROUTE_CLIENTS]; /**< closed by the proxy */
	const char *logged; /**< prefix of the lines in the text, NULL: none */
};

void route_fixture_open(struct route_fixture *r);
void route_fixture_close(struct route_fixture *r);
/** Puts the next version of the configuration in force. */
void route_fixture_move(struct route_fixture *r, uint32_t service,
			enum consistency consistency, hm_time max_age);
/** The same, without the route. */
void route_fixture_remove(struct route_fixture *r);
/** Passes ticks to the proxy until @a span has passed. */
void route_fixture_run(struct route_fixture *r, hm_time span);
void route_fixture_connect(struct route_fixture *r, uint64_t client);
void route_fixture_request(struct route_fixture *r, uint64_t client,
			   enum statement_op op, const char *request,
			   const char *text);
/** End of the log that the primary of a service had at a time. */
uint64_t route_fixture_position(const struct route_fixture *r, uint32_t service,
				hm_time at);
/** Answers all statements that were held. */
void route_fixture_answer(struct route_fixture *r);

#endif
