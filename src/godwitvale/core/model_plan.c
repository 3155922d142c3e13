/*
 * Plan of model orders: decides which engine is to load which model weights
 * next. For each engine, the plan keeps the weights that the bundle specifies,
 * the weights that the engine reports as loaded, and the open order. An order
 * is open until the engine reports the ordered weights, a later order or a
 * restart, until the order is refused or could not be sent, or until
 * load_timeout has passed.
 */
#include "godwitvale/core/model_plan_state.h"

/// Frees an engine.
///
/// @param data  struct engine
static void
engine_free(gpointer data)
{
	struct engine *engine = data;

	g_free(engine->model);
	g_free(engine->version);
	g_free(engine->target);
	g_free(engine->loaded);
	g_free(engine->order_target);
	g_free(engine);
}

/// Looks up an engine by its id.
///
/// @param plan  plan with the engines of the current bundle
/// @param id    engine id
/// @return the engine, or NULL if the bundle has no engine with this id
static struct engine *
find_engine(const struct model_plan *plan, uint32_t id)
{
	return g_hash_table_lookup(plan->engine_by_id, GUINT_TO_POINTER(id));
}

/// Closes the open order of an engine, if there is one.
///
/// @param engine  updated
static void
close_order(struct engine *engine)
{
	g_clear_pointer(&engine->order_target, g_free);
	engine->order_expires_at = 0;
}

/// Updates an engine with what the bundle specifies for it.
///
/// @param engine   updated
/// @param options  specification in the bundle, copied
static void
update_engine(struct engine *engine, const struct model_plan_engine *options)
{
	g_free(engine->model);
	g_free(engine->version);
	g_free(engine->target);
	engine->model = g_strdup(options->model);
	engine->version = g_strdup(options->version);
	engine->target =
	    g_strconcat(options->model, "/", options->version, NULL);
	engine->checks_fence = options->checks_fence;
	engine->in_service = options->in_service;
}

/// Removes an engine from an array without freeing it.
///
/// @param engines  array of struct engine; the order of its elements may change
/// @param engine   engine to remove; ignored if it is not in the array
static void
detach_engine(GPtrArray *engines, struct engine *engine)
{
	guint index;

	if (g_ptr_array_find(engines, engine, &index))
		g_ptr_array_steal_index_fast(engines, index);
}

/// Creates a plan without engines and without a lease.
///
/// @param options  copied
/// @return the plan; free with model_plan_free()
struct model_plan *
model_plan_new(const struct model_plan_options *options)
{
	struct model_plan *plan = g_new0(struct model_plan, 1);

	g_assert(options->max_loading > 0 && options->loading_divisor > 0);
	plan->options = *options;
	plan->engines = g_ptr_array_new_with_free_func(engine_free);
	plan->engine_by_id = g_hash_table_new(NULL, NULL);
	return plan;
}

/// Frees a plan.
///
/// @param plan  may be NULL
void
model_plan_free(struct model_plan *plan)
{
	if (plan == NULL)
		return;
	g_hash_table_unref(plan->engine_by_id);
	g_ptr_array_unref(plan->engines);
	g_free(plan->weight_store.probed_target);
	g_free(plan);
}

/// Replaces the engines of the plan with the engines of a new bundle. Keeps the
/// state of engines that are in the former bundle, too. Orders decided under a
/// former bundle version can no longer be sent.
///
/// @param plan       updated
/// @param version    version of the bundle; a bundle with a lower version than
///                   the current bundle's is ignored
/// @param engines    engines of the bundle, copied
/// @param n_engines  length of `engines`
void
model_plan_set_bundle(struct model_plan *plan, uint64_t version,
    const struct model_plan_engine *engines, size_t n_engines)
{
	GPtrArray *old_engines = plan->engines;

	if (version < plan->bundle_version)
		return;
	plan->bundle_version = version;
	plan->engines = g_ptr_array_new_with_free_func(engine_free);
	for (size_t i = 0; i < n_engines; i++) {
		struct engine *engine = find_engine(plan, engines[i].id);

		if (engine == NULL)
			engine = g_new0(struct engine, 1);
		else
			detach_engine(old_engines, engine);
		engine->id = engines[i].id;
		update_engine(engine, &engines[i]);
		g_ptr_array_add(plan->engines, engine);
	}
	g_hash_table_remove_all(plan->engine_by_id);
	for (guint i = 0; i < plan->engines->len; i++) {
		struct engine *engine = g_ptr_array_index(plan->engines, i);

		g_hash_table_insert(
		    plan->engine_by_id, GUINT_TO_POINTER(engine->id), engine);
	}
	g_ptr_array_unref(old_engines);
}

/// Checks whether an engine has got a later order than the open one, from an
/// instance that holds the lease since.
static bool
is_superseded(const struct engine *engine)
{
	return engine->order_fence != 0 && engine->fence > engine->order_fence;
}

