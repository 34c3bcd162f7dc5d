/**
 * @file line_protocol.h
 * How sessions speak, as a table of functions: one implementation for each
 * platform. A message is a line that ends with CR LF; what a line says is
 * decoded here once, into types whose fields say what they hold.
 */
#ifndef LINE_PROTOCOL_H
#define LINE_PROTOCOL_H

#include <glib.h>

#include "../core/proxy.h"

enum client_line {
	CLIENT_OPEN,
	CLIENT_STATEMENT,
	CLIENT_TERMINATE,
	CLIENT_BAD_STATEMENT, /**< malformed, its request id could be read */
	CLIENT_BAD	      /**< malformed, ends the session */
};

/** One line of a caller; texts point into the line. */
struct client_request {
	enum client_line kind;
	const char *database;
	const char *key; /**< NULL for none */
	const char *request;
	enum statement_op op;
	const char *name;
	const char *text;
	bool writes;
};

/** What a member's line adds to the reply that is being read. */
enum reply_line {
	REPLY_MORE,
	REPLY_COMPLETE, /**< the reply is whole */
	REPLY_BAD
};

/** A reply as far as it was read. */
struct reply_builder {
	GString *rows;
	GString *signature; /**< empty: none */
	bool ended;	    /**< an outcome was read */
	struct member_reply reply;
};

struct line_protocol {
	/** Most bytes of a line, its end included. */
	size_t line_limit;
	/** Cuts @a line, which is ended by NUL, into its fields. */
	void (*read_request)(char *line, bool started,
			     struct client_request *out);
	/** Appends the lines that answer a caller. */
	void (*write_answer)(GString *out, const struct proxy_action *answer);
	/** Appends what opens a connection to a member. */
	void (*write_open)(GString *out, const char *service, const char *who,
			   const char *endpoint);
	void (*write_command)(GString *out, const struct member_command *c);
	/** What a member answers to that: ERR_NONE when it is open. */
	enum error (*read_open)(char *line);
	/** Takes a line, ended by NUL, of the reply to @a kind. */
	enum reply_line (*read_reply)(char *line, enum member_command_kind kind,
				      struct reply_builder *b);
};

#endif
