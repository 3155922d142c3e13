/*
 * One HTTP request with a deadline. Its response is buffered whole and passed
 * to a handler.
 */
#ifndef GODWITVALE_HTTP_FETCH_H
#define GODWITVALE_HTTP_FETCH_H

#include "godwitvale/core/time_defs.h"
#include "godwitvale/http/head.h"
#include "godwitvale/http/pool.h"

/// Longest accepted response body of a store or another instance, in bytes.
#define FETCH_BYTES_MAX (16 * 1024 * 1024)
/// Longest accepted response body of an upstream, in bytes: a report or the
/// outcome of a copy.
#define FETCH_UPSTREAM_BYTES_MAX (64 * 1024)

/// Outcome of a request.
struct fetch_response {
	unsigned status;              /// 0: no response, see `failure`
	const struct http_head *head; /// NULL: no response
	const char *body;
	size_t len;          /// length of the body in bytes
	const char *failure; /// reason as one word; NULL: success
	bool is_too_long;    /// the failure is a body longer than `max_body`
};

/// Receives the outcome of a request. The response is valid during the call.
typedef void (*fetch_handler)(
    void *owner, const struct fetch_response *response);

/// Request, upstream and handler of a fetch.
struct fetch_options {
	struct pool *pool;
	const char *address; /// IP:PORT
	const char *method;
	const char *target;
	const char *body; /// JSON, or NULL for a request without a body
	usec_t deadline;  /// on the monotonic clock
	bool needs_new_connection; /// never uses an idle connection
	size_t max_body;           /// longest accepted response body, in bytes
	fetch_handler handler; /// called once, unless the fetch is cancelled
	void *owner;
};

struct fetch;

struct fetch *fetch_start(const struct fetch_options *options);
void fetch_cancel(struct fetch *fetch);

#endif
