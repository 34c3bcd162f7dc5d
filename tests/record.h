/**
 * @file record.h
 * Records one instance of a modelled deployment.
 */
#ifndef RECORD_H
#define RECORD_H

#include "../src/model.h"

/**
 * A few seconds of light load during which the primary of the first database
 * dies.
 * @return text of the trace of the first instance, a new string
 */
char *record_site(const struct model_site *site, uint64_t seed);

#endif
