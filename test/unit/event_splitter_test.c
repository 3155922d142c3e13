/* Unit tests of splitting streams into complete events. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "godwitvale/core/event_splitter.h"

static bool
on_event(void *owner, const struct event *event)
{
	GString *trace = owner;

	g_string_append_printf(trace, "[%s%" G_GUINT64_FORMAT ":%zu]",
	    event->has_id ? "id" : "-", event->id, event->len);
	return true;
}

/// Feeds a text in pieces and returns a trace of the events: for each event its
/// id or "-", and its length, then the number of pending bytes.
static char *
split(const char *text, size_t piece_len)
{
	GString *trace = g_string_new(NULL);
	struct event_splitter splitter;
	size_t len = strlen(text);

	event_splitter_init(&splitter);
	for (size_t at = 0; at < len; at += piece_len)
		assert_true(event_splitter_feed(&splitter, text + at,
		    MIN(piece_len, len - at), on_event, trace));
	g_string_append_printf(
	    trace, "+%zu", event_splitter_pending_len(&splitter));
	event_splitter_clear(&splitter);
	return g_string_free(trace, FALSE);
}

static void
only_complete_events_are_handled(void **state)
{
	static const struct {
		const char *text;
		const char *expected;
	} rows[] = {
	    {"id: 1\ndata: a\n\n", "[id1:15]+0"},
	    {"id:1\r\ndata: a\r\n\r\n", "[id1:17]+0"},
	    {"id: 1\ndata: a\n\nid: 2\nda", "[id1:15]+8"},
	    {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "[id1:15][id2:15]+0"},
	    {"data: a\n\n", "[-0:9]+0"},
	    {"id: x\ndata: a\n\n", "[-0:15]+0"},
	    {"id: 18446744073709551615\n\n", "[id18446744073709551615:26]+0"},
	    {"id: 1\ndata: a\n", "+14"},
	    {"", "+0"},
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		for (size_t piece_len = 1; piece_len <= 40; piece_len++) {
			char *trace = split(rows[i].text, piece_len);

			assert_string_equal(trace, rows[i].expected);
			g_free(trace);
		}
}

static void
reset_discards_an_incomplete_event(void **state)
{
	GString *trace = g_string_new(NULL);
	struct event_splitter splitter;
	static const char incomplete[] = "id: 7\ndata: ha";
	static const char complete[] = "id: 7\ndata: half\n\n";

	(void)state;
	event_splitter_init(&splitter);
	event_splitter_feed(
	    &splitter, incomplete, strlen(incomplete), on_event, trace);
	event_splitter_reset(&splitter);
	event_splitter_feed(
	    &splitter, complete, strlen(complete), on_event, trace);
	assert_string_equal(trace->str, "[id7:18]");
	event_splitter_clear(&splitter);
	g_string_free(trace, TRUE);
}

/// A stream that ends here was broken off, unless only empty lines are left.
static void
stream_ends_within_an_event(void **state)
{
	static const struct {
		const char *text;
		bool within;
	} rows[] = {
	    {"", false},
	    {"id: 7\ndata: x\n\n", false},
	    {"id: 7\ndata: x\n\n\r\n\n", false},
	    {"id: 7\ndata: x\n\ni", true},
	    {"id: 7\ndata: x\n", true},
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		GString *trace = g_string_new(NULL);
		struct event_splitter splitter;

		event_splitter_init(&splitter);
		event_splitter_feed(&splitter, rows[i].text,
		    strlen(rows[i].text), on_event, trace);
		assert_int_equal(
		    event_splitter_is_within_event(&splitter), rows[i].within);
		event_splitter_clear(&splitter);
		g_string_free(trace, TRUE);
	}
}

static void
an_event_over_the_length_limit_is_an_error(void **state)
{
	GString *trace = g_string_new(NULL);
	struct event_splitter splitter;
	char bytes[4096];
	bool ok = true;

	(void)state;
	memset(bytes, 'x', sizeof(bytes));
	event_splitter_init(&splitter);
	for (int i = 0; i < EVENT_BYTES_MAX / 4096 + 1 && ok; i++)
		ok = event_splitter_feed(
		    &splitter, bytes, sizeof(bytes), on_event, trace);
	assert_false(ok);
	event_splitter_clear(&splitter);
	g_string_free(trace, TRUE);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(only_complete_events_are_handled),
	    cmocka_unit_test(reset_discards_an_incomplete_event),
	    cmocka_unit_test(stream_ends_within_an_event),
	    cmocka_unit_test(an_event_over_the_length_limit_is_an_error),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
