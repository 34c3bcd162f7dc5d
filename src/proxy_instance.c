/**
 * @file proxy_instance.c
 * Connects the core of a proxy (core/proxy.h) to its input and output on one
 * event loop. Each event is passed to proxy_step(), and the actions that come
 * out are performed at once.
 */
#include "proxy_instance_state.h"

#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include "log.h"

/* How often the settings file is checked for changes. */
#define FILE_CHECK_EVERY (1 * HM_SEC)
/*
 * Interval of the updates of the store feed's schedule; the feed's polling
 * thread reads the schedule every 100 ms as well.
 */
#define FEED_SCHEDULE_EVERY (100 * HM_MS)

static void step(struct proxy_instance *i, const struct proxy_event *e);

static void do_answer(struct proxy_instance *i, const struct proxy_action *a)
{
	if (!a->answer.opened)
		histogram_add(a->answer.error ? &i->io_counters.refused
					      : &i->io_counters.served,
			      a->answer.took);
	line_front_perform(i->front, a);
}

static void do_close_client(struct proxy_instance *i,
			    const struct proxy_action *a)
{
	line_front_perform(i->front, a);
}

static void do_member(struct proxy_instance *i, const struct proxy_action *a)
{
	member_links_perform(i->members, a);
}

static void do_promoter(struct proxy_instance *i, const struct proxy_action *a)
{
	promoter_submit(i->promoter, a);
}

static void do_reserve(struct proxy_instance *i, const struct proxy_action *a)
{
	reserve_store_submit(i->reserves, a->reserve);
}

static void send_message(struct proxy_instance *i, uint64_t to,
			 struct message *m)
{
	m->from = i->incarnation;
	m->seq = ++i->next_seq;
	peer_links_send(i->peers, to, m);
}

static void do_share_document(struct proxy_instance *i,
			      const struct proxy_action *a)
{
	struct message m = { .kind = MSG_DOCUMENT };
	const char *text;

	text = site_feed_document(i->feed, a->share.kind, &m.document.version);
	if (!text)
		return;
	m.document.kind = a->share.kind;
	m.document.data = (char *)text;
	m.document.bytes = (uint32_t)strlen(text);
	send_message(i, a->share.to, &m);
}

static void do_digests(struct proxy_instance *i, const struct proxy_action *a)
{
	peer_links_set_mesh(i->peers, !a->digests);
}

static void do_learn_peer(struct proxy_instance *i,
			  const struct proxy_action *a)
{
	peer_links_learn(i->peers, a->learned.incarnation, a->learned.address);
}

static void do_ready(struct proxy_instance *i, const struct proxy_action *a)
{
	health_http_ready(i->health, a->ready);
}

static void do_log(struct proxy_instance *i, const struct proxy_action *a)
{
	(void)i;
	log_line(G_LOG_LEVEL_INFO, a->line);
}

static void do_stopped(struct proxy_instance *i, const struct proxy_action *a)
{
	(void)a;
	loop_stop(i->loop);
}

static void (*const performers[])(struct proxy_instance *i,
				  const struct proxy_action *a) = {
	[PROXY_ANSWER] = do_answer,
	[PROXY_CLOSE_CLIENT] = do_close_client,
	[PROXY_CONNECT] = do_member,
	[PROXY_COMMAND] = do_member,
	[PROXY_CLOSE_MEMBER] = do_member,
	[PROXY_TAKE_TOKEN] = do_promoter,
	[PROXY_RECORD_VOTERS] = do_promoter,
	[PROXY_PROMOTE] = do_promoter,
	[PROXY_RESERVE] = do_reserve,
	[PROXY_SHARE_DOCUMENT] = do_share_document,
	[PROXY_DIGESTS] = do_digests,
	[PROXY_LEARN_PEER] = do_learn_peer,
	[PROXY_READY] = do_ready,
	[PROXY_LOG] = do_log,
	[PROXY_STOPPED] = do_stopped,
};

static void perform(struct proxy_instance *i, struct proxy_output *out)
{
	size_t n;

	for (n = 0; n < out->peers.count; n++)
		send_message(i, out->peers.list[n].send.to,
			     &out->peers.list[n].send.message);
	for (n = 0; n < out->count; n++)
		performers[out->list[n].kind](i, &out->list[n]);
}

/*
 * Passes an event to the core and performs the actions that come out. An action
 * may cause another event, which calls step() recursively. The recursive call
 * needs an output list of its own, so the list is taken out of the instance
 * while its actions are performed.
 */
static void step(struct proxy_instance *i, const struct proxy_event *e)
{
	struct proxy_output out = i->out;

	i->out = (struct proxy_output){ 0 };
	proxy_step(i->proxy, e, loop_now(), &out);
	perform(i, &out);
	member_links_flush(i->members);
	line_front_flush(i->front);
	proxy_output_clear(&out);
	proxy_output_free(&i->out);
	i->out = out;
}

void instance_on_event(void *owner, const struct proxy_event *e)
{
	step(owner, e);
}

/*
 * Peer links deliver events of the type that core.h defines. Passes messages
 * on as events of proxy.h and ignores all others.
 */
