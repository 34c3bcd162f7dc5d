/**
 * @file line_members.h
 * Stand-in for the members of one service on the users' platform: one primary
 * and its replicas, in this process, each on a port of loopback. Replicas
 * receive a commit the moment it is made. A primary that another one replaces
 * leads no more from that moment or, where members go on, until it is told to
 * step down: it then answers reads from what it had, and commits nothing. As
 * much as a test of the whole path needs, and no more.
 */
#ifndef LINE_MEMBERS_H
#define LINE_MEMBERS_H

#include "../core/types.h"

#define LINE_MEMBERS 3

struct line_members;

/** Members i-1 to i-3, i-1 leads; NULL when they cannot listen. */
struct line_members *line_members_new(const char *service);
void line_members_free(struct line_members *m);
const char *line_members_address(const struct line_members *m, int index);
/** Name of member @a index. */
const char *line_members_name(int index);
/** It refuses connections and ends those that it has. */
void line_members_kill(struct line_members *m, int index);
/** That member leads the next term; false when it does not run. */
bool line_members_promote(struct line_members *m, const char *name);
/** From now on a replaced primary goes on. */
void line_members_keep_old_primary(struct line_members *m);
/** Whether a replaced primary still goes on. */
bool line_members_old_primary_runs(struct line_members *m);
/** Member @a index answers nothing, on any connection, until it thaws. */
void line_members_freeze(struct line_members *m, int index, bool frozen);
/** A commit at the primary by somebody else, acknowledged. */
void line_members_commit(struct line_members *m, const char *item,
			 const char *value);
/** Index of the member that leads the newest term. */
int line_members_primary(struct line_members *m);
/** Value of an item as the primary has it; free with g_free(), or NULL. */
char *line_members_value(struct line_members *m, const char *item);
/** Statements that ran, of whatever kind. */
uint64_t line_members_statement_count(struct line_members *m);

#endif
