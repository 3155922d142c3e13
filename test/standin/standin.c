/* HTTP server, fault switch and control calls that all stand-ins share. */
#include "standin.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <glib-unix.h>

#define GONE_KEY "standin-gone"
#define SILENCE_KEY "standin-silences"

/// A request held back by the slow fault.
struct held_request {
	struct standin *standin;
	SoupServerMessage *message;
};

int64_t
standin_now_ms(void)
{
	return g_get_monotonic_time() / 1000;
}

/// @return whether the message's connection was there when silence came
bool
standin_silenced(struct standin *standin, SoupServerMessage *message)
{
	GSocket *socket = soup_server_message_get_socket(message);

	if (socket == NULL)
		return false;
	return GPOINTER_TO_UINT(g_object_get_data(
		   G_OBJECT(socket), SILENCE_KEY)) < standin->silences;
}

static void
mark_gone(SoupServerMessage *message, gpointer data)
{
	(void)data;
	g_object_set_data(G_OBJECT(message), GONE_KEY, GUINT_TO_POINTER(1));
}

/// @return whether the message is answered, or its connection is closed
bool
standin_gone(SoupServerMessage *message)
{
	return g_object_get_data(G_OBJECT(message), GONE_KEY) != NULL;
}

/// Closes the message's connection at once.
void
standin_close(SoupServerMessage *message)
{
	GSocket *socket = soup_server_message_get_socket(message);

	if (standin_gone(message))
		return;
	if (socket != NULL)
		g_socket_shutdown(socket, TRUE, TRUE, NULL);
	/* Without a chunk to write, the failure would not be noticed. */
	soup_message_body_complete(
	    soup_server_message_get_response_body(message));
	soup_server_message_unpause(message);
}

void
standin_close_all(struct standin *standin)
{
	GList *sockets = g_hash_table_get_keys(standin->sockets);

	for (GList *item = sockets; item != NULL; item = item->next)
		g_socket_shutdown(item->data, TRUE, TRUE, NULL);
	g_list_free(sockets);
}

void
standin_answer(SoupServerMessage *message, guint status, const char *type,
    const char *body, gsize len)
{
	if (standin_gone(message))
		return;
	soup_server_message_set_status(message, status, NULL);
	soup_server_message_set_response(
	    message, type, SOUP_MEMORY_COPY, body, len);
	soup_server_message_unpause(message);
}

/// Answers with a JSON object, which it takes over.
void
standin_answer_json(
    SoupServerMessage *message, guint status, json_object *object)
{
	const char *text = json_object_to_json_string_ext(
	    object, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE);
	char *line = g_strconcat(text, "\n", NULL);

	standin_answer(message, status, "application/json", line, strlen(line));
	g_free(line);
	json_object_put(object);
}

/// Refuses a call that did not run.
void
standin_refuse(SoupServerMessage *message, guint status, const char *reason)
{
	SoupMessageHeaders *headers =
	    soup_server_message_get_response_headers(message);
	json_object *object = json_object_new_object();

	json_object_object_add(object, "error", json_object_new_string(reason));
	soup_message_headers_replace(headers, "X-Verdict", "not-run");
	if (status == STANDIN_TOO_MANY_REQUESTS)
		soup_message_headers_replace(headers, "Retry-After", "1");
	standin_answer_json(message, status, object);
}

static void
close_after_chunk(SoupServerMessage *message, gpointer data)
{
	(void)data;
	standin_close(message);
}

/// Answers with half of a body of a given length, then closes.
void
standin_answer_half(SoupServerMessage *message, const char *body, gsize len)
{
	SoupMessageHeaders *headers =
	    soup_server_message_get_response_headers(message);
	SoupMessageBody *out = soup_server_message_get_response_body(message);

	if (standin_gone(message))
		return;
	soup_server_message_set_status(message, SOUP_STATUS_OK, NULL);
	soup_message_headers_set_content_length(headers, (goffset)len);
	soup_message_body_set_accumulate(out, FALSE);
	soup_message_body_append(out, SOUP_MEMORY_COPY, body, len / 2);
	g_signal_connect(
	    message, "wrote-chunk", G_CALLBACK(close_after_chunk), NULL);
	soup_server_message_unpause(message);
}

bool
standin_rate_take(struct standin_rate *rate)
{
	int64_t second = standin_now_ms() / 1000;

	if (second != rate->second) {
		rate->second = second;
		rate->used = 0;
	}
	if (rate->per_second > 0 && rate->used >= rate->per_second)
		return false;
	rate->used++;
	return true;
}

