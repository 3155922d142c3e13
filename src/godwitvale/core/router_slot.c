/*
 * Fleet-wide slots of cold upstreams: requests leases on slots, sends requests
 * with granted slots, and releases slots that are no longer needed. The slots
 * limit the number of requests that all instances together run at a cold
 * upstream.
 */
#include "godwitvale/core/router.h"
#include "godwitvale/core/router_state.h"

/// Maximum number of pending slot requests per upstream.
#define SLOT_REQUESTS_MAX 2
/// Maximum number of upstreams of a service that are checked for free slots
/// each time that slots are requested.
#define UPSTREAM_CHECKS_MAX 32
/// Number of report intervals after the failure of a request from which on load
/// reports count the request if it runs. Before that, the bytes of the request
/// may still be in transit to the upstream.
#define VISIBILITY_INTERVALS 2
/// Delay before this instance requests a slot again that it released because
/// the upstream had no capacity or no request was waiting.
#define SLOT_RETRY_DELAY (100 * USEC_PER_MSEC)

/// Appends a slot action to the outbox.
///
/// @param type      ROUTER_ACTION_ACQUIRE_SLOT or ROUTER_ACTION_RELEASE_SLOT
/// @param upstream  handle of the upstream
/// @param slot      slot number, 0 to max_running less 1
static void
push_slot_action(struct router *router, enum router_action_type type,
    router_upstream upstream, uint32_t slot)
{
	struct router_action action = {
	    .type = type, .upstream = upstream, .slot = slot};

	router_push_action(router, &action);
}

/// Checks whether an upstream runs fewer requests than its limit, according to
/// its last load report and the requests that this instance has placed there.
/// The report also counts requests that still run although the instance that
/// sent them has failed and its slot leases have expired.
///
/// @param upstream  a cold upstream
/// @param limit     maximum number of concurrent requests from all instances
/// @return true if the upstream has capacity for another request
static bool
has_reported_capacity(const struct upstream *upstream, uint32_t limit)
{
	return upstream->other_requests + upstream->own_requests.length < limit;
}

/// Finds a slot of an upstream that this instance may request now. The search
/// starts at a random slot, so that instances rarely request the same one.
///
/// @param upstream  a cold upstream
/// @param slot      filled in with the slot number
/// @return false if there is no such slot
static bool
find_free_slot(struct router *router, struct upstream *upstream, uint32_t *slot)
{
	uint32_t limit = warmup_limit(&upstream->warmup, router->now);
	uint32_t start;

	if (limit == 0 || upstream->n_slots_requested >= SLOT_REQUESTS_MAX ||
	    upstream->n_slots_requested + upstream->own_requests.length >=
		limit ||
	    !has_reported_capacity(upstream, limit))
		return false;
	start = (uint32_t)g_rand_int_range(
	    router->options.random, 0, (gint32)limit);
	for (uint32_t i = 0; i < limit; i++) {
		const struct slot *found =
		    &upstream->slots[(start + i) % limit];

		if (found->state != SLOT_FREE ||
		    found->not_before > router->now)
			continue;
		*slot = (start + i) % limit;
		return true;
	}
	return false;
}

/// Checks whether any candidate upstream of a service sends load reports. If
/// one does, the router requests no slots of silent candidates: it waits for
/// their next load report, which shows that they are available again.
///
/// @return true if at least one candidate sends load reports
static bool
has_reporting_upstream(const struct service *service)
{
	for (guint i = 0; i < service->candidates->len; i++) {
		const struct upstream *upstream = service->candidates->pdata[i];

		if (upstream->warmup.is_reporting)
			return true;
	}
	return false;
}

/// Requests slots of cold upstreams for the queued requests of a service.
///
/// @param service  a service whose queued requests cannot be sent without slots
void
router_request_slots(struct router *router, struct service *service)
{
	GPtrArray *candidates = service->candidates;
	unsigned n_waiting = fairqueue_length(service->queue);
	struct request *head =
	    handle_table_get(router->requests, fairqueue_peek(service->queue));
	bool any_reporting = has_reporting_upstream(service);
	double pressure;
	guint start;

	if (!router->options.use_slots || candidates->len == 0 || !head)
		return;
	start = (guint)g_rand_int_range(
	    router->options.random, 0, (gint32)candidates->len);
	for (guint i = 0; i < MIN(candidates->len, UPSTREAM_CHECKS_MAX); i++) {
		struct upstream *upstream =
		    candidates->pdata[(start + i) % candidates->len];
		uint32_t slot;

		if (service->n_slots_requested >= n_waiting)
			return;
		if ((any_reporting && !upstream->warmup.is_reporting) ||
		    !warmup_is_cold(&upstream->warmup, router->now) ||
		    !router_request_fits(router, upstream, head, &pressure) ||
		    !find_free_slot(router, upstream, &slot))
			continue;
		upstream->slots[slot].state = SLOT_REQUESTED;
		upstream->n_slots_requested++;
		service->n_slots_requested++;
		push_slot_action(
		    router, ROUTER_ACTION_ACQUIRE_SLOT, upstream->handle, slot);
	}
}

/// Releases the slot that a request holds, if any.
///
/// @param request  a request that is still placed at its upstream
void
router_release_slot(struct router *router, struct request *request)
{
	struct upstream *upstream = request->upstream;

	if (!request->has_slot)
		return;
	request->has_slot = false;
	upstream->slots[request->slot].state = SLOT_FREE;
	push_slot_action(router, ROUTER_ACTION_RELEASE_SLOT, upstream->handle,
	    request->slot);
}

