/*
 * Placement of requests: sends a request to an upstream with capacity, lets it
 * wait for one, or refuses it when waiting makes no sense.
 */
#include "godwitvale/core/hash.h"
#include "godwitvale/entry/entry_metrics.h"
#include "godwitvale/entry/entry_request.h"
#include "godwitvale/entry/entry_request_defs.h"
#include "godwitvale/entry/forwarding.h"
#include "godwitvale/entry/guard_common.h"
#include "godwitvale/entry/request_guard.h"
#include "godwitvale/entry/reservation.h"
#include "godwitvale/entry/resumption.h"
#include "godwitvale/entry/segment_guard.h"
#include "godwitvale/entry/send_check.h"
#include "godwitvale/entry/share_monitor.h"
#include "godwitvale/entry/shutdown.h"
#include "godwitvale/entry/version_check.h"
#include "godwitvale/ops/log.h"

/// A request waits for capacity no longer than the route's target latency
/// divided by this number. After that, a refusal with a time to retry serves
/// the caller better.
#define ENTRY_REQUEST_WAIT_DIVISOR 2
/// Part of the target latency for which a request waits if its engines reserve
/// places: what waits here takes no room there, and begins soon after it was
/// placed.
#define ENTRY_REQUEST_ENGINE_WAIT_SHARE 0.74
/// A request that can't meet the target any more waits for this part of it.
#define ENTRY_REQUEST_LATE_WAIT_DIVISOR 8

/// Longest wait for the next request of an upstream with a low limit, which may
/// be another instance's. It spans the wait for those that go first.
#define ENTRY_REQUEST_TURN_WAIT (150 * USEC_PER_MSEC)

/// @param request  request that was to be placed
/// @return whether memory was scarce then at the engines of its service
bool
entry_request_is_engine_scarce(const struct entry_request *request)
{
	return request->target.scarcity > 0 &&
	    reservation_is_supported(request);
}

/// @return time until which a request that begins to wait now may wait for
///         capacity. A begun answer can't be refused, only broken off.
static usec_t
get_wait_deadline(const struct entry_request *request)
{
	usec_t target = request->route->target_latency;
	usec_t now = g_get_monotonic_time();
	usec_t span = target / ENTRY_REQUEST_WAIT_DIVISOR;
	usec_t late_span = target / ENTRY_REQUEST_LATE_WAIT_DIVISOR;

	if (request->response_started)
		return request->deadline;
	if (entry_request_is_engine_scarce(request)) {
		span =
		    (usec_t)((double)target * ENTRY_REQUEST_ENGINE_WAIT_SHARE);
		span = MIN(span, request->target_at - now);
		span = MAX(span, late_span);
	}
	return MIN(request->deadline, now + span);
}

/// Checks whether a request has been without a place for as long as it may wait
/// for one. Its wait begins with the first call.
///
/// @param request  request that an engine had no place for
/// @return whether it is to be refused
bool
entry_request_is_wait_over(struct entry_request *request)
{
	if (request->wait_deadline == 0)
		request->wait_deadline = get_wait_deadline(request);
	return g_get_monotonic_time() >= request->wait_deadline;
}

/// @return hash of the upstreams that may take a request, and of what decides
///         whether they have room: requests with a shorter target, and those
///         that can still meet theirs, may find room where others don't
static uint64_t
hash_upstreams(const struct entry_request *request)
{
	uint64_t hash = hash_pair(hash_name(request->service),
	    request->has_version ? request->version_key : 0);

	if (!entry_request_is_engine_scarce(request))
		return hash;
	hash = hash_pair(hash, (uint64_t)request->route->target_latency);
	return hash_pair(
	    hash, g_get_monotonic_time() >= request->target_at ? 1 : 0);
}

/// @return the rank of a request: the priority of its organisation, if that has
///         one, or of its route
static uint32_t
find_rank(const struct entry_request *request)
{
	const struct organisation *organisation = request->organisation;

	return organisation != NULL && organisation->priority >= 0
	    ? (uint32_t)organisation->priority
	    : request->route->priority;
}