/// @return the request's body as JSON, to be put by the caller, or NULL
json_object *
standin_body(SoupServerMessage *message)
{
	SoupMessageBody *body = soup_server_message_get_request_body(message);
	json_tokener *tokener = json_tokener_new();
	json_object *object =
	    json_tokener_parse_ex(tokener, body->data, (int)body->length);

	json_tokener_free(tokener);
	return object;
}

const char *
standin_string(json_object *object, const char *key, const char *otherwise)
{
	json_object *value = NULL;

	if (json_object_object_get_ex(object, key, &value) &&
	    json_object_is_type(value, json_type_string))
		return json_object_get_string(value);
	return otherwise;
}

int64_t
standin_number(json_object *object, const char *key, int64_t otherwise)
{
	json_object *value = NULL;

	if (json_object_object_get_ex(object, key, &value))
		return json_object_get_int64(value);
	return otherwise;
}

int64_t
standin_query_number(
    SoupServerMessage *message, const char *key, int64_t otherwise)
{
	const char *query =
	    g_uri_get_query(soup_server_message_get_uri(message));
	GHashTable *form = query != NULL ? soup_form_decode(query) : NULL;
	const char *text = form != NULL ? g_hash_table_lookup(form, key) : NULL;
	int64_t number =
	    text != NULL ? g_ascii_strtoll(text, NULL, 10) : otherwise;

	if (form != NULL)
		g_hash_table_unref(form);
	return number;
}

static bool
set_fault(struct standin *standin, json_object *body, const char *name)
{
	static const char *const names[] = {
	    "none", "down", "silent", "stale", "slow"};

	for (guint i = 0; i < G_N_ELEMENTS(names); i++) {
		if (strcmp(names[i], name) != 0)
			continue;
		standin->fault = i;
		standin->slow_ms = (guint)standin_number(body, "slow_ms", 0);
		return true;
	}
	return false;
}

/// Puts a switched fault into force, once the control call is answered.
static void
fault_answered(SoupServerMessage *message, gpointer data)
{
	struct standin *standin = data;

	(void)message;
	if (standin->fault == STANDIN_FAULT_DOWN)
		standin_close_all(standin);
	if (standin->fault == STANDIN_FAULT_SILENT)
		standin->silences++;
}

static void
restart_answered(SoupServerMessage *message, gpointer data)
{
	struct standin *standin = data;

	(void)message;
	standin->kind->restart(standin);
	standin_close_all(standin);
}

static bool
run_control(struct standin *standin, SoupServerMessage *message,
    const char *path, json_object *body)
{
	const char *fault = standin_string(body, "fault", NULL);

	if (fault != NULL) {
		g_signal_connect(
		    message, "finished", G_CALLBACK(fault_answered), standin);
		return set_fault(standin, body, fault);
	}
	if (standin_number(body, "restart", 0) != 0) {
		if (standin->kind->restart == NULL)
			return false;
		g_signal_connect(
		    message, "finished", G_CALLBACK(restart_answered), standin);
		return true;
	}
	return standin->kind->control(standin, message, path, body);
}

static void
handle_control(
    struct standin *standin, SoupServerMessage *message, const char *path)
{
	json_object *body = standin_body(message);

	if (run_control(standin, message, path, body))
		standin_answer_json(
		    message, SOUP_STATUS_OK, json_object_new_object());
	else
		standin_refuse(
		    message, SOUP_STATUS_BAD_REQUEST, "no such control call");
	json_object_put(body);
}

static void
handle_stats(struct standin *standin, SoupServerMessage *message)
{
	json_object *stats = json_object_new_object();

	json_object_object_add(
	    stats, "calls", json_object_new_uint64(standin->calls));
	standin->kind->stats(standin, stats);
	standin_answer_json(message, SOUP_STATUS_OK, stats);
}

static gboolean
release_held(gpointer data)
{
	struct held_request *held = data;

	if (!standin_gone(held->message))
		held->standin->kind->request(held->standin, held->message);
	g_object_unref(held->message);
	g_free(held);
	return G_SOURCE_REMOVE;
}

static void
hold_request(struct standin *standin, SoupServerMessage *message)
{
	struct held_request *held = g_new0(struct held_request, 1);

	held->standin = standin;
	held->message = g_object_ref(message);
	g_timeout_add(standin->slow_ms, release_held, held);
}

