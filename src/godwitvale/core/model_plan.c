/*
 * Plan of model orders. It owns what is known of each engine: the weights it
 * is to have, those it reports, and the order that is open at it.
 */
#include "godwitvale/core/model_plan.h"

#include <string.h>

#include <glib.h>

/// One engine of the bundle in force.
struct engine {
	uint32_t id;
	char *model;
	char *version;
	char *wanted; /// "MODEL/VERSION"
	bool checks_fence;
	bool in_service;
	char *loaded; /// as last reported, or NULL
	uint64_t fence;
	uint64_t start_epoch;
	bool reported;
	usec_t reported_at; /// when the last report was asked for
	char *ordered;      /// "NAME/VERSION" of the open order, or NULL
	usec_t ordered_at;
	usec_t order_until; /// given up then
	usec_t retry_at;    /// no order before this
};

/// Engines of one model.
struct share {
	unsigned loading;
	unsigned serving;
};

/// The lease, as long as it is held.
struct lease {
	uint64_t fence; /// 0: not held
	usec_t granted_at;
	usec_t deadline;
	usec_t wait_until; /// for engines that ignore the number
};

/// What is known of the weight store.
struct store {
	usec_t blocked_until;
	usec_t probe_until; /// a probe is under way until then
	char *probed;       /// weights that it reads
	usec_t permit_until;
};

struct model_plan {
	struct model_plan_options options;
	uint64_t bundle_version;
	GPtrArray *engines;       /// of struct engine
	GHashTable *engine_by_id; /// of the same
	struct lease lease;
	struct store store;
	usec_t order_due; /// no order before this
};

/// Releases an engine.
///
/// @param data  the engine
static void
engine_free(gpointer data)
{
	struct engine *engine = data;

	g_free(engine->model);
	g_free(engine->version);
	g_free(engine->wanted);
	g_free(engine->loaded);
	g_free(engine->ordered);
	g_free(engine);
}

/// Finds an engine.
///
/// @param plan  the plan
/// @param id    the engine's
/// @return the engine, or NULL where the bundle has none of that id
static struct engine *
find_engine(const struct model_plan *plan, uint32_t id)
{
	return g_hash_table_lookup(plan->engine_by_id, GUINT_TO_POINTER(id));
}

/// Closes the order that is open at an engine.
///
/// @param engine  the engine
static void
close_order(struct engine *engine)
{
	g_clear_pointer(&engine->ordered, g_free);
	engine->order_until = 0;
}

/// Says whether an order is open at an engine.
///
/// @param engine  the engine
/// @param now     current time
/// @return whether it may be loading
static bool
is_loading(const struct engine *engine, usec_t now)
{
	return engine->ordered != NULL && now < engine->order_until;
}

/// Says whether an engine has weights of the model that it serves, of
/// whichever version.
///
/// @param engine  the engine
/// @return whether it can serve, loading aside
static bool
has_model(const struct engine *engine)
{
	size_t len = strlen(engine->model);

	return engine->loaded != NULL &&
	    strncmp(engine->loaded, engine->model, len) == 0 &&
	    engine->loaded[len] == '/';
}

/// Says whether an engine answers the questions for its load.
///
/// @param plan    the plan
/// @param engine  the engine
/// @param now     current time
/// @return whether its last report is recent
static bool
is_heard(const struct model_plan *plan, const struct engine *engine, usec_t now)
{
	return engine->reported &&
	    now - engine->reported_at <= plan->options.report_age_max;
}

/// Says whether an engine lacks the weights that it is to have.
///
/// @param engine  the engine
/// @return whether an order is wanted
static bool
is_outdated(const struct engine *engine)
{
	return engine->in_service &&
	    g_strcmp0(engine->loaded, engine->wanted) != 0;
}

/// Says whether the former holder's orders can no longer reach an engine
/// unseen.
///
/// @param plan    the plan
/// @param engine  the engine
/// @param now     current time
/// @return whether the new holder may order it
static bool
is_waited_out(
    const struct model_plan *plan, const struct engine *engine, usec_t now)
{
	if (plan->options.naive & MODEL_PLAN_NAIVE_NO_WAIT_OUT)
		return true;
	if (engine->checks_fence)
		return engine->reported_at >= plan->lease.granted_at;
	return now >= plan->lease.wait_until &&
	    engine->reported_at >= plan->lease.wait_until;
}