/// Handles a report of an engine. A report that was not requested after the
/// last report is ignored. Closes the engine's open order if the report was
/// requested after the decision on the order and shows the ordered weights, a
/// later order or a restart of the engine.
///
/// @param plan    updated
/// @param id      engine id; ignored if the bundle has no engine with this id
/// @param report  copied
void
model_plan_handle_report(struct model_plan *plan, uint32_t id,
    const struct model_plan_report *report)
{
	struct engine *engine = find_engine(plan, id);
	bool restarted;

	if (engine == NULL ||
	    (engine->has_report &&
		report->requested_at <= engine->report_requested_at))
		return;
	restarted =
	    engine->has_report && report->start_epoch != engine->start_epoch;
	engine->has_report = true;
	engine->report_requested_at = report->requested_at;
	engine->start_epoch = report->start_epoch;
	engine->fence = report->fence;
	g_free(engine->loaded);
	engine->loaded = report->loaded == NULL || *report->loaded == '\0'
	    ? NULL
	    : g_strdup(report->loaded);
	if (engine->order_target != NULL &&
	    report->requested_at > engine->order_decided_at &&
	    (restarted || is_superseded(engine) ||
		g_strcmp0(engine->loaded, engine->order_target) == 0))
		close_order(engine);
}

/// Updates the open order of an engine with the open order that the lease
/// holder has published.
///
/// @param plan    updated
/// @param now     current time
/// @param id      engine id; ignored if the bundle has no engine with this id
/// @param target  "NAME/VERSION" of the open order; NULL if no order is open
/// @param until   local time at which the order is given up; at most
///                load_timeout from now is used
void
model_plan_handle_peer_order(struct model_plan *plan, usec_t now, uint32_t id,
    const char *target, usec_t until)
{
	struct engine *engine = find_engine(plan, id);

	if (engine == NULL || g_strcmp0(engine->order_target, target) == 0)
		return;
	if (target == NULL || g_strcmp0(engine->loaded, target) == 0) {
		close_order(engine);
		return;
	}
	g_free(engine->order_target);
	engine->order_target = g_strdup(target);
	engine->order_fence = 0;
	engine->order_decided_at = now;
	engine->order_expires_at = MIN(until, now + plan->options.load_timeout);
}

/// Records that this instance was granted the lease on model orders.
///
/// @param plan      updated
/// @param now       current time
/// @param fence     fencing number of the lease, at least 1
/// @param deadline  time at which the lease expires
void
model_plan_start_lease(
    struct model_plan *plan, usec_t now, uint64_t fence, usec_t deadline)
{
	g_assert(fence > 0);
	plan->lease.fence = fence;
	plan->lease.granted_at = now;
	plan->lease.deadline = deadline;
	plan->lease.handover_wait_until = now +
	    usec_with_drift(
		plan->options.lease_term + plan->options.delivery_bound);
}

/// Extends the lease on model orders. Does nothing if this instance doesn't
/// hold the lease.
///
/// @param plan      updated
/// @param deadline  time at which the lease expires; ignored if it is earlier
///                  than the current deadline
void
model_plan_extend_lease(struct model_plan *plan, usec_t deadline)
{
	if (plan->lease.fence != 0)
		plan->lease.deadline = MAX(plan->lease.deadline, deadline);
}

/// Records that this instance no longer holds the lease on model orders. No
/// order can be sent until the next lease.
///
/// @param plan  updated
void
model_plan_end_lease(struct model_plan *plan)
{
	plan->lease = (struct lease){0};
	plan->weight_store.permit_until = 0;
	plan->weight_store.probe_until = 0;
}

/// Returns the highest fencing number that any engine has reported. A new
/// lease needs a higher fencing number.
///
/// @param plan  gives the engines
/// @return fencing number; 0 if no engine has reported a fencing number
uint64_t
model_plan_get_highest_fence(const struct model_plan *plan)
{
	uint64_t highest = 0;

	for (guint i = 0; i < plan->engines->len; i++) {
		const struct engine *engine =
		    g_ptr_array_index(plan->engines, i);

		highest = MAX(highest, engine->fence);
	}
	return highest;
}

/// Decides what the owner of the plan is to do next. An order needs a
/// successful probe of its weights in the weight store first; each probe
/// permits one order.
///
/// @param plan   updated
/// @param now    current time
/// @param order  filled in with the order to send or to probe for; unchanged
///               if the action is MODEL_PLAN_NONE
/// @return the action
enum model_plan_action
model_plan_next_action(
    struct model_plan *plan, usec_t now, struct model_order *order)
{
	const struct lease *lease = &plan->lease;
	struct weight_store *store = &plan->weight_store;
	struct engine *engine;

	if (lease->fence == 0 || now >= lease->deadline ||
	    now < plan->next_order_at || now < store->blocked_until ||
	    now < store->probe_until)
		return MODEL_PLAN_NONE;
	engine = model_plan_choose_engine(plan, now);
	if (engine == NULL)
		return MODEL_PLAN_NONE;
	*order = (struct model_order){
	    .engine = engine->id,
	    .fence = lease->fence,
	    .bundle_version = plan->bundle_version,
	    .decided_at = now,
	    .send_before = MIN(lease->deadline, now + plan->options.send_span),
	    .model = engine->model,
	    .version = engine->version,
	};
	if (now >= store->permit_until ||
	    g_strcmp0(store->probed_target, engine->target) != 0) {
		g_free(store->probed_target);
		store->probed_target = g_strdup(engine->target);
		store->permit_until = 0;
		store->probe_until = now + plan->options.retry_delay;
		return MODEL_PLAN_PROBE;
	}
	store->permit_until = 0;
	plan->next_order_at = now + plan->options.order_interval;
	g_free(engine->order_target);
	engine->order_target = g_strdup(engine->target);
	engine->order_fence = order->fence;
	engine->order_decided_at = now;
	engine->order_expires_at = now + plan->options.load_timeout;
	return MODEL_PLAN_ORDER;
}

