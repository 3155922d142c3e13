/*
 * Engine of the simulated platform that writes its answers byte by byte, for
 * answers that an HTTP server would not send: without a length, broken off
 * within an event, or without an end. It closes each connection after one
 * answer.
 */
#include "test/site/site.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <gio/gio.h>
#include <sys/socket.h>

/// Number of events in a complete stream.
#define EVENT_COUNT 5
/// Size of one write in the modes without an end, in bytes.
#define BURST_BYTES 16384

/// An engine that writes raw answers.
struct raw_worker {
	struct site_state *site;
	char *id;
	char mode[24];
};

/// One connection of a caller.
struct raw_conn {
	struct raw_worker *worker;
	GSocketConnection *connection;
	GString *request;
	GString *answer;
	gsize answer_sent;
	char buffer[4096];
	bool is_endless; /// `answer` is repeated from `repeat_from` on
	gsize repeat_from;
	bool resets; /// ends with a reset
	guint64 written;
};

static void read_more(struct raw_conn *conn);
static void write_more(struct raw_conn *conn);

/// Closes a connection and frees its state.
static void
raw_conn_free(struct raw_conn *conn)
{
	GSocket *socket = g_socket_connection_get_socket(conn->connection);
	struct linger reset = {1, 0};

	if (conn->resets)
		setsockopt(g_socket_get_fd(socket), SOL_SOCKET, SO_LINGER,
		    &reset, sizeof(reset));
	if (conn->is_endless) {
		printf("raw %s %s closed by the caller\n", conn->worker->id,
		    conn->worker->mode);
		fflush(stdout);
	}
	g_io_stream_close(G_IO_STREAM(conn->connection), NULL, NULL);
	g_object_unref(conn->connection);
	g_string_free(conn->request, true);
	g_string_free(conn->answer, true);
	g_free(conn);
}

/// Appends the head of an answer that ends with its connection.
///
/// @param fields  further fields, each with its line end
static void
append_head(struct raw_conn *conn, const char *fields)
{
	const char *id = strstr(conn->request->str, "Attempt-Id: ");
	int len = id == NULL ? 0 : (int)strcspn(id, "\r\n");

	g_string_append_printf(conn->answer,
	    "HTTP/1.1 200 OK\r\n%.*s%sResponse-Seal: %s\r\n"
	    "Connection: close\r\n%s\r\n",
	    len, id == NULL ? "" : id, len == 0 ? "" : "\r\n", conn->worker->id,
	    fields);
}

/// Appends the events of a stream.
static void
append_events(struct raw_conn *conn, int n_events)
{
	for (int i = 1; i <= n_events; i++)
		g_string_append_printf(
		    conn->answer, "id: %d\ndata: raw %d\n\n", i, i);
}

/// Repeats bytes to fill one write.
static void
append_burst(struct raw_conn *conn, const char *bytes)
{
	conn->is_endless = true;
	conn->repeat_from = conn->answer->len;
	while (conn->answer->len < conn->repeat_from + BURST_BYTES)
		g_string_append(conn->answer, bytes);
}

/// Builds the answer to a generation.
static void
build_answer(struct raw_conn *conn)
{
	static const char stream[] = "Content-Type: text/event-stream\r\n";
	const char *mode = conn->worker->mode;

	if (strcmp(mode, "endless-head") == 0) {
		g_string_append(conn->answer, "HTTP/1.1 200 OK\r\n");
		append_burst(conn, "X-Pad: 0123456789abcdef\r\n");
	} else if (strcmp(mode, "endless-field") == 0) {
		g_string_append(conn->answer, "HTTP/1.1 200 OK\r\nX: ");
		append_burst(conn, "0123456789abcdef");
	} else if (strcmp(mode, "endless-garbage") == 0) {
		append_burst(conn, "\x7f\x01no answer\n");
	} else if (strcmp(mode, "endless-interim") == 0) {
		append_burst(conn, "HTTP/1.1 100 Continue\r\n\r\n");
	} else if (strcmp(mode, "endless-other") == 0) {
		g_string_append(conn->answer,
		    "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\n"
		    "Content-Length: 4000000000\r\n\r\n");
		append_burst(conn, "0123456789abcdef");
	} else if (strcmp(mode, "endless-event") == 0) {
		append_head(conn, stream);
		append_burst(conn, "data: 0123456789abcdef\n");
	} else {
		append_head(conn, stream);
		append_events(
		    conn, strcmp(mode, "no-event") == 0 ? 0 : EVENT_COUNT);
		if (strcmp(mode, "half-event") == 0)
			g_string_append(conn->answer, "id: 6\ndata: ra");
		conn->resets = strcmp(mode, "reset") == 0;
	}
}

