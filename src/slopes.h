/**
 * @file slopes.h
 * Memory and time of the core and size and time of encoded messages as the
 * load grows, measured in this process and fitted by a straight line.
 */
#ifndef SLOPES_H
#define SLOPES_H

#include <jansson.h>

/** One fitted line: cost = base + slope * n. */
struct slope {
	const char *per;  /**< unit of n, as in "contract" */
	const char *unit; /**< unit of cost: "bytes", "ns", "ns/tick" */
	double base;
	double slope;
	double r_squared; /**< 1 for a perfect fit */
	int from;	  /**< smallest n measured */
	int to;		  /**< largest n measured */
};

#define SLOPES_MAX 24

/** Runs all measurements; returns the number of entries set in @a out. */
int slopes_measure(struct slope out[SLOPES_MAX]);
/** The line as a JSON object, a new reference. */
json_t *slope_json(const struct slope *s);

#endif
