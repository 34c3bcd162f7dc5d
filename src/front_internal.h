/** @file front_internal.h Shared by the parts of the front. */
#ifndef FRONT_INTERNAL_H
#define FRONT_INTERNAL_H

#include <glib.h>
#include <h2o.h>

#include "front.h"
#include "metrics.h"
#include "token.h"

struct route_entry;
struct front_counts;

/** One listening socket and the connections that came from it. */
struct listener {
	struct front *front;
	h2o_socket_t *socket; /**< NULL when closed */
	h2o_hostconf_t *hosts[2];
	h2o_accept_ctx_t accept;
	uint32_t count; /**< open connections */
	uint32_t limit;
	bool full; /**< accepts nothing until a connection ends */
	char address[ADDRESS_BYTES];
};

struct front {
	struct loop *loop;
	const struct settings *settings;
	struct bodies *bodies;
	struct front_hooks hooks;
	h2o_globalconf_t config;
	h2o_context_t context;
	SSL_CTX *ssl;
	struct listener callers;
	struct listener operators;
	GQueue connections;    /**< of struct connection, owned */
	GHashTable *exchanges; /**< open requests by number */
	uint32_t unsent;       /**< requests that h2o still holds */
	struct timer *hangup;  /**< looks for callers that went away */
	uint64_t seq;	       /**< of the last request */
	bool stopping;
	bool ended; /**< takes no request any more */
	struct front_counts *counts;
};

/** A request of a caller, from its arrival to its answer. */
struct exchange {
	struct front *front;
	h2o_req_t *req; /**< NULL once answered */
	const struct route_entry *route;
	struct rid id;
	enum op op;
	hm_time arrived_at;
	struct key_id key;
	uint64_t binding; /**< 0: no token is handed out */
	hm_id database;	  /**< of the request's transaction */
	struct token token;
	uint64_t body; /**< of the statement, 0 for none */
};

/** A route: all that are open to everybody stand in the table of routes. */
struct route_entry {
	const char *method;
	const char *path; /**< '*' stands for one part */
	bool open;	  /**< no key is needed */
	bool operators;	  /**< on the operators' listener, else on callers' */
	enum op op;	  /**< of requests that carry a statement */
	void (*handle)(struct exchange *x, h2o_iovec_t part);
};

/** The table of routes; @a count receives its size. */
const struct route_entry *front_routes(size_t *count);
/** Handles a request of either listener. */
int front_request(struct front *f, bool operators, h2o_req_t *req);

/** Opens a listener; false with a line in @a fault. */
bool listener_open(struct listener *l, struct front *f, const char *path,
		   const char *address, char fault[SETTINGS_FAULT_BYTES]);
/** Accepts what waits already, then closes the listening socket. */
void listener_close(struct listener *l);
/** TLS context by the settings; NULL with a line in @a fault. */
SSL_CTX *listener_tls(const struct settings *s,
		      char fault[SETTINGS_FAULT_BYTES]);
/** Ends all connections and waits for them within bounds. */
bool connections_end(struct front *f);

/** Tells the instance that nobody waits for the answer any more. */
void exchange_drop(struct exchange *x);
/** Takes key and session token from the headers, or refuses the request. */
bool exchange_credentials(struct exchange *x);
/** Sends an answer of the front itself. */
void exchange_refuse(struct exchange *x, enum error error, const char *text);
/** Answers a statement that nobody can tell the outcome of. */
void exchange_lose(struct exchange *x);
/** Sends the result of a statement. */
void exchange_answer(struct exchange *x, const struct result *result,
		     const char *text);
/** Sends any text. */
void exchange_send(struct exchange *x, int status, const char *type,
		   const char *text, size_t bytes);
/** Counters of answers, by route and by account. */
struct front_counts *front_counts_new(void);
void front_counts_free(struct front_counts *c);
/** Counts the answer to @a x, which ends now. */
void front_counts_add(struct front_counts *c, const struct exchange *x,
		      enum error error);
/** Metrics of the front. */
void front_metrics(const struct front *f, GString *out);

#endif
