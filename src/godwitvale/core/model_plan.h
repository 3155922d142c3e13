/*
 * Plan of model orders: which engine is to load which weights next, under a
 * fenced lease and the weight store's rate. Pure: takes the time and an
 * event, gives out one action at a time.
 */
#ifndef GODWITVALE_CORE_MODEL_PLAN_H
#define GODWITVALE_CORE_MODEL_PLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "godwitvale/core/time_defs.h"

/// Deliberately broken variants, with which the proofs must fail.
enum model_plan_naive {
	MODEL_PLAN_NAIVE_NO_SEND_CHECK = 1 << 0, /// not asked when it leaves
	MODEL_PLAN_NAIVE_NO_WAIT_OUT = 1 << 1,   /// former holder not awaited
	MODEL_PLAN_NAIVE_NO_FLOOR = 1 << 2,      /// no share of a model kept
};

/// How a plan is built. Spans are in microseconds.
struct model_plan_options {
	usec_t lease_term;     /// longest term of any holder's lease
	usec_t pause_bound;    /// from the check to the arrival at an engine
	usec_t leave_span;     /// an order leaves within this or never
	usec_t order_interval; /// between two orders, whichever engines
	usec_t load_timeout;   /// an engine has loaded by then, or failed to
	usec_t permit_span;    /// a good read of the store counts this long
	usec_t report_age_max; /// engines with older reports get no order
	usec_t retry_span;     /// after a refusal, and after a failed read
	unsigned max_loading;  /// most loads at a time
	unsigned floor_share;  /// one part in this many of a model may load
	unsigned naive;        /// of enum model_plan_naive
};

/// What the bundle says of one engine.
struct model_plan_engine {
	uint32_t id;         /// of the embedder's
	bool checks_fence;   /// refuses orders with an older number
	bool in_service;     /// by the operators' word
	const char *model;   /// name of the model that it serves
	const char *version; /// version of the weights that it is to serve
};

/// What an engine says of itself.
struct model_plan_report {
	usec_t asked_at;      /// when it was asked for, on our clock
	uint64_t start_epoch; /// changes when the engine starts anew
	const char *loaded;   /// "NAME/VERSION"; NULL or empty: nothing
	uint64_t fence;       /// highest number that it has seen
};

/// An order that may leave while model_plan_may_leave() says so.
struct model_order {
	uint32_t engine;
	uint64_t fence;
	uint64_t bundle_version;
	usec_t decided_at;
	usec_t leave_before; /// first byte out before this, or never
	const char *model;   /// the plan's, until it takes another bundle
	const char *version;
};

/// What the embedding program is to do.
enum model_plan_step {
	MODEL_PLAN_NONE = 0,
	MODEL_PLAN_PROBE, /// read the order's weights, a little of them
	MODEL_PLAN_ORDER, /// send the order
};

/// How an order ended, as far as its sender knows.
enum model_order_end {
	MODEL_ORDER_ACCEPTED = 1,
	MODEL_ORDER_UNKNOWN,   /// no answer: it may have been accepted
	MODEL_ORDER_NOT_SENT,  /// no byte of it left
	MODEL_ORDER_REFUSED,   /// for a reason of the engine's own
	MODEL_ORDER_OLD_FENCE, /// the engine knows a higher number
};

/// How a probe of the weight store ended.
enum model_probe_end {
	MODEL_PROBE_SERVED = 1,
	MODEL_PROBE_LIMITED, /// too many reads: come back at `retry_at`
	MODEL_PROBE_FAILED,
};

struct model_plan;

struct model_plan *model_plan_new(const struct model_plan_options *options);
void model_plan_free(struct model_plan *plan);
void model_plan_set_bundle(struct model_plan *plan, uint64_t version,
    const struct model_plan_engine *engines, size_t n_engines);
void model_plan_report(struct model_plan *plan, uint32_t engine,
    const struct model_plan_report *report);
void model_plan_told(struct model_plan *plan, usec_t now, uint32_t engine,
    const char *target, usec_t until);

void model_plan_granted(
    struct model_plan *plan, usec_t now, uint64_t fence, usec_t deadline);
void model_plan_renewed(struct model_plan *plan, usec_t deadline);
void model_plan_lost(struct model_plan *plan);
uint64_t model_plan_fence_floor(const struct model_plan *plan);

enum model_plan_step model_plan_next(
    struct model_plan *plan, usec_t now, struct model_order *order);
bool model_plan_may_leave(
    const struct model_plan *plan, usec_t now, const struct model_order *order);
void model_plan_probed(struct model_plan *plan, usec_t now,
    enum model_probe_end end, usec_t retry_at);
void model_plan_ended(struct model_plan *plan, usec_t now,
    const struct model_order *order, enum model_order_end end);

bool model_plan_serves(
    const struct model_plan *plan, usec_t now, uint32_t engine);
const char *model_plan_loading(
    const struct model_plan *plan, usec_t now, uint32_t engine, usec_t *until);
bool model_plan_settled(const struct model_plan *plan, usec_t now);

#endif
