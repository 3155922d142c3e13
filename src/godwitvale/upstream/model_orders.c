/*
 * Sends model orders, which tell engines to load other weights. A few instances
 * are candidates for the lease on model orders, and the holder of the lease
 * runs the plan. Every instance keeps engines that load weights, or that have
 * the weights of another model loaded, out of placement.
 */
#include "godwitvale/upstream/model_orders.h"

#include <string.h>

#include "godwitvale/core/hash.h"
#include "godwitvale/ops/log.h"
#include "godwitvale/peer/peer.h"
#include "godwitvale/registry/member_list.h"
#include "godwitvale/serve/actions.h"
#include "godwitvale/upstream/model_send.h"
#include "godwitvale/upstream/order_query.h"
#include "godwitvale/upstream/upstream.h"

/// Scope of the lease at the quorum and in the audit trail.
#define LEASE_SCOPE "model-orders"
/// Limit on the number of instances that claim the lease, chosen by a hash of
/// their names.
#define CANDIDATES_MAX 5
/// Upper bound of the lease term. The resend window limits the term further.
#define LEASE_TERM (3 * USEC_PER_SEC)
/// Longest time from the check before an order is sent to its arrival at an
/// engine.
#define DELIVERY_BOUND (2 * USEC_PER_SEC)
/// Time after its decision within which an order must be sent.
#define SEND_SPAN (500 * USEC_PER_MSEC)
/// Least time between two orders.
#define ORDER_INTERVAL (100 * USEC_PER_MSEC)
/// Time after which the load of an engine's weights counts as failed.
#define LOAD_TIMEOUT (300 * USEC_PER_SEC)
/// Time for which a good probe of the weight store permits an order.
#define PROBE_VALID_SPAN (1 * USEC_PER_SEC)
/// Delay after a refused order or a failed probe.
#define RETRY_DELAY (1 * USEC_PER_SEC)
/// Engines whose last report is older than this many report intervals, and than
/// one second, get no orders.
#define REPORT_AGE_INTERVALS 5
/// Limit on the number of engines that load at a time.
#define LOADING_MAX 4
/// Limit on the engines of a model that load at a time, as a divisor of the
/// number of the model's engines.
#define LOADING_DIVISOR 4
/// Least time between two runs of model_orders_tick().
#define TICK_INTERVAL (20 * USEC_PER_MSEC)
/// Least delay before the next claim after a denied one.
#define CLAIM_RETRY_DELAY (500 * USEC_PER_MSEC)
/// Delay before the next claim after an engine refused an order for its old
/// fence. Load reports show the higher fence in this time.
#define STEP_DOWN_DELAY (2 * USEC_PER_SEC)

/// Computes the longest term of the lease.
///
/// @param instance  the local instance
/// @return the term, in microseconds
static usec_t
lease_term(const struct instance *instance)
{
	return MIN(LEASE_TERM, instance->settings->resend_window);
}

/// Checks whether model orders are enabled.
///
/// @param instance  the local instance
/// @return false if the settings name no weight store
static bool
are_orders_enabled(const struct instance *instance)
{
	return instance->settings->weights.port != 0;
}

/// Passes the engines of the bundle in force to the plan if the bundle changed.
///
/// @param orders  the model orders
static void
update_plan_bundle(struct model_orders *orders)
{
	const struct bundle *bundle = orders->instance->bundle;
	GPtrArray *upstreams = upstream_list(orders->instance->upstreams);
	GArray *engines;

	if (bundle == NULL || bundle->version == orders->bundle_version)
		return;
	engines = g_array_new(FALSE, FALSE, sizeof(struct model_plan_engine));
	for (guint i = 0; i < upstreams->len; i++) {
		const struct upstream *upstream =
		    g_ptr_array_index(upstreams, i);
		const struct bundle_model *model = !upstream->is_engine
		    ? NULL
		    : bundle_find_model(
			  bundle, g_quark_to_string(upstream->serves));
		struct model_plan_engine engine = {.id = upstream->handle,
		    .checks_fence = upstream->checks_fence,
		    .in_service = upstream->in_service};

		if (upstream->retired || model == NULL ||
		    model->version == NULL)
			continue;
		engine.model = model->name;
		engine.version = model->version;
		g_array_append_val(engines, engine);
	}
	orders->bundle_version = bundle->version;
	g_hash_table_remove_all(orders->excluded_engines);
	model_plan_set_bundle(orders->plan, bundle->version,
	    (const struct model_plan_engine *)(const void *)engines->data,
	    engines->len);
	g_array_unref(engines);
}

