/* Splits streams of server-sent events into complete events. */
#include "godwitvale/core/event_splitter.h"

#include <string.h>

/// Initialises a splitter for the start of a stream.
///
/// @param splitter  initialised; free its memory with event_splitter_clear()
void
event_splitter_init(struct event_splitter *splitter)
{
	splitter->pending = g_string_new(NULL);
	splitter->scanned = 0;
}

/// Frees the memory of a splitter.
///
/// @param splitter  splitter to clear; may be cleared already
void
event_splitter_clear(struct event_splitter *splitter)
{
	if (splitter->pending != NULL)
		g_string_free(splitter->pending, true);
	splitter->pending = NULL;
}

/// Discards the bytes of an incomplete event. Called when the stream continues
/// from another upstream, at the start of an event.
///
/// @param splitter  splitter to reset
void
event_splitter_reset(struct event_splitter *splitter)
{
	g_string_truncate(splitter->pending, 0);
	splitter->scanned = 0;
}

/// Finds the end of the first pending event: an empty line after at least one
/// line.
///
/// @return length of the event including the empty line, or 0 if it isn't
///         complete
static size_t
find_event_len(struct event_splitter *splitter)
{
	const GString *pending = splitter->pending;
	size_t i = splitter->scanned;

	for (; i < pending->len; i++) {
		size_t line_end;

		if (pending->str[i] != '\n' || i == 0)
			continue;
		line_end = pending->str[i - 1] == '\r' ? i - 1 : i;
		if (line_end > 0 && pending->str[line_end - 1] == '\n')
			return i + 1;
	}
	/* The next search starts here and also checks the bytes before. */
	splitter->scanned = pending->len;
	return 0;
}

/// Parses the id of an event; sets `has_id` if it is a decimal number.
static void
parse_event_id(struct event *event)
{
	const char *line = event->bytes;
	const char *end = event->bytes + event->len;

	while (line < end) {
		const char *newline = memchr(line, '\n', (size_t)(end - line));
		const char *value = line + strlen("id:");
		char *id_end;

		if (newline == NULL)
			return;
		if (newline - line > (ptrdiff_t)strlen("id:") &&
		    strncmp(line, "id:", strlen("id:")) == 0) {
			while (*value == ' ')
				value++;
			event->id = g_ascii_strtoull(value, &id_end, 10);
			event->has_id = id_end > value &&
			    (*id_end == '\r' || *id_end == '\n');
			return;
		}
		line = newline + 1;
	}
}

/// Adds bytes of the stream and calls the handler for each event that they
/// complete.
///
/// @param splitter  splitter of the stream; the handler may call
///                  event_splitter_clear() on it
/// @param bytes     next bytes of the stream
/// @param len       number of bytes
/// @param handler   called for each complete event
/// @param owner     passed to `handler`
/// @return false if an incomplete event is longer than EVENT_BYTES_MAX, if the
///         handler returned false or if the handler cleared the splitter
bool
event_splitter_feed(struct event_splitter *splitter, const char *bytes,
    size_t len, event_handler handler, void *owner)
{
	size_t event_len;

	g_string_append_len(splitter->pending, bytes, (gssize)len);
	while ((event_len = find_event_len(splitter)) > 0) {
		struct event event = {
		    splitter->pending->str, event_len, false, 0};
		bool should_continue;

		parse_event_id(&event);
		should_continue = handler(owner, &event);
		if (splitter->pending == NULL)
			return false;
		g_string_erase(splitter->pending, 0, (gssize)event_len);
		splitter->scanned = 0;
		if (!should_continue)
			return false;
	}
	return splitter->pending->len <= EVENT_BYTES_MAX;
}

/// @param splitter  splitter of the stream
/// @return number of bytes received so far of an event that isn't complete
size_t
event_splitter_pending_len(const struct event_splitter *splitter)
{
	return splitter->pending->len;
}

/// @param splitter  splitter of the stream
/// @return whether a line of an incomplete event has been received; empty lines
///         alone are no event
bool
event_splitter_is_within_event(const struct event_splitter *splitter)
{
	const GString *pending = splitter->pending;

	return strspn(pending->str, "\r\n") < pending->len;
}
