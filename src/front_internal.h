/** @file front_internal.h Declarations shared by the files of the front end. */
#ifndef FRONT_INTERNAL_H
#define FRONT_INTERNAL_H

#include <glib.h>
#include <h2o.h>

#include "front.h"
#include "metrics.h"
#include "token.h"

struct route_entry;
struct front_counts;

/** A listening socket and the connections accepted from it. */
struct listener {
	struct front *front;
	h2o_socket_t *socket; /**< NULL when closed */
	h2o_hostconf_t *hosts[2];
	h2o_accept_ctx_t accept;
	uint32_t count; /**< open connections */
	uint32_t limit;
	bool full; /**< limit reached: accepts nothing until one is closed */
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
	struct listener client_listener;
	struct listener operator_listener;
	GQueue connections;    /**< struct connection, owned */
	GHashTable *exchanges; /**< id.seq to struct exchange: open requests */
	uint32_t unfreed;      /**< requests that h2o has not freed yet */
	struct timer *disconnect_timer; /**< polls for disconnects */
	uint64_t seq;  /**< sequence number of the newest request */
	bool stopping; /**< no new client connection is accepted */
	bool closed;   /**< every new request is refused */
	struct front_counts *counts;
};

/** An HTTP request, from its arrival to its answer. */
struct exchange {
	struct front *front;
	h2o_req_t *req; /**< NULL once answered */
	const struct route_entry *route;
	struct rid id;
	enum op op;
	hm_time arrived_at;
	struct key_id key;
	/**
	 * what session tokens are bound to: account or key hash; 0: issue no
	 * token
	 */
	uint64_t binding;
	hm_id database; /**< database that the request addresses */
	/** session token: all tokens of the request joined */
	struct token token;
	uint64_t body; /**< statement in the body store, 0 for none */
};

/** An HTTP route. */
struct route_entry {
	const char *method;
	const char *path; /**< '*' matches one path segment */
	bool open;	  /**< no API key is required */
	/** served on the operators' listener, otherwise on the clients' */
	bool operators;
	enum op op; /**< operation that request_parse() expects */
	void (*handle)(struct exchange *x, h2o_iovec_t part);
};

/** All routes; @a count receives their number. */
const struct route_entry *front_routes(size_t *count);
/**
 * Handles an HTTP request that arrived on the operators' listener (@a operators
 * true) or the clients' (false).
 */
int front_request(struct front *f, bool operators, h2o_req_t *req);

/** Opens a listener; on failure returns false and sets @a fault. */
bool listener_open(struct listener *l, struct front *f, const char *path,
		   const char *address, char fault[SETTINGS_FAULT_BYTES]);
/** Accepts the connections in the backlog, then closes the socket. */
void listener_close(struct listener *l);
/** Creates the TLS context; on failure returns NULL and sets @a fault. */
SSL_CTX *listener_tls(const struct settings *s,
		      char fault[SETTINGS_FAULT_BYTES]);
/**
 * Waits a limited time for answers to be sent, then closes all connections.
 * @return false if some connections are still open after that.
 */
bool connections_close(struct front *f);

/** Reports to the instance that the client of @a x disconnected. */
void exchange_client_gone(struct exchange *x);
/**
 * Reads the API key and the session token from the headers.
 * @return false if they are invalid; the request has been refused then.
 */
bool exchange_credentials(struct exchange *x);
/** Answers with an error of the front end; NULL @a text: its default text. */
void exchange_refuse(struct exchange *x, enum error error, const char *text);
/** Answers that the outcome of the statement is unknown. */
void exchange_answer_unknown(struct exchange *x);
/** Sends the result of a statement; @a text as for exchange_refuse(). */
void exchange_answer(struct exchange *x, const struct result *result,
		     const char *text);
/** Sends @a text as the response body. */
void exchange_send(struct exchange *x, int status, const char *type,
		   const char *text, size_t bytes);
/** Counts answers by route and by account. */
struct front_counts *front_counts_new(void);
void front_counts_free(struct front_counts *c);
/** Counts the answer to @a x and its latency up to now. */
void front_counts_add(struct front_counts *c, const struct exchange *x,
		      enum error error);
/** Appends the front end's metrics to @a out. */
void front_metrics(const struct front *f, GString *out);

#endif
