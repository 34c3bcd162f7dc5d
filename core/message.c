/** @file message.c Copies and frees messages. */
#include "message.h"

#include <stdlib.h>
#include <string.h>

static void *copy_of(const void *data, size_t bytes)
{
	void *copy = malloc(bytes);

	if (copy)
		memcpy(copy, data, bytes);
	return copy;
}

static bool copy_document(struct document *to, const struct document *from)
{
	to->data = from->data ? copy_of(from->data, from->bytes) : NULL;
	return !from->data || to->data;
}

static struct digest *copy_digest(const struct digest *from)
{
	struct digest *to = copy_of(from, sizeof(*to));

	if (!to)
		return NULL;
	to->news = NULL;
	if (!from->count)
		return to;
	to->news = copy_of(from->news, from->count * sizeof(*from->news));
	if (to->news)
		return to;
	free(to);
	return NULL;
}

bool message_copy(struct message *to, const struct message *from)
{
	*to = *from;
	switch (from->kind) {
	case MSG_CONTRACT:
		to->contract = copy_of(from->contract, sizeof(*to->contract));
		return to->contract != NULL;
	case MSG_DATABASE:
		to->database = copy_of(from->database, sizeof(*to->database));
		return to->database != NULL;
	case MSG_RUN:
		to->run = run_request_copy(from->run);
		return true;
	case MSG_RUN_RESULT:
		to->ran = run_result_copy(from->ran);
		return true;
	case MSG_VIEW:
		to->view = copy_of(from->view, sizeof(*to->view));
		return to->view != NULL;
	case MSG_DOCUMENT:
		return copy_document(&to->document, &from->document);
	case MSG_DIGEST:
	case MSG_DIGEST_REQUEST:
		to->digest = copy_digest(from->digest);
		return to->digest != NULL;
	default:
		return true;
	}
}

void message_clear(struct message *m)
{
	switch (m->kind) {
	case MSG_CONTRACT:
		free(m->contract);
		break;
	case MSG_DATABASE:
		free(m->database);
		break;
	case MSG_RUN:
		run_request_free(m->run);
		break;
	case MSG_RUN_RESULT:
		run_result_free(m->ran);
		break;
	case MSG_VIEW:
		free(m->view);
		break;
	case MSG_DOCUMENT_REQUEST:
	case MSG_DOCUMENT:
		free(m->document.data);
		break;
	case MSG_DIGEST:
	case MSG_DIGEST_REQUEST:
		if (m->digest)
			free(m->digest->news);
		free(m->digest);
		break;
	default:
		break;
	}
	memset(m, 0, sizeof(*m));
}
