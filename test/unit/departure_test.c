/* Unit tests of what an instance that leaves still takes on. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "godwitvale/core/departure.h"

/// Grace of the first sites, less what is kept to end in.
#define GRACE (7700 * USEC_PER_MSEC)

/// Long drafts, short hints and orders that come in the seconds after SIGTERM.
/// None that is taken may still run when the process ends: drafts make up to
/// 1,768 tokens at 7 to 11 ms each after a prompt of up to 800 ms.
static void
nothing_that_is_taken_outlasts_the_grace(void **state)
{
	static const struct {
		struct departure_work work;
		usec_t truly_lasts;
	} kinds[] = {
	    {{true, 1768, 0}, 800 * USEC_PER_MSEC + 1768 * 11 * USEC_PER_MSEC},
	    {{true, 600, 0}, 800 * USEC_PER_MSEC + 600 * 11 * USEC_PER_MSEC},
	    {{true, 12, 0}, 932 * USEC_PER_MSEC},
	    {{false, 0, 300 * USEC_PER_MSEC}, 300 * USEC_PER_MSEC},
	};

	(void)state;
	for (usec_t at = 0; at < GRACE; at += 50 * USEC_PER_MSEC)
		for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++)
			if (departure_takes(&kinds[i].work, GRACE - at))
				assert_true(at + kinds[i].truly_lasts <= GRACE);
}

static void
short_work_is_taken_nearly_to_the_end(void **state)
{
	const struct departure_work draft = {true, 1768, 0};
	const struct departure_work hint = {true, 12, 0};
	const struct departure_work order = {false, 0, 300 * USEC_PER_MSEC};

	(void)state;
	assert_false(departure_takes(&draft, GRACE));
	assert_true(departure_takes(&hint, GRACE));
	assert_true(departure_takes(&hint, USEC_PER_SEC));
	assert_false(departure_takes(&hint, 900 * USEC_PER_MSEC));
	assert_true(departure_takes(&order, 400 * USEC_PER_MSEC));
	assert_false(departure_takes(&order, 300 * USEC_PER_MSEC));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(nothing_that_is_taken_outlasts_the_grace),
	    cmocka_unit_test(short_work_is_taken_nearly_to_the_end),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
