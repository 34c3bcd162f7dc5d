/** @file wire_run.h Codec of run requests, results, views and documents. */
#ifndef WIRE_RUN_H
#define WIRE_RUN_H

#include "wire_codec.h"

/*
 * Pack or unpack the structure that the parameter points to. When unpacking, a
 * pointer that is NULL receives a newly allocated structure.
 */
void wire_run_request(struct wire_codec *c, struct run_request **r);
void wire_run_result(struct wire_codec *c, struct run_result **r);
void wire_view(struct wire_codec *c, struct service_view **v);
void wire_document(struct wire_codec *c, struct document *d);

#endif