/// Adds a request to the queue of those that wait for capacity. One that waits
/// again, as an engine had no place for it, waits no longer in all.
static void
enqueue_request(struct entry_request *request)
{
	usec_t now = g_get_monotonic_time();
	bool waits_again = request->wait_deadline != 0;
	const struct wait_queue_entry entry = {
	    .request = request,
	    .upstreams = hash_upstreams(request),
	    .group = share_monitor_organisation_key(request),
	    .priority = find_rank(request),
	    .deadline = waits_again ? request->wait_deadline
				    : get_wait_deadline(request),
	};

	if (request->is_waiting)
		return;
	log_event(waits_again ? LOG_LEVEL_DEBUG : LOG_LEVEL_INFO,
	    "request-waits",
	    "id=%s route=%s priority=%u waiting=%u until_ms=%" G_GINT64_FORMAT,
	    request->params.id == NULL ? "-" : request->params.id,
	    request->route->name, entry.priority,
	    wait_queue_length(request->entry->waiting),
	    (entry.deadline - now) / USEC_PER_MSEC);
	request->is_waiting = true;
	request->wait_deadline = entry.deadline;
	wait_queue_add(request->entry->waiting, &entry);
	share_monitor_begin_wait(request);
	entry_request_set_timer(request);
}

/// Removes a request from the queue of those that wait for capacity, if it is
/// there.
///
/// @param request  request in any state
void
entry_request_stop_waiting(struct entry_request *request)
{
	if (!request->is_waiting)
		return;
	request->is_waiting = false;
	wait_queue_remove(request->entry->waiting, request);
	share_monitor_end_wait(request);
}

/// Risk of pauses from which on the metric counts it as high.
#define PAUSE_RISK_HIGH 0.5

/// @return the class of a risk of pauses, as a label of the metric
static const char *
name_pause_risk(double risk)
{
	if (risk <= 0)
		return "none";
	return risk < PAUSE_RISK_HIGH ? "low" : "high";
}

/// Sends a request to the upstream that placement has chosen, or places it
/// again if that may get no requests any more.
///
/// @param request  request with a target, without an exchange
void
entry_request_start_attempt(struct entry_request *request)
{
	const struct site_upstream_request continuation = {
	    .last_event = request->last_event_id};
	char *segments;

	if (send_check(
		request, &request->target, send_check_attempt_path(request))
		.reason != ELIGIBLE) {
		entry_request_place(request);
		return;
	}
	segments = entry_request_format_segments(
	    request->params.segments, request->params.n_segments);
	entry_request_stop_waiting(request);
	request->wait_deadline = 0;
	request->attempts++;
	log_event(LOG_LEVEL_INFO, "request-placed",
	    "id=%s route=%s upstream=%s address=%s zone=%s "
	    "version_key=%016" G_GINT64_MODIFIER "x attempt=%u "
	    "config=%" G_GUINT64_FORMAT " view_age_ms=%" G_GINT64_FORMAT
	    " waited_ms=%" G_GINT64_FORMAT " left_ms=%" G_GINT64_FORMAT
	    " segments=%s fingerprint=%016" G_GINT64_MODIFIER
	    "x pause_risk=%.2f",
	    request->params.id == NULL ? "-" : request->params.id,
	    request->route->name, request->target.id, request->target.address,
	    request->target.zone, request->target.version_key,
	    request->attempts, request->deployment->version,
	    (g_get_monotonic_time() -
		view_confirmed_at(request->entry->view, SITE_SCOPE_UPSTREAMS)) /
		USEC_PER_MSEC,
	    (g_get_monotonic_time() - request->arrived_at) / USEC_PER_MSEC,
	    entry_request_time_left(request) / USEC_PER_MSEC, segments,
	    request->fingerprint, request->target.pause_risk);
	g_free(segments);
	if (request->route->is_generation)
		series_add(&entry_metric_pause_risk, request->route->name,
		    name_pause_risk(request->target.pause_risk), 1);
	if (request->attempts == 1)
		series_observe(&entry_metric_wait, request->route->name,
		    request->service,
		    g_get_monotonic_time() - request->arrived_at);
	segment_guard_note_sent(request);
	request_guard_note_sent(request);
	resumption_note_placed(request);
	entry_request_add_tried(request, request->target.key);
	entry_request_send(request, &continuation);
}

