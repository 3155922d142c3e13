/* Unit tests of retry budgets. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <glib.h>

#include "godwitvale/core/budget.h"

static unsigned
drain(struct budget *budget, uint32_t organisation)
{
	unsigned n = 0;

	while (budget_take(budget, organisation))
		n++;
	return n;
}

static void
retries_stay_a_share_of_first_tries(void **state)
{
	struct budget *budget = budget_new(0.25, 5);

	(void)state;
	assert_int_equal(drain(budget, 1), 5);
	for (int i = 0; i < 8; i++)
		budget_first_try(budget, 1);
	assert_int_equal(drain(budget, 1), 2);
	for (int i = 0; i < 1000; i++)
		budget_first_try(budget, 1);
	assert_int_equal(drain(budget, 1), 5);
	budget_free(budget);
}

static void
organisations_do_not_share(void **state)
{
	struct budget *budget = budget_new(0.25, 5);

	(void)state;
	assert_int_equal(drain(budget, 1), 5);
	assert_int_equal(drain(budget, 2), 5);
	budget_free(budget);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(retries_stay_a_share_of_first_tries),
	    cmocka_unit_test(organisations_do_not_share),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
