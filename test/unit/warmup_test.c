/* Unit tests of the slow start of upstreams. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <glib.h>

#include "godwitvale/core/warmup.h"

static const struct warmup_options options = {.cold_limit = 4,
    .max_running = 44,
    .warm_span = 10 * USEC_PER_SEC,
    .silence_span = 5 * USEC_PER_SEC};

static bool
handle_report(struct warmup *warmup, usec_t now, uint64_t epoch, usec_t uptime,
    uint32_t running, uint32_t expected)
{
	struct warmup_report report = {.requested_at = now,
	    .start_epoch = epoch,
	    .uptime = uptime,
	    .running = running,
	    .expected_running = expected};

	return warmup_handle_report(warmup, now, &report);
}

static void
limit_grows_with_reported_uptime(void **state)
{
	struct warmup warmup;

	(void)state;
	warmup_init(&warmup, &options);
	assert_int_equal(warmup_limit(&warmup, 0), 4);
	assert_true(warmup_is_cold(&warmup, 3600 * USEC_PER_SEC));
	assert_false(handle_report(&warmup, 0, 7, 5 * USEC_PER_SEC, 0, 0));
	assert_int_equal(warmup_limit(&warmup, 0), 24);
	assert_int_equal(warmup_limit(&warmup, 2 * USEC_PER_SEC), 32);
	handle_report(&warmup, 5 * USEC_PER_SEC, 7, 10 * USEC_PER_SEC, 0, 0);
	assert_false(warmup_is_cold(&warmup, 5 * USEC_PER_SEC));
}

static void
new_epoch_or_shorter_uptime_is_a_restart(void **state)
{
	struct warmup warmup;

	(void)state;
	warmup_init(&warmup, &options);
	handle_report(&warmup, 0, 7, 99 * USEC_PER_SEC, 0, 0);
	assert_true(handle_report(&warmup, 1, 8, 0, 0, 0));
	assert_int_equal(warmup_limit(&warmup, 1), 4);
	handle_report(&warmup, 2, 8, 99 * USEC_PER_SEC, 0, 0);
	assert_true(handle_report(&warmup, 3, 8, 1, 0, 0));
}

static void
silence_and_lost_requests_count_as_cold(void **state)
{
	struct warmup warmup;
	usec_t now = 0;

	(void)state;
	warmup_init(&warmup, &options);
	handle_report(&warmup, now, 7, 99 * USEC_PER_SEC, 20, 5);
	assert_false(warmup_is_cold(&warmup, 5 * USEC_PER_SEC));
	assert_true(warmup_is_cold(&warmup, 5 * USEC_PER_SEC + 1));
	now = 6 * USEC_PER_SEC;
	handle_report(&warmup, now, 7, 105 * USEC_PER_SEC, 20, 5);
	assert_false(warmup_is_cold(&warmup, now));
	warmup_mark_silent(&warmup);
	assert_int_equal(warmup_limit(&warmup, now), 4);
	assert_true(handle_report(&warmup, now, 7, 106 * USEC_PER_SEC, 0, 5));
	assert_int_equal(warmup_limit(&warmup, now), 4);
}

/// A report that was delayed, for example because the process was paused, is as
/// old as its request. It must not count as current when it is handled.
static void
report_age_counts_from_its_request(void **state)
{
	struct warmup warmup;
	struct warmup_report report = {.requested_at = 10 * USEC_PER_SEC,
	    .start_epoch = 7,
	    .uptime = 99 * USEC_PER_SEC};

	(void)state;
	warmup_init(&warmup, &options);
	warmup_handle_report(&warmup, 14 * USEC_PER_SEC, &report);
	assert_false(warmup_is_cold(&warmup, 15 * USEC_PER_SEC));
	assert_true(warmup_is_cold(&warmup, 15 * USEC_PER_SEC + 1));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(report_age_counts_from_its_request),
	    cmocka_unit_test(limit_grows_with_reported_uptime),
	    cmocka_unit_test(new_epoch_or_shorter_uptime_is_a_restart),
	    cmocka_unit_test(silence_and_lost_requests_count_as_cold),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
