/** @file line_members.c Stand-in members that speak the line protocol. */
#include "line_members.h"

#include <arpa/inet.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

struct member {
	struct line_members *set;
	int index;
	int listener;
	char address[ADDRESS_BYTES];
	GThread *thread;
	bool dead;
	bool frozen;
	uint64_t paused_term;
	GPtrArray *threads; /* one per connection */
	GArray *fds;	    /* one per connection */
};

struct line_members {
	char service[NAME_BYTES];
	GMutex lock;
	struct member list[LINE_MEMBERS];
	GHashTable *values; /* committed value of each item */
	uint64_t term;
	uint64_t pos;
	uint64_t runs;
	int primary;
	GCond thawed;
	bool keep_old_primary;
	/* index of the replaced primary that has not stepped down, -1: none */
	int old;
	uint64_t old_term;
	uint64_t old_pos;
	GHashTable *old_values;
};

/* One connection; used by the connection's thread only. */
struct conn {
	struct member *member;
	int fd;
	FILE *in;
	bool open; /* a transaction is open */
	bool read_write;
	GHashTable *prepared;
	GPtrArray *writes; /* item, value, item, value, ... */
};

static const char *const names[LINE_MEMBERS] = { "i-1", "i-2", "i-3" };

const char *line_members_name(int index)
{
	return names[index];
}

const char *line_members_address(const struct line_members *m, int index)
{
	return m->list[index].address;
}

