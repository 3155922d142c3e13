/* Unit tests of labelled counters and histograms, and of request timelines. */
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
static const struct series_kind duration = {
    "took_seconds", "Took.", "route", NULL};

static void
counters_are_written_per_label(void **state)
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
histogram_buckets_are_cumulative(void **state)
{
	GString *text = g_string_new(NULL);

	(void)state;
	series_reset();
	series_observe(&duration, "a", NULL, 5 * USEC_PER_MSEC);
	series_observe(&duration, "a", NULL, 250 * USEC_PER_MSEC);
	series_observe(&duration, "a", NULL, 90 * USEC_PER_SEC);
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

/// Label values that callers or operators choose cannot exhaust the memory.
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

/// Log lines of several instances, out of order. The first has a prefix,
/// such as a process runner adds.
static const char *const log_lines[] = {
    "  1.5 e1 {\"time\":\"2026-01-01T00:00:05.500Z\",\"level\":\"warn\","
    "\"instance\":\"e1\",\"event\":\"request-ended\",\"id\":\"r1\","
    "\"upstream\":\"u1\",\"status\":0,\"outcome\":\"stream-cut\","
    "\"verdict\":\"ran\"}",
    "{\"time\":\"2026-01-01T00:00:04.000Z\",\"level\":\"info\",\"instance\":"
    "\"e1\",\"event\":\"request-placed\",\"id\":\"r1\",\"upstream\":\"u1\"}",
    "{\"time\":\"2026-01-01T00:00:05.000Z\",\"level\":\"info\",\"instance\":"
    "\"e1\",\"event\":\"upstream-draining\",\"upstream\":\"u1\"}",
    /*
     * These are not part of the timeline of r1: about another upstream, from
     * another instance, too early.
     */
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

/// Returns the timeline of a request from log_lines, or "nothing".
static char *
explain_request(const char *id)
{
	struct explain *explain = explain_new(id);
	GString *out = g_string_new(NULL);

	for (size_t i = 0; i < G_N_ELEMENTS(log_lines); i++)
		explain_add_line(explain, log_lines[i]);
	if (!explain_write(explain, out))
		g_string_append(out, "nothing");
	explain_free(explain);
	return g_string_free(out, FALSE);
}

static void
timeline_has_request_and_context_lines(void **state)
{
	char *timeline = explain_request("r1");

	(void)state;
	assert_string_equal(timeline,
	    "2026-01-01T00:00:04.000Z e1 * request-placed upstream=u1\n"
	    "2026-01-01T00:00:04.500Z e1   store-view-lost age_ms=1502\n"
	    "2026-01-01T00:00:05.000Z e1   upstream-draining upstream=u1\n"
	    "2026-01-01T00:00:05.500Z e1 * request-ended upstream=u1 status=0 "
	    "outcome=stream-cut verdict=ran\n"
	    "cause: the stream from u1 was cut off and there was no copy of "
	    "the generation's memory to resume from (status 0, ran)\n"
	    "last event: upstream-draining, 500 ms before the end\n");
	g_free(timeline);
	timeline = explain_request("r3");
	assert_non_null(strstr(timeline,
	    "cause: u3 had sent no event yet when the caller closed its "
	    "connection (status 0, may-have-run)\n"));
	g_free(timeline);
	timeline = explain_request("r9");
	assert_string_equal(timeline, "nothing");
	g_free(timeline);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(counters_are_written_per_label),
	    cmocka_unit_test(histogram_buckets_are_cumulative),
	    cmocka_unit_test(the_number_of_series_is_bounded),
	    cmocka_unit_test(timeline_has_request_and_context_lines),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
