/* Unit tests of the relay of one generation's tokens. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "godwitvale/core/relay.h"

static void
init_relay(struct relay *relay)
{
	struct relay_options options = {
	    .now = 0,
	    .progress_timeout = USEC_PER_SEC,
	    .resume_limit = 2,
	};

	relay_init(relay, &options);
}

static void
passes_each_token_once(void **state)
{
	struct relay relay;

	(void)state;
	init_relay(&relay);
	assert_int_equal(relay_handle_token(&relay, 1, 7, 0), RELAY_PASS);
	assert_int_equal(relay_handle_token(&relay, 2, 7, 0), RELAY_DROP);
	assert_int_equal(relay_handle_token(&relay, 3, 8, 1), RELAY_DROP);
	assert_int_equal(relay_handle_token(&relay, 4, 7, 1), RELAY_PASS);
	assert_int_equal(relay_handle_end_event(&relay, 5, 7, 2), RELAY_DONE);
	assert_int_equal(relay_handle_token(&relay, 6, 7, 2), RELAY_DROP);
}

static void
resumes_after_gap_or_silence(void **state)
{
	struct relay relay;

	(void)state;
	init_relay(&relay);
	assert_int_equal(relay_handle_token(&relay, 1, 7, 0), RELAY_PASS);
	assert_int_equal(relay_handle_token(&relay, 2, 7, 2), RELAY_RESUME);
	assert_int_equal(relay_handle_token(&relay, 3, 7, 3), RELAY_DROP);
	assert_int_equal(relay_handle_token(&relay, 4, 7, 1), RELAY_PASS);
	assert_int_equal(relay_check_timeout(&relay, 5), RELAY_DROP);
	assert_int_equal(
	    relay_check_timeout(&relay, 2 * USEC_PER_SEC), RELAY_RESUME);
	assert_int_equal(
	    relay_handle_end_event(&relay, 3 * USEC_PER_SEC, 7, 2), RELAY_DONE);
}

static void
never_mixes_two_generations(void **state)
{
	struct relay relay;

	(void)state;
	init_relay(&relay);
	assert_int_equal(relay_handle_token(&relay, 1, 7, 0), RELAY_PASS);
	assert_int_equal(relay_handle_resume_refusal(&relay, 2), RELAY_RESTART);
	relay_restart(&relay, 2);
	assert_int_equal(relay_handle_token(&relay, 3, 9, 0), RELAY_PASS);
	relay_mark_delivered(&relay);
	assert_int_equal(relay_handle_resume_refusal(&relay, 4), RELAY_FAIL);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(passes_each_token_once),
	    cmocka_unit_test(resumes_after_gap_or_silence),
	    cmocka_unit_test(never_mixes_two_generations),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
