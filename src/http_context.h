/** @file http_context.h Disposal of an h2o context that served HTTP. */
#ifndef HTTP_CONTEXT_H
#define HTTP_CONTEXT_H

#include <h2o.h>

/**
 * Disposes of the context and its configuration. All connections must have been
 * closed.
 */
void http_context_end(h2o_loop_t *loop, h2o_context_t *context,
		      h2o_globalconf_t *config);

#endif