/// @return the request, as placement needs it
static struct dispatch_request
make_dispatch_request(const struct entry_request *request)
{
	return (struct dispatch_request){
	    .deployment =
		request->response_started ? request->deployment : NULL,
	    .service = request->service,
	    .place = entry_request_make_place_request(request),
	    .target_gap = request->route->target_gap,
	    .tried = request->tried,
	    .n_tried = request->n_tried,
	    .needs_version = request->has_version,
	    .version_key = request->version_key,
	    .may_repeat = entry_request_is_repeatable(request),
	    .target_latency = request->route->target_latency,
	    .target_at = request->target_at,
	    .has_waited = request->wait_deadline != 0,
	    .organisation_headroom = share_monitor_headroom(request),
	};
}

/// Refuses a request at once if no upstream will take it for as long as it may
/// wait, because all of them have asked for a pause or named limits.
///
/// @param request  request for which there is no upstream now
/// @return false if waiting makes sense
static bool
refuse_if_hopeless(struct entry_request *request)
{
	const struct dispatch_request wanted = make_dispatch_request(request);
	struct eligibility earliest =
	    dispatch_find_earliest(request->entry->dispatch, &wanted);
	usec_t wait_until = get_wait_deadline(request);

	if (earliest.reason == INELIGIBLE_TURN)
		wait_until = MIN(wait_until,
		    g_get_monotonic_time() + ENTRY_REQUEST_TURN_WAIT);
	if (earliest.until <= wait_until ||
	    (earliest.reason != INELIGIBLE_PAUSED &&
		earliest.reason != INELIGIBLE_LIMITED &&
		earliest.reason != INELIGIBLE_TURN))
		return false;
	entry_request_refuse_until(request, earliest.until, RETRY_AFTER_LIMITED,
	    earliest.reason == INELIGIBLE_PAUSED ? "upstreams-paused"
						 : "upstreams-limited");
	return true;
}

/// Tries to place a request, and sends it if an upstream has capacity.
///
/// @return PLACE_FOUND if it was sent, or is after a check of the upstream
static enum place_outcome
try_place(struct entry_request *request)
{
	const struct dispatch_request wanted = make_dispatch_request(request);
	enum place_outcome outcome;

	dispatch_target_clear(&request->target);
	outcome =
	    dispatch_place(request->entry->dispatch, &wanted, &request->target);
	if (outcome != PLACE_FOUND)
		return outcome;
	if (version_check_is_needed(request))
		version_check_start(request);
	else if (reservation_is_needed(request))
		reservation_start(request);
	else
		entry_request_start_attempt(request);
	return outcome;
}

/// Ends a request that must not be sent, as it may crash its upstream.
///
/// @return false if it may be sent
static bool
refuse_if_quarantined(struct entry_request *request)
{
	const char *outcome;

	if (!segment_guard_admits(request))
		outcome = GUARD_SEGMENTS_OUTCOME;
	else if (!request_guard_admits(request))
		outcome = GUARD_REQUEST_OUTCOME;
	else
		return false;
	entry_request_ref(request);
	entry_request_refuse_quarantined(request, outcome);
	entry_request_unref(request);
	return true;
}

/// Refuses a request that must not be sent any more, as this process ends too
/// soon.
///
/// @return false if it may be sent
static bool
refuse_if_late(struct entry_request *request)
{
	bool is_refused;

	entry_request_ref(request);
	is_refused = shutdown_refuse_if_late(request);
	entry_request_unref(request);
	return is_refused;
}

