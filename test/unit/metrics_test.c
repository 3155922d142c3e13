/* Unit tests of the counters and gauges. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "godwitvale/ops/metrics.h"

static void
adds_to_counters_and_sets_gauges(void **state)
{
	(void)state;
	metrics_reset();
	metrics_add(METRIC_REQUESTS, 2);
	metrics_add(METRIC_REQUESTS, 3);
	metrics_set(METRIC_QUEUE_LENGTH, 7);
	metrics_set(METRIC_QUEUE_LENGTH, 4);
	assert_int_equal(metrics_get(METRIC_REQUESTS), 5);
	assert_int_equal(metrics_get(METRIC_QUEUE_LENGTH), 4);
	metrics_reset();
	assert_int_equal(metrics_get(METRIC_REQUESTS), 0);
}

static void
writes_the_text_format(void **state)
{
	GString *text;

	(void)state;
	metrics_reset();
	metrics_add(METRIC_REFUSED_QUEUE_FULL, 3);
	metrics_set(METRIC_BUNDLE_VERSION, UINT64_MAX);
	text = metrics_to_text();
	assert_non_null(strstr(text->str,
	    "# HELP godwitvale_requests_refused_total Requests refused, by "
	    "reason.\n"
	    "# TYPE godwitvale_requests_refused_total counter\n"
	    "godwitvale_requests_refused_total{reason=\"deadline\"} 0\n"
	    "godwitvale_requests_refused_total{reason=\"queue_full\"} 3\n"));
	assert_non_null(strstr(text->str,
	    "# TYPE godwitvale_bundle_version gauge\n"
	    "godwitvale_bundle_version 18446744073709551615\n"));
	g_string_free(text, TRUE);
}

/// The header of each family is written once, and every metric has a line.
static void
writes_each_family_header_once(void **state)
{
	GHashTable *seen =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GString *text = metrics_to_text();
	char **lines = g_strsplit(text->str, "\n", -1);
	unsigned lines_with_value = 0;

	(void)state;
	for (size_t i = 0; lines[i] != NULL; i++) {
		if (g_str_has_prefix(lines[i], "# TYPE "))
			assert_true(g_hash_table_add(seen, g_strdup(lines[i])));
		else if (g_str_has_prefix(lines[i], "godwitvale_"))
			lines_with_value++;
		assert_null(strstr(lines[i], "(null)"));
	}
	assert_int_equal(lines_with_value, METRIC_COUNT);
	g_strfreev(lines);
	g_string_free(text, TRUE);
	g_hash_table_unref(seen);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(adds_to_counters_and_sets_gauges),
	    cmocka_unit_test(writes_the_text_format),
	    cmocka_unit_test(writes_each_family_header_once),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
