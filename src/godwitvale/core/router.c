/*
 * Creates the router and implements its calls for requests: submission,
 * progress, outcome and retry. It also does the work that is due at a tick and
 * hands the queued actions to the embedder.
 */
#include "godwitvale/core/router.h"

#include <string.h>

#include "godwitvale/core/router_state.h"

/// Interval between ticks while requests are queued or delayed, or slots are
/// retained.
#define TICK_INTERVAL (20 * USEC_PER_MSEC)
/// Interval between updates of the service statistics. It is also the interval
/// between ticks while the router has any request.
#define STATISTICS_INTERVAL (500 * USEC_PER_MSEC)
/// Maximum delay of a request's first retry. The maximum doubles with each
/// further retry of the request, RETRY_DOUBLINGS_MAX times at most.
#define RETRY_BACKOFF (100 * USEC_PER_MSEC)
#define RETRY_DOUBLINGS_MAX 5
/// Maximum number of prompt blocks in the index of the engines' prefix caches.
#define PREFIX_CACHE_BLOCKS 65536
/// Memory kept free on an engine, in standard deviations of its projected
/// memory use: the number if stall_weight and zone_weight are equal, and how
/// much is added if only stall_weight counts or subtracted if only zone_weight
/// counts.
#define HEADROOM_DEVIATIONS_EVEN 1.75
#define HEADROOM_DEVIATIONS_SWING 0.75
/// Defaults for router options whose value is 0.
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
	g_ptr_array_free(service->upstreams, TRUE);
	g_ptr_array_free(service->candidates, TRUE);
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

	if (upstream->pressure_iter != NULL)
		g_sequence_remove(upstream->pressure_iter);
	g_free(upstream->slots);
	g_free(upstream);
}

/// Finds a request whose SEND is in the outbox or that runs at an upstream.
///
/// @param request  any request handle, possibly stale
/// @return the request, or NULL if the handle is stale or the request is in
///         another state
static struct request *
find_sent_request(struct router *router, router_request request)
{
	struct request *found = handle_table_get(router->requests, request);

	if (found == NULL ||
	    (found->state != REQUEST_SENDING &&
		found->state != REQUEST_RUNNING))
		return NULL;
	return found;
}

/// Creates the record of a submitted request, adds it to the router's tables
/// and credits the retry budget of its organisation.
///
/// @param options  submitted options, copied
/// @return the record, owned by the router
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
	request->submitted_at = router->now;
	request->deadline_base = router->now;
	request->service = g_hash_table_lookup(
	    router->services, GUINT_TO_POINTER(options->service));
	if (request->service != NULL)
		router_count_submission(
		    router, request->service, options->class_id);
	request->series = estimate_get_series(router->estimate, &key);
	request->handle = handle_table_add(router->requests, request);
	g_hash_table_add(router->all_requests, request);
	retry_budget_credit(router->budget, options->organisation);
	return request;
}

/// Checks whether a new request can be queued: its service has a candidate
/// upstream, its prompt fits into the memory of the largest engine, and the
/// organisation has fewer queued requests than the limit.
///
/// @param request  a request that is not in the queue
/// @return the reason to refuse the request, or ROUTER_REFUSE_NONE if it can be
///         queued
static enum router_refusal
check_admission(const struct router *router, const struct request *request)
{
	const struct service *service = request->service;
	const struct router_request_options *options = &request->options;

	if (service == NULL || service->candidates->len == 0)
		return ROUTER_REFUSE_NO_UPSTREAM;
	if (service->kind == UPSTREAM_ENGINE &&
	    options->prompt_tokens >= service->max_memory)
		return ROUTER_REFUSE_TOO_LARGE;
	if (router->options.queue_limit != 0 &&
	    fairqueue_get_organisation_length(service->queue,
		options->organisation) >= router->options.queue_limit)
		return ROUTER_REFUSE_QUEUE_FULL;
	return ROUTER_REFUSE_NONE;
}

