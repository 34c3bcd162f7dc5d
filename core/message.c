/** @file message.c Ownership of what a message points to. */
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

bool message_copy(struct message *to, const struct message *from)
{
	*to = *from;
	if (from->kind == MSG_CONTRACT) {
		to->contract = copy_of(from->contract, sizeof(*to->contract));
		return to->contract != NULL;
	}
	if (from->kind == MSG_DATABASE) {
		to->database = copy_of(from->database, sizeof(*to->database));
		return to->database != NULL;
	}
	return true;
}

void message_clear(struct message *m)
{
	if (m->kind == MSG_CONTRACT)
		free(m->contract);
	else if (m->kind == MSG_DATABASE)
		free(m->database);
	memset(m, 0, sizeof(*m));
}
