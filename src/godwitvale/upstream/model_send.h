/* Sends model orders to engines, and probes the weight store. */
#ifndef GODWITVALE_UPSTREAM_MODEL_SEND_H
#define GODWITVALE_UPSTREAM_MODEL_SEND_H

#include "godwitvale/upstream/model_orders_defs.h"

void model_send_order(
    struct model_orders *orders, const struct model_order *order);
void model_send_probe(
    struct model_orders *orders, const struct model_order *order);

#endif
