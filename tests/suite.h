/**
 * @file suite.h
 * The end of every test program: one case, run as the environment says.
 */
#ifndef SUITE_H
#define SUITE_H

#include <check.h>

/** Runs @a tc under @a name; returns the exit code of the program. */
int suite_run(const char *name, TCase *tc);

#endif
