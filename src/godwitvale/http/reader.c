/*
 * Strict reading of HTTP messages. A head is collected whole and checked for
 * what the parser library lets pass; the library then reads head and body.
 */
#include "godwitvale/http/reader.h"

#include <string.h>

/// What ends a head.
#define HEAD_END "\r\n\r\n"
#define HEAD_END_LEN 4

/// Keeps the field that was just read.
static void
keep_pending_field(struct http_reader *reader)
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

/// Parser callback: a field's name. The head is fed in one piece, so names
/// and values come whole.
static int
on_field(http_parser *parser, const char *at, size_t len)
{
	struct http_reader *reader = parser->data;

	keep_pending_field(reader);
	reader->pending_name = g_strndup(at, len);
	return 0;
}

/// Parser callback: a field's value.
static int
on_value(http_parser *parser, const char *at, size_t len)
{
	struct http_reader *reader = parser->data;
	char *value;

	if (reader->pending_name == NULL)
		return 0; /* of a trailer, which is not kept */
	value = g_strndup(at, len);
	http_head_add(&reader->head, reader->pending_name, g_strchomp(value));
	g_free(value);
	g_clear_pointer(&reader->pending_name, g_free);
	return 0;
}

/// Whether a head's framing fields contradict one another.
static bool
framing_is_sound(const struct http_reader *reader)
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