/// Counts the engines that load and those that serve.
///
/// @param plan    the plan
/// @param now     current time
/// @param models  filled in: the share of each model, by its name
/// @return the number of engines that load
static unsigned
count_shares(const struct model_plan *plan, usec_t now, GHashTable *models)
{
	unsigned n_loading = 0;

	for (guint i = 0; i < plan->engines->len; i++) {
		const struct engine *engine =
		    g_ptr_array_index(plan->engines, i);
		struct share *share =
		    g_hash_table_lookup(models, engine->model);

		if (share == NULL) {
			share = g_new0(struct share, 1);
			g_hash_table_insert(models, engine->model, share);
		}
		if (is_loading(engine, now)) {
			n_loading++;
			share->loading++;
		} else if (engine->in_service && has_model(engine) &&
		    is_heard(plan, engine, now)) {
			share->serving++;
		}
	}
	return n_loading;
}

/// Says whether one more engine may load without its model's service falling
/// short. One that can't serve anyway may.
///
/// @param plan    the plan
/// @param engine  the engine
/// @param share   of its model
/// @return whether it may
static bool
leaves_enough(const struct model_plan *plan, const struct engine *engine,
    const struct share *share)
{
	unsigned n = share->serving + share->loading;

	if (!has_model(engine) ||
	    (plan->options.naive & MODEL_PLAN_NAIVE_NO_FLOOR))
		return true;
	return share->loading < MAX(1, n / plan->options.floor_share);
}

/// Picks the engine to be ordered next; those that can't serve come first.
///
/// @param plan  the plan
/// @param now   current time
/// @return the engine, or NULL
static struct engine *
pick_engine(const struct model_plan *plan, usec_t now)
{
	GHashTable *models =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	unsigned n_loading = count_shares(plan, now, models);
	struct engine *picked = NULL;

	for (guint i = 0;
	     i < plan->engines->len && n_loading < plan->options.max_loading;
	     i++) {
		struct engine *engine = g_ptr_array_index(plan->engines, i);

		if (!is_outdated(engine) || is_loading(engine, now) ||
		    now < engine->retry_at || !is_heard(plan, engine, now) ||
		    !is_waited_out(plan, engine, now) ||
		    !leaves_enough(plan, engine,
			g_hash_table_lookup(models, engine->model)))
			continue;
		if (picked == NULL || (has_model(picked) && !has_model(engine)))
			picked = engine;
	}
	g_hash_table_unref(models);
	return picked;
}

/// Makes the record of an engine follow the bundle.
///
/// @param engine   the record
/// @param options  what the bundle says
static void
apply_engine(struct engine *engine, const struct model_plan_engine *options)
{
	g_free(engine->model);
	g_free(engine->version);
	g_free(engine->wanted);
	engine->model = g_strdup(options->model);
	engine->version = g_strdup(options->version);
	engine->wanted =
	    g_strconcat(options->model, "/", options->version, NULL);
	engine->checks_fence = options->checks_fence;
	engine->in_service = options->in_service;
}

/// Takes an engine out of an array without freeing it.
///
/// @param engines  the array
/// @param engine   the engine
static void
steal(GPtrArray *engines, struct engine *engine)
{
	guint index;

	if (g_ptr_array_find(engines, engine, &index))
		g_ptr_array_steal_index_fast(engines, index);
}

/// Makes a plan without engines and without a lease.
///
/// @param options  copied
/// @return the plan; free with model_plan_free()
struct model_plan *
model_plan_new(const struct model_plan_options *options)
{
	struct model_plan *plan = g_new0(struct model_plan, 1);

	g_assert(options->max_loading > 0 && options->floor_share > 0);
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
	g_free(plan->store.probed);
	g_free(plan);
}

/// Takes the engines of the bundle in force. What is known of an engine that
/// stays is kept; orders decided before can't leave any more.
///
/// @param plan       the plan
/// @param version    the bundle's; a lower one than before is ignored
/// @param engines    copied
/// @param n_engines  their number
void
model_plan_set_bundle(struct model_plan *plan, uint64_t version,
    const struct model_plan_engine *engines, size_t n_engines)
{
	GPtrArray *old = plan->engines;

	if (version < plan->bundle_version)
		return;
	plan->bundle_version = version;
	plan->engines = g_ptr_array_new_with_free_func(engine_free);
	for (size_t i = 0; i < n_engines; i++) {
		struct engine *engine = find_engine(plan, engines[i].id);

		if (engine == NULL)
			engine = g_new0(struct engine, 1);
		else
			steal(old, engine);
		engine->id = engines[i].id;
		apply_engine(engine, &engines[i]);
		g_ptr_array_add(plan->engines, engine);
	}
	g_hash_table_remove_all(plan->engine_by_id);
	for (guint i = 0; i < plan->engines->len; i++) {
		struct engine *engine = g_ptr_array_index(plan->engines, i);

		g_hash_table_insert(
		    plan->engine_by_id, GUINT_TO_POINTER(engine->id), engine);
	}
	g_ptr_array_unref(old);
}

