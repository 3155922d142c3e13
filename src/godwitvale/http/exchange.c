/*
 * Sends one request to one upstream over a pooled connection, reads the
 * response and decides whether the connection can be reused.
 */
#include "godwitvale/http/exchange.h"

#include <string.h>

#include "godwitvale/http/buffer.h"
#include "godwitvale/http/reader.h"

/// Longest accepted response head, in bytes.
#define EXCHANGE_HEAD_BYTES_MAX 65536
/// Longest accepted response body, in bytes.
#define EXCHANGE_BODY_BYTES_MAX ((uint64_t)1 << 32)
/// Responses to earlier requests that are skipped before the exchange fails.
#define EXCHANGE_SKIPS_MAX 2
/// Interim responses (status 1xx) that are skipped before the exchange fails.
#define EXCHANGE_INTERIM_MAX 16
/// Bytes of skipped responses' bodies after which the exchange fails.
#define EXCHANGE_SKIPPED_BYTES_MAX (256 * 1024)
/// An idle connection is used until this long before the upstream's idle
/// timeout, in milliseconds. Without the margin a request could be in flight
/// when the upstream closes the connection.
#define EXCHANGE_IDLE_MARGIN_MS 500
/// How long an idle connection is kept when the upstream sends no Keep-Alive
/// timeout, in milliseconds. The field holds whole seconds, so an upstream
/// that omits it may close the connection within one second.
#define EXCHANGE_IDLE_DEFAULT_MS 300

struct exchange {
	struct exchange_options options;
	char *address;
	char *echo_value;
	struct conn *conn;
	struct http_reader reader;
	struct buffer request; /// bytes that are sent once connected
	bool has_request;      /// they have not been sent
	usec_t idle_timeout;   /// how long the connection may be kept idle
	unsigned skipped_count;
	unsigned interim_count;
	size_t skipped_bytes;
	bool reused;
	bool is_head_request; /// responses have no body
	bool skipping;        /// the current response is not this request's
	bool has_head;
	bool not_reusable;  /// bytes beyond this response were received
	bool finished;      /// completed, failed or cancelled
	int callback_depth; /// running connection callbacks
	guint refusal; /// source that reports that `starting` refused; or 0
};

static const char *const failure_names[] = {
    [EXCHANGE_UNREACHABLE] = "unreachable",
    [EXCHANGE_NO_ANSWER] = "no-answer",
    [EXCHANGE_CUT] = "cut",
    [EXCHANGE_GARBLED] = "garbled",
};

/// @param failure  reason why an exchange failed
/// @return the reason as one word, for log lines
const char *
exchange_failure_name(enum exchange_failure failure)
{
	return failure_names[failure];
}

/// Frees an exchange that has released its connection. Inside a connection
/// callback this is left to the end of the callback.
static void
exchange_free(struct exchange *exchange)
{
	if (exchange->callback_depth > 0) {
		exchange->finished = true;
		return;
	}
	http_reader_clear(&exchange->reader);
	buffer_clear(&exchange->request);
	if (exchange->refusal != 0)
		g_source_remove(exchange->refusal);
	g_free(exchange->address);
	g_free(exchange->echo_value);
	g_free(exchange);
}

/// Closes the connection, or resets it.
static void
discard_conn(struct exchange *exchange, bool abort)
{
	if (exchange->conn == NULL)
		return;
	pool_discard(
	    exchange->options.pool, exchange->address, exchange->conn, abort);
	exchange->conn = NULL;
}

/// Ends the exchange without a complete response.
static void
fail_exchange(struct exchange *exchange, enum exchange_failure failure)
{
	const struct exchange_vtable *vtable = exchange->options.vtable;
	void *owner = exchange->options.owner;

	if (exchange->finished)
		return;
	discard_conn(exchange, true);
	exchange->finished = true;
	vtable->failed(owner, failure);
}

/// Reads the Keep-Alive timeout and returns how long the connection may be
/// kept idle, in microseconds.
static usec_t
parse_idle_timeout(const struct http_head *head)
{
	const char *value = http_head_get(head, "Keep-Alive");
	const char *timeout = value == NULL ? NULL : strstr(value, "timeout=");
	guint64 seconds;

	if (timeout == NULL)
		return EXCHANGE_IDLE_DEFAULT_MS * USEC_PER_MSEC;
	seconds = g_ascii_strtoull(timeout + strlen("timeout="), NULL, 10);
	if (seconds == 0)
		return 0;
	return (usec_t)MIN(seconds, 3600) * USEC_PER_SEC -
	    EXCHANGE_IDLE_MARGIN_MS * USEC_PER_MSEC;
}

/// Checks whether a response answers this exchange's request. Where responses
/// repeat a field of their requests, one without it is only known to do so if
/// no other request or response was on the connection before.
static bool
is_own_response(const struct exchange *exchange, const struct http_head *head)
{
	const char *field = exchange->options.echo_field;
	const char *echo = field == NULL ? NULL : http_head_get(head, field);

	if (field == NULL || exchange->echo_value == NULL)
		return true;
	if (echo != NULL)
		return strcmp(echo, exchange->echo_value) == 0;
	return !exchange->reused && exchange->skipped_count == 0;
}