/// Puts an engine in or out of placement. An engine gets new requests only if
/// the operators have it in service and the plan allows it to serve.
///
/// @param orders    the model orders
/// @param upstream  the engine
/// @param now       current monotonic time, in microseconds
static void
update_engine_placement(
    struct model_orders *orders, const struct upstream *upstream, usec_t now)
{
	gpointer handle = GUINT_TO_POINTER(upstream->handle);
	bool can_serve =
	    model_plan_can_serve(orders->plan, now, upstream->handle);

	router_set_in_service(orders->instance->router, now, upstream->handle,
	    upstream->in_service && can_serve);
	if (can_serve ? !g_hash_table_remove(orders->excluded_engines, handle)
		      : !g_hash_table_add(orders->excluded_engines, handle))
		return;
	log_event(LOG_LEVEL_INFO, "model_placement", "upstream=%s placed=%s",
	    upstream->name, can_serve ? "yes" : "no");
}

/// Passes the engines' load reports to the plan, and puts engines in or out of
/// placement.
///
/// @param orders  the model orders
/// @param now     current monotonic time, in microseconds
static void
process_engine_reports(struct model_orders *orders, usec_t now)
{
	struct instance *instance = orders->instance;
	GPtrArray *upstreams = upstream_list(instance->upstreams);

	for (guint i = 0; i < upstreams->len; i++) {
		const struct upstream *upstream =
		    g_ptr_array_index(upstreams, i);
		struct model_plan_report report = {
		    .requested_at = upstream->report_requested_at,
		    .start_epoch = upstream->start_epoch,
		    .loaded = upstream->model,
		    .fence = upstream->fence};

		if (!upstream->is_engine)
			continue;
		if (upstream->report_requested_at != 0)
			model_plan_handle_report(
			    orders->plan, upstream->handle, &report);
		update_engine_placement(orders, upstream, now);
	}
}

/// Compares the ranks of two members as candidates for the lease. The rank is a
/// hash of the member's id, so that all instances choose the same candidates.
///
/// @param left   pointer to a struct member pointer
/// @param right  pointer to a struct member pointer
/// @return negative, zero or positive, as for qsort()
static gint
compare_candidates(gconstpointer left, gconstpointer right)
{
	const struct member *a = *(const struct member *const *)left;
	const struct member *b = *(const struct member *const *)right;
	uint64_t scope = hash_name(LEASE_SCOPE);
	uint64_t rank_a = hash_pair(scope, a->id);
	uint64_t rank_b = hash_pair(scope, b->id);

	return rank_a < rank_b ? -1 : rank_a > rank_b;
}

/// Lists the members that claim the lease.
///
/// @param orders  the model orders
/// @return array of struct member pointers; the caller releases the array
static GPtrArray *
list_candidates(const struct model_orders *orders)
{
	GPtrArray *members = member_list_get_members(orders->instance->members);
	GPtrArray *candidates = g_ptr_array_new();

	for (guint i = 0; i < members->len; i++) {
		struct member *member = g_ptr_array_index(members, i);

		if (!member->leaving)
			g_ptr_array_add(candidates, member);
	}
	g_ptr_array_sort(candidates, compare_candidates);
	if (candidates->len > CANDIDATES_MAX)
		g_ptr_array_set_size(candidates, CANDIDATES_MAX);
	return candidates;
}

