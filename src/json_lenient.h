/**
 * @file json_lenient.h
 * Parses JSON of several writers. Jansson refuses a whole text for one value
 * that it cannot represent: nested too deeply, a number out of range, or a
 * string with a null character or bytes that are not UTF-8. Here such a value
 * is left out, and the others are read.
 */
#ifndef JSON_LENIENT_H
#define JSON_LENIENT_H

#include <jansson.h>

/**
 * Parses @a text.
 * @param levels how many levels of objects and arrays are split up to find the
 * values that cannot be parsed; a member or element below them is left out as a
 * whole
 * @param dropped receives the number of values that were left out
 * @return a new reference; NULL when the text is no JSON value, or with 0
 * levels cannot be parsed
 */
json_t *json_lenient_load(const char *text, size_t bytes, unsigned int levels,
			  unsigned int *dropped);

#endif
