/* The server side of HTTP: connections of callers and their requests. */
#include "godwitvale/http/server.h"

#include <errno.h>
#include <string.h>
#include <unistd.h>

#include <gio/gio.h>
#include <glib-unix.h>
#include <sys/socket.h>

#include "godwitvale/http/conn.h"
#include "godwitvale/http/reader.h"

/// Connections that the kernel holds until they are accepted.
#define SERVER_BACKLOG 512
/// Bytes of further requests that are kept while one is being answered.
#define SERVER_PIPELINE_BYTES 65536
/// Interval at which timeouts are looked at, in milliseconds.
#define SERVER_SWEEP_MS 250
/// How long a caller may take to read an answer and close, once this side
/// has closed.
#define SERVER_LINGER (1 * USEC_PER_SEC)

struct http_server {
	struct http_server_options options;
	struct http_limits limits;
	GSocket *socket;
	guint source;
	guint sweep;
	GHashTable *callers; /// struct caller * as a set
	unsigned open_calls;
	bool leaving;
};

/// One connection of a caller.
struct caller {
	struct http_server *server;
	struct conn *conn;
	struct http_reader reader;
	GByteArray *body;
	GByteArray *pipelined;
	struct http_call *call; /// being answered; NULL between requests
	usec_t deadline;        /// for what it is to do next
	usec_t began_at;        /// first byte of the current request
	bool lingering;         /// answered for the last time
	bool feeding;           /// inside of feed()
};

/// One request and its answer.
struct http_call {
	struct caller *caller; /// NULL once it has gone
	struct http_server *server;
	struct http_head head;
	GByteArray *body;
	usec_t began_at;
	http_gone gone;
	void *gone_owner;
	http_drained drained; /// NULL: nobody waits for it
	void *drained_owner;
	bool chunked;
	bool close; /// the connection closes after the answer
	bool headless;
};

static void feed(struct caller *caller, const char *data, size_t len);

/// Frees a caller; its call lives on without it.
static void
caller_free(struct caller *caller)
{
	g_hash_table_remove(caller->server->callers, caller);
	if (caller->conn != NULL)
		conn_close(caller->conn);
	http_reader_clear(&caller->reader);
	g_byte_array_unref(caller->body);
	g_byte_array_unref(caller->pipelined);
	g_free(caller);
}

/// The caller's connection is of no more use: tells the call, frees it.
static void
caller_gone(struct caller *caller)
{
	struct http_call *call = caller->call;
	http_gone gone = NULL;
	void *owner = NULL;

	if (call != NULL) {
		gone = call->gone;
		owner = call->gone_owner;
		call->caller = NULL;
		call->gone = NULL;
	}
	if (caller->feeding) {
		/* feed() frees it on its way out. */
		conn_close(caller->conn);
		caller->conn = NULL;
		caller->call = NULL;
	} else {
		caller_free(caller);
	}
	if (gone != NULL)
		gone(owner);
}

/// Closes in order: the caller reads the answer, then closes its side.
static void
linger(struct caller *caller)
{
	caller->lingering = true;
	caller->deadline = g_get_monotonic_time() + SERVER_LINGER;
	if (conn_unsent(caller->conn) == 0)
		conn_finish(caller->conn);
}

/// Connection callback: all that was written has left.
static void
on_drained(void *owner)
{
	struct caller *caller = owner;

	struct http_call *call = caller->call;
	http_drained drained;

	if (caller->lingering)
		conn_finish(caller->conn);
	if (call == NULL || call->drained == NULL)
		return;
	drained = call->drained;
	call->drained = NULL;
	drained(call->drained_owner);
}

/// Connection callback: it has ended.
static void
on_ended(void *owner, enum conn_end end)
{
	(void)end;
	caller_gone(owner);
}

/// Refuses what was read and closes.
static void
refuse(struct caller *caller, unsigned status)
{
	struct http_head head;
	GString *bytes = g_string_new(NULL);

	http_head_init(&head);
	head.status = status;
	http_head_add(&head, "Content-Length", "0");
	http_head_add(&head, "Connection", "close");
	http_head_write(&head, bytes);
	conn_write(caller->conn, bytes->str, bytes->len);
	g_string_free(bytes, true);
	http_head_clear(&head);
	caller->server->options.vtable->refused(
	    caller->server->options.owner, status);
	linger(caller);
}

