/* The router: requests, time and actions. */
#include "godwitvale/core/router.h"

#include <string.h>

#include "godwitvale/core/router_state.h"

/// Steps while requests wait, and while only running ones are surveyed.
#define TICK_SPAN (20 * USEC_PER_MSEC)
#define SURVEY_SPAN (500 * USEC_PER_MSEC)
/// A retry is held back up to this long, twice as long with each further one.
#define RETRY_SPAN (100 * USEC_PER_MSEC)
#define RETRY_DOUBLINGS_MAX 5
/// Blocks of prompts remembered.
#define PREFIX_BLOCKS 65536
/// Standard deviations of projected memory kept free when the bundle weighs
/// stalls and zone changes alike, and how much more or less at the extremes.
#define SPREAD_EVEN 1.75
#define SPREAD_SWING 0.75
/// Used where the options leave them at 0.
#define AGEING_SPAN_DEFAULT (10 * USEC_PER_SEC)
#define REPORT_INTERVAL_DEFAULT (500 * USEC_PER_MSEC)

/// Frees a service.
///
/// @param data  struct service
static void
service_free(gpointer data)
{
	struct service *service = data;

	fairqueue_free(service->queue);
	g_ptr_array_free(service->all, TRUE);
	g_ptr_array_free(service->considered, TRUE);
	g_sequence_free(service->by_pressure);
	g_free(service);
}

/// Frees an upstream.
///
/// @param data  struct upstream
static void
upstream_free(gpointer data)
{
	struct upstream *upstream = data;

	if (upstream->place != NULL)
		g_sequence_remove(upstream->place);
	g_free(upstream->slots);
	g_free(upstream);
}

/// Finds a request whose sending goes on.
///
/// @param router   the router
/// @param request  any handle
/// @return the request or NULL
static struct request *
sent_request(struct router *router, router_request request)
{
	struct request *found = handle_table_get(router->requests, request);

	if (found == NULL ||
	    (found->state != REQUEST_SENDING &&
		found->state != REQUEST_RUNNING))
		return NULL;
	return found;
}

/// Makes the record of a request.
///
/// @param router   the router
/// @param options  as submitted
/// @return the record, entered into the tables
static struct request *
request_new(struct router *router, const struct router_request_options *options)
{
	struct request *request = g_new0(struct request, 1);
	struct estimate_key key = {.organisation = options->organisation,
	    .service = options->service,
	    .class_id = options->class_id};

	request->options = *options;
	if (options->start_deadline == 0)
		request->options.start_deadline = USEC_NEVER;
	request->since = router->now;
	request->counted_from = router->now;
	request->service = g_hash_table_lookup(
	    router->services, GUINT_TO_POINTER(options->service));
	if (request->service != NULL)
		router_note_class(router, request->service, options->class_id);
	request->series = estimate_get_series(router->estimate, &key);
	request->handle = handle_table_add(router->requests, request);
	g_hash_table_add(router->all_requests, request);
	retry_budget_credit(router->budget, options->organisation);
	return request;
}

/// Says why a request can't even wait.
///
/// @param router   the router
/// @param request  a new request
/// @return ROUTER_REFUSE_NONE when it can
static enum router_refusal
check_request(const struct router *router, const struct request *request)
{
	const struct service *service = request->service;
	const struct router_request_options *options = &request->options;

	if (service == NULL || service->considered->len == 0)
		return ROUTER_REFUSE_NO_UPSTREAM;
	if (service->kind == UPSTREAM_ENGINE &&
	    options->prompt_tokens >= service->max_memory)
		return ROUTER_REFUSE_TOO_LARGE;
	if (router->options.queue_limit != 0 &&
	    fairqueue_organisation_length(service->queue,
		options->organisation) >= router->options.queue_limit)
		return ROUTER_REFUSE_QUEUE_FULL;
	return ROUTER_REFUSE_NONE;
}

/// Sees to it that the next step comes soon enough.
///
/// @param router  the router
/// @param span    from now
static void
tick_within(struct router *router, usec_t span)
{
	router->tick_at = MIN(router->tick_at, router->now + span);
}

