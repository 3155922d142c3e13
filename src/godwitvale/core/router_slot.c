/*
 * Fleet-wide slots of cold upstreams: which are asked for, what a granted one
 * is used for, when it is given back.
 */
#include "godwitvale/core/router.h"
#include "godwitvale/core/router_state.h"

/// Slots of one upstream asked for at a time.
#define ASKED_MAX 2
/// Upstreams looked at for slots in one step.
#define LOOKED_AT_MAX 32
/// The bytes of a request that failed may be on their way: its run shows in
/// load reports that are sampled so many of their intervals later.
#define SHOWN_INTERVALS 2
/// A slot whose upstream had no room is not asked for again for this long.
#define NO_ROOM_SPAN (100 * USEC_PER_MSEC)

/// Puts a slot action into the outbox.
///
/// @param router    the router
/// @param type      ROUTER_ACTION_SLOT or ROUTER_ACTION_SLOT_DONE
/// @param upstream  the upstream
/// @param slot      slot number
static void
push_slot(struct router *router, enum router_action_type type,
    router_upstream upstream, uint32_t slot)
{
	struct router_action action = {
	    .type = type, .upstream = upstream, .slot = slot};

	router_push_action(router, &action);
}

/// Tells whether a cold upstream bears one more by its last report, too: what
/// a holder left running there when it was lost is under no lease any more.
///
/// @param upstream  the upstream
/// @param limit     requests that it bears
/// @return whether it does
static bool
has_room(const struct upstream *upstream, uint32_t limit)
{
	return upstream->others + upstream->own.length < limit;
}

