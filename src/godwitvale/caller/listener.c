/*
 * HTTP servers: accepts connections and hands them to libsoup. Stopping
 * closes the listening socket only, so that requests under way go on.
 */
#include "godwitvale/caller/listener.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

struct listener {
	GSocketService *service;
	SoupServer *server;
};

/// Hands an accepted connection to the HTTP server.
///
/// @param service     unused
/// @param connection  the connection
/// @param source      unused
/// @param data        the listener
/// @return TRUE: handled
static gboolean
on_incoming(GSocketService *service, GSocketConnection *connection,
    GObject *source, gpointer data)
{
	struct listener *listener = data;
	GSocketAddress *local =
	    g_socket_connection_get_local_address(connection, NULL);
	GSocketAddress *remote =
	    g_socket_connection_get_remote_address(connection, NULL);
	GSocket *socket = g_socket_connection_get_socket(connection);

	(void)service;
	(void)source;
	g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
	soup_server_accept_iostream(
	    listener->server, G_IO_STREAM(connection), local, remote, NULL);
	g_clear_object(&local);
	g_clear_object(&remote);
	return TRUE;
}

/// Opens a server.
///
/// @param address  IP number and port
/// @param error    set when it can't be listened on
/// @return the listener, or NULL
struct listener *
listener_new(const struct settings_address *address, GError **error)
{
	struct listener *listener = g_new0(struct listener, 1);
	GSocketAddress *socket_address =
	    g_inet_socket_address_new_from_string(address->ip, address->port);

	listener->service = g_socket_service_new();
	listener->server = soup_server_new("server-header", "godwitvale", NULL);
	if (!g_socket_listener_add_address(G_SOCKET_LISTENER(listener->service),
		socket_address, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP,
		NULL, NULL, error)) {
		g_object_unref(socket_address);
		listener_free(listener);
		return NULL;
	}
	g_object_unref(socket_address);
	g_signal_connect(
	    listener->service, "incoming", G_CALLBACK(on_incoming), listener);
	g_socket_service_start(listener->service);
	return listener;
}

/// Gives the HTTP server, to add handlers to.
///
/// @param listener  the listener
/// @return the server
SoupServer *
listener_server(struct listener *listener)
{
	return listener->server;
}

/// Stops accepting connections; requests under way go on.
///
/// @param listener  the listener
void
listener_stop(struct listener *listener)
{
	g_socket_service_stop(listener->service);
	g_socket_listener_close(G_SOCKET_LISTENER(listener->service));
}

/// Releases a listener and closes its connections.
///
/// @param listener  the listener, or NULL
void
listener_free(struct listener *listener)
{
	if (listener == NULL)
		return;
	listener_stop(listener);
	soup_server_disconnect(listener->server);
	g_object_unref(listener->server);
	g_object_unref(listener->service);
	g_free(listener);
}
