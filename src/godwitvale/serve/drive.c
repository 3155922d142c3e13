/*
 * Drives the pure parts: carries out the router's and the quorum's actions,
 * and keeps the leases on slots of cold upstreams.
 */
#include "godwitvale/serve/drive.h"

#include "godwitvale/core/verdict.h"
#include "godwitvale/ops/log.h"
#include "godwitvale/ops/metrics.h"
#include "godwitvale/peer/peer.h"
#include "godwitvale/registry/members.h"
#include "godwitvale/serve/rollout.h"
#include "godwitvale/serve/request.h"
#include "godwitvale/serve/slots.h"
#include "godwitvale/upstream/join.h"
#include "godwitvale/upstream/model_orders.h"
#include "godwitvale/upstream/upstream.h"

/// Sends a request that the router has placed.
///
/// @param instance  the instance
/// @param action    the router's decision
static void
send_request(struct instance *instance, const struct router_action *action)
{
	struct request *request =
	    request_find_routed(instance, action->request);

	if (request == NULL)
		return;
	request->upstream = action->upstream;
	request->stage = request_placed_filter;
	request_advance(request);
}

/// Refuses a request that the router has given up on.
///
/// @param instance  the instance
/// @param action    the router's decision
static void
refuse_request(struct instance *instance, const struct router_action *action)
{
	struct request *request =
	    request_find_routed(instance, action->request);

	if (request == NULL)
		return;
	request->routed = 0;
	request_refuse_checked(
	    request, refusal_of_router(action->refusal), action->retry_at);
}

/// Carries out one action of the router.
///
/// @param instance  the instance
/// @param action    the action
static void
do_router_action(struct instance *instance, const struct router_action *action)
{
	struct upstream *upstream =
	    upstream_find(instance->upstreams, action->upstream);

	switch (action->type) {
	case ROUTER_ACTION_SEND:
		send_request(instance, action);
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

/// Answers a call whose claim was denied.
///
/// @param request  the call
/// @param action   the quorum's decision
static void
deny_request(struct request *request, const struct quorum_action *action)
{
	bool held = action->reason == QUORUM_REASON_HELD ||
	    action->reason == QUORUM_REASON_CONTESTED;
	usec_t retry_at = action->deadline == 0
	    ? g_get_monotonic_time() + USEC_PER_SEC
	    : action->deadline;

	request->ticket = 0;
	request->denied = true;
	request->verdict = action->verdict;
	metrics_add(METRIC_ORDERS_DENIED, 1);
	request_leave_router(request, ROUTER_OUTCOME_CANCELLED, 0);
	if (held && join_start(request, action->holder))
		return;
	request_refuse(request, held ? REFUSAL_REPEATED : REFUSAL_NO_GRANT,
	    retry_at, NULL);
}

/// Goes on with a call whose claim was granted.
///
/// @param request  the call
static void
grant_request(struct request *request)
{
	request->granted = true;
	if (request->refusing) {
		request_refuse(
		    request, request->refusal, request->retry_at, NULL);
		return;
	}
	metrics_add(METRIC_ORDERS_GRANTED, 1);
	request_advance(request);
}

/// Takes the result of a claim.
///
/// @param instance  the instance
/// @param action    granted, denied or lost
static void
take_claim_result(struct instance *instance, const struct quorum_action *action)
{
	struct request *request;

	if (slots_take_result(instance, action) ||
	    model_orders_take_result(instance->model_orders, action))
		return;
	request = request_find_ticket(instance, action->ticket);
	if (request == NULL)
		return;
	if (action->type == QUORUM_ACTION_GRANTED)
		grant_request(request);
	else
		deny_request(request, action);
}

/// Carries out one action of the quorum part.
///
/// @param instance  the instance
/// @param action    the action
static void
do_quorum_action(struct instance *instance, const struct quorum_action *action)
{
	switch (action->type) {
	case QUORUM_ACTION_SEND:
		peer_send(instance->peer, action->to, &action->message);
		break;
	case QUORUM_ACTION_GRANTED:
	case QUORUM_ACTION_DENIED:
	case QUORUM_ACTION_LEASE_LOST:
		take_claim_result(instance, action);
		break;
	case QUORUM_ACTION_VERSION_READ:
		rollout_take_version(instance, action->value);
		break;
	case QUORUM_ACTION_READ_FAILED:
		authority_handle_read_failure(&instance->authority);
		break;
	case QUORUM_ACTION_REFRESH_LIST:
		member_list_read_soon(instance->members);
		break;
	}
}

/// Carries out all actions that wait.
///
/// @param instance  the instance
void
drive_instance(struct instance *instance)
{
	struct router_action routed;
	struct quorum_action claimed;
	bool more = true;

	while (more) {
		more = false;
		while (router_next_action(instance->router, &routed)) {
			do_router_action(instance, &routed);
			more = true;
		}
		while (quorum_next_action(instance->quorum, &claimed)) {
			do_quorum_action(instance, &claimed);
			more = true;
		}
	}
}
