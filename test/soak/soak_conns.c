/*
 * Connections of the soak's callers. Callers keep them open and use them until
 * the instance closes them or its process is gone.
 */
#include "test/soak/soak.h"

#include <string.h>

#include "godwitvale/http/conn.h"
#include "godwitvale/http/reader.h"

/// Longest accepted response head, in bytes.
#define HEAD_BYTES_MAX 65536
/// Bytes of a response after which a slow caller pauses.
#define PAUSE_BYTES 8192

/// One connection to an instance.
struct soak_conn {
	struct soak *soak;
	struct conn *conn;
	struct http_reader reader;
	struct soak_call *call; /// whose response is due; NULL: idle
	int entry;
	unsigned n_requests;
	uint64_t whole_at; /// sent bytes with which the request is whole
	usec_t idle_since;
	usec_t resume_at; /// reading is paused until then; 0: it isn't
	bool sending_closed;
};

static void
on_head(void *owner, struct http_reader *reader)
{
	struct soak_conn *conn = owner;

	soak_call_head(conn->call, &reader->head);
}

static void
on_body(void *owner, const char *data, size_t len)
{
	struct soak_conn *conn = owner;
	struct soak_call *call = conn->call;

	soak_call_body(call, data, len);
	if (call->read_pause == 0 || call->body_len < PAUSE_BYTES)
		return;
	conn->resume_at = g_get_monotonic_time() + call->read_pause;
	call->read_pause = 0;
	conn_set_paused(conn->conn, true);
}

static const struct http_reader_vtable reader_vtable = {.head = on_head,
    .body = on_body};

/// Releases a connection, which carries no request any more.
static void
release(struct soak_conn *conn, bool abort)
{
	g_ptr_array_remove_fast(conn->soak->conns, conn);
	http_reader_clear(&conn->reader);
	if (abort)
		conn_abort(conn->conn);
	else
		conn_close(conn->conn);
	g_free(conn);
}

/// Detaches the request from its connection.
static struct soak_call *
detach_call(struct soak_conn *conn)
{
	struct soak_call *call = conn->call;

	call->sent_whole = conn_sent_bytes(conn->conn) >= conn->whole_at;
	call->conn = NULL;
	conn->call = NULL;
	return call;
}

/// Hands over the end of a response, and keeps the connection if it may carry
/// another request.
static void
finish_response(struct soak_conn *conn, bool keep)
{
	struct soak_call *call = detach_call(conn);

	conn->idle_since = g_get_monotonic_time();
	if (!keep || conn->sending_closed)
		release(conn, false);
	soak_call_end(call, true, "complete");
}

static void
on_received(void *owner, const char *data, size_t len)
{
	struct soak_conn *conn = owner;
	size_t used;

	if (conn->call == NULL) {
		if (len > 9 && memcmp(data, "HTTP/1.1 2", 10) == 0)
			soak_fail(conn->soak, "%s: response to no request",
			    conn->soak->entries[conn->entry].name);
		release(conn, false);
		return;
	}
	used = http_reader_feed(&conn->reader, data, len);
	if (conn->reader.progress == HTTP_INVALID) {
		struct soak_call *call = detach_call(conn);

		soak_fail(conn->soak, "%s: no HTTP response", call->id);
		release(conn, true);
		soak_call_end(call, false, "invalid");
	} else if (conn->reader.progress == HTTP_COMPLETE) {
		finish_response(
		    conn, conn->reader.head.keep_alive && used == len);
	}
}

static void
on_ended(void *owner, enum conn_end end)
{
	static const char *const names[] = {[CONN_END_ORDERLY] = "closed",
	    [CONN_END_RESET] = "reset",
	    [CONN_END_REFUSED] = "refused"};
	struct soak_conn *conn = owner;
	bool complete = conn->call != NULL && end == CONN_END_ORDERLY &&
	    http_reader_handle_eof(&conn->reader);
	struct soak_call *call = conn->call == NULL ? NULL : detach_call(conn);

	release(conn, false);
	if (call != NULL)
		soak_call_end(call, complete, names[end]);
}

