/**
 * @file line_conn.h
 * A connection that speaks in lines, on the loop. Lines end with CR LF; a
 * line without CR, with a NUL, or over the limit ends the connection.
 */
#ifndef LINE_CONN_H
#define LINE_CONN_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

struct line_conn;
struct loop;

/** Called on the loop, from line_conn_deliver() at the most. */
struct line_handler {
	/** @a line is ended by NUL and may be changed. */
	void (*line)(void *arg, char *line);
	/** The other side is gone or broke the protocol; free the conn. */
	void (*closed)(void *arg, const char *reason);
};

/** Takes over the h2o socket. */
struct line_conn *line_conn_new(void *h2o_socket, size_t line_limit,
				const struct line_handler *handler, void *arg);
/** Where lines to be sent are appended; line_conn_flush() sends them. */
GString *line_conn_out(struct line_conn *c);
void line_conn_flush(struct line_conn *c);
/** No line is delivered while held; those that came are kept. */
void line_conn_pause(struct line_conn *c, bool held);
/** Delivers the lines that came while held; the conn may be gone after. */
void line_conn_deliver(struct line_conn *c);
/** Closes now and frees; nothing is called any more. */
void line_conn_close(struct line_conn *c);
/** Frees once what is to be sent has left, or after a limit. */
void line_conn_finish(struct line_conn *c, struct loop *loop);

#endif
