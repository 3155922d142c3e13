/* Unit tests of shares, ejection, returning callers and waiting. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "godwitvale/core/retry_after.h"
#include "godwitvale/core/fleet_share.h"
#include "godwitvale/core/outlier.h"
#include "godwitvale/core/event_interval.h"
#include "godwitvale/core/wait_queue.h"

#define SEC USEC_PER_SEC
#define MS USEC_PER_MSEC

/// All instances turn to a cold upstream in the same second: their sum stays
/// under what it bears in any second.
static void
cold_upstreams_get_what_they_bear(void **state)
{
	const double rate = 26;
	const double overrun = 1.5;
	const double slack = 5;

	(void)state;
	for (unsigned n = 1; n <= 18; n++) {
		struct fleet_share shares[18] = {0};
		unsigned in_second[5] = {0};

		for (usec_t now = SEC; now < 6 * SEC; now += 5 * MS)
			for (unsigned i = 0; i < n; i++) {
				fleet_share_configure_cold(
				    &shares[i], now, rate, overrun, slack, n);
				in_second[now / SEC - 1] +=
				    fleet_share_take_permit(&shares[i], now);
			}
		for (int i = 0; i < 5; i++)
			assert_in_range(
			    in_second[i], 1, rate * overrun + slack);
	}
}

/// Every upstream fails at once and every instance repeats all it can: the
/// repeats of any window stay under the bound.
static void
repeats_stay_under_the_bound(void **state)
{
	const double slack = 58;
	const double ratio = 0.2;
	const usec_t window = 10 * SEC;
	const unsigned n = 9;
	struct fleet_share shares[9] = {0};
	unsigned at[400] = {0};
	unsigned first = 0;

	(void)state;
	for (int step = 0; step < 400; step++) {
		usec_t now = SEC + step * 100 * MS;

		for (unsigned i = 0; i < n; i++) {
			fleet_share_configure_retries(
			    &shares[i], now, slack, window, n);
			fleet_share_add_permits(&shares[i], 0.7 * ratio);
			first++;
			while (fleet_share_take_permit(&shares[i], now))
				at[step]++;
		}
	}
	for (int from = 0; from + 100 <= 400; from++) {
		unsigned sum = 0;

		for (int i = from; i < from + 100; i++)
			sum += at[i];
		assert_in_range(sum, 0, ratio * 100 * n + slack);
	}
	assert_int_equal(first, 400 * n);
}

static void
broken_answers_eject_and_return_is_slow(void **state)
{
	struct outlier outlier = {0};

	(void)state;
	assert_false(outlier_record_result(&outlier, SEC, OUTLIER_BROKEN));
	assert_true(outlier_record_result(&outlier, SEC, OUTLIER_BROKEN));
	assert_true(outlier_is_ejected(&outlier, 2 * SEC - 1));
	assert_false(outlier_is_ejected(&outlier, 2 * SEC));
	assert_true(outlier_is_on_trial(&outlier, 2 * SEC));
	/* One more failure is enough, and the span doubles. */
	assert_true(outlier_record_result(&outlier, 2 * SEC, OUTLIER_BROKEN));
	assert_true(outlier_is_ejected(&outlier, 4 * SEC - 1));
	outlier_record_result(&outlier, 4 * SEC, OUTLIER_SERVED);
	assert_false(outlier_is_on_trial(&outlier, 4 * SEC));
	assert_false(outlier_record_result(&outlier, 4 * SEC, OUTLIER_BROKEN));
}

/// Nobody listens there: no second request is lost to it.
static void
a_refused_connection_ejects_at_once(void **state)
{
	struct outlier outlier = {0};

	(void)state;
	assert_true(outlier_record_result(&outlier, SEC, OUTLIER_UNREACHABLE));
	assert_true(outlier_is_ejected(&outlier, SEC));
}

/// One answer in seven reports an error as a matter of course.
static void
a_steady_share_of_errors_ejects_nobody(void **state)
{
	GRand *rand = g_rand_new_with_seed(3);
	unsigned ejections = 0;

	(void)state;
	for (int upstream = 0; upstream < 100; upstream++) {
		struct outlier outlier = {0};

		for (int i = 0; i < 60; i++)
			ejections += outlier_record_result(&outlier, i * SEC,
			    g_rand_double(rand) < 0.14 ? OUTLIER_ERROR
						       : OUTLIER_SERVED);
	}
	assert_int_equal(ejections, 0);
	g_rand_free(rand);
}

