/*
 * A queue of bytes in one block. Its capacity grows by bounded steps, shrinks
 * when the queue is empty, and is counted in an account.
 */
#ifndef GODWITVALE_HTTP_BUFFER_H
#define GODWITVALE_HTTP_BUFFER_H

#include <stddef.h>

#include "godwitvale/core/client_limits.h"

/// Embedded by value; all zero is an empty buffer that isn't counted.
struct buffer {
	char *data;
	size_t at;  /// start of the bytes in `data`
	size_t len; /// number of bytes
	size_t capacity;
	struct client_hold hold;
};

void buffer_init(struct buffer *buffer, struct client_limits *limits);
void buffer_clear(struct buffer *buffer);
void buffer_append(struct buffer *buffer, const char *data, size_t len);
void buffer_consume(struct buffer *buffer, size_t len);
void buffer_move(struct buffer *to, struct buffer *from);
const char *buffer_bytes(const struct buffer *buffer);
void buffer_set_account(struct buffer *buffer, struct client_limits *limits);

#endif
