/** @file core.c Passes events and messages to the modules of a core. */
#include "core.h"

#include "ingress.h"
#include "owner.h"
#include "state.h"

#include <stdlib.h>
#include <string.h>

struct core *core_new(const struct core_options *options, hm_time now)
{
	struct core *c = calloc(1, sizeof(*c));

	if (!c)
		return NULL;
	c->options = *options;
	c->rng.state = options->seed;
	c->started_at = now;
	c->heartbeat_at = now;
	c->contracts = contracts_new();
	c->peers = peers_new(&c->options, now);
	c->ingress = ingress_new();
	c->owner = owner_new();
	c->budget = budget_new(options->seed);
	if (!c->contracts || !c->peers || !c->ingress || !c->owner ||
	    !c->budget)
		goto fail;
	c->rate = rate_new(&c->options, c->peers, now);
	if (!c->rate)
		goto fail;
	c->admit = admit_new(c->rate);
	if (!c->admit)
		goto fail;
	return c;

fail:
	core_free(c);
	return NULL;
}

void core_free(struct core *c)
{
	if (!c)
		return;
	databases_free(c);
	if (c->admit)
		admit_free(c->admit);
	if (c->rate)
		rate_free(c->rate);
	if (c->peers)
		peers_free(c->peers);
	if (c->contracts)
		contracts_free(c->contracts);
	ingress_free(c->ingress);
	owner_free(c->owner);
	if (c->budget)
		budget_free(c->budget);
	free(c);
}

static void send_contract(struct actions *actions, uint64_t to,
			  const struct contract *contract)
{
	struct contract *copy = malloc(sizeof(*copy));

	if (!copy)
		return; /* the digests differ, so the peer will request it */
	*copy = *contract;
	actions_send(actions, to, MSG_CONTRACT)->contract = copy;
}

/* Stores a contract if it is newer; true if the contract in force changed. */
static bool apply_contract(struct core *c, const struct contract *contract,
			   hm_time now, struct actions *actions)
{
	const char *fault = NULL;
	bool changed = contracts_apply(c->contracts, contract, &fault);
	struct decision *log;

	if (!changed && !fault)
		return false;
	log = actions_log(actions, changed ? "contract" : "contract_refused",
			  fault ? fault : "newer version");
	log->account = contract->account;
	log->at.pos = contract->version;
	if (changed)
		rate_set_contract(c->rate, contract, now);
	return changed;
}

static void on_contract(struct core *c, const struct contract *contract,
			hm_time now, struct actions *actions)
{
	if (apply_contract(c, contract, now, actions))
		send_contract(actions, 0, contract);
}

static void send_contracts(struct core *c, hm_id account, uint64_t to,
			   struct actions *actions)
{
	uint32_t i;

	for (i = 0; i < contracts_count(c->contracts); i++) {
		const struct contract *contract = contracts_at(c->contracts, i);

		if (!account || contract->account == account)
			send_contract(actions, to, contract);
	}
}

/*
 * Sends all configured groups to a peer. A peer that started while it could not
 * reach the platform has no other source of them.
 */
static void send_databases(struct core *c, uint64_t to, struct actions *actions)
{
	uint32_t i;

	for (i = 0; i < c->database_count; i++) {
		struct message m = { .kind = MSG_DATABASE };

		m.database = &c->databases[i].spec;
		message_copy(actions_send(actions, to, MSG_DATABASE), &m);
	}
}

/*
 * Digest of the versions of all contracts and groups. Peers compare it with
 * theirs and so detect that they miss one or have an old one.
 */
static uint64_t config_digest(const struct core *c)
{
	uint64_t digest = contracts_digest(c->contracts);
	uint32_t i;

	for (i = 0; i < c->database_count; i++) {
		const struct database_spec *d = &c->databases[i].spec;
		struct rng mix = { d->database ^ d->version };

		digest += rng_next(&mix);
	}
	return digest;
}

static void on_heartbeat(struct core *c, const struct message *m, hm_time now,
			 struct actions *actions)
{
	databases_evacuate(c, &m->heartbeat.evacuation, now, actions);
	if (m->heartbeat.stopped)
		return;
	if (m->heartbeat.config_digest == config_digest(c))
		return;
	/* Both sides request, so each one receives what it lacks. */
	actions_send(actions, m->from, MSG_CONTRACT_REQUEST)->contract_want = 0;
}

