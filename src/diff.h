/**
 * @file diff.h
 * Prints the differences of two JSON values as lines "path: old -> new".
 */
#ifndef DIFF_H
#define DIFF_H

#include <glib.h>
#include <jansson.h>

/**
 * Appends one line for each difference, sorted by path. Array items with a
 * "hash" are matched by their hash, other items by their index.
 * @param from old value, NULL when there is none
 * @return number of lines appended
 */
guint diff_json(const json_t *from, const json_t *to, GString *out);

#endif
