/* Unit tests of the retry backoff. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "godwitvale/core/backoff.h"

/// Simulates an outage of eight seconds in which each call fails at once.
///
/// @return number of calls that one instance makes
static unsigned
count_calls_in_outage(unsigned fleet_size, unsigned n_others_failing)
{
	struct backoff backoff = {0};
	usec_t now = 0;
	unsigned calls = 0;

	while (now < 8 * USEC_PER_SEC) {
		calls++;
		backoff_record_failure(
		    &backoff, now, fleet_size, n_others_failing, 0.5);
		now = backoff.retry_at;
	}
	return calls;
}

/// During an outage of the store, a fleet of 81 instances calls it about twenty
/// times a second at most; a single instance calls it about twice a second.
static void
call_rate_of_a_large_fleet_is_bounded(void **state)
{
	(void)state;
	assert_in_range(count_calls_in_outage(1, 0), 16, 24);
	assert_in_range(count_calls_in_outage(81, 0), 4, 6);
	assert_in_range(count_calls_in_outage(81, 1), 4, 5);
	assert_in_range(count_calls_in_outage(370, 0), 4, 6);
}

static void
shortening_brings_the_retry_forward(void **state)
{
	struct backoff backoff = {0};

	(void)state;
	for (int i = 0; i < 5; i++)
		backoff_record_failure(&backoff, USEC_PER_SEC, 81, 1, 1.0);
	assert_true(backoff.retry_at >= 5 * USEC_PER_SEC);
	backoff_shorten(&backoff, 2 * USEC_PER_SEC, 0.5);
	assert_true(backoff.retry_at <= 2 * USEC_PER_SEC + 400 * USEC_PER_MSEC);
	backoff_reset(&backoff);
	assert_int_equal(backoff.failures, 0);
	backoff_record_failure(&backoff, 0, 81, 0, 1.0);
	assert_int_equal(backoff.retry_at, 100 * USEC_PER_MSEC);
}

/// A retry that is already due earlier keeps its time.
static void
shortening_never_delays_a_retry(void **state)
{
	struct backoff backoff = {0};

	(void)state;
	backoff_record_failure(&backoff, 0, 1, 0, 0.0);
	backoff_shorten(&backoff, 0, 1.0);
	assert_int_equal(backoff.retry_at, 50 * USEC_PER_MSEC);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(call_rate_of_a_large_fleet_is_bounded),
	    cmocka_unit_test(shortening_brings_the_retry_forward),
	    cmocka_unit_test(shortening_never_delays_a_retry),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
