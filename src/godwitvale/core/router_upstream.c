/*
 * Upstreams of the router: adds and removes upstreams and services, and handles
 * the load reports, failures and cache events of upstreams.
 */
#include "godwitvale/core/hash.h"
#include "godwitvale/core/router.h"
#include "godwitvale/core/router_state.h"

/// Number of report intervals without a report after which an upstream is
/// considered unresponsive.
#define SILENT_INTERVALS 5
/// Slack of the fair queue of a service of engines: two organisations whose
/// costs divided by weight differ by this many tokens or less count as equal.
#define ENGINE_SLACK 4096.0
/// Slack of the fair queue of a plain service, in calls divided by weight.
#define SERVICE_SLACK 4.0
/// Mean prompt length assumed before the first request of a service is sent, in
/// tokens.
#define INITIAL_MEAN_PROMPT 512.0

/// Creates the record of a service.
///
/// @param id    service id
/// @param kind  kind of the service's upstreams
/// @return the record, which the caller adds to the router's services
static struct service *
service_new(struct router *router, uint32_t id, enum upstream_kind kind)
{
	struct service *service = g_new0(struct service, 1);
	struct estimate_key key = {.organisation = ESTIMATE_ALL,
	    .service = id,
	    .class_id = ESTIMATE_ALL};
	struct fairqueue_options options = {.now = router->now,
	    .ageing_span = router->options.ageing_span,
	    .slack = kind == UPSTREAM_ENGINE ? ENGINE_SLACK : SERVICE_SLACK};

	service->id = id;
	service->kind = kind;
	service->queue = fairqueue_new(&options);
	service->upstreams = g_ptr_array_new();
	service->candidates = g_ptr_array_new();
	service->by_pressure = g_sequence_new(NULL);
	service->mean_prompt = INITIAL_MEAN_PROMPT;
	service->series = estimate_get_series(router->estimate, &key);
	router_update_statistics(router, service);
	return service;
}

/// Finds the record of a service, or creates it.
///
/// @param id    service id
/// @param kind  kind of the service's upstreams; used for a new record
/// @return the record, owned by the router
static struct service *
find_or_create_service(
    struct router *router, uint32_t id, enum upstream_kind kind)
{
	struct service *service =
	    g_hash_table_lookup(router->services, GUINT_TO_POINTER(id));

	if (service != NULL)
		return service;
	service = service_new(router, id, kind);
	g_hash_table_insert(router->services, GUINT_TO_POINTER(id), service);
	return service;
}

/// Adds an upstream and puts it into service. The upstream counts as cold until
/// its first load report.
///
/// @param now      current time
/// @param options  copied; all upstreams of a service have the same kind
/// @return handle of the upstream, valid until router_remove_upstream()
router_upstream
router_add_upstream(struct router *router, usec_t now,
    const struct router_upstream_options *options)
{
	struct upstream *upstream = g_new0(struct upstream, 1);
	struct warmup_options warmup = {.cold_limit = options->cold_limit,
	    .max_running = options->max_running,
	    .warm_span = options->warm_span,
	    .silence_span = SILENT_INTERVALS * router->options.report_interval};

	g_assert(options->max_running > 0);
	g_assert(
	    options->kind != UPSTREAM_ENGINE || options->memory_tokens > 0);
	router->now = now;
	upstream->options = *options;
	upstream->service =
	    find_or_create_service(router, options->service, options->kind);
	upstream->handle = handle_table_add(router->upstreams, upstream);
	upstream->rank =
	    hash_pair(router->options.instance_id, upstream->handle);
	upstream->in_service = true;
	upstream->was_cold = true;
	upstream->slots = g_new0(struct slot, options->max_running);
	router_reset_start_time(upstream);
	warmup_init(&upstream->warmup, &warmup);
	g_hash_table_add(router->all_upstreams, upstream);
	g_ptr_array_add(upstream->service->upstreams, upstream);
	router_update_candidates(router, upstream->service);
	router_dispatch_requests(router, upstream->service);
	return upstream->handle;
}

