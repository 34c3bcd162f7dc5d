/**
 * @file raw_values.h
 * Values that a stand-in returns byte for byte, also such as no JSON library
 * represents. Each is stored as a string that stands for it.
 */
#ifndef RAW_VALUES_H
#define RAW_VALUES_H

#include <glib.h>

/** JSON text of a new string that stands for @a raw; free with g_free(). */
char *raw_values_add(GPtrArray *values, const char *raw);
/** Replaces the strings in an answer by the values; frees @a answer. */
char *raw_values_insert(const GPtrArray *values, char *answer);

#endif
