/*
 * The HTTP server: connections of callers. server_input.c reads their requests,
 * server_call.c writes the responses, server_timeouts.c ends connections.
 */
#include "godwitvale/http/server.h"

#include <errno.h>
#include <string.h>
#include <unistd.h>

#include <gio/gio.h>
#include <glib-unix.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "godwitvale/http/server_state.h"

/// Connections that the kernel queues until they are accepted.
#define SERVER_BACKLOG 512
/// Number of interim responses that probe whether a half-closed caller is still
/// there, and the pause after the first one, which doubles, in microseconds.
/// Some clients accept no more than five interim responses.
#define SERVER_PROBES_MAX 4
#define SERVER_PROBE_PAUSE (500 * USEC_PER_MSEC)
/// Connections that are accepted before the loop's other sources have their
/// turn.
#define SERVER_ACCEPTS_PER_WAKEUP 64
/// Pause between the end of some connections and the acceptance of those that
/// take their places, and after it, in milliseconds. A caller that connects
/// again at once finds the kernel's queue full, so that the places in it are
/// not for the callers whose connections were just closed.
#define SERVER_REPLACE_PAUSE_MS 10
/// Interval between checks for timeouts, in milliseconds.
#define SERVER_TIMEOUT_CHECK_MS 250

/// @param cause  why a response was lost
/// @return the cause as one word, for log lines
const char *
http_loss_cause_name(enum http_loss_cause cause)
{
	static const char *const names[] = {
	    [HTTP_LOSS_CALLER_CLOSED] = "caller-closed",
	    [HTTP_LOSS_CALLER_RESET] = "caller-reset",
	    [HTTP_LOSS_TIMEOUT] = "timeout",
	    [HTTP_LOSS_SERVER_FREED] = "server-freed",
	    [HTTP_LOSS_ABORTED] = "aborted",
	};

	return names[cause];
}

/// @param limit  which limit has taken effect
/// @return the limit as one word, for log lines and labels
const char *
http_limit_name(enum http_limit limit)
{
	static const char *const names[] = {
	    [HTTP_LIMIT_BODY_MEMORY] = "body-memory",
	    [HTTP_LIMIT_HEAD_MEMORY] = "head-memory",
	    [HTTP_LIMIT_PIPELINE_MEMORY] = "pipeline-memory",
	    [HTTP_LIMIT_UNREAD_MEMORY] = "unread-memory",
	    [HTTP_LIMIT_NO_MEMORY] = "no-memory",
	    [HTTP_LIMIT_BODY_TIME] = "body-time",
	    [HTTP_LIMIT_CONNECTIONS] = "connections",
	    [HTTP_LIMIT_CONNECTIONS_IN_USE] = "connections-in-use",
	    [HTTP_LIMIT_ACCEPT] = "accept",
	    [HTTP_LIMIT_SOCKET_BUFFERS] = "socket-buffers",
	};

	return names[limit];
}

/// Reports the end of a connection if its caller doesn't have all of a
/// response.
///
/// @param caller  caller whose connection ends
/// @param cause   why it ends
void
server_report_loss(const struct caller *caller, enum http_loss_cause cause)
{
	const struct http_server_options *options = &caller->server->options;
	const struct http_loss loss = {
	    .cause = cause,
	    .connection = caller->number,
	    .has_call = caller->call != NULL,
	    .unsent =
		caller->conn == NULL ? 0 : conn_unsent_bytes(caller->conn),
	};

	if (options->vtable->lost != NULL && (loss.has_call || loss.unsent > 0))
		options->vtable->lost(options->owner, &loss);
}

/// Frees a caller.
///
/// @param caller  its call, if any, must no longer point to it
void
server_caller_free(struct caller *caller)
{
	struct http_server *server = caller->server;

	g_hash_table_remove(server->callers, caller);
	if (caller->resume_source != 0)
		g_source_remove(caller->resume_source);
	if (caller->conn != NULL)
		conn_close(caller->conn);
	http_reader_clear(&caller->reader);
	buffer_clear(&caller->body);
	buffer_clear(&caller->pipelined);
	server_remove_client(caller);
	g_free(caller);
	server_start_listening(server);
}

