/** @file http_context.h The end of an h2o context that served HTTP. */
#ifndef HTTP_CONTEXT_H
#define HTTP_CONTEXT_H

#include <h2o.h>

/** Disposes of both; no connection may be left. */
void http_context_end(h2o_loop_t *loop, h2o_context_t *context,
		      h2o_globalconf_t *config);

#endif
