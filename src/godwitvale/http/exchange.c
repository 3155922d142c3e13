/* One request to one upstream, over a connection of the pool. */
#include "godwitvale/http/exchange.h"

#include <string.h>

#include "godwitvale/http/reader.h"

/// Longest head of an answer, in bytes.
#define EXCHANGE_HEAD_BYTES_MAX 65536
/// Longest body of an answer, in bytes.
#define EXCHANGE_BODY_BYTES_MAX ((uint64_t)1 << 32)
/// Answers to earlier requests that are skipped before giving up.
#define EXCHANGE_SKIPS_MAX 2
/// Kept connections are used until this long before the upstream closes
/// them, in milliseconds: a request must not cross the close on its way.
#define EXCHANGE_IDLE_MARGIN_MS 500
/// How long a connection is kept where the upstream names no time, in
/// milliseconds: it names whole seconds only, so it may close within one.
#define EXCHANGE_IDLE_UNNAMED_MS 300

struct exchange {
	struct exchange_options options;
	char *address;
	char *echo_value;
	struct conn *conn;
	struct http_reader reader;
	usec_t keep_span; /// how long the upstream keeps it open when idle
	unsigned skips;
	bool reused;
	bool asks_head; /// answers have no body
	bool skipping;  /// the current answer isn't ours
	bool has_head;
	bool dirty; /// more came than one answer
	bool dead;  /// cancelled from inside a callback
	int depth;  /// callbacks under way
};

static const char *const failure_names[] = {
    [EXCHANGE_UNREACHABLE] = "unreachable",
    [EXCHANGE_NO_ANSWER] = "no-answer",
    [EXCHANGE_CUT] = "cut",
    [EXCHANGE_GARBLED] = "garbled",
};

/// @param failure  of an exchange
/// @return one word
const char *
exchange_failure_name(enum exchange_failure failure)
{
	return failure_names[failure];
}

/// Frees an exchange whose connection was given back.
static void
exchange_free(struct exchange *exchange)
{
	if (exchange->depth > 0) {
		exchange->dead = true;
		return;
	}
	http_reader_clear(&exchange->reader);
	g_free(exchange->address);
	g_free(exchange->echo_value);
	g_free(exchange);
}

/// Gives the connection up.
static void
drop_conn(struct exchange *exchange, bool abort)
{
	if (exchange->conn == NULL)
		return;
	pool_drop(
	    exchange->options.pool, exchange->address, exchange->conn, abort);
	exchange->conn = NULL;
}

/// Ends the exchange without a complete answer.
static void
fail(struct exchange *exchange, enum exchange_failure failure)
{
	const struct exchange_vtable *vtable = exchange->options.vtable;
	void *owner = exchange->options.owner;

	if (exchange->dead)
		return;
	drop_conn(exchange, true);
	exchange->dead = true;
	vtable->failed(owner, failure);
}

/// Reads how long the upstream keeps an idle connection open.
static usec_t
keep_span_of(const struct http_head *head)
{
	const char *value = http_head_get(head, "Keep-Alive");
	const char *timeout = value == NULL ? NULL : strstr(value, "timeout=");
	guint64 seconds;

	if (timeout == NULL)
		return EXCHANGE_IDLE_UNNAMED_MS * USEC_PER_MSEC;
	seconds = g_ascii_strtoull(timeout + strlen("timeout="), NULL, 10);
	if (seconds == 0)
		return 0;
	return (usec_t)MIN(seconds, 3600) * USEC_PER_SEC -
	    EXCHANGE_IDLE_MARGIN_MS * USEC_PER_MSEC;
}

/// Reader callback: a head is complete.
static void
on_head(void *owner, struct http_reader *reader)
{
	struct exchange *exchange = owner;
	const char *echo;

	exchange->skipping = false;
	if (reader->head.status < 200) {
		exchange->skipping = true;
		return;
	}
	if (exchange->options.echo_field != NULL) {
		echo =
		    http_head_get(&reader->head, exchange->options.echo_field);
		if (echo != NULL && strcmp(echo, exchange->echo_value) != 0) {
			exchange->skipping = true;
			exchange->dirty = true;
			exchange->skips++;
			return;
		}
	}
	exchange->has_head = true;
	exchange->keep_span = keep_span_of(&reader->head);
	exchange->options.vtable->head(exchange->options.owner, &reader->head);
}

/// Reader callback: bytes of a body.
static void
on_body(void *owner, const char *data, size_t len)
{
	struct exchange *exchange = owner;

	if (exchange->skipping || exchange->dead)
		return;
	exchange->options.vtable->body(exchange->options.owner, data, len);
}

static const struct http_reader_vtable reader_vtable = {
    .head = on_head,
    .body = on_body,
};