/// Handles the end of a caller's connection: frees the caller and calls the
/// disconnect handler of its call.
static void
caller_disconnect(struct caller *caller)
{
	struct http_call *call = caller->call;
	http_disconnect_handler handler = NULL;
	void *owner = NULL;

	if (call != NULL) {
		handler = call->disconnect_handler;
		owner = call->disconnect_owner;
		call->caller = NULL;
		call->disconnect_handler = NULL;
	}
	if (caller->processing_input) {
		/* process_input() frees the caller before it returns. */
		conn_close(caller->conn);
		caller->conn = NULL;
		caller->call = NULL;
	} else {
		server_caller_free(caller);
	}
	if (handler != NULL)
		handler(owner);
}

/// Starts an orderly close: closes the sending side and leaves the caller time
/// to read the response and close its own side.
///
/// @param caller  caller whose response was sent
void
server_start_linger(struct caller *caller)
{
	caller->lingering = true;
	caller->waiting_since = g_get_monotonic_time();
	caller->deadline = caller->waiting_since + SERVER_LINGER;
	server_await_delivery(caller);
	if (conn_unsent_bytes(caller->conn) == 0)
		conn_shutdown_write(caller->conn);
}

/// Connection callback: the kernel has accepted all written bytes.
static void
on_drained(void *owner)
{
	struct caller *caller = owner;

	struct http_call *call = caller->call;
	http_drain_handler handler;

	server_update_client(caller);
	if (caller->lingering)
		conn_shutdown_write(caller->conn);
	else if (call == NULL)
		server_read_next(caller);
	if (call == NULL || call->drain_handler == NULL)
		return;
	handler = call->drain_handler;
	call->drain_handler = NULL;
	handler(call->drain_owner);
}

/// Ends the connection of a caller that sends nothing more and waits for no
/// response; unsent bytes are sent first.
///
/// @param caller  a caller; may be freed
void
server_end_if_input_ended(struct caller *caller)
{
	if (!caller->input_ended || caller->call != NULL ||
	    caller->pipelined.len > 0)
		return;
	if (conn_unsent_bytes(caller->conn) == 0)
		caller_disconnect(caller);
	else if (!caller->lingering)
		server_start_linger(caller);
}

/// Sends an interim response.
///
/// @param caller  caller whose response hasn't begun
void
server_write_interim(struct caller *caller)
{
	static const char interim[] = "HTTP/1.1 100 Continue\r\n\r\n";

	conn_write(caller->conn, interim, strlen(interim));
}

/// Sends an interim response to a caller that has closed its sending side, if
/// it waits for a response: the kernel of a caller that has left replies with
/// a reset. HTTP/1.0 has no interim responses.
///
/// @param caller  caller with a call
void
server_probe_caller(struct caller *caller)
{
	usec_t pause = SERVER_PROBE_PAUSE << caller->n_probes;

	if (caller->call->head.http10)
		return;
	caller->n_probes++;
	caller->probe_due = caller->n_probes < SERVER_PROBES_MAX
	    ? g_get_monotonic_time() + pause
	    : USEC_NEVER;
	server_write_interim(caller);
}

/// Starts to probe whether a caller that has closed its sending side is still
/// there. Once its response has begun, the bytes of that are the probe.
///
/// @param caller  caller with a call
void
server_start_probing(struct caller *caller)
{
	caller->n_probes = 0;
	if (!caller->call->has_head)
		server_probe_caller(caller);
}

/// Connection callback: the caller has closed its sending side. It may have
/// left, or wait for its response.
static void
on_half_closed(void *owner)
{
	struct caller *caller = owner;

	caller->input_ended = true;
	if (caller->call != NULL)
		server_start_probing(caller);
	else
		server_end_if_input_ended(caller);
}

/// Connection callback: the connection has ended.
static void
on_ended(void *owner, enum conn_end end)
{
	server_report_loss(owner,
	    end == CONN_END_ORDERLY ? HTTP_LOSS_CALLER_CLOSED
				    : HTTP_LOSS_CALLER_RESET);
	caller_disconnect(owner);
}

static const struct conn_vtable conn_vtable = {
    .received = server_on_received,
    .ended = on_ended,
    .drained = on_drained,
    .half_closed = on_half_closed,
};

