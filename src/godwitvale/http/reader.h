/*
 * Strict reading of one HTTP/1.1 message after another from the bytes of a
 * connection. It tells a message that is complete from one that was cut off,
 * and never reads past the end of a message.
 */
#ifndef GODWITVALE_HTTP_READER_H
#define GODWITVALE_HTTP_READER_H

#include <stdint.h>

#include <http_parser.h>

#include "godwitvale/http/head.h"

/// What is wrong with a message.
enum http_fault {
	HTTP_FAULT_NONE = 0,
	HTTP_FAULT_SYNTAX,       /// 400
	HTTP_FAULT_HEAD_TOO_BIG, /// 431
	HTTP_FAULT_BODY_TOO_BIG, /// 413
};

/// How far the current message has been read.
enum http_progress {
	HTTP_AT_START, /// not a byte of it yet
	HTTP_IN_HEAD,
	HTTP_IN_BODY,
	HTTP_COMPLETE,
	HTTP_BROKEN, /// see the fault
};

struct http_reader;

/// Told of a message's parts, in order.
struct http_reader_vtable {
	void (*head)(void *owner, struct http_reader *reader);
	void (*body)(void *owner, const char *data, size_t len);
};

/// How a reader is built.
struct http_reader_options {
	const struct http_reader_vtable *vtable;
	void *owner;
	bool responses;    /// reads responses instead of requests
	size_t max_head;   /// bytes
	uint64_t max_body; /// bytes
};

/// State of one connection's reading; embedded by value.
struct http_reader {
	struct http_reader_options options;
	http_parser parser;
	struct http_head head; /// of the current message
	GString *head_bytes;
	char *pending_name; /// of the field that is being read
	enum http_progress progress;
	enum http_fault fault;
	uint64_t body_len;     /// bytes of body read so far
	bool no_body;          /// a response that has none: asked by HEAD
	bool ends_with_stream; /// a response that ends with its connection
};

void http_reader_init(
    struct http_reader *reader, const struct http_reader_options *options);
void http_reader_clear(struct http_reader *reader);
void http_reader_next(struct http_reader *reader);
size_t http_reader_feed(
    struct http_reader *reader, const char *data, size_t len);
bool http_reader_end(struct http_reader *reader);

#endif
