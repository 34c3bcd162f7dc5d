/**
 * @file fields.h
 * Strict reading of a JSON object by a table of fields: type, range, length,
 * required or not. Unknown fields are errors. Error lines read
 * "FILE: PATH: found X, allowed Y".
 */
#ifndef FIELDS_H
#define FIELDS_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "settings.h"

enum field_kind {
	FIELD_TEXT,    /**< char array, @a most bytes without the NUL */
	FIELD_NAME,    /**< char array: letters, digits, '-', '_', '.' */
	FIELD_ADDRESS, /**< char array: "IP:port" */
	FIELD_COUNT,   /**< uint32_t */
	FIELD_MS,      /**< hm_time, milliseconds in JSON */
	FIELD_SECRET,  /**< bytes, twice as many hexadecimal digits in JSON */
	FIELD_BOOL,    /**< bool */
	FIELD_OTHER    /**< known, read by its owner */
};

/** One field; a path "a.b" lies in the object "a". */
struct field {
	const char *path;
	enum field_kind kind;
	bool required;
	size_t at; /**< offset in the structure that is filled in */
	int64_t least;
	int64_t most;
};

/** Where an error line goes; the first one is kept. */
struct fault {
	const char *file;
	char *text; /**< SETTINGS_FAULT_BYTES */
};

/** The fields of settings, for documentation and its test. */
const struct field *settings_fields(size_t *count);

/** Fills @a out; false with a line in @a fault. */
bool fields_read(const struct field *fields, size_t count, const json_t *root,
		 void *out, struct fault *fault);

/** Writes a line, always returns false. */
bool fault_set(struct fault *fault, const char *path, const char *found,
	       const char *allowed);
/** The same, describing @a value. */
bool fault_value(struct fault *fault, const char *path, const json_t *value,
		 const char *allowed);
/** The same for text that is no JSON. */
bool fault_syntax(struct fault *fault, const json_error_t *error);
/**
 * Parses the text of a settings file; the caller owns the result.
 * @return NULL, with the fault told, when it is not JSON
 */
json_t *fields_load(const char *text, struct fault *fault);
/** False unless @a value is an array of @a least to @a most items. */
bool fault_array(struct fault *fault, const char *path, const json_t *value,
		 size_t least, size_t most);
/** Borrowed text of a name, or NULL with a line in @a fault. */
const char *fault_name(struct fault *fault, const char *path,
		       const json_t *value);
/** Borrowed text of an "IP:port", or NULL with a line in @a fault. */
const char *fault_address(struct fault *fault, const char *path,
			  const json_t *value);
/** Short description of a JSON value for error lines. */
void found_text(const json_t *value, char *out, size_t bytes);

#endif
