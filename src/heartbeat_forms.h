/**
 * @file heartbeat_forms.h
 * The two forms of a heartbeat on one link: in full, and one that repeats the
 * last full one by its number. Heartbeats are most of what instances send, and
 * most of them say nothing new.
 */
#ifndef HEARTBEAT_FORMS_H
#define HEARTBEAT_FORMS_H

#include "../core/message.h"

/** The last full heartbeat of one direction of a link. */
struct sent_heartbeat {
	struct heartbeat heartbeat;
	uint64_t seq; /**< number of its message, 0: none */
};

/** Both directions of a link; all zero is a valid start. */
struct heartbeat_forms {
	struct sent_heartbeat sent;
	struct sent_heartbeat received;
	hm_time full_due;    /**< the next one is sent in full from then on */
	bool lacks_original; /**< the peer repeated one that is not here */
};

/** Sends the next heartbeat in full. */
void heartbeat_forms_resend(struct heartbeat_forms *f);
/** Turns MSG_HEARTBEAT into MSG_HEARTBEAT_REPEATED where that says the same. */
void heartbeat_forms_send(struct heartbeat_forms *f, struct message *m,
			  hm_time now);
/**
 * Turns MSG_HEARTBEAT_REPEATED back into MSG_HEARTBEAT; other messages stay.
 * @return false when the heartbeat that it repeats is not known
 */
bool heartbeat_forms_receive(struct heartbeat_forms *f, struct message *m);

#endif
