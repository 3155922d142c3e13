/*
 * Plan of model orders: decides which engine is to load which weights next.
 * Orders are given only under a fenced lease and within the rate limit of the
 * weight store. It does no I/O and reads no clock: each call is given the
 * time, and model_plan_next_action() returns one action at a time.
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
	/// Orders are sent without the check in model_plan_can_send().
	MODEL_PLAN_NAIVE_NO_SEND_CHECK = 1 << 0,
	/// A new lease holder doesn't wait for orders of the former one.
	MODEL_PLAN_NAIVE_NO_HANDOVER_WAIT = 1 << 1,
	/// All engines of a model may load at a time.
	MODEL_PLAN_NAIVE_NO_SERVING_FLOOR = 1 << 2,
};

/// Settings of a plan. Spans are in microseconds.
struct model_plan_options {
	usec_t lease_term;       /// longest term of any lease
	usec_t delivery_bound;   /// longest time from the send check to arrival
	usec_t send_span;        /// an order is sent within this or not at all
	usec_t order_interval;   /// least time between two orders
	usec_t load_timeout;     /// after this, a load counts as failed
	usec_t probe_valid_span; /// a good probe permits an order this long
	usec_t report_age_max;   /// engines with older reports get no order
	usec_t retry_delay;      /// after a refused order or a failed probe
	unsigned max_loading;    /// limit on engines that load at a time
	unsigned loading_divisor; /// at most 1/this of a model's engines load
	unsigned naive;           /// flags of enum model_plan_naive
};

/// What the bundle specifies for one engine.
struct model_plan_engine {
	uint32_t id;         /// chosen by the caller
	bool checks_fence;   /// refuses orders with an older fence
	bool in_service;     /// as set by the operators
	const char *model;   /// name of the model to serve
	const char *version; /// version of the weights to serve
};

/// Status that an engine reports.
struct model_plan_report {
	usec_t requested_at;  /// request time, on the local clock
	uint64_t start_epoch; /// changes when the engine restarts
	const char *loaded;   /// "NAME/VERSION"; NULL or empty: nothing
	uint64_t fence;       /// highest fencing number that it has seen
};

/// An order, to be sent only while model_plan_can_send() allows it.
struct model_order {
	uint32_t engine;
	uint64_t fence;
	uint64_t bundle_version;
	usec_t decided_at;
	usec_t send_before; /// deadline for sending the first byte
	const char *model;  /// owned by the plan, valid until the next bundle
	const char *version;
};

/// What the caller is to do next.
enum model_plan_action {
	MODEL_PLAN_NONE = 0,
	MODEL_PLAN_PROBE, /// read a little of the order's weights
	MODEL_PLAN_ORDER, /// send the order
};

/// Outcome of an order, as far as its sender knows.
enum model_order_outcome {
	MODEL_ORDER_ACCEPTED = 1,
	MODEL_ORDER_UNKNOWN,   /// no answer: it may have been accepted
	MODEL_ORDER_NOT_SENT,  /// no byte of it was sent
	MODEL_ORDER_REFUSED,   /// by the engine, not for its fence
	MODEL_ORDER_OLD_FENCE, /// the engine has seen a higher fencing number
};

/// Outcome of a probe of the weight store.
enum model_probe_outcome {
	MODEL_PROBE_SERVED = 1,
	MODEL_PROBE_RATE_LIMITED, /// too many reads: probe again at `retry_at`
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