/// Finds a slot that may be asked for, starting at a random one.
///
/// @param router    the router
/// @param upstream  a cold upstream
/// @param slot      filled in
/// @return false when there is none
static bool
find_slot(struct router *router, struct upstream *upstream, uint32_t *slot)
{
	uint32_t limit = warmup_limit(&upstream->warmup, router->now);
	uint32_t start;

	if (limit == 0 || upstream->n_asked >= ASKED_MAX ||
	    upstream->n_asked + upstream->own.length >= limit ||
	    !has_room(upstream, limit))
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

/// Says whether any upstream of a service reports. While one does, those that
/// don't are left alone: the reports tell when they are back.
///
/// @param service  the service
/// @return whether one reports
static bool
any_reports(const struct service *service)
{
	for (guint i = 0; i < service->considered->len; i++) {
		const struct upstream *upstream = service->considered->pdata[i];

		if (upstream->warmup.is_reporting)
			return true;
	}
	return false;
}

/// Asks for slots of cold upstreams for the requests that wait.
///
/// @param router   the router
/// @param service  a service whose warm upstreams are full
void
router_ask_slots(struct router *router, struct service *service)
{
	GPtrArray *considered = service->considered;
	unsigned wanted = fairqueue_length(service->queue);
	struct request *head =
	    handle_table_get(router->requests, fairqueue_peek(service->queue));
	bool reported = any_reports(service);
	double pressure;
	guint start;

	if (!router->options.use_slots || considered->len == 0 || !head)
		return;
	start = (guint)g_rand_int_range(
	    router->options.random, 0, (gint32)considered->len);
	for (guint i = 0; i < MIN(considered->len, LOOKED_AT_MAX); i++) {
		struct upstream *upstream =
		    considered->pdata[(start + i) % considered->len];
		uint32_t slot;

		if (service->n_asked >= wanted)
			return;
		if ((reported && !upstream->warmup.is_reporting) ||
		    !warmup_is_cold(&upstream->warmup, router->now) ||
		    !router_fits(router, upstream, head, &pressure) ||
		    !find_slot(router, upstream, &slot))
			continue;
		upstream->slots[slot].state = SLOT_ASKED;
		upstream->n_asked++;
		service->n_asked++;
		push_slot(router, ROUTER_ACTION_SLOT, upstream->handle, slot);
	}
}

/// Gives back the slot that a request holds, if any.
///
/// @param router   the router
/// @param request  the request, still on its upstream
void
router_give_slot_back(struct router *router, struct request *request)
{
	struct upstream *upstream = request->upstream;

	if (!request->has_slot)
		return;
	request->has_slot = false;
	upstream->slots[request->slot].state = SLOT_FREE;
	push_slot(
	    router, ROUTER_ACTION_SLOT_DONE, upstream->handle, request->slot);
}

/// Keeps the slot of a request that failed: what it left running there is not
/// to come on top of the slots.
///
/// @param router   the router
/// @param request  the request, still on its upstream
void
router_leave_slot(struct router *router, struct request *request)
{
	struct upstream *upstream = request->upstream;
	struct slot_left *left;

	if (upstream == NULL || !request->has_slot)
		return;
	request->has_slot = false;
	upstream->slots[request->slot].state = SLOT_LEFT;
	left = g_new(struct slot_left, 1);
	left->request = request->handle;
	left->upstream = upstream->handle;
	left->slot = request->slot;
	left->n_starts = request->start_seen;
	left->has_run = true;
	left->shown_at =
	    router->now + SHOWN_INTERVALS * router->options.report_interval;
	g_queue_push_tail(&router->slots_left, left);
}

/// Takes it that a request that failed has not run: its slot is free.
///
/// @param router   the router
/// @param request  the request
void
router_forget_run(struct router *router, const struct request *request)
{
	for (GList *link = router->slots_left.head; link; link = link->next) {
		struct slot_left *left = link->data;

		if (left->request == request->handle)
			left->has_run = false;
	}
	router_release_left(router);
}

/// Tells whether the run that a kept slot stands for is over, or counts no
/// more.
///
/// @param router    the router
/// @param left      the slot
/// @param upstream  its upstream, NULL when removed
/// @return whether the slot may be given back
static bool
is_over(const struct router *router, const struct slot_left *left,
    const struct upstream *upstream)
{
	if (!left->has_run || upstream == NULL ||
	    upstream->n_starts != left->n_starts ||
	    !warmup_is_cold(&upstream->warmup, router->now))
		return true;
	return upstream->reported && upstream->sampled_at >= left->shown_at &&
	    upstream->others == 0;
}

/// Gives the kept slots back whose runs are over.
///
/// @param router  the router
void
router_release_left(struct router *router)
{
	GList *next;

	for (GList *link = router->slots_left.head; link; link = next) {
		struct slot_left *left = link->data;
		struct upstream *upstream =
		    handle_table_get(router->upstreams, left->upstream);

		next = link->next;
		if (!is_over(router, left, upstream))
			continue;
		if (upstream != NULL)
			upstream->slots[left->slot].state = SLOT_FREE;
		push_slot(router, ROUTER_ACTION_SLOT_DONE, left->upstream,
		    left->slot);
		g_free(left);
		g_queue_delete_link(&router->slots_left, link);
	}
}

/// Ends a question for a slot.
///
/// @param upstream    the upstream
/// @param slot        slot number
/// @param not_before  when it may be asked for again
/// @return false when it wasn't asked for
static bool
end_question(struct upstream *upstream, uint32_t slot, usec_t not_before)
{
	if (upstream == NULL || slot >= upstream->options.max_running ||
	    upstream->slots[slot].state != SLOT_ASKED)
		return false;
	upstream->slots[slot].state = SLOT_FREE;
	upstream->slots[slot].not_before = not_before;
	upstream->n_asked--;
	upstream->service->n_asked--;
	return true;
}

/// Takes a lease on a slot: the request that should start next goes, or the
/// slot is given back when none can use it. A grant that nobody waits for any
/// more is given back too.
///
/// @param router    the router
/// @param now       current time
/// @param upstream  the upstream
/// @param slot      slot number
void
router_slot_granted(
    struct router *router, usec_t now, router_upstream upstream, uint32_t slot)
{
	struct upstream *found = handle_table_get(router->upstreams, upstream);
	struct request *request;
	uint32_t limit;
	bool usable;
	double pressure;

	router->now = now;
	if (!end_question(found, slot, now + NO_ROOM_SPAN)) {
		push_slot(router, ROUTER_ACTION_SLOT_DONE, upstream, slot);
		return;
	}
	request = handle_table_get(
	    router->requests, fairqueue_peek(found->service->queue));
	limit = warmup_limit(&found->warmup, now);
	usable = request != NULL && found->considered && slot < limit &&
	    has_room(found, limit);
	if (usable) {
		router_profile_request(request, &request->memory);
		usable = router_fits(router, found, request, &pressure);
	}
	if (!usable) {
		push_slot(router, ROUTER_ACTION_SLOT_DONE, upstream, slot);
		return;
	}
	found->slots[slot].state = SLOT_IN_USE;
	found->slots[slot].not_before = now;
	request->has_slot = true;
	request->slot = slot;
	fairqueue_start(found->service->queue, now, request->handle);
	router_place_request(router, request, found);
	router_dispatch(router, found->service);
}

/// Takes the news that a slot can't be had now: another one is tried.
///
/// @param router    the router
/// @param now       current time
/// @param upstream  the upstream
/// @param slot      slot number
/// @param retry_at  this slot is left alone until then
void
router_slot_denied(struct router *router, usec_t now, router_upstream upstream,
    uint32_t slot, usec_t retry_at)
{
	struct upstream *found = handle_table_get(router->upstreams, upstream);

	router->now = now;
	if (end_question(found, slot, retry_at))
		router_dispatch(router, found->service);
}