/// Closes the sending side, if the caller does so and the request is sent.
static void
close_sending(struct soak_conn *conn)
{
	if (conn->call == NULL || !conn->call->closes_sending ||
	    conn_sent_bytes(conn->conn) < conn->whole_at)
		return;
	conn->sending_closed = true;
	conn_shutdown_write(conn->conn);
}

static void
on_drained(void *owner)
{
	close_sending(owner);
}

static const struct conn_vtable vtable = {.received = on_received,
    .ended = on_ended,
    .drained = on_drained};

/// Draws one of the idle connections to an instance.
///
/// @return NULL when there is none
static struct soak_conn *
draw_idle(struct soak *soak, int entry)
{
	/* Callers trust an idle connection for four fifths of the limit. */
	usec_t idle_from =
	    g_get_monotonic_time() - soak_config_idle_timeout(soak) * 4 / 5;
	struct soak_conn *drawn = NULL;
	int n = 0;

	for (guint i = 0; i < soak->conns->len; i++) {
		struct soak_conn *conn = soak->conns->pdata[i];

		if (conn->entry != entry || conn->call != NULL ||
		    conn->idle_since < idle_from ||
		    !conn_is_reusable(conn->conn))
			continue;
		if (g_rand_int_range(soak->call_rand, 0, ++n) == 0)
			drawn = conn;
	}
	return drawn;
}

/// Opens a connection to an instance.
static struct soak_conn *
open_conn(struct soak *soak, int entry)
{
	struct soak_conn *conn = g_new0(struct soak_conn, 1);
	const struct http_reader_options options = {.vtable = &reader_vtable,
	    .owner = conn,
	    .parse_responses = true,
	    .max_head = HEAD_BYTES_MAX,
	    .max_body = 2 * SOAK_LARGE_BYTES};

	conn->soak = soak;
	conn->entry = entry;
	http_reader_init(&conn->reader, &options);
	conn->conn = conn_open(
	    NULL, soak->entries[entry].ip, soak->ports[0], &vtable, conn);
	g_ptr_array_add(soak->conns, conn);
	return conn;
}

/// Sends a request on a kept connection to its instance, or on a new one.
///
/// @param call     the request; soak_call_end() is called for it later
/// @param request  its bytes
void
soak_conns_send(struct soak_call *call, const GString *request)
{
	struct soak_conn *conn = draw_idle(call->soak, call->entry);

	if (conn == NULL)
		conn = open_conn(call->soak, call->entry);
	else
		http_reader_start_message(&conn->reader);
	call->kept = conn->n_requests++ > 0;
	call->conn = conn;
	conn->call = call;
	conn->whole_at = conn_sent_bytes(conn->conn) + request->len;
	conn_write(conn->conn, request->str, request->len);
	close_sending(conn);
}

/// Closes a connection within a response, as its caller has gone.
///
/// @param conn  with a request; invalid afterwards
void
soak_conns_cancel(struct soak_conn *conn)
{
	struct soak_call *call = detach_call(conn);

	call->gave_up = true;
	release(conn, true);
	soak_call_end(call, false, "left");
}

/// Resumes reading where the pause of a slow caller is over.
///
/// @param soak  the run
void
soak_conns_tick(struct soak *soak)
{
	usec_t now = g_get_monotonic_time();

	for (guint i = 0; i < soak->conns->len; i++) {
		struct soak_conn *conn = soak->conns->pdata[i];

		if (conn->resume_at == 0 || now < conn->resume_at)
			continue;
		conn->resume_at = 0;
		conn_set_paused(conn->conn, false);
	}
}

/// Closes all connections, without a call of soak_call_end().
///
/// @param soak  the run
void
soak_conns_free(struct soak *soak)
{
	for (guint i = soak->conns->len; i > 0; i--)
		release(soak->conns->pdata[i - 1], true);
	g_ptr_array_unref(soak->conns);
}
