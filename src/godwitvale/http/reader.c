/*
 * The strict parser for HTTP messages. A head is buffered whole and checked
 * for malformed lines that the parser library accepts. The library then parses
 * head and body.
 */
#include "godwitvale/http/reader.h"

#include <string.h>

/// The bytes that end a head.
#define HEAD_END "\r\n\r\n"
#define HEAD_END_LEN 4
/// Number of digits of a response's status, its range, and the status that
/// follows a request for another protocol.
#define STATUS_DIGITS 3
#define STATUS_MIN 100
#define STATUS_MAX 599
#define STATUS_SWITCHING_PROTOCOLS 101
/// Capacity that the buffer of the head may keep between messages.
#define HEAD_BYTES_KEPT 1024

/// Adds a field whose name was read and that has no value.
static void
add_pending_field(struct http_reader *reader)
{
	if (reader->pending_name == NULL)
		return;
	http_head_add(&reader->head, reader->pending_name, "");
	g_clear_pointer(&reader->pending_name, g_free);
}

/// Parser callback: bytes of the request's target.
static int
on_url(http_parser *parser, const char *at, size_t len)
{
	struct http_reader *reader = parser->data;

	reader->head.target = g_strndup(at, len);
	return 0;
}

/// Parser callback: a field's name. The head is passed to the parser at once,
/// so names and values are never split.
static int
on_field_name(http_parser *parser, const char *at, size_t len)
{
	struct http_reader *reader = parser->data;

	add_pending_field(reader);
	reader->pending_name = g_strndup(at, len);
	return 0;
}

/// Parser callback: a field's value.
static int
on_field_value(http_parser *parser, const char *at, size_t len)
{
	struct http_reader *reader = parser->data;
	char *value;

	if (reader->pending_name == NULL)
		return 0; /* a trailer field; trailers are discarded */
	value = g_strndup(at, len);
	http_head_add(&reader->head, reader->pending_name, g_strchomp(value));
	g_free(value);
	g_clear_pointer(&reader->pending_name, g_free);
	return 0;
}

/// Checks that the framing fields of a head don't contradict one another and
/// that the transfer coding, if any, is "chunked".
static bool
framing_is_valid(const struct http_reader *reader)
{
	const struct http_head *head = &reader->head;
	unsigned lengths = http_head_count(head, "Content-Length");
	unsigned codings = http_head_count(head, "Transfer-Encoding");

	if (lengths > 1 || codings > 1 || (lengths > 0 && codings > 0))
		return false;
	if (codings > 0 && head->http10)
		return false;
	return codings == 0 ||
	    g_ascii_strcasecmp(
		http_head_get(head, "Transfer-Encoding"), "chunked") == 0;
}

/// Checks whether a response's body ends with its connection.
static bool
ends_at_eof(const struct http_reader *reader)
{
	unsigned status = reader->head.status;

	if (!reader->options.parse_responses || reader->no_body ||
	    status / 100 == 1 || status == 204 || status == 304)
		return false;
	return !(reader->parser.flags & F_CHUNKED) &&
	    reader->parser.content_length == ULLONG_MAX;
}

/// Parser callback: the head is complete.
static int
on_headers_complete(http_parser *parser)
{
	struct http_reader *reader = parser->data;
	struct http_head *head = &reader->head;

	add_pending_field(reader);
	head->http10 = parser->http_major < 1 ||
	    (parser->http_major == 1 && parser->http_minor == 0);
	if (reader->options.parse_responses)
		head->status = parser->status_code;
	else
		head->method = g_strdup(http_method_str(parser->method));
	if (!framing_is_valid(reader) || parser->http_major != 1) {
		reader->fault = HTTP_FAULT_SYNTAX;
		return -1;
	}
	/* Upgrades are not supported; the message is read like any other. */
	parser->upgrade = 0;
	head->keep_alive = http_should_keep_alive(parser) != 0;
	if (parser->content_length != ULLONG_MAX &&
	    parser->content_length > reader->options.max_body) {
		reader->fault = HTTP_FAULT_BODY_TOO_BIG;
		return -1;
	}
	reader->ends_at_eof = ends_at_eof(reader);
	reader->progress = HTTP_IN_BODY;
	reader->parsed_head_bytes = http_head_held_bytes(head);
	reader->options.vtable->head(reader->options.owner, reader);
	return reader->no_body ? 1 : 0;
}

/// Parser callback: bytes of the body.
static int
on_body(http_parser *parser, const char *at, size_t len)
{
	struct http_reader *reader = parser->data;

	reader->body_len += len;
	if (reader->body_len > reader->options.max_body) {
		reader->fault = HTTP_FAULT_BODY_TOO_BIG;
		return -1;
	}
	reader->options.vtable->body(reader->options.owner, at, len);
	return 0;
}

