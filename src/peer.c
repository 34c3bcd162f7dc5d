/**
 * @file peer.c
 * Links over ZeroMQ: one ROUTER socket receives messages from all peers, and
 * one DEALER socket per peer sends. A message has two frames: the address at
 * which its sender listens, and the packed message; a third one holds fields
 * that builds of version 8 do not know, see wire_extension.h. Every heartbeat echoes the
 * highest message number received from the peer; a link to a peer that sends no
 * new echo is replaced. Heartbeats are most of what instances send. One that
 * says the same as the last is sent in a short form, without the address, by
 * which the receiver repeats the last one.
 */
#include "peer.h"

#include <string.h>
#include <zmq.h>

#include "../core/rng.h"
#include "heartbeat_forms.h"
#include "wire.h"
#include "wire_extension.h"

#define QUEUE_MESSAGES 4096
/* A link without a new echo for this long is replaced. */
#define ECHO_TIMEOUT (1 * HM_SEC)
#define POLL_INTERVAL (100 * HM_MS)
/* The same where peers in contact send heartbeats each second only. */
#define ECHO_TIMEOUT_DIGESTS (3500 * HM_MS)
/* Time without other messages after which two instances are not in contact. */
#define CONTACT_FOR (3 * HM_SEC)
/* Where few peers are in contact, an unused connection is closed after this. */
#define UNUSED_CLOSE (8 * HM_SEC)
/* How long an unlisted address of an instance that was heard is kept. */
#define KEEP_UNLISTED (60 * HM_SEC)

struct link {
	char address[ADDRESS_BYTES];
	void *socket;
	/* incarnation of the sender of the last message received */
	uint64_t incarnation;
	/* highest message number received from that sender */
	uint64_t received_seq;
	/* highest number of a message sent to the peer that it has echoed */
	uint64_t echo;
	hm_time echo_due; /* replace the link if no new echo arrives by then */
	struct heartbeat_forms forms;
	hm_time seen_at; /* last message, or news of the incarnation */
	/* last message that is neither a heartbeat nor a digest */
	hm_time contact_at;
	hm_time sent_at; /* last message sent */
};

struct peer_links {
	struct loop *loop;
	struct bodies *bodies;
	struct sink sink;
	void *context;
	void *router;
	struct watch *watch;
	struct timer *poll;
	GPtrArray *links;
	char listen[ADDRESS_BYTES];
	uint64_t incarnation;
	uint64_t dropped;
	struct rng rng;
	bool no_mesh; /* see peer_links_set_mesh() */
};

static hm_time echo_timeout(const struct peer_links *p)
{
	return p->no_mesh ? ECHO_TIMEOUT_DIGESTS : ECHO_TIMEOUT;
}

static void link_connect(struct peer_links *p, struct link *l)
{
	int queue = QUEUE_MESSAGES, linger = 0;
	char url[ADDRESS_BYTES + 8];

	l->socket = zmq_socket(p->context, ZMQ_DEALER);
	zmq_setsockopt(l->socket, ZMQ_SNDHWM, &queue, sizeof(queue));
	zmq_setsockopt(l->socket, ZMQ_LINGER, &linger, sizeof(linger));
	g_snprintf(url, sizeof(url), "tcp://%s", l->address);
	if (zmq_connect(l->socket, url))
		g_warning("event=peer_connect address=%s error=\"%s\"",
			  l->address, zmq_strerror(zmq_errno()));
	l->echo_due = loop_now() + echo_timeout(p);
	heartbeat_forms_resend(&l->forms);
}

static void link_close(struct link *l)
{
	if (l->socket)
		zmq_close(l->socket);
	l->socket = NULL;
}

static void link_free(gpointer data)
{
	link_close(data);
	g_free(data);
}

static struct link *link_find(const struct peer_links *p, const char *address)
{
	guint i;

