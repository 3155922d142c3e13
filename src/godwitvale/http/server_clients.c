/*
 * Callers in the account of the memory and the connections: tells their state,
 * and ends the connections that the account chooses.
 */
#include "godwitvale/http/server_state.h"

#include <sys/socket.h>

/// Connections that are read before one of them is closed for a new one.
#define SERVER_CLOSE_ATTEMPTS 8

/// Checks whether a caller has not taken all of finished responses.
static bool
has_unread_responses(const struct caller *caller)
{
	return caller->is_delivering && caller->conn != NULL &&
	    conn_unsent_bytes(caller->conn) > 0;
}

/// Determines what a caller's connection is used for.
static enum client_stage
find_stage(const struct caller *caller)
{
	if (caller->lingering)
		return has_unread_responses(caller) ? CLIENT_UNREAD
						    : CLIENT_CLOSING;
	if (caller->call != NULL)
		return CLIENT_IN_CALL;
	if (caller->reader.progress == HTTP_IN_BODY)
		return CLIENT_IN_BODY;
	if (has_unread_responses(caller))
		return CLIENT_UNREAD;
	/* Bytes of a next request may wait before their first one is parsed. */
	if (caller->reader.progress == HTTP_IN_HEAD ||
	    caller->pipelined.len > 0)
		return CLIENT_IN_HEAD;
	return CLIENT_IDLE;
}

/// Determines the state of a caller's connection.
static struct client_state
find_state(const struct caller *caller)
{
	struct client_state state = {
	    .stage = find_stage(caller),
	    .bytes = caller->hold.bytes + caller->body.capacity +
		caller->pipelined.capacity,
	    .started_at = caller->begun_at,
	    .waiting_since = caller->waiting_since,
	    .socket_bytes = caller->socket_bytes,
	    .accepted_at = caller->accepted_at,
	    .is_yielding = caller->is_yielding || caller->lingering,
	};

	if (state.stage == CLIENT_IN_CALL)
		state.bytes = caller->pipelined.capacity;
	if (state.stage != CLIENT_UNREAD)
		return state;
	state.bytes += conn_unsent_bytes(caller->conn);
	state.started_at =
	    caller->stall_deadline - caller->server->limits.stall_timeout;
	return state;
}

/// Adds a new caller to the account.
///
/// @param caller  caller with a connection
void
server_add_client(struct caller *caller)
{
	struct client_state state;

	caller->accepted_at = g_get_monotonic_time();
	caller->waiting_since = caller->accepted_at;
	caller->hold.limits = caller->server->clients;
	client_hold_set(&caller->hold, SERVER_CALLER_BYTES);
	state = find_state(caller);
	caller->client = client_limits_add(
	    caller->server->clients, caller, caller->server, &state);
}

/// Tells the account the state of a caller.
///
/// @param caller  caller with a connection
void
server_update_client(struct caller *caller)
{
	struct client_state state;

	client_hold_set(&caller->hold,
	    SERVER_CALLER_BYTES + http_reader_held_bytes(&caller->reader));
	state = find_state(caller);
	client_limits_update(caller->server->clients, caller->client, &state);
}

/// Removes a caller from the account.
///
/// @param caller  caller whose connection has ended
void
server_remove_client(struct caller *caller)
{
	client_hold_clear(&caller->hold);
	client_limits_remove(caller->server->clients, caller->client);
}

/// Discards what a caller has sent of requests that aren't passed on.
///
/// @param caller  caller from which no further request is read
void
server_discard_input(struct caller *caller)
{
	buffer_clear(&caller->body);
	buffer_clear(&caller->pipelined);
	http_reader_start_message(&caller->reader);
}

/// Tells the owner of a server that a limit has taken effect.
///
/// @param server  the server
/// @param limit   which one
void
server_note_limit(const struct http_server *server, enum http_limit limit)
{
	const struct http_server_options *options = &server->options;

	if (options->vtable->limited != NULL)
		options->vtable->limited(options->owner, limit);
}

