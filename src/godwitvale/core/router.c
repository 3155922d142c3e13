/*
 * Interface of the router: lifecycle of requests, due work and the queue of
 * actions.
 */
#include "godwitvale/core/router.h"

#include <string.h>

#include "godwitvale/core/router_state.h"

/// Tick interval while requests wait.
#define TICK_INTERVAL (20 * USEC_PER_MSEC)
/// Update interval of the statistics, and tick interval while requests run.
#define STATISTICS_INTERVAL (500 * USEC_PER_MSEC)
/// Maximum delay of the first retry; doubles with each further retry.
#define RETRY_BACKOFF (100 * USEC_PER_MSEC)
#define RETRY_DOUBLINGS_MAX 5
/// Maximum number of prompt blocks whose locations are remembered.
#define PREFIX_CACHE_BLOCKS 65536
/// Standard deviations of projected memory kept free if the bundle gives
/// stalls and zone changes equal weight, and the difference at the extremes.
#define HEADROOM_DEVIATIONS_EVEN 1.75
#define HEADROOM_DEVIATIONS_SWING 0.75
/// Defaults for options that are 0.
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

/// Finds a request that is being sent or is running at an upstream.
///
/// @param request  any handle
/// @return the request, or NULL if it is stale or in another state
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

/// Creates the record of a request.
///
/// @param options  submitted options, copied
/// @return the record, added to the tables
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

/// Checks whether a request can be queued.
///
/// @param request  a new request
/// @return the reason for a refusal, ROUTER_REFUSE_NONE if it can be queued
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

/// Ensures that the next tick is due within a span.
///
/// @param span  maximum time from now
static void
schedule_tick(struct router *router, usec_t span)
{
	router->tick_at = MIN(router->tick_at, router->now + span);
}

/// Withdraws a SEND whose upstream may no longer receive it, and queues the
/// request again.
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

/// Checks a pending SEND again when it is taken out of the outbox.
///
/// @param action  the SEND
/// @return false if it must not be carried out; a request that still exists is
///         queued again then
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

/// Computes how much of the projected memory's deviation is kept free: more if
/// stalls have a higher weight, less if service through zone changes has.
///
/// @param options  stall_weight, zone_weight and policy are used
/// @return number of standard deviations
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

/// Counts the queued and running requests and the cold upstreams.
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

/// Applies the weights of a bundle. Queued requests keep their position.
///
/// @param weights  copied; an ageing_span of 0 leaves the current one
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
/// same upstreams; all of them sort the list alike. With it, the instances take
/// turns at the capacity that a report shows. Without it, or while their lists
/// differ, turns are random and may coincide.
///
/// @param instance_index  0 to the number of instances less 1
void
router_set_instance_index(struct router *router, unsigned instance_index)
{
	router->has_instance_index = true;
	router->instance_index = instance_index;
}

/// Submits a request. The result follows as actions, possibly before this
/// function returns: SEND now or later, or REFUSE, after which the handle is
/// stale.
///
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

/// Records the progress of a generation.
///
/// @param now               current time
/// @param request           a sent request; a stale handle is ignored
/// @param generated_tokens  tokens generated by this attempt
void
router_report_progress(struct router *router, usec_t now,
    router_request request, uint32_t generated_tokens)
{
	struct request *found = find_sent_request(router, request);

	router->now = now;
	if (found != NULL)
		found->generated_tokens = generated_tokens;
}

/// Records the outcome of sending a request. After DONE and CANCELLED the
/// handle is stale. After FAILED and BUSY the request is kept until
/// router_retry() decides, or until it is finished as CANCELLED. A queued
/// request may be finished as CANCELLED at any time.
///
/// @param now               current time
/// @param request           its handle; a stale one is ignored
/// @param outcome           result of the current attempt
/// @param generated_tokens  length of the output, in tokens
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

/// Decides on another attempt, after router_finish() with FAILED or BUSY. A
/// request that is not idempotent is retried only if it was not run. A later
/// REFUSE means that the next attempt was not sent; the embedder has to
/// remember whether an earlier attempt may have run.
///
/// @param now      current time
/// @param request  its handle
/// @param verdict  whether the last attempt may have run
/// @return true if the request waits again under the same handle, with its
///         start deadline counted from now if it may have run; false if the
///         embedder has to answer it immediately, the handle being stale then
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

/// Does all work that is due; call it at router_next_deadline().
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
/// @return a point in time, or USEC_NEVER
usec_t
router_next_deadline(const struct router *router)
{
	return router->tick_at;
}

/// Takes the next action out of the outbox. Call it after each call into the
/// router until it returns false. A SEND is checked again here and must be
/// carried out immediately.
///
/// @param action  filled in
/// @return false if there is none
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
