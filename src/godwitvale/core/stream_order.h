/*
 * Decides which events of an answer may follow those that a caller has, so that
 * a stream in several attempts is never joined from parts that don't belong
 * together.
 *
 * Load pattern: streams are cut while they run, and the next upstream answers
 * with what isn't their rest: an error, the stream from its beginning, or
 * events whose position can't be told.
 */
#ifndef GODWITVALE_CORE_STREAM_ORDER_H
#define GODWITVALE_CORE_STREAM_ORDER_H

#include <stdbool.h>
#include <stdint.h>

#include "godwitvale/core/event_splitter.h"

/// Last event of a caller that has no event with an id.
#define STREAM_ORDER_NO_EVENT (-1)

/// What to do with an event of an answer.
enum stream_order_step {
	STREAM_ORDER_FORWARD = 1,
	STREAM_ORDER_SKIP,    /// the caller has it, or doesn't need it
	STREAM_ORDER_MISSING, /// events before it are missing; the answer ends
	/// the answer isn't the rest of the stream, and ends
	STREAM_ORDER_NOT_THE_REST,
	/// it holds the head of another answer: the stream was broken off
	STREAM_ORDER_OTHER_ANSWER,
};

/// An event, and where in its stream it was received.
struct stream_order_inputs {
	const struct event *event;
	/// id of the last event with an id that the caller has; or
	/// STREAM_ORDER_NO_EVENT
	int64_t last_event;
	bool is_first; /// the answer has brought no event before
};

bool stream_order_is_comment(const struct event *event);
bool stream_order_holds_answer_head(const struct event *event);
bool stream_order_has_position(const struct event *event);
enum stream_order_step stream_order_decide(
    const struct stream_order_inputs *inputs);

#endif
