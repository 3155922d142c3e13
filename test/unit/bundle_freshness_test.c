/* Unit tests of the bundle_freshness module. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "godwitvale/core/bundle_freshness.h"

static const struct bundle_freshness_options options = {
    .read_validity = 3 * USEC_PER_SEC,
    .read_interval = USEC_PER_SEC,
};

static void
admits_only_while_register_read_is_fresh(void **state)
{
	struct bundle_freshness freshness;

	(void)state;
	bundle_freshness_init(&freshness, &options);
	assert_true(bundle_freshness_advance_version(&freshness, 4));
	assert_false(bundle_freshness_may_admit(&freshness, 1));
	assert_int_equal(bundle_freshness_tick(&freshness, 10),
	    BUNDLE_FRESHNESS_READ_REGISTER);
	assert_int_equal(
	    bundle_freshness_tick(&freshness, 11), BUNDLE_FRESHNESS_NOTHING);
	/* Freshness counts from the start of the read, not from its answer. */
	assert_int_equal(bundle_freshness_handle_read(&freshness, 4),
	    BUNDLE_FRESHNESS_NOTHING);
	assert_true(bundle_freshness_may_admit(&freshness, 3 * USEC_PER_SEC));
	assert_false(
	    bundle_freshness_may_admit(&freshness, 3 * USEC_PER_SEC + 10));
}

static void
stops_admitting_at_newer_version_and_never_reverts(void **state)
{
	struct bundle_freshness freshness;

	(void)state;
	bundle_freshness_init(&freshness, &options);
	assert_true(bundle_freshness_advance_version(&freshness, 4));
	assert_false(bundle_freshness_advance_version(&freshness, 4));
	assert_false(bundle_freshness_advance_version(&freshness, 3));
	bundle_freshness_tick(&freshness, 0);
	assert_int_equal(bundle_freshness_handle_read(&freshness, 5),
	    BUNDLE_FRESHNESS_FETCH_BUNDLE);
	assert_false(bundle_freshness_may_admit(&freshness, 1));
}

static void
counts_peer_versions_only_before_first_register_read(void **state)
{
	struct bundle_freshness freshness;

	(void)state;
	bundle_freshness_init(&freshness, &options);
	bundle_freshness_advance_version(&freshness, 4);
	bundle_freshness_handle_peer_versions(&freshness, 100, 9, 8, 4);
	assert_false(bundle_freshness_may_admit(&freshness, 101));
	bundle_freshness_handle_peer_versions(&freshness, 100, 9, 9, 6);
	assert_false(bundle_freshness_may_admit(&freshness, 101));
	bundle_freshness_handle_peer_versions(&freshness, 100, 9, 9, 4);
	assert_true(bundle_freshness_may_admit(&freshness, 101));
	bundle_freshness_tick(&freshness, 200);
	bundle_freshness_handle_read(&freshness, 4);
	bundle_freshness_handle_peer_versions(
	    &freshness, 9 * USEC_PER_SEC, 9, 9, 4);
	assert_false(
	    bundle_freshness_may_admit(&freshness, 9 * USEC_PER_SEC + 1));
}

/// Guards against a minority partition that admits work under an old bundle:
/// once the register has been read, agreement of the reachable members does
/// not count, because all of them may have the old bundle.
static void
ignores_peer_versions_once_a_peer_has_read_the_register(void **state)
{
	struct bundle_freshness freshness;

	(void)state;
	bundle_freshness_init(&freshness, &options);
	bundle_freshness_advance_version(&freshness, 4);
	bundle_freshness_record_peer_read(&freshness);
	bundle_freshness_handle_peer_versions(&freshness, 100, 9, 9, 4);
	assert_false(bundle_freshness_may_admit(&freshness, 101));
	bundle_freshness_tick(&freshness, 200);
	bundle_freshness_handle_read(&freshness, 4);
	assert_true(bundle_freshness_may_admit(&freshness, 201));
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