static void send_text(struct conn *c, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

static void send_text(struct conn *c, const char *format, ...)
{
	va_list args;
	char *text;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	if (send(c->fd, text, strlen(text), MSG_NOSIGNAL) < 0)
		shutdown(c->fd, SHUT_RDWR);
	g_free(text);
}

static bool is_old(const struct conn *c)
{
	return c->member->set->old == c->member->index;
}

static uint64_t term_of(const struct conn *c)
{
	return is_old(c) ? c->member->set->old_term : c->member->set->term;
}

static uint64_t pos_of(const struct conn *c)
{
	return is_old(c) ? c->member->set->old_pos : c->member->set->pos;
}

static void send_ready(struct conn *c)
{
	send_text(c, "READY %c %" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT "\r\n",
		  c->open ? 'T' : 'I', term_of(c), pos_of(c));
}

static void send_complete(struct conn *c, const char *receipt)
{
	send_text(c, "COMPLETE %s\r\n", receipt);
	send_ready(c);
}

static void send_error(struct conn *c, const char *code)
{
	send_text(c, "ERROR %s %s\r\n", code, names[c->member->index]);
	send_ready(c);
}

static bool is_primary(const struct conn *c)
{
	return c->member->set->primary == c->member->index || is_old(c);
}

static void apply(struct line_members *m, GPtrArray *writes)
{
	guint i;

	for (i = 0; i + 1 < writes->len; i += 2)
		g_hash_table_replace(m->values, g_strdup(writes->pdata[i]),
				     g_strdup(writes->pdata[i + 1]));
	if (writes->len)
		m->pos++;
	g_ptr_array_set_size(writes, 0);
}

static void complete_statement(struct conn *c)
{
	char receipt[32];

	g_snprintf(receipt, sizeof(receipt), "7.%" G_GUINT64_FORMAT,
		   ++c->member->set->runs);
	send_complete(c, receipt);
}

static void run_read(struct conn *c, const char *item)
{
	const struct line_members *m = c->member->set;
	const char *value = g_hash_table_lookup(
		is_old(c) ? m->old_values : m->values, item);

	send_text(c, "ROW %s\r\n", value ? value : "");
	complete_statement(c);
}

static void run_write(struct conn *c, const char *item, const char *value)
{
	if (!is_primary(c)) {
		send_error(c, "READONLY");
		return;
	}
	if (!c->open && is_old(c)) {
		send_error(c,
			   "TIMEOUT"); /* no replica acknowledges the write */
		return;
	}
	g_ptr_array_add(c->writes, g_strdup(item));
	g_ptr_array_add(c->writes, g_strdup(value));
	if (!c->open)
		apply(c->member->set, c->writes);
	complete_statement(c);
}

static void run_execute(struct conn *c, char **words)
{
	const char *command =
		words[1] ? g_hash_table_lookup(c->prepared, words[1]) : NULL;

	if (!command)
		send_error(c, "NOSTMT");
	else if (!strcmp(command, "WRITE"))
		run_write(c, words[2], words[3] ? words[3] : "");
	else
		run_read(c, words[2]);
}

static void run_begin(struct conn *c, bool reads)
{
	if (!reads && !is_primary(c)) {
		send_error(c, "READONLY");
		return;
	}
	c->open = true;
	c->read_write = !reads;
	send_complete(c, "-");
}

static void run_commit(struct conn *c)
{
	if (c->read_write && !is_primary(c) && c->writes->len) {
		g_ptr_array_set_size(c->writes, 0);
		c->open = false;
		send_error(c, "READONLY");
		return;
	}
	if (is_old(c) && c->writes->len) {
		g_ptr_array_set_size(c->writes, 0);
		c->open = false;
		send_error(c, "TIMEOUT");
		return;
	}
	apply(c->member->set, c->writes);
	c->open = false;
	complete_statement(c);
}

static void run_status(struct conn *c)
{
	send_text(c,
		  "ROW %s %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT
		  ".%" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT " 0 0 1\r\n",
		  is_primary(c) ? "primary" : "replica", term_of(c), term_of(c),
		  pos_of(c), c->member->paused_term);
	send_complete(c, "-");
}

static void run_step_down(struct conn *c, uint64_t term)
{
	if (is_old(c) && term > c->member->set->old_term)
		c->member->set->old = -1;
	run_status(c);
}

static void run_text(struct conn *c, char **words)
{
	char *rest;

	if (!strcmp(words[0], "AFTER"))
		words += 2; /* no wait: replicas never lag */
	if (c->open && c->read_write && !is_primary(c) &&
	    strcmp(words[0], "COMMIT") != 0 &&
	    strcmp(words[0], "ROLLBACK") != 0) {
		send_error(c, "READONLY");
	} else if (!strcmp(words[0], "BEGIN")) {
		run_begin(c, words[1] != NULL);
	} else if (!strcmp(words[0], "COMMIT")) {
		run_commit(c);
	} else if (!strcmp(words[0], "ROLLBACK")) {
		g_ptr_array_set_size(c->writes, 0);
		c->open = false;
		send_complete(c, "-");
	} else if (!strcmp(words[0], "READ")) {
		run_read(c, words[1]);
	} else if (!strcmp(words[0], "WRITE")) {
		rest = g_strjoinv(" ", words + 2);
		run_write(c, words[1], rest);
		g_free(rest);
	} else if (!strcmp(words[0], "PREPARE")) {
		g_hash_table_replace(c->prepared, g_strdup(words[1]),
				     g_strdup(words[2]));
		send_complete(c, "-");
	} else if (!strcmp(words[0], "DEALLOC")) {
		if (g_hash_table_remove(c->prepared, words[1]))
			send_complete(c, "-");
		else
			send_error(c, "NOSTMT");
	} else if (!strcmp(words[0], "RESET")) {
		g_hash_table_remove_all(c->prepared);
		send_complete(c, "-");
	} else if (!strcmp(words[0], "EXECUTE")) {
		run_execute(c, words);
	} else if (!strcmp(words[0], "PAUSE")) {
		c->member->paused_term = g_ascii_strtoull(words[1], NULL, 10);
		run_status(c);
	} else if (!strcmp(words[0], "RESUME")) {
		c->member->paused_term = 0;
		run_status(c);
	} else if (!strcmp(words[0], "STEPDOWN")) {
		run_step_down(c, g_ascii_strtoull(words[1], NULL, 10));
	} else if (!strcmp(words[0], "STATUS")) {
		run_status(c);
	} else {
		send_complete(c, "-"); /* SET has no effect */
	}
}

static bool admit(struct conn *c, char **words)
{
	struct line_members *m = c->member->set;

	if (g_strv_length(words) != 4 || strcmp(words[0], "STARTUP") != 0 ||
	    strcmp(words[1], m->service) != 0 ||
	    strcmp(words[3], names[c->member->index]) != 0) {
		send_text(c, "ERROR MISROUTED %s\r\n", names[c->member->index]);
		return false;
	}
	send_ready(c);
	return true;
}

static bool take_line(struct conn *c, char *line, bool *admitted)
{
	struct line_members *m = c->member->set;
	char **words;
	bool ok = true;

	line[strcspn(line, "\r\n")] = '\0';
	words = g_strsplit(line, " ", 8);
	g_mutex_lock(&m->lock);
	while (c->member->frozen && !c->member->dead)
		g_cond_wait(&m->thawed, &m->lock);
	if (!*admitted)
		*admitted = ok = admit(c, words);
	else
		run_text(c, words + 2);
	g_mutex_unlock(&m->lock);
	g_strfreev(words);
	return ok;
}

static gpointer serve(gpointer data)
{
	struct conn *c = data;
	bool admitted = false;
	char *line = NULL;
	size_t capacity = 0;

	c->in = fdopen(dup(c->fd), "r");
	while (getline(&line, &capacity, c->in) > 0 &&
	       take_line(c, line, &admitted))
		;
	free(line);
	fclose(c->in);
	shutdown(c->fd, SHUT_RDWR);
	g_hash_table_unref(c->prepared);
	g_ptr_array_unref(c->writes);
	g_free(c);
	return NULL;
}

static gpointer accept_all(gpointer data)
{
	struct member *member = data;
	struct conn *c;
	int fd;

	while ((fd = accept(member->listener, NULL, NULL)) >= 0) {
		c = g_new0(struct conn, 1);
		c->member = member;
		c->fd = fd;
		c->prepared = g_hash_table_new_full(g_str_hash, g_str_equal,
						    g_free, g_free);
		c->writes = g_ptr_array_new_with_free_func(g_free);
		g_mutex_lock(&member->set->lock);
		g_array_append_val(member->fds, fd);
		g_ptr_array_add(member->threads,
				g_thread_new("member", serve, c));
		g_mutex_unlock(&member->set->lock);
	}
	return NULL;
}

static bool listen_member(struct member *member)
{
	struct sockaddr_in at = { .sin_family = AF_INET };
	socklen_t bytes = sizeof(at);

	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	member->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (bind(member->listener, (struct sockaddr *)&at, sizeof(at)) ||
	    listen(member->listener, SOMAXCONN) ||
	    getsockname(member->listener, (struct sockaddr *)&at, &bytes))
		return false;
	g_snprintf(member->address, sizeof(member->address), "127.0.0.1:%u",
		   ntohs(at.sin_port));
	return true;
}

struct line_members *line_members_new(const char *service)
{
	struct line_members *m = g_new0(struct line_members, 1);
	int i;

	g_strlcpy(m->service, service, sizeof(m->service));
	g_mutex_init(&m->lock);
	g_cond_init(&m->thawed);
	m->values =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	m->term = 1;
	m->old = -1;
	m->old_values =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (i = 0; i < LINE_MEMBERS; i++) {
		struct member *member = &m->list[i];

		member->set = m;
		member->index = i;
		member->threads = g_ptr_array_new();
		member->fds = g_array_new(FALSE, FALSE, sizeof(int));
		if (!listen_member(member))
			return NULL;
		member->thread = g_thread_new("accept", accept_all, member);
	}
	return m;
}

void line_members_kill(struct line_members *m, int index)
{
	struct member *member = &m->list[index];
	guint i;

	if (member->dead)
		return;
	g_mutex_lock(&m->lock);
	member->dead = true;
	g_cond_broadcast(&m->thawed);
	g_mutex_unlock(&m->lock);
	shutdown(member->listener, SHUT_RDWR);
	g_thread_join(member->thread);
	close(member->listener);
	for (i = 0; i < member->fds->len; i++)
		shutdown(g_array_index(member->fds, int, i), SHUT_RDWR);
	for (i = 0; i < member->threads->len; i++)
		g_thread_join(g_ptr_array_index(member->threads, i));
	for (i = 0; i < member->fds->len; i++)
		close(g_array_index(member->fds, int, i));
}

void line_members_free(struct line_members *m)
{
	int i;

	if (!m)
		return;
	for (i = 0; i < LINE_MEMBERS; i++) {
		line_members_kill(m, i);
		g_ptr_array_unref(m->list[i].threads);
		g_array_unref(m->list[i].fds);
	}
	g_hash_table_unref(m->values);
	g_hash_table_unref(m->old_values);
	g_cond_clear(&m->thawed);
	g_mutex_clear(&m->lock);
	g_free(m);
}

/* Keeps term, position and values of a primary that is being replaced. */
static void copy_old_primary(struct line_members *m)
{
	GHashTableIter iter;
	gpointer item, value;

	m->old = m->primary;
	m->old_term = m->term;
	m->old_pos = m->pos;
	g_hash_table_remove_all(m->old_values);
	g_hash_table_iter_init(&iter, m->values);
	while (g_hash_table_iter_next(&iter, &item, &value))
		g_hash_table_insert(m->old_values, g_strdup(item),
				    g_strdup(value));
}

void line_members_keep_old_primary(struct line_members *m)
{
	g_mutex_lock(&m->lock);
	m->keep_old_primary = true;
	g_mutex_unlock(&m->lock);
}

bool line_members_old_primary_runs(struct line_members *m)
{
	bool running;

	g_mutex_lock(&m->lock);
	running = m->old >= 0;
	g_mutex_unlock(&m->lock);
	return running;
}

void line_members_freeze(struct line_members *m, int index, bool frozen)
{
	g_mutex_lock(&m->lock);
	m->list[index].frozen = frozen;
	g_cond_broadcast(&m->thawed);
	g_mutex_unlock(&m->lock);
}

void line_members_commit(struct line_members *m, const char *item,
			 const char *value)
{
	g_mutex_lock(&m->lock);
	g_hash_table_replace(m->values, g_strdup(item), g_strdup(value));
	m->pos++;
	g_mutex_unlock(&m->lock);
}

bool line_members_promote(struct line_members *m, const char *name)
{
	bool found = false;
	int i;

	g_mutex_lock(&m->lock);
	for (i = 0; i < LINE_MEMBERS; i++) {
		if (strcmp(names[i], name) != 0 || m->list[i].dead)
			continue;
		found = true;
		if (m->old == i)
			m->old = -1;
		if (m->keep_old_primary && m->primary != i)
			copy_old_primary(m);
		m->term += m->primary != i;
		m->primary = i;
	}
	for (i = 0; found && i < LINE_MEMBERS; i++)
		m->list[i].paused_term = 0;
	g_mutex_unlock(&m->lock);
	return found;
}

int line_members_primary(struct line_members *m)
{
	int primary;

	g_mutex_lock(&m->lock);
	primary = m->primary;
	g_mutex_unlock(&m->lock);
	return primary;
}

char *line_members_value(struct line_members *m, const char *item)
{
	char *value;

	g_mutex_lock(&m->lock);
	value = g_strdup(g_hash_table_lookup(m->values, item));
	g_mutex_unlock(&m->lock);
	return value;
}

uint64_t line_members_statement_count(struct line_members *m)
{
	uint64_t runs;

	g_mutex_lock(&m->lock);
	runs = m->runs;
	g_mutex_unlock(&m->lock);
	return runs;
}
