/* Unit tests of the authority module. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "godwitvale/core/authority.h"

static const struct authority_options options = {
    .freshness = 3 * USEC_PER_SEC,
    .read_interval = USEC_PER_SEC,
};

static void
admits_only_while_register_read_is_fresh(void **state)
{
	struct authority authority;

	(void)state;
	authority_init(&authority, &options);
	assert_true(authority_accept_bundle(&authority, 4));
	assert_false(authority_may_admit(&authority, 1));
	assert_int_equal(
	    authority_tick(&authority, 10), AUTHORITY_READ_REGISTER);
	assert_int_equal(authority_tick(&authority, 11), AUTHORITY_NOTHING);
	/* Freshness counts from the start of the read, not from its answer. */
	assert_int_equal(
	    authority_handle_read(&authority, 4), AUTHORITY_NOTHING);
	assert_true(authority_may_admit(&authority, 3 * USEC_PER_SEC));
	assert_false(authority_may_admit(&authority, 3 * USEC_PER_SEC + 10));
}

static void
stops_admitting_at_newer_version_and_never_reverts(void **state)
{
	struct authority authority;

	(void)state;
	authority_init(&authority, &options);
	assert_true(authority_accept_bundle(&authority, 4));
	assert_false(authority_accept_bundle(&authority, 4));
	assert_false(authority_accept_bundle(&authority, 3));
	authority_tick(&authority, 0);
	assert_int_equal(
	    authority_handle_read(&authority, 5), AUTHORITY_FETCH_BUNDLE);
	assert_false(authority_may_admit(&authority, 1));
}

static void
counts_peer_versions_only_before_first_register_read(void **state)
{
	struct authority authority;

	(void)state;
	authority_init(&authority, &options);
	authority_accept_bundle(&authority, 4);
	authority_handle_peer_versions(&authority, 100, 9, 8, 4);
	assert_false(authority_may_admit(&authority, 101));
	authority_handle_peer_versions(&authority, 100, 9, 9, 6);
	assert_false(authority_may_admit(&authority, 101));
	authority_handle_peer_versions(&authority, 100, 9, 9, 4);
	assert_true(authority_may_admit(&authority, 101));
	authority_tick(&authority, 200);
	authority_handle_read(&authority, 4);
	authority_handle_peer_versions(&authority, 9 * USEC_PER_SEC, 9, 9, 4);
	assert_false(authority_may_admit(&authority, 9 * USEC_PER_SEC + 1));
}

/// Guards against a minority partition that admits work under an old bundle:
/// once the register has been read, agreement of the reachable members does
/// not count, because all of them may have the old bundle.
static void
ignores_peer_versions_once_a_peer_has_read_the_register(void **state)
{
	struct authority authority;

	(void)state;
	authority_init(&authority, &options);
	authority_accept_bundle(&authority, 4);
	authority_record_peer_read(&authority);
	authority_handle_peer_versions(&authority, 100, 9, 9, 4);
	assert_false(authority_may_admit(&authority, 101));
	authority_tick(&authority, 200);
	authority_handle_read(&authority, 4);
	assert_true(authority_may_admit(&authority, 201));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(admits_only_while_register_read_is_fresh),
	    cmocka_unit_test(
		stops_admitting_at_newer_version_and_never_reverts),
	    cmocka_unit_test(
		counts_peer_versions_only_before_first_register_read),
	    cmocka_unit_test(
		ignores_peer_versions_once_a_peer_has_read_the_register),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
