/*
 * One request to one upstream and its answer. It tells the answer's parts in
 * order, and whether the request may have been read when none comes.
 */
#ifndef GODWITVALE_HTTP_EXCHANGE_H
#define GODWITVALE_HTTP_EXCHANGE_H

#include "godwitvale/http/head.h"
#include "godwitvale/http/pool.h"

/// Why an exchange ended without a complete answer.
enum exchange_failure {
	EXCHANGE_UNREACHABLE = 1, /// not a byte of the request has left
	EXCHANGE_NO_ANSWER,       /// sent, and cut before the answer's head
	EXCHANGE_CUT,             /// cut inside the answer
	EXCHANGE_GARBLED,         /// what came is no HTTP answer
};

struct exchange;

/// Told of the answer. After `complete` or `failed` nothing more is told and
/// the exchange is gone.
struct exchange_vtable {
	void (*head)(void *owner, const struct http_head *head);
	void (*body)(void *owner, const char *data, size_t len);
	void (*complete)(void *owner);
	void (*failed)(void *owner, enum exchange_failure failure);
};

/// How an exchange is started.
struct exchange_options {
	const struct exchange_vtable *vtable;
	void *owner;
	struct pool *pool;
	const char *address;          /// IP:PORT
	const struct http_head *head; /// without length fields
	const char *body;
	size_t body_len;
	/// Answers repeat this field of the request; one with another value
	/// belongs to an earlier request and is skipped. NULL: not checked.
	const char *echo_field;
	const char *echo_value;
};

struct exchange *exchange_start(const struct exchange_options *options);
void exchange_cancel(struct exchange *exchange);
void exchange_pause(struct exchange *exchange, bool paused);
bool exchange_may_have_left(const struct exchange *exchange);

const char *exchange_failure_name(enum exchange_failure failure);

#endif