	for (i = 0; i < p->links->len; i++) {
		struct link *l = g_ptr_array_index(p->links, i);

		if (!strcmp(l->address, address))
			return l;
	}
	return NULL;
}

static struct link *link_add(struct peer_links *p, const char *address)
{
	struct link *l = g_new0(struct link, 1);

	g_strlcpy(l->address, address, sizeof(l->address));
	l->echo_due = loop_now() + echo_timeout(p);
	g_ptr_array_add(p->links, l);
	return l;
}

static struct link *link_by_incarnation(const struct peer_links *p,
					uint64_t incarnation)
{
	guint i;

	for (i = 0; i < p->links->len; i++) {
		struct link *l = g_ptr_array_index(p->links, i);

		if (l->incarnation == incarnation)
			return l;
	}
	return NULL;
}

static void link_set_incarnation(struct link *l, uint64_t incarnation)
{
	if (l->incarnation == incarnation)
		return;
	l->incarnation = incarnation;
	l->received_seq = 0;
	l->echo = 0;
	l->forms = (struct heartbeat_forms){ 0 };
}

/* Notes a message other than a heartbeat or a digest, sent or received. */
static void link_contact(const struct peer_links *p, struct link *l,
			 enum message_kind kind, hm_time now)
{
	if (kind == MSG_HEARTBEAT || kind == MSG_HEARTBEAT_REPEATED ||
	    kind == MSG_DIGEST || kind == MSG_DIGEST_REQUEST)
		return;
	/* No echoes were due while the two were not in contact. */
	if (p->no_mesh && now - l->contact_at > CONTACT_FOR)
		l->echo_due = now + echo_timeout(p);
	l->contact_at = now;
}

static void link_received(const struct peer_links *p, struct link *l,
			  const struct message *m)
{
	l->seen_at = loop_now();
	link_contact(p, l, m->kind, l->seen_at);
	if (m->seq > l->received_seq)
		l->received_seq = m->seq;
	if (m->kind != MSG_HEARTBEAT || m->heartbeat.echo <= l->echo)
		return;
	l->echo = m->heartbeat.echo;
	l->echo_due = l->seen_at + echo_timeout(p);
}

/* The link of a message; only full messages name an address. */
static struct link *link_of(struct peer_links *p, const char *address,
			    const struct message *m)
{
	struct link *l;

	if (!address[0])
		return link_by_incarnation(p, m->from);
	l = link_find(p, address);
	return l ? l : link_add(p, address);
}

static void deliver(struct peer_links *p, const char *address,
		    struct message *m)
{
	struct event e = { .kind = EV_MESSAGE, .message = m };
	struct link *l;

	if (m->from == p->incarnation)
		return;
	l = link_of(p, address, m);
	if (!l)
		return;
	link_set_incarnation(l, m->from);
	if (!heartbeat_forms_receive(&l->forms, m))
		return;
	link_received(p, l, m);
	sink_event(&p->sink, &e);
}

static bool read_message(struct peer_links *p, const char *address,
			 zmq_msg_t *frame, struct message *m)
{
	if (wire_read(zmq_msg_data(frame), zmq_msg_size(frame), m, p->bodies,
		      loop_now()))
		return true;
	g_warning("event=peer_malformed address=%s bytes=%zu", address,
		  zmq_msg_size(frame));
	return false;
}

static void read_extension(const char *address, zmq_msg_t *frame,
			   struct message *m)
{
	if (!wire_extension_read(zmq_msg_data(frame), zmq_msg_size(frame), m))
		g_warning("event=peer_extension_malformed address=%s "
			  "bytes=%zu",
			  address, zmq_msg_size(frame));
}