/// Creates the caller of an accepted connection.
static void
accept_caller(struct http_server *server, int fd)
{
	struct caller *caller = g_new0(struct caller, 1);

	caller->server = server;
	caller->number = ++server->n_accepted;
	buffer_init(&caller->body, server->clients);
	buffer_init(&caller->pipelined, server->clients);
	caller->probe_due = USEC_NEVER;
	caller->deadline = g_get_monotonic_time() + server->limits.idle_timeout;
	server_init_reader(caller);
	caller->conn = conn_adopt(fd, &conn_vtable, caller);
	conn_set_account(caller->conn, server->clients);
	if (server->socket_buffer > 0)
		caller->socket_bytes =
		    conn_set_send_buffer(caller->conn, server->socket_buffer);
	g_hash_table_add(server->callers, caller);
	server_add_client(caller);
	server_update_socket_buffers(server);
}

/// Stops polling the listening socket: while no connection can be accepted, it
/// would wake the loop all the time. The check for timeouts and the end of a
/// connection start it again.
///
/// @return G_SOURCE_REMOVE
static gboolean
stop_listening(struct http_server *server)
{
	server_note_limit(server, HTTP_LIMIT_ACCEPT);
	server->listen_source = 0;
	return G_SOURCE_REMOVE;
}

/// Timer callback: a pause is over.
static gboolean
on_pause_over(gpointer data)
{
	struct http_server *server = data;

	server->pause_source = 0;
	server_start_listening(server);
	return G_SOURCE_REMOVE;
}

/// Stops polling the listening socket for a short time.
///
/// @return G_SOURCE_REMOVE
static gboolean
pause_listening(struct http_server *server)
{
	server->listen_source = 0;
	server->pause_source =
	    g_timeout_add(SERVER_REPLACE_PAUSE_MS, on_pause_over, server);
	return G_SOURCE_REMOVE;
}

/// @return the number of connections in the kernel's queue, at least 1
static unsigned
count_pending(const struct http_server *server)
{
	struct tcp_info info = {0};
	socklen_t len = sizeof(info);

	/* Of a listening socket this is the length of its queue. */
	if (getsockopt(g_socket_get_fd(server->socket), IPPROTO_TCP, TCP_INFO,
		&info, &len) != 0)
		return 1;
	return MAX(info.tcpi_unacked, 1);
}

/// Closes waiting connections in favour of those in the kernel's queue, of
/// which there is at least one.
///
/// @return false if none could be closed
static bool
replace_waiting(struct http_server *server)
{
	unsigned n = MIN(count_pending(server), SERVER_ACCEPTS_PER_WAKEUP);
	unsigned n_closed = 0;

	while (n_closed < n && server_close_waiting(server))
		n_closed++;
	return n_closed > 0;
}

/// @param error  errno of accept4()
/// @return whether no descriptor or memory is left for a connection
static bool
is_exhausted(int error)
{
	return error == EMFILE || error == ENFILE || error == ENOBUFS ||
	    error == ENOMEM;
}

/// Loop callback: connections can be accepted.
static gboolean
on_acceptable(gint fd, GIOCondition condition, gpointer data)
{
	struct http_server *server = data;

	(void)condition;
	if (server_is_full(server))
		return replace_waiting(server) ? pause_listening(server)
					       : stop_listening(server);
	for (int i = 0; i < SERVER_ACCEPTS_PER_WAKEUP; i++) {
		int peer;
		int error;

		if (server_is_full(server))
			return pause_listening(server);
		peer = accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
		error = peer < 0 ? errno : 0;
		if (peer >= 0)
			accept_caller(server, peer);
		else if (is_exhausted(error) && !server_close_waiting(server))
			return stop_listening(server);
		else if (error == EAGAIN || error == EWOULDBLOCK)
			return G_SOURCE_CONTINUE;
	}
	return G_SOURCE_CONTINUE;
}

/// Polls the listening socket again after no connection could be accepted.
///
/// @param server  a server; nothing is done if its socket is polled
void
server_start_listening(struct http_server *server)
{
	if (server->listen_source == 0 && server->pause_source == 0 &&
	    !server->closing)
		server->listen_source =
		    g_unix_fd_add(g_socket_get_fd(server->socket), G_IO_IN,
			on_acceptable, server);
}

/// Timer callback: a check for timeouts is due.
static gboolean
on_timeout_check(gpointer data)
{
	server_update_socket_buffers(data);
	server_check_timeouts(data);
	server_start_listening(data);
	return G_SOURCE_CONTINUE;
}