/// Retains the slot of a failed request, which may still be running. If the
/// slot were released, the upstream could run the failed request in addition to
/// as many requests as it has slots.
///
/// @param request  a request that is still placed at its upstream; unchanged if
///                 it holds no slot
void
router_retain_slot(struct router *router, struct request *request)
{
	struct upstream *upstream = request->upstream;
	struct retained_slot *retained;

	if (upstream == NULL || !request->has_slot)
		return;
	request->has_slot = false;
	upstream->slots[request->slot].state = SLOT_RETAINED;
	retained = g_new(struct retained_slot, 1);
	retained->request = request->handle;
	retained->upstream = upstream->handle;
	retained->slot = request->slot;
	retained->restarts_at_send = request->restarts_at_send;
	retained->may_have_run = true;
	retained->visible_from = router->now +
	    VISIBILITY_INTERVALS * router->options.report_interval;
	g_queue_push_tail(&router->retained_slots, retained);
}

/// Records that a failed request has not run, and releases the slot that was
/// retained for the request.
///
/// @param request  a failed request
void
router_mark_request_not_run(
    struct router *router, const struct request *request)
{
	for (GList *link = router->retained_slots.head; link;
	     link = link->next) {
		struct retained_slot *retained = link->data;

		if (retained->request == request->handle)
			retained->may_have_run = false;
	}
	router_release_retained_slots(router);
}

/// Checks whether a retained slot can be released: its request has not run, its
/// upstream has been removed, has restarted or is warm, or a load report that
/// would count the request shows no requests other than those that this
/// instance has placed at the upstream.
///
/// @param retained  the slot
/// @param upstream  upstream of the slot, NULL if removed
/// @return true if the slot can be released
static bool
can_release_slot(const struct router *router,
    const struct retained_slot *retained, const struct upstream *upstream)
{
	if (!retained->may_have_run || upstream == NULL ||
	    upstream->n_restarts != retained->restarts_at_send ||
	    !warmup_is_cold(&upstream->warmup, router->now))
		return true;
	return upstream->has_report &&
	    upstream->sampled_at >= retained->visible_from &&
	    upstream->other_requests == 0;
}

/// Releases the retained slots whose requests can no longer be running.
void
router_release_retained_slots(struct router *router)
{
	GList *next;

	for (GList *link = router->retained_slots.head; link; link = next) {
		struct retained_slot *retained = link->data;
		struct upstream *upstream =
		    handle_table_get(router->upstreams, retained->upstream);

		next = link->next;
		if (!can_release_slot(router, retained, upstream))
			continue;
		if (upstream != NULL)
			upstream->slots[retained->slot].state = SLOT_FREE;
		push_slot_action(router, ROUTER_ACTION_RELEASE_SLOT,
		    retained->upstream, retained->slot);
		g_free(retained);
		g_queue_delete_link(&router->retained_slots, link);
	}
}

/// Completes a pending slot request: marks the slot as free.
///
/// @param upstream    the upstream; NULL if it has been removed
/// @param slot        slot number; an invalid one is ignored
/// @param not_before  earliest time of the next request for this slot
/// @return false if there was no pending request for the slot
static bool
finish_slot_request(struct upstream *upstream, uint32_t slot, usec_t not_before)
{
	if (upstream == NULL || slot >= upstream->options.max_running ||
	    upstream->slots[slot].state != SLOT_REQUESTED)
		return false;
	upstream->slots[slot].state = SLOT_FREE;
	upstream->slots[slot].not_before = not_before;
	upstream->n_slots_requested--;
	upstream->service->n_slots_requested--;
	return true;
}

/// Handles the grant of a slot lease: sends the next queued request of the
/// service with the slot. Releases the slot if the next request cannot use it
/// or if no request for the slot was pending.
///
/// @param now       current time
/// @param upstream  handle of the upstream; if stale, the slot is released
/// @param slot      slot number
void
router_handle_slot_grant(
    struct router *router, usec_t now, router_upstream upstream, uint32_t slot)
{
	struct upstream *found = handle_table_get(router->upstreams, upstream);
	struct request *request;
	uint32_t limit;
	bool usable;
	double pressure;

	router->now = now;
	if (!finish_slot_request(found, slot, now + SLOT_RETRY_DELAY)) {
		push_slot_action(
		    router, ROUTER_ACTION_RELEASE_SLOT, upstream, slot);
		return;
	}
	request = handle_table_get(
	    router->requests, fairqueue_peek(found->service->queue));
	limit = warmup_limit(&found->warmup, now);
	usable = request != NULL && found->is_candidate && slot < limit &&
	    has_reported_capacity(found, limit);
	if (usable) {
		router_project_request_memory(request, &request->memory);
		usable = router_request_fits(router, found, request, &pressure);
	}
	if (!usable) {
		push_slot_action(
		    router, ROUTER_ACTION_RELEASE_SLOT, upstream, slot);
		return;
	}
	found->slots[slot].state = SLOT_IN_USE;
	found->slots[slot].not_before = now;
	request->has_slot = true;
	request->slot = slot;
	fairqueue_start_request(found->service->queue, now, request->handle);
	router_place_request(router, request, found);
	router_dispatch_requests(router, found->service);
}

/// Handles the denial of a slot lease: requests another slot if requests of the
/// service are still queued.
///
/// @param now       current time
/// @param upstream  handle of the upstream; a stale one is ignored
/// @param slot      slot number
/// @param retry_at  earliest time of the next request for this slot
void
router_handle_slot_denial(struct router *router, usec_t now,
    router_upstream upstream, uint32_t slot, usec_t retry_at)
{
	struct upstream *found = handle_table_get(router->upstreams, upstream);

	router->now = now;
	if (finish_slot_request(found, slot, retry_at))
		router_dispatch_requests(router, found->service);
}