/// Takes a decided SEND back whose upstream may not get it any more.
///
/// @param router   the router
/// @param request  the request; it waits again
static void
take_back(struct router *router, struct request *request)
{
	struct service *service = request->service;

	router_unplace_request(router, request);
	fairqueue_charge(
	    service->queue, request->options.organisation, -request->charged);
	router_enqueue(router, request);
	router_dispatch(router, service);
	tick_within(router, TICK_SPAN);
}

/// Checks a decided SEND again at the moment it is given out.
///
/// @param router  the router
/// @param action  the SEND
/// @return false when it must not go; it was taken back then
static bool
send_still_holds(struct router *router, const struct router_action *action)
{
	struct request *request =
	    handle_table_get(router->requests, action->request);

	if (request == NULL || request->state != REQUEST_SENDING)
		return false;
	if (request->upstream == NULL ||
	    request->upstream->handle != action->upstream ||
	    !request->upstream->in_service ||
	    request->upstream->n_starts != request->start_seen) {
		take_back(router, request);
		return false;
	}
	request->state = REQUEST_RUNNING;
	return true;
}

/// Gives the spread of projected memory that is kept free: more of it when
/// stalls weigh more, less when service through zone changes does.
///
/// @param options  the bundle's weights
/// @return standard deviations
static double
spread_of(const struct router_options *options)
{
	double both = options->stall_weight + options->zone_weight;

	if (options->policy == ROUTER_POLICY_MEMORY_MEAN)
		return 0;
	if (both <= 0)
		return SPREAD_EVEN;
	return SPREAD_EVEN +
	    SPREAD_SWING * (options->stall_weight - options->zone_weight) /
	    both;
}

/// Makes a router.
///
/// @param options  copied; `random` stays the caller's
/// @return the router; free with router_free()
struct router *
router_new(const struct router_options *options)
{
	struct router *router = g_new0(struct router, 1);

	g_assert(options->random != NULL);
	router->options = *options;
	if (router->options.ageing_span == 0)
		router->options.ageing_span = AGEING_SPAN_DEFAULT;
	if (router->options.report_interval == 0)
		router->options.report_interval = REPORT_INTERVAL_DEFAULT;
	router->spread = spread_of(options);
	router_set_entries(router, options->n_entries);
	router->requests = handle_table_new();
	router->upstreams = handle_table_new();
	router->all_requests =
	    g_hash_table_new_full(g_direct_hash, g_direct_equal, g_free, NULL);
	router->all_upstreams = g_hash_table_new_full(
	    g_direct_hash, g_direct_equal, upstream_free, NULL);
	router->services = g_hash_table_new_full(
	    g_direct_hash, g_direct_equal, NULL, service_free);
	router->estimate = estimate_new();
	router->prefix = prefix_new(PREFIX_BLOCKS);
	router->budget =
	    retry_budget_new(options->retry_ratio, options->retry_burst);
	router->delayed = g_sequence_new(NULL);
	router->tick_at = USEC_NEVER;
	return router;
}

/// Frees a router and all its records.
///
/// @param router  the router or NULL
void
router_free(struct router *router)
{
	if (router == NULL)
		return;
	g_queue_clear_full(&router->outbox, g_free);
	g_queue_clear_full(&router->slots_left, g_free);
	g_sequence_free(router->delayed);
	g_hash_table_destroy(router->all_requests);
	g_hash_table_destroy(router->all_upstreams);
	g_hash_table_destroy(router->services);
	handle_table_free(router->requests);
	handle_table_free(router->upstreams);
	estimate_free(router->estimate);
	prefix_free(router->prefix);
	retry_budget_free(router->budget);
	g_free(router);
}

/// Sets the number of instances that send to the same upstreams.
///
/// @param router     the router
/// @param n_entries  instances, this one among them
void
router_set_entries(struct router *router, unsigned n_entries)
{
	router->options.n_entries = MAX(n_entries, 1);
}