/// Takes an engine's report. One that is not newer than the last is ignored.
///
/// @param plan    the plan
/// @param id      the engine; one that the bundle lacks is ignored
/// @param report  what it says
void
model_plan_report(struct model_plan *plan, uint32_t id,
    const struct model_plan_report *report)
{
	struct engine *engine = find_engine(plan, id);
	bool restarted;

	if (engine == NULL ||
	    (engine->reported && report->asked_at <= engine->reported_at))
		return;
	restarted =
	    engine->reported && report->start_epoch != engine->start_epoch;
	engine->reported = true;
	engine->reported_at = report->asked_at;
	engine->start_epoch = report->start_epoch;
	engine->fence = report->fence;
	g_free(engine->loaded);
	engine->loaded = report->loaded == NULL || *report->loaded == '\0'
	    ? NULL
	    : g_strdup(report->loaded);
	if (engine->ordered != NULL && report->asked_at > engine->ordered_at &&
	    (restarted || g_strcmp0(engine->loaded, engine->ordered) == 0))
		close_order(engine);
}

/// Takes another holder's word on the order that is open at an engine.
///
/// @param plan    the plan
/// @param now     current time
/// @param id      the engine; one that the bundle lacks is ignored
/// @param target  "NAME/VERSION" that was ordered; NULL: none is open
/// @param until   when that order is given up, on our clock
void
model_plan_told(struct model_plan *plan, usec_t now, uint32_t id,
    const char *target, usec_t until)
{
	struct engine *engine = find_engine(plan, id);

	if (engine == NULL || g_strcmp0(engine->ordered, target) == 0)
		return;
	if (target == NULL || g_strcmp0(engine->loaded, target) == 0) {
		close_order(engine);
		return;
	}
	g_free(engine->ordered);
	engine->ordered = g_strdup(target);
	engine->ordered_at = now;
	engine->order_until = MIN(until, now + plan->options.load_timeout);
}

/// Takes a lease that was granted.
///
/// @param plan      the plan
/// @param now       current time
/// @param fence     its fencing number, 1 or more
/// @param deadline  when it lapses
void
model_plan_granted(
    struct model_plan *plan, usec_t now, uint64_t fence, usec_t deadline)
{
	g_assert(fence > 0);
	plan->lease.fence = fence;
	plan->lease.granted_at = now;
	plan->lease.deadline = deadline;
	plan->lease.wait_until = now +
	    usec_with_drift(
		plan->options.lease_term + plan->options.pause_bound);
}

/// Takes a later deadline of the lease that is held.
///
/// @param plan      the plan
/// @param deadline  when it lapses
void
model_plan_renewed(struct model_plan *plan, usec_t deadline)
{
	if (plan->lease.fence != 0)
		plan->lease.deadline = MAX(plan->lease.deadline, deadline);
}

/// Notes that the lease is held no longer: nothing leaves any more.
///
/// @param plan  the plan
void
model_plan_lost(struct model_plan *plan)
{
	plan->lease = (struct lease){0};
	plan->store.permit_until = 0;
	plan->store.probe_until = 0;
}

/// Gives the highest fencing number that any engine has reported; that of a
/// new lease is to be above it.
///
/// @param plan  the plan
/// @return the number, 0 where none was reported
uint64_t
model_plan_fence_floor(const struct model_plan *plan)
{
	uint64_t floor = 0;

	for (guint i = 0; i < plan->engines->len; i++) {
		const struct engine *engine =
		    g_ptr_array_index(plan->engines, i);

		floor = MAX(floor, engine->fence);
	}
	return floor;
}

/// Decides what to do now.
///
/// @param plan   the plan
/// @param now    current time
/// @param order  filled in unless the step is MODEL_PLAN_NONE
/// @return the step
enum model_plan_step
model_plan_next(struct model_plan *plan, usec_t now, struct model_order *order)
{
	const struct lease *lease = &plan->lease;
	struct store *store = &plan->store;
	struct engine *engine;

	if (lease->fence == 0 || now >= lease->deadline ||
	    now < plan->order_due || now < store->blocked_until ||
	    now < store->probe_until)
		return MODEL_PLAN_NONE;
	engine = pick_engine(plan, now);
	if (engine == NULL)
		return MODEL_PLAN_NONE;
	*order = (struct model_order){
	    .engine = engine->id,
	    .fence = lease->fence,
	    .bundle_version = plan->bundle_version,
	    .decided_at = now,
	    .leave_before =
		MIN(lease->deadline, now + plan->options.leave_span),
	    .model = engine->model,
	    .version = engine->version,
	};
	if (now >= store->permit_until ||
	    g_strcmp0(store->probed, engine->wanted) != 0) {
		g_free(store->probed);
		store->probed = g_strdup(engine->wanted);
		store->permit_until = 0;
		store->probe_until = now + plan->options.retry_span;
		return MODEL_PLAN_PROBE;
	}
	store->permit_until = 0;
	plan->order_due = now + plan->options.order_interval;
	g_free(engine->ordered);
	engine->ordered = g_strdup(engine->wanted);
	engine->ordered_at = now;
	engine->order_until = now + plan->options.load_timeout;
	return MODEL_PLAN_ORDER;
}

