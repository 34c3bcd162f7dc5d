/**
 * @file diff.h
 * Differences of two JSON values as lines "path: old -> new".
 */
#ifndef DIFF_H
#define DIFF_H

#include <glib.h>
#include <jansson.h>

/**
 * Appends one line for each difference, by path. Items of arrays that have a
 * "hash" are compared by it, others by index.
 * @param from NULL for nothing
 * @return number of lines
 */
guint diff_json(const json_t *from, const json_t *to, GString *out);

#endif