/// Counts what the router holds.
///
/// @param router  the router
/// @param now     current time
/// @param counts  filled in
void
router_count(
    const struct router *router, usec_t now, struct router_counts *counts)
{
	GHashTableIter iter;
	gpointer value;

	memset(counts, 0, sizeof(*counts));
	g_hash_table_iter_init(&iter, router->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct service *service = value;

		counts->waiting += fairqueue_length(service->queue);
		for (guint i = 0; i < service->all->len; i++) {
			const struct upstream *upstream =
			    service->all->pdata[i];

			counts->running += upstream->own.length;
			counts->cold += upstream->in_service &&
			    warmup_is_cold(&upstream->warmup, now);
		}
	}
}

/// Puts a bundle's weights in force. Requests that wait keep the place that
/// they have.
///
/// @param router   the router
/// @param weights  copied
void
router_set_weights(struct router *router, const struct router_weights *weights)
{
	struct router_options *options = &router->options;
	GHashTableIter iter;
	gpointer value;

	options->queue_limit = weights->queue_limit;
	if (weights->ageing_span > 0)
		options->ageing_span = weights->ageing_span;
	options->memory_reserve = weights->memory_reserve;
	options->stall_weight = weights->stall_weight;
	options->zone_weight = weights->zone_weight;
	options->prefix_weight = weights->prefix_weight;
	options->retry_ratio = weights->retry_ratio;
	options->subset = weights->subset;
	router->spread = spread_of(options);
	retry_budget_set_ratio(router->budget, weights->retry_ratio);
	g_hash_table_iter_init(&iter, router->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct service *service = value;

		fairqueue_set_ageing(service->queue, options->ageing_span);
		router_consider(router, service);
	}
}

/// Sets this instance's place in the list of those that send to the same
/// upstreams, as sorted alike by all. With it the instances take turns at the
/// room that a report shows; without it, or while their lists differ, turns
/// are random and may coincide.
///
/// @param router  the router
/// @param index   0 to the number of entries less 1
void
router_set_index(struct router *router, unsigned index)
{
	router->has_index = true;
	router->index = index;
}

/// Submits a request. What becomes of it follows as actions, possibly before
/// this returns: SEND now or later, or REFUSE, after which the handle is
/// stale.
///
/// @param router   the router
/// @param now      current time
/// @param options  copied; a start_deadline of 0 means none
/// @return its handle
router_request
router_submit(struct router *router, usec_t now,
    const struct router_request_options *options)
{
	struct request *request;
	router_request handle;
	enum router_refusal refusal;

	router->now = now;
	request = request_new(router, options);
	handle = request->handle;
	refusal = check_request(router, request);
	if (refusal != ROUTER_REFUSE_NONE) {
		router_refuse(router, request, refusal);
		return handle;
	}
	router_enqueue(router, request);
	router_dispatch(router, request->service);
	if (request->state == REQUEST_QUEUED &&
	    router_refuse_late(router, request))
		return handle;
	tick_within(router, TICK_SPAN);
	return handle;
}

/// Notes how far a generation has come.
///
/// @param router         the router
/// @param now            current time
/// @param request        a sent request; a stale handle is ignored
/// @param tokens_so_far  tokens generated by this try
void
router_progress(struct router *router, usec_t now, router_request request,
    uint32_t tokens_so_far)
{
	struct request *found = sent_request(router, request);

	router->now = now;
	if (found != NULL)
		found->so_far = tokens_so_far;
}

/// Notes how the sending of a request ended. After DONE and CANCELLED the
/// handle is stale. After FAILED and BUSY the request stays until
/// router_retry() decides, or until it is finished as CANCELLED. A request
/// that still waits may be finished as CANCELLED at any time.
///
/// @param router   the router
/// @param now      current time
/// @param request  its handle; a stale one is ignored
/// @param end      how it ended
/// @param tokens   tokens generated
void
router_finish(struct router *router, usec_t now, router_request request,
    enum router_end end, uint32_t tokens)
{
	struct request *found = handle_table_get(router->requests, request);
	struct service *service;

