/* Sends and answers queries between instances for open model orders. */
#ifndef GODWITVALE_UPSTREAM_ORDER_QUERY_H
#define GODWITVALE_UPSTREAM_ORDER_QUERY_H

#include "godwitvale/upstream/model_orders_defs.h"

void order_query_add_handler(struct model_orders *orders);
void order_query_send(
    struct model_orders *orders, const GPtrArray *candidates, usec_t now);

#endif
