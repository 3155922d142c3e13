/* Unit tests of crashes that may be cuts of an instance's own links. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "godwitvale/core/crash_doubts.h"

#define MSEC USEC_PER_MSEC
#define SECOND USEC_PER_SEC
#define START (1000 * SECOND)

static int crash_a;
static int crash_b;

/// What was sent before the crash may have been answered before it, too.
static void
round_trips_that_began_before_confirm_nothing(void **state)
{
	struct crash_doubts *doubts = crash_doubts_new();

	(void)state;
	crash_doubts_note_answered(doubts, START - 1);
	assert_true(crash_doubts_add(doubts, START, &crash_a));
	assert_null(crash_doubts_take_confirmed(doubts));
	crash_doubts_note_answered(doubts, START - 10 * MSEC);
	crash_doubts_note_answered(doubts, START);
	assert_null(crash_doubts_take_confirmed(doubts));
	crash_doubts_free(doubts);
}

static void
round_trips_that_begin_right_after_confirm(void **state)
{
	struct crash_doubts *doubts = crash_doubts_new();

	(void)state;
	assert_true(crash_doubts_add(doubts, START, &crash_a));
	crash_doubts_note_answered(doubts, START + 1);
	assert_ptr_equal(crash_doubts_take_confirmed(doubts), &crash_a);
	assert_null(crash_doubts_take_confirmed(doubts));
	crash_doubts_free(doubts);
}

/// Whether an upstream has crashed is known later than the crash.
static void
crashes_that_are_added_late_are_confirmed(void **state)
{
	struct crash_doubts *doubts = crash_doubts_new();

	(void)state;
	for (usec_t at = START; at < START + SECOND; at += 10 * MSEC)
		crash_doubts_note_answered(doubts, at);
	assert_true(crash_doubts_add(doubts, START, &crash_a));
	assert_ptr_equal(crash_doubts_take_confirmed(doubts), &crash_a);
	crash_doubts_free(doubts);
}

/// Links that were cut for half a second: two crashes, and then all is well.
static void
round_trips_after_a_cut_confirm_nothing(void **state)
{
	struct crash_doubts *doubts = crash_doubts_new();

	(void)state;
	assert_true(crash_doubts_add(doubts, START, &crash_a));
	assert_true(crash_doubts_add(doubts, START + 50 * MSEC, &crash_b));
	for (usec_t at = START + 500 * MSEC; at < START + 60 * SECOND;
	     at += 10 * MSEC) {
		crash_doubts_note_answered(doubts, at);
		assert_null(crash_doubts_take_confirmed(doubts));
	}
	crash_doubts_free(doubts);
}

/// The second crash happens too late for the answer that confirms the first.
static void
each_crash_needs_its_own_round_trip(void **state)
{
	struct crash_doubts *doubts = crash_doubts_new();

	(void)state;
	assert_true(crash_doubts_add(doubts, START, &crash_a));
	assert_true(crash_doubts_add(doubts, START + 42 * MSEC, &crash_b));
	crash_doubts_note_answered(doubts, START + MSEC);
	assert_ptr_equal(crash_doubts_take_confirmed(doubts), &crash_a);
	assert_null(crash_doubts_take_confirmed(doubts));
	assert_true(crash_doubts_want_probes(doubts, START + 43 * MSEC));
	crash_doubts_note_answered(doubts, START + 43 * MSEC);
	assert_ptr_equal(crash_doubts_take_confirmed(doubts), &crash_b);
	assert_false(crash_doubts_want_probes(doubts, START + 43 * MSEC));
	crash_doubts_free(doubts);
}

static void
crashes_are_confirmed_in_their_order(void **state)
{
	struct crash_doubts *doubts = crash_doubts_new();
	int crashes[4];

	(void)state;
	for (unsigned i = 0; i < 4; i++)
		assert_true(
		    crash_doubts_add(doubts, START + i * MSEC, &crashes[i]));
	crash_doubts_note_answered(doubts, START + 10 * MSEC);
	for (unsigned i = 0; i < 4; i++)
		assert_ptr_equal(
		    crash_doubts_take_confirmed(doubts), &crashes[i]);
	crash_doubts_free(doubts);
}

static void
probes_are_wanted_while_their_answers_would_confirm(void **state)
{
	struct crash_doubts *doubts = crash_doubts_new();

	(void)state;
	assert_false(crash_doubts_want_probes(doubts, START));
	assert_true(crash_doubts_add(doubts, START, &crash_a));
	assert_true(crash_doubts_want_probes(doubts, START + 250 * MSEC));
	assert_false(crash_doubts_want_probes(doubts, START + 500 * MSEC));
	crash_doubts_free(doubts);
}

static void
a_full_table_takes_no_more(void **state)
{
	struct crash_doubts *doubts = crash_doubts_new();

	(void)state;
	for (unsigned i = 0; i < CRASH_DOUBTS_MAX; i++)
		assert_true(crash_doubts_add(doubts, START, &crash_a));
	assert_false(crash_doubts_add(doubts, START, &crash_b));
	crash_doubts_note_answered(doubts, START + MSEC);
	for (unsigned i = 0; i < CRASH_DOUBTS_MAX; i++)
		assert_ptr_equal(crash_doubts_take_confirmed(doubts), &crash_a);
	assert_null(crash_doubts_take_confirmed(doubts));
	assert_true(crash_doubts_add(doubts, START + SECOND, &crash_b));
	crash_doubts_free(doubts);
}

/// An answer may come late; a crash is kept until none is expected any more.
static void
unconfirmed_crashes_expire(void **state)
{
	struct crash_doubts *doubts = crash_doubts_new();

	(void)state;
	assert_true(crash_doubts_add(doubts, START, &crash_a));
	assert_true(crash_doubts_add(doubts, START + SECOND, &crash_b));
	assert_null(crash_doubts_take_expired(doubts, START + 2 * SECOND));
	assert_ptr_equal(
	    crash_doubts_take_expired(doubts, START + 3 * SECOND), &crash_a);
	assert_null(crash_doubts_take_expired(doubts, START + 3 * SECOND));
	assert_ptr_equal(
	    crash_doubts_take_expired(doubts, START + 4 * SECOND), &crash_b);
	assert_null(crash_doubts_take_expired(doubts, START + 9 * SECOND));
	crash_doubts_free(doubts);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(round_trips_that_began_before_confirm_nothing),
	    cmocka_unit_test(round_trips_that_begin_right_after_confirm),
	    cmocka_unit_test(crashes_that_are_added_late_are_confirmed),
	    cmocka_unit_test(round_trips_after_a_cut_confirm_nothing),
	    cmocka_unit_test(each_crash_needs_its_own_round_trip),
	    cmocka_unit_test(crashes_are_confirmed_in_their_order),
	    cmocka_unit_test(
		probes_are_wanted_while_their_answers_would_confirm),
	    cmocka_unit_test(a_full_table_takes_no_more),
	    cmocka_unit_test(unconfirmed_crashes_expire),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
