/** @file site_config.c Lookups in the configuration and the member list. */
#include "site_config.h"

#include <stdlib.h>
#include <string.h>

#include "grow.h"

void site_config_free(struct site_config *c)
{
	if (!c)
		return;
	table_free(&c->by_database);
	table_free(&c->by_account);
	table_free(&c->by_key);
	free(c->routes);
	free(c->services);
	free(c->accounts);
	free(c->account_barred);
	free(c->keys);
	free(c);
}

/* Inserts a priority into the sorted list of the lowest distinct ones. */
static uint32_t insert_priority(uint32_t lowest[PRIORITY_LEVELS],
				uint32_t count, uint32_t priority)
{
	uint32_t i = 0, k;

	while (i < count && lowest[i] < priority)
		i++;
	if (i == PRIORITY_LEVELS || (i < count && lowest[i] == priority))
		return count;
	if (count < PRIORITY_LEVELS)
		count++;
	for (k = count - 1; k > i; k--)
		lowest[k] = lowest[k - 1];
	lowest[i] = priority;
	return count;
}

static void set_levels(struct site_config *c)
{
	uint32_t lowest[PRIORITY_LEVELS], count = 0, i, level;

	for (i = 0; i < c->route_count; i++)
		count = insert_priority(lowest, count, c->routes[i].priority);
	for (i = 0; i < c->route_count; i++) {
		level = 0;
		while (level + 1 < count &&
		       lowest[level] < c->routes[i].priority)
			level++;
		c->routes[i].level = level;
	}
	c->level_count = count ? count : 1;
}

void site_config_index(struct site_config *c)
{
	uint32_t i;

	set_levels(c);

	for (i = 0; i < c->route_count; i++)
		if (!table_put(&c->by_database, c->routes[i].database, i))
			abort();
	/* Of two accounts of one name the first counts. */
	for (i = c->account_count; i-- > 0;)
		if (!table_put(&c->by_account, c->accounts[i].account, i))
			abort();
}

static struct account_key *find_key(const struct site_config *c,
				    struct key_id key)
{
	uint32_t i = c ? table_get(&c->by_key, key.lo) : TABLE_NONE;

	if (i == TABLE_NONE || !key_equal(c->keys[i].key, key))
		return NULL;
	return &c->keys[i];
}

void site_config_add_key(struct site_config *c, hm_id account,
			 struct key_id key)
{
	struct account_key *known = find_key(c, key);

	if (known) {
		known->shared |= known->account != account;
		return;
	}
	c->keys = grow_list(c->keys, c->key_count, &c->key_capacity,
			    sizeof(*c->keys));
	if (!table_put(&c->by_key, key.lo, c->key_count))
		abort();
	c->keys[c->key_count++] =
		(struct account_key){ .key = key, .account = account };
}

hm_id site_account_by_key(const struct site_config *c, struct key_id key)
{
	const struct account_key *known = find_key(c, key);

	return known && !known->shared ? known->account : 0;
}

uint32_t site_account_keys(const struct site_config *c, hm_id account)
{
	uint32_t i, count = 0;

	for (i = 0; c && i < c->key_count; i++)
		count += c->keys[i].account == account;
	return count;
}

const struct route_spec *site_route(const struct site_config *c, hm_id database)
{
	uint32_t h = c ? table_get(&c->by_database, database) : TABLE_NONE;

	return h == TABLE_NONE ? NULL : &c->routes[h];
}

zone_set site_account_barred(const struct site_config *c, hm_id account)
{
	uint32_t i = c->account_barred ? table_get(&c->by_account, account)
				       : TABLE_NONE;

	return i == TABLE_NONE ? 0 : c->account_barred[i];
}

const struct service_spec *site_service(const struct site_config *c,
					hm_id service)
{
	uint32_t i;

	for (i = 0; c && i < c->service_count; i++)
		if (c->services[i].service == service)
			return &c->services[i];
	return NULL;
}

void site_members_free(struct site_members *m)
{
	if (!m)
		return;
	free(m->list);
	free(m);
}

void site_members_add(struct site_members *m, const struct site_member *entry)
{
	m->list = realloc(m->list, (m->count + 1) * sizeof(*m->list));
	if (!m->list)
		abort();
	m->list[m->count++] = *entry;
}

bool site_member_restarted(const struct site_member *before,
			   const struct site_member *after)
{
	return before->started != after->started ||
	       strcmp(before->address, after->address) != 0;
}

const struct site_member *site_members_find(const struct site_members *m,
					    hm_id endpoint)
{
	uint32_t i;

	for (i = 0; m && i < m->count; i++)
		if (m->list[i].endpoint == endpoint)
			return &m->list[i];
	return NULL;
}
