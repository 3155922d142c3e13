/*
 * What callers send: parses requests and passes whole ones on, makes later ones
 * wait, and refuses those that are invalid or don't fit.
 */
#include <string.h>

#include "godwitvale/http/server_state.h"

/// Bytes of pipelined requests after which reading is paused while a request
/// is in progress.
#define SERVER_PIPELINE_BYTES 65536
/// Unsent bytes of finished responses above which the caller's next request is
/// not processed yet.
#define SERVER_UNSENT_BYTES_MAX (256 * 1024)
/// Requests of one connection that are processed before the loop's other
/// sources have their turn.
#define SERVER_REQUESTS_PER_WAKEUP 16
/// Bytes that are read and discarded after a refusal, so that the caller gets
/// the response before the connection is closed.
#define SERVER_DISCARD_BYTES_MAX (256 * 1024)
/// Shortest and longest time after which a caller that was refused for memory
/// may retry, in seconds.
#define SERVER_RETRY_MIN_S 1.0
#define SERVER_RETRY_MAX_S 3.0

/// Adds the time after which a refused caller may retry. It is spread, so that
/// the callers that were refused together don't come back together.
static void
add_retry_time(struct http_head *head)
{
	char text[32];

	g_snprintf(text, sizeof(text), "%.2f",
	    g_random_double_range(SERVER_RETRY_MIN_S, SERVER_RETRY_MAX_S));
	http_head_add(head, "Retry-After", text);
}

/// Refuses a request with an empty response and closes the connection.
///
/// @param caller  caller whose request isn't passed on
/// @param status  status of the response
void
server_refuse_request(struct caller *caller, unsigned status)
{
	struct http_head head;
	GString *bytes = g_string_new(NULL);

	http_head_init(&head);
	head.status = status;
	http_head_add(&head, "Content-Length", "0");
	if (status == 503)
		add_retry_time(&head);
	http_head_add(&head, "Connection", "close");
	http_head_write(&head, bytes);
	conn_write(caller->conn, bytes->str, bytes->len);
	g_string_free(bytes, true);
	http_head_clear(&head);
	caller->server->options.vtable->refused(
	    caller->server->options.owner, status);
	server_discard_input(caller);
	server_start_linger(caller);
	server_update_client(caller);
}

/// @return the status code that is sent for a fault
static unsigned
fault_status(enum http_fault fault)
{
	switch (fault) {
	case HTTP_FAULT_HEAD_TOO_BIG:
		return 431;
	case HTTP_FAULT_BODY_TOO_BIG:
		return 413;
	default:
		return 400;
	}
}

/// Reader callback: a request's head is complete. Refuses the request if it
/// doesn't fit into the memory for callers. Sends the interim response that the
/// caller may be waiting for before it sends the body.
static void
on_head(void *owner, struct http_reader *reader)
{
	struct caller *caller = owner;
	uint64_t length = reader->parser.content_length;

	if (length == ULLONG_MAX)
		length = 0;
	if (!caller->server->limits.admits_all &&
	    !client_limits_fits(caller->server->clients, length)) {
		caller->refusal = 503;
		return;
	}
	if (!reader->head.http10 &&
	    http_head_has_token(&reader->head, "Expect", "100-continue"))
		server_write_interim(caller);
}

/// Reader callback: bytes of a request's body.
static void
on_body(void *owner, const char *data, size_t len)
{
	struct caller *caller = owner;

	if (caller->refusal == 0)
		buffer_append(&caller->body, data, len);
}

static const struct http_reader_vtable reader_vtable = {
    .head = on_head,
    .body = on_body,
};

/// Initialises the reader of a new caller.
///
/// @param caller  caller whose server is set
void
server_init_reader(struct caller *caller)
{
	const struct http_reader_options options = {
	    .vtable = &reader_vtable,
	    .owner = caller,
	    .max_head = caller->server->limits.max_head,
	    .max_body = caller->server->limits.max_body,
	};

	http_reader_init(&caller->reader, &options);
}

/// Passes a complete request to the owner of the server.
static void
dispatch_request(struct caller *caller)
{
	struct http_server *server = caller->server;
	struct http_call *call = g_new0(struct http_call, 1);

	call->caller = caller;
	call->server = server;
	call->head = caller->reader.head;
	http_head_init(&caller->reader.head);
	buffer_init(&call->body, server->clients);
	buffer_move(&call->body, &caller->body);
	call->hold.limits = server->clients;
	client_hold_set(
	    &call->hold, SERVER_CALL_BYTES + http_head_held_bytes(&call->head));
	call->begun_at = caller->begun_at;
	call->received_at = g_get_monotonic_time();
	call->close = !call->head.keep_alive;
	call->is_head_request = strcmp(call->head.method, "HEAD") == 0;
	caller->call = call;
	caller->deadline = USEC_NEVER;
	server->open_calls++;
	if (caller->input_ended)
		server_start_probing(caller);
	server->options.vtable->request(server->options.owner, call);
}

/// @param caller  caller with a request in progress
/// @return whether bytes of later requests were read
bool
server_has_later_input(const struct caller *caller)
{
	return caller->processing_input ? caller->unparsed > 0
					: caller->pipelined.len > 0;
}

/// Buffers bytes of later requests until the current call is finished. While
/// memory is short no more than these are read.
static void
buffer_pipelined(struct caller *caller, const char *data, size_t len)
{
	buffer_append(&caller->pipelined, data, len);
	if (caller->pipelined.len >= SERVER_PIPELINE_BYTES ||
	    client_limits_is_short(caller->server->clients))
		conn_set_paused(caller->conn, true);
}

