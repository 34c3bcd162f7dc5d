/**
 * @file engine.h
 * Runs the SQL of a stand-in member on in-memory SQLite. There are two
 * databases, the writer's and the readers'. One write transaction at a time is
 * open in the writer's database. After its commit, its statements are replayed
 * into the readers' database, which all other sessions read. This gives the
 * isolation of READ COMMITTED.
 */
#ifndef ENGINE_H
#define ENGINE_H

#include <glib.h>

#include "memlog.h"

struct engine;

/** Outcome of a statement. */
struct engine_result {
	char sqlstate[6]; /**< empty on success */
	char *message;	  /**< text of the error */
	uint32_t column_count;
	char **columns;
	uint32_t *types;   /**< PostgreSQL type of each column */
	GPtrArray *rows;   /**< of char *[column_count]; NULL is SQL NULL */
	uint64_t affected; /**< rows changed by a write */
	bool wrote;	   /**< the statement was a write */
};

enum engine_kind { ENGINE_READ, ENGINE_WRITE, ENGINE_ERROR };

/** Serialized copy of a database; free it with engine_image_free(). */
struct engine_image;

/** Opens an empty database; NULL when SQLite fails. */
struct engine *engine_new(void);
void engine_free(struct engine *e);
/** Copies the readers' database; NULL when SQLite fails. */
struct engine_image *engine_image_new(struct engine *e);
void engine_image_free(struct engine_image *image);
/** Opens a database with the content of @a image; NULL when SQLite fails. */
struct engine *engine_from_image(const struct engine_image *image);

/**
 * Classifies a statement as read or write. On ENGINE_ERROR, @a out has the
 * error.
 * @param writer whether to use the writer's database
 */
enum engine_kind engine_kind(struct engine *e, bool writer, const char *sql,
			     struct engine_result *out);
/** Current time in the form of memlog_statement.clock. */
int64_t engine_clock(void);
/**
 * Runs one statement; release @a out with engine_result_clear().
 * @param writer whether to use the writer's database
 */
bool engine_run(struct engine *e, bool writer, const struct memlog_statement *s,
		struct engine_result *out);
/** Sets the error of a result. */
void engine_result_fail(struct engine_result *r, const char *sqlstate,
			const char *message);
void engine_result_clear(struct engine_result *r);

/** Begins a transaction in the writer's database. */
bool engine_begin(struct engine *e);
/**
 * Commits the open transaction. On failure returns false, @a out has the error
 * and the transaction is still open.
 */
bool engine_commit(struct engine *e, struct engine_result *out);
void engine_rollback(struct engine *e);
/**
 * Replays committed statements into the readers' database.
 * @param statements of struct memlog_statement
 */
bool engine_publish(struct engine *e, const GPtrArray *statements);
/** Runs, commits and publishes statements that another member committed. */
bool engine_apply(struct engine *e, const GPtrArray *statements);

#endif
