/**
 * @file replay.h
 * Feeds the events of a trace to a new core and compares its actions, text
 * for text, with those of the trace.
 */
#ifndef REPLAY_H
#define REPLAY_H

#include <glib.h>

#include "../core/types.h"

enum replay_outcome {
	REPLAY_SAME,
	REPLAY_DIFFERS,
	REPLAY_DAMAGED, /**< not a trace; replay ended there */
	REPLAY_UNREADABLE
};

/**
 * Appends "file:line: ..." for each difference, and a closing line with the
 * counts.
 * @param updated receives the trace with the new actions; NULL: not wanted
 */
enum replay_outcome replay_text(const char *file, const char *text,
				GString *updated, GString *out);
/** The same for a file, which is rewritten when @a update is set. */
enum replay_outcome replay_file(const char *file, bool update, GString *out);

#endif
