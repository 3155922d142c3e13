/* Unit tests of the admission of requests during a shutdown. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "godwitvale/core/shutdown_admission.h"

/// Part of the grace period in which requests may still run; the rest is
/// reserved for ending the process.
#define GRACE_LEFT (7700 * USEC_PER_MSEC)

/// Long generations ("drafts"), short generations ("hints") and orders arrive
/// in the seconds after SIGTERM. No accepted request may still run when the
/// process ends. A draft has up to 1,768 tokens, at 7 to 11 ms each, and its
/// first token takes up to 800 ms.
static void
accepted_requests_end_within_the_grace_period(void **state)
{
	static const struct {
		struct shutdown_work work;
		usec_t actual_span;
	} kinds[] = {
	    {{true, 1768, 0}, 800 * USEC_PER_MSEC + 1768 * 11 * USEC_PER_MSEC},
	    {{true, 600, 0}, 800 * USEC_PER_MSEC + 600 * 11 * USEC_PER_MSEC},
	    {{true, 12, 0}, 932 * USEC_PER_MSEC},
	    {{false, 0, 300 * USEC_PER_MSEC}, 300 * USEC_PER_MSEC},
	};

	(void)state;
	for (usec_t at = 0; at < GRACE_LEFT; at += 50 * USEC_PER_MSEC)
		for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++)
			if (shutdown_admission_accepts(
				&kinds[i].work, GRACE_LEFT - at))
				assert_true(
				    at + kinds[i].actual_span <= GRACE_LEFT);
}

static void
short_requests_are_accepted_until_shortly_before_the_end(void **state)
{
	const struct shutdown_work draft = {true, 1768, 0};
	const struct shutdown_work hint = {true, 12, 0};
	const struct shutdown_work order = {false, 0, 300 * USEC_PER_MSEC};

	(void)state;
	assert_false(shutdown_admission_accepts(&draft, GRACE_LEFT));
	assert_true(shutdown_admission_accepts(&hint, GRACE_LEFT));
	assert_true(shutdown_admission_accepts(&hint, USEC_PER_SEC));
	assert_false(shutdown_admission_accepts(&hint, 900 * USEC_PER_MSEC));
	assert_true(shutdown_admission_accepts(&order, 400 * USEC_PER_MSEC));
	assert_false(shutdown_admission_accepts(&order, 300 * USEC_PER_MSEC));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(accepted_requests_end_within_the_grace_period),
	    cmocka_unit_test(
		short_requests_are_accepted_until_shortly_before_the_end),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