	router->now = now;
	if (found == NULL ||
	    (end != ROUTER_END_CANCELLED &&
		sent_request(router, request) == NULL))
		return;
	service = found->service;
	if (end == ROUTER_END_FAILED && found->upstream != NULL) {
		router_upstream_silent(router, now, found->upstream->handle);
		router_leave_slot(router, found);
	}
	if (end == ROUTER_END_DONE && service->kind == UPSTREAM_ENGINE)
		estimate_add_sample(found->series, tokens);
	if (end == ROUTER_END_DONE || end == ROUTER_END_CANCELLED) {
		router_release(router, found);
	} else {
		router_unplace_request(router, found);
		found->state = REQUEST_ENDED;
	}
	router_dispatch(router, service);
}

/// Decides on another try, after router_finish() with FAILED or BUSY. A
/// request that is not idempotent is tried again only when it was not run. A
/// REFUSE that follows later says that the next try was not sent; whether an
/// earlier one may have run is for the embedder to remember.
///
/// @param router   the router
/// @param now      current time
/// @param request  its handle
/// @param verdict  whether the last try may have run
/// @return true when it waits again under the same handle, its time to start
///         counted anew where it may have run; false when the embedder has to
///         answer it at once, the handle being stale then
bool
router_retry(struct router *router, usec_t now, router_request request,
    enum verdict verdict)
{
	struct request *found = handle_table_get(router->requests, request);
	struct router_request_options *options;
	unsigned doublings;
	double span;
	bool too_late;

	router->now = now;
	if (found == NULL || found->state != REQUEST_ENDED)
		return false;
	if (verdict == VERDICT_NOT_RUN)
		router_forget_run(router, found);
	options = &found->options;
	doublings = MIN(found->retries, RETRY_DOUBLINGS_MAX);
	span = (double)(RETRY_SPAN << doublings);
	span *= 0.5 + g_rand_double(router->options.random) / 2;
	too_late = verdict == VERDICT_NOT_RUN &&
	    now + (usec_t)span >= options->start_deadline;
	if (too_late || (!options->idempotent && verdict != VERDICT_NOT_RUN) ||
	    !retry_budget_spend(router->budget, options->organisation)) {
		router_release(router, found);
		return false;
	}
	if (verdict != VERDICT_NOT_RUN) {
		if (options->start_deadline != USEC_NEVER)
			options->start_deadline += now - found->counted_from;
		found->counted_from = now;
	}
	found->retries++;
	router_delay(router, found, now + (usec_t)span);
	tick_within(router, (usec_t)span);
	return true;
}

/// Does what is due: call it at router_next_deadline().
///
/// @param router  the router
/// @param now     current time
void
router_tick(struct router *router, usec_t now)
{
	GHashTableIter iter;
	gpointer value;
	bool survey;

	router->now = now;
	router->tick_at = USEC_NEVER;
	router_requeue_due(router);
	router_release_left(router);
	survey = now >= router->survey_at;
	g_hash_table_iter_init(&iter, router->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct service *service = value;

		if (survey)
			router_survey(router, service);
		router_dispatch(router, service);
		router_refuse_hopeless(router, service);
		if (fairqueue_length(service->queue) > 0)
			tick_within(router, TICK_SPAN);
	}
	if (survey) {
		router->surveyed_at = now;
		router->survey_at = now + SURVEY_SPAN;
	}
	if (!g_sequence_is_empty(router->delayed) ||
	    !g_queue_is_empty(&router->slots_left))
		tick_within(router, TICK_SPAN);
	if (g_hash_table_size(router->all_requests) > 0)
		tick_within(router, SURVEY_SPAN);
}

/// Says when router_tick() is due.
///
/// @param router  the router
/// @return a point in time, or USEC_NEVER
usec_t
router_next_deadline(const struct router *router)
{
	return router->tick_at;
}

/// Takes the next action out. Call until it returns false, after each call
/// into the router. A SEND is checked once more here and goes now.
///
/// @param router  the router
/// @param action  filled in
/// @return false when there is none
bool
router_next_action(struct router *router, struct router_action *action)
{
	while (!g_queue_is_empty(&router->outbox)) {
		struct router_action *next = g_queue_pop_head(&router->outbox);

		*action = *next;
		g_free(next);
		if (action->type != ROUTER_ACTION_SEND ||
		    send_still_holds(router, action))
			return true;
	}
	return false;
}
