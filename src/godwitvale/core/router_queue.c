/*
 * The way of a request through the queue: waiting, starting, coming back
 * after a failure, or being refused as soon as it can't start in time.
 */
#include "godwitvale/core/router_state.h"

/// Requests with the earliest deadlines that are looked at in one step.
#define DEADLINES_LOOKED_AT 16
/// A request is refused when this share of its expected wait is too long.
#define WAIT_MARGIN 0.8
/// A refused caller comes back no sooner than this, plus jitter.
#define COME_BACK_MIN USEC_PER_SEC
#define COME_BACK_MAX (60 * USEC_PER_SEC)

/// Orders delayed requests by their next try.
///
/// @param left    struct request
/// @param right   struct request
/// @param unused  unused
/// @return as strcmp()
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

/// Puts an action into the outbox.
///
/// @param router  the router
/// @param action  copied
void
router_push_action(struct router *router, const struct router_action *action)
{
	g_queue_push_tail(&router->outbox, g_memdup2(action, sizeof(*action)));
}

/// Forgets a request; its handle is stale from now on.
///
/// @param router   the router
/// @param request  freed
void
router_release(struct router *router, struct request *request)
{
	router_unplace_request(router, request);
	if (request->state == REQUEST_QUEUED)
		fairqueue_remove(
		    request->service->queue, router->now, request->handle);
	if (request->delayed != NULL)
		g_sequence_remove(request->delayed);
	handle_table_remove(router->requests, request->handle);
	g_hash_table_remove(router->all_requests, request);
}

/// Gives the final answer that a request is not run, and forgets it.
///
/// @param router   the router
/// @param request  freed
/// @param refusal  why
void
router_refuse(
    struct router *router, struct request *request, enum router_refusal refusal)
{
	struct router_action action = {.type = ROUTER_ACTION_REFUSE,
	    .request = request->handle,
	    .refusal = refusal};
	usec_t wait = COME_BACK_MIN;

	if (request->state == REQUEST_QUEUED)
		wait = MAX(wait,
		    fairqueue_estimate_wait(
			request->service->queue, router->now, request->handle));
	wait = MIN(wait, COME_BACK_MAX);
	wait += (usec_t)(wait * 0.25 * g_rand_double(router->options.random));
	action.retry_at = router->now + wait;
	router_push_action(router, &action);
	router_release(router, request);
}

/// Enters a request into its service's queue.
///
/// @param router   the router
/// @param request  the request
void
router_enqueue(struct router *router, struct request *request)
{
	const struct router_request_options *options = &request->options;
	struct fairqueue_item item = {.id = request->handle,
	    .organisation = options->organisation,
	    .weight = MAX(options->weight, 1),
	    .priority = options->priority,
	    .waiting_since = request->since,
	    .start_deadline = options->start_deadline,
	    .cost = 1};

	if (request->service->kind == UPSTREAM_ENGINE)
		item.cost =
		    options->prompt_tokens + estimate_mean(request->series, 0);
	request->charged = item.cost;
	request->state = REQUEST_QUEUED;
	fairqueue_push(request->service->queue, router->now, &item);
}

/// Lets a request wait before its next try.
///
/// @param router      the router
/// @param request     the request
/// @param not_before  when it enters the queue again
void
router_delay(struct router *router, struct request *request, usec_t not_before)
{
	request->state = REQUEST_DELAYED;
	request->not_before = not_before;
	request->delayed = g_sequence_insert_sorted(
	    router->delayed, request, compare_not_before, NULL);
}

/// Enters the delayed requests whose time has come into their queues.
///
/// @param router  the router
void
router_requeue_due(struct router *router)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(router->delayed);

	while (!g_sequence_iter_is_end(iter)) {
		struct request *request = g_sequence_get(iter);

		if (request->not_before > router->now)
			return;
		iter = g_sequence_iter_next(iter);
		g_sequence_remove(request->delayed);
		request->delayed = NULL;
		router_enqueue(router, request);
	}
}

/// Sends what can go now, in the queue's order.
///
/// @param router   the router
/// @param service  the service
void
router_dispatch(struct router *router, struct service *service)
{
	while (fairqueue_length(service->queue) > 0) {
		struct request *request = handle_table_get(
		    router->requests, fairqueue_peek(service->queue));
		struct upstream *upstream = router_choose(router, request);

		if (upstream == NULL)
			break;
		fairqueue_start(service->queue, router->now, request->handle);
		router_place_request(router, request, upstream);
	}
	if (fairqueue_length(service->queue) == 0)
		return;
	router_ask_slots(router, service);
}

/// Sends what can go now, of every service.
///
/// @param router  the router
void
router_dispatch_all(struct router *router)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, router->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		router_dispatch(router, value);
}

/// Refuses a waiting request if by estimate it can't start in time.
///
/// @param router   the router
/// @param request  a waiting request; freed when refused
/// @return whether it was refused
bool
router_refuse_late(struct router *router, struct request *request)
{
	usec_t deadline = request->options.start_deadline;
	usec_t wait;

	if (deadline > router->now) {
		wait = fairqueue_estimate_wait(
		    request->service->queue, router->now, request->handle);
		if (deadline - router->now >= (usec_t)(wait * WAIT_MARGIN))
			return false;
	}
	router_refuse(router, request, ROUTER_REFUSE_DEADLINE);
	return true;
}

/// Refuses the waiting requests that by now can't start in time.
///
/// @param router   the router
/// @param service  the service
void
router_refuse_hopeless(struct router *router, struct service *service)
{
	uint32_t ids[DEADLINES_LOOKED_AT];
	unsigned n = fairqueue_earliest_deadlines(
	    service->queue, DEADLINES_LOOKED_AT, ids, NULL);

	for (unsigned i = 0; i < n; i++) {
		struct request *request =
		    handle_table_get(router->requests, ids[i]);

		router_refuse_late(router, request);
	}
}
