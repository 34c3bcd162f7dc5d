/**
 * @file cli_standin.c
 * The subcommand "standin": stand-ins for the platform and the database groups
 * of a site whose instances run as separate processes. Lines on standard input
 * inject faults and change contracts; each is answered by one line. The program
 * ends at the end of the input.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../standin/site.h"
#include "cli_embedded.h"
#include "command.h"
#include "log.h"

#define ACCOUNT "demo"
#define ACCOUNT_RATE 100000 /* requests per second */
#define LINE_BYTES 256
#define WORDS_MAX 4
#define TABLE_SQL "CREATE TABLE notes (id INTEGER PRIMARY KEY, text TEXT)"

static int first_port;
static int instances = 3;
static int databases = 1;
static char *settings_dir;

static const GOptionEntry entries[] = {
	{ "port", 0, 0, G_OPTION_ARG_INT, &first_port,
	  "First of a range of consecutive ports", "FIRST" },
	{ "instances", 0, 0, G_OPTION_ARG_INT, &instances,
	  "Instances of the site, 1 to 8 (3)", "N" },
	{ "databases", 0, 0, G_OPTION_ARG_INT, &databases,
	  "Database groups, 1 to 3 (1)", "N" },
	{ "settings-dir", 0, 0, G_OPTION_ARG_FILENAME, &settings_dir,
	  "Directory for instance-N.json; default: print them", "DIRECTORY" },
	G_OPTION_ENTRY_NULL
};

/** A line of standard input, split at whitespace. */
struct command_line {
	char *words[WORDS_MAX];
	int count; /**< number of words, WORDS_MAX + 1 for too many */
};

static void split(char *line, struct command_line *out)
{
	char *rest = line, *word;

	memset(out, 0, sizeof(*out));
	while ((word = strsep(&rest, " \t\n")) != NULL)
		if (*word && out->count < WORDS_MAX)
			out->words[out->count++] = word;
		else if (*word)
			out->count = WORDS_MAX + 1;
}

/* A number from 0 to G_MAXINT, -1 for any other text. */
static int parse_number(const char *text)
{
	guint64 value;

	if (!g_ascii_string_to_unsigned(text, 10, 0, G_MAXINT, &value, NULL))
		return -1;
	return (int)value;
}

static const struct member_fault {
	const char *word;
	struct member_faults faults;
} member_faults[] = {
	{ "none", { 0 } },
	{ "dead", { .dead = true } },
	{ "cut_peers", { .cut_peers = true } },
	{ "cut_all", { .cut_all = true } },
	{ "paused", { .paused = true } },
	{ "silent", { .silent = true } },
	{ "lose_answer", { .lose_answer = true } },
};

static bool parse_lag(const struct command_line *in, struct member_faults *out)
{
	int ms = in->count == 4 ? parse_number(in->words[3]) : -1;

	memset(out, 0, sizeof(*out));
	out->lag = ms * HM_MS;
	return ms >= 0 && !strcmp(in->words[2], "lag");
}

static bool find_member_faults(const struct command_line *in,
			       struct member_faults *out)
{
	size_t i;

	for (i = 0; in->count == 3 && i < G_N_ELEMENTS(member_faults); i++)
		if (!strcmp(in->words[2], member_faults[i].word)) {
			*out = member_faults[i].faults;
			return true;
		}
	return parse_lag(in, out);
}

static bool run_member(struct site *s, const struct command_line *in)
{
	const struct endpoint_spec *e;
	struct member_faults faults;

	if (in->count < 3)
		return false;
	e = site_member(s, in->words[1]);
	if (!e || !find_member_faults(in, &faults))
		return false;
	members_set_faults(site_members(s), e->endpoint, &faults);
	printf("ok\n");
	return true;
}

static bool run_store(struct site *s, const struct command_line *in)
{
	const char *word = in->count > 1 ? in->words[1] : "";
	struct store_faults faults = { 0 };
	int ms = in->count == 3 ? parse_number(in->words[2]) : -1;
	bool ok = in->count == 2 && !strcmp(word, "up");

	faults.down = in->count == 2 && !strcmp(word, "down");
	faults.lose_answer = in->count == 2 && !strcmp(word, "lose_answer");
	if (ms > 0 && !strcmp(word, "slow"))
		faults.slow = ms * HM_MS;
	if (!ok && !faults.down && !faults.lose_answer && !faults.slow)
		return false;
	store_set_faults(site_store(s), &faults);
	printf("ok\n");
	return true;
}

