/** @file node.c One stand-in member. */
#include "node.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "replica.h"
#include "session.h"

#define BACKLOG 128

static bool parse_address(const char *text, struct sockaddr_in *out)
{
	const char *colon = strrchr(text, ':');
	char ip[ADDRESS_BYTES];

	if (!colon)
		return false;
	memset(out, 0, sizeof(*out));
	g_strlcpy(ip, text, (gsize)(colon - text) + 1);
	out->sin_family = AF_INET;
	out->sin_port = htons((uint16_t)atoi(colon + 1));
	return inet_pton(AF_INET, ip, &out->sin_addr) == 1;
}

static int listen_on(const char *address)
{
	struct sockaddr_in at;
	int one = 1;
	int fd;

	if (!parse_address(address, &at))
		return -1;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (!bind(fd, (struct sockaddr *)&at, sizeof(at)) &&
	    !listen(fd, BACKLOG))
		return fd;
	close(fd);
	return -1;
}

static void write_address(int fd, char address[ADDRESS_BYTES])
{
	struct sockaddr_in at;
	socklen_t bytes = sizeof(at);
	char ip[INET_ADDRSTRLEN];

	if (getsockname(fd, (struct sockaddr *)&at, &bytes) < 0 ||
	    !inet_ntop(AF_INET, &at.sin_addr, ip, sizeof(ip)))
		return;
	g_snprintf(address, ADDRESS_BYTES, "%s:%u", ip, ntohs(at.sin_port));
}

struct node *node_new(hm_id database, const struct endpoint_spec *spec,
		      const struct member_options *options, GPtrArray *peers)
{
	struct node *n = g_new0(struct node, 1);

	n->database = database;
	n->spec = *spec;
	n->options = *options;
	n->peers = peers;
	n->next_pid = 1;
	n->sessions = g_ptr_array_new();
	g_queue_init(&n->waiting);
	g_queue_init(&n->checkpoints);
	memlog_open(&n->log);
	n->engine = engine_new();
	n->listener = listen_on(spec->address);
	if (n->engine && n->listener >= 0) {
		write_address(n->listener, n->spec.address);
		return n;
	}
	node_free(n);
	return NULL;
}

static void drop_sessions(struct node *n)
{
	guint i;

	/*
	 * Closing a session frees the write lock it holds. No session that
	 * waits for the lock may resume then, since all are being closed.
	 */
	g_queue_clear(&n->waiting);
	for (i = 0; i < n->sessions->len; i++)
		session_close(n->sessions->pdata[i]);
}

static void reap_sessions(struct node *n)
{
	struct session *s;
	guint i;

	for (i = n->sessions->len; i-- > 0;) {
		s = n->sessions->pdata[i];
		if (!s->closed)
			continue;
		g_ptr_array_remove_index_fast(n->sessions, i);
		session_free(s);
	}
}

void node_free(struct node *n)
{
	guint i;

	drop_sessions(n);
	for (i = 0; i < n->sessions->len; i++)
		session_free(n->sessions->pdata[i]);
	g_ptr_array_unref(n->sessions);
	if (n->listener >= 0)
		close(n->listener);
	replica_free_checkpoints(n);
	if (n->engine)
		engine_free(n->engine);
	memlog_close(&n->log);
	g_free(n);
}

void node_accept(struct node *n)
{
	int one = 1;
	int fd = accept(n->listener, NULL, NULL);

	if (fd < 0)
		return;
	if (n->faults.cut_all || n->faults.dead) {
		close(fd);
		return;
	}
	fcntl(fd, F_SETFL, O_NONBLOCK);
	fcntl(fd, F_SETFD, FD_CLOEXEC);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	g_ptr_array_add(n->sessions, session_new(n, fd, n->next_pid++));
}

struct node *node_peer(const struct node *n, hm_id endpoint)
{
	struct node *peer;
	guint i;

	for (i = 0; i < n->peers->len; i++) {
		peer = n->peers->pdata[i];
		if (peer->spec.endpoint == endpoint)
			return peer;
	}
	return NULL;
}

