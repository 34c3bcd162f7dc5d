/** @file member.c Members that speak the line protocol. */
#include "member.h"

#include <arpa/inet.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lab.h"

struct member {
	int index, listener;
	char address[64];
};

struct conn {
	struct member *member;
	int fd;
	char who[64];	   /* the tenant's name */
	bool open, writes; /* a transaction is open; it wrote */
	GHashTable *prepared;
	GString *out;
};

static struct member members[MEMBERS];
static char service[64];
static GMutex lock;
static uint64_t position = 1, runs;
static member_hook hook;

void members_on_run(member_hook h)
{
	hook = h;
}

const char *member_name(int index)
{
	static const char *const names[MEMBERS] = { "i-a1", "i-b2", "i-c3" };

	return names[index];
}

const char *member_address(int index)
{
	return members[index].address;
}

uint64_t members_runs(void)
{
	uint64_t n;

	g_mutex_lock(&lock);
	n = runs;
	g_mutex_unlock(&lock);
	return n;
}

static void send_all(struct conn *c)
{
	size_t sent = 0;
	ssize_t n;

	while (sent < c->out->len) {
		n = send(c->fd, c->out->str + sent, c->out->len - sent,
			 MSG_NOSIGNAL);
		if (n <= 0) {
			shutdown(c->fd, SHUT_RDWR);
			break;
		}
		sent += (size_t)n;
	}
	g_string_truncate(c->out, 0);
}

static void ready(struct conn *c)
{
	g_string_append_printf(c->out, "READY %c 1.%" G_GUINT64_FORMAT "\r\n",
			       c->open ? 'T' : 'I', position);
}

static void done(struct conn *c)
{
	g_string_append(c->out, "COMPLETE -\r\n");
	ready(c);
}

static void fail(struct conn *c, const char *code)
{
	g_string_append_printf(c->out, "ERROR %s %s\r\n", code,
			       member_name(c->member->index));
	ready(c);
}

static void receipt(struct conn *c)
{
	g_string_append_printf(c->out, "COMPLETE 7.%" G_GUINT64_FORMAT "\r\n",
			       ++runs);
	ready(c);
}

static bool is_primary(const struct conn *c)
{
	return c->member->index == 0;
}

/* "many:N:B" is answered with N rows of B bytes. */
static void run_read(struct conn *c, const char *item)
{
	unsigned int rows = 1, bytes = 12, i;
	char *row;

	if (sscanf(item, "many:%u:%u", &rows, &bytes) != 2) {
		rows = 1;
		bytes = 12;
	}
	row = g_strnfill(bytes, 'q');
	for (i = 0; i < rows; i++)
		g_string_append_printf(c->out, "ROW %s\r\n", row);
	g_free(row);
	receipt(c);
}

static void run_write(struct conn *c)
{
	if (!is_primary(c)) {
		fail(c, "READONLY");
		return;
	}
	if (c->open)
		c->writes = true;
	else
		position++;
	receipt(c);
}

static void status(struct conn *c)
{
	g_string_append_printf(c->out,
			       "ROW %s 1 1.%" G_GUINT64_FORMAT " 0 0 0 1\r\n",
			       is_primary(c) ? "primary" : "replica", position);
	done(c);
}

