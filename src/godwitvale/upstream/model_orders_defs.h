/*
 * Defines the state of model orders, which model_orders.c, model_send.c and
 * order_query.c share.
 */
#ifndef GODWITVALE_UPSTREAM_MODEL_ORDERS_DEFS_H
#define GODWITVALE_UPSTREAM_MODEL_ORDERS_DEFS_H

#include "godwitvale/core/model_plan.h"
#include "godwitvale/serve/instance_defs.h"

/// State of the model orders at one instance.
struct model_orders {
	struct instance *instance;
	struct model_plan *plan;
	uint64_t bundle_version; /// of the bundle that was passed to the plan
	struct quorum_key key;   /// of the lease
	GHashTable *excluded_engines; /// router handles of engines kept out of
				      /// placement
	quorum_ticket ticket;         /// of the claim or the lease, or 0
	uint64_t fence;               /// fencing number of the held lease, or 0
	usec_t claim_due;             /// earliest time of the next claim
	usec_t tick_due;              /// earliest time of the next tick
	node_id holder;               /// last known lease holder, or 0
	usec_t query_due;     /// earliest time of the next query to the holder
	bool query_pending;   /// a query for open orders is in flight
	bool fence_is_old;    /// an engine has seen a higher fence
	uint64_t n_sent;      /// number of orders sent
	uint64_t n_old_fence; /// number of orders refused for an old fence
};

#endif