static void on_message(struct core *c, const struct message *m, hm_time now,
		       struct actions *actions)
{
	switch (m->kind) {
	case MSG_HEARTBEAT:
		on_heartbeat(c, m, now, actions);
		break;
	case MSG_STATEMENT:
		owner_statement(c, &m->statement, m->from, now, actions);
		break;
	case MSG_RESULT:
		ingress_result(c, &m->result, m->from, now, actions);
		break;
	case MSG_ABANDON:
		owner_abandon(c, m->abandon, now, actions);
		break;
	case MSG_CONTROL:
		owner_control(c, &m->control, now, actions);
		break;
	case MSG_STATE:
		databases_report(c, &m->state, m->from, now, actions);
		break;
	case MSG_RATE_REQUEST:
	case MSG_RATE_GRANT:
		rate_message(c->rate, m, now, actions);
		ingress_admitted(c, now, actions);
		break;
	case MSG_CONTRACT:
		apply_contract(c, m->contract, now, actions);
		break;
	case MSG_CONTRACT_REQUEST:
		send_contracts(c, m->contract_want, m->from, actions);
		send_databases(c, m->from, actions);
		break;
	case MSG_DATABASE:
		databases_apply(c, m->database, now, actions);
		break;
	case MSG_HEARTBEAT_REPEATED:
		break; /* never leaves the peer links */
	case MSG_RUN:
	case MSG_RUN_RESULT:
	case MSG_RELEASE:
	case MSG_VIEW_REQUEST:
	case MSG_VIEW:
	case MSG_DOCUMENT_REQUEST:
	case MSG_DOCUMENT:
	case MSG_DIGEST:
	case MSG_DIGEST_REQUEST:
		break; /* used by the proxy module (proxy_message.c) only */
	case MSG_KIND_COUNT:
		break;
	}
}

static void send_heartbeat(struct core *c, bool stopped, hm_time now,
			   struct actions *actions)
{
	struct message *m = actions_send(actions, 0, MSG_HEARTBEAT);

	m->heartbeat.instance = c->options.instance;
	m->heartbeat.zone = c->options.zone;
	m->heartbeat.leaving = c->stopping;
	m->heartbeat.stopped = stopped;
	m->heartbeat.platform_ok = c->platform_ok;
	m->heartbeat.config_version = contracts_version(c->contracts);
	m->heartbeat.config_digest = config_digest(c);
	m->heartbeat.evacuation = evacuation_report(&c->evacuation, now);
}

static void finish_stop(struct core *c, hm_time now, struct actions *actions)
{
	if (!c->stopping || c->stopped)
		return;
	if (ingress_count(c) || owner_count(c))
		return;
	c->stopped = true;
	send_heartbeat(c, true, now, actions);
	actions_add(actions, ACT_STOPPED);
}

static void on_tick(struct core *c, hm_time now, struct actions *actions)
{
	if (now >= c->heartbeat_at) {
		c->heartbeat_at = now + c->options.heartbeat_every;
		send_heartbeat(c, false, now, actions);
	}
	peers_tick(c->peers, now);
	rate_tick(c->rate, now, actions);
	owner_tick(c, now, actions);
	databases_tick(c, now, actions);
	ingress_tick(c, now, actions);
	finish_stop(c, now, actions);
}

static void on_stop(struct core *c, hm_time now, struct actions *actions)
{
	uint32_t i;

	if (c->stopping)
		return;
	c->stopping = true;
	peers_leave(c->peers);
	for (i = 0; i < c->database_count; i++)
		failover_stop(c->databases[i].failover);
	send_heartbeat(c, false, now, actions);
}

/* Whether an action sends a message of this instance to itself. */
static bool is_loopback(const struct core *c, const struct action *a)
{
	return a->kind == ACT_SEND && a->send.to == c->options.incarnation;
}

static void set_sender(struct core *c, struct message *m, hm_time now)
{
	m->from = c->options.incarnation;
	m->seq = ++c->next_seq;
	if (m->kind == MSG_CONTROL && m->control.nonce.incarnation == m->from)
		sent_control_record(c, &m->control, now);
}

