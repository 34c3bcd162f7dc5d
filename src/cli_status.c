/** @file cli_status.c The subcommand "status". */
#include <curl/curl.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#include "address.h"
#include "command.h"

#define CALL_TIMEOUT_MS 5000L

static char *address;

static const GOptionEntry entries[] = {
	{ "operators", 'o', 0, G_OPTION_ARG_STRING, &address,
	  "operator listener of the instance", "IP:PORT" },
	G_OPTION_ENTRY_NULL
};

static size_t append_data(char *data, size_t size, size_t count, void *out)
{
	g_string_append_len(out, data, (gssize)(size * count));
	return size * count;
}

/* Fetches the status as JSON text; NULL with a line on standard error. */
static GString *fetch_status(void)
{
	char *url = g_strdup_printf("http://%s/status", address);
	GString *text = g_string_new(NULL);
	CURL *curl = curl_easy_init();
	CURLcode code;

	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, CALL_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_FAILONERROR, 1L);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_data);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, text);
	code = curl_easy_perform(curl);
	curl_easy_cleanup(curl);
	g_free(url);
	if (code == CURLE_OK)
		return text;
	fprintf(stderr, "status: %s: %s\n", address, curl_easy_strerror(code));
	g_string_free(text, TRUE);
	return NULL;
}

/* Prints one line "path value" for each value that is no object or array. */
static void print_value(const char *path, json_t *value)
{
	const char *key;
	char *text, *child_path;
	json_t *item;
	size_t i;

	if (json_is_object(value)) {
		json_object_foreach(value, key, item)
		{
			child_path = g_strdup_printf("%s%s%s", path,
						     *path ? "." : "", key);
			print_value(child_path, item);
			g_free(child_path);
		}
		return;
	}
	if (json_is_array(value)) {
		json_array_foreach(value, i, item)
		{
			child_path = g_strdup_printf("%s[%zu]", path, i);
			print_value(child_path, item);
			g_free(child_path);
		}
		return;
	}
	text = json_dumps(value, JSON_ENCODE_ANY);
	printf("%-32s %s\n", path,
	       json_is_string(value) ? json_string_value(value) : text);
	free(text);
}

int cli_status(int argc, char **argv)
{
	struct sockaddr_storage ss;
	int code = CLI_UNAVAILABLE;
	json_t *root = NULL;
	GString *text;

	if (!command_options(&argc, &argv, NULL,
			     "Prints the status of a running instance.",
			     entries))
		return CLI_USAGE;
	if (argc > 1 || !address || !address_parse(address, &ss)) {
		fprintf(stderr, "status: --operators IP:PORT is needed\n");
		return CLI_USAGE;
	}
	text = fetch_status();
	if (text)
		root = json_loadb(text->str, text->len, 0, NULL);
	if (root) {
		print_value("", root);
		code = CLI_OK;
	} else if (text) {
		fprintf(stderr, "status: %s: the answer is not JSON\n",
			address);
	}
	if (text)
		g_string_free(text, TRUE);
	json_decref(root);
	return code;
}
