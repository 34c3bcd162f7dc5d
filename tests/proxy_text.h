/**
 * @file proxy_text.h
 * Actions of a proxy as lines of text, so that a test compares a run with
 * the lines that it expects. Log lines are left out.
 */
#ifndef PROXY_TEXT_H
#define PROXY_TEXT_H

#include <glib.h>

#include "../core/proxy.h"

/** Appends the actions and clears them. */
void proxy_text(GString *to, struct proxy_output *out);
/** Compares the text with @a expected and empties it. */
void proxy_text_expect(GString *text, const char *expected);

#endif