/* Receives and delivers one message; false if there is none. */
static bool receive(struct peer_links *p)
{
	char address[ADDRESS_BYTES] = "";
	struct message m;
	zmq_msg_t frame;
	int index = 0;
	bool more, whole = false;

	zmq_msg_init(&frame);
	do {
		if (zmq_msg_recv(&frame, p->router, ZMQ_DONTWAIT) < 0)
			break;
		more = zmq_msg_more(&frame);
		if (index == 1 && zmq_msg_size(&frame) < sizeof(address))
			memcpy(address, zmq_msg_data(&frame),
			       zmq_msg_size(&frame));
		if (index == 2)
			whole = read_message(p, address, &frame, &m);
		if (index == 3 && whole)
			read_extension(address, &frame, &m);
		index++;
	} while (more);
	zmq_msg_close(&frame);
	if (whole) {
		deliver(p, address, &m);
		message_clear(&m);
	}
	return index > 0;
}

/*
 * Receives all waiting messages: the descriptor of ZeroMQ is edge-triggered, so
 * none may be left.
 */
static void on_readable(void *arg)
{
	while (receive(arg))
		;
}

static void close_unused(struct peer_links *p)
{
	hm_time now = loop_now();
	guint i;

	for (i = 0; p->no_mesh && i < p->links->len; i++) {
		struct link *l = g_ptr_array_index(p->links, i);

		if (l->socket && now - l->sent_at > UNUSED_CLOSE)
			link_close(l);
	}
}

static void on_poll(void *arg)
{
	struct peer_links *p = arg;

	on_readable(p);
	close_unused(p);
	timer_set(p->poll, loop_now() + POLL_INTERVAL);
}

struct peer_links *peer_links_new(struct loop *loop, const char *listen,
				  uint64_t incarnation, struct bodies *bodies,
				  struct sink sink)
{
	struct peer_links *p = g_new0(struct peer_links, 1);
	int queue = QUEUE_MESSAGES, linger = 0, fd;
	size_t bytes = sizeof(fd);
	char url[ADDRESS_BYTES + 8];

	p->loop = loop;
	p->bodies = bodies;
	p->sink = sink;
	p->incarnation = incarnation;
	g_strlcpy(p->listen, listen, sizeof(p->listen));
	p->links = g_ptr_array_new_with_free_func(link_free);
	p->rng.state = incarnation;
	p->context = zmq_ctx_new();
	p->router = zmq_socket(p->context, ZMQ_ROUTER);
	zmq_setsockopt(p->router, ZMQ_RCVHWM, &queue, sizeof(queue));
	zmq_setsockopt(p->router, ZMQ_LINGER, &linger, sizeof(linger));
	g_snprintf(url, sizeof(url), "tcp://%s", listen);
	if (zmq_bind(p->router, url))
		goto fail;
	zmq_getsockopt(p->router, ZMQ_FD, &fd, &bytes);
	p->watch = watch_new(loop, fd, on_readable, p);
	p->poll = timer_new(loop, on_poll, p);
	timer_set(p->poll, loop_now() + POLL_INTERVAL);
	return p;

fail:
	peer_links_free(p);
	return NULL;
}

void peer_links_free(struct peer_links *p)
{
	if (!p)
		return;
	watch_free(p->watch);
	timer_free(p->poll);
	g_ptr_array_free(p->links, TRUE);
	zmq_close(p->router);
	zmq_ctx_term(p->context);
	g_free(p);
}

static bool is_listed(const char (*addresses)[ADDRESS_BYTES], uint32_t count,
		      const char *address)
{
	uint32_t i;

	for (i = 0; i < count; i++)
		if (!strcmp(addresses[i], address))
			return true;
	return false;
}

void peer_links_set_addresses(struct peer_links *p,
			      const char (*addresses)[ADDRESS_BYTES],
			      uint32_t count)
{
	hm_time now = loop_now();
	guint i;

	for (i = p->links->len; i-- > 0;) {
		struct link *l = g_ptr_array_index(p->links, i);

		/*
		 * The list may be outdated: a link with recent echoes is kept
		 * though its address is not listed.
		 */
		if (!is_listed(addresses, count, l->address) &&
		    now > l->echo_due &&
		    (!p->no_mesh || now - l->seen_at > KEEP_UNLISTED))
			g_ptr_array_remove_index_fast(p->links, i);
	}
	for (i = 0; i < count; i++)
		if (strcmp(addresses[i], p->listen) != 0 &&
		    !link_find(p, addresses[i]))
			link_add(p, addresses[i]);
}

