/* The router's table of upstreams, and what is learnt of them. */
#include "godwitvale/core/hash.h"
#include "godwitvale/core/router.h"
#include "godwitvale/core/router_state.h"

/// No report for this many intervals counts as silence.
#define SILENT_INTERVALS 5
/// A queue's organisations count as even within this cost, in tokens.
#define ENGINE_SLACK 4096.0
/// The same for services, in calls.
#define SERVICE_SLACK 4.0
/// Mean length of prompts that the router starts from, in tokens.
#define FIRST_PROMPT 512.0

/// Makes the record of a service.
///
/// @param router  the router
/// @param id      the service
/// @param kind    of its upstreams
/// @return the record
static struct service *
service_new(struct router *router, uint32_t id, enum upstream_kind kind)
{
	struct service *service = g_new0(struct service, 1);
	struct estimate_key all = {.organisation = ESTIMATE_ALL,
	    .service = id,
	    .class_id = ESTIMATE_ALL};
	struct fairqueue_options options = {.now = router->now,
	    .ageing_span = router->options.ageing_span,
	    .slack = kind == UPSTREAM_ENGINE ? ENGINE_SLACK : SERVICE_SLACK};

	service->id = id;
	service->kind = kind;
	service->queue = fairqueue_new(&options);
	service->all = g_ptr_array_new();
	service->considered = g_ptr_array_new();
	service->by_pressure = g_sequence_new(NULL);
	service->mean_prompt = FIRST_PROMPT;
	service->series = estimate_get_series(router->estimate, &all);
	router_survey(router, service);
	return service;
}

/// Finds or makes the record of a service.
///
/// @param router  the router
/// @param id      the service
/// @param kind    of its upstreams
/// @return the record
static struct service *
service_of(struct router *router, uint32_t id, enum upstream_kind kind)
{
	struct service *service =
	    g_hash_table_lookup(router->services, GUINT_TO_POINTER(id));

	if (service != NULL)
		return service;
	service = service_new(router, id, kind);
	g_hash_table_insert(router->services, GUINT_TO_POINTER(id), service);
	return service;
}

/// Enters an upstream into the table; it is in service and, until a report
/// has come, cold.
///
/// @param router   the router
/// @param now      current time
/// @param options  its size and kind; all of a service are of one kind
/// @return its handle, valid until router_remove_upstream()
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
	upstream->service = service_of(router, options->service, options->kind);
	upstream->handle = handle_table_add(router->upstreams, upstream);
	upstream->rank = hash_pair(router->options.self, upstream->handle);
	upstream->in_service = true;
	upstream->was_cold = true;
	upstream->slots = g_new0(struct slot, options->max_running);
	router_forget_start(upstream);
	warmup_init(&upstream->warmup, &warmup);
	g_hash_table_add(router->all_upstreams, upstream);
	g_ptr_array_add(upstream->service->all, upstream);
	router_consider(router, upstream->service);
	router_dispatch(router, upstream->service);
	return upstream->handle;
}

/// Takes an upstream out of the table. Requests running there stay until
/// router_finish().
///
/// @param router    the router
/// @param now       current time
/// @param upstream  its handle; a stale one is ignored
void
router_remove_upstream(
    struct router *router, usec_t now, router_upstream upstream)
{
	struct upstream *found = handle_table_get(router->upstreams, upstream);

	if (found == NULL)
		return;
	router_set_in_service(router, now, upstream, false);
	found->service->n_asked -= found->n_asked;
	while (found->own.head != NULL)
		router_unplace_request(router, found->own.head->data);
	prefix_reset_upstream(router->prefix, upstream);
	g_ptr_array_remove(found->service->all, found);
	handle_table_remove(router->upstreams, upstream);
	g_hash_table_remove(router->all_upstreams, found);
}

/// Puts an upstream in or out of service. Once out, no SEND to it is given
/// out any more, even if it was decided before; what runs there may end.
///
/// @param router      the router
/// @param now         current time
/// @param upstream    its handle; a stale one is ignored
/// @param in_service  whether it may get new work
void
router_set_in_service(struct router *router, usec_t now,
    router_upstream upstream, bool in_service)
{
	struct upstream *found = handle_table_get(router->upstreams, upstream);

	router->now = now;
	if (found == NULL || found->in_service == in_service)
		return;
	found->in_service = in_service;
	router_consider(router, found->service);
	router_dispatch(router, found->service);
}

/// Takes a load report. One asked for before an upstream failed us is ignored.
///
/// @param router    the router
/// @param now       when it arrived
/// @param upstream  whose; a stale handle is ignored
/// @param report    what it says
void
router_report_load(struct router *router, usec_t now, router_upstream upstream,
    const struct router_report *report)
{
	struct upstream *found = handle_table_get(router->upstreams, upstream);
	struct warmup_report start = {.requested_at = report->asked_at,
	    .start_epoch = report->start_epoch,
	    .uptime = report->uptime,
	    .running = report->running + report->waiting};
	usec_t sampled_at;

	router->now = now;
	if (found == NULL || report->asked_at < found->trusted_from ||
	    (found->reported && report->asked_at < found->report.asked_at))
		return;
	sampled_at = router_date_report(router, found, report);
	for (GList *link = found->own.head; link; link = link->next) {
		const struct request *request = link->data;

		start.expected_running +=
		    request->so_far > 0 && request->sent_at < sampled_at;
	}
	if (warmup_handle_report(&found->warmup, now, &start)) {
		found->n_starts++;
		router_forget_start(found);
		prefix_reset_upstream(router->prefix, upstream);
	}
	router_take_report(router, found, report);
	router_note_cold(router, found);
	router_reindex(router, found);
	router_dispatch(router, found->service);
}

/// Notes that an upstream does not answer: it counts as cold until a report
/// asked for after this comes in.
///
/// @param router    the router
/// @param now       current time
/// @param upstream  its handle; a stale one is ignored
void
router_upstream_silent(
    struct router *router, usec_t now, router_upstream upstream)
{
	struct upstream *found = handle_table_get(router->upstreams, upstream);

	router->now = now;
	if (found == NULL)
		return;
	found->trusted_from = now;
	warmup_mark_silent(&found->warmup);
	router_note_cold(router, found);
}

/// Takes a cache event of an engine; late, repeated and missing ones do no
/// harm.
///
/// @param router    the router
/// @param now       when it arrived
/// @param upstream  whose; a stale handle is ignored
/// @param sequence  its number at the engine, from 1
/// @param block     chained block hash
/// @param stored    stored or evicted
void
router_cache_event(struct router *router, usec_t now, router_upstream upstream,
    uint64_t sequence, uint64_t block, bool stored)
{
	router->now = now;
	if (handle_table_get(router->upstreams, upstream) == NULL)
		return;
	prefix_handle_event(
	    router->prefix, now, upstream, sequence, block, stored);
}
