/* Decides which events may follow those that a caller has. */
#include "godwitvale/core/stream_order.h"

#include <string.h>

#include <glib.h>

/// One line of an event, without its end.
struct line {
	const char *text;
	size_t len;
};

/// Takes the next line.
///
/// @param rest  bytes from the line on; moved behind it
/// @param end   end of the event
/// @return false at the end of the event
static bool
take_line(const char **rest, const char *end, struct line *line)
{
	const char *newline;

	if (*rest >= end)
		return false;
	newline = memchr(*rest, '\n', (size_t)(end - *rest));
	line->text = *rest;
	line->len = (size_t)((newline == NULL ? end : newline) - *rest);
	*rest = newline == NULL ? end : newline + 1;
	if (line->len > 0 && line->text[line->len - 1] == '\r')
		line->len--;
	return true;
}

/// Checks whether an event holds nothing but comments, which have no position
/// in the stream.
///
/// @param event  a complete event
/// @return whether each of its lines is a comment or empty
bool
stream_order_is_comment(const struct event *event)
{
	const char *rest = event->bytes;
	struct line line;

	while (take_line(&rest, event->bytes + event->len, &line))
		if (line.len > 0 && line.text[0] != ':')
			return false;
	return true;
}

/// Finds the status line of an HTTP answer, which may follow the bytes of an
/// event that was cut.
///
/// @return where it begins in the line; NULL: there is none
static const char *
find_status_line(const struct line *line)
{
	static const char version[] = "HTTP/1.";
	/* A digit, a space and three digits follow. */
	const size_t min_len = strlen(version) + 5;
	const char *end = line->text + line->len;
	const char *at = line->text;

	while ((at = memmem(at, (size_t)(end - at), version,
		    strlen(version))) != NULL &&
	    (size_t)(end - at) >= min_len) {
		const char *rest = at + strlen(version);

		if (g_ascii_isdigit(rest[0]) && rest[1] == ' ' &&
		    g_ascii_isdigit(rest[2]) && g_ascii_isdigit(rest[3]) &&
		    g_ascii_isdigit(rest[4]))
			return at;
		at = rest;
	}
	return NULL;
}

/// Checks whether a line is a field that an event may have after its first one.
static bool
is_event_line(const struct line *line)
{
	static const char *const names[] = {"", "data", "event", "id", "retry"};
	size_t name_len = 0;

	while (name_len < line->len && line->text[name_len] != ':')
		name_len++;
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		if (strlen(names[i]) == name_len &&
		    strncmp(line->text, names[i], name_len) == 0)
			return true;
	return false;
}

/// Checks whether an event holds the head of an HTTP answer: its upstream broke
/// the stream off and answered with something else on the same connection. Text
/// that names a status is no such head: no field that isn't an event's follows
/// it.
///
/// @param event  a complete event
/// @return whether a head begins at a line of it or within one
bool
stream_order_holds_answer_head(const struct event *event)
{
	const char *rest = event->bytes;
	const char *end = event->bytes + event->len;
	bool follows_status = false;
	struct line line;

	while (take_line(&rest, end, &line)) {
		const char *status = find_status_line(&line);

		if (status == line.text && status != NULL)
			return true;
		if (follows_status && !is_event_line(&line))
			return true;
		follows_status = status != NULL;
	}
	return false;
}

/// @param event  a complete event
/// @return whether its id tells where it is in its stream
bool
stream_order_has_position(const struct event *event)
{
	return event->has_id && event->id <= INT64_MAX;
}

/// Decides what to do with the first event of an answer to a request for the
/// rest of a stream. Only the next event shows that the answer is that rest:
/// an answer that repeats earlier events is of another run.
static enum stream_order_step
decide_first(const struct event *event, int64_t last_event)
{
	if (stream_order_is_comment(event))
		return STREAM_ORDER_SKIP;
	if (!stream_order_has_position(event) ||
	    event->id <= (uint64_t)last_event)
		return STREAM_ORDER_NOT_THE_REST;
	return event->id == (uint64_t)last_event + 1 ? STREAM_ORDER_FORWARD
						     : STREAM_ORDER_MISSING;
}

/// Decides what to do with an event.
///
/// @param inputs  the event, and what the caller has
/// @return what to do
enum stream_order_step
stream_order_decide(const struct stream_order_inputs *inputs)
{
	const struct event *event = inputs->event;
	int64_t last_event = inputs->last_event;

	if (stream_order_holds_answer_head(event))
		return STREAM_ORDER_OTHER_ANSWER;
	if (last_event == STREAM_ORDER_NO_EVENT)
		return STREAM_ORDER_FORWARD;
	if (inputs->is_first)
		return decide_first(event, last_event);
	if (!stream_order_has_position(event))
		return STREAM_ORDER_FORWARD;
	if ((int64_t)event->id <= last_event)
		return STREAM_ORDER_SKIP;
	return event->id == (uint64_t)last_event + 1 ? STREAM_ORDER_FORWARD
						     : STREAM_ORDER_MISSING;
}
