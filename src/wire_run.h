/** @file wire_run.h Codec of the messages between instances of a proxy. */
#ifndef WIRE_RUN_H
#define WIRE_RUN_H

#include "wire_codec.h"

/** Reading: allocates what *o or its kin is to point to. */
void wire_run(struct wire_codec *c, struct run_request **o);
void wire_ran(struct wire_codec *c, struct run_result **r);
void wire_view(struct wire_codec *c, struct service_view **v);
void wire_document(struct wire_codec *c, struct document *d);

#endif
