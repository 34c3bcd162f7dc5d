/**
 * @file fields.h
 * Strict reading of a JSON object into a structure. A table has the type, range
 * or length of each field, and whether it is required. Unknown fields are
 * errors. An error text is a line "FILE: PATH: found X, allowed Y".
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
	FIELD_OTHER    /**< skipped here; other code reads it */
};

/** One field; path "a.b" is the field "b" of the object "a". */
struct field {
	const char *path;
	enum field_kind kind;
	bool required;
	size_t at;     /**< offset in the structure that receives the value */
	int64_t least; /**< smallest number allowed */
	/**
	 * largest number allowed; of a text its longest length in bytes, of a
	 * secret its exact length in bytes
	 */
	int64_t most;
};

/** Receives the error text; reading ends at the first error. */
struct fault {
	const char *file; /**< file name that the error text begins with */
	char *text;	  /**< buffer of SETTINGS_FAULT_BYTES */
};

/** The table of settings, for the documentation and its test. */
const struct field *settings_fields(size_t *count);

/** Reads @a root into @a out; false with a line in @a fault. */
bool fields_read(const struct field *fields, size_t count, const json_t *root,
		 void *out, struct fault *fault);

/** Writes the error text; always returns false. */
bool fault_set(struct fault *fault, const char *path, const char *found,
	       const char *allowed);
/** Same as fault_set(), with @a value as what was found. */
bool fault_value(struct fault *fault, const char *path, const json_t *value,
		 const char *allowed);
/** Same as fault_set(), for text that is not JSON. */
bool fault_syntax(struct fault *fault, const json_error_t *error);
/**
 * Parses the text of a settings file; the caller owns the result.
 * @return NULL, with a line in @a fault, when it is not JSON
 */
json_t *fields_load(const char *text, struct fault *fault);
/**
 * False, with a line in @a fault, unless @a value is an array of @a least to
 * @a most items.
 */
bool fault_array(struct fault *fault, const char *path, const json_t *value,
		 size_t least, size_t most);
/** The text of a valid name, borrowed; else NULL with a line in @a fault. */
const char *fault_name(struct fault *fault, const char *path,
		       const json_t *value);
/** The text of an "IP:port", borrowed; else NULL with a line in @a fault. */
const char *fault_address(struct fault *fault, const char *path,
			  const json_t *value);
/** Writes a short description of a JSON value for error texts. */
void found_text(const json_t *value, char *out, size_t bytes);

#endif
