/*
 * The server side of HTTP: listens, reads whole requests within limits, and
 * writes answers that can't look complete when they are not.
 */
#ifndef GODWITVALE_HTTP_SERVER_H
#define GODWITVALE_HTTP_SERVER_H

#include <stdbool.h>
#include <stdint.h>

#include "godwitvale/core/time_defs.h"
#include "godwitvale/http/head.h"

struct http_server;
struct http_call;

/// Told of requests.
struct http_server_vtable {
	/// A whole request was read. The call lives until it is ended or
	/// aborted, also when its caller has gone.
	void (*request)(void *owner, struct http_call *call);
	/// Bad input was refused; for counters and the log.
	void (*refused)(void *owner, unsigned status);
};

/// Told once when a caller has gone before its answer was complete.
typedef void (*http_gone)(void *owner);

/// Told once when a caller has taken all that was written.
typedef void (*http_drained)(void *owner);

/// Bounds on what a caller may send and how long it may take.
struct http_limits {
	size_t max_head;      /// bytes
	size_t max_body;      /// bytes
	usec_t head_timeout;  /// for a request to be read whole
	usec_t idle_timeout;  /// between requests
	unsigned max_callers; /// connections at a time
};

/// How a server is built.
struct http_server_options {
	const struct http_server_vtable *vtable;
	void *owner;
	const char *ip;
	uint16_t port;
	struct http_limits limits;
};

struct http_server *http_server_new(
    const struct http_server_options *options, GError **error);
void http_server_free(struct http_server *server);
void http_server_set_limits(
    struct http_server *server, const struct http_limits *limits);
void http_server_set_leaving(struct http_server *server);
unsigned http_server_callers(const struct http_server *server);
unsigned http_server_open_calls(const struct http_server *server);

const struct http_head *http_call_head(const struct http_call *call);
const char *http_call_body(const struct http_call *call, size_t *len);
usec_t http_call_begun_at(const struct http_call *call);
void http_call_on_drained(
    struct http_call *call, http_drained drained, void *owner);
void http_call_on_gone(struct http_call *call, http_gone gone, void *owner);
void http_call_answer(struct http_call *call, const struct http_head *head,
    const char *body, size_t len);
void http_call_begin(struct http_call *call, const struct http_head *head);
void http_call_write(struct http_call *call, const char *data, size_t len);
void http_call_end(struct http_call *call);
void http_call_abort(struct http_call *call);
size_t http_call_unsent(const struct http_call *call);
bool http_call_is_gone(const struct http_call *call);

#endif