/// Moves the deadline of the next router_tick() forward if it is further away
/// than a span.
///
/// @param span  longest time until the next tick, in microseconds
static void
schedule_tick(struct router *router, usec_t span)
{
	router->tick_at = MIN(router->tick_at, router->now + span);
}

/// Withdraws a SEND whose upstream must not receive the request any more,
/// refunds the charged cost to the organisation and queues the request again.
///
/// @param request  request with a pending SEND
static void
withdraw_send(struct router *router, struct request *request)
{
	struct service *service = request->service;

	router_detach_request(router, request);
	fairqueue_charge_organisation(service->queue,
	    request->options.organisation, -request->charged_cost);
	router_enqueue_request(router, request);
	router_dispatch_requests(router, service);
	schedule_tick(router, TICK_INTERVAL);
}

/// Checks a SEND when it is taken out of the outbox: the upstream must still be
/// in service and must not have restarted since the request was placed there.
/// If the check passes, the request counts as running; otherwise a request that
/// still waits for this SEND is queued again.
///
/// @param action  the SEND
/// @return false if the SEND must not be carried out
static bool
revalidate_send(struct router *router, const struct router_action *action)
{
	struct request *request =
	    handle_table_get(router->requests, action->request);

	if (request == NULL || request->state != REQUEST_SENDING)
		return false;
	if (request->upstream == NULL ||
	    request->upstream->handle != action->upstream ||
	    !request->upstream->in_service ||
	    request->upstream->n_restarts != request->restarts_at_send) {
		withdraw_send(router, request);
		return false;
	}
	request->state = REQUEST_RUNNING;
	return true;
}

/// Computes how much of an engine's memory is kept free for the uncertainty of
/// the projection: the more, the higher stall_weight is in relation to
/// zone_weight.
///
/// @param options  stall_weight, zone_weight and policy are used
/// @return number of standard deviations of the projected memory use
static double
compute_headroom_deviations(const struct router_options *options)
{
	double weight_sum = options->stall_weight + options->zone_weight;

	if (options->policy == ROUTER_POLICY_MEMORY_MEAN)
		return 0;
	if (weight_sum <= 0)
		return HEADROOM_DEVIATIONS_EVEN;
	return HEADROOM_DEVIATIONS_EVEN +
	    HEADROOM_DEVIATIONS_SWING *
	    (options->stall_weight - options->zone_weight) / weight_sum;
}

/// Creates a router.
///
/// @param options  copied; `random` remains owned by the caller
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
	router->headroom_deviations = compute_headroom_deviations(options);
	router_set_instance_count(router, options->n_instances);
	router->requests = handle_table_new();
	router->upstreams = handle_table_new();
	router->all_requests =
	    g_hash_table_new_full(g_direct_hash, g_direct_equal, g_free, NULL);
	router->all_upstreams = g_hash_table_new_full(
	    g_direct_hash, g_direct_equal, upstream_free, NULL);
	router->services = g_hash_table_new_full(
	    g_direct_hash, g_direct_equal, NULL, service_free);
	router->estimate = estimate_new();
	router->prefix = prefix_new(PREFIX_CACHE_BLOCKS);
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
	g_queue_clear_full(&router->retained_slots, g_free);
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
/// @param n_instances  number of instances, including this one
void
router_set_instance_count(struct router *router, unsigned n_instances)
{
	router->options.n_instances = MAX(n_instances, 1);
}

/// Counts the queued requests, the requests placed at upstreams and the cold
/// upstreams. Requests that wait for a retry are not counted.
///
/// @param now     current time
/// @param counts  filled in
void
router_get_counts(
    const struct router *router, usec_t now, struct router_counts *counts)
{
	GHashTableIter iter;
	gpointer value;

	memset(counts, 0, sizeof(*counts));
	g_hash_table_iter_init(&iter, router->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct service *service = value;

		counts->waiting += fairqueue_length(service->queue);
		for (guint i = 0; i < service->upstreams->len; i++) {
			const struct upstream *upstream =
			    service->upstreams->pdata[i];

			counts->running += upstream->own_requests.length;
			counts->cold += upstream->in_service &&
			    warmup_is_cold(&upstream->warmup, now);
		}
	}
}