/// Checks whether an order may still be sent. Call this function right before
/// sending the order, and read the clock for the call: a process that was
/// paused after model_plan_next_action() must not send an order that is too
/// old.
///
/// @param plan   gives the lease and the current bundle
/// @param now    current time
/// @param order  as filled in by model_plan_next_action()
/// @return true if the first byte of the order may be sent now
bool
model_plan_can_send(
    const struct model_plan *plan, usec_t now, const struct model_order *order)
{
	const struct engine *engine = find_engine(plan, order->engine);

	if (plan->options.naive & MODEL_PLAN_NAIVE_NO_SEND_CHECK)
		return true;
	return engine != NULL && engine->in_service &&
	    order->fence == plan->lease.fence &&
	    order->bundle_version == plan->bundle_version &&
	    now < order->send_before && now < plan->lease.deadline;
}

/// Handles the outcome of a probe of the weight store.
///
/// @param plan      updated
/// @param now       current time
/// @param outcome   outcome of the probe
/// @param retry_at  time at which the store may be probed again; used only if
///                  the outcome is MODEL_PROBE_RATE_LIMITED
void
model_plan_finish_probe(struct model_plan *plan, usec_t now,
    enum model_probe_outcome outcome, usec_t retry_at)
{
	struct weight_store *store = &plan->weight_store;

	store->probe_until = 0;
	store->permit_until = 0;
	switch (outcome) {
	case MODEL_PROBE_SERVED:
		store->permit_until = now + plan->options.probe_valid_span;
		break;
	case MODEL_PROBE_RATE_LIMITED:
		store->blocked_until = MAX(store->blocked_until, retry_at);
		break;
	case MODEL_PROBE_FAILED:
		store->blocked_until =
		    MAX(store->blocked_until, now + plan->options.retry_delay);
		break;
	}
}

/// Handles the outcome of an order. If the engine accepted the order or the
/// outcome is unknown, the order stays open until the engine reports the
/// ordered weights or a restart, or until load_timeout has passed. Otherwise
/// the order is closed, and the engine gets no order for retry_delay.
///
/// @param plan     updated
/// @param now      current time
/// @param order    order as filled in by model_plan_next_action()
/// @param outcome  outcome of the order
void
model_plan_finish_order(struct model_plan *plan, usec_t now,
    const struct model_order *order, enum model_order_outcome outcome)
{
	struct engine *engine = find_engine(plan, order->engine);

	if (engine == NULL || outcome == MODEL_ORDER_ACCEPTED ||
	    outcome == MODEL_ORDER_UNKNOWN)
		return;
	if (engine->order_decided_at == order->decided_at)
		close_order(engine);
	engine->retry_at = now + plan->options.retry_delay;
}

/// Checks whether an engine can run new generations: it has loaded any version
/// of its model and has no open order.
///
/// @param plan  gives the state of the engine
/// @param now   current time
/// @param id    engine id
/// @return true if the engine can run new generations, if the bundle has no
///         engine with this id, or if the engine has not reported yet
bool
model_plan_can_serve(const struct model_plan *plan, usec_t now, uint32_t id)
{
	const struct engine *engine = find_engine(plan, id);

	if (engine == NULL || !engine->has_report)
		return true;
	return model_plan_has_model(engine) &&
	    !model_plan_is_loading(engine, now);
}

/// Returns the open order of an engine.
///
/// @param plan   gives the state of the engine
/// @param now    current time
/// @param id     engine id
/// @param until  set to the time at which the order is given up; unchanged if
///               no order is open
/// @return "NAME/VERSION", owned by the plan, or NULL if no order is open
const char *
model_plan_get_open_order(
    const struct model_plan *plan, usec_t now, uint32_t id, usec_t *until)
{
	const struct engine *engine = find_engine(plan, id);

	if (engine == NULL || !model_plan_is_loading(engine, now))
		return NULL;
	*until = engine->order_expires_at;
	return engine->order_target;
}

/// Checks whether every engine in service has the weights that the bundle
/// specifies for it and no engine has an open order.
///
/// @param plan  gives the engines
/// @param now   current time
/// @return true if no order is needed or open
bool
model_plan_is_complete(const struct model_plan *plan, usec_t now)
{
	for (guint i = 0; i < plan->engines->len; i++) {
		const struct engine *engine =
		    g_ptr_array_index(plan->engines, i);

		if (model_plan_is_outdated(engine) ||
		    model_plan_is_loading(engine, now))
			return false;
	}
	return true;
}