/// Checks whether this instance is a candidate for the lease.
///
/// @param orders      the model orders
/// @param candidates  array of struct member pointers
/// @return true if this instance claims the lease
static bool
is_candidate(const struct model_orders *orders, const GPtrArray *candidates)
{
	for (guint i = 0; i < candidates->len; i++) {
		const struct member *member = g_ptr_array_index(candidates, i);

		if (member->id == peer_get_own_id(orders->instance->peer))
			return true;
	}
	return false;
}

/// Claims the lease on model orders.
///
/// @param orders  the model orders
/// @param now     current monotonic time, in microseconds
static void
claim_lease(struct model_orders *orders, usec_t now)
{
	struct quorum_claim_options options = {
	    .lease_term = lease_term(orders->instance),
	    .fenced = true,
	    .fence_floor = model_plan_get_highest_fence(orders->plan),
	};

	orders->ticket = quorum_start_claim(
	    orders->instance->quorum, now, &orders->key, &options);
	actions_execute_pending(orders->instance);
}

/// Ends the lease or the claim locally. No further order is sent.
///
/// @param orders  the model orders
/// @param reason  reason for the audit trail and the log
static void
end_lease(struct model_orders *orders, const char *reason)
{
	struct instance *instance = orders->instance;

	model_plan_end_lease(orders->plan);
	if (orders->fence != 0) {
		audit_add(instance->audit, AUDIT_LEASE, LEASE_SCOPE,
		    instance->settings->instance, orders->fence, "%s", reason);
		log_event(LOG_LEVEL_INFO, "model_lease_ended",
		    "how=%s fence=%" G_GUINT64_FORMAT, reason, orders->fence);
	}
	orders->fence = 0;
	orders->ticket = 0;
}

/// Releases the lease, or withdraws the claim to it.
///
/// @param orders     the model orders
/// @param now        current monotonic time, in microseconds
/// @param claim_due  earliest time of the next claim
static void
release_lease(struct model_orders *orders, usec_t now, usec_t claim_due)
{
	quorum_ticket ticket = orders->ticket;

	if (ticket == 0)
		return;
	end_lease(orders, "released");
	orders->claim_due = claim_due;
	quorum_release_claim(orders->instance->quorum, now, ticket);
	actions_execute_pending(orders->instance);
}

/// Extends the plan's lease and carries out the next action of the plan.
///
/// @param orders  the model orders of the lease holder
/// @param now     current monotonic time, in microseconds
static void
run_plan(struct model_orders *orders, usec_t now)
{
	struct instance *instance = orders->instance;
	struct model_order order;

	if (!bundle_freshness_may_admit(&instance->bundle_freshness, now))
		return;
	if (quorum_may_act(instance->quorum, now + SEND_SPAN, orders->ticket))
		model_plan_extend_lease(orders->plan, now + SEND_SPAN);
	switch (model_plan_next_action(orders->plan, now, &order)) {
	case MODEL_PLAN_PROBE:
		model_send_probe(orders, &order);
		break;
	case MODEL_PLAN_ORDER:
		model_send_order(orders, &order);
		break;
	case MODEL_PLAN_NONE:
		break;
	}
}

/// Starts the plan under a lease that was granted.
///
/// @param orders  the model orders
/// @param action  result of the claim, with the fence and the deadline
static void
start_lease(struct model_orders *orders, const struct quorum_action *action)
{
	struct instance *instance = orders->instance;

	orders->fence = action->value;
	orders->holder = 0;
	model_plan_start_lease(orders->plan, g_get_monotonic_time(),
	    action->value, action->deadline);
	audit_add(instance->audit, AUDIT_LEASE, LEASE_SCOPE,
	    instance->settings->instance, action->value, "gained");
	log_event(LOG_LEVEL_INFO, "model_lease_gained",
	    "fence=%" G_GUINT64_FORMAT, action->value);
}