/// Checks whether a caller's next request has to wait: one is in progress, too
/// many bytes of earlier responses are unsent, or other callers have their turn
/// first.
static bool
must_wait(const struct caller *caller)
{
	size_t unsent_max = client_limits_is_short(caller->server->clients)
	    ? SERVER_UNSENT_BYTES_LOW
	    : SERVER_UNSENT_BYTES_MAX;

	return caller->call != NULL || caller->resume_source != 0 ||
	    conn_unsent_bytes(caller->conn) > unsent_max;
}

/// Loop callback: the other callers have had their turn.
static gboolean
on_resume(gpointer data)
{
	struct caller *caller = data;

	caller->resume_source = 0;
	server_read_next(caller);
	return G_SOURCE_REMOVE;
}

/// Refuses the request that a caller sends, if it is invalid or a reader
/// callback has refused it.
///
/// @return whether it was refused
static bool
refuse_if_faulty(struct caller *caller)
{
	if (caller->refusal != 0) {
		server_note_limit(caller->server, HTTP_LIMIT_NO_MEMORY);
		server_refuse_request(caller, caller->refusal);
		return true;
	}
	if (caller->reader.progress != HTTP_INVALID)
		return false;
	server_refuse_request(caller, fault_status(caller->reader.fault));
	return true;
}

/// Notes when a request begins, and until when its head must be complete.
static void
note_first_byte(struct caller *caller)
{
	caller->begun_at = g_get_monotonic_time();
	caller->deadline =
	    caller->begun_at + caller->server->limits.head_timeout;
}

/// Computes until when more of a body must come.
static usec_t
body_deadline(const struct caller *caller)
{
	const struct http_limits *limits = &caller->server->limits;
	usec_t deadline = g_get_monotonic_time() + limits->idle_timeout;

	return MIN(deadline,
	    client_body_deadline(
		&limits->body, caller->begun_at, caller->reader.body_len));
}

/// Parses bytes that a caller sent and passes whole requests on, until one has
/// to wait.
///
/// @return bytes consumed
static size_t
parse_input(struct caller *caller, const char *data, size_t len)
{
	unsigned n_requests = 0;
	size_t at = 0;

	while (at < len && caller->conn != NULL && !caller->lingering &&
	    !must_wait(caller)) {
		if (caller->reader.progress == HTTP_AT_START &&
		    caller->reader.head_bytes->len == 0)
			note_first_byte(caller);
		at += http_reader_feed(&caller->reader, data + at, len - at);
		if (caller->reader.progress == HTTP_IN_BODY)
			caller->deadline = body_deadline(caller);
		if (refuse_if_faulty(caller))
			break;
		if (caller->reader.progress != HTTP_COMPLETE)
			continue;
		caller->unparsed = len - at;
		dispatch_request(caller);
		if (++n_requests >= SERVER_REQUESTS_PER_WAKEUP &&
		    caller->conn != NULL)
			caller->resume_source =
			    g_timeout_add(0, on_resume, caller);
	}
	return at;
}

/// Ends the processing of input: frees a caller whose connection has ended
/// meanwhile, else updates the account and drops callers while the bound on
/// memory is exceeded.
///
/// @return false if the caller was freed
static bool
finish_input(struct caller *caller)
{
	struct http_server *server = caller->server;

	caller->processing_input = false;
	if (caller->conn == NULL) {
		server_caller_free(caller);
		return false;
	}
	server_update_client(caller);
	server_enforce_memory(server);
	return g_hash_table_contains(server->callers, caller);
}

/// Processes the next request of a caller, unless it has to wait.
///
/// @param caller  caller without a call; may be freed
void
server_read_next(struct caller *caller)
{
	struct buffer *pipelined = &caller->pipelined;
	size_t consumed;

	if (caller->lingering || must_wait(caller))
		return;
	if (pipelined->len == 0) {
		conn_set_paused(caller->conn, false);
		server_end_if_input_ended(caller);
		return;
	}
	/* Nothing is added to the buffer before parse_input() returns. */
	caller->processing_input = true;
	consumed = parse_input(caller, buffer_bytes(pipelined), pipelined->len);
	buffer_consume(pipelined, MIN(consumed, pipelined->len));
	if (!finish_input(caller) || caller->lingering)
		return;
	conn_set_paused(caller->conn, pipelined->len >= SERVER_PIPELINE_BYTES);
	server_end_if_input_ended(caller);
}

/// Processes bytes that a caller sent. Later requests are buffered while they
/// have to wait.
static void
process_input(struct caller *caller, const char *data, size_t len)
{
	size_t consumed;

	caller->processing_input = true;
	consumed = parse_input(caller, data, len);
	if (consumed < len && caller->conn != NULL && !caller->lingering)
		buffer_pipelined(caller, data + consumed, len - consumed);
	if (finish_input(caller))
		server_end_if_input_ended(caller);
}

/// Reads and discards what a refused caller sends. Beyond a bound it is left
/// unread until the connection is closed.
static void
discard_received(struct caller *caller, size_t len)
{
	caller->discarded += len;
	if (caller->discarded >= SERVER_DISCARD_BYTES_MAX)
		conn_set_paused(caller->conn, true);
}

/// Connection callback: bytes were received. They must not pass those that
/// wait.
///
/// @param owner  struct caller
/// @param data   the bytes
/// @param len    their number
void
server_on_received(void *owner, const char *data, size_t len)
{
	struct caller *caller = owner;

	if (caller->lingering) {
		discard_received(caller, len);
		return;
	}
	if (caller->pipelined.len == 0) {
		process_input(caller, data, len);
		return;
	}
	buffer_pipelined(caller, data, len);
	if (must_wait(caller)) {
		server_update_client(caller);
		server_enforce_memory(caller->server);
		return;
	}
	server_read_next(caller);
}