static bool run_contract(struct site *s, const struct command_line *in)
{
	int rate = in->count == 4 ? parse_number(in->words[2]) : -1;
	int burst = in->count == 4 ? parse_number(in->words[3]) : -1;
	char key[SITE_KEY_BYTES];

	if (rate < 1 || burst < 1 ||
	    !site_put_contract(s, in->words[1], (uint32_t)rate, (uint32_t)burst,
			       key))
		return false;
	printf("ok key %s\n", key);
	return true;
}

/* Withdraws all keys of an account by storing its contract without keys. */
static bool run_withdraw(struct site *s, const struct command_line *in)
{
	if (in->count != 2 ||
	    !site_put_contract_without_keys(s, in->words[1], 1, 1))
		return false;
	printf("ok\n");
	return true;
}

static const struct {
	const char *word;
	bool (*run)(struct site *s, const struct command_line *in);
} commands[] = {
	{ "member", run_member },
	{ "store", run_store },
	{ "contract", run_contract },
	{ "withdraw", run_withdraw },
};

static bool run_command(struct site *s, const struct command_line *in)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(commands); i++)
		if (!strcmp(in->words[0], commands[i].word))
			return commands[i].run(s, in);
	return false;
}

static void run_commands(struct site *s)
{
	char line[LINE_BYTES];
	struct command_line in;

	while (fgets(line, sizeof(line), stdin)) {
		split(line, &in);
		if (!in.count)
			continue;
		if (!strcmp(in.words[0], "quit"))
			break;
		if (!run_command(s, &in))
			printf("refused\n");
		fflush(stdout);
	}
}

static bool write_settings(const struct site *s, uint32_t index)
{
	char *text = site_settings_text(s, index);
	GError *error = NULL;
	char *name, *path;
	bool ok = true;

	if (settings_dir) {
		name = g_strdup_printf("instance-%u.json", index + 1);
		path = g_build_filename(settings_dir, name, NULL);
		ok = g_file_set_contents(path, text, -1, &error);
		g_free(path);
		g_free(name);
	} else {
		printf("%s\n", text);
	}
	if (!ok)
		fprintf(stderr, "standin: %s\n", error->message);
	g_clear_error(&error);
	g_free(text);
	return ok;
}

/*
 * Creates the table in each database group, writes the settings of each
 * instance and prints the key of a first account.
 */
static bool prepare(struct site *s)
{
	char key[SITE_KEY_BYTES];
	int i;

	for (i = 0; i < databases; i++)
		if (!members_sql(site_members(s),
				 site_endpoint(s, (uint32_t)i, 0)->endpoint,
				 TABLE_SQL))
			return false;
	for (i = 0; i < instances; i++)
		if (!write_settings(s, (uint32_t)i))
			return false;
	if (!site_put_contract(s, ACCOUNT, ACCOUNT_RATE, ACCOUNT_RATE, key))
		return false;
	printf("key %s\n", key);
	fflush(stdout);
	return true;
}

static bool options_valid(int argc)
{
	return argc == 1 && first_port > 0 &&
	       first_port + SITE_PORTS <= 65536 && instances >= 1 &&
	       instances <= SITE_INSTANCES_MAX && databases >= 1 &&
	       databases <= SITE_DATABASES_MAX;
}

int cli_standin(int argc, char **argv)
{
	char fault[SETTINGS_FAULT_BYTES];
	struct site_options options;
	int code = CLI_UNAVAILABLE;
	struct site *s;

	if (!command_options(&argc, &argv, NULL,
			     "Runs the stand-ins of a site whose instances are "
			     "other processes.",
			     entries))
		return CLI_USAGE;
	if (!options_valid(argc)) {
		fprintf(stderr,
			"standin: --port FIRST is needed, see --help\n");
		return CLI_USAGE;
	}
	signal(SIGPIPE, SIG_IGN);
	site_options_default(&options);
	options.port = (uint16_t)first_port;
	options.instances = (uint32_t)instances;
	options.databases = (uint32_t)databases;
	options.instances_elsewhere = true;
	options.log_level = "info";
	s = site_new(&options, fault);
	if (!s) {
		fprintf(stderr, "standin: %s\n", fault);
		return CLI_UNAVAILABLE;
	}
	if (prepare(s)) {
		run_commands(s);
		code = CLI_OK;
	}
	site_free(s);
	return code;
}
