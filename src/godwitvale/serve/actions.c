/*
 * Executes the actions that the router and the quorum module have queued.
 * These two modules perform no I/O: the router queues sends, refusals and slot
 * changes, and the quorum module queues messages to peers and results of
 * claims.
 */
#include "godwitvale/serve/actions.h"

#include "godwitvale/core/verdict.h"
#include "godwitvale/ops/log.h"
#include "godwitvale/ops/metrics.h"
#include "godwitvale/peer/peer.h"
#include "godwitvale/registry/member_list.h"
#include "godwitvale/serve/rollout.h"
#include "godwitvale/serve/request.h"
#include "godwitvale/serve/slots.h"
#include "godwitvale/upstream/join.h"
#include "godwitvale/upstream/model_orders.h"
#include "godwitvale/upstream/upstream.h"

/// Runs the remaining filters of a request that the router has placed on an
/// upstream; the last filter sends the request.
///
/// @param instance  owner of the request
/// @param action    a SEND action; names the request and its upstream
static void
send_placed_request(
    struct instance *instance, const struct router_action *action)
{
	struct request *request =
	    request_find_by_router_handle(instance, action->request);

	if (request == NULL)
		return;
	request->upstream = action->upstream;
	request->stage = request_filter_after_placement;
	request_advance(request);
}

/// Refuses a request that the router has rejected.
///
/// @param instance  owner of the request
/// @param action    a REFUSE action; names the request and the reason
static void
refuse_request(struct instance *instance, const struct router_action *action)
{
	struct request *request =
	    request_find_by_router_handle(instance, action->request);

	if (request == NULL)
		return;
	request->router_handle = 0;
	request_refuse_unsent(
	    request, refusal_from_router(action->refusal), action->retry_at);
}

/// Executes one action of the router.
///
/// @param instance  owner of the router
/// @param action    an action taken from the router's queue
static void
execute_router_action(
    struct instance *instance, const struct router_action *action)
{
	struct upstream *upstream =
	    upstream_find(instance->upstreams, action->upstream);

	switch (action->type) {
	case ROUTER_ACTION_SEND:
		send_placed_request(instance, action);
		break;
	case ROUTER_ACTION_REFUSE:
		refuse_request(instance, action);
		break;
	case ROUTER_ACTION_ACQUIRE_SLOT:
		slots_acquire(instance, action->upstream, action->slot);
		break;
	case ROUTER_ACTION_RELEASE_SLOT:
		slots_release(instance, action->upstream, action->slot);
		break;
	case ROUTER_ACTION_REPORT_COLD:
		if (upstream != NULL)
			audit_add(instance->audit, AUDIT_UPSTREAM,
			    upstream->name, instance->settings->instance,
			    upstream->start_epoch, "cold");
		break;
	}
}

/// Handles a denied claim of a call. If another claimant holds the grant, the
/// call waits for the answer to that claimant's copy of it if this is possible.
/// Otherwise the call is refused.
///
/// @param request  the call that made the claim
/// @param action   the denial, with its reason
static void
handle_denied_claim(struct request *request, const struct quorum_action *action)
{
	bool key_is_held = action->reason == QUORUM_REASON_HELD ||
	    action->reason == QUORUM_REASON_CONTESTED;
	usec_t retry_at = action->deadline == 0
	    ? g_get_monotonic_time() + USEC_PER_SEC
	    : action->deadline;

	request->ticket = 0;
	request->claim_denied = true;
	request->verdict = action->verdict;
	metrics_add(METRIC_ORDERS_DENIED, 1);
	request_report_router_outcome(request, ROUTER_OUTCOME_CANCELLED, 0);
	if (key_is_held && join_start(request, action->holder))
		return;
	request_refuse(request,
	    key_is_held ? REFUSAL_REPEATED : REFUSAL_NO_GRANT, retry_at, NULL);
}

/// Handles a granted claim of a call: continues the call, or refuses it if the
/// claim was only made to determine the verdict of a refusal.
///
/// @param request  the call that made the claim
static void
handle_granted_claim(struct request *request)
{
	request->claim_granted = true;
	if (request->refuse_after_claim) {
		request_refuse(
		    request, request->refusal, request->retry_at, NULL);
		return;
	}
	metrics_add(METRIC_ORDERS_GRANTED, 1);
	request_advance(request);
}

/// Passes the result of a claim to the slot, model order or request that made
/// the claim.
///
/// @param instance  owner of the quorum module
/// @param action    a GRANTED, DENIED or LEASE_LOST action
static void
handle_claim_result(
    struct instance *instance, const struct quorum_action *action)
{
	struct request *request;

	if (slots_handle_claim_result(instance, action) ||
	    model_orders_handle_claim_result(instance->model_orders, action))
		return;
	request = request_find_by_ticket(instance, action->ticket);
	if (request == NULL)
		return;
	if (action->type == QUORUM_ACTION_GRANTED)
		handle_granted_claim(request);
	else
		handle_denied_claim(request, action);
}

/// Executes one action of the quorum module.
///
/// @param instance  owner of the quorum module
/// @param action    an action taken from the module's queue
static void
execute_quorum_action(
    struct instance *instance, const struct quorum_action *action)
{
	switch (action->type) {
	case QUORUM_ACTION_SEND:
		peer_send_quorum_message(
		    instance->peer, action->to, &action->message);
		break;
	case QUORUM_ACTION_GRANTED:
	case QUORUM_ACTION_DENIED:
	case QUORUM_ACTION_LEASE_LOST:
		handle_claim_result(instance, action);
		break;
	case QUORUM_ACTION_VERSION_READ:
		rollout_handle_version_read(instance, action->value);
		break;
	case QUORUM_ACTION_READ_FAILED:
		bundle_freshness_handle_read_failure(
		    &instance->bundle_freshness);
		break;
	case QUORUM_ACTION_REFRESH_LIST:
		member_list_schedule_read(instance->members);
		break;
	}
}

/// Executes the queued actions of the router and the quorum module until both
/// queues are empty; executing an action may queue further actions.
///
/// @param instance  owner of the router and the quorum module
void
actions_execute_pending(struct instance *instance)
{
	struct router_action router_action;
	struct quorum_action quorum_action;
	bool may_have_more = true;

	while (may_have_more) {
		may_have_more = false;
		while (router_next_action(instance->router, &router_action)) {
			execute_router_action(instance, &router_action);
			may_have_more = true;
		}
		while (quorum_next_action(instance->quorum, &quorum_action)) {
			execute_quorum_action(instance, &quorum_action);
			may_have_more = true;
		}
	}
}