/// @return the status by which a fault is refused
static unsigned
status_of_fault(enum http_fault fault)
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

/// Reader callback: a head is complete.
static void
on_head(void *owner, struct http_reader *reader)
{
	static const char go_on[] = "HTTP/1.1 100 Continue\r\n\r\n";
	struct caller *caller = owner;

	if (!reader->head.http10 &&
	    http_head_has_token(&reader->head, "Expect", "100-continue"))
		conn_write(caller->conn, go_on, strlen(go_on));
}

/// Reader callback: bytes of a body.
static void
on_body(void *owner, const char *data, size_t len)
{
	struct caller *caller = owner;

	g_byte_array_append(caller->body, (const guint8 *)data, (guint)len);
}

static const struct http_reader_vtable reader_vtable = {
    .head = on_head,
    .body = on_body,
};

/// Hands a whole request on.
static void
hand_on(struct caller *caller)
{
	struct http_server *server = caller->server;
	struct http_call *call = g_new0(struct http_call, 1);

	call->caller = caller;
	call->server = server;
	call->head = caller->reader.head;
	http_head_init(&caller->reader.head);
	call->body = caller->body;
	caller->body = g_byte_array_new();
	call->began_at = caller->began_at;
	call->close = !call->head.keep_alive || server->leaving;
	call->headless = strcmp(call->head.method, "HEAD") == 0;
	caller->call = call;
	caller->deadline = USEC_NEVER;
	server->open_calls++;
	server->options.vtable->request(server->options.owner, call);
}

/// Keeps bytes of a later request until the current one is answered.
static void
keep_pipelined(struct caller *caller, const char *data, size_t len)
{
	g_byte_array_append(
	    caller->pipelined, (const guint8 *)data, (guint)len);
	if (caller->pipelined->len >= SERVER_PIPELINE_BYTES)
		conn_pause(caller->conn, true);
}

/// Takes bytes of a caller.
static void
feed(struct caller *caller, const char *data, size_t len)
{
	caller->feeding = true;
	while (len > 0 && caller->conn != NULL && !caller->lingering) {
		size_t taken;

		if (caller->call != NULL) {
			keep_pipelined(caller, data, len);
			break;
		}
		if (caller->reader.progress == HTTP_AT_START &&
		    caller->reader.head_bytes->len == 0) {
			caller->began_at = g_get_monotonic_time();
			caller->deadline = caller->began_at +
			    caller->server->limits.head_timeout;
		}
		taken = http_reader_feed(&caller->reader, data, len);
		data += taken;
		len -= taken;
		if (caller->reader.progress == HTTP_IN_BODY)
			caller->deadline = g_get_monotonic_time() +
			    caller->server->limits.idle_timeout;
		if (caller->reader.progress == HTTP_BROKEN)
			refuse(caller, status_of_fault(caller->reader.fault));
		else if (caller->reader.progress == HTTP_COMPLETE)
			hand_on(caller);
	}
	caller->feeding = false;
	if (caller->conn == NULL)
		caller_free(caller);
}

/// Connection callback: bytes have come.
static void
on_received(void *owner, const char *data, size_t len)
{
	feed(owner, data, len);
}

static const struct conn_vtable conn_vtable = {
    .received = on_received,
    .ended = on_ended,
    .drained = on_drained,
};

/// Accepts a connection.
static void
accept_caller(struct http_server *server, int fd)
{
	struct caller *caller = g_new0(struct caller, 1);
	const struct http_reader_options options = {
	    .vtable = &reader_vtable,
	    .owner = caller,
	    .max_head = server->limits.max_head,
	    .max_body = server->limits.max_body,
	};

	caller->server = server;
	caller->body = g_byte_array_new();
	caller->pipelined = g_byte_array_new();
	caller->deadline = g_get_monotonic_time() + server->limits.idle_timeout;
	http_reader_init(&caller->reader, &options);
	caller->conn = conn_adopt(fd, &conn_vtable, caller);
	g_hash_table_add(server->callers, caller);
}

