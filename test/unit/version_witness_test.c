/*
 * Unit tests of what instances say of the versions of a service: who has
 * watched for long enough.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "godwitvale/core/store_revision.h"
#include "godwitvale/core/version_witness.h"

#define SEC USEC_PER_SEC
#define V1 11
#define V2 12

/// Returns a statement of an instance that knows one version.
static struct version_witness
make_witness(usec_t watched_since, uint64_t watched_from, uint64_t revision)
{
	return (struct version_witness){
	    .only_version = V1,
	    .revision = store_revision_make(3, revision),
	    .watched_since = watched_since,
	    .watched_from = store_revision_make(3, watched_from),
	};
}

/// All instances are killed in a release and come back: none of them has seen
/// the version that has left (ORDER).
static void
an_instance_that_has_just_started_is_no_witness(void **state)
{
	const struct version_witness own = make_witness(50 * SEC, 90, 95);
	const struct version_witness none = {.watched_since = USEC_NEVER};
	const struct version_witness other = make_witness(51 * SEC, 90, 95);

	(void)state;
	assert_false(version_witness_covers(&own, &own, 40 * SEC));
	assert_false(version_witness_covers(&own, &other, 40 * SEC));
	assert_false(version_witness_covers(&own, &none, 40 * SEC));
	assert_false(version_witness_covers(&none, &own, 40 * SEC));
	assert_true(version_witness_covers(&own, &own, 50 * SEC));
}

/// Two instances know all together, if no upstream can have come and gone
/// between what one of them knows and where the other began.
static void
an_older_instance_speaks_for_one_that_has_just_started(void **state)
{
	const struct version_witness own = make_witness(50 * SEC, 90, 95);
	const struct version_witness old = make_witness(10 * SEC, 20, 92);
	const struct version_witness behind = make_witness(10 * SEC, 20, 89);
	struct version_witness restored = old;

	(void)state;
	assert_true(version_witness_covers(&own, &old, 40 * SEC));
	assert_false(version_witness_covers(&own, &old, 9 * SEC));
	assert_false(version_witness_covers(&own, &behind, 40 * SEC));
	restored.revision = store_revision_make(4, 92);
	assert_false(version_witness_covers(&own, &restored, 40 * SEC));
}

static void
another_version_contradicts(void **state)
{
	struct version_witness other = make_witness(10 * SEC, 20, 92);

	(void)state;
	assert_false(version_witness_contradicts(&other, V1));
	assert_true(version_witness_contradicts(&other, V2));
	/* One that knows no version has no say. */
	other.only_version = 0;
	assert_false(version_witness_contradicts(&other, V1));
	other.has_several = true;
	assert_true(version_witness_contradicts(&other, V1));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(an_instance_that_has_just_started_is_no_witness),
	    cmocka_unit_test(
		an_older_instance_speaks_for_one_that_has_just_started),
	    cmocka_unit_test(another_version_contradicts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