static void
an_upstream_that_only_errs_is_ejected(void **state)
{
	struct outlier outlier = {0};
	bool ejected = false;

	(void)state;
	for (int i = 0; i < 10 && !ejected; i++)
		ejected = outlier_record_result(&outlier, SEC, OUTLIER_ERROR);
	assert_true(ejected);
}

/// Engines whose pace differs by their load are alike; one that makes its
/// events four times as slow comes after all others.
static void
slow_engines_are_found_by_their_pace(void **state)
{
	struct event_interval all = {0};
	struct event_interval engines[10] = {0};

	(void)state;
	for (int i = 0; i < 100; i++)
		for (int e = 0; e < 10; e++) {
			usec_t span = (e == 9 ? 140 : 30 + e) * MS;

			event_interval_add(&engines[e], span);
			event_interval_add(&all, span);
		}
	for (int e = 0; e < 9; e++)
		assert_true(event_interval_penalty(&engines[e], &all) == 0);
	assert_true(event_interval_penalty(&engines[9], &all) > 0.5);
	/* Too little is known of a new one. */
	engines[9].n_samples = 5;
	assert_true(event_interval_penalty(&engines[9], &all) == 0);
}

/// A burst is refused in one moment; its callers come back spread.
static void
refused_callers_come_back_spread(void **state)
{
	usec_t first = USEC_NEVER;
	usec_t last = 0;

	(void)state;
	for (int i = 0; i <= 100; i++) {
		usec_t after = retry_after_span(RETRY_AFTER_UPSTREAMS_FULL,
		    1800 * MS, 39 * SEC, (double)i / 100);

		first = MIN(first, after);
		last = MAX(last, after);
	}
	assert_int_equal(first, 450 * MS);
	assert_int_equal(last, 1350 * MS);
	/* Never later than the caller would take, never a busy loop. */
	assert_int_equal(retry_after_span(RETRY_AFTER_UPSTREAMS_FULL, 1800 * MS,
			     400 * MS, 1),
	    100 * MS);
	assert_int_equal(
	    retry_after_span(RETRY_AFTER_UPSTREAMS_FULL, 1800 * MS, 0, 1),
	    50 * MS);
	assert_int_equal(
	    retry_after_span(RETRY_AFTER_LEAVING, 1800 * MS, 39 * SEC, 0),
	    50 * MS);
}

/// What a run of the queue may place.
struct room {
	const char *full; /// requests that find no room
	GString *tried;
};

static bool
attempt(void *owner, void *request)
{
	struct room *room = owner;
	const char *name = request;

	g_string_append(room->tried, name);
	return strchr(room->full, name[0]) == NULL;
}

static void
the_urgent_go_first_and_a_full_service_holds_up_no_other(void **state)
{
	static const struct wait_queue_entry entries[] = {
	    {(void *)"d", 1, 1, 50}, {(void *)"c", 1, 1, 40},
	    {(void *)"a", 1, 0, 90}, {(void *)"b", 2, 1, 30},
	    {(void *)"e", 2, 1, 60}};
	struct wait_queue *queue = wait_queue_new();
	struct room room = {"c", g_string_new(NULL)};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(entries); i++)
		wait_queue_add(queue, &entries[i]);
	wait_queue_process(queue, attempt, &room);
	assert_string_equal(room.tried->str, "abce");
	assert_int_equal(wait_queue_length(queue), 5);
	wait_queue_remove(queue, entries[2].request);
	wait_queue_remove(queue, entries[2].request);
	assert_int_equal(wait_queue_length(queue), 4);
	wait_queue_free(queue);
	g_string_free(room.tried, TRUE);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(cold_upstreams_get_what_they_bear),
	    cmocka_unit_test(repeats_stay_under_the_bound),
	    cmocka_unit_test(broken_answers_eject_and_return_is_slow),
	    cmocka_unit_test(a_refused_connection_ejects_at_once),
	    cmocka_unit_test(a_steady_share_of_errors_ejects_nobody),
	    cmocka_unit_test(an_upstream_that_only_errs_is_ejected),
	    cmocka_unit_test(slow_engines_are_found_by_their_pace),
	    cmocka_unit_test(refused_callers_come_back_spread),
	    cmocka_unit_test(
		the_urgent_go_first_and_a_full_service_holds_up_no_other),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
