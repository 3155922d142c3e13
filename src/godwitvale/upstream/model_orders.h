/*
 * Sends model orders, which tell engines to load other weights, while this
 * instance holds the lease on them, and keeps engines that load weights out of
 * placement.
 */
#ifndef GODWITVALE_UPSTREAM_MODEL_ORDERS_H
#define GODWITVALE_UPSTREAM_MODEL_ORDERS_H

#include "godwitvale/serve/instance_defs.h"

struct model_orders *model_orders_new(struct instance *instance);
void model_orders_free(struct model_orders *orders);
void model_orders_tick(struct model_orders *orders, usec_t now);
bool model_orders_handle_claim_result(
    struct model_orders *orders, const struct quorum_action *action);

#endif
