/* Parses the server-sent events of an engine as bytes arrive. */
#include "godwitvale/upstream/sse.h"

#include <string.h>

/// Parses an event id of the form "GENERATION:OFFSET".
///
/// @param parser  its current event gets the generation and the offset
/// @param text    the id
/// @return false if the id is malformed or out of range
static bool
parse_id(struct sse_parser *parser, const char *text)
{
	char *end = NULL;
	uint64_t generation = g_ascii_strtoull(text, &end, 10);
	uint64_t offset;

	if (end == text || *end != ':' || generation == 0 ||
	    generation > G_MAXINT64)
		return false;
	text = end + 1;
	offset = g_ascii_strtoull(text, &end, 10);
	if (end == text || *end != '\0' || offset > G_MAXUINT32)
		return false;
	parser->event.generation = generation;
	parser->event.offset = (uint32_t)offset;
	parser->has_id = true;
	return true;
}

/// Discards the current event.
///
/// @param parser  the parser
static void
reset_event(struct sse_parser *parser)
{
	memset(&parser->event, 0, sizeof(parser->event));
	g_string_truncate(parser->data, 0);
	parser->has_id = false;
	parser->is_end = false;
}

/// Passes the current event to the handler, unless the event is empty, and
/// starts a new one.
///
/// @param parser   the parser
/// @param handler  called with the event
/// @param context  passed to the handler
/// @return false if the handler stopped the parsing
static bool
dispatch_event(struct sse_parser *parser, sse_handler handler, void *context)
{
	bool keep_parsing = true;

	if (parser->has_id || parser->data->len > 0) {
		parser->event.type = SSE_NO_ID;
		if (parser->has_id)
			parser->event.type =
			    parser->is_end ? SSE_END : SSE_TOKEN;
		parser->event.data = parser->data->str;
		parser->event.data_len = parser->data->len;
		keep_parsing = handler(&parser->event, context);
	}
	reset_event(parser);
	return keep_parsing;
}

/// Parses one line of an event. Ignores unknown fields.
///
/// @param parser  its `line` holds the line without the line end
/// @return false if the id is malformed or the event is too long
static bool
parse_line(struct sse_parser *parser)
{
	const char *line = parser->line->str;

	if (g_str_has_prefix(line, "data:")) {
		line += strlen("data:");
		if (parser->data->len > 0)
			g_string_append_c(parser->data, '\n');
		g_string_append(parser->data, *line == ' ' ? line + 1 : line);
		return parser->data->len <= SSE_EVENT_BYTES_MAX;
	}
	if (g_str_has_prefix(line, "id:")) {
		line += strlen("id:");
		return parse_id(parser, *line == ' ' ? line + 1 : line);
	}
	if (strcmp(line, "event: end") == 0 || strcmp(line, "event:end") == 0)
		parser->is_end = true;
	return true;
}

/// Initialises a parser.
///
/// @param parser  overwritten; sse_clear() releases its buffers
void
sse_init(struct sse_parser *parser)
{
	memset(parser, 0, sizeof(*parser));
	parser->line = g_string_new(NULL);
	parser->data = g_string_new(NULL);
}

/// Frees the buffers of a parser.
///
/// @param parser  an initialised parser
void
sse_clear(struct sse_parser *parser)
{
	g_string_free(parser->line, TRUE);
	g_string_free(parser->data, TRUE);
}

/// Parses the next bytes of the stream. Lines and events may be split across
/// calls.
///
/// @param parser   the parser
/// @param bytes    first byte
/// @param len      number of bytes
/// @param handler  called with each complete event
/// @param context  passed to the handler
/// @return false if the stream is malformed, has a line or an event over the
///         size limit, or the handler stopped the parsing
bool
sse_feed(struct sse_parser *parser, const char *bytes, size_t len,
    sse_handler handler, void *context)
{
	const char *end = bytes + len;

	while (bytes < end) {
		const char *newline =
		    memchr(bytes, '\n', (size_t)(end - bytes));
		const char *piece_end = newline == NULL ? end : newline;
		bool ok;

		g_string_append_len(parser->line, bytes, piece_end - bytes);
		if (parser->line->len > SSE_EVENT_BYTES_MAX)
			return false;
		if (newline == NULL)
			return true;
		bytes = newline + 1;
		if (parser->line->len > 0 &&
		    parser->line->str[parser->line->len - 1] == '\r')
			g_string_truncate(parser->line, parser->line->len - 1);
		ok = parser->line->len == 0
		    ? dispatch_event(parser, handler, context)
		    : parse_line(parser);
		g_string_truncate(parser->line, 0);
		if (!ok)
			return false;
	}
	return true;
}
