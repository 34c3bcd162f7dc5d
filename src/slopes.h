/**
 * @file slopes.h
 * What the decisions and the codec cost in memory, time and bytes as their
 * load grows, measured in this process and fitted by a straight line.
 */
#ifndef SLOPES_H
#define SLOPES_H

#include <jansson.h>

/** One fitted line: cost = base + slope * n. */
struct slope {
	const char *what; /**< unit of n, as in "contract" */
	const char *unit; /**< of the cost: "bytes", "ns", "ns/tick" */
	double base;
	double slope;
	double fit; /**< coefficient of determination, 1 is a perfect line */
	int from;   /**< smallest n */
	int to;	    /**< largest n */
};

#define SLOPES_MAX 24

/** Measures all; returns the number of lines in @a out. */
int slopes_measure(struct slope out[SLOPES_MAX]);
/** New reference. */
json_t *slope_json(const struct slope *s);

#endif
