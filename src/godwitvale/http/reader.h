/*
 * A strict parser for consecutive HTTP/1.1 messages from the bytes of one
 * connection. It distinguishes complete messages from truncated ones and never
 * consumes bytes past the end of a message.
 */
#ifndef GODWITVALE_HTTP_READER_H
#define GODWITVALE_HTTP_READER_H

#include <stdint.h>

#include <http_parser.h>

#include "godwitvale/http/head.h"

/// Why a message is invalid. A server answers with the status named here.
enum http_fault {
	HTTP_FAULT_NONE = 0,
	HTTP_FAULT_SYNTAX,       /// status 400
	HTTP_FAULT_HEAD_TOO_BIG, /// status 431
	HTTP_FAULT_BODY_TOO_BIG, /// status 413
};

/// How far the current message has been read.
enum http_progress {
	HTTP_AT_START, /// no byte of it was read
	HTTP_IN_HEAD,
	HTTP_IN_BODY,
	HTTP_COMPLETE,
	HTTP_INVALID, /// `fault` holds the reason
};

struct http_reader;

/// Callbacks for the parts of a message, in order.
struct http_reader_vtable {
	void (*head)(void *owner, struct http_reader *reader);
	void (*body)(void *owner, const char *data, size_t len);
};

/// Kind, limits and callbacks of a reader.
struct http_reader_options {
	const struct http_reader_vtable *vtable;
	void *owner;
	bool parse_responses; /// expects responses instead of requests
	size_t max_head;      /// bytes
	uint64_t max_body;    /// bytes
};

/// Parser state of one connection; embedded by value.
struct http_reader {
	struct http_reader_options options;
	http_parser parser;
	struct http_head head;    /// of the current message
	size_t parsed_head_bytes; /// of a complete head, as it was parsed
	GString *head_bytes;
	char *pending_name; /// name of the field whose value is expected
	enum http_progress progress;
	enum http_fault fault;
	uint64_t body_len; /// bytes of body read so far
	bool no_body;      /// response to a HEAD request
	bool ends_at_eof;  /// response whose body ends with the connection
};

void http_reader_init(
    struct http_reader *reader, const struct http_reader_options *options);
void http_reader_clear(struct http_reader *reader);
void http_reader_start_message(struct http_reader *reader);
size_t http_reader_feed(
    struct http_reader *reader, const char *data, size_t len);
size_t http_reader_held_bytes(const struct http_reader *reader);
bool http_reader_handle_eof(struct http_reader *reader);

#endif