/// Applies the routing policy settings of a bundle. Queued requests keep their
/// position.
///
/// @param weights  copied; an ageing_span of 0 leaves the current span in force
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
	router->headroom_deviations = compute_headroom_deviations(options);
	retry_budget_set_ratio(router->budget, weights->retry_ratio);
	g_hash_table_iter_init(&iter, router->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct service *service = value;

		fairqueue_set_ageing_span(service->queue, options->ageing_span);
		router_update_candidates(router, service);
	}
}

/// Sets this instance's position in the list of the instances that send to the
/// same upstreams; every instance sorts the list in the same order. The
/// position lets the instances take turns in using the free capacity that a
/// load report shows. Without a position the turn of this instance is random,
/// and while the lists differ two instances may take the same turn.
///
/// @param instance_index  0 to the number of instances less 1
void
router_set_instance_index(struct router *router, unsigned instance_index)
{
	router->has_instance_index = true;
	router->instance_index = instance_index;
}

/// Submits a request. The router queues an action for the request, possibly
/// before this function returns: a SEND now or later, or a REFUSE, after which
/// the handle is stale.
///
/// @param now      current time
/// @param options  copied; a start_deadline of 0 means no deadline
/// @return handle of the request
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
	refusal = check_admission(router, request);
	if (refusal != ROUTER_REFUSE_NONE) {
		router_refuse_request(router, request, refusal);
		return handle;
	}
	router_enqueue_request(router, request);
	router_dispatch_requests(router, request->service);
	if (request->state == REQUEST_QUEUED &&
	    router_refuse_request_if_late(router, request))
		return handle;
	schedule_tick(router, TICK_INTERVAL);
	return handle;
}

/// Records how many tokens an engine has generated for a request.
///
/// @param now               current time
/// @param request           handle of a sent request; a stale one is ignored
/// @param generated_tokens  tokens generated by the current attempt so far
void
router_report_progress(struct router *router, usec_t now,
    router_request request, uint32_t generated_tokens)
{
	struct request *found = find_sent_request(router, request);

	router->now = now;
	if (found != NULL)
		found->generated_tokens = generated_tokens;
}

/// Handles the outcome of an attempt to send a request. After DONE and
/// CANCELLED the handle is stale. After FAILED and BUSY the router keeps the
/// request until router_retry() decides on another attempt or the embedder
/// reports CANCELLED. CANCELLED is accepted in any state of the request, every
/// other outcome only for a sent request.
///
/// @param now               current time
/// @param request           handle of the request; a stale one is ignored
/// @param outcome           outcome of the current attempt
/// @param generated_tokens  tokens that the current attempt has generated
void
router_finish(struct router *router, usec_t now, router_request request,
    enum router_outcome outcome, uint32_t generated_tokens)
{
	struct request *found = handle_table_get(router->requests, request);
	struct service *service;

	router->now = now;
	if (found == NULL ||
	    (outcome != ROUTER_OUTCOME_CANCELLED &&
		find_sent_request(router, request) == NULL))
		return;
	service = found->service;
	if (outcome == ROUTER_OUTCOME_FAILED && found->upstream != NULL) {
		router_mark_unresponsive(router, now, found->upstream->handle);
		router_retain_slot(router, found);
	}
	if (outcome == ROUTER_OUTCOME_DONE && service->kind == UPSTREAM_ENGINE)
		estimate_add_sample(found->series, generated_tokens);
	if (outcome == ROUTER_OUTCOME_DONE ||
	    outcome == ROUTER_OUTCOME_CANCELLED) {
		router_free_request(router, found);
	} else {
		router_detach_request(router, found);
		found->state = REQUEST_FAILED;
	}
	router_dispatch_requests(router, service);
}