void node_tick(struct node *n, hm_time now)
{
	guint i;

	reap_sessions(n);
	if (n->faults.paused)
		return;
	if (!n->faults.dead)
		replica_pull(n, now);
	replica_checkpoint(n);
	for (i = 0; i < n->sessions->len; i++)
		session_process(n->sessions->pdata[i], now);
	reap_sessions(n);
}

hm_time node_due(const struct node *n, hm_time now)
{
	hm_time due = HM_NEVER;
	guint i;

	if (n->faults.paused)
		return HM_NEVER;
	for (i = 0; i < n->sessions->len; i++)
		due = MIN(due, session_due(n->sessions->pdata[i], now));
	return MIN(due, replica_due(n));
}

static void silence_sessions(struct node *n, hm_time now)
{
	struct session *s;
	guint i;

	for (i = 0; i < n->sessions->len; i++) {
		s = n->sessions->pdata[i];
		s->silent = true;
		s->silent_at = now;
	}
}

void node_set_faults(struct node *n, const struct member_faults *faults,
		     hm_time now)
{
	struct member_faults old = n->faults;

	n->faults = *faults;
	if (faults->dead && !old.dead)
		n->owner = 0;
	if ((faults->dead && !old.dead) || (faults->cut_all && !old.cut_all))
		drop_sessions(n);
	if (faults->silent && !old.silent)
		silence_sessions(n, now);
	if (faults->paused && !old.paused)
		n->paused_at = now;
	/* The paused time does not count as idle time of the owner. */
	if (!faults->paused && old.paused)
		n->owner_seen_at += now - n->paused_at;
}

void node_state(const struct node *n, hm_time now, struct endpoint_state *out)
{
	memset(out, 0, sizeof(*out));
	out->database = n->database;
	out->endpoint = n->spec.endpoint;
	out->reachable = true;
	out->role = n->log.role;
	out->promised = n->log.promised;
	out->promised_by = n->log.promised_by;
	out->at = memlog_last_pos(&n->log);
	memlog_lineage(&n->log, &out->lineage);
	out->owner = n->owner;
	out->owner_idle = n->owner ? now - n->owner_seen_at : 0;
}

bool node_set_owner(struct node *n, uint64_t incarnation, uint64_t expected,
		    hm_time now)
{
	struct session *s;
	guint i;

	if (!incarnation || (n->owner != incarnation && n->owner != expected))
		return false;
	n->owner = incarnation;
	n->owner_seen_at = now;
	for (i = 0; i < n->sessions->len; i++) {
		s = n->sessions->pdata[i];
		if (s->incarnation && s->incarnation != incarnation)
			session_fatal(s, "57P01", "the member has a new owner");
	}
	return true;
}

bool node_follow(struct node *n, uint64_t term, uint64_t requester,
		 hm_id target, hm_time now)
{
	if (!node_peer(n, target) || target == n->spec.endpoint)
		return false;
	if (!memlog_follow(&n->log, term, requester, target))
		return false;
	statement_rollback_writer(n, now);
	replica_pull(n, now);
	return true;
}

uint32_t node_connections(const struct node *n)
{
	const struct session *s;
	uint32_t count = 0;
	guint i;

	for (i = 0; i < n->sessions->len; i++) {
		s = n->sessions->pdata[i];
		count += !s->closed && !s->abandoned && !s->control &&
			 s->stage != STAGE_STARTUP;
	}
	return count;
}

struct session *node_session(const struct node *n, uint32_t pid)
{
	struct session *s;
	guint i;

	for (i = 0; i < n->sessions->len; i++) {
		s = n->sessions->pdata[i];
		if (!s->closed && !s->abandoned && s->pid == pid)
			return s;
	}
	return NULL;
}

bool node_sql(struct node *n, const char *sql, hm_time now)
{
	GPtrArray *list = g_ptr_array_new_with_free_func(memlog_statement_free);
	bool ok = !n->writer && memlog_writable(&n->log);

	g_ptr_array_add(list,
			memlog_statement_new(sql, engine_clock(), NULL, 0));
	ok = ok && engine_apply(n->engine, list);
	if (ok)
		memlog_append(&n->log, list, now);
	else
		g_ptr_array_unref(list);
	return ok;
}
