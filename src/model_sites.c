/** @file model_sites.c The two reference deployments. */
#include <string.h>

#include "model.h"

static void site_common(struct model_site *s)
{
	memset(s, 0, sizeof(*s));
	s->instances = 7;
	s->zones = 4;
	s->databases = 3;
	s->lag = 50 * HM_MS;
	s->max_age_percent = 90;
	s->deadline = 5 * HM_SEC;
	s->account_count = 8;
}

static void set_account(struct model_site *s, uint32_t index, uint32_t rate,
			uint32_t weight)
{
	struct model_account *a = &s->accounts[index];

	a->rate = rate;
	a->burst = rate;
	a->weight = weight;
	a->offered = rate * 8 / 10;
	a->cost_factor = 1;
}

void model_site_library(struct model_site *s)
{
	uint32_t i;

	site_common(s);
	s->name = "library unit";
	s->slots = 2;
	s->connections = 16;
	s->zone_delay = 1500;
	s->client_delay = 1 * HM_MS;
	s->connect_cost = 10 * HM_MS;
	s->read_cost = 4 * HM_MS;
	s->write_cost = 6 * HM_MS;
	s->read_percent = 75;
	s->max_age = 2 * HM_SEC;
	for (i = 0; i < s->account_count; i++)
		set_account(s, i, i < 2 ? 120 : 30, i < 2 ? 4 : 1);
}

void model_site_tangle(struct model_site *s)
{
	uint32_t i;

	site_common(s);
	s->name = "Tangle & Twinkle";
	s->slots = 3;
	s->connections = 40;
	s->zone_delay = 500;
	s->client_delay = 3 * HM_MS;
	s->connect_cost = 30 * HM_MS;
	s->read_cost = 3 * HM_MS;
	s->write_cost = 5 * HM_MS;
	s->read_percent = 90;
	s->max_age = 5 * HM_SEC;
	for (i = 0; i < s->account_count; i++)
		set_account(s, i, i < 2 ? 240 : 60, i < 2 ? 4 : 1);
}
