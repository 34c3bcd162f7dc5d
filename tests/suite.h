/**
 * @file suite.h
 * Main function of the test programs: runs one test case with libcheck, with
 * the settings of its environment variables.
 */
#ifndef SUITE_H
#define SUITE_H

#include <check.h>

/** Runs @a tc as suite @a name; returns the exit code of the program. */
int suite_run(const char *name, TCase *tc);

#endif