static void run_text(struct conn *c, char *text)
{
	char **w = g_strsplit(text, " ", 5);
	char **words = w;

	if (g_strv_length(words) > 2 && !strcmp(words[0], "AFTER"))
		words += 2; /* replicas have no delay */
	if (!strcmp(words[0], "BEGIN")) {
		if (!words[1] && !is_primary(c)) {
			fail(c, "READONLY");
		} else {
			c->open = true;
			c->writes = false;
			done(c);
		}
	} else if (!strcmp(words[0], "COMMIT")) {
		position += c->writes;
		c->open = c->writes = false;
		receipt(c);
	} else if (!strcmp(words[0], "ROLLBACK")) {
		c->open = c->writes = false;
		done(c);
	} else if (!strcmp(words[0], "READ") && words[1]) {
		run_read(c, words[1]);
	} else if (!strcmp(words[0], "WRITE")) {
		run_write(c);
	} else if (!strcmp(words[0], "PREPARE") && words[1] && words[2]) {
		g_hash_table_replace(c->prepared, g_strdup(words[1]),
				     g_strdup(words[2]));
		done(c);
	} else if (!strcmp(words[0], "EXECUTE") && words[1] && words[2]) {
		const char *kind = g_hash_table_lookup(c->prepared, words[1]);

		if (!kind)
			fail(c, "NOSTMT");
		else if (!strcmp(kind, "WRITE"))
			run_write(c);
		else
			run_read(c, words[2]);
	} else if (!strcmp(words[0], "DEALLOC") && words[1]) {
		g_hash_table_remove(c->prepared, words[1]);
		done(c);
	} else if (!strcmp(words[0], "RESET")) {
		g_hash_table_remove_all(c->prepared);
		done(c);
	} else if (!strcmp(words[0], "SET")) {
		done(c);
	} else {
		status(c); /* STATUS, PAUSE, RESUME, STEPDOWN */
	}
	g_strfreev(w);
}

static bool take_line(struct conn *c, char *line, bool *admitted)
{
	char *text;
	bool ok = true;

	line[strcspn(line, "\r\n")] = '\0';
	g_mutex_lock(&lock);
	if (!*admitted) {
		char **w = g_strsplit(line, " ", 4);

		ok = g_strv_length(w) >= 3 && !strcmp(w[0], "STARTUP") &&
		     !strcmp(w[1], service) &&
		     (!w[3] || !strcmp(w[3], member_name(c->member->index)));
		if (ok)
			g_strlcpy(c->who, w[2], sizeof(c->who));
		if (ok)
			ready(c);
		else
			g_string_append(c->out, "ERROR MISROUTED -\r\n");
		*admitted = ok;
		g_strfreev(w);
	} else if (g_str_has_prefix(line, "QUERY ") &&
		   (text = strchr(line + 6, ' '))) {
		*text = '\0';
		if (hook && strcmp(line + 6, "-") != 0)
			hook(c->member->index, c->who, line + 6, text + 1);
		run_text(c, text + 1);
	} else {
		ok = false;
	}
	g_mutex_unlock(&lock);
	send_all(c);
	return ok;
}

static gpointer serve(gpointer data)
{
	struct conn *c = data;
	FILE *in = fdopen(dup(c->fd), "r");
	bool admitted = false;
	char *line = NULL;
	size_t capacity = 0;

	while (getline(&line, &capacity, in) > 0 &&
	       take_line(c, line, &admitted))
		;
	free(line);
	fclose(in);
	close(c->fd);
	g_hash_table_unref(c->prepared);
	g_string_free(c->out, TRUE);
	g_free(c);
	return NULL;
}

static gpointer accept_all(gpointer data)
{
	struct member *m = data;
	struct conn *c;
	int fd;

	while ((fd = accept(m->listener, NULL, NULL)) >= 0) {
		c = g_new0(struct conn, 1);
		c->member = m;
		c->fd = fd;
		c->out = g_string_new(NULL);
		c->prepared = g_hash_table_new_full(g_str_hash, g_str_equal,
						    g_free, g_free);
		g_thread_unref(g_thread_new("member", serve, c));
	}
	return NULL;
}

bool members_start(const char *name)
{
	int i;

	g_strlcpy(service, name, sizeof(service));
	for (i = 0; i < MEMBERS; i++) {
		struct member *m = &members[i];
		struct sockaddr_in at = { .sin_family = AF_INET };
		socklen_t bytes = sizeof(at);

		m->index = i;
		m->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		if (bind(m->listener, (struct sockaddr *)&at, sizeof(at)) ||
		    listen(m->listener, SOMAXCONN) ||
		    getsockname(m->listener, (struct sockaddr *)&at, &bytes))
			return false;
		g_snprintf(m->address, sizeof(m->address), "127.0.0.1:%u",
			   ntohs(at.sin_port));
		g_thread_unref(g_thread_new("accept", accept_all, m));
	}
	return true;
}
