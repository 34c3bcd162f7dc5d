/**
 * @file record.h
 * Records a trace of one instance of a simulated deployment.
 */
#ifndef RECORD_H
#define RECORD_H

#include "../src/model.h"

/**
 * Runs the deployment for 2.2 s with a quarter of its load; the primary of the
 * first database fails after 1 s.
 * @return the trace of the first instance, a new string
 */
char *record_site(const struct model_site *site, uint64_t seed);

#endif
