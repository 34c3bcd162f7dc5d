/**
 * @file member_fixture.h
 * One database group of three stand-in members on free ports, used through
 * libpq. Member 0 is the primary.
 */
#ifndef MEMBER_FIXTURE_H
#define MEMBER_FIXTURE_H

#include <glib.h>
#include <libpq-fe.h>

#include "../standin/member.h"

#define LAG (2 * HM_MS)

extern struct database_spec spec;
extern struct members *members;

void member_setup(void);
void member_setup_with(const struct member_options *options);
void member_teardown(void);

hm_id member_id(uint32_t i);
/** Tries to connect; the result may be a failed connection. */
PGconn *member_try_open(uint32_t i, const char *application);
/** Connects with an application name, which must succeed. */
PGconn *member_open_as(uint32_t i, const char *application);
PGconn *member_open(uint32_t i);

/** Runs SQL; returns its SQLSTATE, "" on success, "LOST" without answer. */
const char *member_run(PGconn *c, const char *sql);
/** First column of the first row, "none" without a row, or an error text. */
const char *member_value(PGconn *c, const char *sql);
/** Whether member_value() of @a sql contains @a part. */
bool member_replies(PGconn *c, const char *sql, const char *part);

struct endpoint_state member_state(uint32_t i);
/** Waits until the log of member @a i ends at @a term and @a pos. */
void member_await_at(uint32_t i, uint64_t term, uint64_t pos);
void member_fault(uint32_t i, struct member_faults f);
/** Creates table t (k, v) at member 0. */
void member_make_table(void);
/** Runs a control function that must be accepted. */
void member_run_control(uint32_t i, const char *sql);
/** Makes a member follow another under term 2. */
void member_run_follow(uint32_t i, uint32_t target);

#endif