/// Parser callback: the message is complete. The parser is paused so that it
/// doesn't consume the bytes after the message.
static int
on_message_complete(http_parser *parser)
{
	struct http_reader *reader = parser->data;

	g_clear_pointer(&reader->pending_name, g_free);
	reader->progress = HTTP_COMPLETE;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
    .on_url = on_url,
    .on_header_field = on_field_name,
    .on_header_value = on_field_value,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};

/// Initializes a reader for its first message.
///
/// @param reader   uninitialized; http_reader_clear() frees its members
/// @param options  copied
void
http_reader_init(
    struct http_reader *reader, const struct http_reader_options *options)
{
	memset(reader, 0, sizeof(*reader));
	reader->options = *options;
	reader->head_bytes = g_string_new(NULL);
	http_head_init(&reader->head);
	http_reader_start_message(reader);
}

/// Frees the members of a reader.
///
/// @param reader  must be initialized again before it is used
void
http_reader_clear(struct http_reader *reader)
{
	http_head_clear(&reader->head);
	g_clear_pointer(&reader->pending_name, g_free);
	if (reader->head_bytes != NULL)
		g_string_free(reader->head_bytes, true);
	reader->head_bytes = NULL;
}

/// Empties the buffer of the head, and frees its block if that is large: an
/// idle connection would keep it.
static void
release_head_bytes(struct http_reader *reader)
{
	if (reader->head_bytes->allocated_len > HEAD_BYTES_KEPT) {
		g_string_free(reader->head_bytes, true);
		reader->head_bytes = g_string_new(NULL);
	}
	g_string_truncate(reader->head_bytes, 0);
}

/// Counts the bytes that a reader has allocated for the current message.
///
/// @param reader  a reader
/// @return bytes of the head, as it was read and as it was parsed
size_t
http_reader_held_bytes(const struct http_reader *reader)
{
	size_t bytes = reader->head_bytes->allocated_len;

	/* A body that comes byte by byte must not have all fields counted again
	 * each time. */
	if (reader->progress == HTTP_IN_BODY)
		return bytes + reader->parsed_head_bytes;
	return bytes + http_head_held_bytes(&reader->head);
}

/// Resets a reader for the next message of its connection.
///
/// @param reader  a new reader, or one whose last message is complete
void
http_reader_start_message(struct http_reader *reader)
{
	http_parser_init(&reader->parser,
	    reader->options.parse_responses ? HTTP_RESPONSE : HTTP_REQUEST);
	reader->parser.data = reader;
	http_head_clear(&reader->head);
	http_head_init(&reader->head);
	release_head_bytes(reader);
	reader->progress = HTTP_AT_START;
	reader->fault = HTTP_FAULT_NONE;
	reader->body_len = 0;
	reader->no_body = false;
	reader->ends_at_eof = false;
}

/// Marks the current message as invalid.
///
/// @param reader  reads no more of this connection
/// @param fault   reason, unless a parser callback has already set one
static void
fail_reader(struct http_reader *reader, enum http_fault fault)
{
	if (reader->fault == HTTP_FAULT_NONE)
		reader->fault = fault;
	reader->progress = HTTP_INVALID;
}

/// Checks whether a field's name may contain a character.
static bool
is_name_byte(char c)
{
	return g_ascii_isalnum(c) ||
	    (c != '\0' && strchr("!#$%&'*+-.^_`|~", c) != NULL);
}

/// Checks whether a line of a head is a field: a name, a colon and a value
/// without control characters other than tabs. Folded lines have no name and
/// are rejected.
static bool
is_field_line(const char *line, size_t len)
{
	size_t i = 0;

	while (i < len && is_name_byte(line[i]))
		i++;
	if (i == 0 || i == len || line[i] != ':')
		return false;
	for (; i < len; i++)
		if ((unsigned char)line[i] < ' ' && line[i] != '\t')
			return false;
	return true;
}

/// Checks that a start line is not empty and has no control characters.
static bool
is_start_line(const char *line, size_t len)
{
	for (size_t i = 0; i < len; i++)
		if ((unsigned char)line[i] < ' ')
			return false;
	return len > 0;
}

/// Checks that a head has the strict form of HTTP/1.1: lines end with CR LF
/// and contain no other control characters but tabs, no line is folded, and
/// field names are tokens.
static bool
head_is_well_formed(const GString *bytes)
{
	const char *line = bytes->str;
	const char *end = bytes->str + bytes->len - (HEAD_END_LEN / 2);
	bool is_first = true;

	while (line < end) {
		const char *line_end =
		    memmem(line, (size_t)(end - line) + 2, "\r\n", 2);
		size_t len = (size_t)(line_end - line);

		if (is_first ? !is_start_line(line, len)
			     : !is_field_line(line, len))
			return false;
		is_first = false;
		line = line_end + 2;
	}
	return true;
}

