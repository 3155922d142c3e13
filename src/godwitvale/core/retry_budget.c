/* Retry budgets of organisations: token buckets refilled by first attempts. */
#include "godwitvale/core/retry_budget.h"

#include <glib.h>

struct retry_budget {
	double ratio; /// retries that each first attempt adds to a budget
	double burst; /// capacity of an organisation's bucket, in retries
	GHashTable *retries_left; /// organisation's id -> retries, double *
};

/// Looks up the budget of an organisation. An organisation without one gets a
/// full bucket.
///
/// @param budget        budgets of all organisations
/// @param organisation  id of the organisation
/// @return the number of retries left, which the caller may change in place
static double *
ensure_organisation_budget(struct retry_budget *budget, uint32_t organisation)
{
	double *retries_left = g_hash_table_lookup(
	    budget->retries_left, GUINT_TO_POINTER(organisation));

	if (retries_left != NULL)
		return retries_left;
	retries_left = g_new(double, 1);
	*retries_left = budget->burst;
	g_hash_table_insert(
	    budget->retries_left, GUINT_TO_POINTER(organisation), retries_left);
	return retries_left;
}

/// Creates the budgets of all organisations.
///
/// @param ratio  retries that each first attempt adds
/// @param burst  capacity of an organisation's bucket, in retries
/// @return the budgets; free with retry_budget_free()
struct retry_budget *
retry_budget_new(double ratio, uint32_t burst)
{
	struct retry_budget *budget = g_new0(struct retry_budget, 1);

	budget->ratio = ratio;
	budget->burst = burst;
	budget->retries_left =
	    g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
	return budget;
}

/// Frees the budgets.
///
/// @param budget  budgets of all organisations, or NULL
void
retry_budget_free(struct retry_budget *budget)
{
	if (budget == NULL)
		return;
	g_hash_table_destroy(budget->retries_left);
	g_free(budget);
}

/// Changes how many retries each future first attempt adds to the budget of its
/// organisation.
///
/// @param budget  budgets of all organisations
/// @param ratio   retries that each first attempt adds
void
retry_budget_set_ratio(struct retry_budget *budget, double ratio)
{
	budget->ratio = ratio;
}

/// Credits an organisation's budget for a first attempt.
///
/// @param budget        budgets of all organisations
/// @param organisation  id of the organisation that sent the request
void
retry_budget_credit(struct retry_budget *budget, uint32_t organisation)
{
	double *retries_left = ensure_organisation_budget(budget, organisation);

	*retries_left = MIN(*retries_left + budget->ratio, budget->burst);
}

/// Takes one retry out of an organisation's budget.
///
/// @param budget        budgets of all organisations
/// @param organisation  id of the organisation that sent the request
/// @return false when less than one retry is left
bool
retry_budget_spend(struct retry_budget *budget, uint32_t organisation)
{
	double *retries_left = ensure_organisation_budget(budget, organisation);

	if (*retries_left < 1)
		return false;
	*retries_left -= 1;
	return true;
}