/// Sets the size of the kernel's buffers of future connections to that which
/// the number of connections allows. They get it from the listening socket.
///
/// @param server  a server
void
server_update_socket_buffers(struct http_server *server)
{
	size_t bytes = client_limits_socket_buffer(server->clients);
	int size = (int)bytes;

	if (bytes == server->socket_buffer || bytes == 0)
		return;
	if (bytes < server->socket_buffer)
		server_note_limit(server, HTTP_LIMIT_SOCKET_BUFFERS);
	server->socket_buffer = bytes;
	setsockopt(g_socket_get_fd(server->socket), SOL_SOCKET, SO_RCVBUF,
	    &size, sizeof(size));
}

/// Closes the connection of a caller without a call.
static void
close_caller(struct caller *caller)
{
	server_report_loss(caller, HTTP_LOSS_TIMEOUT);
	if (!caller->processing_input) {
		server_caller_free(caller);
		return;
	}
	/* The function that processes input frees the caller. */
	conn_close(caller->conn);
	caller->conn = NULL;
	server_discard_input(caller);
	caller->lingering = true;
	server_update_client(caller);
}

/// Drops what a caller has sent behind the request in progress. The connection
/// is closed after the response, so that none of it is answered.
static void
drop_pipelined(struct caller *caller)
{
	buffer_clear(&caller->pipelined);
	caller->call->close = true;
	conn_set_paused(caller->conn, true);
	server_update_client(caller);
}

/// Refuses or closes a caller that was chosen for its memory.
static void
drop_for_memory(struct caller *caller)
{
	switch (find_stage(caller)) {
	case CLIENT_IN_BODY:
		server_note_limit(caller->server, HTTP_LIMIT_BODY_MEMORY);
		server_refuse_request(caller, 503);
		break;
	case CLIENT_IN_CALL:
		server_note_limit(caller->server, HTTP_LIMIT_PIPELINE_MEMORY);
		drop_pipelined(caller);
		break;
	case CLIENT_UNREAD:
		server_note_limit(caller->server, HTTP_LIMIT_UNREAD_MEMORY);
		close_caller(caller);
		break;
	default:
		server_note_limit(caller->server, HTTP_LIMIT_HEAD_MEMORY);
		close_caller(caller);
		break;
	}
}

/// Drops callers until the bytes held for all of them are within the bound, or
/// only whole requests are left.
///
/// @param server  one of the servers that share the account
void
server_enforce_memory(struct http_server *server)
{
	usec_t now = g_get_monotonic_time();
	struct caller *caller;

	while ((caller = client_limits_pick_for_memory(server->clients, now)) !=
	    NULL)
		drop_for_memory(caller);
}

/// @return the caller that has waited longest without a whole request; NULL if
///         all connections are in use or new
static struct caller *
find_waiting(const struct http_server *server)
{
	return client_limits_pick_for_connection(
	    server->clients, server, g_get_monotonic_time());
}

/// Has the connection that has been in use longest closed after its next
/// response, which says so to the caller.
static void
yield_connection(const struct http_server *server)
{
	struct caller *caller =
	    client_limits_pick_to_yield(server->clients, server);

	if (caller == NULL)
		return;
	server_note_limit(server, HTTP_LIMIT_CONNECTIONS_IN_USE);
	caller->is_yielding = true;
	server_update_client(caller);
}

/// Closes the connection that has waited longest without a whole request. A
/// request that has arrived and wasn't read yet is read first. If all are in
/// use, one of them closes after its next response.
///
/// @param server  a server
/// @return false if all connections are in use or new
bool
server_close_waiting(struct http_server *server)
{
	for (int i = 0; i < SERVER_CLOSE_ATTEMPTS; i++) {
		struct caller *caller = find_waiting(server);

		if (caller == NULL) {
			yield_connection(server);
			return false;
		}
		conn_receive(caller->conn);
		if (find_waiting(server) != caller)
			continue;
		server_note_limit(caller->server, HTTP_LIMIT_CONNECTIONS);
		close_caller(caller);
		return true;
	}
	return false;
}

/// Checks whether the kernel's buffers for clients have no room for another
/// connection. Where all are admitted, the few connections are not counted.
static bool
lacks_socket_memory(const struct http_server *server)
{
	return server->socket_buffer > 0 && !server->limits.admits_all &&
	    client_limits_sockets_are_full(server->clients);
}

/// @param server  a server
/// @return whether there are as many connections as may be
bool
server_is_full(const struct http_server *server)
{
	return g_hash_table_size(server->callers) >=
	    server->limits.max_callers ||
	    lacks_socket_memory(server);
}