/// Loop callback: connections wait to be accepted.
static gboolean
on_acceptable(gint fd, GIOCondition condition, gpointer data)
{
	struct http_server *server = data;

	(void)condition;
	while (
	    g_hash_table_size(server->callers) < server->limits.max_callers) {
		int peer =
		    accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (peer < 0)
			return G_SOURCE_CONTINUE;
		accept_caller(server, peer);
	}
	return G_SOURCE_CONTINUE;
}

/// Ends callers that have taken too long.
static gboolean
on_sweep(gpointer data)
{
	struct http_server *server = data;
	usec_t now = g_get_monotonic_time();
	GList *callers = g_hash_table_get_keys(server->callers);

	for (GList *l = callers; l != NULL; l = l->next) {
		struct caller *caller = l->data;

		if (now < caller->deadline || caller->call != NULL)
			continue;
		if (caller->reader.progress != HTTP_AT_START &&
		    !caller->lingering)
			refuse(caller, 408);
		else
			caller_free(caller);
	}
	g_list_free(callers);
	return G_SOURCE_CONTINUE;
}

/// Opens the listening socket.
static GSocket *
listen_on(const char *ip, uint16_t port, GError **error)
{
	GSocketAddress *address =
	    g_inet_socket_address_new_from_string(ip, port);
	GSocket *socket = NULL;

	if (address == NULL) {
		g_set_error(error, G_IO_ERROR, G_IO_ERROR_INVALID_ARGUMENT,
		    "%s is no address", ip);
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

/// Starts to listen.
///
/// @param options  copied, but for the address
/// @param error    set when the address can't be listened on
/// @return the server, or NULL
struct http_server *
http_server_new(const struct http_server_options *options, GError **error)
{
	struct http_server *server;
	GSocket *socket = listen_on(options->ip, options->port, error);

	if (socket == NULL)
		return NULL;
	server = g_new0(struct http_server, 1);
	server->options = *options;
	server->limits = options->limits;
	server->socket = socket;
	server->callers = g_hash_table_new(NULL, NULL);
	server->source = g_unix_fd_add(
	    g_socket_get_fd(socket), G_IO_IN, on_acceptable, server);
	server->sweep = g_timeout_add(SERVER_SWEEP_MS, on_sweep, server);
	return server;
}

/// Stops to listen and cuts every caller.
///
/// @param server  the server
void
http_server_free(struct http_server *server)
{
	GList *callers = g_hash_table_get_keys(server->callers);

	for (GList *l = callers; l != NULL; l = l->next)
		caller_gone(l->data);
	g_list_free(callers);
	g_source_remove(server->source);
	g_source_remove(server->sweep);
	g_object_unref(server->socket);
	g_hash_table_unref(server->callers);
	g_free(server);
}

/// Sets the limits for requests from here on.
///
/// @param server  the server
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

/// From here on each answer is the last on its connection. Connections are
/// still accepted: callers are sent here until the balancer has noticed.
///
/// @param server  the server
void
http_server_set_leaving(struct http_server *server)
{
	server->leaving = true;
}

/// @param server  the server
/// @return connections of callers
unsigned
http_server_callers(const struct http_server *server)
{
	return g_hash_table_size(server->callers);
}

/// @param server  the server
/// @return requests that are being answered
unsigned
http_server_open_calls(const struct http_server *server)
{
	return server->open_calls;
}

/// @param call  a call
/// @return the request's head
const struct http_head *
http_call_head(const struct http_call *call)
{
	return &call->head;
}

/// @param call  a call
/// @param len   set to its length in bytes
/// @return the request's body
const char *
http_call_body(const struct http_call *call, size_t *len)
{
	*len = call->body->len;
	return (const char *)call->body->data;
}

/// @param call  a call
/// @return when the first byte of the request was read
usec_t
http_call_begun_at(const struct http_call *call)
{
	return call->began_at;
}

/// Sets who is told when the caller goes before its answer is complete.
///
/// @param call   a call
/// @param gone   told once
/// @param owner  passed to it
void
http_call_on_gone(struct http_call *call, http_gone gone, void *owner)
{
	call->gone = gone;
	call->gone_owner = owner;
}

/// Sets who is told when the caller has taken all that was written so far.
///
/// @param call     a call with bytes that the caller hasn't taken
/// @param drained  told once, unless the caller goes
/// @param owner    passed to it
void
http_call_on_drained(struct http_call *call, http_drained drained, void *owner)
{
	call->drained = drained;
	call->drained_owner = owner;
}

/// Frees a call that was answered, or whose caller has gone.
static void
call_free(struct http_call *call)
{
	call->server->open_calls--;
	http_head_clear(&call->head);
	g_byte_array_unref(call->body);
	g_free(call);
}

/// Goes on with the connection after an answer.
static void
next_request(struct caller *caller, bool close)
{
	GByteArray *kept = caller->pipelined;

	caller->call = NULL;
	if (close) {
		linger(caller);
		return;
	}
	http_reader_next(&caller->reader);
	caller->deadline =
	    g_get_monotonic_time() + caller->server->limits.idle_timeout;
	conn_pause(caller->conn, false);
	if (caller->feeding || kept->len == 0)
		return;
	caller->pipelined = g_byte_array_new();
	feed(caller, (const char *)kept->data, kept->len);
	g_byte_array_unref(kept);
}

/// Ends a call whose answer was written whole.
static void
finish(struct http_call *call)
{
	struct caller *caller = call->caller;
	bool close = call->close;

	call_free(call);
	if (caller != NULL)
		next_request(caller, close);
}

/// Writes the head of an answer with the fields that frame it.
static void
write_head(struct http_call *call, const struct http_head *head,
    const char *framing, const char *value)
{
	GString *bytes = g_string_new(NULL);
	struct http_head own;

	http_head_init(&own);
	own.status = head->status;
	http_head_copy_end_to_end(&own, head);
	if (framing != NULL)
		http_head_add(&own, framing, value);
	if (call->server->leaving)
		call->close = true;
	if (call->close)
		http_head_add(&own, "Connection", "close");
	http_head_write(&own, bytes);
	conn_write(call->caller->conn, bytes->str, bytes->len);
	g_string_free(bytes, true);
	http_head_clear(&own);
}

/// Answers in one piece and ends the call.
///
/// @param call  a call; gone afterwards
/// @param head  status and fields; those that frame it are added
/// @param body  bytes
/// @param len   how many
void
http_call_answer(struct http_call *call, const struct http_head *head,
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
		if (!call->headless && len > 0)
			conn_write(call->caller->conn, body, len);
	}
	finish(call);
}

/// Begins an answer whose length isn't known.
///
/// @param call  a call
/// @param head  status and fields; those that frame it are added
void
http_call_begin(struct http_call *call, const struct http_head *head)
{
	if (call->caller == NULL)
		return;
	call->chunked = !call->head.http10;
	if (!call->chunked)
		call->close = true;
	write_head(
	    call, head, call->chunked ? "Transfer-Encoding" : NULL, "chunked");
}

/// Writes bytes of an answer that was begun.
///
/// @param call  a call
/// @param data  bytes
/// @param len   how many
void
http_call_write(struct http_call *call, const char *data, size_t len)
{
	char size[32];
	struct conn *conn;

	if (call->caller == NULL || len == 0 || call->headless)
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

/// Ends an answer that was begun and is complete.
///
/// @param call  a call; gone afterwards
void
http_call_end(struct http_call *call)
{
	static const char last[] = "0\r\n\r\n";

	if (call->caller != NULL && call->chunked && !call->headless)
		conn_write(call->caller->conn, last, strlen(last));
	finish(call);
}

/// Breaks an answer off: the connection is reset, so that what was sent
/// can't look complete.
///
/// @param call  a call; gone afterwards
void
http_call_abort(struct http_call *call)
{
	struct caller *caller = call->caller;

	call->gone = NULL;
	call_free(call);
	if (caller == NULL)
		return;
	caller->call = NULL;
	if (!caller->feeding) {
		conn_abort(caller->conn);
		caller->conn = NULL;
		caller_free(caller);
		return;
	}
	conn_abort(caller->conn);
	caller->conn = NULL;
}

/// @param call  a call
/// @return bytes of the answer that the caller hasn't taken yet
size_t
http_call_unsent(const struct http_call *call)
{
	return call->caller == NULL ? 0 : conn_unsent(call->caller->conn);
}

/// @param call  a call
/// @return whether its caller has gone
bool
http_call_is_gone(const struct http_call *call)
{
	return call->caller == NULL;
}
