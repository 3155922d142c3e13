/* Unit tests of labelled counters and histograms, and of stories. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "godwitvale/ops/explain.h"
#include "godwitvale/ops/series.h"

static const struct series_kind ended = {
    "ended_total", "Ended.", "route", "outcome"};
static const struct series_kind plain = {"plain_total", "Plain.", NULL, NULL};
static const struct series_kind took = {"took_seconds", "Took.", "route", NULL};

static void
counters_are_written_by_label(void **state)
{
	GString *text = g_string_new(NULL);

	(void)state;
	series_reset();
	series_add(&ended, "b", "ok", 1);
	series_add(&ended, "a", "say \"no\"", 2);
	series_add(&ended, "b", "ok", 3);
	series_add(&plain, NULL, NULL, 7);
	series_to_text(text);
	assert_string_equal(text->str,
	    "# HELP godwitvale_ended_total Ended.\n"
	    "# TYPE godwitvale_ended_total counter\n"
	    "godwitvale_ended_total{route=\"a\",outcome=\"say \\\"no\\\"\"} 2\n"
	    "godwitvale_ended_total{route=\"b\",outcome=\"ok\"} 4\n"
	    "# HELP godwitvale_plain_total Plain.\n"
	    "# TYPE godwitvale_plain_total counter\n"
	    "godwitvale_plain_total{} 7\n");
	g_string_free(text, TRUE);
}

static void
histograms_add_up(void **state)
{
	GString *text = g_string_new(NULL);

	(void)state;
	series_reset();
	series_observe(&took, "a", NULL, 5 * USEC_PER_MSEC);
	series_observe(&took, "a", NULL, 250 * USEC_PER_MSEC);
	series_observe(&took, "a", NULL, 90 * USEC_PER_SEC);
	series_to_text(text);
	assert_non_null(strstr(text->str,
	    "godwitvale_took_seconds_bucket{route=\"a\",le=\"0.002\"} 0\n"
	    "godwitvale_took_seconds_bucket{route=\"a\",le=\"0.005\"} 1\n"));
	assert_non_null(strstr(text->str, "le=\"0.3\"} 2\n"));
	assert_non_null(strstr(text->str, "le=\"+Inf\"} 3\n"));
	assert_non_null(strstr(text->str,
	    "godwitvale_took_seconds_sum{route=\"a\"} 90.255000\n"
	    "godwitvale_took_seconds_count{route=\"a\"} 3\n"));
	g_string_free(text, TRUE);
}

/// Labels that callers or operators can make up don't fill the memory.
static void
the_number_of_series_is_bounded(void **state)
{
	GString *text = g_string_new(NULL);
	char value[32];
	char **lines;

	(void)state;
	series_reset();
	for (int i = 0; i < 10000; i++) {
		g_snprintf(value, sizeof(value), "r-%d", i);
		series_add(&ended, value, "ok", 1);
	}
	series_to_text(text);
	lines = g_strsplit(text->str, "\n", -1);
	assert_in_range(g_strv_length(lines), 500, 600);
	assert_non_null(strstr(text->str, "route=\"other\""));
	g_strfreev(lines);
	g_string_free(text, TRUE);
	series_reset();
}

/// Lines of two instances, out of order and with what a runner puts before
/// them.
static const char *const log_lines[] = {
    "  1.5 e1 {\"time\":\"2026-01-01T00:00:05.500Z\",\"level\":\"warn\","
    "\"instance\":\"e1\",\"event\":\"request-ended\",\"id\":\"r1\","
    "\"upstream\":\"u1\",\"status\":0,\"outcome\":\"stream-cut\","
    "\"verdict\":\"ran\"}",
    "{\"time\":\"2026-01-01T00:00:04.000Z\",\"level\":\"info\",\"instance\":"
    "\"e1\",\"event\":\"request-placed\",\"id\":\"r1\",\"upstream\":\"u1\"}",
    "{\"time\":\"2026-01-01T00:00:05.000Z\",\"level\":\"info\",\"instance\":"
    "\"e1\",\"event\":\"upstream-draining\",\"upstream\":\"u1\"}",
    /* On another upstream, of another instance, too early. */
    "{\"time\":\"2026-01-01T00:00:05.000Z\",\"level\":\"info\",\"instance\":"
    "\"e1\",\"event\":\"upstream-draining\",\"upstream\":\"u2\"}",
    "{\"time\":\"2026-01-01T00:00:05.000Z\",\"level\":\"info\",\"instance\":"
    "\"e2\",\"event\":\"upstream-draining\",\"upstream\":\"u1\"}",
    "{\"time\":\"2026-01-01T00:00:00.000Z\",\"level\":\"info\",\"instance\":"
    "\"e1\",\"event\":\"start\"}",
    "{\"time\":\"2026-01-01T00:00:04.500Z\",\"level\":\"warn\",\"instance\":"
    "\"e1\",\"event\":\"store-view-lost\",\"age_ms\":1502}",
    "{\"time\":\"2026-01-01T00:00:04.100Z\",\"level\":\"info\",\"instance\":"
    "\"e1\",\"event\":\"request-ended\",\"id\":\"r2\"}",
    "{\"time\":\"2026-01-01T00:00:09.000Z\",\"level\":\"warn\",\"instance\":"
    "\"e3\",\"event\":\"request-ended\",\"id\":\"r3\",\"upstream\":\"u3\","
    "\"status\":0,\"outcome\":\"caller-gone\",\"verdict\":\"may-have-run\","
    "\"events\":0}",
    "not a line of ours", "{broken", "[]"};

static char *
story_of(const char *id)
{
	struct explain *explain = explain_new(id);
	GString *out = g_string_new(NULL);

	for (size_t i = 0; i < G_N_ELEMENTS(log_lines); i++)
		explain_take_line(explain, log_lines[i]);
	if (!explain_tell(explain, out))
		g_string_append(out, "nothing");
	explain_free(explain);
	return g_string_free(out, FALSE);
}

static void
a_story_has_what_was_done_and_believed(void **state)
{
	char *story = story_of("r1");

	(void)state;
	assert_string_equal(story,
	    "2026-01-01T00:00:04.000Z e1 * request-placed upstream=u1\n"
	    "2026-01-01T00:00:04.500Z e1   store-view-lost age_ms=1502\n"
	    "2026-01-01T00:00:05.000Z e1   upstream-draining upstream=u1\n"
	    "2026-01-01T00:00:05.500Z e1 * request-ended upstream=u1 status=0 "
	    "outcome=stream-cut verdict=ran\n"
	    "cause: the stream of u1 broke off and there was no copy of its "
	    "memory to go on from (status 0, ran)\n"
	    "belief: upstream-draining, 500 ms before the end\n");
	g_free(story);
	story = story_of("r3");
	assert_non_null(strstr(story,
	    "cause: u3 had sent no event yet when the caller closed its "
	    "connection (status 0, may-have-run)\n"));
	g_free(story);
	story = story_of("r9");
	assert_string_equal(story, "nothing");
	g_free(story);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(counters_are_written_by_label),
	    cmocka_unit_test(histograms_add_up),
	    cmocka_unit_test(the_number_of_series_is_bounded),
	    cmocka_unit_test(a_story_has_what_was_done_and_believed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
