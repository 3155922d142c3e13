/* Unit tests of cutting streams into whole events. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "godwitvale/core/event_cutter.h"

static bool
on_event(void *owner, const struct event *event)
{
	GString *story = owner;

	g_string_append_printf(story, "[%s%" G_GUINT64_FORMAT ":%zu]",
	    event->has_id ? "id" : "-", event->id, event->len);
	return true;
}

/// Cuts a text that comes in pieces, and gives the story.
static char *
cut(const char *text, size_t piece)
{
	GString *story = g_string_new(NULL);
	struct event_cutter cutter;
	size_t len = strlen(text);

	event_cutter_init(&cutter);
	for (size_t at = 0; at < len; at += piece)
		assert_true(event_cutter_feed(
		    &cutter, text + at, MIN(piece, len - at), on_event, story));
	g_string_append_printf(story, "+%zu", event_cutter_rest(&cutter));
	event_cutter_clear(&cutter);
	return g_string_free(story, FALSE);
}

static void
only_whole_events_are_told(void **state)
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
		for (size_t piece = 1; piece <= 40; piece++) {
			char *story = cut(rows[i].text, piece);

			assert_string_equal(story, rows[i].expected);
			g_free(story);
		}
}

static void
a_half_event_is_dropped_on_restart(void **state)
{
	GString *story = g_string_new(NULL);
	struct event_cutter cutter;
	static const char half[] = "id: 7\ndata: ha";
	static const char whole[] = "id: 7\ndata: half\n\n";

	(void)state;
	event_cutter_init(&cutter);
	event_cutter_feed(&cutter, half, strlen(half), on_event, story);
	event_cutter_restart(&cutter);
	event_cutter_feed(&cutter, whole, strlen(whole), on_event, story);
	assert_string_equal(story->str, "[id7:18]");
	event_cutter_clear(&cutter);
	g_string_free(story, TRUE);
}

static void
endless_events_are_refused(void **state)
{
	GString *story = g_string_new(NULL);
	struct event_cutter cutter;
	char bytes[4096];
	bool ok = true;

	(void)state;
	memset(bytes, 'x', sizeof(bytes));
	event_cutter_init(&cutter);
	for (int i = 0; i < EVENT_BYTES_MAX / 4096 + 1 && ok; i++)
		ok = event_cutter_feed(
		    &cutter, bytes, sizeof(bytes), on_event, story);
	assert_false(ok);
	event_cutter_clear(&cutter);
	g_string_free(story, TRUE);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(only_whole_events_are_told),
	    cmocka_unit_test(a_half_event_is_dropped_on_restart),
	    cmocka_unit_test(endless_events_are_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
