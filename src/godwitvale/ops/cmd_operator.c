/* godwitvale status, audit and metrics: what an instance says of itself. */
#include "godwitvale/ops/cmd.h"

#include <stdio.h>
#include <string.h>

#include <libsoup/soup.h>

#include "godwitvale/ops/json.h"

/// Longest wait for an answer, in seconds.
#define OPERATOR_TIMEOUT_S 10

/// Asks an instance's operator address.
///
/// @param address  "IP:PORT"
/// @param path     what is asked for
/// @param error    set when there is no answer, or one that isn't 200
/// @return the answer's body, or NULL
static GBytes *
fetch(const char *address, const char *path, GError **error)
{
	/* Straight to the address: no proxy, no redirect. */
	SoupSession *session = soup_session_new_with_options(
	    "timeout", OPERATOR_TIMEOUT_S, "proxy-resolver", NULL, NULL);
	char *uri = g_strdup_printf("http://%s%s", address, path);
	SoupMessage *message = soup_message_new(SOUP_METHOD_GET, uri);
	GBytes *body;

	soup_message_add_flags(message, SOUP_MESSAGE_NO_REDIRECT);
	body = soup_session_send_and_read(session, message, NULL, error);
	if (body != NULL &&
	    soup_message_get_status(message) != SOUP_STATUS_OK) {
		g_set_error(error, G_IO_ERROR, G_IO_ERROR_FAILED,
		    "answered %u to %s", soup_message_get_status(message),
		    path);
		g_clear_pointer(&body, g_bytes_unref);
	}
	g_object_unref(message);
	g_object_unref(session);
	g_free(uri);
	return body;
}

/// Prints a JSON value as "path: value" lines.
///
/// @param value  the value
/// @param path   its path; changed and changed back
static void
print_value(json_object *value, GString *path)
{
	size_t len = path->len;

	if (json_object_is_type(value, json_type_object)) {
		json_object_object_foreach(value, key, member)
		{
			g_string_append_printf(
			    path, "%s%s", len ? "." : "", key);
			print_value(member, path);
			g_string_truncate(path, len);
		}
	} else if (json_object_is_type(value, json_type_array)) {
		for (size_t i = 0; i < json_object_array_length(value); i++) {
			g_string_append_printf(path, "[%zu]", i);
			print_value(json_object_array_get_idx(value, i), path);
			g_string_truncate(path, len);
		}
	} else {
		const char *text = json_object_get_string(value);

		printf("%s: %s\n", path->str, text ? text : "none");
	}
}

/// Prints an audit entry's field and a blank.
///
/// @param entry  the entry
/// @param key    the field
static void
print_field(json_object *entry, const char *key)
{
	json_object *value = NULL;
	const char *text = NULL;

	if (json_object_object_get_ex(entry, key, &value))
		text = json_object_get_string(value);
	printf("%s ", text ? text : "-");
}

/// Prints the status.
///
/// @param status  JSON object
static void
print_status(json_object *status)
{
	GString *path = g_string_new(NULL);

	print_value(status, path);
	g_string_free(path, TRUE);
}

/// Prints the audit trail, one line an entry.
///
/// @param list  JSON list
static void
print_audit(json_object *list)
{
	static const char *const keys[] = {
	    "when", "kind", "subject", "version", "who", "detail"};

	if (!json_object_is_type(list, json_type_array))
		return;
	for (size_t i = 0; i < json_object_array_length(list); i++) {
		for (size_t j = 0; j < G_N_ELEMENTS(keys); j++)
			print_field(
			    json_object_array_get_idx(list, i), keys[j]);
		putchar('\n');
	}
}

/// Prints an answer's body.
///
/// @param body   the body
/// @param print  prints it as JSON, or NULL to print it as it is
/// @return CMD_OK, or CMD_INTERNAL when it is not the JSON expected
static int
print_body(GBytes *body, void (*print)(json_object *))
{
	gsize len;
	const char *bytes = g_bytes_get_data(body, &len);
	char *text;
	json_object *value;

	if (print == NULL) {
		fwrite(bytes, 1, len, stdout);
		return CMD_OK;
	}
	text = g_strndup(bytes, len);
	value = json_tokener_parse(text);
	g_free(text);
	if (value == NULL) {
		fprintf(stderr, "the answer is not JSON\n");
		return CMD_INTERNAL;
	}
	print(value);
	json_object_put(value);
	return CMD_OK;
}

/// Runs one of the three commands.
///
/// @param argc     count of argv
/// @param argv     arguments
/// @param summary  for --help
/// @param path     what is asked for
/// @param print    prints the answer, or NULL to print it as it is
/// @return one of enum cmd_status
static int
ask(int argc, char **argv, const char *summary, const char *path,
    void (*print)(json_object *))
{
	gboolean raw = FALSE;
	const GOptionEntry entries[] = {
	    {"raw", 'r', 0, G_OPTION_ARG_NONE, &raw,
		"Print the answer as it came", NULL},
	    G_OPTION_ENTRY_NULL,
	};
	GError *error = NULL;
	uint16_t port;
	GBytes *body;
	char *ip;
	int status = cmd_options(&argc, &argv, "ADDRESS", summary, entries, 1);

	if (status != CMD_OK)
		return status;
	if (!json_parse_address(argv[1], &ip, &port)) {
		fprintf(
		    stderr, "%s: expected an IP number and port\n", argv[1]);
		return CMD_USAGE;
	}
	g_free(ip);
	body = fetch(argv[1], path, &error);
	if (body == NULL) {
		cmd_refuse(argv[1], error);
		return CMD_UNAVAILABLE;
	}
	status = print_body(body, raw ? NULL : print);
	g_bytes_unref(body);
	return status;
}

/// Runs `status`.
///
/// @param argc  count of argv
/// @param argv  arguments
/// @return one of enum cmd_status
int
cmd_status(int argc, char **argv)
{
	return ask(argc, argv, "Shows the state of an instance.", "/status",
	    print_status);
}

/// Runs `audit`.
///
/// @param argc  count of argv
/// @param argv  arguments
/// @return one of enum cmd_status
int
cmd_audit(int argc, char **argv)
{
	return ask(argc, argv, "Shows an instance's audit trail.", "/audit",
	    print_audit);
}

/// Runs `metrics`.
///
/// @param argc  count of argv
/// @param argv  arguments
/// @return one of enum cmd_status
int
cmd_metrics(int argc, char **argv)
{
	return ask(argc, argv, "Shows an instance's counters and gauges.",
	    "/metrics", NULL);
}
