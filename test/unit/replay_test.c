/* Unit tests of the refusal of replayed datagrams. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "godwitvale/peer/replay.h"

static void
takes_each_number_once_in_any_order(void **state)
{
	struct replay replay;

	(void)state;
	replay_init(&replay, 100);
	assert_false(replay_take(&replay, 100));
	assert_true(replay_take(&replay, 103));
	assert_true(replay_take(&replay, 101));
	assert_false(replay_take(&replay, 101));
	assert_false(replay_take(&replay, 103));
	assert_true(replay_take(&replay, 102));
	assert_true(replay_take(&replay, 99));
	assert_false(replay_take(&replay, 99));
}

static void
refuses_what_is_too_old_to_tell(void **state)
{
	struct replay replay;

	(void)state;
	replay_init(&replay, 1);
	assert_true(replay_take(&replay, 1 + REPLAY_WINDOW));
	assert_false(replay_take(&replay, 1));
	assert_true(replay_take(&replay, 2));
	assert_true(replay_take(&replay, UINT64_MAX));
	assert_false(replay_take(&replay, UINT64_MAX));
	assert_false(replay_take(&replay, 3));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(takes_each_number_once_in_any_order),
	    cmocka_unit_test(refuses_what_is_too_old_to_tell),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