/// Says whether an order may still leave. To be asked in the step that sends
/// it, with the time read in that step: a process that was paused since
/// model_plan_next() must send nothing.
///
/// @param plan   the plan
/// @param now    current time
/// @param order  as model_plan_next() gave it
/// @return whether its first byte may go out
bool
model_plan_may_leave(
    const struct model_plan *plan, usec_t now, const struct model_order *order)
{
	const struct engine *engine = find_engine(plan, order->engine);

	if (plan->options.naive & MODEL_PLAN_NAIVE_NO_SEND_CHECK)
		return true;
	return engine != NULL && engine->in_service &&
	    order->fence == plan->lease.fence &&
	    order->bundle_version == plan->bundle_version &&
	    now < order->leave_before && now < plan->lease.deadline;
}

/// Takes the end of a probe.
///
/// @param plan      the plan
/// @param now       current time
/// @param end       how it ended
/// @param retry_at  where limited: when the store may be asked again
void
model_plan_probed(struct model_plan *plan, usec_t now, enum model_probe_end end,
    usec_t retry_at)
{
	struct store *store = &plan->store;

	store->probe_until = 0;
	store->permit_until = 0;
	switch (end) {
	case MODEL_PROBE_SERVED:
		store->permit_until = now + plan->options.permit_span;
		break;
	case MODEL_PROBE_LIMITED:
		store->blocked_until = MAX(store->blocked_until, retry_at);
		break;
	case MODEL_PROBE_FAILED:
		store->blocked_until =
		    MAX(store->blocked_until, now + plan->options.retry_span);
		break;
	}
}

/// Takes the end of an order.
///
/// @param plan   the plan
/// @param now    current time
/// @param order  the order
/// @param end    how it ended; accepted or unknown, it stays open until the
///               engine reports the weights, starts anew, or load_timeout
void
model_plan_ended(struct model_plan *plan, usec_t now,
    const struct model_order *order, enum model_order_end end)
{
	struct engine *engine = find_engine(plan, order->engine);

	if (engine == NULL || end == MODEL_ORDER_ACCEPTED ||
	    end == MODEL_ORDER_UNKNOWN)
		return;
	if (engine->ordered_at == order->decided_at)
		close_order(engine);
	engine->retry_at = now + plan->options.retry_span;
}

/// Says whether an engine can take new generations: it has weights of its
/// model, of whichever version, and loads no others.
///
/// @param plan  the plan
/// @param now   current time
/// @param id    the engine
/// @return whether it can; true where nothing is known of it yet
bool
model_plan_serves(const struct model_plan *plan, usec_t now, uint32_t id)
{
	const struct engine *engine = find_engine(plan, id);

	if (engine == NULL || !engine->reported)
		return true;
	return has_model(engine) && !is_loading(engine, now);
}

/// Tells which order is open at an engine.
///
/// @param plan   the plan
/// @param now    current time
/// @param id     the engine
/// @param until  set to when the order is given up
/// @return "NAME/VERSION", the plan's own, or NULL where none is open
const char *
model_plan_loading(
    const struct model_plan *plan, usec_t now, uint32_t id, usec_t *until)
{
	const struct engine *engine = find_engine(plan, id);

	if (engine == NULL || !is_loading(engine, now))
		return NULL;
	*until = engine->order_until;
	return engine->ordered;
}

/// Says whether every engine in service has the weights that it is to have.
///
/// @param plan  the plan
/// @param now   current time
/// @return whether no order is open or wanted
bool
model_plan_settled(const struct model_plan *plan, usec_t now)
{
	for (guint i = 0; i < plan->engines->len; i++) {
		const struct engine *engine =
		    g_ptr_array_index(plan->engines, i);

		if (is_outdated(engine) || is_loading(engine, now))
			return false;
	}
	return true;
}
