/**
 * @file replay.h
 * Passes the events of a trace to a new core and compares the text of its
 * actions with the actions in the trace.
 */
#ifndef REPLAY_H
#define REPLAY_H

#include <glib.h>

#include "../core/types.h"

enum replay_outcome {
	REPLAY_SAME,	  /**< all actions are those in the trace */
	REPLAY_DIFFERS,	  /**< some actions differ from the trace */
	REPLAY_DAMAGED,	  /**< invalid trace; the report names the line */
	REPLAY_UNREADABLE /**< the file can't be read or written */
};

/**
 * Appends lines "FILE:LINE: ..." to @a out for the first differences or for the
 * error, and a last line with the counts.
 * @param updated receives the trace with the new actions; may be NULL
 */
enum replay_outcome replay_text(const char *file, const char *text,
				GString *updated, GString *out);
/** Replays a file; rewrites it with the new actions if @a update is set. */
enum replay_outcome replay_file(const char *file, bool update, GString *out);

#endif
