/* A queue of bytes with bounded growth. */
#include "godwitvale/http/buffer.h"

#include <string.h>

#include <glib.h>

/// Bytes by which a large buffer grows. Twice its size would hold up to twice
/// as much as was received.
#define BUFFER_STEP_MAX (256 * 1024)
/// Multiple of which a capacity is.
#define BUFFER_UNIT 256
/// Capacity that an empty buffer may keep.
#define BUFFER_KEPT 4096

/// Initializes an empty buffer.
///
/// @param buffer  uninitialized; buffer_clear() frees its block
/// @param limits  account that counts its capacity; NULL: not counted
void
buffer_init(struct buffer *buffer, struct client_limits *limits)
{
	*buffer = (struct buffer){.hold = {.limits = limits}};
}

/// Discards the bytes and frees the block.
///
/// @param buffer  empty afterwards; can be used again
void
buffer_clear(struct buffer *buffer)
{
	g_clear_pointer(&buffer->data, g_free);
	buffer->at = 0;
	buffer->len = 0;
	buffer->capacity = 0;
	client_hold_clear(&buffer->hold);
}

/// Moves the bytes to the start of the block.
static void
compact(struct buffer *buffer)
{
	memmove(buffer->data, buffer->data + buffer->at, buffer->len);
	buffer->at = 0;
}

/// Makes room for more bytes at the end. Bytes are moved only after half as
/// many were consumed, so that the cost of each byte is bounded.
static void
make_room(struct buffer *buffer, size_t len)
{
	size_t needed;
	size_t step;

	if (buffer->at > 0 && buffer->at >= buffer->len / 2 &&
	    buffer->at + buffer->len + len > buffer->capacity)
		compact(buffer);
	needed = buffer->at + buffer->len + len;
	if (needed <= buffer->capacity)
		return;
	step = MIN(buffer->capacity, BUFFER_STEP_MAX);
	needed = MAX(needed, buffer->capacity + step);
	buffer->capacity =
	    (needed + BUFFER_UNIT - 1) / BUFFER_UNIT * BUFFER_UNIT;
	buffer->data = g_realloc(buffer->data, buffer->capacity);
	client_hold_set(&buffer->hold, buffer->capacity);
}

/// Appends bytes.
///
/// @param buffer  a buffer
/// @param data    copied
/// @param len     length in bytes
void
buffer_append(struct buffer *buffer, const char *data, size_t len)
{
	if (len == 0)
		return;
	make_room(buffer, len);
	memcpy(buffer->data + buffer->at + buffer->len, data, len);
	buffer->len += len;
}

/// Removes bytes from the start.
///
/// @param buffer  a buffer
/// @param len     length in bytes; at most `buffer->len`
void
buffer_consume(struct buffer *buffer, size_t len)
{
	buffer->at += len;
	buffer->len -= len;
	if (buffer->len > 0)
		return;
	buffer->at = 0;
	if (buffer->capacity > BUFFER_KEPT)
		buffer_clear(buffer);
}

/// Moves bytes to another buffer; without a copy, if that one is empty.
///
/// @param to    appended to
/// @param from  empty afterwards
void
buffer_move(struct buffer *to, struct buffer *from)
{
	struct client_limits *limits = to->hold.limits;

	if (to->len > 0) {
		buffer_append(to, buffer_bytes(from), from->len);
		buffer_clear(from);
		return;
	}
	buffer_clear(to);
	*to = *from;
	buffer_init(from, to->hold.limits);
	buffer_set_account(to, limits);
}

/// @param buffer  a buffer
/// @return its bytes; valid until the next change; NULL if it never had any
const char *
buffer_bytes(const struct buffer *buffer)
{
	return buffer->data == NULL ? NULL : buffer->data + buffer->at;
}

/// Sets the account that counts a buffer's capacity.
///
/// @param buffer  a buffer
/// @param limits  an account; NULL: not counted any more
void
buffer_set_account(struct buffer *buffer, struct client_limits *limits)
{
	size_t bytes = buffer->hold.bytes;

	client_hold_clear(&buffer->hold);
	buffer->hold.limits = limits;
	client_hold_set(&buffer->hold, bytes);
}
