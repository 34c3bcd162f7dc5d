/**
 * @file line_members.h
 * Stand-in for the members of one service on the users' platform: one primary
 * and its replicas, in this process, each on a port of loopback. Replicas
 * receive a commit the moment it is made. As much as a test of the whole path
 * needs, and no more.
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
/** Index of the member that leads. */
int line_members_primary(struct line_members *m);
/** Value of an item as the primary has it; free with g_free(), or NULL. */
char *line_members_value(struct line_members *m, const char *item);
/** Statements that ran, of whatever kind. */
uint64_t line_members_runs(struct line_members *m);

#endif