/// Decides whether a request gets another attempt, after router_finish() with
/// FAILED or BUSY. A request that is not idempotent is retried only if the last
/// attempt has not run. If the router retries the request and refuses it later,
/// the REFUSE only means that the next attempt was not sent; the embedder has
/// to remember whether an earlier attempt may have run.
///
/// @param now      current time
/// @param request  handle of the request
/// @param verdict  whether the last attempt has run
/// @return true if the request waits for its next attempt under the same
///         handle; if the last attempt may have run, the span allowed by its
///         start deadline begins anew now. False if the embedder has to answer
///         the request immediately; the handle is then stale
bool
router_retry(struct router *router, usec_t now, router_request request,
    enum verdict verdict)
{
	struct request *found = handle_table_get(router->requests, request);
	struct router_request_options *options;
	unsigned doublings;
	double backoff;
	bool too_late;

	router->now = now;
	if (found == NULL || found->state != REQUEST_FAILED)
		return false;
	if (verdict == VERDICT_NOT_RUN)
		router_mark_request_not_run(router, found);
	options = &found->options;
	doublings = MIN(found->retries, RETRY_DOUBLINGS_MAX);
	backoff = (double)(RETRY_BACKOFF << doublings);
	backoff *= 0.5 + g_rand_double(router->options.random) / 2;
	too_late = verdict == VERDICT_NOT_RUN &&
	    now + (usec_t)backoff >= options->start_deadline;
	if (too_late || (!options->idempotent && verdict != VERDICT_NOT_RUN) ||
	    !retry_budget_spend(router->budget, options->organisation)) {
		router_free_request(router, found);
		return false;
	}
	if (verdict != VERDICT_NOT_RUN) {
		if (options->start_deadline != USEC_NEVER)
			options->start_deadline += now - found->deadline_base;
		found->deadline_base = now;
	}
	found->retries++;
	router_delay_request(router, found, now + (usec_t)backoff);
	schedule_tick(router, (usec_t)backoff);
	return true;
}

/// Queues retries that are due, releases retained slots, updates the
/// statistics, sends requests and refuses those that cannot start in time. Call
/// it at router_next_deadline().
///
/// @param now  current time
void
router_tick(struct router *router, usec_t now)
{
	GHashTableIter iter;
	gpointer value;
	bool update_statistics;

	router->now = now;
	router->tick_at = USEC_NEVER;
	router_requeue_due_requests(router);
	router_release_retained_slots(router);
	update_statistics = now >= router->statistics_due_at;
	g_hash_table_iter_init(&iter, router->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct service *service = value;

		if (update_statistics)
			router_update_statistics(router, service);
		router_dispatch_requests(router, service);
		router_refuse_late_requests(router, service);
		if (fairqueue_length(service->queue) > 0)
			schedule_tick(router, TICK_INTERVAL);
	}
	if (update_statistics) {
		router->statistics_updated_at = now;
		router->statistics_due_at = now + STATISTICS_INTERVAL;
	}
	if (!g_sequence_is_empty(router->delayed) ||
	    !g_queue_is_empty(&router->retained_slots))
		schedule_tick(router, TICK_INTERVAL);
	if (g_hash_table_size(router->all_requests) > 0)
		schedule_tick(router, STATISTICS_INTERVAL);
}

/// Returns the time at which router_tick() is due.
///
/// @return a point in time, or USEC_NEVER if no work is pending
usec_t
router_next_deadline(const struct router *router)
{
	return router->tick_at;
}

/// Takes the next action out of the outbox. Call this function after each call
/// into the router until it returns false. The function checks a SEND again
/// before returning it; carry out the SEND immediately.
///
/// @param action  filled in
/// @return false if the outbox is empty
bool
router_next_action(struct router *router, struct router_action *action)
{
	while (!g_queue_is_empty(&router->outbox)) {
		struct router_action *next = g_queue_pop_head(&router->outbox);

		*action = *next;
		g_free(next);
		if (action->type != ROUTER_ACTION_SEND ||
		    revalidate_send(router, action))
			return true;
	}
	return false;
}