/*
 * Sets the sender of each new message, and handles the messages to this
 * instance, which may append further actions to the list.
 */
static void deliver_to_self(struct core *c, size_t first, hm_time now,
			    struct actions *actions)
{
	size_t i, kept = first;

	for (i = first; i < actions->count; i++) {
		struct message m;

		if (actions->list[i].kind != ACT_SEND)
			continue;
		set_sender(c, &actions->list[i].send.message, now);
		if (!is_loopback(c, &actions->list[i]))
			continue;
		m = actions->list[i].send.message;
		on_message(c, &m, now, actions);
		message_clear(&m);
		owner_flush(c, now, actions);
	}
	for (i = first; i < actions->count; i++)
		if (!is_loopback(c, &actions->list[i]))
			actions->list[kept++] = actions->list[i];
	actions->count = kept;
}

static void dispatch(struct core *c, const struct event *e, hm_time now,
		     struct actions *actions)
{
	switch (e->kind) {
	case EV_TICK:
		on_tick(c, now, actions);
		break;
	case EV_REQUEST:
		ingress_request(c, &e->request, now, actions);
		break;
	case EV_CLIENT_GONE:
		ingress_client_gone(c, e->gone, now, actions);
		break;
	case EV_MESSAGE:
		peers_message(c->peers, e->message, now);
		if (!peers_obsolete(c->peers, e->message->from))
			on_message(c, e->message, now, actions);
		break;
	case EV_CONNECTED:
	case EV_CLOSED:
	case EV_DONE:
		owner_event(c, e, now, actions);
		break;
	case EV_STATE:
		owner_state(c, e->state.nonce, &e->state.state, now, actions);
		break;
	case EV_CONTRACT:
		on_contract(c, e->contract, now, actions);
		break;
	case EV_DATABASE:
		databases_apply(c, e->database, now, actions);
		break;
	case EV_INSTANCES:
		peers_listed(c->peers, e->instances.list, e->instances.count,
			     now);
		break;
	case EV_PLATFORM:
		c->platform_ok = e->platform_ok;
		peers_platform(c->peers, e->platform_ok, now);
		break;
	case EV_EVACUATION:
		databases_evacuate(c, &e->evacuation, now, actions);
		break;
	case EV_STOP:
		on_stop(c, now, actions);
		break;
	case EV_KIND_COUNT:
		break;
	}
}

void core_step(struct core *c, const struct event *event, hm_time now,
	       struct actions *actions)
{
	size_t first = actions->count;

	seq_clock_step(&c->seq_clock, c->next_seq + 1, now);
	dispatch(c, event, now, actions);
	owner_flush(c, now, actions);
	deliver_to_self(c, first, now, actions);
}

static uint32_t peers_alive_count(const struct core *c)
{
	uint32_t i, alive = 0;

	for (i = 0; i < peers_count(c->peers); i++)
		alive += peers_at(c->peers, i)->alive;
	return alive;
}

static void add_loads(const struct core *c, struct core_counters *out)
{
	uint32_t i, k;

	for (i = 0; i < c->database_count; i++) {
		const struct database *d = &c->databases[i];

		out->promotions += failover_promotions(d->failover);
		for (k = 0; k < d->member_count; k++) {
			struct executor_load load;

			if (!d->members[k].executor)
				continue;
			executor_get_load(d->members[k].executor, 0, &load);
			out->queued += load.queued;
			out->transactions += load.transactions;
			out->connections += load.connections;
		}
	}
}

void core_get_counters(const struct core *c, struct core_counters *out)
{
	*out = c->counters;
	out->contracts = contracts_count(c->contracts);
	out->databases = c->database_count;
	out->peers_alive = peers_alive_count(c);
	out->waiting = admit_waiting(c->admit);
	out->in_flight = ingress_count(c);
	out->config_version = contracts_version(c->contracts);
	out->config_digest = config_digest(c);
	out->evacuated_zones = evacuation_zones(&c->evacuation);
	add_loads(c, out);
}

hm_id core_account_by_key(const struct core *c, struct key_id key)
{
	const struct contract *contract = contracts_by_key(c->contracts, key);

	return contract ? contract->account : 0;
}
