/*
 * HTTP servers. Stopping takes the listening socket away, but leaves the
 * server and its connections, so that requests under way go on.
 */
#include "godwitvale/caller/listener.h"

#include <errno.h>
#include <unistd.h>

struct listener {
	SoupServer *server;
	GSocket *socket;   /// the listening socket
	int quiet_pipe[2]; /// stands in for the socket once stopped
	bool stopped;
};

/// Opens a listening socket.
///
/// @param address  IP number and port
/// @param error    set on failure
/// @return the socket, or NULL
static GSocket *
open_socket(const struct settings_address *address, GError **error)
{
	GSocketAddress *target =
	    g_inet_socket_address_new_from_string(address->ip, address->port);
	GSocket *socket = g_socket_new(g_socket_address_get_family(target),
	    G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, error);

	if (socket != NULL &&
	    (!g_socket_bind(socket, target, TRUE, error) ||
		!g_socket_listen(socket, error)))
		g_clear_object(&socket);
	g_object_unref(target);
	return socket;
}

/// Opens a server. It listens by itself: libsoup keeps no connection alive
/// that was accepted elsewhere.
///
/// @param address  IP number and port
/// @param error    set when it can't be listened on
/// @return the listener, or NULL
struct listener *
listener_new(const struct settings_address *address, GError **error)
{
	struct listener *listener = g_new0(struct listener, 1);

	listener->quiet_pipe[0] = -1;
	listener->quiet_pipe[1] = -1;
	listener->server = soup_server_new("server-header", "godwitvale", NULL);
	listener->socket = open_socket(address, error);
	if (listener->socket == NULL ||
	    !soup_server_listen_socket(
		listener->server, listener->socket, 0, error)) {
		listener_free(listener);
		return NULL;
	}
	return listener;
}

/// Gets the HTTP server, to add handlers to.
///
/// @param listener  the listener
/// @return the server
SoupServer *
listener_server(struct listener *listener)
{
	return listener->server;
}

/// Stops accepting connections; requests under way go on. libsoup can only
/// stop listening together with closing all connections, so a pipe on which
/// nothing ever arrives takes the place of the listening socket.
///
/// @param listener  the listener
void
listener_stop(struct listener *listener)
{
	if (listener->stopped || pipe(listener->quiet_pipe) != 0)
		return;
	listener->stopped = true;
	while (dup2(listener->quiet_pipe[0],
		   g_socket_get_fd(listener->socket)) < 0 &&
	    errno == EINTR)
		continue;
}

/// Releases a listener and closes its connections.
///
/// @param listener  the listener, or NULL
void
listener_free(struct listener *listener)
{
	if (listener == NULL)
		return;
	soup_server_disconnect(listener->server);
	g_object_unref(listener->server);
	g_clear_object(&listener->socket);
	for (int i = 0; i < 2; i++) {
		if (listener->quiet_pipe[i] >= 0)
			close(listener->quiet_pipe[i]);
	}
	g_free(listener);
}