/// Builds the answer to a request: a report, or a generation.
static void
answer_request(struct raw_conn *conn)
{
	if (g_str_has_prefix(conn->request->str, "GET /v1/report")) {
		append_head(conn, "");
		g_string_append(conn->answer, "{\"state\":\"ready\"}");
	} else {
		build_answer(conn);
	}
	write_more(conn);
}

static void
on_written(GObject *object, GAsyncResult *result, gpointer data)
{
	struct raw_conn *conn = data;
	gssize n =
	    g_output_stream_write_finish(G_OUTPUT_STREAM(object), result, NULL);

	if (n < 0) {
		raw_conn_free(conn);
		return;
	}
	conn->written += (guint64)n;
	conn->answer_sent += (gsize)n;
	if (conn->is_endless && conn->answer_sent == conn->answer->len)
		conn->answer_sent = conn->repeat_from;
	if (conn->answer_sent == conn->answer->len)
		raw_conn_free(conn);
	else
		write_more(conn);
}

static void
write_more(struct raw_conn *conn)
{
	g_output_stream_write_async(
	    g_io_stream_get_output_stream(G_IO_STREAM(conn->connection)),
	    conn->answer->str + conn->answer_sent,
	    conn->answer->len - conn->answer_sent, G_PRIORITY_DEFAULT, NULL,
	    on_written, conn);
}

static void
on_read(GObject *object, GAsyncResult *result, gpointer data)
{
	struct raw_conn *conn = data;
	gssize n =
	    g_input_stream_read_finish(G_INPUT_STREAM(object), result, NULL);

	if (n <= 0) {
		raw_conn_free(conn);
		return;
	}
	g_string_append_len(conn->request, conn->buffer, n);
	if (strstr(conn->request->str, "\r\n\r\n") == NULL)
		read_more(conn);
	else
		answer_request(conn);
}

static void
read_more(struct raw_conn *conn)
{
	g_input_stream_read_async(
	    g_io_stream_get_input_stream(G_IO_STREAM(conn->connection)),
	    conn->buffer, sizeof(conn->buffer), G_PRIORITY_DEFAULT, NULL,
	    on_read, conn);
}

static gboolean
on_incoming(GSocketService *service, GSocketConnection *connection,
    GObject *source, gpointer data)
{
	struct raw_conn *conn = g_new0(struct raw_conn, 1);

	(void)service;
	(void)source;
	conn->worker = data;
	conn->connection = g_object_ref(connection);
	conn->request = g_string_new(NULL);
	conn->answer = g_string_new(NULL);
	read_more(conn);
	return TRUE;
}

/// Creates an engine that writes raw answers, and writes its entry.
///
/// @param site  the simulated platform
/// @param spec  ID,SERVICE,ZONE,PORT
/// @return the engine, or NULL when its port can't be listened on
struct raw_worker *
raw_worker_new(struct site_state *site, const char *spec)
{
	char **parts = g_strsplit(spec, ",", 4);
	struct raw_worker *worker = g_new0(struct raw_worker, 1);
	GSocketService *service = g_socket_service_new();
	char *key = g_strdup_printf("servers/%s", parts[0]);
	char *value = g_strdup_printf(
	    "{\"service\":\"%s\",\"address\":\"127.0.0.1:%s\",\"zone\":\"%s\","
	    "\"version\":\"v1\",\"slots\":24,\"state\":\"ready\","
	    "\"cold_left_ms\":0,\"sequence\":1,\"born\":1}",
	    parts[1], parts[3], parts[2]);

	worker->site = site;
	worker->id = g_strdup(parts[0]);
	g_signal_connect(service, "incoming", G_CALLBACK(on_incoming), worker);
	if (g_socket_listener_add_inet_port(G_SOCKET_LISTENER(service),
		(guint16)atoi(parts[3]), NULL, NULL)) {
		g_hash_table_insert(site->raw_workers, worker->id, worker);
		site_store_put(site->store, key, value);
	} else {
		g_clear_pointer(&worker, g_free);
	}
	g_strfreev(parts);
	g_free(key);
	g_free(value);
	return worker;
}

/// Changes how an engine answers.
///
/// @param worker  the engine
/// @param mode    a complete stream that ends with its connection ("well"), or
///     with its end missing ("half-event", "no-event", "reset"); bytes without
///     an end ("endless-head", "endless-field", "endless-garbage",
///     "endless-interim", "endless-other", "endless-event")
void
raw_worker_set_mode(struct raw_worker *worker, const char *mode)
{
	g_strlcpy(worker->mode, mode, sizeof(worker->mode));
}
