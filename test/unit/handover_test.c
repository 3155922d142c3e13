/* Unit tests of handovers: scripted runs of the state machine. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "godwitvale/core/handover.h"

#define MS USEC_PER_MSEC

static const struct handover_options options = {
    .refresh_delay = 1100 * MS,
    .refresh_margin = 400 * MS,
    .stop_margin = 150 * MS,
    .spread_span = 100 * MS,
    .retry_span = 80 * MS,
    .answer_span = 300 * MS,
    .max_tries = 3,
};

/// Asks for the step that is due at a time, and what wakes it up next.
static void
assert_step(struct handover *handover, usec_t at_ms, const char *expected)
{
	enum handover_step step = handover_next(handover, at_ms * MS);
	usec_t wake = handover_wake(handover);
	char text[64];

	if (step != HANDOVER_WAIT)
		g_strlcpy(text, handover_step_name(step), sizeof(text));
	else if (wake == USEC_NEVER)
		g_strlcpy(text, "wait", sizeof(text));
	else
		g_snprintf(
		    text, sizeof(text), "wait %" G_GINT64_FORMAT, wake / MS);
	assert_string_equal(text, expected);
}

/// Copies, as the driver does when it is told to.
static void
copy(struct handover *handover, usec_t at_ms, usec_t done_ms)
{
	assert_step(handover, at_ms, "copy");
	handover_began(handover, HANDOVER_COPY);
	handover_made(handover, done_ms * MS, "h1");
}

/// The usual way: copied, refreshed, stopped, resumed at the target.
static void
a_leaving_upstream_is_copied_refreshed_and_stopped(void **state)
{
	struct handover handover;

	(void)state;
	handover_init(&handover, &options);
	assert_step(&handover, 0, "wait");
	handover_notice(&handover, 0, 0, 0.5);
	assert_step(&handover, 0, "wait 50");
	copy(&handover, 50, 300);
	assert_step(&handover, 300, "wait 1100");
	/* It says when it will be gone: a later refresh, and a stop. */
	handover_notice(&handover, 700 * MS, 1800 * MS, 0.5);
	assert_step(&handover, 700, "wait 1400");
	assert_step(&handover, 1400, "refresh");
	handover_began(&handover, HANDOVER_REFRESH);
	assert_step(&handover, 1410, "wait");
	handover_made(&handover, 1420 * MS, "h1");
	assert_step(&handover, 1420, "wait 1650");
	assert_step(&handover, 1650, "stop");
	handover_began(&handover, HANDOVER_STOP);
	handover_cut(&handover, 1655 * MS);
	assert_step(&handover, 1655, "wait 1955");
	handover_made(&handover, 1660 * MS, "h1");
	assert_step(&handover, 1660, "resume");
	assert_string_equal(handover.handle, "h1");
}

/// When others' copies hold up the refresh until the upstream is gone, the
/// first copy serves at once.
static void
a_cut_during_the_refresh_resumes_from_the_first_copy(void **state)
{
	struct handover handover;

	(void)state;
	handover_init(&handover, &options);
	handover_notice(&handover, 0, 0, 0);
	copy(&handover, 0, 900);
	assert_step(&handover, 1100, "refresh");
	handover_began(&handover, HANDOVER_REFRESH);
	handover_cut(&handover, 1700 * MS);
	assert_step(&handover, 1700, "resume");
}

static void
a_cut_without_a_copy_breaks_the_stream(void **state)
{
	struct handover handover;

	(void)state;
	handover_init(&handover, &options);
	handover_cut(&handover, 10 * MS);
	assert_step(&handover, 10, "break");
	/* A first copy under way may still be answered. */
	handover_init(&handover, &options);
	handover_notice(&handover, 0, 0, 0);
	assert_step(&handover, 0, "copy");
	handover_began(&handover, HANDOVER_COPY);
	handover_cut(&handover, 1000 * MS);
	assert_step(&handover, 1000, "wait 1300");
	assert_step(&handover, 1300, "break");
	handover_made(&handover, 1301 * MS, "h1");
	assert_step(&handover, 1301, "resume");
}

static void
a_run_whose_prompt_is_still_read_is_tried_again(void **state)
{
	struct handover handover;
	char expected[32];

	(void)state;
	handover_init(&handover, &options);
	handover_notice(&handover, 0, 0, 0);
	for (int i = 0; i < 10; i++) {
		assert_step(&handover, i * 100, "copy");
		handover_began(&handover, HANDOVER_COPY);
		handover_refused(&handover, i * 100 * MS, HANDOVER_NOT_RUNNING);
		g_snprintf(expected, sizeof(expected), "wait %d", i * 100 + 80);
		assert_step(&handover, i * 100, expected);
	}
	copy(&handover, 1000, 1200);
}

static void
full_targets_are_tried_a_few_times(void **state)
{
	struct handover handover;

	(void)state;
	handover_init(&handover, &options);
	handover_notice(&handover, 0, 0, 0);
	for (unsigned i = 0; i < options.max_tries; i++) {
		assert_step(&handover, (usec_t)i * 100, "copy");
		handover_began(&handover, HANDOVER_COPY);
		handover_refused(
		    &handover, (usec_t)i * 100 * MS, HANDOVER_NO_ROOM);
	}
	assert_step(&handover, 1000, "wait");
	handover_cut(&handover, 1800 * MS);
	assert_step(&handover, 1800, "break");
}

static void
a_refused_stop_leaves_the_copy_in_use(void **state)
{
	struct handover handover;

	(void)state;
	handover_init(&handover, &options);
	handover_notice(&handover, 0, 1800 * MS, 0);
	copy(&handover, 0, 200);
	assert_step(&handover, 1700, "stop");
	handover_began(&handover, HANDOVER_STOP);
	handover_refused(&handover, 1710 * MS, HANDOVER_NO_ROOM);
	assert_step(&handover, 1710, "wait");
	handover_cut(&handover, 1800 * MS);
	assert_step(&handover, 1800, "resume");
}

/// Targets that leave too are left in turn.
static void
a_resumed_run_can_be_handed_over_again(void **state)
{
	struct handover handover;

	(void)state;
	handover_init(&handover, &options);
	handover_notice(&handover, 0, 0, 0);
	copy(&handover, 0, 200);
	handover_cut(&handover, 500 * MS);
	assert_step(&handover, 500, "resume");
	handover_reset(&handover);
	assert_step(&handover, 600, "wait");
	handover_notice(&handover, 3000 * MS, 0, 0);
	assert_step(&handover, 3000, "copy");
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(
		a_leaving_upstream_is_copied_refreshed_and_stopped),
	    cmocka_unit_test(
		a_cut_during_the_refresh_resumes_from_the_first_copy),
	    cmocka_unit_test(a_cut_without_a_copy_breaks_the_stream),
	    cmocka_unit_test(a_run_whose_prompt_is_still_read_is_tried_again),
	    cmocka_unit_test(full_targets_are_tried_a_few_times),
	    cmocka_unit_test(a_refused_stop_leaves_the_copy_in_use),
	    cmocka_unit_test(a_resumed_run_can_be_handed_over_again),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
