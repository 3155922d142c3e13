/* Requests that were received, and the responses to them. */
#include <string.h>

#include "godwitvale/http/server_state.h"

/// @param call  a call
/// @return the request's head, owned by the call
const struct http_head *
http_call_head(const struct http_call *call)
{
	return &call->head;
}

/// @param call  a call
/// @param len   set to the length of the body in bytes
/// @return the request's body, owned by the call
const char *
http_call_body(const struct http_call *call, size_t *len)
{
	*len = call->body.len;
	return buffer_bytes(&call->body);
}

/// @param call  a call
/// @return the monotonic time at which the request's first byte was read
usec_t
http_call_begun_at(const struct http_call *call)
{
	return call->begun_at;
}

/// @param call  a call
/// @return the monotonic time at which the request was read whole
usec_t
http_call_received_at(const struct http_call *call)
{
	return call->received_at;
}

/// @param call  a call
/// @return the number of its connection; 0 if the caller has disconnected
uint64_t
http_call_connection(const struct http_call *call)
{
	return call->caller == NULL ? 0 : call->caller->number;
}

/// Sets the handler for a caller that disconnects before its response is
/// complete.
///
/// @param call     a call
/// @param handler  called at most once
/// @param owner    passed to the handler
void
http_call_on_disconnect(
    struct http_call *call, http_disconnect_handler handler, void *owner)
{
	call->disconnect_handler = handler;
	call->disconnect_owner = owner;
}

/// Sets the handler that is called when all bytes written so far have been
/// sent.
///
/// @param call     a call with unsent bytes
/// @param handler  called once, unless the caller disconnects first
/// @param owner    passed to the handler
void
http_call_on_drain(
    struct http_call *call, http_drain_handler handler, void *owner)
{
	call->drain_handler = handler;
	call->drain_owner = owner;
}

/// Frees a call whose response was finished or aborted.
static void
call_free(struct http_call *call)
{
	call->server->open_calls--;
	http_head_clear(&call->head);
	buffer_clear(&call->body);
	client_hold_clear(&call->hold);
	g_free(call);
}

/// Continues a connection after a response: closes it, or processes the next
/// request.
static void
start_next_request(struct caller *caller, bool close)
{
	caller->call = NULL;
	caller->probe_due = USEC_NEVER;
	caller->waiting_since = g_get_monotonic_time();
	if (close) {
		server_discard_input(caller);
		server_start_linger(caller);
		server_update_client(caller);
		return;
	}
	http_reader_start_message(&caller->reader);
	caller->deadline =
	    g_get_monotonic_time() + caller->server->limits.idle_timeout;
	server_await_delivery(caller);
	server_update_client(caller);
	if (!caller->processing_input)
		server_read_next(caller);
}

/// Ends a call whose response was written completely.
static void
finish_call(struct http_call *call)
{
	struct caller *caller = call->caller;
	bool close = call->close;

	call_free(call);
	if (caller != NULL)
		start_next_request(caller, close);
}

/// Checks whether a caller has closed its sending side after the request in
/// progress.
static bool
is_last_request(const struct caller *caller)
{
	return caller->input_ended && caller->pipelined.len == 0 &&
	    !caller->processing_input;
}

/// Checks whether a connection closes after the response to the request in
/// progress. When connections aren't kept any more, later requests that were
/// read with it are still answered.
static bool
closes_after_response(const struct caller *caller)
{
	return caller->is_yielding || is_last_request(caller) ||
	    (caller->server->keep_alive_disabled &&
		!server_has_later_input(caller));
}

/// Writes the head of a response and adds its framing fields.
///
/// @param framing  name of the field that frames the body; NULL: none
/// @param value    value of that field
static void
write_head(struct http_call *call, const struct http_head *head,
    const char *framing, const char *value)
{
	GString *bytes = g_string_new(NULL);
	struct http_head framed;

	http_head_init(&framed);
	framed.status = head->status;
	http_head_copy_end_to_end(&framed, head);
	if (framing != NULL)
		http_head_add(&framed, framing, value);
	if (closes_after_response(call->caller))
		call->close = true;
	call->has_head = true;
	call->caller->probe_due = USEC_NEVER;
	if (call->close)
		http_head_add(&framed, "Connection", "close");
	http_head_write(&framed, bytes);
	conn_write(call->caller->conn, bytes->str, bytes->len);
	g_string_free(bytes, true);
	http_head_clear(&framed);
}

