/*
 * Model orders of one instance: one of a few candidates holds the lease on
 * them, and runs the plan. Every instance keeps engines that load, or that
 * have another model's weights, out of placement.
 */
#include "godwitvale/upstream/model_orders.h"

#include <string.h>

#include "godwitvale/core/hash.h"
#include "godwitvale/ops/log.h"
#include "godwitvale/peer/peer.h"
#include "godwitvale/registry/members.h"
#include "godwitvale/serve/actions.h"
#include "godwitvale/upstream/model_send.h"
#include "godwitvale/upstream/model_share.h"
#include "godwitvale/upstream/upstream.h"

#define SCOPE "model-orders"
/// So many instances, chosen by their names, claim the lease.
#define CANDIDATES 5
/// Longest term of the lease; never beyond the resend window.
#define LEASE_TERM (3 * USEC_PER_SEC)
/// From the check before an order leaves to its arrival at an engine.
#define PAUSE_BOUND (2 * USEC_PER_SEC)
/// An order leaves within this after it was decided.
#define LEAVE_SPAN (500 * USEC_PER_MSEC)
/// Between two orders.
#define ORDER_INTERVAL (100 * USEC_PER_MSEC)
/// An engine has loaded its weights by then.
#define LOAD_TIMEOUT (300 * USEC_PER_SEC)
#define PERMIT_SPAN (1 * USEC_PER_SEC)
#define RETRY_SPAN (1 * USEC_PER_SEC)
/// An engine is silent after so many report intervals, and at least a second.
#define REPORT_INTERVALS 5
/// Loads at a time, and the part of a model's engines among them.
#define LOADING_MAX 4
#define FLOOR_SHARE 4
#define TICK_INTERVAL (20 * USEC_PER_MSEC)
/// A claim that was denied is made again after this at the earliest.
#define CLAIM_RETRY (500 * USEC_PER_MSEC)
/// After a refusal for an old fence: reports are to show the higher one.
#define STEP_DOWN_SPAN (2 * USEC_PER_SEC)

/// Gives the term of the lease.
///
/// @param instance  the instance
/// @return span
static usec_t
lease_term(const struct instance *instance)
{
	return MIN(LEASE_TERM, instance->settings->resend_window);
}

/// Says whether model orders are given at all.
///
/// @param instance  the instance
/// @return false where the settings name no weight store
static bool
is_enabled(const struct instance *instance)
{
	return instance->settings->weights.port != 0;
}

/// Makes the plan follow the bundle in force.
///
/// @param orders  the model orders
static void
follow_bundle(struct model_orders *orders)
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
	g_hash_table_remove_all(orders->unplaced);
	model_plan_set_bundle(orders->plan, bundle->version,
	    (const struct model_plan_engine *)(const void *)engines->data,
	    engines->len);
	g_array_unref(engines);
}

/// Puts an engine in or out of placement, on top of the operators' word.
///
/// @param orders    the model orders
/// @param upstream  the engine
/// @param now       current time
static void
place(struct model_orders *orders, const struct upstream *upstream, usec_t now)
{
	gpointer handle = GUINT_TO_POINTER(upstream->handle);
	bool serves = model_plan_can_serve(orders->plan, now, upstream->handle);

	router_set_in_service(orders->instance->router, now, upstream->handle,
	    upstream->in_service && serves);
	if (serves ? !g_hash_table_remove(orders->unplaced, handle)
		   : !g_hash_table_add(orders->unplaced, handle))
		return;
	log_event(LOG_LEVEL_INFO, "model_placement", "upstream=%s placed=%s",
	    upstream->name, serves ? "yes" : "no");
}

/// Takes the engines' reports into the plan, and puts engines in or out of
/// placement.
///
/// @param orders  the model orders
/// @param now     current time
static void
follow_engines(struct model_orders *orders, usec_t now)
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
		place(orders, upstream, now);
	}
}