/// Opens a listening socket.
static GSocket *
open_listener(const char *ip, uint16_t port, GError **error)
{
	GSocketAddress *address =
	    g_inet_socket_address_new_from_string(ip, port);
	GSocket *socket = NULL;

	if (address == NULL) {
		g_set_error(error, G_IO_ERROR, G_IO_ERROR_INVALID_ARGUMENT,
		    "\"%s\" is not an IP address", ip);
		return NULL;
	}
	socket = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
	    G_SOCKET_PROTOCOL_TCP, error);
	if (socket != NULL) {
		g_socket_set_blocking(socket, FALSE);
		g_socket_set_listen_backlog(socket, SERVER_BACKLOG);
	}
	if (socket != NULL &&
	    (!g_socket_bind(socket, address, TRUE, error) ||
		!g_socket_listen(socket, error)))
		g_clear_object(&socket);
	g_object_unref(address);
	return socket;
}

/// Creates a server and starts listening.
///
/// @param options  copied; the vtable must outlive the server, the address is
///                 not used after the return
/// @param error    set when listening on the address fails
/// @return the server, or NULL on failure; free with http_server_free()
struct http_server *
http_server_new(const struct http_server_options *options, GError **error)
{
	struct http_server *server;
	GSocket *socket = open_listener(options->ip, options->port, error);

	if (socket == NULL)
		return NULL;
	server = g_new0(struct http_server, 1);
	server->options = *options;
	server->limits = options->limits;
	server->socket = socket;
	server->callers = g_hash_table_new(NULL, NULL);
	server->clients =
	    options->clients == NULL ? client_limits_new() : options->clients;
	server_update_socket_buffers(server);
	server_start_listening(server);
	server->timeout_timer =
	    g_timeout_add(SERVER_TIMEOUT_CHECK_MS, on_timeout_check, server);
	return server;
}

/// Stops listening, closes all connections and frees the server.
///
/// @param server  invalid afterwards
void
http_server_free(struct http_server *server)
{
	GList *callers = g_hash_table_get_keys(server->callers);

	server->closing = true;
	for (GList *l = callers; l != NULL; l = l->next) {
		server_report_loss(l->data, HTTP_LOSS_SERVER_FREED);
		caller_disconnect(l->data);
	}
	g_list_free(callers);
	if (server->listen_source != 0)
		g_source_remove(server->listen_source);
	if (server->pause_source != 0)
		g_source_remove(server->pause_source);
	g_source_remove(server->timeout_timer);
	g_object_unref(server->socket);
	if (server->options.clients == NULL)
		client_limits_free(server->clients);
	g_hash_table_unref(server->callers);
	g_free(server);
}

/// Sets the limits for open and future connections.
///
/// @param server  a running server
/// @param limits  copied
void
http_server_set_limits(
    struct http_server *server, const struct http_limits *limits)
{
	GHashTableIter iter;
	void *key;

	server->limits = *limits;
	g_hash_table_iter_init(&iter, server->callers);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct caller *caller = key;

		caller->reader.options.max_head = limits->max_head;
		caller->reader.options.max_body = limits->max_body;
	}
}

/// Closes each connection after its next response from now on. New connections
/// are still accepted, because the load balancer keeps sending callers here
/// until it notices that the instance is shutting down.
///
/// @param server  a running server
void
http_server_disable_keep_alive(struct http_server *server)
{
	server->keep_alive_disabled = true;
}

/// @param server  a running server
/// @return the number of open connections
unsigned
http_server_count_callers(const struct http_server *server)
{
	return g_hash_table_size(server->callers);
}

/// @param server  a running server
/// @return the number of requests in progress
unsigned
http_server_count_open_calls(const struct http_server *server)
{
	return server->open_calls;
}

/// @param server  a running server
/// @return the number of connections whose caller's kernel has not acknowledged
///         all bytes of responses
unsigned
http_server_count_undelivered(const struct http_server *server)
{
	GHashTableIter iter;
	void *key;
	unsigned n = 0;

	g_hash_table_iter_init(&iter, server->callers);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct caller *caller = key;

		if (conn_unacked_bytes(caller->conn) > 0)
			n++;
	}
	return n;
}
