/* Parsing of an engine's server-sent events. */
#include "godwitvale/upstream/sse.h"

#include <string.h>

/// Reads "GENERATION:OFFSET".
///
/// @param parser  its event is filled in
/// @param text    the id
/// @return false when malformed
static bool
take_id(struct sse_parser *parser, const char *text)
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

/// Forgets the event so far.
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

/// Hands a complete event on.
///
/// @param parser   the parser
/// @param handler  gets the event
/// @param context  for the handler
/// @return false when parsing is to stop
static bool
dispatch(struct sse_parser *parser, sse_handler handler, void *context)
{
	bool go_on = true;

	if (parser->has_id || parser->data->len > 0) {
		parser->event.type = SSE_MARK;
		if (parser->has_id)
			parser->event.type =
			    parser->is_end ? SSE_END : SSE_TOKEN;
		parser->event.data = parser->data->str;
		parser->event.data_len = parser->data->len;
		go_on = handler(&parser->event, context);
	}
	reset_event(parser);
	return go_on;
}

/// Takes one line.
///
/// @param parser  the parser; its line holds it, without the line end
/// @return false when malformed or too long
static bool
take_field(struct sse_parser *parser)
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
		return take_id(parser, *line == ' ' ? line + 1 : line);
	}
	if (strcmp(line, "event: end") == 0 || strcmp(line, "event:end") == 0)
		parser->is_end = true;
	return true;
}

/// Prepares a parser.
///
/// @param parser  filled in
void
sse_init(struct sse_parser *parser)
{
	memset(parser, 0, sizeof(*parser));
	parser->line = g_string_new(NULL);
	parser->data = g_string_new(NULL);
}

/// Releases what a parser holds.
///
/// @param parser  the parser
void
sse_clear(struct sse_parser *parser)
{
	g_string_free(parser->line, TRUE);
	g_string_free(parser->data, TRUE);
}

/// Takes bytes of the stream, in pieces of any size.
///
/// @param parser   the parser
/// @param bytes    first byte
/// @param len      number of bytes
/// @param handler  gets each event
/// @param context  for the handler
/// @return false when the stream is malformed or the handler stopped it
bool
sse_feed(struct sse_parser *parser, const char *bytes, size_t len,
    sse_handler handler, void *context)
{
	const char *end = bytes + len;

	while (bytes < end) {
		const char *stop = memchr(bytes, '\n', (size_t)(end - bytes));
		const char *piece_end = stop == NULL ? end : stop;
		bool good;

		g_string_append_len(parser->line, bytes, piece_end - bytes);
		if (parser->line->len > SSE_EVENT_BYTES_MAX)
			return false;
		if (stop == NULL)
			return true;
		bytes = stop + 1;
		if (parser->line->len > 0 &&
		    parser->line->str[parser->line->len - 1] == '\r')
			g_string_truncate(parser->line, parser->line->len - 1);
		good = parser->line->len == 0
		    ? dispatch(parser, handler, context)
		    : take_field(parser);
		g_string_truncate(parser->line, 0);
		if (!good)
			return false;
	}
	return true;
}
