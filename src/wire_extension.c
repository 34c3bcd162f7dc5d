/** @file wire_extension.c Fields added after version 8, by a table. */
#include "wire_extension.h"

#include <msgpack.h>

/* Keys on the wire; a key is never used again for another field. */
enum extension_key {
	EXTENSION_FEATURES = 1,
	EXTENSION_RUN_LEVEL = 2,
	EXTENSION_TOKENS_WANTED = 3,
	EXTENSION_RUN_LOAD = 4,
	EXTENSION_CAPACITY = 5,
	EXTENSION_NEWS_CAPACITY = 7, /* once for each entry of the digest */
	EXTENSION_VOTERS_VERSION = 8,
	EXTENSION_VOTER = 9, /* once for each voter */
	EXTENSION_UNCOMMITTED = 10
};

/* Most numbers of one field that this build knows. */
#define VALUES_MAX 8

/** One field: in which message it is, and its conversion to numbers. */
struct extension_field {
	enum extension_key key;
	enum message_kind kind;
	uint32_t count; /**< numbers that this build sends and needs */
	/** Writes the numbers; false if the field has its default value. */
	bool (*get)(const struct message *m, uint64_t *values);
	void (*set)(struct message *m, const uint64_t *values);
};

static bool get_features(const struct message *m, uint64_t *values)
{
	values[0] = m->heartbeat.features;
	return values[0] != 0;
}

static void set_features(struct message *m, const uint64_t *values)
{
	m->heartbeat.features = values[0];
}

static bool get_run_level(const struct message *m, uint64_t *values)
{
	values[0] = m->run->level;
	return values[0] != 0;
}

static void set_run_level(struct message *m, const uint64_t *values)
{
	m->run->level = priority_level(values[0]);
}

static bool get_tokens_wanted(const struct message *m, uint64_t *values)
{
	bool any = false;
	uint32_t i;

	for (i = 0; i < PRIORITY_LEVELS; i++) {
		values[i] = m->rate.wanted[i];
		any |= values[i] != 0;
	}
	return any;
}

static void set_tokens_wanted(struct message *m, const uint64_t *values)
{
	uint32_t i;

	for (i = 0; i < PRIORITY_LEVELS; i++)
		m->rate.wanted[i] = (uint32_t)MIN(values[i], UINT32_MAX);
}

static bool get_run_load(const struct message *m, uint64_t *values)
{
	const struct run_load *l = &m->ran->load;
	uint32_t i;

	values[0] = (uint64_t)MAX(l->connection_wait, 0);
	for (i = 0; i < PRIORITY_LEVELS; i++)
		values[i + 1] = (uint64_t)MAX(l->wait[i], 0);
	return l->known;
}

static void set_run_load(struct message *m, const uint64_t *values)
{
	struct run_load *l = &m->ran->load;
	uint32_t i;

	l->known = true;
	l->connection_wait = (hm_time)MIN(values[0], INT64_MAX);
	for (i = 0; i < PRIORITY_LEVELS; i++)
		l->wait[i] = (hm_time)MIN(values[i + 1], INT64_MAX);
}

static bool get_digest_features(const struct message *m, uint64_t *values)
{
	values[0] = m->digest->heartbeat.features;
	return values[0] != 0;
}

static void set_digest_features(struct message *m, const uint64_t *values)
{
	m->digest->heartbeat.features = values[0];
}

static bool write_capacity(const struct capacity *k, uint64_t *values)
{
	values[0] = k->processor_millis;
	values[1] = k->link_mbit;
	values[2] = k->busy;
	return values[0] || values[1] || values[2];
}

static void read_capacity(struct capacity *k, const uint64_t *values)
{
	k->processor_millis = (uint32_t)MIN(values[0], UINT32_MAX);
	k->link_mbit = (uint32_t)MIN(values[1], UINT32_MAX);
	k->busy = values[2] != 0;
}