/// Skips a response that isn't known to be this request's.
static void
skip_response(struct exchange *exchange, const struct http_head *head)
{
	const struct exchange_vtable *vtable = exchange->options.vtable;

	exchange->skipping = true;
	exchange->not_reusable = true;
	exchange->skipped_count++;
	if (vtable->skipped != NULL)
		vtable->skipped(exchange->options.owner, head);
}

/// Reader callback: a response's head is complete.
static void
on_head(void *owner, struct http_reader *reader)
{
	struct exchange *exchange = owner;

	exchange->skipping = false;
	if (reader->head.status < 200) {
		exchange->skipping = true;
		exchange->interim_count++;
		return;
	}
	if (!is_own_response(exchange, &reader->head)) {
		skip_response(exchange, &reader->head);
		return;
	}
	exchange->has_head = true;
	exchange->idle_timeout = parse_idle_timeout(&reader->head);
	exchange->options.vtable->head(exchange->options.owner, &reader->head);
}

/// Reader callback: bytes of a response's body.
static void
on_body(void *owner, const char *data, size_t len)
{
	struct exchange *exchange = owner;

	if (exchange->skipping)
		exchange->skipped_bytes += len;
	if (exchange->skipping || exchange->finished)
		return;
	exchange->options.vtable->body(exchange->options.owner, data, len);
}

static const struct http_reader_vtable reader_vtable = {
    .head = on_head,
    .body = on_body,
};

/// Ends the exchange with a complete response and returns the connection to
/// the pool if it can be reused.
static void
complete_exchange(struct exchange *exchange)
{
	const struct exchange_vtable *vtable = exchange->options.vtable;
	void *owner = exchange->options.owner;
	bool keep = exchange->reader.head.keep_alive &&
	    !exchange->not_reusable && !exchange->reader.ends_at_eof &&
	    exchange->idle_timeout > 0 &&
	    conn_unsent_bytes(exchange->conn) == 0;

	if (keep) {
		/* The owner may have paused reading in the last piece. */
		conn_set_paused(exchange->conn, false);
		pool_release(exchange->options.pool, exchange->address,
		    exchange->conn,
		    g_get_monotonic_time() + exchange->idle_timeout);
		exchange->conn = NULL;
	} else {
		discard_conn(exchange, false);
	}
	exchange->finished = true;
	vtable->complete(owner);
}

/// Checks whether more was skipped than an upstream in order would send before
/// the response.
static bool
has_skipped_too_much(const struct exchange *exchange)
{
	return exchange->skipped_count > EXCHANGE_SKIPS_MAX ||
	    exchange->interim_count > EXCHANGE_INTERIM_MAX ||
	    exchange->skipped_bytes > EXCHANGE_SKIPPED_BYTES_MAX;
}

/// Handles the end of a message: completes the exchange, or continues with
/// the next message when this one was skipped.
///
/// @param more_bytes  whether bytes after the message were received
/// @return false when the exchange has ended
static bool
finish_message(struct exchange *exchange, bool more_bytes)
{
	if (!exchange->skipping) {
		exchange->not_reusable = exchange->not_reusable || more_bytes;
		complete_exchange(exchange);
		return false;
	}
	if (!exchange->reader.head.keep_alive) {
		fail_exchange(exchange, EXCHANGE_NO_ANSWER);
		return false;
	}
	http_reader_start_message(&exchange->reader);
	exchange->reader.no_body = exchange->is_head_request;
	return true;
}

/// Connection callback: bytes were received.
static void
on_received(void *owner, const char *data, size_t len)
{
	struct exchange *exchange = owner;

	exchange->callback_depth++;
	while (len > 0 && !exchange->finished) {
		size_t consumed =
		    http_reader_feed(&exchange->reader, data, len);

		data += consumed;
		len -= consumed;
		if (exchange->finished)
			break;
		if (exchange->reader.progress == HTTP_INVALID)
			fail_exchange(exchange,
			    exchange->has_head ? EXCHANGE_CUT
					       : EXCHANGE_GARBLED);
		else if (exchange->reader.progress == HTTP_COMPLETE &&
		    !finish_message(exchange, len > 0))
			break;
		else if (has_skipped_too_much(exchange))
			fail_exchange(exchange, EXCHANGE_NO_ANSWER);
	}
	exchange->callback_depth--;
	if (exchange->finished)
		exchange_free(exchange);
}

