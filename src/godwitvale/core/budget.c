/* Retry budgets of organisations, as token buckets filled by first tries. */
#include "godwitvale/core/budget.h"

#include <glib.h>

struct budget {
	double ratio;
	double burst;
	GHashTable *left; /// organisation -> retries left, as a double
};

/// Finds the retries left of an organisation; a new one has its whole burst.
///
/// @param budget        budgets
/// @param organisation  whose
/// @return the number left, to be changed in place
static double *
left_of(struct budget *budget, uint32_t organisation)
{
	double *left =
	    g_hash_table_lookup(budget->left, GUINT_TO_POINTER(organisation));

	if (left != NULL)
		return left;
	left = g_new(double, 1);
	*left = budget->burst;
	g_hash_table_insert(budget->left, GUINT_TO_POINTER(organisation), left);
	return left;
}

/// Makes the budgets of all organisations.
///
/// @param ratio  retries earned by each first try
/// @param burst  retries that can be saved up
/// @return budgets; free with budget_free()
struct budget *
budget_new(double ratio, uint32_t burst)
{
	struct budget *budget = g_new0(struct budget, 1);

	budget->ratio = ratio;
	budget->burst = burst;
	budget->left =
	    g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
	return budget;
}

/// Frees the budgets.
///
/// @param budget  budgets or NULL
void
budget_free(struct budget *budget)
{
	if (budget == NULL)
		return;
	g_hash_table_destroy(budget->left);
	g_free(budget);
}

/// Changes what first tries earn from now on.
///
/// @param budget  budgets
/// @param ratio   retries earned by each first try
void
budget_set_ratio(struct budget *budget, double ratio)
{
	budget->ratio = ratio;
}

/// Credits an organisation for a first try.
///
/// @param budget        budgets
/// @param organisation  whose request it is
void
budget_first_try(struct budget *budget, uint32_t organisation)
{
	double *left = left_of(budget, organisation);

	*left = MIN(*left + budget->ratio, budget->burst);
}

/// Takes one retry out of an organisation's budget.
///
/// @param budget        budgets
/// @param organisation  whose request it is
/// @return false when the budget is used up
bool
budget_take(struct budget *budget, uint32_t organisation)
{
	double *left = left_of(budget, organisation);

	if (*left < 1)
		return false;
	*left -= 1;
	return true;
}
