/**
 * @file proxy_text.h
 * Prints the actions of a proxy as lines of text, which tests compare with the
 * expected lines. Log lines are omitted.
 */
#ifndef PROXY_TEXT_H
#define PROXY_TEXT_H

#include <glib.h>

#include "../core/proxy.h"

/** Appends those log lines of @a out that begin with @a prefix. */
void proxy_text_lines(GString *to, const struct proxy_output *out,
		      const char *prefix);
/** Appends the actions to @a to and clears @a out. */
void proxy_text(GString *to, struct proxy_output *out);
/** Asserts that the text equals @a expected, then clears it. */
void proxy_text_expect(GString *text, const char *expected);

#endif
