/*
 * Connections of clients to one HTTP server. The library creates an exchange
 * when it accepts a connection, and another one after each response; a
 * connection is known by its present exchange.
 */
#include "godwitvale/caller/connections.h"

#include "godwitvale/ops/log.h"
#include "godwitvale/ops/log_pace.h"
#include "godwitvale/ops/metrics.h"

/// Data key of an exchange's struct connection.
#define CONNECTION_KEY "godwitvale-connection"
/// Memory of a connection without a request, in the process.
#define CONNECTION_BYTES 8192

struct connections {
	struct connections_options options;
	GHashTable *present;  /// set of struct connection *
	unsigned n_open;      /// of these, all but those that are being closed
	struct log_pace pace; /// of those that were closed
};

/// A client's connection, or its exchange after the connection has ended.
struct connection {
	struct connections *connections; /// NULL: the connection has ended
	SoupServerMessage *message;      /// present exchange; owns this
	uint32_t client;                 /// handle in the account
	struct client_state state;
	struct client_hold hold;
	GByteArray *body; /// NULL: too large, or taken
	size_t n_taken;   /// bytes of the body that was taken
};

/// Tells the account the state of a connection.
static void
update_account(struct connection *connection)
{
	struct client_limits *limits = connection->connections->options.limits;
	size_t bytes = connection->body == NULL ? connection->n_taken
						: connection->body->len;

	if (connection->state.stage == CLIENT_IN_BODY)
		connection->state.bytes = bytes;
	client_hold_set(&connection->hold, CONNECTION_BYTES + bytes);
	client_limits_update(limits, connection->client, &connection->state);
}

/// Discards what was received of a body.
static void
discard_body(struct connection *connection)
{
	g_clear_pointer(&connection->body, g_byte_array_unref);
}

/// Logs that connections were closed, at most once a second.
static void
log_closed(struct connections *connections)
{
	struct client_limits *limits = connections->options.limits;
	uint64_t n_closed = log_pace_note(&connections->pace);

	if (n_closed == 0)
		return;
	log_event(LOG_LEVEL_WARN, "client-limit",
	    "server=%s times=%" G_GUINT64_FORMAT " connections=%u"
	    " held_bytes=%" G_GUINT64_FORMAT " max_bytes=%" G_GUINT64_FORMAT,
	    connections->options.name, n_closed,
	    g_hash_table_size(connections->present), client_limits_held(limits),
	    client_limits_bound(limits));
}

/// Closes a connection whose request isn't whole. The library learns of it in a
/// later turn of the loop, and then ends the exchange.
static void
close_connection(struct connection *connection, enum metric metric)
{
	GSocket *socket = soup_server_message_get_socket(connection->message);

	metrics_add(metric, 1);
	discard_body(connection);
	connection->state.stage = CLIENT_CLOSING;
	connection->connections->n_open--;
	update_account(connection);
	log_closed(connection->connections);
	if (socket != NULL)
		g_socket_shutdown(socket, TRUE, TRUE, NULL);
}

/// Closes connections until the bytes held for all clients are within the
/// bound, or only whole requests are left.
static void
enforce_memory(struct client_limits *limits)
{
	usec_t now = g_get_monotonic_time();
	struct connection *connection;

	while (
	    (connection = client_limits_pick_for_memory(limits, now)) != NULL)
		close_connection(connection, METRIC_CLIENTS_CLOSED_MEMORY);
}

/// Closes a connection if there are too many: the one that has waited longest
/// without a whole request or, if all others are in use or new, this one.
///
/// @param accepted  the newest connection
static void
enforce_connections(struct connection *accepted)
{
	struct connections *connections = accepted->connections;
	struct connection *connection;

	if (connections->n_open <= connections->options.max_connections)
		return;
	connection = client_limits_pick_for_connection(
	    connections->options.limits, connections, g_get_monotonic_time());
	close_connection(connection == NULL ? accepted : connection,
	    METRIC_CLIENTS_CLOSED_CONNECTIONS);
}

/// Notes that an exchange, and perhaps its connection, has ended.
static void
leave(struct connection *connection)
{
	struct connections *connections = connection->connections;

	if (connections == NULL)
		return;
	if (connection->state.stage != CLIENT_CLOSING)
		connections->n_open--;
	discard_body(connection);
	client_hold_clear(&connection->hold);
	client_limits_remove(connections->options.limits, connection->client);
	g_hash_table_remove(connections->present, connection);
	connection->connections = NULL;
}

/// Signal: an exchange has ended, or its connection.
static void
on_ended(SoupServerMessage *message, gpointer data)
{
	(void)message;
	leave(data);
}

