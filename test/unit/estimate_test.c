/* Unit tests of the estimates of output length. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <glib.h>

#include "godwitvale/core/estimate.h"

static const struct estimate_key draft_key = {1, 1, 1};
static const struct estimate_key lookup_key = {1, 1, 2};

static void
estimates_each_class_separately(void **state)
{
	struct estimate *estimate = estimate_new();
	struct estimate_series *draft_series =
	    estimate_get_series(estimate, &draft_key);
	struct estimate_series *lookup_series =
	    estimate_get_series(estimate, &lookup_key);

	(void)state;
	for (int i = 0; i < 400; i++) {
		estimate_add_sample(draft_series, 2000 + i);
		estimate_add_sample(lookup_series, 10 + i % 10);
	}
	assert_in_range(estimate_quantile(draft_series, 0, 0.5), 1900, 2500);
	assert_in_range(estimate_quantile(lookup_series, 0, 0.5), 8, 22);
	assert_in_range((int)estimate_mean(lookup_series, 0), 10, 60);
	assert_ptr_equal(
	    draft_series, estimate_get_series(estimate, &draft_key));
	estimate_free(estimate);
}

static void
estimates_depend_on_generated_tokens(void **state)
{
	struct estimate *estimate = estimate_new();
	struct estimate_series *series =
	    estimate_get_series(estimate, &draft_key);
	double survival_at_start;

	(void)state;
	for (int i = 0; i < 450; i++)
		estimate_add_sample(series, i % 10 == 0 ? 8000 : 100);
	survival_at_start = estimate_survival(series, 0, 4000);
	assert_true(survival_at_start > 0.05 && survival_at_start < 0.2);
	assert_true(estimate_survival(series, 500, 4000) > 0.7);
	assert_true(estimate_mean(series, 500) > 5000);
	assert_true(estimate_mean(series, 0) < 2000);
	for (uint32_t generated = 0; generated < 100000;
	     generated = generated * 2 + 1) {
		assert_true(estimate_mean(series, generated) >= generated);
		assert_true(
		    estimate_quantile(series, generated, 0.9) + 1 >= generated);
		assert_true(estimate_survival(series, generated, 64) <= 1);
	}
	estimate_free(estimate);
}

static void
new_organisation_uses_class_estimate(void **state)
{
	struct estimate *estimate = estimate_new();
	struct estimate_key new_organisation_key = {2, 1, 1};

	(void)state;
	for (int i = 0; i < 300; i++)
		estimate_add_sample(
		    estimate_get_series(estimate, &draft_key), 3000);
	assert_in_range(
	    estimate_quantile(
		estimate_get_series(estimate, &new_organisation_key), 0, 0.5),
	    2500, 3600);
	estimate_free(estimate);
}

static void
estimate_follows_changed_lengths(void **state)
{
	struct estimate *estimate = estimate_new();
	struct estimate_series *series =
	    estimate_get_series(estimate, &draft_key);

	(void)state;
	for (int i = 0; i < 5000; i++)
		estimate_add_sample(series, 100);
	for (int i = 0; i < 1000; i++)
		estimate_add_sample(series, 4000);
	assert_true(estimate_quantile(series, 0, 0.5) > 3000);
	estimate_free(estimate);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(estimates_each_class_separately),
	    cmocka_unit_test(estimates_depend_on_generated_tokens),
	    cmocka_unit_test(new_organisation_uses_class_estimate),
	    cmocka_unit_test(estimate_follows_changed_lengths),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
