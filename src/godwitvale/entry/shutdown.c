/* Shutdown of an entry instance after SIGTERM. */
#include "godwitvale/entry/shutdown.h"

#include "godwitvale/core/shutdown_admission.h"
#include "godwitvale/entry/entry_request_defs.h"
#include "godwitvale/ops/log.h"

/// Minimum time from SIGTERM to the end of the process. The balancer sends
/// callers here until two readiness checks, one second apart, have failed.
#define SHUTDOWN_MIN_SPAN (3 * USEC_PER_SEC)

/// Returns the number of events that the answer to a request has at most.
///
/// @return 0: unknown
static uint32_t
count_max_events(const struct entry_request *request)
{
	const struct service *service =
	    deployment_find_service(request->deployment, request->service);
	uint64_t n_tokens = (uint64_t)request->params.max_output_tokens;
	uint32_t n_per_event =
	    service == NULL ? 1 : MAX(1, service->engine.tokens_per_event);

	return (uint32_t)((n_tokens + n_per_event - 1) / n_per_event);
}

/// Checks whether a request that wasn't sent is certain to end before this
/// process does.
static bool
is_certain_to_end(const struct entry_request *request)
{
	const struct route *route = request->route;
	struct shutdown_work work = {
	    .received_at = request->received_at,
	    .deadline = request->deadline,
	    .is_forwarded = request->is_forwarded,
	};

	if (route->is_generation) {
		work.max_events = count_max_events(request);
		work.first_event_limit = route->target_latency;
		work.event_gap = route->target_gap;
	}
	return shutdown_admission_accepts(
	    &request->entry->shutdown, &work, g_get_monotonic_time());
}

/// Refuses a request that hasn't run, if this process leaves and the request
/// isn't certain to end before: another instance must serve its caller.
///
/// @param request  request that isn't sent to an upstream; the caller holds a
///                 reference
/// @return false if it may be sent
bool
shutdown_refuse_if_late(struct entry_request *request)
{
	if (!request->entry->leaving || request->response_started ||
	    request->verdict != VERDICT_NOT_RUN || is_certain_to_end(request))
		return false;
	entry_request_refuse(request, RETRY_AFTER_LEAVING, "leaving");
	return true;
}

/// Checks whether callers wait for nothing from this instance, and neither do
/// those of other instances, whose requests come in on the control server.
static bool
is_idle(const struct entry *entry)
{
	return g_hash_table_size(entry->requests) == 0 &&
	    http_server_count_open_calls(entry->caller_server) == 0 &&
	    http_server_count_undelivered(entry->caller_server) == 0 &&
	    http_server_count_undelivered(entry->control_server) == 0;
}

/// Ends the process after SIGTERM, once no request is open and all responses
/// are delivered, or the deadline has passed.
///
/// @param entry  instance
/// @param now    current time
void
shutdown_tick(struct entry *entry, usec_t now)
{
	bool done;

	if (!entry->leaving)
		return;
	done =
	    now >= entry->leaving_since + SHUTDOWN_MIN_SPAN && is_idle(entry);
	if (!done && now < entry->shutdown.ends_at)
		return;
	log_event(LOG_LEVEL_INFO, "stopping",
	    "open=%u requests=%u undelivered=%u since_ms=%" G_GINT64_FORMAT,
	    http_server_count_open_calls(entry->caller_server),
	    g_hash_table_size(entry->requests),
	    http_server_count_undelivered(entry->caller_server) +
		http_server_count_undelivered(entry->control_server),
	    (now - entry->leaving_since) / USEC_PER_MSEC);
	g_main_loop_quit(entry->loop);
}

/// Refuses the requests that wait inside and aren't certain to end before this
/// process does.
static void
refuse_waiting(struct entry *entry)
{
	GList *requests = g_hash_table_get_keys(entry->requests);

	for (GList *l = requests; l != NULL; l = l->next)
		entry_request_ref(l->data);
	for (GList *l = requests; l != NULL; l = l->next) {
		struct entry_request *request = l->data;

		if (!request->is_done && request->exchange == NULL)
			shutdown_refuse_if_late(request);
		entry_request_unref(request);
	}
	g_list_free(requests);
}

/// Starts the shutdown. New callers are still served until the balancer sends
/// no more of them; each connection is closed after its next answer.
///
/// @param entry       instance that got SIGTERM
/// @param not_before  the signal came later than this
void
shutdown_begin(struct entry *entry, usec_t not_before)
{
	if (entry->leaving)
		return;
	entry->leaving = true;
	entry->leaving_since = g_get_monotonic_time();
	entry->shutdown =
	    shutdown_schedule_make(not_before, entry->settings->grace);
	log_event(LOG_LEVEL_INFO, "leaving",
	    "open=%u grace_ms=%" G_GINT64_FORMAT
	    " noticed_after_ms=%" G_GINT64_FORMAT,
	    http_server_count_open_calls(entry->caller_server),
	    entry->settings->grace / USEC_PER_MSEC,
	    (entry->leaving_since - not_before) / USEC_PER_MSEC);
	http_server_disable_keep_alive(entry->caller_server);
	peers_set_leaving(entry->peers);
	refuse_waiting(entry);
}
