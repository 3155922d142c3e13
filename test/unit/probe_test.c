/* Unit tests of when something that is away is asked again. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "godwitvale/core/probe.h"

/// Plays an outage of eight seconds in which each call fails at once.
///
/// @return calls that one instance makes
static unsigned
calls_in_outage(unsigned fleet_size, unsigned others_away)
{
	struct probe probe = {0};
	usec_t now = 0;
	unsigned calls = 0;

	while (now < 8 * USEC_PER_SEC) {
		calls++;
		probe_failed(&probe, now, fleet_size, others_away, 0.5);
		now = probe.due_at;
	}
	return calls;
}

/// A store that is away for a fleet of 81 instances is asked no more often
/// than some twenty times a second; a single instance asks twice a second.
static void
a_large_fleet_asks_seldom_while_the_store_is_away(void **state)
{
	(void)state;
	assert_in_range(calls_in_outage(1, 0), 16, 24);
	assert_in_range(calls_in_outage(81, 0), 4, 6);
	assert_in_range(calls_in_outage(81, 1), 4, 5);
	assert_in_range(calls_in_outage(370, 0), 4, 6);
}

static void
who_hears_of_the_return_asks_soon(void **state)
{
	struct probe probe = {0};

	(void)state;
	for (int i = 0; i < 5; i++)
		probe_failed(&probe, USEC_PER_SEC, 81, 1, 1.0);
	assert_true(probe.due_at >= 5 * USEC_PER_SEC);
	probe_heard(&probe, 2 * USEC_PER_SEC, 0.5);
	assert_true(probe.due_at <= 2 * USEC_PER_SEC + 400 * USEC_PER_MSEC);
	probe_answered(&probe);
	assert_int_equal(probe.failures, 0);
	probe_failed(&probe, 0, 81, 0, 1.0);
	assert_int_equal(probe.due_at, 100 * USEC_PER_MSEC);
}

/// A call that is due sooner stays so.
static void
hearing_delays_nothing(void **state)
{
	struct probe probe = {0};

	(void)state;
	probe_failed(&probe, 0, 1, 0, 0.0);
	probe_heard(&probe, 0, 1.0);
	assert_int_equal(probe.due_at, 50 * USEC_PER_MSEC);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(a_large_fleet_asks_seldom_while_the_store_is_away),
	    cmocka_unit_test(who_hears_of_the_return_asks_soon),
	    cmocka_unit_test(hearing_delays_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
