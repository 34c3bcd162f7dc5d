/** @file front_counts.c Metrics of answers by route and by account. */
#include "front_internal.h"

#define LABELS_BYTES 192
/* All accounts beyond this number are counted together, as account "-". */
#define ACCOUNTS_MAX 1024

/** Counts of the answers to one account or on one route. */
struct tally {
	uint64_t answers[ERR_COUNT]; /**< number by error kind */
	struct histogram latency;
};

struct front_counts {
	struct tally *routes;
	GHashTable *accounts; /**< account to struct tally */
	struct tally others;  /**< accounts beyond ACCOUNTS_MAX */
};

struct front_counts *front_counts_new(void)
{
	struct front_counts *c = g_new0(struct front_counts, 1);
	size_t routes;

	front_routes(&routes);
	c->routes = g_new0(struct tally, routes);
	c->accounts = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					    g_free);
	return c;
}

void front_counts_free(struct front_counts *c)
{
	g_hash_table_destroy(c->accounts);
	g_free(c->routes);
	g_free(c);
}

static struct tally *account_tally(struct front_counts *c, uint64_t account)
{
	struct tally *t = g_hash_table_lookup(c->accounts, &account);

	if (t)
		return t;
	if (g_hash_table_size(c->accounts) >= ACCOUNTS_MAX)
		return &c->others;
	t = g_new0(struct tally, 1);
	g_hash_table_insert(c->accounts, g_memdup2(&account, sizeof(account)),
			    t);
	return t;
}

static void tally_add(struct tally *t, enum error error, hm_time spent)
{
	t->answers[error]++;
	histogram_add(&t->latency, spent);
}

void front_counts_add(struct front_counts *c, const struct exchange *x,
		      enum error error)
{
	hm_time spent = loop_now() - x->arrived_at;
	size_t routes;

	if (x->route)
		tally_add(&c->routes[x->route - front_routes(&routes)], error,
			  spent);
	/*
	 * Without the account callback, x->binding is a key hash and not an
	 * account.
	 */
	if (x->binding && x->front->hooks.account)
		tally_add(account_tally(c, x->binding), error, spent);
}

/** One group of metrics samples: its labels and the counters to print. */
struct labelled_tally {
	char label[LABELS_BYTES / 2];
	const struct tally *tally;
};

static void append_answers(GString *out, const char *name,
			   const struct labelled_tally *l)
{
	char labels[LABELS_BYTES];
	int kind;

	for (kind = 0; kind < ERR_COUNT; kind++) {
		if (!l->tally->answers[kind])
			continue;
		g_snprintf(labels, sizeof(labels), "%s,code=\"%s\"", l->label,
			   error_answer((enum error)kind)->code);
		metrics_value(out, name, labels, l->tally->answers[kind]);
	}
}

static GArray *route_rows(const struct front_counts *c)
{
	GArray *rows = g_array_new(FALSE, FALSE, sizeof(struct labelled_tally));
	size_t routes, i;
	const struct route_entry *r = front_routes(&routes);

	for (i = 0; i < routes; i++) {
		struct labelled_tally l = { .tally = &c->routes[i] };

		g_snprintf(l.label, sizeof(l.label),
			   "listener=\"%s\",route=\"%s\"",
			   r[i].operators ? "operators" : "callers", r[i].path);
		g_array_append_val(rows, l);
	}
	return rows;
}

static GArray *account_rows(const struct front *f)
{
	GArray *rows = g_array_new(FALSE, FALSE, sizeof(struct labelled_tally));
	struct labelled_tally l = { "account=\"-\"", &f->counts->others };
	GHashTableIter iter;
	gpointer account, tally;
	const char *name;

	g_array_append_val(rows, l);
	g_hash_table_iter_init(&iter, f->counts->accounts);
	while (g_hash_table_iter_next(&iter, &account, &tally)) {
		name = f->hooks.name ? f->hooks.name(f->hooks.owner,
						     *(uint64_t *)account)
				     : NULL;
		g_snprintf(l.label, sizeof(l.label), "account=\"%s\"",
			   name ? name : "?");
		l.tally = tally;
		g_array_append_val(rows, l);
	}
	return rows;
}

/*
 * Appends the metric families @a answers and @a latency with a sample of each
 * row, and frees @a rows.
 */
static void append_rows(GString *out, GArray *rows, const char *answers,
			const char *latency)
{
	guint i;

	metrics_family(out, answers, "counter", "Answers by error kind.");
	for (i = 0; i < rows->len; i++)
		append_answers(out, answers,
			       &g_array_index(rows, struct labelled_tally, i));
	metrics_family(out, latency, "histogram",
		       "Time from arrival to answer.");
	for (i = 0; i < rows->len; i++) {
		struct labelled_tally *l =
			&g_array_index(rows, struct labelled_tally, i);

		if (l->tally->latency.count)
			metrics_histogram(out, latency, l->label,
					  &l->tally->latency);
	}
	g_array_free(rows, TRUE);
}

void front_metrics(const struct front *f, GString *out)
{
	metrics_single(out, "hyssopmount_front_requests_open", "gauge",
		       "Requests without an answer.", front_open_requests(f));
	metrics_single(out, "hyssopmount_front_connections", "gauge",
		       "Connections of clients and operators.",
		       f->connections.length);
	append_rows(out, route_rows(f->counts),
		    "hyssopmount_front_answers_total",
		    "hyssopmount_front_latency_seconds");
	append_rows(out, account_rows(f), "hyssopmount_account_answers_total",
		    "hyssopmount_account_latency_seconds");
}