/// The answer is complete: keeps the connection if it can be used again.
static void
finish(struct exchange *exchange)
{
	const struct exchange_vtable *vtable = exchange->options.vtable;
	void *owner = exchange->options.owner;
	bool keep = exchange->reader.head.keep_alive && !exchange->dirty &&
	    !exchange->reader.ends_with_stream && exchange->keep_span > 0 &&
	    conn_unsent(exchange->conn) == 0;

	if (keep) {
		pool_keep(exchange->options.pool, exchange->address,
		    exchange->conn,
		    g_get_monotonic_time() + exchange->keep_span);
		exchange->conn = NULL;
	} else {
		drop_conn(exchange, false);
	}
	exchange->dead = true;
	vtable->complete(owner);
}

/// The current message has been read whole.
///
/// @return false when nothing more is read
static bool
on_message(struct exchange *exchange, bool more_bytes)
{
	if (!exchange->skipping) {
		exchange->dirty = exchange->dirty || more_bytes;
		finish(exchange);
		return false;
	}
	if (exchange->skips > EXCHANGE_SKIPS_MAX ||
	    !exchange->reader.head.keep_alive) {
		fail(exchange, EXCHANGE_NO_ANSWER);
		return false;
	}
	http_reader_next(&exchange->reader);
	exchange->reader.no_body = exchange->asks_head;
	return true;
}

/// Connection callback: bytes have come.
static void
on_received(void *owner, const char *data, size_t len)
{
	struct exchange *exchange = owner;

	exchange->depth++;
	while (len > 0 && !exchange->dead) {
		size_t taken = http_reader_feed(&exchange->reader, data, len);

		data += taken;
		len -= taken;
		if (exchange->dead)
			break;
		if (exchange->reader.progress == HTTP_BROKEN)
			fail(exchange,
			    exchange->has_head ? EXCHANGE_CUT
					       : EXCHANGE_GARBLED);
		else if (exchange->reader.progress == HTTP_COMPLETE &&
		    !on_message(exchange, len > 0))
			break;
	}
	exchange->depth--;
	if (exchange->dead)
		exchange_free(exchange);
}

/// Connection callback: it has ended.
static void
on_ended(void *owner, enum conn_end end)
{
	struct exchange *exchange = owner;

	exchange->depth++;
	if (end == CONN_END_ORDERLY && http_reader_end(&exchange->reader) &&
	    !exchange->skipping)
		finish(exchange);
	else if (exchange->has_head)
		fail(exchange, EXCHANGE_CUT);
	else if (conn_sent(exchange->conn) == 0 && !exchange->reused)
		fail(exchange, EXCHANGE_UNREACHABLE);
	else
		fail(exchange, EXCHANGE_NO_ANSWER);
	exchange->depth--;
	if (exchange->dead)
		exchange_free(exchange);
}

static const struct conn_vtable conn_vtable = {
    .received = on_received,
    .ended = on_ended,
};

/// Starts an exchange.
///
/// @param options  how; head and body are written out before it returns
/// @return the exchange, until it is complete, has failed or is cancelled
struct exchange *
exchange_start(const struct exchange_options *options)
{
	struct exchange *exchange = g_new0(struct exchange, 1);
	const struct http_reader_options reader_options = {
	    .vtable = &reader_vtable,
	    .owner = exchange,
	    .responses = true,
	    .max_head = EXCHANGE_HEAD_BYTES_MAX,
	    .max_body = EXCHANGE_BODY_BYTES_MAX,
	};
	struct pool_lease lease;
	GString *bytes = g_string_new(NULL);

	exchange->options = *options;
	exchange->address = g_strdup(options->address);
	exchange->echo_value = g_strdup(options->echo_value);
	http_reader_init(&exchange->reader, &reader_options);
	exchange->asks_head = strcmp(options->head->method, "HEAD") == 0;
	exchange->reader.no_body = exchange->asks_head;
	lease =
	    pool_take(options->pool, options->address, &conn_vtable, exchange);
	exchange->conn = lease.conn;
	exchange->reused = lease.reused;
	http_head_write(options->head, bytes);
	g_string_append_len(bytes, options->body, (gssize)options->body_len);
	conn_write(exchange->conn, bytes->str, bytes->len);
	g_string_free(bytes, true);
	return exchange;
}

/// Ends an exchange; the upstream sees its connection reset.
///
/// @param exchange  the exchange; nothing more is told of it
void
exchange_cancel(struct exchange *exchange)
{
	drop_conn(exchange, true);
	exchange->dead = true;
	exchange_free(exchange);
}

/// Whether a byte of the request may have left for the upstream.
///
/// @param exchange  an exchange
/// @return false only when it certainly has not run
bool
exchange_may_have_left(const struct exchange *exchange)
{
	return exchange->reused || exchange->conn == NULL ||
	    conn_sent(exchange->conn) > 0;
}

/// Holds the answer back, or lets it go on.
///
/// @param exchange  the exchange
/// @param paused    whether to read no more
void
exchange_pause(struct exchange *exchange, bool paused)
{
	if (exchange->conn != NULL)
		conn_pause(exchange->conn, paused);
}