/// Signal: the head of a request has been received.
static void
on_head(SoupServerMessage *message, gpointer data)
{
	struct connection *connection = data;
	const struct connections *connections = connection->connections;
	goffset announced = soup_message_headers_get_content_length(
	    soup_server_message_get_request_headers(message));

	if (connections == NULL || connection->state.stage != CLIENT_IDLE)
		return;
	connection->state.stage = CLIENT_IN_BODY;
	connection->state.started_at = g_get_monotonic_time();
	if ((uint64_t)announced > connections->options.max_body)
		discard_body(connection);
	update_account(connection);
}

/// Signal: a part of a body has been received. What is too large is read on and
/// discarded, so that the caller gets an answer.
static void
on_chunk(SoupServerMessage *message, GBytes *chunk, gpointer data)
{
	struct connection *connection = data;
	struct connections *connections = connection->connections;
	gsize len;
	const void *bytes = g_bytes_get_data(chunk, &len);

	(void)message;
	if (connections == NULL || connection->body == NULL)
		return;
	if (connection->body->len + len > connections->options.max_body)
		discard_body(connection);
	else
		g_byte_array_append(connection->body, bytes, (guint)len);
	update_account(connection);
	enforce_memory(connections->options.limits);
}

/// Signal: a whole request has been received, which is never dropped.
static void
on_body(SoupServerMessage *message, gpointer data)
{
	struct connection *connection = data;

	(void)message;
	if (connection->connections == NULL ||
	    connection->state.stage == CLIENT_CLOSING)
		return;
	connection->state.stage = CLIENT_IN_CALL;
	connection->state.bytes = 0;
	update_account(connection);
}

/// Frees a connection together with its exchange.
static void
free_connection(gpointer data)
{
	leave(data);
	discard_body(data);
	g_free(data);
}

/// Connects the signals of an exchange.
static void
connect_signals(struct connection *connection)
{
	SoupServerMessage *message = connection->message;

	g_signal_connect(
	    message, "got-headers", G_CALLBACK(on_head), connection);
	g_signal_connect(
	    message, "got-chunk", G_CALLBACK(on_chunk), connection);
	g_signal_connect(message, "got-body", G_CALLBACK(on_body), connection);
	g_signal_connect(message, "finished", G_CALLBACK(on_ended), connection);
	g_signal_connect(
	    message, "disconnected", G_CALLBACK(on_ended), connection);
}

/// Server signal: a connection was accepted, or waits for another request.
static void
on_started(SoupServer *server, SoupServerMessage *message, gpointer data)
{
	struct connections *connections = data;
	struct connection *connection = g_new0(struct connection, 1);
	usec_t now = g_get_monotonic_time();

	(void)server;
	connection->connections = connections;
	connection->message = message;
	connection->body = g_byte_array_new();
	connection->state = (struct client_state){
	    .stage = CLIENT_IDLE,
	    .waiting_since = now,
	    .accepted_at = now,
	};
	connection->client = client_limits_add(connections->options.limits,
	    connection, connections, &connection->state);
	connection->hold.limits = connections->options.limits;
	client_hold_set(&connection->hold, CONNECTION_BYTES);
	g_hash_table_add(connections->present, connection);
	connections->n_open++;
	soup_message_body_set_accumulate(
	    soup_server_message_get_request_body(message), FALSE);
	g_object_set_data_full(
	    G_OBJECT(message), CONNECTION_KEY, connection, free_connection);
	connect_signals(connection);
	enforce_connections(connection);
}

/// Begins to watch the connections of a server.
///
/// @param server   server without connections
/// @param options  copied
/// @return the connections; free with connections_free()
struct connections *
connections_new(SoupServer *server, const struct connections_options *options)
{
	struct connections *connections = g_new0(struct connections, 1);

	connections->options = *options;
	connections->present = g_hash_table_new(NULL, NULL);
	g_signal_connect(
	    server, "request-started", G_CALLBACK(on_started), connections);
	return connections;
}

/// Ends the account of a server's connections. Exchanges may outlive it.
///
/// @param connections  of a server that accepts no more; or NULL
void
connections_free(struct connections *connections)
{
	GHashTableIter iter;
	gpointer key;

	if (connections == NULL)
		return;
	for (;;) {
		g_hash_table_iter_init(&iter, connections->present);
		if (!g_hash_table_iter_next(&iter, &key, NULL))
			break;
		leave(key);
	}
	g_hash_table_unref(connections->present);
	g_free(connections);
}

/// Takes the body of a whole request.
///
/// @param message  exchange with the client
/// @return the body, to be freed by the caller; NULL: it was too large
GBytes *
connections_take_body(SoupServerMessage *message)
{
	struct connection *connection =
	    g_object_get_data(G_OBJECT(message), CONNECTION_KEY);

	if (connection->body == NULL)
		return NULL;
	connection->n_taken = connection->body->len;
	return g_byte_array_free_to_bytes(g_steal_pointer(&connection->body));
}