/// Checks whether a response's head contains another status line: it was
/// broken off, and the head of the next response follows.
static bool
has_second_status_line(const GString *bytes)
{
	static const char start[] = "HTTP/1.";
	const char *at = bytes->str;

	while ((at = strstr(at + 1, start)) != NULL) {
		const char *rest = at + strlen(start);

		if (g_ascii_isdigit(rest[0]) && rest[1] == ' ' &&
		    strspn(rest + 2, "0123456789") == 3)
			return true;
	}
	return false;
}

/// Checks that a response's status has three digits and is one of HTTP. The
/// parser accepts any number, of which one under 200 would look like that of an
/// interim response. A switch of protocols is none: it is never asked for.
static bool
has_valid_status(const GString *bytes)
{
	const char *at = memchr(bytes->str, ' ', bytes->len);
	guint64 status;

	if (at == NULL || strspn(at + 1, "0123456789") != STATUS_DIGITS)
		return false;
	status = g_ascii_strtoull(at + 1, NULL, 10);
	return status >= STATUS_MIN && status <= STATUS_MAX &&
	    status != STATUS_SWITCHING_PROTOCOLS;
}

/// Checks a complete head before it is parsed.
static bool
head_is_acceptable(const struct http_reader *reader)
{
	const GString *bytes = reader->head_bytes;

	if (!head_is_well_formed(bytes))
		return false;
	return !reader->options.parse_responses ||
	    (has_valid_status(bytes) && !has_second_status_line(bytes));
}

/// Buffers bytes of a head and parses the head once it is complete.
///
/// @return bytes consumed
static size_t
feed_head(struct http_reader *reader, const char *data, size_t len)
{
	GString *bytes = reader->head_bytes;
	size_t old_len = bytes->len;
	size_t space_left = reader->options.max_head - old_len;
	size_t search_start;
	const char *end;

	reader->progress = HTTP_IN_HEAD;
	g_string_append_len(bytes, data, (gssize)MIN(len, space_left));
	search_start =
	    old_len < HEAD_END_LEN ? 0 : old_len - (HEAD_END_LEN - 1);
	end = memmem(bytes->str + search_start, bytes->len - search_start,
	    HEAD_END, HEAD_END_LEN);
	if (end == NULL) {
		if (bytes->len >= reader->options.max_head)
			fail_reader(reader, HTTP_FAULT_HEAD_TOO_BIG);
		return len;
	}
	g_string_truncate(bytes, (gsize)(end - bytes->str) + HEAD_END_LEN);
	if (!head_is_acceptable(reader)) {
		fail_reader(reader, HTTP_FAULT_SYNTAX);
		return len;
	}
	http_parser_execute(
	    &reader->parser, &parser_settings, bytes->str, bytes->len);
	if (reader->progress != HTTP_IN_BODY &&
	    reader->progress != HTTP_COMPLETE)
		fail_reader(reader, HTTP_FAULT_SYNTAX);
	else if (reader->fault != HTTP_FAULT_NONE)
		fail_reader(reader, reader->fault);
	return bytes->len - old_len;
}

/// Skips empty lines before a request. A line end may be split between calls.
///
/// @return bytes consumed
static size_t
skip_empty_lines(struct http_reader *reader, const char *data, size_t len)
{
	GString *bytes = reader->head_bytes;
	size_t consumed = 0;

	for (; consumed < len; consumed++) {
		if (bytes->len == 0 && data[consumed] == '\r')
			g_string_append_c(bytes, '\r');
		else if (bytes->len == 1 && data[consumed] == '\n')
			g_string_truncate(bytes, 0);
		else
			break;
	}
	return consumed;
}

/// Parses received bytes, up to the end of the current message.
///
/// @param reader  `progress` and `fault` tell the result
/// @param data    bytes that follow those already consumed
/// @param len     length in bytes
/// @return bytes consumed, all of which belong to the current message
size_t
http_reader_feed(struct http_reader *reader, const char *data, size_t len)
{
	size_t consumed = 0;

	if (!reader->options.parse_responses &&
	    reader->progress == HTTP_AT_START)
		consumed = skip_empty_lines(reader, data, len);
	if (consumed < len &&
	    (reader->progress == HTTP_AT_START ||
		reader->progress == HTTP_IN_HEAD))
		consumed += feed_head(reader, data + consumed, len - consumed);
	if (reader->progress == HTTP_IN_BODY && consumed < len) {
		consumed += http_parser_execute(&reader->parser,
		    &parser_settings, data + consumed, len - consumed);
		if (HTTP_PARSER_ERRNO(&reader->parser) != HPE_OK &&
		    HTTP_PARSER_ERRNO(&reader->parser) != HPE_PAUSED)
			fail_reader(reader, HTTP_FAULT_SYNTAX);
	}
	return consumed;
}

/// Handles the orderly end of the connection.
///
/// @param reader  a reader that was given all received bytes
/// @return true when the end completes the current message
bool
http_reader_handle_eof(struct http_reader *reader)
{
	if (reader->progress != HTTP_IN_BODY || !reader->ends_at_eof)
		return false;
	reader->progress = HTTP_COMPLETE;
	return true;
}
