/* Unit tests of the detection of replayed datagrams. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "godwitvale/peer/replay.h"

static void
accepts_each_number_once_in_any_order(void **state)
{
	struct replay_window window;

	(void)state;
	replay_init(&window, 100);
	assert_false(replay_accept(&window, 100));
	assert_true(replay_accept(&window, 103));
	assert_true(replay_accept(&window, 101));
	assert_false(replay_accept(&window, 101));
	assert_false(replay_accept(&window, 103));
	assert_true(replay_accept(&window, 102));
	assert_true(replay_accept(&window, 99));
	assert_false(replay_accept(&window, 99));
}

static void
rejects_numbers_older_than_the_window(void **state)
{
	struct replay_window window;

	(void)state;
	replay_init(&window, 1);
	assert_true(replay_accept(&window, 1 + REPLAY_WINDOW_SIZE));
	assert_false(replay_accept(&window, 1));
	assert_true(replay_accept(&window, 2));
	assert_true(replay_accept(&window, UINT64_MAX));
	assert_false(replay_accept(&window, UINT64_MAX));
	assert_false(replay_accept(&window, 3));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(accepts_each_number_once_in_any_order),
	    cmocka_unit_test(rejects_numbers_older_than_the_window),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
