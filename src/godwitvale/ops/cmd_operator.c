/*
 * The commands "godwitvale status", "audit" and "metrics": print what an
 * instance serves at its operator address.
 */
#include "godwitvale/ops/cmd.h"

#include <stdio.h>
#include <string.h>

#include <libsoup/soup.h>

#include "godwitvale/ops/json.h"

/// Time limit for a response, in seconds.
#define OPERATOR_TIMEOUT_S 10

/// Sends a GET request to an instance's operator address.
///
/// @param address  "IP:PORT"
/// @param path     path of the request
/// @param error    set when there is no response or its status isn't 200
/// @return the body of the response, or NULL on error
static GBytes *
fetch_body(const char *address, const char *path, GError **error)
{
	/* The request goes to this address only: no proxy, no redirects. */
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
		    "responded with status %u to %s",
		    soup_message_get_status(message), path);
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
/// @param path   path of the value; unchanged on return
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

/// Prints a field of an audit entry, or "-", followed by a blank.
///
/// @param entry  JSON object of the entry
/// @param key    name of the field
static void
print_field(json_object *entry, const char *key)
{
	json_object *value = NULL;
	const char *text = NULL;

	if (json_object_object_get_ex(entry, key, &value))
		text = json_object_get_string(value);
	printf("%s ", text ? text : "-");
}

/// Prints the status of an instance.
///
/// @param status  JSON object
static void
print_status(json_object *status)
{
	GString *path = g_string_new(NULL);

	print_value(status, path);
	g_string_free(path, TRUE);
}

/// Prints the audit trail, one line per entry.
///
/// @param list  JSON array of entries
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

/// Prints the body of a response.
///
/// @param body   the body
/// @param print  prints the parsed JSON, or NULL to print the body unchanged
/// @return CMD_OK, or CMD_INTERNAL when the body is not JSON
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
		fprintf(stderr, "the response is not JSON\n");
		return CMD_INTERNAL;
	}
	print(value);
	json_object_put(value);
	return CMD_OK;
}

/// Runs a command that prints the response of an instance.
///
/// @param argc     number of entries in argv
/// @param argv     the command's name, then its options and parameters
/// @param summary  sentence that describes the command in the help text
/// @param path     path of the request
/// @param print    prints the parsed JSON, or NULL to print the body unchanged
/// @return the exit status, one of enum cmd_status
static int
run_query(int argc, char **argv, const char *summary, const char *path,
    void (*print)(json_object *))
{
	gboolean raw = FALSE;
	const GOptionEntry entries[] = {
	    {"raw", 'r', 0, G_OPTION_ARG_NONE, &raw,
		"Print the response unchanged", NULL},
	    G_OPTION_ENTRY_NULL,
	};
	GError *error = NULL;
	uint16_t port;
	GBytes *body;
	char *ip;
	int status =
	    cmd_parse_options(&argc, &argv, "ADDRESS", summary, entries, 1);

	if (status != CMD_OK)
		return status;
	if (!json_parse_address(argv[1], &ip, &port)) {
		fprintf(
		    stderr, "%s: expected an IP address and a port\n", argv[1]);
		return CMD_USAGE;
	}
	g_free(ip);
	body = fetch_body(argv[1], path, &error);
	if (body == NULL) {
		cmd_report_error(argv[1], error);
		return CMD_UNAVAILABLE;
	}
	status = print_body(body, raw ? NULL : print);
	g_bytes_unref(body);
	return status;
}

/// Runs `status`.
///
/// @param argc  number of entries in argv
/// @param argv  the command's name, then its options and parameters
/// @return the exit status, one of enum cmd_status
int
cmd_status(int argc, char **argv)
{
	return run_query(argc, argv, "Shows the state of an instance.",
	    "/status", print_status);
}

/// Runs `audit`.
///
/// @param argc  number of entries in argv
/// @param argv  the command's name, then its options and parameters
/// @return the exit status, one of enum cmd_status
int
cmd_audit(int argc, char **argv)
{
	return run_query(argc, argv, "Shows an instance's audit trail.",
	    "/audit", print_audit);
}

/// Runs `metrics`.
///
/// @param argc  number of entries in argv
/// @param argv  the command's name, then its options and parameters
/// @return the exit status, one of enum cmd_status
int
cmd_metrics(int argc, char **argv)
{
	return run_query(argc, argv, "Shows an instance's counters and gauges.",
	    "/metrics", NULL);
}