/// Orders two members by how early they come as candidates.
///
/// @param left   a member
/// @param right  another
/// @return as for qsort()
static gint
compare_rank(gconstpointer left, gconstpointer right)
{
	const struct member *a = *(const struct member *const *)left;
	const struct member *b = *(const struct member *const *)right;
	uint64_t scope = hash_name(SCOPE);
	uint64_t rank_a = hash_pair(scope, a->id);
	uint64_t rank_b = hash_pair(scope, b->id);

	return rank_a < rank_b ? -1 : rank_a > rank_b;
}

/// Lists the instances that claim the lease.
///
/// @param orders  the model orders
/// @return members; the caller releases the array
static GPtrArray *
list_candidates(const struct model_orders *orders)
{
	GPtrArray *members = member_list_all(orders->instance->members);
	GPtrArray *candidates = g_ptr_array_new();

	for (guint i = 0; i < members->len; i++) {
		struct member *member = g_ptr_array_index(members, i);

		if (!member->leaving)
			g_ptr_array_add(candidates, member);
	}
	g_ptr_array_sort(candidates, compare_rank);
	if (candidates->len > CANDIDATES)
		g_ptr_array_set_size(candidates, CANDIDATES);
	return candidates;
}

/// Says whether this instance is among the candidates.
///
/// @param orders      the model orders
/// @param candidates  members
/// @return whether it claims the lease
static bool
is_candidate(const struct model_orders *orders, const GPtrArray *candidates)
{
	for (guint i = 0; i < candidates->len; i++) {
		const struct member *member = g_ptr_array_index(candidates, i);

		if (member->id == peer_self(orders->instance->peer))
			return true;
	}
	return false;
}

/// Claims the lease.
///
/// @param orders  the model orders
/// @param now     current time
static void
claim(struct model_orders *orders, usec_t now)
{
	struct quorum_claim_options options = {
	    .lease_term = lease_term(orders->instance),
	    .fenced = true,
	    .fence_floor = model_plan_highest_fence(orders->plan),
	};

	orders->ticket = quorum_start_claim(
	    orders->instance->quorum, now, &orders->key, &options);
	actions_execute_pending(orders->instance);
}

/// Stops at once: nothing leaves any more.
///
/// @param orders  the model orders
/// @param how     for the audit trail
static void
stop(struct model_orders *orders, const char *how)
{
	struct instance *instance = orders->instance;

	model_plan_end_lease(orders->plan);
	if (orders->fence != 0) {
		audit_add(instance->audit, AUDIT_LEASE, SCOPE,
		    instance->settings->instance, orders->fence, "%s", how);
		log_event(LOG_LEVEL_INFO, "model_lease_ended",
		    "how=%s fence=%" G_GUINT64_FORMAT, how, orders->fence);
	}
	orders->fence = 0;
	orders->ticket = 0;
}

/// Gives the lease, or the claim to it, back.
///
/// @param orders  the model orders
/// @param now     current time
/// @param until   no claim before this
static void
release(struct model_orders *orders, usec_t now, usec_t until)
{
	quorum_ticket ticket = orders->ticket;

	if (ticket == 0)
		return;
	stop(orders, "released");
	orders->claim_due = until;
	quorum_release_claim(orders->instance->quorum, now, ticket);
	actions_execute_pending(orders->instance);
}

