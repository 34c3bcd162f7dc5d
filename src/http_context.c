/** @file http_context.c Disposes of an h2o context and its configuration. */
#include "http_context.h"

#include <stdlib.h>

void http_context_end(h2o_loop_t *loop, h2o_context_t *context,
		      h2o_globalconf_t *config)
{
	/*
	 * Timer that sends the second GOAWAY frame of a graceful HTTP/2
	 * shutdown.
	 */
	h2o_timeout_entry_t *later = &context->http2._graceful_shutdown_timeout;
	h2o_multithread_queue_t *queue;

	h2o_evloop_run(loop, 0);
	queue = context->queue;
	if (h2o_timeout_is_linked(later))
		h2o_timeout_unlink(later);
	h2o_context_dispose(context);
#if H2O_VERSION_MAJOR == 2 && H2O_VERSION_MINOR == 2
	free(queue); /* h2o_multithread_destroy_queue() does not free it */
#endif
	h2o_config_dispose(config);
}