/// Removes an upstream. The router keeps the requests that run there until the
/// embedder calls router_finish() for them; pending sends to the upstream are
/// withdrawn.
///
/// @param now       current time
/// @param upstream  handle of the upstream; a stale one is ignored
void
router_remove_upstream(
    struct router *router, usec_t now, router_upstream upstream)
{
	struct upstream *found = handle_table_get(router->upstreams, upstream);

	if (found == NULL)
		return;
	router_set_in_service(router, now, upstream, false);
	found->service->n_slots_requested -= found->n_slots_requested;
	while (found->own_requests.head != NULL)
		router_detach_request(router, found->own_requests.head->data);
	prefix_reset_upstream(router->prefix, upstream);
	g_ptr_array_remove(found->service->upstreams, found);
	handle_table_remove(router->upstreams, upstream);
	g_hash_table_remove(router->all_upstreams, found);
}

/// Puts an upstream into service or takes it out of service. An upstream that
/// is out of service gets no new requests, not even those whose SEND is already
/// in the outbox; running requests may finish.
///
/// @param now         current time
/// @param upstream    handle of the upstream; a stale one is ignored
/// @param in_service  whether the upstream may get new requests
void
router_set_in_service(struct router *router, usec_t now,
    router_upstream upstream, bool in_service)
{
	struct upstream *found = handle_table_get(router->upstreams, upstream);

	router->now = now;
	if (found == NULL || found->in_service == in_service)
		return;
	found->in_service = in_service;
	router_update_candidates(router, found->service);
	router_dispatch_requests(router, found->service);
}

/// Handles a load report of an upstream. The report is ignored if it was
/// requested before the last failure of the upstream, or before the newest
/// report was requested.
///
/// @param now       arrival time of the report
/// @param upstream  handle of the reporting upstream; a stale one is ignored
/// @param report    copied
void
router_report_load(struct router *router, usec_t now, router_upstream upstream,
    const struct router_load_report *report)
{
	struct upstream *found = handle_table_get(router->upstreams, upstream);
	struct warmup_report startup = {.requested_at = report->requested_at,
	    .start_epoch = report->start_epoch,
	    .uptime = report->uptime,
	    .running = report->running + report->waiting};
	usec_t sampled_at;

	router->now = now;
	if (found == NULL ||
	    report->requested_at < found->ignore_reports_before ||
	    (found->has_report &&
		report->requested_at < found->report.requested_at))
		return;
	sampled_at = router_estimate_sample_time(router, found, report);
	for (GList *link = found->own_requests.head; link; link = link->next) {
		const struct request *request = link->data;

		startup.expected_running += request->generated_tokens > 0 &&
		    request->sent_at < sampled_at;
	}
	if (warmup_handle_report(&found->warmup, now, &startup)) {
		found->n_restarts++;
		router_reset_start_time(found);
		prefix_reset_upstream(router->prefix, upstream);
	}
	router_apply_report(router, found, report);
	router_notify_upstream_cold(router, found);
	router_update_pressure(router, found);
	router_dispatch_requests(router, found->service);
}

/// Marks an upstream as unresponsive. The upstream counts as cold until the
/// router gets a load report that was requested at or after this time.
///
/// @param now       current time
/// @param upstream  handle of the upstream; a stale one is ignored
void
router_mark_unresponsive(
    struct router *router, usec_t now, router_upstream upstream)
{
	struct upstream *found = handle_table_get(router->upstreams, upstream);

	router->now = now;
	if (found == NULL)
		return;
	found->ignore_reports_before = now;
	warmup_mark_silent(&found->warmup);
	router_notify_upstream_cold(router, found);
}

/// Handles an event of an engine's prefix cache: a block of a prompt was stored
/// or evicted. Late, repeated and missing events are tolerated.
///
/// @param now       arrival time of the event
/// @param upstream  handle of the engine; a stale one is ignored
/// @param sequence  number of the event in the engine's sequence, from 1
/// @param block     chained hash of the block
/// @param stored    true if the block was stored, false if it was evicted
void
router_handle_cache_event(struct router *router, usec_t now,
    router_upstream upstream, uint64_t sequence, uint64_t block, bool stored)
{
	router->now = now;
	if (handle_table_get(router->upstreams, upstream) == NULL)
		return;
	prefix_handle_event(
	    router->prefix, now, upstream, sequence, block, stored);
}
