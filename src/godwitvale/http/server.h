/*
 * An HTTP server. It accepts connections of callers, reads whole requests
 * within limits, and writes responses. A response that breaks off is followed
 * by a connection reset, so that the caller can't mistake it for a complete
 * one.
 */
#ifndef GODWITVALE_HTTP_SERVER_H
#define GODWITVALE_HTTP_SERVER_H

#include <stdbool.h>
#include <stdint.h>

#include "godwitvale/core/client_limits.h"
#include "godwitvale/core/time_defs.h"
#include "godwitvale/http/head.h"

/// Default of http_limits.stall_timeout, in microseconds.
#define HTTP_STALL_TIMEOUT (30 * USEC_PER_SEC)

struct http_server;
struct http_call;

/// Why a caller's connection ended before the caller had all of a response.
enum http_loss_cause {
	HTTP_LOSS_CALLER_CLOSED = 1, /// the caller ended its sending side
	HTTP_LOSS_CALLER_RESET,      /// reset by the caller, or it is silent
	HTTP_LOSS_TIMEOUT,           /// the caller read too slowly
	HTTP_LOSS_SERVER_FREED,      /// the process ends
	HTTP_LOSS_ABORTED,           /// this process broke the response off
};

/// A caller's connection that ended before the caller had all of a response.
struct http_loss {
	enum http_loss_cause cause;
	uint64_t connection; /// its number, from 1
	bool has_call;       /// a response was due or in progress
	size_t unsent;       /// bytes that the kernel had not accepted
};

/// Limits on what callers use together, by what is done when one takes effect.
enum http_limit {
	HTTP_LIMIT_BODY_MEMORY = 1, /// dropped; its body was incomplete
	HTTP_LIMIT_HEAD_MEMORY,     /// dropped; its head was incomplete
	HTTP_LIMIT_PIPELINE_MEMORY, /// dropped; requests behind a call
	HTTP_LIMIT_UNREAD_MEMORY,   /// dropped; it doesn't read its responses
	HTTP_LIMIT_NO_MEMORY,       /// refused; its request doesn't fit now
	HTTP_LIMIT_BODY_TIME,       /// refused; its body came too slowly
	HTTP_LIMIT_CONNECTIONS,     /// closed in favour of a new connection
	HTTP_LIMIT_CONNECTIONS_IN_USE, /// the same, after its next response
	HTTP_LIMIT_ACCEPT,             /// no connection is accepted for a while
	HTTP_LIMIT_SOCKET_BUFFERS,     /// smaller for new connections
	HTTP_N_LIMITS
};

/// Callbacks of a server.
struct http_server_vtable {
	/// A whole request was read. The call stays valid until its response
	/// is finished or aborted, even if its caller disconnects.
	void (*request)(void *owner, struct http_call *call);
	/// An invalid, too large or too slow request was refused with this
	/// status. For counters and logs.
	void (*refused)(void *owner, unsigned status);
	/// A connection ended before its caller had all of a response; may be
	/// NULL. For counters and logs.
	void (*lost)(void *owner, const struct http_loss *loss);
	/// A limit on what callers use together has taken effect; may be NULL.
	/// For counters and logs.
	void (*limited)(void *owner, enum http_limit limit);
};

/// Called once if a caller disconnects before its response is complete.
typedef void (*http_disconnect_handler)(void *owner);

/// Called once when the kernel has accepted all bytes that were written.
typedef void (*http_drain_handler)(void *owner);

/// Limits on the size of requests, the time callers may take, and the number
/// of connections.
struct http_limits {
	size_t max_head;      /// bytes
	size_t max_body;      /// bytes
	usec_t head_timeout;  /// from the first byte to the end of a head
	usec_t idle_timeout;  /// between requests, and between reads of a body
	usec_t stall_timeout; /// for which a caller may take no byte of a
			      /// finished response
	unsigned max_callers;           /// simultaneous connections
	struct client_body_limits body; /// time for a body
	/// Requests are not refused, and connections don't wait, because of the
	/// memory that others use.
	bool admits_all;
};

/// Address, limits and callbacks of a server.
struct http_server_options {
	const struct http_server_vtable *vtable;
	void *owner;
	const char *ip;
	uint16_t port;
	struct http_limits limits;
	/// Account of the bytes that are held for callers, which several
	/// servers may share; must outlive them. NULL: one without a bound.
	struct client_limits *clients;
};

const char *http_loss_cause_name(enum http_loss_cause cause);
const char *http_limit_name(enum http_limit limit);

struct http_server *http_server_new(
    const struct http_server_options *options, GError **error);
void http_server_free(struct http_server *server);
void http_server_set_limits(
    struct http_server *server, const struct http_limits *limits);
void http_server_disable_keep_alive(struct http_server *server);
unsigned http_server_count_callers(const struct http_server *server);
unsigned http_server_count_open_calls(const struct http_server *server);
unsigned http_server_count_undelivered(const struct http_server *server);

const struct http_head *http_call_head(const struct http_call *call);
const char *http_call_body(const struct http_call *call, size_t *len);
usec_t http_call_begun_at(const struct http_call *call);
usec_t http_call_received_at(const struct http_call *call);
uint64_t http_call_connection(const struct http_call *call);
void http_call_on_drain(
    struct http_call *call, http_drain_handler handler, void *owner);
void http_call_on_disconnect(
    struct http_call *call, http_disconnect_handler handler, void *owner);
void http_call_respond(struct http_call *call, const struct http_head *head,
    const char *body, size_t len);
void http_call_start_response(
    struct http_call *call, const struct http_head *head);
void http_call_write_body(struct http_call *call, const char *data, size_t len);
void http_call_finish_response(struct http_call *call);
void http_call_abort(struct http_call *call);
size_t http_call_unsent_bytes(const struct http_call *call);
size_t http_call_buffer_max(const struct http_call *call, size_t usual);
struct client_limits *http_call_account(const struct http_call *call);
bool http_call_is_disconnected(const struct http_call *call);

#endif
