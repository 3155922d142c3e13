/* Unit tests of the estimates of output length. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <glib.h>

#include "godwitvale/core/estimate.h"

static const struct estimate_key drafts_key = {1, 1, 1};
static const struct estimate_key lookups_key = {1, 1, 2};

static void
learns_each_class_apart(void **state)
{
	struct estimate *estimate = estimate_new();
	struct estimate_series *drafts =
	    estimate_series_of(estimate, &drafts_key);
	struct estimate_series *lookups =
	    estimate_series_of(estimate, &lookups_key);

	(void)state;
	for (int i = 0; i < 400; i++) {
		estimate_add(drafts, 2000 + i);
		estimate_add(lookups, 10 + i % 10);
	}
	assert_in_range(estimate_quantile(drafts, 0, 0.5), 1900, 2500);
	assert_in_range(estimate_quantile(lookups, 0, 0.5), 8, 22);
	assert_in_range((int)estimate_mean(lookups, 0), 10, 60);
	assert_ptr_equal(drafts, estimate_series_of(estimate, &drafts_key));
	estimate_free(estimate);
}

static void
conditions_on_tokens_so_far(void **state)
{
	struct estimate *estimate = estimate_new();
	struct estimate_series *series =
	    estimate_series_of(estimate, &drafts_key);
	double fresh;

	(void)state;
	for (int i = 0; i < 450; i++)
		estimate_add(series, i % 10 == 0 ? 8000 : 100);
	fresh = estimate_survival(series, 0, 4000);
	assert_true(fresh > 0.05 && fresh < 0.2);
	assert_true(estimate_survival(series, 500, 4000) > 0.7);
	assert_true(estimate_mean(series, 500) > 5000);
	assert_true(estimate_mean(series, 0) < 2000);
	for (uint32_t so_far = 0; so_far < 100000; so_far = so_far * 2 + 1) {
		assert_true(estimate_mean(series, so_far) >= so_far);
		assert_true(
		    estimate_quantile(series, so_far, 0.9) + 1 >= so_far);
		assert_true(estimate_survival(series, so_far, 64) <= 1);
	}
	estimate_free(estimate);
}

static void
new_organisation_starts_from_its_class(void **state)
{
	struct estimate *estimate = estimate_new();
	struct estimate_key newcomer = {2, 1, 1};

	(void)state;
	for (int i = 0; i < 300; i++)
		estimate_add(estimate_series_of(estimate, &drafts_key), 3000);
	assert_in_range(
	    estimate_quantile(estimate_series_of(estimate, &newcomer), 0, 0.5),
	    2500, 3600);
	estimate_free(estimate);
}

static void
follows_a_change(void **state)
{
	struct estimate *estimate = estimate_new();
	struct estimate_series *series =
	    estimate_series_of(estimate, &drafts_key);

	(void)state;
	for (int i = 0; i < 5000; i++)
		estimate_add(series, 100);
	for (int i = 0; i < 1000; i++)
		estimate_add(series, 4000);
	assert_true(estimate_quantile(series, 0, 0.5) > 3000);
	estimate_free(estimate);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(learns_each_class_apart),
	    cmocka_unit_test(conditions_on_tokens_so_far),
	    cmocka_unit_test(new_organisation_starts_from_its_class),
	    cmocka_unit_test(follows_a_change),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
