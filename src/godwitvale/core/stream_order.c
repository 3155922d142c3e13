/* Decides which events may follow those that a caller has. */
#include "godwitvale/core/stream_order.h"

#include <string.h>

/// Checks whether an event holds nothing but comments, which have no position
/// in the stream.
///
/// @param event  a complete event
/// @return whether each of its lines is a comment or empty
bool
stream_order_is_comment(const struct event *event)
{
	const char *line = event->bytes;
	const char *end = event->bytes + event->len;

	while (line < end) {
		const char *newline = memchr(line, '\n', (size_t)(end - line));

		if (*line != ':' && *line != '\r' && *line != '\n')
			return false;
		if (newline == NULL)
			break;
		line = newline + 1;
	}
	return true;
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