static bool get_capacity(const struct message *m, uint64_t *values)
{
	return write_capacity(&m->heartbeat.capacity, values);
}

static void set_capacity(struct message *m, const uint64_t *values)
{
	read_capacity(&m->heartbeat.capacity, values);
}

static bool get_digest_capacity(const struct message *m, uint64_t *values)
{
	return write_capacity(&m->digest->heartbeat.capacity, values);
}

static void set_digest_capacity(struct message *m, const uint64_t *values)
{
	read_capacity(&m->digest->heartbeat.capacity, values);
}

/* Never by the table: one digest has many of them. */
static bool get_news_capacity(const struct message *m, uint64_t *values)
{
	(void)m;
	(void)values;
	return false;
}

static void set_news_capacity(struct message *m, const uint64_t *values)
{
	struct peer_news *n;

	if (values[0] >= m->digest->count)
		return;
	n = &m->digest->news[values[0]];
	n->features = values[1];
	read_capacity(&n->capacity, values + 2);
}

static bool get_voters_version(const struct message *m, uint64_t *values)
{
	values[0] = m->view->voters.at.era;
	values[1] = m->view->voters.at.revision;
	values[2] = m->view->voters.term;
	return m->view->states_voters;
}

static void set_voters_version(struct message *m, const uint64_t *values)
{
	m->view->states_voters = true;
	m->view->committed = true; /* a build that does not tell counts so */
	m->view->voters.at = (struct store_version){ values[0], values[1] };
	m->view->voters.term = values[2];
}

/* Comes after the version, which sets the opposite. */
static bool get_uncommitted(const struct message *m, uint64_t *values)
{
	values[0] = 1;
	return m->view->states_voters && !m->view->committed;
}

static void set_uncommitted(struct message *m, const uint64_t *values)
{
	m->view->committed = !values[0];
}

/* Never by the table: one view has many of them. */
static bool get_voter(const struct message *m, uint64_t *values)
{
	(void)m;
	(void)values;
	return false;
}

static void set_voter(struct message *m, const uint64_t *values)
{
	struct voters *v = &m->view->voters;

	if (v->count < VOTERS_MAX)
		v->list[v->count++] = (struct voter){ values[0], values[1] };
}

static const struct extension_field fields[] = {
	{ EXTENSION_FEATURES, MSG_HEARTBEAT, 1, get_features, set_features },
	{ EXTENSION_FEATURES, MSG_DIGEST, 1, get_digest_features,
	  set_digest_features },
	{ EXTENSION_RUN_LEVEL, MSG_RUN, 1, get_run_level, set_run_level },
	{ EXTENSION_TOKENS_WANTED, MSG_RATE_REQUEST, PRIORITY_LEVELS,
	  get_tokens_wanted, set_tokens_wanted },
	{ EXTENSION_RUN_LOAD, MSG_RUN_RESULT, PRIORITY_LEVELS + 1, get_run_load,
	  set_run_load },
	{ EXTENSION_CAPACITY, MSG_HEARTBEAT, 3, get_capacity, set_capacity },
	{ EXTENSION_CAPACITY, MSG_DIGEST, 3, get_digest_capacity,
	  set_digest_capacity },
	{ EXTENSION_NEWS_CAPACITY, MSG_DIGEST, 5, get_news_capacity,
	  set_news_capacity },
	{ EXTENSION_VOTERS_VERSION, MSG_VIEW, 3, get_voters_version,
	  set_voters_version },
	{ EXTENSION_UNCOMMITTED, MSG_VIEW, 1, get_uncommitted,
	  set_uncommitted },
	{ EXTENSION_VOTER, MSG_VIEW, 2, get_voter, set_voter },
};

#define FIELDS (sizeof(fields) / sizeof(fields[0]))

static void write_field(msgpack_packer *k, enum extension_key key,
			uint32_t count, const uint64_t *values)
{
	uint32_t n;

	msgpack_pack_uint32(k, key);
	msgpack_pack_uint32(k, count);
	for (n = 0; n < count; n++)
		msgpack_pack_uint64(k, values[n]);
}

