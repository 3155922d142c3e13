/* Retry budgets: retries stay a small share of first tries. */
#ifndef GODWITVALE_CORE_BUDGET_H
#define GODWITVALE_CORE_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

struct budget;

struct budget *budget_new(double ratio, uint32_t burst);
void budget_free(struct budget *budget);
void budget_set_ratio(struct budget *budget, double ratio);
void budget_first_try(struct budget *budget, uint32_t organisation);
bool budget_take(struct budget *budget, uint32_t organisation);

#endif