/// Runs the plan under the lease.
///
/// @param orders  the model orders
/// @param now     current time
static void
run_plan(struct model_orders *orders, usec_t now)
{
	struct instance *instance = orders->instance;
	struct model_order order;

	if (!authority_may_admit(&instance->authority, now))
		return;
	if (quorum_may_act(instance->quorum, now + LEAVE_SPAN, orders->ticket))
		model_plan_extend_lease(orders->plan, now + LEAVE_SPAN);
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

/// Takes a lease that was granted.
///
/// @param orders  the model orders
/// @param action  granted
static void
take_lease(struct model_orders *orders, const struct quorum_action *action)
{
	struct instance *instance = orders->instance;

	orders->fence = action->value;
	orders->holder = 0;
	model_plan_start_lease(orders->plan, g_get_monotonic_time(),
	    action->value, action->deadline);
	audit_add(instance->audit, AUDIT_LEASE, SCOPE,
	    instance->settings->instance, action->value, "gained");
	log_event(LOG_LEVEL_INFO, "model_lease_gained",
	    "fence=%" G_GUINT64_FORMAT, action->value);
}

/// Claims the lease, and asks its holder for the open orders, when that is
/// due.
///
/// @param orders  the model orders
/// @param now     current time
static void
seek_lease(struct model_orders *orders, usec_t now)
{
	bool claims = orders->ticket == 0 && now >= orders->claim_due &&
	    orders->instance->bundle != NULL;
	bool asks = !orders->share_pending && now >= orders->share_due &&
	    !model_plan_is_complete(orders->plan, now);
	GPtrArray *candidates;

	if (!claims && !asks)
		return;
	candidates = list_candidates(orders);
	if (asks)
		model_share_ask(orders, candidates, now);
	if (claims && is_candidate(orders, candidates))
		claim(orders, now);
	else if (claims)
		orders->claim_due = now + CLAIM_RETRY;
	g_ptr_array_unref(candidates);
}

/// Makes the model orders of an instance; its addresses are open.
///
/// @param instance  the instance
/// @return the model orders
struct model_orders *
model_orders_new(struct instance *instance)
{
	struct model_orders *orders = g_new0(struct model_orders, 1);
	struct model_plan_options options = {
	    .lease_term = lease_term(instance),
	    .delivery_bound = PAUSE_BOUND,
	    .send_span = LEAVE_SPAN,
	    .order_interval = ORDER_INTERVAL,
	    .load_timeout = LOAD_TIMEOUT,
	    .probe_valid_span = PERMIT_SPAN,
	    .report_age_max = MAX(USEC_PER_SEC,
		REPORT_INTERVALS * instance->settings->report_interval),
	    .retry_delay = RETRY_SPAN,
	    .max_loading = LOADING_MAX,
	    .loading_divisor = FLOOR_SHARE,
	};

	orders->instance = instance;
	orders->plan = model_plan_new(&options);
	orders->unplaced = g_hash_table_new(NULL, NULL);
	orders->key = quorum_key_make(QUORUM_LEASE, SCOPE, "", 0);
	model_share_open(orders);
	return orders;
}

/// Releases the model orders, once no exchange is under way.
///
/// @param orders  may be NULL
void
model_orders_free(struct model_orders *orders)
{
	if (orders == NULL)
		return;
	g_hash_table_unref(orders->unplaced);
	model_plan_free(orders->plan);
	g_free(orders);
}

/// Looks after the lease, the plan and placement.
///
/// @param orders  the model orders
/// @param now     current time
void
model_orders_tick(struct model_orders *orders, usec_t now)
{
	struct instance *instance = orders->instance;

	if (!is_enabled(instance) || now < orders->tick_due)
		return;
	orders->tick_due = now + TICK_INTERVAL;
	follow_bundle(orders);
	follow_engines(orders, now);
	if (instance->draining) {
		release(orders, now, USEC_NEVER);
		return;
	}
	if (orders->old_fence) {
		orders->old_fence = false;
		release(orders, now, now + STEP_DOWN_SPAN);
	}
	if (orders->fence != 0) {
		run_plan(orders, now);
		return;
	}
	seek_lease(orders, now);
}

/// Takes the result of a claim, where it is one on the model orders.
///
/// @param orders  the model orders; may be NULL
/// @param action  granted, denied or lost
/// @return false when the claim is another's
bool
model_orders_take_result(
    struct model_orders *orders, const struct quorum_action *action)
{
	usec_t now = g_get_monotonic_time();

	if (orders == NULL || orders->ticket == 0 ||
	    action->ticket != orders->ticket)
		return false;
	if (action->type == QUORUM_ACTION_GRANTED) {
		take_lease(orders, action);
		return true;
	}
	if (action->type == QUORUM_ACTION_DENIED)
		orders->holder = action->holder;
	stop(orders, "lost");
	orders->claim_due = MAX(action->deadline, now + CLAIM_RETRY) +
	    g_rand_int_range(orders->instance->random, 0, CLAIM_RETRY);
	return true;
}
