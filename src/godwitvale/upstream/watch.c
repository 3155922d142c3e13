/*
 * Detects restarts of an upstream by an idle connection to it. An upstream that
 * restarts closes the connection, which shows before the next load report that
 * the upstream is cold. A connection that stays open doesn't prove that the
 * upstream is alive, as a peer or a middlebox can drop the connection without
 * closing it.
 */
#include "godwitvale/upstream/watch.h"

#include "godwitvale/serve/actions.h"

/// First and longest delay before a reconnect. The delay doubles with each
/// disconnect or failed attempt.
#define RECONNECT_DELAY_MIN (50 * USEC_PER_MSEC)
#define RECONNECT_DELAY_MAX (5 * USEC_PER_SEC)
/// A connection that was open at least this long resets the delay.
#define RECONNECT_RESET_AFTER (10 * USEC_PER_SEC)

/// Idle connection to one upstream.
struct watch {
	struct instance *instance;
	router_upstream upstream;
	struct settings_address address; /// own copy of the upstream's address
	GSocketClient *client;
	GSocketConnection *connection;
	GCancellable *cancellable;
	bool operation_pending; /// an asynchronous operation uses the watch
	bool stopped;           /// watch_free() was called
	usec_t reconnect_at;
	usec_t reconnect_delay;
	usec_t connected_at;
	char read_buffer; /// target of the read; no data is expected
};

/// Frees a watch.
///
/// @param watch  a watch without a pending operation
static void
watch_destroy(struct watch *watch)
{
	g_clear_object(&watch->connection);
	g_object_unref(watch->client);
	g_object_unref(watch->cancellable);
	g_free(watch->address.ip);
	g_free(watch);
}

/// Handles the end of the connection, or a failed attempt to connect.
/// Schedules the reconnect. If the connection was open, marks the upstream as
/// unresponsive and makes its load report due.
///
/// @param watch          the watch; freed if watch_free() was called on it
/// @param was_connected  whether the connection had been open
static void
handle_disconnect(struct watch *watch, bool was_connected)
{
	usec_t now = g_get_monotonic_time();
	struct upstream *upstream;

	watch->operation_pending = false;
	g_clear_object(&watch->connection);
	if (watch->stopped) {
		watch_destroy(watch);
		return;
	}
	if (was_connected && now >= watch->connected_at + RECONNECT_RESET_AFTER)
		watch->reconnect_delay = RECONNECT_DELAY_MIN;
	watch->reconnect_at = now + watch->reconnect_delay;
	watch->reconnect_delay =
	    MIN(watch->reconnect_delay * 2, RECONNECT_DELAY_MAX);
	if (!was_connected)
		return;
	upstream = upstream_find(watch->instance->upstreams, watch->upstream);
	if (upstream == NULL)
		return;
	upstream->disconnected_at = now;
	upstream->report_due = now;
	router_mark_unresponsive(watch->instance->router, now, watch->upstream);
	actions_execute_pending(watch->instance);
}

/// Handles the end of the read on the connection. Unexpected data from the
/// upstream is handled like the end of the connection.
///
/// @param source  input stream of the connection
/// @param result  result of the read; ignored
/// @param data    the watch
static void
on_read(GObject *source, GAsyncResult *result, gpointer data)
{
	g_input_stream_read_finish(G_INPUT_STREAM(source), result, NULL);
	handle_disconnect(data, true);
}

/// Handles the result of an attempt to connect. If connected, starts the read
/// that ends when the upstream closes the connection.
///
/// @param source  the socket client
/// @param result  the connection, or an error
/// @param data    the watch
static void
on_connected(GObject *source, GAsyncResult *result, gpointer data)
{
	struct watch *watch = data;

	watch->connection = g_socket_client_connect_finish(
	    G_SOCKET_CLIENT(source), result, NULL);
	if (watch->connection == NULL || watch->stopped) {
		handle_disconnect(watch, false);
		return;
	}
	watch->connected_at = g_get_monotonic_time();
	g_input_stream_read_async(
	    g_io_stream_get_input_stream(G_IO_STREAM(watch->connection)),
	    &watch->read_buffer, sizeof(watch->read_buffer), G_PRIORITY_HIGH,
	    watch->cancellable, on_read, watch);
}

/// Creates a watch of an upstream. watch_reconnect() opens the connection.
///
/// @param instance  the local instance
/// @param upstream  the upstream, which already has its handle
/// @return the watch
struct watch *
watch_new(struct instance *instance, struct upstream *upstream)
{
	struct watch *watch = g_new0(struct watch, 1);

	watch->instance = instance;
	watch->upstream = upstream->handle;
	watch->address.ip = g_strdup(upstream->address.ip);
	watch->address.port = upstream->address.port;
	watch->client = g_socket_client_new();
	watch->cancellable = g_cancellable_new();
	watch->reconnect_delay = RECONNECT_DELAY_MIN;
	return watch;
}

/// Stops a watch and frees it, at once or when its pending operation ends.
///
/// @param watch  the watch, or NULL
void
watch_free(struct watch *watch)
{
	if (watch == NULL)
		return;
	watch->stopped = true;
	g_cancellable_cancel(watch->cancellable);
	if (!watch->operation_pending)
		watch_destroy(watch);
}

/// Starts to open the connection if there is none and the delay has passed.
///
/// @param watch  the watch
/// @param now    current monotonic time, in microseconds
void
watch_reconnect(struct watch *watch, usec_t now)
{
	GSocketAddress *address;

	if (watch->operation_pending || now < watch->reconnect_at)
		return;
	address = g_inet_socket_address_new_from_string(
	    watch->address.ip, watch->address.port);
	if (address == NULL)
		return;
	watch->operation_pending = true;
	g_socket_client_connect_async(watch->client,
	    G_SOCKET_CONNECTABLE(address), watch->cancellable, on_connected,
	    watch);
	g_object_unref(address);
}