/// Whether a response has a body whose end is that of its connection.
static bool
ends_with_stream(const struct http_reader *reader)
{
	unsigned status = reader->head.status;

	if (!reader->options.responses || reader->no_body ||
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

	keep_pending_field(reader);
	head->http10 = parser->http_major < 1 ||
	    (parser->http_major == 1 && parser->http_minor == 0);
	if (reader->options.responses)
		head->status = parser->status_code;
	else
		head->method = g_strdup(http_method_str(parser->method));
	if (!framing_is_sound(reader) || parser->http_major != 1) {
		reader->fault = HTTP_FAULT_SYNTAX;
		return -1;
	}
	/* An upgrade is never taken up; the message is read like others. */
	parser->upgrade = 0;
	head->keep_alive = http_should_keep_alive(parser) != 0;
	if (parser->content_length != ULLONG_MAX &&
	    parser->content_length > reader->options.max_body) {
		reader->fault = HTTP_FAULT_BODY_TOO_BIG;
		return -1;
	}
	reader->ends_with_stream = ends_with_stream(reader);
	reader->progress = HTTP_IN_BODY;
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

/// Parser callback: the message is complete. Pausing keeps the parser from
/// the bytes after it.
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
    .on_header_field = on_field,
    .on_header_value = on_value,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};

/// Makes a reader.
///
/// @param reader   filled in; http_reader_clear() frees what it holds
/// @param options  copied
void
http_reader_init(
    struct http_reader *reader, const struct http_reader_options *options)
{
	memset(reader, 0, sizeof(*reader));
	reader->options = *options;
	reader->head_bytes = g_string_new(NULL);
	http_head_init(&reader->head);
	http_reader_next(reader);
}

/// Frees what a reader holds.
///
/// @param reader  the reader
void
http_reader_clear(struct http_reader *reader)
{
	http_head_clear(&reader->head);
	g_clear_pointer(&reader->pending_name, g_free);
	if (reader->head_bytes != NULL)
		g_string_free(reader->head_bytes, true);
	reader->head_bytes = NULL;
}

/// Gets ready for the next message of the connection.
///
/// @param reader  whose last message is complete, or which is new
void
http_reader_next(struct http_reader *reader)
{
	http_parser_init(&reader->parser,
	    reader->options.responses ? HTTP_RESPONSE : HTTP_REQUEST);
	reader->parser.data = reader;
	http_head_clear(&reader->head);
	http_head_init(&reader->head);
	g_string_truncate(reader->head_bytes, 0);
	reader->progress = HTTP_AT_START;
	reader->fault = HTTP_FAULT_NONE;
	reader->body_len = 0;
	reader->no_body = false;
	reader->ends_with_stream = false;
}

/// Marks a reader as broken.
///
/// @param reader  the reader
/// @param fault   why, unless a callback has already said so
static void
reader_break(struct http_reader *reader, enum http_fault fault)
{
	if (reader->fault == HTTP_FAULT_NONE)
		reader->fault = fault;
	reader->progress = HTTP_BROKEN;
}

/// Whether a byte may stand in a field's name.
static bool
is_name_byte(char c)
{
	return g_ascii_isalnum(c) ||
	    (c != '\0' && strchr("!#$%&'*+-.^_`|~", c) != NULL);
}

/// Whether a line of a head is a field: a name, a colon, a value without
/// control characters. A folded line has no name and is none.
static bool
line_is_field(const char *line, size_t len)
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

/// Whether a start line is printable.
static bool
line_is_start(const char *line, size_t len)
{
	for (size_t i = 0; i < len; i++)
		if ((unsigned char)line[i] < ' ')
			return false;
	return len > 0;
}

/// Whether a head has only what HTTP/1.1 allows: lines that end with CR LF
/// and hold no other control characters, no folded lines, names of tokens.
static bool
head_is_strict(const GString *bytes)
{
	const char *line = bytes->str;
	const char *end = bytes->str + bytes->len - (HEAD_END_LEN / 2);
	bool is_first = true;

	while (line < end) {
		const char *stop =
		    memmem(line, (size_t)(end - line) + 2, "\r\n", 2);
		size_t len = (size_t)(stop - line);

		if (is_first ? !line_is_start(line, len)
			     : !line_is_field(line, len))
			return false;
		is_first = false;
		line = stop + 2;
	}
	return true;
}

/// Takes bytes of a head.
///
/// @return how many were taken
static size_t
feed_head(struct http_reader *reader, const char *data, size_t len)
{
	GString *bytes = reader->head_bytes;
	size_t old = bytes->len;
	size_t room = reader->options.max_head - old;
	size_t from;
	const char *end;

	reader->progress = HTTP_IN_HEAD;
	g_string_append_len(bytes, data, (gssize)MIN(len, room));
	from = old < HEAD_END_LEN ? 0 : old - (HEAD_END_LEN - 1);
	end = memmem(
	    bytes->str + from, bytes->len - from, HEAD_END, HEAD_END_LEN);
	if (end == NULL) {
		if (bytes->len >= reader->options.max_head)
			reader_break(reader, HTTP_FAULT_HEAD_TOO_BIG);
		return len;
	}
	g_string_truncate(bytes, (gsize)(end - bytes->str) + HEAD_END_LEN);
	if (!head_is_strict(bytes)) {
		reader_break(reader, HTTP_FAULT_SYNTAX);
		return len;
	}
	http_parser_execute(
	    &reader->parser, &parser_settings, bytes->str, bytes->len);
	if (reader->progress != HTTP_IN_BODY &&
	    reader->progress != HTTP_COMPLETE)
		reader_break(reader, HTTP_FAULT_SYNTAX);
	else if (reader->fault != HTTP_FAULT_NONE)
		reader_break(reader, reader->fault);
	return bytes->len - old;
}

/// Skips empty lines before a request, which may come apart anywhere.
///
/// @return bytes taken
static size_t
skip_empty_lines(struct http_reader *reader, const char *data, size_t len)
{
	GString *bytes = reader->head_bytes;
	size_t taken = 0;

	for (; taken < len; taken++) {
		if (bytes->len == 0 && data[taken] == '\r')
			g_string_append_c(bytes, '\r');
		else if (bytes->len == 1 && data[taken] == '\n')
			g_string_truncate(bytes, 0);
		else
			break;
	}
	return taken;
}

/// Takes bytes from the connection, up to the end of the current message.
///
/// @param reader  the reader
/// @param data    bytes
/// @param len     how many
/// @return how many belong to the current message
size_t
http_reader_feed(struct http_reader *reader, const char *data, size_t len)
{
	size_t taken = 0;

	if (!reader->options.responses && reader->progress == HTTP_AT_START)
		taken = skip_empty_lines(reader, data, len);
	if (taken < len &&
	    (reader->progress == HTTP_AT_START ||
		reader->progress == HTTP_IN_HEAD))
		taken += feed_head(reader, data + taken, len - taken);
	if (reader->progress == HTTP_IN_BODY && taken < len) {
		taken += http_parser_execute(&reader->parser, &parser_settings,
		    data + taken, len - taken);
		if (HTTP_PARSER_ERRNO(&reader->parser) != HPE_OK &&
		    HTTP_PARSER_ERRNO(&reader->parser) != HPE_PAUSED)
			reader_break(reader, HTTP_FAULT_SYNTAX);
	}
	return taken;
}

/// Takes the orderly end of the connection.
///
/// @param reader  the reader
/// @return true when that completes the current message
bool
http_reader_end(struct http_reader *reader)
{
	if (reader->progress != HTTP_IN_BODY || !reader->ends_with_stream)
		return false;
	reader->progress = HTTP_COMPLETE;
	return true;
}