/// Sends a complete response and ends the call.
///
/// @param call  invalid afterwards
/// @param head  status and fields; framing fields are added
/// @param body  bytes of the body, copied
/// @param len   length of the body in bytes
void
http_call_respond(struct http_call *call, const struct http_head *head,
    const char *body, size_t len)
{
	char text[32];

	if (call->caller != NULL) {
		g_snprintf(text, sizeof(text), "%zu", len);
		write_head(call, head,
		    head->status == 204 || head->status == 304
			? NULL
			: "Content-Length",
		    text);
		if (!call->is_head_request && len > 0)
			conn_write(call->caller->conn, body, len);
	}
	finish_call(call);
}

/// Starts a response whose length isn't known.
///
/// @param call  a call without a response
/// @param head  status and fields; framing fields are added
void
http_call_start_response(struct http_call *call, const struct http_head *head)
{
	if (call->caller == NULL)
		return;
	call->chunked = !call->head.http10;
	if (!call->chunked)
		call->close = true;
	write_head(
	    call, head, call->chunked ? "Transfer-Encoding" : NULL, "chunked");
}

/// Writes a part of a response's body.
///
/// @param call  a call whose response was started
/// @param data  bytes, copied
/// @param len   length in bytes
void
http_call_write_body(struct http_call *call, const char *data, size_t len)
{
	char size[32];
	struct conn *conn;

	if (call->caller == NULL || len == 0 || call->is_head_request)
		return;
	conn = call->caller->conn;
	if (!call->chunked) {
		conn_write(conn, data, len);
		return;
	}
	GString *chunk = g_string_sized_new(len + 16);
	g_snprintf(size, sizeof(size), "%zx\r\n", len);
	g_string_append(chunk, size);
	g_string_append_len(chunk, data, (gssize)len);
	g_string_append(chunk, "\r\n");
	conn_write(conn, chunk->str, chunk->len);
	g_string_free(chunk, true);
}

/// Finishes a response that was started and ends the call.
///
/// @param call  invalid afterwards
void
http_call_finish_response(struct http_call *call)
{
	static const char last_chunk[] = "0\r\n\r\n";

	if (call->caller != NULL && call->chunked && !call->is_head_request)
		conn_write(call->caller->conn, last_chunk, strlen(last_chunk));
	finish_call(call);
}

/// Aborts a response and resets the connection, so that the caller can't
/// mistake a partial response for a complete one.
///
/// @param call  invalid afterwards
void
http_call_abort(struct http_call *call)
{
	struct caller *caller = call->caller;

	call->disconnect_handler = NULL;
	if (caller != NULL)
		server_report_loss(caller, HTTP_LOSS_ABORTED);
	call_free(call);
	if (caller == NULL)
		return;
	caller->call = NULL;
	if (!caller->processing_input) {
		conn_abort(caller->conn);
		caller->conn = NULL;
		server_caller_free(caller);
		return;
	}
	conn_abort(caller->conn);
	caller->conn = NULL;
}

/// @param call  a call
/// @return bytes of the response that the kernel has not accepted yet
size_t
http_call_unsent_bytes(const struct http_call *call)
{
	return call->caller == NULL ? 0 : conn_unsent_bytes(call->caller->conn);
}

/// Returns how many bytes of a response are to be buffered.
///
/// @param call   a call
/// @param usual  bytes that are buffered while memory isn't short
/// @return that number, or a lower one
size_t
http_call_buffer_max(const struct http_call *call, size_t usual)
{
	return client_limits_is_short(call->server->clients)
	    ? MIN(usual, SERVER_UNSENT_BYTES_LOW)
	    : usual;
}

/// @param call  a call
/// @return the account of the bytes that are held for callers
struct client_limits *
http_call_account(const struct http_call *call)
{
	return call->server->clients;
}

/// @param call  a call
/// @return whether its caller has disconnected
bool
http_call_is_disconnected(const struct http_call *call)
{
	return call->caller == NULL;
}