static void
handle_request(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer data)
{
	struct standin *standin = data;

	(void)server;
	(void)query;
	g_signal_connect(message, "finished", G_CALLBACK(mark_gone), NULL);
	g_signal_connect(message, "disconnected", G_CALLBACK(mark_gone), NULL);
	soup_server_message_pause(message);
	if (strcmp(path, "/stats") == 0) {
		handle_stats(standin, message);
		return;
	}
	if (strcmp(path, "/control") == 0 ||
	    g_str_has_prefix(path, "/control/")) {
		handle_control(standin, message, path);
		return;
	}
	if (standin_silenced(standin, message))
		return;
	if (standin->fault == STANDIN_FAULT_DOWN) {
		standin_close(message);
		return;
	}
	standin->calls++;
	if (standin->fault == STANDIN_FAULT_SLOW && standin->slow_ms > 0)
		hold_request(standin, message);
	else
		standin->kind->request(standin, message);
}

static void
socket_gone(gpointer data, GObject *socket)
{
	struct standin *standin = data;

	g_hash_table_remove(standin->sockets, socket);
}

/// Enters a connection, at its first request-to-come, into the table.
static void
request_started(SoupServer *server, SoupServerMessage *message, gpointer data)
{
	struct standin *standin = data;
	GSocket *socket = soup_server_message_get_socket(message);

	(void)server;
	if (socket == NULL || !g_hash_table_add(standin->sockets, socket))
		return;
	g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
	g_object_set_data(
	    G_OBJECT(socket), SILENCE_KEY, GUINT_TO_POINTER(standin->silences));
	g_object_weak_ref(G_OBJECT(socket), socket_gone, standin);
}

static gboolean
stop_loop(gpointer loop)
{
	g_main_loop_quit(loop);
	return G_SOURCE_CONTINUE;
}

/// Listens on "IP:PORT". Returns false, with an error, when it can't.
static bool
listen_on(SoupServer *server, const char *text, GError **error)
{
	GSocketConnectable *where = g_network_address_parse(text, 0, error);
	GSocketAddress *address = NULL;
	bool good = false;

	if (where == NULL)
		return false;
	address = g_inet_socket_address_new_from_string(
	    g_network_address_get_hostname(G_NETWORK_ADDRESS(where)),
	    g_network_address_get_port(G_NETWORK_ADDRESS(where)));
	if (address != NULL)
		good = soup_server_listen(server, address, 0, error);
	else
		g_set_error(error, G_IO_ERROR, G_IO_ERROR_INVALID_ARGUMENT,
		    "not an IP number");
	g_clear_object(&address);
	g_object_unref(where);
	return good;
}

/// Serves until SIGTERM or SIGINT.
///
/// @return the process's exit status
int
standin_run(struct standin *standin, const char *listen)
{
	GMainLoop *loop = g_main_loop_new(NULL, FALSE);
	GError *error = NULL;

	signal(SIGPIPE, SIG_IGN);
	standin->sockets = g_hash_table_new(NULL, NULL);
	standin->server = soup_server_new(NULL, NULL);
	g_signal_connect(standin->server, "request-started",
	    G_CALLBACK(request_started), standin);
	soup_server_add_handler(
	    standin->server, NULL, handle_request, standin, NULL);
	if (!listen_on(standin->server, listen, &error)) {
		fprintf(stderr, "standin: can't listen on %s: %s\n", listen,
		    error->message);
		g_clear_error(&error);
		g_main_loop_unref(loop);
		return EXIT_FAILURE;
	}
	g_unix_signal_add(SIGTERM, stop_loop, loop);
	g_unix_signal_add(SIGINT, stop_loop, loop);
	printf("ready %s\n", listen);
	fflush(stdout);
	g_main_loop_run(loop);
	g_main_loop_unref(loop);
	return EXIT_SUCCESS;
}

/// Parses a kind's options; says on standard error what is wrong.
bool
standin_parse(
    int argc, char **argv, const GOptionEntry *entries, const char *summary)
{
	GOptionContext *context = g_option_context_new(NULL);
	GError *error = NULL;
	bool good = true;

	g_option_context_set_summary(context, summary);
	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		fprintf(stderr, "standin: %s\n", error->message);
		g_clear_error(&error);
		good = false;
	}
	g_option_context_free(context);
	return good;
}
