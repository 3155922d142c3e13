/*
 * Watches an upstream by an idle connection. An upstream that restarts closes
 * it, and so is known to be cold before the next load report is due. Silence
 * on it means nothing: it may have been lost track of.
 */
#include "godwitvale/upstream/watch.h"

#include "godwitvale/serve/actions.h"

/// Pause before a connection that ended is opened again, at first and at
/// most; one that lasts sets it back.
#define REOPEN_MIN (50 * USEC_PER_MSEC)
#define REOPEN_MAX (5 * USEC_PER_SEC)
/// A connection that held this long was a good one.
#define REOPEN_RESET (10 * USEC_PER_SEC)

struct watch {
	struct instance *instance;
	router_upstream upstream;
	struct settings_address address; /// its ip is the upstream's own
	GSocketClient *client;
	GSocketConnection *connection;
	GCancellable *cancellable;
	bool busy;   /// an operation is open; it holds the watch
	bool closed; /// the upstream has left the table
	usec_t reopen_at;
	usec_t reopen_span;
	usec_t opened_at;
	char byte; /// read into; nothing is expected
};

/// Releases a watch that no operation holds.
///
/// @param watch  the watch
static void
release(struct watch *watch)
{
	g_clear_object(&watch->connection);
	g_object_unref(watch->client);
	g_object_unref(watch->cancellable);
	g_free(watch->address.ip);
	g_free(watch);
}

/// Takes the end of a connection, or of the attempt to open one.
///
/// @param watch  the watch
/// @param held   whether it had been open
static void
take_end(struct watch *watch, bool held)
{
	usec_t now = g_get_monotonic_time();
	struct upstream *upstream;

	watch->busy = false;
	g_clear_object(&watch->connection);
	if (watch->closed) {
		release(watch);
		return;
	}
	if (held && now >= watch->opened_at + REOPEN_RESET)
		watch->reopen_span = REOPEN_MIN;
	watch->reopen_at = now + watch->reopen_span;
	watch->reopen_span = MIN(watch->reopen_span * 2, REOPEN_MAX);
	if (!held)
		return;
	upstream = upstream_find(watch->instance->upstreams, watch->upstream);
	if (upstream == NULL)
		return;
	upstream->lost_at = now;
	upstream->report_due = now;
	router_mark_unresponsive(watch->instance->router, now, watch->upstream);
	actions_execute_pending(watch->instance);
}

/// Takes the end of a read: the connection ended, or something came.
///
/// @param source  the stream
/// @param result  how it went
/// @param data    the watch
static void
on_read(GObject *source, GAsyncResult *result, gpointer data)
{
	g_input_stream_read_finish(G_INPUT_STREAM(source), result, NULL);
	take_end(data, true);
}

/// Takes the end of an attempt to connect.
///
/// @param source  the client
/// @param result  how it went
/// @param data    the watch
static void
on_connected(GObject *source, GAsyncResult *result, gpointer data)
{
	struct watch *watch = data;

	watch->connection = g_socket_client_connect_finish(
	    G_SOCKET_CLIENT(source), result, NULL);
	if (watch->connection == NULL || watch->closed) {
		take_end(watch, false);
		return;
	}
	watch->opened_at = g_get_monotonic_time();
	g_input_stream_read_async(
	    g_io_stream_get_input_stream(G_IO_STREAM(watch->connection)),
	    &watch->byte, sizeof(watch->byte), G_PRIORITY_HIGH,
	    watch->cancellable, on_read, watch);
}

/// Starts to watch an upstream.
///
/// @param instance  the instance
/// @param upstream  the upstream
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
	watch->reopen_span = REOPEN_MIN;
	return watch;
}

/// Ends a watch.
///
/// @param watch  the watch, or NULL
void
watch_free(struct watch *watch)
{
	if (watch == NULL)
		return;
	watch->closed = true;
	g_cancellable_cancel(watch->cancellable);
	if (!watch->busy)
		release(watch);
}

/// Opens the connection when that is due.
///
/// @param watch  the watch
/// @param now    current time
void
watch_tick(struct watch *watch, usec_t now)
{
	GSocketAddress *address;

	if (watch->busy || now < watch->reopen_at)
		return;
	address = g_inet_socket_address_new_from_string(
	    watch->address.ip, watch->address.port);
	if (address == NULL)
		return;
	watch->busy = true;
	g_socket_client_connect_async(watch->client,
	    G_SOCKET_CONNECTABLE(address), watch->cancellable, on_connected,
	    watch);
	g_object_unref(address);
}
