/* Chooses the engine of a plan of model orders that gets the next order. */
#include <string.h>

#include "godwitvale/core/model_plan_state.h"

/// Checks whether an engine has an open order, so that it may be loading
/// weights.
///
/// @param engine  engine to check
/// @param now     current time
/// @return true if the engine has an open order
bool
model_plan_is_loading(const struct engine *engine, usec_t now)
{
	return engine->order_target != NULL && now < engine->order_expires_at;
}

/// Checks whether an engine has loaded any version of the model that it is to
/// serve.
///
/// @param engine  engine to check
/// @return true if the engine can serve the model unless it is loading weights
bool
model_plan_has_model(const struct engine *engine)
{
	size_t len = strlen(engine->model);

	return engine->loaded != NULL &&
	    strncmp(engine->loaded, engine->model, len) == 0 &&
	    engine->loaded[len] == '/';
}

/// Checks whether the last report of an engine is recent enough for an order.
///
/// @param plan    gives the maximum age of the report
/// @param engine  engine to check
/// @param now     current time
/// @return true if the report is recent; false if the engine never reported
static bool
has_recent_report(
    const struct model_plan *plan, const struct engine *engine, usec_t now)
{
	return engine->has_report &&
	    now - engine->report_requested_at <= plan->options.report_age_max;
}

/// Checks whether an engine is in service without the weights that the bundle
/// specifies for it.
///
/// @param engine  engine to check
/// @return true if the engine needs an order
bool
model_plan_is_outdated(const struct engine *engine)
{
	return engine->in_service &&
	    g_strcmp0(engine->loaded, engine->target) != 0;
}

/// Checks whether no order of a former lease holder can still reach an engine
/// without showing in the engine's last report. An engine that checks fencing
/// numbers must have reported after this instance was granted the lease. Any
/// other engine must have reported after the time by which the former lease has
/// expired and the last order sent under it has arrived.
///
/// @param plan    gives the lease
/// @param engine  engine to check
/// @param now     current time
/// @return whether the new holder may send an order to the engine
static bool
is_handover_safe(
    const struct model_plan *plan, const struct engine *engine, usec_t now)
{
	if (plan->options.naive & MODEL_PLAN_NAIVE_NO_HANDOVER_WAIT)
		return true;
	if (engine->checks_fence)
		return engine->report_requested_at >= plan->lease.granted_at;
	return now >= plan->lease.handover_wait_until &&
	    engine->report_requested_at >= plan->lease.handover_wait_until;
}

/// Counts the engines of each model that are loading and that are serving.
///
/// @param plan    gives the engines
/// @param now     current time
/// @param models  filled in: model name -> struct model_counts
/// @return number of engines of all models that are loading
static unsigned
count_model_engines(
    const struct model_plan *plan, usec_t now, GHashTable *counts_by_model)
{
	unsigned n_loading = 0;

	for (guint i = 0; i < plan->engines->len; i++) {
		const struct engine *engine =
		    g_ptr_array_index(plan->engines, i);
		struct model_counts *counts =
		    g_hash_table_lookup(counts_by_model, engine->model);

		if (counts == NULL) {
			counts = g_new0(struct model_counts, 1);
			g_hash_table_insert(
			    counts_by_model, engine->model, counts);
		}
		if (model_plan_is_loading(engine, now)) {
			n_loading++;
			counts->loading++;
		} else if (engine->in_service && model_plan_has_model(engine) &&
		    has_recent_report(plan, engine, now)) {
			counts->serving++;
		}
	}
	return n_loading;
}

/// Checks whether enough engines of a model keep serving when one more engine
/// loads weights. At most 1/loading_divisor of the model's engines, but at
/// least one engine, may load at a time. An engine that doesn't have the model
/// can't serve anyway and may always load.
///
/// @param plan    gives the divisor
/// @param engine  engine that is to load
/// @param counts  numbers of engines of the engine's model
/// @return true if the engine may load
static bool
keeps_serving_floor(const struct model_plan *plan, const struct engine *engine,
    const struct model_counts *counts)
{
	unsigned n_engines = counts->serving + counts->loading;

	if (!model_plan_has_model(engine) ||
	    (plan->options.naive & MODEL_PLAN_NAIVE_NO_SERVING_FLOOR))
		return true;
	return counts->loading <
	    MAX(1, n_engines / plan->options.loading_divisor);
}

/// Chooses the engine that gets the next order. Engines that don't have the
/// model that they are to serve come first.
///
/// @param plan  gives the engines and the limits
/// @param now   current time
/// @return the engine, or NULL if no engine may get an order now
struct engine *
model_plan_choose_engine(const struct model_plan *plan, usec_t now)
{
	GHashTable *counts_by_model =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	unsigned n_loading = count_model_engines(plan, now, counts_by_model);
	struct engine *picked = NULL;

	for (guint i = 0;
	     i < plan->engines->len && n_loading < plan->options.max_loading;
	     i++) {
		struct engine *engine = g_ptr_array_index(plan->engines, i);

		if (!model_plan_is_outdated(engine) ||
		    model_plan_is_loading(engine, now) ||
		    now < engine->retry_at ||
		    !has_recent_report(plan, engine, now) ||
		    !is_handover_safe(plan, engine, now) ||
		    !keeps_serving_floor(plan, engine,
			g_hash_table_lookup(counts_by_model, engine->model)))
			continue;
		if (picked == NULL ||
		    (model_plan_has_model(picked) &&
			!model_plan_has_model(engine)))
			picked = engine;
	}
	g_hash_table_unref(counts_by_model);
	return picked;
}