void instance_on_peer_event(void *owner, const struct event *e)
{
	struct proxy_instance *i = owner;
	struct proxy_event out = { .kind = PROXY_MESSAGE,
				   .message = e->message };

	if (e->kind != EV_MESSAGE)
		return;
	if (e->message->kind == MSG_DOCUMENT)
		site_feed_take(i->feed, &e->message->document);
	step(i, &out);
}

void instance_on_addresses(void *owner, const char (*list)[ADDRESS_BYTES],
			   uint32_t count)
{
	struct proxy_instance *i = owner;
	struct proxy_event e = { .kind = PROXY_LISTED, .listed = count };

	peer_links_set_addresses(i->peers, list, count);
	step(i, &e);
}

void instance_write_metrics(void *owner, GString *out)
{
	struct proxy_instance *i = owner;
	struct proxy_counters counters;

	proxy_get_counters(i->proxy, &counters);
	i->io_counters.peer_dropped = peer_links_dropped(i->peers);
	i->io_counters.store_calls =
		site_feed_calls(i->feed) + reserve_store_calls(i->reserves);
	proxy_metrics_write(out, &counters, &i->io_counters);
}

static bool file_changed(struct proxy_instance *i)
{
	struct stat st;
	bool changed;

	if (!i->file[0] || stat(i->file, &st))
		return false;
	changed = st.st_mtim.tv_sec != i->file_time.tv_sec ||
		  st.st_mtim.tv_nsec != i->file_time.tv_nsec;
	i->file_time = st.st_mtim;
	return changed;
}

/*
 * Reads the settings file again and applies its drain and grace limits. Changes
 * of other settings need a restart.
 */
static void reload(struct proxy_instance *i)
{
	struct proxy_event e = { .kind = PROXY_LIMITS };
	char fault[SETTINGS_FAULT_BYTES];
	struct proxy_settings s;

	if (!proxy_settings_read(&s, i->file, fault)) {
		log_event(G_LOG_LEVEL_WARNING, "reload_refused", "fault", fault,
			  NULL);
		return;
	}
	i->settings.drain_limit = s.drain_limit;
	i->settings.grace = s.grace;
	e.limits.drain_limit = instance_drain_limit(i);
	e.limits.stop_limit = instance_stop_limit(i);
	step(i, &e);
	log_event(G_LOG_LEVEL_INFO, "reload", "file", i->file, NULL);
}

static void check_signals(struct proxy_instance *i)
{
	struct proxy_event e = { .kind = PROXY_STOP };

	if (i->stops > 1) {
		loop_stop(i->loop);
	} else if (i->stops && !i->stop_begun) {
		i->stop_begun = true;
		step(i, &e);
	}
	if (i->reloads) {
		i->reloads = 0;
		file_changed(i);
		reload(i);
	}
}

/*
 * The worker threads learn a new era of the store from its replies, the core
 * learns it from peers. Passes the newer era to the side that lacks it.
 */
static void exchange_era(struct proxy_instance *i)
{
	struct proxy_event e = { .kind = PROXY_STORE_ERA };
	uint64_t known = proxy_store_era(i->proxy);

	e.store_era = store_era_newest(&i->era);
	if (e.store_era > known)
		step(i, &e);
	else
		store_era_observe(&i->era, known);
}

void instance_on_tick(void *arg)
{
	struct proxy_instance *i = arg;
	struct proxy_event e = { .kind = PROXY_TICKED };
	struct feed_schedule schedule;
	hm_time now = loop_now();
	enum document_kind kind;

	timer_set(i->tick, now + PROXY_TICK);
	check_signals(i);
	if (now >= i->file_check_at) {
		i->file_check_at = now + FILE_CHECK_EVERY;
		if (file_changed(i))
			reload(i);
	}
	if (now >= i->feed_schedule_at) {
		i->feed_schedule_at = now + FEED_SCHEDULE_EVERY;
		exchange_era(i);
		schedule.poll_at = proxy_poll_at(i->proxy);
		schedule.batch_window = proxy_batch_window(i->proxy);
		for (kind = 0; kind < DOCUMENT_KIND_COUNT; kind++)
			schedule.reads[kind] =
				proxy_reads_document(i->proxy, kind, now);
		schedule.watches = proxy_watches_store(i->proxy, now);
		site_feed_set_schedule(i->feed, &schedule);
	}
	step(i, &e);
}

void proxy_instance_watch_file(struct proxy_instance *i, const char *file)
{
	g_strlcpy(i->file, file, sizeof(i->file));
	file_changed(i);
}

void proxy_instance_run(struct proxy_instance *i)
{
	char incarnation[24];

	g_snprintf(incarnation, sizeof(incarnation),
		   "%016" G_GINT64_MODIFIER "x", i->incarnation);
	log_event(G_LOG_LEVEL_INFO, "start", "instance", i->settings.instance,
		  "zone", i->settings.zone, "life", incarnation, NULL);
	loop_run(i->loop);
	log_event(G_LOG_LEVEL_INFO, "end", "instance", i->settings.instance,
		  NULL);
}

void proxy_instance_stop(struct proxy_instance *i)
{
	i->stops++;
}

void proxy_instance_reload(struct proxy_instance *i)
{
	i->reloads = 1;
}
