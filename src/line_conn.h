/**
 * @file line_conn.h
 * A connection on the event loop that exchanges lines of text. Lines end with
 * CR LF. A line without CR, with a NUL or over the length limit ends the
 * connection.
 */
#ifndef LINE_CONN_H
#define LINE_CONN_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

struct line_conn;
struct loop;

/**
 * Callbacks, on the event loop's thread. line_conn_deliver() calls them
 * directly; no other function of this header does.
 */
struct line_handler {
	/** A line without its CR LF; the callback may modify it. */
	void (*line)(void *arg, char *line);
	/**
	 * The connection failed or got a malformed line. The callback must
	 * call line_conn_close().
	 */
	void (*closed)(void *arg, const char *reason);
};

/** Takes ownership of the h2o socket. */
struct line_conn *line_conn_new(void *h2o_socket, size_t line_limit,
				const struct line_handler *handler, void *arg);
/** Output buffer to append lines to; line_conn_flush() sends it. */
GString *line_conn_out(struct line_conn *c);
void line_conn_flush(struct line_conn *c);
/** While paused, received lines are buffered and not delivered. */
void line_conn_pause(struct line_conn *c, bool paused);
/** Delivers the buffered lines; a handler may close and free the connection. */
void line_conn_deliver(struct line_conn *c);
/**
 * Closes and frees the connection at once or, called from a handler function,
 * when that function returns. No callback follows.
 */
void line_conn_close(struct line_conn *c);
/** Sends the buffered output, then closes; closes after 2 s in any case. */
void line_conn_finish(struct line_conn *c, struct loop *loop);

#endif
