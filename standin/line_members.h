/**
 * @file line_members.h
 * Stand-in for the members of one service on the users' platform: one primary
 * and two replicas that speak the line protocol, in this process, each on a
 * loopback port. Replication has no delay: all members see a commit at once.
 *
 * By default a replaced primary becomes a replica at once. After
 * line_members_keep_old_primary() it stays a primary of its old term until it
 * receives STEPDOWN with a newer term. Meanwhile it answers reads from the
 * values it had when it was replaced, and its commits fail with TIMEOUT.
 *
 * Implements only what tests of the whole request path need.
 */
#ifndef LINE_MEMBERS_H
#define LINE_MEMBERS_H

#include "../core/types.h"

#define LINE_MEMBERS 3

struct line_members;

/** Starts members i-1 (the primary) to i-3; NULL when they cannot listen. */
struct line_members *line_members_new(const char *service);
void line_members_free(struct line_members *m);
const char *line_members_address(const struct line_members *m, int index);
/** Name of member @a index. */
const char *line_members_name(int index);
/** Stops a member: closes its listener and its connections. */
void line_members_kill(struct line_members *m, int index);
/** Makes a member the primary of the next term; false when it was killed. */
bool line_members_promote(struct line_members *m, const char *name);
/** From now on a replaced primary stays primary of its old term. */
void line_members_keep_old_primary(struct line_members *m);
/** Whether a replaced primary has not stepped down yet. */
bool line_members_old_primary_runs(struct line_members *m);
/** While @a frozen, member @a index answers on no connection. */
void line_members_freeze(struct line_members *m, int index, bool frozen);
/** Commits a value at the primary, as another client would. */
void line_members_commit(struct line_members *m, const char *item,
			 const char *value);
/** Index of the primary of the newest term. */
int line_members_primary(struct line_members *m);
/** Value of an item at the primary, or NULL; free with g_free(). */
char *line_members_value(struct line_members *m, const char *item);
/** Successful reads, writes and commits, summed over all members. */
uint64_t line_members_statement_count(struct line_members *m);

#endif
