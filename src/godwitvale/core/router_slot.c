/*
 * Fleet-wide slots of cold upstreams: requests slots, sends requests with the
 * granted ones and releases them.
 */
#include "godwitvale/core/router.h"
#include "godwitvale/core/router_state.h"

/// Maximum number of pending slot requests per upstream.
#define SLOT_REQUESTS_MAX 2
/// Maximum number of upstreams checked for slots at a time.
#define UPSTREAM_CHECKS_MAX 32
/// Delay, in report intervals, after which load reports include the run of a
/// failed request, whose bytes may still have been in transit.
#define VISIBILITY_INTERVALS 2
/// Delay before a slot is requested again if the upstream had no capacity.
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

/// Checks whether a cold upstream has capacity for another request by its last
/// report. This covers requests that the holder of a slot left running when it
/// was lost and its lease ended.
///
/// @param limit  concurrent request limit
/// @return true if it has
static bool
has_reported_capacity(const struct upstream *upstream, uint32_t limit)
{
	return upstream->other_requests + upstream->own_requests.length < limit;
}

/// Finds a free slot that may be requested, starting at a random one.
///
/// @param upstream  a cold upstream
/// @param slot      filled in with the slot number
/// @return false if there is none
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

/// Checks whether any candidate of a service sends load reports. If one does,
/// no slots are requested of those that do not; their next reports show when
/// they are available again.
///
/// @return true if one does
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

/// Requests slots of cold upstreams for the queued requests.
///
/// @param service  a service whose warm upstreams are full
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
/// @param request  the request, still assigned to its upstream
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

/// Retains the slot of a failed request, which may still be running. Otherwise
/// it would run in addition to the requests that hold slots.
///
/// @param request  the request, still assigned to its upstream
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

/// Marks a failed request as not run and releases the slot retained for it.
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

/// Checks whether a retained slot can be released: its request has not run or
/// has ended, or the upstream has been removed, has restarted or is warm.
///
/// @param retained  the slot
/// @param upstream  its upstream, NULL if removed
/// @return true if it can
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

/// Releases the retained slots that are no longer needed.
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

/// Completes a pending slot request; the slot is free afterwards.
///
/// @param upstream    an upstream, or NULL
/// @param slot        slot number; an invalid one is ignored
/// @param not_before  earliest time of the next request for this slot
/// @return false if the slot was not requested
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

/// Handles the grant of a slot lease: sends the next queued request with it.
/// The slot is released if no request can use it or if it was not requested.
///
/// @param now       current time
/// @param upstream  handle of the upstream, may be stale
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

/// Handles the denial of a slot lease: another slot is requested if needed.
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