/* Writes the capacities that full news state. */
static void write_news_capacities(msgpack_packer *k, const struct digest *d)
{
	uint64_t values[5];
	uint32_t i;

	for (i = 0; i < d->count; i++) {
		if (!d->news[i].full || !d->news[i].features)
			continue;
		values[0] = i;
		values[1] = d->news[i].features;
		write_capacity(&d->news[i].capacity, values + 2);
		write_field(k, EXTENSION_NEWS_CAPACITY, 5, values);
	}
}

static void write_voters(msgpack_packer *k, const struct voters *v)
{
	uint64_t values[2];
	uint32_t i;

	for (i = 0; i < v->count; i++) {
		values[0] = v->list[i].endpoint;
		values[1] = v->list[i].started;
		write_field(k, EXTENSION_VOTER, 2, values);
	}
}

GBytes *wire_extension_write(const struct message *m)
{
	uint64_t values[VALUES_MAX];
	msgpack_sbuffer buffer;
	msgpack_packer k;
	GBytes *bytes = NULL;
	size_t i;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&k, &buffer, msgpack_sbuffer_write);
	for (i = 0; i < FIELDS; i++) {
		if (fields[i].kind != m->kind || !fields[i].get(m, values))
			continue;
		write_field(&k, fields[i].key, fields[i].count, values);
	}
	if (m->kind == MSG_DIGEST)
		write_news_capacities(&k, m->digest);
	if (m->kind == MSG_VIEW)
		write_voters(&k, &m->view->voters);
	if (buffer.size)
		bytes = g_bytes_new(buffer.data, buffer.size);
	msgpack_sbuffer_destroy(&buffer);
	return bytes;
}

/** Position in an extension that is being read. */
struct reader {
	const char *data;
	size_t bytes;
	size_t offset;
	msgpack_unpacked item;
};

/*
 * Whether the next item is a non-negative integer, by its first byte. Only
 * those are unpacked: of an array the library allocates as much as its header
 * claims.
 */
static bool is_number(const struct reader *r)
{
	uint8_t first;

	if (r->offset >= r->bytes)
		return false;
	first = (uint8_t)r->data[r->offset];
	return first <= 0x7f || (first >= 0xcc && first <= 0xcf);
}

static bool read_number(struct reader *r, uint64_t *out)
{
	if (!is_number(r) ||
	    msgpack_unpack_next(&r->item, r->data, r->bytes, &r->offset) !=
		    MSGPACK_UNPACK_SUCCESS)
		return false;
	*out = r->item.data.via.u64;
	return true;
}

static const struct extension_field *find(uint64_t key, enum message_kind kind)
{
	size_t i;

	for (i = 0; i < FIELDS; i++)
		if (fields[i].key == key && fields[i].kind == kind)
			return &fields[i];
	return NULL;
}

/*
 * Reads one field and sets it if this build knows it. A newer build may send
 * more numbers for a field; those are skipped.
 */
static bool read_field(struct reader *r, struct message *m)
{
	uint64_t key, count, i, number, values[VALUES_MAX];
	const struct extension_field *f;

	if (!read_number(r, &key) || !read_number(r, &count))
		return false;
	for (i = 0; i < count; i++) {
		if (!read_number(r, &number))
			return false;
		if (i < VALUES_MAX)
			values[i] = number;
	}
	f = find(key, m->kind);
	if (f && count < f->count)
		return false;
	if (f)
		f->set(m, values);
	return true;
}

bool wire_extension_read(const void *data, size_t bytes, struct message *m)
{
	struct reader r = { .data = data, .bytes = bytes };
	bool ok = true;

	msgpack_unpacked_init(&r.item);
	while (ok && r.offset < bytes)
		ok = read_field(&r, m);
	msgpack_unpacked_destroy(&r.item);
	return ok;
}
