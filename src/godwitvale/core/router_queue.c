/*
 * Queueing of requests: adds requests to the queue of their service, dispatches
 * them to upstreams, delays retries, and refuses queued requests as soon as
 * they are not expected to start before their start deadlines.
 */
#include "godwitvale/core/router_state.h"

/// Number of queued requests of a service whose start deadlines are checked at
/// each tick: those with the earliest deadlines.
#define DEADLINE_CHECKS_MAX 16
/// A request is refused if this fraction of its expected wait is longer than
/// the time left until its start deadline.
#define WAIT_MARGIN 0.8
/// Range of the span after which the caller of a refused request should retry.
/// Jitter of up to a quarter of the span is added.
#define RETRY_AFTER_MIN USEC_PER_SEC
#define RETRY_AFTER_MAX (60 * USEC_PER_SEC)

/// Compares delayed requests by the time of their next attempt, then by handle.
///
/// @param left    struct request
/// @param right   struct request
/// @param unused  required by GSequence
/// @return negative, 0 or positive, as strcmp()
static int
compare_not_before(gconstpointer left, gconstpointer right, gpointer unused)
{
	const struct request *a = left;
	const struct request *b = right;

	(void)unused;
	if (a->not_before != b->not_before)
		return a->not_before < b->not_before ? -1 : 1;
	return a->handle < b->handle ? -1 : a->handle > b->handle;
}

/// Appends an action to the outbox.
///
/// @param action  copied
void
router_push_action(struct router *router, const struct router_action *action)
{
	g_queue_push_tail(&router->outbox, g_memdup2(action, sizeof(*action)));
}

/// Removes a request from its upstream, its queue and all tables, and frees it.
/// The handle of the request becomes stale.
///
/// @param request  a request in any state; freed
void
router_free_request(struct router *router, struct request *request)
{
	router_detach_request(router, request);
	if (request->state == REQUEST_QUEUED)
		fairqueue_remove_request(
		    request->service->queue, router->now, request->handle);
	if (request->delayed_iter != NULL)
		g_sequence_remove(request->delayed_iter);
	handle_table_remove(router->requests, request->handle);
	g_hash_table_remove(router->all_requests, request);
}

/// Queues a REFUSE action for a request and frees the request.
///
/// @param request  a request that has not been sent; freed
/// @param refusal  reason for the refusal
void
router_refuse_request(
    struct router *router, struct request *request, enum router_refusal refusal)
{
	struct router_action action = {.type = ROUTER_ACTION_REFUSE,
	    .request = request->handle,
	    .refusal = refusal};
	usec_t wait = RETRY_AFTER_MIN;

	if (request->state == REQUEST_QUEUED)
		wait = MAX(wait,
		    fairqueue_estimate_wait(
			request->service->queue, router->now, request->handle));
	wait = MIN(wait, RETRY_AFTER_MAX);
	wait += (usec_t)(wait * 0.25 * g_rand_double(router->options.random));
	action.retry_at = router->now + wait;
	router_push_action(router, &action);
	router_free_request(router, request);
}

/// Adds a request to the queue of its service. The cost that the queue will
/// charge to the organisation is 1 for a plain call, and the prompt length plus
/// the mean output length, in tokens, for an engine.
///
/// @param request  a request that is not in the queue
void
router_enqueue_request(struct router *router, struct request *request)
{
	const struct router_request_options *options = &request->options;
	struct fairqueue_item item = {.id = request->handle,
	    .organisation = options->organisation,
	    .weight = MAX(options->weight, 1),
	    .priority = options->priority,
	    .waiting_since = request->submitted_at,
	    .start_deadline = options->start_deadline,
	    .cost = 1};

	if (request->service->kind == UPSTREAM_ENGINE)
		item.cost =
		    options->prompt_tokens + estimate_mean(request->series, 0);
	request->charged_cost = item.cost;
	request->state = REQUEST_QUEUED;
	fairqueue_push_request(request->service->queue, router->now, &item);
}

/// Delays a request until its next attempt is due.
///
/// @param request     a request that is not in the queue
/// @param not_before  time at which the request is queued again
void
router_delay_request(
    struct router *router, struct request *request, usec_t not_before)
{
	request->state = REQUEST_DELAYED;
	request->not_before = not_before;
	request->delayed_iter = g_sequence_insert_sorted(
	    router->delayed, request, compare_not_before, NULL);
}

/// Queues the delayed requests whose next attempt is due.
void
router_requeue_due_requests(struct router *router)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(router->delayed);

	while (!g_sequence_iter_is_end(iter)) {
		struct request *request = g_sequence_get(iter);

		if (request->not_before > router->now)
			return;
		iter = g_sequence_iter_next(iter);
		g_sequence_remove(request->delayed_iter);
		request->delayed_iter = NULL;
		router_enqueue_request(router, request);
	}
}

/// Dispatches the queued requests of a service to upstreams in queue order,
/// until the first request that no upstream can take now. If requests remain in
/// the queue, requests slots of cold upstreams for them.
void
router_dispatch_requests(struct router *router, struct service *service)
{
	while (fairqueue_length(service->queue) > 0) {
		struct request *request = handle_table_get(
		    router->requests, fairqueue_peek(service->queue));
		struct upstream *upstream =
		    router_choose_upstream(router, request);

		if (upstream == NULL)
			break;
		fairqueue_start_request(
		    service->queue, router->now, request->handle);
		router_place_request(router, request, upstream);
	}
	if (fairqueue_length(service->queue) == 0)
		return;
	router_request_slots(router, service);
}

/// Dispatches the queued requests of all services to upstreams, as far as
/// upstreams can take them now.
void
router_dispatch_all_services(struct router *router)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, router->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		router_dispatch_requests(router, value);
}

/// Refuses a queued request that is not expected to start before its start
/// deadline.
///
/// @param request  a queued request; freed if refused
/// @return true if the request was refused
bool
router_refuse_request_if_late(struct router *router, struct request *request)
{
	usec_t deadline = request->options.start_deadline;
	usec_t wait;

	if (deadline > router->now) {
		wait = fairqueue_estimate_wait(
		    request->service->queue, router->now, request->handle);
		if (deadline - router->now >= (usec_t)(wait * WAIT_MARGIN))
			return false;
	}
	router_refuse_request(router, request, ROUTER_REFUSE_DEADLINE);
	return true;
}

/// Refuses queued requests of a service that are not expected to start before
/// their start deadlines. Checks only the DEADLINE_CHECKS_MAX requests with the
/// earliest deadlines.
void
router_refuse_late_requests(struct router *router, struct service *service)
{
	uint32_t ids[DEADLINE_CHECKS_MAX];
	unsigned n = fairqueue_list_earliest_deadlines(
	    service->queue, DEADLINE_CHECKS_MAX, ids, NULL);

	for (unsigned i = 0; i < n; i++) {
		struct request *request =
		    handle_table_get(router->requests, ids[i]);

		router_refuse_request_if_late(router, request);
	}
}