/* Replaces a link without recent echoes; its queued messages are lost. */
static void link_replace_if_silent(struct peer_links *p, struct link *l,
				   hm_time now)
{
	if (!l->socket || now < l->echo_due)
		return;
	g_debug("event=peer_link_replaced address=%s", l->address);
	link_close(l);
	link_connect(p, l);
}

/* Sends one frame of a message. Returns false if it was dropped. */
static bool send_frame(struct link *l, GBytes *frame, bool more)
{
	gsize bytes;
	const void *data = g_bytes_get_data(frame, &bytes);

	return zmq_send(l->socket, data, bytes,
			ZMQ_DONTWAIT | (more ? ZMQ_SNDMORE : 0)) >= 0;
}

static void link_send(struct peer_links *p, struct link *l,
		      const struct message *m)
{
	hm_time now = loop_now();
	struct message copy = *m;
	GBytes *packed, *extension;
	size_t address_bytes;
	bool sent;

	if (!l->socket)
		link_connect(p, l);
	l->sent_at = now;
	link_contact(p, l, copy.kind, now);
	if (copy.kind == MSG_HEARTBEAT) {
		link_replace_if_silent(p, l, now);
		copy.heartbeat.echo = l->received_seq;
		heartbeat_forms_send(&l->forms, &copy, now);
	}
	packed = wire_write(&copy, p->bodies, now);
	extension = wire_extension_write(&copy);
	address_bytes =
		copy.kind == MSG_HEARTBEAT_REPEATED ? 0 : strlen(p->listen);
	sent = zmq_send(l->socket, p->listen, address_bytes,
			ZMQ_DONTWAIT | ZMQ_SNDMORE) >= 0 &&
	       send_frame(l, packed, extension != NULL) &&
	       (!extension || send_frame(l, extension, false));
	if (!sent)
		p->dropped++;
	g_bytes_unref(packed);
	if (extension)
		g_bytes_unref(extension);
}

/* Sends to one of the known addresses. */
static void send_to_any(struct peer_links *p, const struct message *m)
{
	if (p->links->len)
		link_send(p,
			  g_ptr_array_index(p->links,
					    rng_below(&p->rng, p->links->len)),
			  m);
}

static void send_to_all(struct peer_links *p, const struct message *m)
{
	hm_time now = loop_now();
	guint i;

	for (i = 0; i < p->links->len; i++) {
		struct link *l = g_ptr_array_index(p->links, i);

		if (!p->no_mesh ||
		    (l->socket && now - l->contact_at <= CONTACT_FOR))
			link_send(p, l, m);
	}
}

void peer_links_send(struct peer_links *p, uint64_t to, const struct message *m)
{
	struct link *l;

	if (!to) {
		send_to_all(p, m);
		return;
	}
	if (to == PEER_ANY) {
		send_to_any(p, m);
		return;
	}
	l = link_by_incarnation(p, to);
	if (l)
		link_send(p, l, m);
	else
		p->dropped++;
}

void peer_links_set_mesh(struct peer_links *p, bool mesh)
{
	p->no_mesh = !mesh;
}

void peer_links_learn(struct peer_links *p, uint64_t incarnation,
		      const char *address)
{
	struct link *l;

	if (!address[0] || !strcmp(address, p->listen))
		return;
	l = link_find(p, address);
	if (!l)
		l = link_add(p, address);
	link_set_incarnation(l, incarnation);
	l->seen_at = loop_now();
}

uint64_t peer_links_dropped(const struct peer_links *p)
{
	return p->dropped;
}
