/* Cutting streams of server-sent events into whole events. */
#include "godwitvale/core/event_cutter.h"

#include <string.h>

/// Makes a cutter at the start of a stream.
///
/// @param cutter  filled in; event_cutter_clear() frees what it holds
void
event_cutter_init(struct event_cutter *cutter)
{
	cutter->pending = g_string_new(NULL);
	cutter->scanned = 0;
}

/// Frees what a cutter holds.
///
/// @param cutter  the cutter
void
event_cutter_clear(struct event_cutter *cutter)
{
	if (cutter->pending != NULL)
		g_string_free(cutter->pending, true);
	cutter->pending = NULL;
}

/// Drops a half event: the stream goes on elsewhere, at a whole one.
///
/// @param cutter  the cutter
void
event_cutter_restart(struct event_cutter *cutter)
{
	g_string_truncate(cutter->pending, 0);
	cutter->scanned = 0;
}

/// Finds the end of the first event: an empty line after at least one line.
///
/// @return bytes up to and with the empty line, or 0
static size_t
find_end(struct event_cutter *cutter)
{
	const GString *pending = cutter->pending;
	size_t i = cutter->scanned;

	for (; i < pending->len; i++) {
		size_t before;

		if (pending->str[i] != '\n' || i == 0)
			continue;
		before = pending->str[i - 1] == '\r' ? i - 1 : i;
		if (before > 0 && pending->str[before - 1] == '\n')
			return i + 1;
	}
	/* The line that was just read may still turn out to be empty. */
	cutter->scanned = pending->len;
	return 0;
}

/// Reads the id of an event.
static void
read_id(struct event *event)
{
	const char *line = event->bytes;
	const char *end = event->bytes + event->len;

	while (line < end) {
		const char *stop = memchr(line, '\n', (size_t)(end - line));
		const char *value = line + strlen("id:");
		char *rest;

		if (stop == NULL)
			return;
		if (stop - line > (ptrdiff_t)strlen("id:") &&
		    strncmp(line, "id:", strlen("id:")) == 0) {
			while (*value == ' ')
				value++;
			event->id = g_ascii_strtoull(value, &rest, 10);
			event->has_id =
			    rest > value && (*rest == '\r' || *rest == '\n');
			return;
		}
		line = stop + 1;
	}
}

/// Takes bytes of a stream and tells of each event that they complete.
///
/// @param cutter   the cutter
/// @param bytes    bytes
/// @param len      how many
/// @param handler  told of each event
/// @param owner    passed to it
/// @return false when an event is too long or the handler stopped
bool
event_cutter_feed(struct event_cutter *cutter, const char *bytes, size_t len,
    event_handler handler, void *owner)
{
	size_t end;

	g_string_append_len(cutter->pending, bytes, (gssize)len);
	while ((end = find_end(cutter)) > 0) {
		struct event event = {cutter->pending->str, end, false, 0};
		bool go_on;

		read_id(&event);
		go_on = handler(owner, &event);
		if (cutter->pending == NULL)
			return false;
		g_string_erase(cutter->pending, 0, (gssize)end);
		cutter->scanned = 0;
		if (!go_on)
			return false;
	}
	return cutter->pending->len <= EVENT_BYTES_MAX;
}

/// @param cutter  the cutter
/// @return bytes of an event that isn't whole yet
size_t
event_cutter_rest(const struct event_cutter *cutter)
{
	return cutter->pending->len;
}
