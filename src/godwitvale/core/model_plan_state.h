/*
 * State of a plan of model orders, shared by model_plan.c, which keeps it, and
 * model_plan_choice.c, which chooses the engine of the next order.
 */
#ifndef GODWITVALE_CORE_MODEL_PLAN_STATE_H
#define GODWITVALE_CORE_MODEL_PLAN_STATE_H

#include <glib.h>

#include "godwitvale/core/model_plan.h"

/// One engine of the current bundle.
struct engine {
	uint32_t id;
	char *model;
	char *version;
	char *target; /// "NAME/VERSION" that the bundle specifies
	bool checks_fence;
	bool in_service;
	char *loaded;         /// "NAME/VERSION" in the last report, or NULL
	uint64_t fence;       /// fencing number in the last report
	uint64_t start_epoch; /// start epoch in the last report
	bool has_report;
	/// local time at which the last report was requested
	usec_t report_requested_at;
	char *order_target; /// "NAME/VERSION" of the open order, or NULL
	/// fencing number of the open order; 0: another instance sent it
	uint64_t order_fence;
	usec_t order_decided_at;
	usec_t order_expires_at; /// time at which the open order is given up
	usec_t retry_at;         /// earliest time of the next order
};

/// Numbers of engines of one model.
struct model_counts {
	unsigned loading; /// engines with an open order
	unsigned serving; /// engines that serve the model
};

/// The lease on model orders.
struct lease {
	/// fencing number; 0 if this instance doesn't hold the lease
	uint64_t fence;
	usec_t granted_at;
	usec_t deadline;
	/// time by which all orders of the former lease holder have arrived; an
	/// engine that doesn't check fencing numbers gets no order before
	usec_t handover_wait_until;
};

/// State of the weight store.
struct weight_store {
	usec_t blocked_until; /// earliest time of the next probe or order
	/// time after which the plan no longer waits for the outcome of the
	/// probe in flight
	usec_t probe_until;
	char *probed_target; /// "NAME/VERSION" of the last probe
	/// time until which the last probe permits an order
	usec_t permit_until;
};

struct model_plan {
	struct model_plan_options options;
	uint64_t bundle_version;
	GPtrArray *engines;       /// struct engine
	GHashTable *engine_by_id; /// id -> struct engine, owned by `engines`
	struct lease lease;
	struct weight_store weight_store;
	usec_t next_order_at; /// earliest time of the next order to any engine
};

/* model_plan_choice.c */
bool model_plan_is_loading(const struct engine *engine, usec_t now);
bool model_plan_has_model(const struct engine *engine);
bool model_plan_is_outdated(const struct engine *engine);
struct engine *model_plan_choose_engine(
    const struct model_plan *plan, usec_t now);

#endif
