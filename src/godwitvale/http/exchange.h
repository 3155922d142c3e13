/*
 * One request to one upstream and its response. Callbacks receive the parts of
 * the response in order. When no complete response arrives, the exchange
 * reports the failure and whether the upstream may have received the request.
 */
#ifndef GODWITVALE_HTTP_EXCHANGE_H
#define GODWITVALE_HTTP_EXCHANGE_H

#include "godwitvale/http/head.h"
#include "godwitvale/http/pool.h"

/// Why an exchange ended without a complete response.
enum exchange_failure {
	EXCHANGE_UNREACHABLE = 1, /// no byte of the request was sent
	EXCHANGE_NO_ANSWER,       /// connection lost before the response's head
	EXCHANGE_CUT,             /// response is incomplete or its body invalid
	EXCHANGE_GARBLED,         /// received bytes are not an HTTP response
};

struct exchange;

/// Callbacks for the response. The last one is `complete` or `failed`; the
/// exchange must not be used after it.
struct exchange_vtable {
	void (*head)(void *owner, const struct http_head *head);
	void (*body)(void *owner, const char *data, size_t len);
	void (*complete)(void *owner);
	void (*failed)(void *owner, enum exchange_failure failure);
	/// Called right before the first byte of the request is sent, which may
	/// be within exchange_start(); may be NULL. Returns whether it may
	/// still be sent; if not, the exchange fails with EXCHANGE_UNREACHABLE.
	bool (*starting)(void *owner);
	/// Called with the head of a response that is skipped, because it isn't
	/// known to be this request's; may be NULL.
	void (*skipped)(void *owner, const struct http_head *head);
};

/// Request, upstream and callbacks of an exchange.
struct exchange_options {
	const struct exchange_vtable *vtable;
	void *owner;
	struct pool *pool;
	const char *address;          /// IP:PORT
	const struct http_head *head; /// with Content-Length if it has a body
	const char *body;
	size_t body_len;
	bool needs_new_connection; /// never uses an idle connection
	/// Name of a request field that responses repeat. NULL: not checked. A
	/// response with another value, and on a connection that has carried
	/// requests before also one without the field, may belong to an
	/// earlier request: it is skipped.
	const char *echo_field;
	/// Value of that field. NULL: the request doesn't have it, and is sent
	/// on a new connection, whose first response is its own.
	const char *echo_value;
};

struct exchange *exchange_start(const struct exchange_options *options);
void exchange_cancel(struct exchange *exchange);
void exchange_set_paused(struct exchange *exchange, bool paused);
bool exchange_ends_with_connection(const struct exchange *exchange);
bool exchange_may_have_sent(const struct exchange *exchange);

const char *exchange_failure_name(enum exchange_failure failure);

#endif
