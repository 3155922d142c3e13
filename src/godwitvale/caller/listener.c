/*
 * Runs an HTTP server on one address. Stopping a listener replaces only its
 * listening socket; the server and its connections stay open, so that requests
 * in progress can finish.
 */
#include "godwitvale/caller/listener.h"

#include <errno.h>
#include <poll.h>
#include <unistd.h>

/// Maximum number of connections that wait to be accepted.
#define LISTEN_BACKLOG 1024

/// An HTTP server and its listening socket.
struct listener {
	SoupServer *server;
	struct connections *connections;
	GSocket *socket;         /// the listening socket
	int placeholder_pipe[2]; /// replaces the socket; -1: closed
	guint stop_source;       /// runs on_stop_check(); 0: not running
	unsigned stop_checks;    /// checks that found a waiting connection
	bool stopped;            /// listener_stop() was called
};

/// Opens a listening TCP socket.
///
/// @param address  IP address and port to listen on
/// @param error    set on failure
/// @return the socket, or NULL on failure
static GSocket *
open_listening_socket(const struct settings_address *address, GError **error)
{
	GSocketAddress *bind_address =
	    g_inet_socket_address_new_from_string(address->ip, address->port);
	GSocket *socket =
	    g_socket_new(g_socket_address_get_family(bind_address),
		G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, error);

	if (socket != NULL)
		g_socket_set_listen_backlog(socket, LISTEN_BACKLOG);
	if (socket != NULL &&
	    (!g_socket_bind(socket, bind_address, TRUE, error) ||
		!g_socket_listen(socket, error)))
		g_clear_object(&socket);
	g_object_unref(bind_address);
	return socket;
}

/// Creates an HTTP server that listens on an address. The server accepts the
/// connections itself, because libsoup doesn't keep connections alive that the
/// program has accepted.
///
/// @param address  IP address and port to listen on
/// @param options  what the connections may use; copied
/// @param error    set when the server can't listen on the address
/// @return the listener, or NULL on failure
struct listener *
listener_new(const struct settings_address *address,
    const struct connections_options *options, GError **error)
{
	struct listener *listener = g_new0(struct listener, 1);

	listener->placeholder_pipe[0] = -1;
	listener->placeholder_pipe[1] = -1;
	listener->server = soup_server_new("server-header", "godwitvale", NULL);
	listener->connections = connections_new(listener->server, options);
	listener->socket = open_listening_socket(address, error);
	if (listener->socket == NULL ||
	    !soup_server_listen_socket(
		listener->server, listener->socket, 0, error)) {
		listener_free(listener);
		return NULL;
	}
	return listener;
}

/// Returns the HTTP server, to which handlers can be added.
///
/// @param listener  owner of the server
/// @return the server
SoupServer *
listener_get_server(struct listener *listener)
{
	return listener->server;
}

/// Replaces the listening socket once no connection waits to be accepted, as
/// closing the socket would reset waiting connections. After LISTEN_BACKLOG
/// checks the socket is replaced in any case. libsoup can stop listening only
/// by closing all connections as well, so the read end of a pipe that never
/// receives data replaces the socket under the same file descriptor.
///
/// @param data  the listener
/// @return G_SOURCE_REMOVE when done, else G_SOURCE_CONTINUE
static gboolean
on_stop_check(gpointer data)
{
	struct listener *listener = data;
	struct pollfd poll_entry = {
	    .fd = g_socket_get_fd(listener->socket),
	    .events = POLLIN,
	};

	if (poll(&poll_entry, 1, 0) > 0 &&
	    listener->stop_checks++ < LISTEN_BACKLOG)
		return G_SOURCE_CONTINUE;
	listener->stop_source = 0;
	if (pipe(listener->placeholder_pipe) != 0)
		return G_SOURCE_REMOVE;
	while (dup2(listener->placeholder_pipe[0], poll_entry.fd) < 0 &&
	    errno == EINTR)
		continue;
	return G_SOURCE_REMOVE;
}

/// Stops accepting new connections. Connections that already wait are still
/// accepted, and requests in progress continue.
///
/// @param listener  listener to stop
void
listener_stop(struct listener *listener)
{
	if (listener->stopped)
		return;
	listener->stopped = true;
	listener->stop_source =
	    g_idle_add_full(G_PRIORITY_DEFAULT, on_stop_check, listener, NULL);
}

/// Closes all connections of a listener and frees it.
///
/// @param listener  listener to free, or NULL
void
listener_free(struct listener *listener)
{
	if (listener == NULL)
		return;
	if (listener->stop_source != 0)
		g_source_remove(listener->stop_source);
	soup_server_disconnect(listener->server);
	g_object_unref(listener->server);
	connections_free(listener->connections);
	g_clear_object(&listener->socket);
	for (int i = 0; i < 2; i++) {
		if (listener->placeholder_pipe[i] >= 0)
			close(listener->placeholder_pipe[i]);
	}
	g_free(listener);
}
