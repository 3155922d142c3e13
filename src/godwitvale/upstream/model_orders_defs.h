/* Types that the parts of the model orders share. */
#ifndef GODWITVALE_UPSTREAM_MODEL_ORDERS_DEFS_H
#define GODWITVALE_UPSTREAM_MODEL_ORDERS_DEFS_H

#include "godwitvale/core/model_plan.h"
#include "godwitvale/serve/instance_defs.h"

/// Model orders of one instance.
struct model_orders {
	struct instance *instance;
	struct model_plan *plan;
	uint64_t bundle_version; /// that the plan follows
	struct quorum_key key;
	GHashTable *unplaced; /// handles of engines kept out of placement
	quorum_ticket ticket; /// of the claim or the lease; 0: none
	uint64_t fence;       /// of the lease that is held; 0: none
	usec_t claim_due;
	usec_t tick_due;
	node_id holder; /// last heard of; 0: not known
	usec_t share_due;
	bool share_pending; /// the holder has been asked for its open orders
	bool old_fence;     /// an engine knows a higher number: step down
	uint64_t n_sent;    /// orders
	uint64_t n_stale;   /// orders refused for an old fence
};

#endif
