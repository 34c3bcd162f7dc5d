/**
 * @file line_protocol.h
 * Encoding and decoding of the session protocol, as a table of functions with
 * one implementation for each platform. A message is a line that ends with
 * CR LF. Each line is decoded once, into the types of this header.
 */
#ifndef LINE_PROTOCOL_H
#define LINE_PROTOCOL_H

#include <glib.h>

#include "../core/proxy.h"

enum client_line {
	CLIENT_OPEN,
	CLIENT_STATEMENT,
	CLIENT_TERMINATE,
	CLIENT_BAD_STATEMENT, /**< malformed, but with a readable request ID */
	CLIENT_BAD	      /**< malformed, ends the session */
};

/** One line of a client; texts point into the line. */
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

/** State of a member's reply after one more line of it was read. */
enum reply_line {
	REPLY_MORE,
	REPLY_COMPLETE, /**< this was the last line of the reply */
	REPLY_BAD
};

/** Reply of a member to one command, collected line by line. */
struct reply_builder {
	GString *rows;
	GString *signature; /**< empty if the reply has none */
	bool ended;	    /**< the line with the outcome was read */
	struct member_reply reply;
};

struct line_protocol {
	/** Most bytes of a line, with its CR LF. */
	size_t line_limit;
	/**
	 * Splits @a line, which is ended by NUL, into its fields.
	 * @param started whether the session was opened before
	 */
	void (*read_request)(char *line, bool started,
			     struct client_request *out);
	/** Appends the lines that answer a client's request. */
	void (*write_answer)(GString *out, const struct proxy_action *answer);
	/** Appends the line that logs in to a member. */
	void (*write_open)(GString *out, const char *service, const char *who,
			   const char *endpoint);
	/** Appends the line of a command. */
	void (*write_command)(GString *out, const struct member_command *c);
	/**
	 * Reads a member's reply to the login; ERR_NONE when the member
	 * accepted the login.
	 */
	enum error (*read_open)(char *line);
	/**
	 * Adds a line, ended by NUL, to the member's reply to a command of @a
	 * kind.
	 */
	enum reply_line (*read_reply)(char *line, enum member_command_kind kind,
				      struct reply_builder *b);
};

#endif