/// Ends a request that must not be sent any more, although it has a place: this
/// process ends too soon, or a quarantine covers it now.
///
/// @param request  request without an exchange; the caller holds a reference
/// @return false if it may be sent
bool
entry_request_refuse_if_barred(struct entry_request *request)
{
	return refuse_if_late(request) || refuse_if_quarantined(request);
}

/// Has a request served by another instance, as this one is cut off from its
/// service. Refuses it if it comes from another instance itself.
///
/// @return false if no other instance can be asked
static bool
place_elsewhere(struct entry_request *request)
{
	if (!request->is_forwarded)
		return forwarding_start(request);
	entry_request_ref(request);
	entry_request_refuse(
	    request, RETRY_AFTER_NO_UPSTREAM, "forward-cut-off");
	entry_request_unref(request);
	return true;
}

/// Refuses a request for which there is no usable upstream.
static void
refuse_without_upstream(struct entry_request *request)
{
	entry_request_ref(request);
	entry_request_refuse(request, RETRY_AFTER_NO_UPSTREAM,
	    request->has_version ? "no-upstream-of-version" : "no-upstream");
	entry_request_unref(request);
}

/// Places a request: sends it, queues it if no upstream has capacity now, or
/// refuses it if no upstream is usable.
///
/// @param request  request without an exchange
void
entry_request_place(struct entry_request *request)
{
	if (refuse_if_late(request) || refuse_if_quarantined(request))
		return;
	if (forwarding_is_needed(request) && place_elsewhere(request))
		return;
	switch (try_place(request)) {
	case PLACE_FOUND:
		break;
	case PLACE_FULL:
		if (!refuse_if_hopeless(request))
			enqueue_request(request);
		break;
	default:
		if (request->n_unreachable > 0 && forwarding_start(request))
			break;
		refuse_without_upstream(request);
		break;
	}
}

/// Checks whether the configuration in force lacks the service of a request
/// that waits. Otherwise an upstream may still come. A begun answer can't be
/// refused any more.
static bool
is_service_gone(const struct entry_request *request)
{
	return !request->response_started &&
	    deployment_find_service(view_deployment(request->entry->view),
		request->service) == NULL;
}

/// Queue callback: tries to place a waiting request, or ends it because of a
/// quarantine, or because its service is gone.
///
/// @return whether it no longer waits; if not, which others needn't be tried
static enum wait_queue_result
try_place_waiting(void *owner, void *data)
{
	struct entry_request *request = data;

	(void)owner;
	if (refuse_if_late(request) || refuse_if_quarantined(request))
		return WAIT_QUEUE_DONE;
	if (forwarding_is_needed(request) && place_elsewhere(request))
		return WAIT_QUEUE_DONE;
	switch (try_place(request)) {
	case PLACE_FOUND:
		return WAIT_QUEUE_DONE;
	case PLACE_FULL:
		return share_monitor_headroom(request) > 0
		    ? WAIT_QUEUE_GROUP_FULL
		    : WAIT_QUEUE_FULL;
	default:
		if (!is_service_gone(request))
			return WAIT_QUEUE_FULL;
		refuse_without_upstream(request);
		return WAIT_QUEUE_DONE;
	}
}

/// Queue callback: the same for a request whose response has begun.
static enum wait_queue_result
try_place_begun(void *owner, void *data)
{
	const struct entry_request *request = data;

	if (!request->response_started)
		return WAIT_QUEUE_NOT_TRIED;
	return try_place_waiting(owner, data);
}

/// Places the begun responses that wait and for which there is capacity now.
///
/// @param entry  instance whose queue is processed
void
entry_request_place_begun(struct entry *entry)
{
	wait_queue_process(entry->waiting, try_place_begun, entry);
}

/// Places the waiting requests for which there is capacity now.
///
/// @param entry  instance whose queue is processed
void
entry_request_place_waiting(struct entry *entry)
{
	wait_queue_process(entry->waiting, try_place_waiting, entry);
}
