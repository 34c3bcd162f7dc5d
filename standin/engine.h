/**
 * @file engine.h
 * SQL of a stand-in member over in-memory SQLite. There are two databases of
 * equal content: one write transaction at a time is open in the first, and
 * once it is committed its statements are replayed into the second, from
 * which all others read. So statements are isolated as under READ COMMITTED.
 */
#ifndef ENGINE_H
#define ENGINE_H

#include <glib.h>

#include "memlog.h"

struct engine;

/** Outcome of a statement. */
struct engine_result {
	char sqlstate[6]; /**< empty when it ran */
	char *message;	  /**< of the error */
	uint32_t column_count;
	char **columns;
	uint32_t *types; /**< PostgreSQL type of each column */
	GPtrArray *rows; /**< of char *[column_count]; NULL is SQL NULL */
	uint64_t affected;
	bool wrote; /**< it was no read */
};

enum engine_kind { ENGINE_READ, ENGINE_WRITE, ENGINE_ERROR };

/** Content of a database; free it with engine_image_free(). */
struct engine_image;

/** An empty database; NULL when it cannot be opened. */
struct engine *engine_new(void);
void engine_free(struct engine *e);
/** What all others see now; NULL when it cannot be copied. */
struct engine_image *engine_image_new(struct engine *e);
void engine_image_free(struct engine_image *image);
/** A database with this content; NULL when it cannot be opened. */
struct engine *engine_from_image(const struct engine_image *image);

/**
 * Tells reads from writes. ENGINE_ERROR fills in the error of @a out.
 * @param writer judge on the connection that writes
 */
enum engine_kind engine_kind(struct engine *e, bool writer, const char *sql,
			     struct engine_result *out);
/** The time that statements are to see, for memlog_statement. */
int64_t engine_clock(void);
/** Runs one statement; release @a out with engine_result_clear(). */
bool engine_run(struct engine *e, bool writer, const struct memlog_statement *s,
		struct engine_result *out);
/** Fills in an error. */
void engine_result_fail(struct engine_result *r, const char *sqlstate,
			const char *message);
void engine_result_clear(struct engine_result *r);

/** Transaction on the connection that writes. */
bool engine_begin(struct engine *e);
/** False with the error in @a out; the transaction is still open then. */
bool engine_commit(struct engine *e, struct engine_result *out);
void engine_rollback(struct engine *e);
/** Replays committed statements, of struct memlog_statement, for readers. */
bool engine_publish(struct engine *e, const GPtrArray *statements);
/** Runs, commits and publishes the statements of another member. */
bool engine_apply(struct engine *e, const GPtrArray *statements);

#endif
