/* Unit tests of which events may follow those that a caller has. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "godwitvale/core/stream_order.h"

/// An event without an id.
#define UNNUMBERED UINT64_MAX

/// Returns an event with an id, or without one.
static struct event
make_event(uint64_t id)
{
	static const char text[] = "data: x\n\n";

	return (struct event){
	    text, strlen(text), id != UNNUMBERED, id == UNNUMBERED ? 0 : id};
}

static void
events_of_an_answer_are_forwarded_once_and_in_order(void **state)
{
	static const struct {
		int64_t last_event;
		uint64_t id;
		enum stream_order_step expected;
	} rows[] = {
	    {STREAM_ORDER_NO_EVENT, 0, STREAM_ORDER_FORWARD},
	    {STREAM_ORDER_NO_EVENT, 7, STREAM_ORDER_FORWARD},
	    {STREAM_ORDER_NO_EVENT, UNNUMBERED, STREAM_ORDER_FORWARD},
	    {0, 1, STREAM_ORDER_FORWARD},
	    {3, 4, STREAM_ORDER_FORWARD},
	    {3, 3, STREAM_ORDER_SKIP},
	    {3, 1, STREAM_ORDER_SKIP},
	    {3, 5, STREAM_ORDER_MISSING},
	    {3, UNNUMBERED, STREAM_ORDER_FORWARD},
	    {INT64_MAX - 1, INT64_MAX, STREAM_ORDER_FORWARD},
	    {INT64_MAX, INT64_MAX, STREAM_ORDER_SKIP},
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct event event = make_event(rows[i].id);
		const struct stream_order_inputs inputs = {
		    .event = &event,
		    .last_event = rows[i].last_event,
		};

		assert_int_equal(
		    stream_order_decide(&inputs), rows[i].expected);
	}
}

/// An answer that begins elsewhere is of another run than the stream.
static void
an_answer_goes_on_with_the_next_event_or_not_at_all(void **state)
{
	static const struct {
		int64_t last_event;
		uint64_t id;
		enum stream_order_step expected;
	} rows[] = {
	    {STREAM_ORDER_NO_EVENT, 1, STREAM_ORDER_FORWARD},
	    {STREAM_ORDER_NO_EVENT, UNNUMBERED, STREAM_ORDER_FORWARD},
	    {0, 1, STREAM_ORDER_FORWARD},
	    {3, 4, STREAM_ORDER_FORWARD},
	    {3, 3, STREAM_ORDER_NOT_THE_REST},
	    {3, 1, STREAM_ORDER_NOT_THE_REST},
	    {3, UNNUMBERED, STREAM_ORDER_NOT_THE_REST},
	    {3, (uint64_t)INT64_MAX + 1, STREAM_ORDER_NOT_THE_REST},
	    {3, 5, STREAM_ORDER_MISSING},
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct event event = make_event(rows[i].id);
		const struct stream_order_inputs inputs = {
		    .event = &event,
		    .last_event = rows[i].last_event,
		    .is_first = true,
		};

		assert_int_equal(
		    stream_order_decide(&inputs), rows[i].expected);
	}
}

static void
a_comment_before_the_rest_is_skipped(void **state)
{
	static const char text[] = ": still there\n\n";
	const struct event event = {text, strlen(text), false, 0};
	const struct stream_order_inputs inputs = {
	    .event = &event,
	    .last_event = 3,
	    .is_first = true,
	};

	(void)state;
	assert_int_equal(stream_order_decide(&inputs), STREAM_ORDER_SKIP);
}

/// An id that can't be named in a request for the rest is none.
static void
an_id_beyond_the_range_is_no_position(void **state)
{
	struct event event = make_event((uint64_t)INT64_MAX + 1);

	(void)state;
	assert_false(stream_order_has_position(&event));
	event.id = INT64_MAX;
	assert_true(stream_order_has_position(&event));
	event.has_id = false;
	assert_false(stream_order_has_position(&event));
}

static void
comments_are_told_from_events(void **state)
{
	static const struct {
		const char *text;
		bool is_comment;
	} rows[] = {
	    {": still there\n\n", true},
	    {":\r\n\r\n", true},
	    {"\n: a\n: b\n\n", true},
	    {": a\ndata: x\n\n", false},
	    {"data: x\n\n", false},
	    {"id: 4\n\n", false},
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct event event = {
		    rows[i].text, strlen(rows[i].text), false, 0};

		assert_int_equal(
		    stream_order_is_comment(&event), rows[i].is_comment);
	}
}

static void
the_head_of_another_answer_is_no_event(void **state)
{
	static const struct {
		const char *text;
		bool holds_head;
	} rows[] = {
	    {"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 5\r\n\r\n", true},
	    {"HTTP/1.0 200\r\n\r\n", true},
	    {"id: 4\ndata: raHTTP/1.1 500 Error\r\nServer: x\r\n\r\n", true},
	    {"id: 4\nHTTP/1.1 500 Error\r\n\r\n", true},
	    {"data: HTTP/1. HTTP/1.1 500 X\nServer: x\n\n", true},
	    {"id: 4\ndata: HTTP/1.1 500 Error\n\n", false},
	    {"data: HTTP/1.1 200 OK\ndata: Server: x\n\n", false},
	    {"data: HTTP/1.1 200 OK\nid: 4\n\n", false},
	    {"data: HTTP/1.1 200 OK\n: why\nretry: 3\n\n", false},
	    {"data: HTTP/1.1\nServer: x\n\n", false},
	    {"HTTP/1.1 20", false},
	    {"weight-versions: 3\nid: 4\ndata: x\n\n", false},
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct event event = {
		    rows[i].text, strlen(rows[i].text), false, 0};
		const struct stream_order_inputs inputs = {
		    .event = &event,
		    .last_event = STREAM_ORDER_NO_EVENT,
		};

		assert_int_equal(
		    stream_order_holds_answer_head(&event), rows[i].holds_head);
		assert_int_equal(stream_order_decide(&inputs),
		    rows[i].holds_head ? STREAM_ORDER_OTHER_ANSWER
				       : STREAM_ORDER_FORWARD);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(
		events_of_an_answer_are_forwarded_once_and_in_order),
	    cmocka_unit_test(
		an_answer_goes_on_with_the_next_event_or_not_at_all),
	    cmocka_unit_test(a_comment_before_the_rest_is_skipped),
	    cmocka_unit_test(an_id_beyond_the_range_is_no_position),
	    cmocka_unit_test(the_head_of_another_answer_is_no_event),
	    cmocka_unit_test(comments_are_told_from_events),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
