/* Retry budgets: limit retries to a share of each organisation's requests. */
#ifndef GODWITVALE_CORE_RETRY_BUDGET_H
#define GODWITVALE_CORE_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

struct retry_budget;

struct retry_budget *retry_budget_new(double ratio, uint32_t burst);
void retry_budget_free(struct retry_budget *budget);
void retry_budget_set_ratio(struct retry_budget *budget, double ratio);
void retry_budget_credit(struct retry_budget *budget, uint32_t organisation);
bool retry_budget_spend(struct retry_budget *budget, uint32_t organisation);

#endif
