/*
 * Plan of model orders: decides which engine is to load which model weights
 * next. Only the instance that holds a lease with a fencing number sends
 * orders, and only as fast as the store of the weights allows. The plan
 * performs no I/O and reads no clock: each call passes in the current time, and
 * model_plan_next_action() returns one action at a time.
 */
#ifndef GODWITVALE_CORE_MODEL_PLAN_H
#define GODWITVALE_CORE_MODEL_PLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "godwitvale/core/time_defs.h"

/// Deliberately broken variants. Each flag leaves out one safeguard, so that
/// tests can show the failure that the safeguard prevents.
enum model_plan_naive {
	/// model_plan_can_send() allows every order.
	MODEL_PLAN_NAIVE_NO_SEND_CHECK = 1 << 0,
	/// A new lease holder doesn't wait until the orders of the former
	/// holder have arrived.
	MODEL_PLAN_NAIVE_NO_HANDOVER_WAIT = 1 << 1,
	/// All engines of a model may load weights at the same time.
	MODEL_PLAN_NAIVE_NO_SERVING_FLOOR = 1 << 2,
};

/// Settings of a plan. Spans are in microseconds.
struct model_plan_options {
	usec_t lease_term; /// longest term of any lease on model orders
	/// longest time from model_plan_can_send() to the order's arrival at
	/// the engine
	usec_t delivery_bound;
	/// longest time from the decision on an order to its first sent byte
	usec_t send_span;
	usec_t order_interval; /// shortest time between two orders
	usec_t load_timeout;   /// longest time for which an order stays open
	/// time for which a successful probe permits an order
	usec_t probe_valid_span;
	/// an engine whose last report is older than this gets no order
	usec_t report_age_max;
	/// delay before the next order to an engine after an order was refused
	/// or not sent, and before the next probe after a probe failed or got
	/// no outcome
	usec_t retry_delay;
	unsigned max_loading; /// maximum number of engines that load at a time
	/// at most the number of a model's engines divided by this, but at
	/// least one engine, may load at a time
	unsigned loading_divisor;
	unsigned naive; /// flags of enum model_plan_naive
};

/// What the bundle specifies for one engine.
struct model_plan_engine {
	uint32_t id; /// engine id, chosen by the owner of the plan
	/// the engine refuses orders with a lower fencing number than it has
	/// seen
	bool checks_fence;
	bool in_service;     /// state of service, as set by the operators
	const char *model;   /// name of the model that the engine is to serve
	const char *version; /// version of the weights that it is to serve
};

/// Status that an engine reports.
struct model_plan_report {
	usec_t requested_at;  /// local time of this instance's report request
	uint64_t start_epoch; /// changes when the engine restarts
	const char *loaded; /// loaded "NAME/VERSION"; NULL or empty: no weights
	uint64_t fence;     /// highest fencing number that the engine has seen
};

/// An order to an engine to load weights. It is sent only if
/// model_plan_can_send() allows it at that moment.
struct model_order {
	uint32_t engine;         /// engine id
	uint64_t fence;          /// fencing number of the lease
	uint64_t bundle_version; /// bundle under which the order was decided
	usec_t decided_at;
	usec_t send_before;  /// deadline for sending the first byte
	const char *model;   /// owned by the plan, valid until the next bundle
	const char *version; /// version of the weights, owned like `model`
};

/// What the owner of the plan is to do next.
enum model_plan_action {
	MODEL_PLAN_NONE = 0,
	/// read the beginning of the weights to test the weight store
	MODEL_PLAN_PROBE,
	MODEL_PLAN_ORDER, /// send the order
};

/// Outcome of an order, as far as its sender knows.
enum model_order_outcome {
	MODEL_ORDER_ACCEPTED = 1,
	/// no response arrived; the engine may have accepted the order
	MODEL_ORDER_UNKNOWN,
	MODEL_ORDER_NOT_SENT, /// no byte of the order was sent
	/// the engine refused the order for a reason other than its fence
	MODEL_ORDER_REFUSED,
	/// the engine refused the order: it has seen a higher fencing number
	MODEL_ORDER_OLD_FENCE,
};

/// Outcome of a probe of the weight store.
enum model_probe_outcome {
	MODEL_PROBE_SERVED = 1,
	/// the weight store limits reads and names the time of the next probe
	MODEL_PROBE_RATE_LIMITED,
	MODEL_PROBE_FAILED,
};

struct model_plan;

struct model_plan *model_plan_new(const struct model_plan_options *options);
void model_plan_free(struct model_plan *plan);
void model_plan_set_bundle(struct model_plan *plan, uint64_t version,
    const struct model_plan_engine *engines, size_t n_engines);
void model_plan_handle_report(struct model_plan *plan, uint32_t engine,
    const struct model_plan_report *report);
void model_plan_handle_peer_order(struct model_plan *plan, usec_t now,
    uint32_t engine, const char *target, usec_t until);

void model_plan_start_lease(
    struct model_plan *plan, usec_t now, uint64_t fence, usec_t deadline);
void model_plan_extend_lease(struct model_plan *plan, usec_t deadline);
void model_plan_end_lease(struct model_plan *plan);
uint64_t model_plan_get_highest_fence(const struct model_plan *plan);

enum model_plan_action model_plan_next_action(
    struct model_plan *plan, usec_t now, struct model_order *order);
bool model_plan_can_send(
    const struct model_plan *plan, usec_t now, const struct model_order *order);
void model_plan_finish_probe(struct model_plan *plan, usec_t now,
    enum model_probe_outcome outcome, usec_t retry_at);
void model_plan_finish_order(struct model_plan *plan, usec_t now,
    const struct model_order *order, enum model_order_outcome outcome);

bool model_plan_can_serve(
    const struct model_plan *plan, usec_t now, uint32_t engine);
const char *model_plan_get_open_order(
    const struct model_plan *plan, usec_t now, uint32_t engine, usec_t *until);
bool model_plan_is_complete(const struct model_plan *plan, usec_t now);

#endif
