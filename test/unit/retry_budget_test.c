/* Unit tests of retry budgets. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <glib.h>

#include "godwitvale/core/retry_budget.h"

static unsigned
spend_all(struct retry_budget *budget, uint32_t organisation)
{
	unsigned n = 0;

	while (retry_budget_spend(budget, organisation))
		n++;
	return n;
}

static void
retries_are_limited_to_a_share_of_first_attempts(void **state)
{
	struct retry_budget *budget = retry_budget_new(0.25, 5);

	(void)state;
	assert_int_equal(spend_all(budget, 1), 5);
	for (int i = 0; i < 8; i++)
		retry_budget_credit(budget, 1);
	assert_int_equal(spend_all(budget, 1), 2);
	for (int i = 0; i < 1000; i++)
		retry_budget_credit(budget, 1);
	assert_int_equal(spend_all(budget, 1), 5);
	retry_budget_free(budget);
}

static void
organisations_have_separate_budgets(void **state)
{
	struct retry_budget *budget = retry_budget_new(0.25, 5);

	(void)state;
	assert_int_equal(spend_all(budget, 1), 5);
	assert_int_equal(spend_all(budget, 2), 5);
	retry_budget_free(budget);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(retries_are_limited_to_a_share_of_first_attempts),
	    cmocka_unit_test(organisations_have_separate_budgets),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