/// Claims the lease if a claim is due, and queries the holder for open orders
/// if a query is due.
///
/// @param orders  the model orders of an instance without the lease
/// @param now     current monotonic time, in microseconds
static void
claim_lease_and_query_holder(struct model_orders *orders, usec_t now)
{
	bool claim_is_due = orders->ticket == 0 && now >= orders->claim_due &&
	    orders->instance->bundle != NULL;
	bool query_is_due = !orders->query_pending &&
	    now >= orders->query_due &&
	    !model_plan_is_complete(orders->plan, now);
	GPtrArray *candidates;

	if (!claim_is_due && !query_is_due)
		return;
	candidates = list_candidates(orders);
	if (query_is_due)
		order_query_send(orders, candidates, now);
	if (claim_is_due && is_candidate(orders, candidates))
		claim_lease(orders, now);
	else if (claim_is_due)
		orders->claim_due = now + CLAIM_RETRY_DELAY;
	g_ptr_array_unref(candidates);
}

/// Creates the model orders of an instance, and starts to answer the queries of
/// other instances.
///
/// @param instance  the local instance; its listeners are open
/// @return the model orders
struct model_orders *
model_orders_new(struct instance *instance)
{
	struct model_orders *orders = g_new0(struct model_orders, 1);
	struct model_plan_options options = {
	    .lease_term = lease_term(instance),
	    .delivery_bound = DELIVERY_BOUND,
	    .send_span = SEND_SPAN,
	    .order_interval = ORDER_INTERVAL,
	    .load_timeout = LOAD_TIMEOUT,
	    .probe_valid_span = PROBE_VALID_SPAN,
	    .report_age_max = MAX(USEC_PER_SEC,
		REPORT_AGE_INTERVALS * instance->settings->report_interval),
	    .retry_delay = RETRY_DELAY,
	    .max_loading = LOADING_MAX,
	    .loading_divisor = LOADING_DIVISOR,
	};

	orders->instance = instance;
	orders->plan = model_plan_new(&options);
	orders->excluded_engines = g_hash_table_new(NULL, NULL);
	orders->key = quorum_key_make(QUORUM_LEASE, LEASE_SCOPE, "", 0);
	order_query_add_handler(orders);
	return orders;
}

/// Frees the model orders. No HTTP exchange of theirs may be in flight.
///
/// @param orders  the model orders, or NULL
void
model_orders_free(struct model_orders *orders)
{
	if (orders == NULL)
		return;
	g_hash_table_unref(orders->excluded_engines);
	model_plan_free(orders->plan);
	g_free(orders);
}

/// Updates the plan and the placement of engines, and claims, uses or releases
/// the lease. Called periodically.
///
/// @param orders  the model orders
/// @param now     current monotonic time, in microseconds
void
model_orders_tick(struct model_orders *orders, usec_t now)
{
	struct instance *instance = orders->instance;

	if (!are_orders_enabled(instance) || now < orders->tick_due)
		return;
	orders->tick_due = now + TICK_INTERVAL;
	update_plan_bundle(orders);
	process_engine_reports(orders, now);
	if (instance->draining) {
		release_lease(orders, now, USEC_NEVER);
		return;
	}
	if (orders->fence_is_old) {
		orders->fence_is_old = false;
		release_lease(orders, now, now + STEP_DOWN_DELAY);
	}
	if (orders->fence != 0) {
		run_plan(orders, now);
		return;
	}
	claim_lease_and_query_holder(orders, now);
}

/// Handles the result of a quorum claim, if it is the claim to the lease on
/// model orders.
///
/// @param orders  the model orders, or NULL
/// @param action  a granted, denied or lost claim
/// @return false if the claim isn't to the lease on model orders
bool
model_orders_handle_claim_result(
    struct model_orders *orders, const struct quorum_action *action)
{
	usec_t now = g_get_monotonic_time();

	if (orders == NULL || orders->ticket == 0 ||
	    action->ticket != orders->ticket)
		return false;
	if (action->type == QUORUM_ACTION_GRANTED) {
		start_lease(orders, action);
		return true;
	}
	if (action->type == QUORUM_ACTION_DENIED)
		orders->holder = action->holder;
	end_lease(orders, "lost");
	orders->claim_due = MAX(action->deadline, now + CLAIM_RETRY_DELAY) +
	    g_rand_int_range(orders->instance->random, 0, CLAIM_RETRY_DELAY);
	return true;
}
