/* What the holder of the lease on model orders tells other instances. */
#ifndef GODWITVALE_UPSTREAM_MODEL_SHARE_H
#define GODWITVALE_UPSTREAM_MODEL_SHARE_H

#include "godwitvale/upstream/model_orders_defs.h"

void model_share_open(struct model_orders *orders);
void model_share_ask(
    struct model_orders *orders, const GPtrArray *candidates, usec_t now);

#endif
