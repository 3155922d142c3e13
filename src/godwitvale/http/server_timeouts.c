/*
 * Timeouts of callers: of what they send, of how fast they take finished
 * responses, and of probes.
 */
#include "godwitvale/http/server_state.h"

/// Starts the time within which a caller must take another byte of the
/// responses that are finished.
///
/// @param caller  caller that may have unsent bytes
void
server_await_delivery(struct caller *caller)
{
	caller->is_delivering = true;
	caller->acked = conn_acked_bytes(caller->conn);
	caller->stall_deadline =
	    g_get_monotonic_time() + caller->server->limits.stall_timeout;
}

/// Checks whether a caller has let its deadline pass. While bytes of finished
/// responses are on their way, that is the deadline for taking another byte.
static bool
is_overdue(struct caller *caller, usec_t now)
{
	if (caller->call != NULL)
		return false;
	if (caller->is_delivering)
		caller->is_delivering = conn_unacked_bytes(caller->conn) > 0;
	if (!caller->is_delivering ||
	    (caller->reader.progress != HTTP_AT_START && !caller->lingering))
		return now >= caller->deadline;
	if (conn_acked_bytes(caller->conn) != caller->acked)
		server_await_delivery(caller);
	caller->deadline = now +
	    (caller->lingering ? SERVER_LINGER
			       : caller->server->limits.idle_timeout);
	return now >= caller->stall_deadline;
}

/// Checks whether a body has come too slowly or for too long.
static bool
is_body_late(const struct caller *caller)
{
	return caller->reader.progress == HTTP_IN_BODY &&
	    g_get_monotonic_time() >=
	    client_body_deadline(&caller->server->limits.body, caller->begun_at,
		caller->reader.body_len);
}

/// Ends the connection of a caller whose deadline has passed, or refuses the
/// request that it has not sent in time.
static void
end_overdue(struct caller *caller)
{
	if (caller->reader.progress != HTTP_AT_START && !caller->lingering) {
		if (is_body_late(caller))
			server_note_limit(caller->server, HTTP_LIMIT_BODY_TIME);
		server_refuse_request(caller, 408);
		return;
	}
	server_report_loss(caller, HTTP_LOSS_TIMEOUT);
	server_caller_free(caller);
}

/// Reads what a caller has sent. After a pause of the process, that may have
/// arrived in time.
///
/// @return false if the caller has been freed
static bool
read_arrived(struct caller *caller)
{
	GHashTable *callers = caller->server->callers;

	conn_receive(caller->conn);
	return g_hash_table_contains(callers, caller);
}

/// Ends the connections of callers whose deadline has passed, and probes those
/// that may have left.
///
/// @param server  a running server
void
server_check_timeouts(struct http_server *server)
{
	usec_t now = g_get_monotonic_time();
	GList *callers = g_hash_table_get_keys(server->callers);

	for (GList *l = callers; l != NULL; l = l->next) {
		struct caller *caller = l->data;

		/* Handling an earlier caller's request may have freed it. */
		if (!g_hash_table_contains(server->callers, caller))
			continue;
		conn_update_limits(caller->conn);
		if (now >= caller->probe_due)
			server_probe_caller(caller);
		if (!is_overdue(caller, now))
			server_update_client(caller);
		else if (read_arrived(caller) && is_overdue(caller, now))
			end_overdue(caller);
	}
	g_list_free(callers);
	server_enforce_memory(server);
}
