/*
 * State of the HTTP server, shared by server.c, server_input.c, server_call.c,
 * server_clients.c and server_timeouts.c.
 */
#ifndef GODWITVALE_HTTP_SERVER_STATE_H
#define GODWITVALE_HTTP_SERVER_STATE_H

#include <gio/gio.h>

#include "godwitvale/http/buffer.h"
#include "godwitvale/http/conn.h"
#include "godwitvale/http/reader.h"
#include "godwitvale/http/server.h"

/// How long a caller may take to read the last response and close its side of
/// the connection, in microseconds.
#define SERVER_LINGER (1 * USEC_PER_SEC)

/// Unsent bytes that are buffered for a caller while memory is short.
#define SERVER_UNSENT_BYTES_LOW (16 * 1024)
/// Memory of a connection without a request, and of a request in progress apart
/// from what is counted by length, in bytes.
#define SERVER_CALLER_BYTES 2048
#define SERVER_CALL_BYTES 4096

struct http_server {
	struct http_server_options options;
	struct http_limits limits;
	GSocket *socket;
	guint listen_source; /// GLib source id; 0: connections wait
	guint pause_source;  /// ends a pause of polling; 0: there is none
	guint timeout_timer;
	GHashTable *callers;           /// struct caller * as a set
	struct client_limits *clients; /// that of the options, or its own
	size_t socket_buffer;          /// of the next socket, in bytes; 0: any
	unsigned open_calls;
	uint64_t n_accepted; /// connections so far
	bool keep_alive_disabled;
	bool closing; /// http_server_free() is running
};

/// A caller's connection.
struct caller {
	struct http_server *server;
	struct conn *conn;
	uint64_t number;     /// of the connection, from 1
	size_t socket_bytes; /// that the kernel may take for its buffers
	struct http_reader reader;
	struct buffer body;
	struct buffer pipelined;
	struct client_hold hold; /// of the connection and the head
	uint32_t client;         /// handle in the account
	unsigned refusal; /// status that a reader callback refuses with; or 0
	guint resume_source; /// processes further requests; 0: not scheduled
	size_t discarded;    /// bytes read since it was refused
	usec_t accepted_at;
	usec_t waiting_since;   /// end of its last request, or its acceptance
	struct http_call *call; /// request in progress; NULL between requests
	usec_t deadline;       /// of the current read; USEC_NEVER during a call
	usec_t stall_deadline; /// for taking another byte of finished responses
	uint64_t acked;        /// bytes that it had taken when that was set
	usec_t begun_at;       /// when the request's first byte was read
	usec_t probe_due;      /// next probe; USEC_NEVER: none is due
	unsigned n_probes;     /// sent during the present call
	bool is_delivering;    /// it may not have all of finished responses
	bool lingering;        /// waits for the caller to close
	bool is_yielding;      /// closes after its next response
	bool input_ended;      /// the caller has closed its sending side
	bool processing_input; /// process_input() is running
	size_t unparsed; /// bytes after the last request; while that is running
};

/// One request and its response.
struct http_call {
	struct caller *caller; /// NULL: disconnected
	struct http_server *server;
	struct http_head head;
	struct buffer body;
	struct client_hold hold; /// of the head and the request's state
	usec_t begun_at;         /// when its first byte was read
	usec_t received_at;      /// when its last byte was read
	http_disconnect_handler disconnect_handler;
	void *disconnect_owner;
	http_drain_handler drain_handler; /// NULL: none
	void *drain_owner;
	bool has_head; /// the response has begun
	bool chunked;
	bool close; /// the connection closes after the response
	bool is_head_request;
};

/* server.c */
void server_report_loss(
    const struct caller *caller, enum http_loss_cause cause);
void server_caller_free(struct caller *caller);
void server_start_linger(struct caller *caller);
void server_write_interim(struct caller *caller);
void server_start_probing(struct caller *caller);
void server_probe_caller(struct caller *caller);
void server_end_if_input_ended(struct caller *caller);
void server_start_listening(struct http_server *server);

/* server_input.c */
void server_init_reader(struct caller *caller);
void server_on_received(void *owner, const char *data, size_t len);
void server_read_next(struct caller *caller);
bool server_has_later_input(const struct caller *caller);
void server_refuse_request(struct caller *caller, unsigned status);

/* server_clients.c */
void server_add_client(struct caller *caller);
void server_update_client(struct caller *caller);
void server_remove_client(struct caller *caller);
void server_discard_input(struct caller *caller);
void server_note_limit(const struct http_server *server, enum http_limit limit);
void server_update_socket_buffers(struct http_server *server);
void server_enforce_memory(struct http_server *server);
bool server_close_waiting(struct http_server *server);
bool server_is_full(const struct http_server *server);

/* server_timeouts.c */
void server_await_delivery(struct caller *caller);
void server_check_timeouts(struct http_server *server);

#endif