/// Connection callback: the connection has ended.
static void
on_ended(void *owner, enum conn_end end)
{
	struct exchange *exchange = owner;

	exchange->callback_depth++;
	if (end == CONN_END_ORDERLY &&
	    http_reader_handle_eof(&exchange->reader) && !exchange->skipping)
		complete_exchange(exchange);
	else if (exchange->has_head)
		fail_exchange(exchange, EXCHANGE_CUT);
	else if (conn_sent_bytes(exchange->conn) == 0 && !exchange->reused)
		fail_exchange(exchange, EXCHANGE_UNREACHABLE);
	else
		fail_exchange(exchange, EXCHANGE_NO_ANSWER);
	exchange->callback_depth--;
	if (exchange->finished)
		exchange_free(exchange);
}

/// Sends the request, unless its owner doesn't want it sent any more.
///
/// @return false if it isn't sent
static bool
send_request(struct exchange *exchange)
{
	const struct exchange_vtable *vtable = exchange->options.vtable;

	if (vtable->starting != NULL &&
	    !vtable->starting(exchange->options.owner))
		return false;
	conn_write_buffer(exchange->conn, &exchange->request);
	exchange->has_request = false;
	return true;
}

/// Connection callback: a new connection is open.
static void
on_opened(void *owner)
{
	struct exchange *exchange = owner;

	if (!exchange->has_request)
		return;
	exchange->callback_depth++;
	if (!send_request(exchange))
		fail_exchange(exchange, EXCHANGE_UNREACHABLE);
	exchange->callback_depth--;
	if (exchange->finished)
		exchange_free(exchange);
}

/// Loop callback: the request wasn't to be sent on an idle connection. The
/// owner learns of it from the loop, never from within exchange_start().
static gboolean
on_refused(gpointer data)
{
	struct exchange *exchange = data;

	exchange->refusal = 0;
	fail_exchange(exchange, EXCHANGE_UNREACHABLE);
	exchange_free(exchange);
	return G_SOURCE_REMOVE;
}

static const struct conn_vtable conn_vtable = {
    .received = on_received,
    .ended = on_ended,
    .opened = on_opened,
};

/// Starts an exchange.
///
/// @param options  copied; head and body are not used after the return
/// @return the exchange; valid until it completes, fails or is cancelled
struct exchange *
exchange_start(const struct exchange_options *options)
{
	struct exchange *exchange = g_new0(struct exchange, 1);
	const struct http_reader_options reader_options = {
	    .vtable = &reader_vtable,
	    .owner = exchange,
	    .parse_responses = true,
	    .max_head = EXCHANGE_HEAD_BYTES_MAX,
	    .max_body = EXCHANGE_BODY_BYTES_MAX,
	};
	bool needs_new_connection = options->needs_new_connection ||
	    (options->echo_field != NULL && options->echo_value == NULL);
	struct pool_lease lease;
	GString *bytes = g_string_new(NULL);

	exchange->options = *options;
	exchange->address = g_strdup(options->address);
	exchange->echo_value = g_strdup(options->echo_value);
	http_reader_init(&exchange->reader, &reader_options);
	exchange->is_head_request = strcmp(options->head->method, "HEAD") == 0;
	exchange->reader.no_body = exchange->is_head_request;
	lease = (needs_new_connection ? pool_open : pool_acquire)(
	    options->pool, options->address, &conn_vtable, exchange);
	exchange->conn = lease.conn;
	exchange->reused = lease.reused;
	http_head_write(options->head, bytes);
	buffer_init(&exchange->request, pool_account(options->pool));
	buffer_append(&exchange->request, bytes->str, bytes->len);
	buffer_append(&exchange->request, options->body, options->body_len);
	g_string_free(bytes, true);
	exchange->has_request = true;
	/* Without `starting`, a new connection sends the bytes once it is open.
	 */
	if ((options->vtable->starting == NULL || lease.reused) &&
	    !send_request(exchange))
		exchange->refusal = g_idle_add(on_refused, exchange);
	return exchange;
}

/// Cancels an exchange and resets its connection, so that the upstream stops
/// working on the request.
///
/// @param exchange  invalid afterwards; none of its callbacks is called
void
exchange_cancel(struct exchange *exchange)
{
	discard_conn(exchange, true);
	exchange->finished = true;
	exchange_free(exchange);
}

/// Checks whether any byte of the request may have been sent.
///
/// @param exchange  an exchange
/// @return false only when the upstream certainly has not run the request
bool
exchange_may_have_sent(const struct exchange *exchange)
{
	return exchange->reused || exchange->conn == NULL ||
	    conn_sent_bytes(exchange->conn) > 0;
}

/// Checks whether only the end of the connection marks the end of the response.
///
/// @param exchange  an exchange whose response's head has arrived; the call is
///                  still allowed in the callback `complete`
/// @return whether the response has neither a length nor chunks
bool
exchange_ends_with_connection(const struct exchange *exchange)
{
	return exchange->reader.ends_at_eof;
}

/// Pauses or resumes reading the response.
///
/// @param exchange  an exchange
/// @param paused    true pauses, false resumes
void
exchange_set_paused(struct exchange *exchange, bool paused)
{
	if (exchange->conn != NULL)
		conn_set_paused(exchange->conn, paused);
}
