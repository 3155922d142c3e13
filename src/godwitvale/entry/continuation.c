/*
 * Generations whose upstream leaves or fails: requests copies of their memory
 * and resumes them at another upstream after the last event that the caller
 * has. core/handover.c decides which step is taken at which time.
 */
#include <string.h>

#include "godwitvale/entry/departures.h"
#include "godwitvale/entry/entry.h"
#include "godwitvale/entry/entry_metrics.h"
#include "godwitvale/entry/entry_request_defs.h"
#include "godwitvale/entry/reports.h"
#include "godwitvale/entry/send_check.h"
#include "godwitvale/ops/log.h"

/// Delay from the leave notice to the refresh of a copy. An upstream remains
/// for at least 1.5 s after the notice, and the first copies of all its
/// generations take most of the time before the refresh.
#define CONTINUATION_REFRESH_DELAY (1100 * USEC_PER_MSEC)
/// Time from the refresh to the upstream's end, if the upstream reports when
/// that is. The refreshes of its generations queue on its network link.
#define CONTINUATION_REFRESH_MARGIN (400 * USEC_PER_MSEC)
/// Time from the stop to the upstream's end. It must suffice for the last
/// copies of all its generations, a few tokens each.
#define CONTINUATION_STOP_MARGIN (150 * USEC_PER_MSEC)
/// Longest random delay of a first copy. When an instance chooses a target, the
/// choices of other instances must already be part of the load that it sees.
#define CONTINUATION_SPREAD_SPAN (120 * USEC_PER_MSEC)
/// Tokens generated since the last refresh, which the target of a resumed
/// generation reads again. They count as prompt tokens in the target's load, so
/// that other moves and new prompts are placed elsewhere.
#define CONTINUATION_REREAD_TOKENS 800
/// Delay between attempts to copy; a full target may have capacity by then.
#define CONTINUATION_RETRY_DELAY (80 * USEC_PER_MSEC)
/// Timeout for the answer to a copy request after the stream was cut.
#define CONTINUATION_ANSWER_TIMEOUT (300 * USEC_PER_MSEC)
/// How long a target that doesn't take a generation is tried again. An upstream
/// in order may be silent for a second; its copy expires after a few.
#define CONTINUATION_RESUME_SPAN (3 * USEC_PER_SEC)
/// Least time before the stop for a copy to a new target: the whole memory of
/// several generations passes through the link of the source. With less time,
/// the stream is resumed at the draining target, and moved on from there.
#define CONTINUATION_RECOPY_SPAN (400 * USEC_PER_MSEC)
/// Copies of one generation that may fail for lack of capacity at the target.
#define CONTINUATION_MAX_TRIES 6
/// Timeout of a copy request.
#define CONTINUATION_COPY_TIMEOUT (5 * USEC_PER_SEC)
/// Timeout of a request that frees a copy.
#define CONTINUATION_FREE_TIMEOUT (1 * USEC_PER_SEC)

static const struct handover_options handover_options = {
    .refresh_delay = CONTINUATION_REFRESH_DELAY,
    .refresh_margin = CONTINUATION_REFRESH_MARGIN,
    .spread_span = CONTINUATION_SPREAD_SPAN,
    .stop_margin = CONTINUATION_STOP_MARGIN,
    .retry_delay = CONTINUATION_RETRY_DELAY,
    .answer_timeout = CONTINUATION_ANSWER_TIMEOUT,
    .resume_span = CONTINUATION_RESUME_SPAN,
    .recopy_span = CONTINUATION_RECOPY_SPAN,
    .max_no_room_failures = CONTINUATION_MAX_TRIES,
};

/// Initialises the handover state of a request.
///
/// @param request  new request
void
continuation_init(struct entry_request *request)
{
	handover_init(&request->handover, &handover_options);
}

/// Removes the load of a copied generation from the target of the copy.
static void
release_copy_load(struct entry_request *request)
{
	if (!request->is_copy_charged)
		return;
	entry_request_adjust_load(
	    request, &request->copy_target, &request->charged_copy_load, -1);
	request->is_copy_charged = false;
}

/// Adds the load of a copied generation to the target of the copy. The copy of
/// the generation's memory uses memory and a slot there.
static void
charge_copy_load(struct entry_request *request)
{
	request->charged_copy_load = entry_request_estimate_load(request);
	request->charged_copy_load.prompt_tokens = CONTINUATION_REREAD_TOKENS;
	entry_request_adjust_load(
	    request, &request->copy_target, &request->charged_copy_load, 1);
	request->is_copy_charged = true;
	peers_schedule_load_update(request->entry->peers);
}

/// Resets the handover for the next upstream. A copy request to the former one
/// is cancelled, so that its answer isn't taken for that of a later request.
static void
reset_handover(struct entry_request *request)
{
	g_clear_pointer(&request->copy_fetch, fetch_cancel);
	release_copy_load(request);
	handover_reset(&request->handover);
}

/// Fetch callback: a copy was freed. If that failed, the copy will expire.
static void
on_copy_freed(void *owner, const struct fetch_response *answer)
{
	char *handle = owner;

	if (answer->status == 0)
		log_event(LOG_LEVEL_INFO, "copy-drop-failed",
		    "handle=%s reason=%s", handle, answer->failure);
	g_free(handle);
}

/// Frees a copy that isn't needed any more, at its source and its target.
static void
free_copy(struct entry_request *request)
{
	char *target =
	    request->entry->site->drop_copy_target(request->handover.handle);
	const struct fetch_options options = {
	    .max_body = FETCH_UPSTREAM_BYTES_MAX,
	    .pool = request->entry->pool,
	    .address = request->copy_source.address,
	    .method = "DELETE",
	    .target = target,
	    .deadline = g_get_monotonic_time() + CONTINUATION_FREE_TIMEOUT,
	    .handler = on_copy_freed,
	    .owner = g_strdup(request->handover.handle),
	};

	fetch_start(&options);
	g_free(target);
}

/// Releases the resources of a request's handover, and frees an unused copy.
///
/// @param request  request that is done
void
continuation_clear(struct entry_request *request)
{
	g_clear_pointer(&request->copy_fetch, fetch_cancel);
	if (handover_has_copy(&request->handover) && !request->is_resuming &&
	    request->copy_source.address != NULL)
		free_copy(request);
	release_copy_load(request);
	dispatch_target_clear(&request->copy_target);
	dispatch_target_clear(&request->copy_source);
}

/// Checks whether a request can be handed over while it runs.
///
/// @param request  request in any state
/// @return true if it is a generation with an id, and its service can copy the
///         memory of running generations
bool
continuation_is_supported(const struct entry_request *request)
{
	const struct service *service = request->service == NULL
	    ? NULL
	    : deployment_find_service(request->deployment, request->service);

	return service != NULL && service->engine.supports_moves &&
	    entry_request_can_go_on(request) && !request->is_forwarding &&
	    request->route->is_generation && request->params.id != NULL;
}

/// Notes that the upstream of a request is leaving. May be called again when
/// the time of its end becomes known.
///
/// @param request    request that was sent to the upstream
/// @param leaves_at  time at which the upstream will be gone; 0 if unknown
void
continuation_note_leaving(struct entry_request *request, usec_t leaves_at)
{
	bool should_log = request->handover.state == HANDOVER_IDLE ||
	    (leaves_at != 0 && request->handover.stop_at == USEC_NEVER);

	if (!continuation_is_supported(request) || request->is_resuming)
		return;
	handover_note_leaving(&request->handover, g_get_monotonic_time(),
	    leaves_at, g_random_double());
	if (should_log)
		log_event(LOG_LEVEL_INFO, "handover-noticed",
		    "id=%s upstream=%s events=%u gone_in_ms=%" G_GINT64_FORMAT,
		    request->params.id, request->target.id,
		    request->events_sent,
		    leaves_at == 0
			? -1
			: (leaves_at - g_get_monotonic_time()) / USEC_PER_MSEC);
	continuation_advance(request);
	if (!request->is_done)
		entry_request_set_timer(request);
}

/// Converts the outcome of a copy request that failed.
///
/// @return reason of the failure, as core/handover.c distinguishes them
static enum handover_copy_failure
map_copy_failure(enum site_copy_outcome outcome)
{
	switch (outcome) {
	case SITE_COPY_NO_ROOM:
		return HANDOVER_NO_ROOM;
	case SITE_COPY_NOT_RUNNING:
		return HANDOVER_NOT_RUNNING;
	case SITE_COPY_IN_PROGRESS:
		return HANDOVER_IN_PROGRESS;
	default:
		return HANDOVER_UNKNOWN;
	}
}

/// Fetch callback: a copy request was answered or has failed.
static void
on_copy_response(void *owner, const struct fetch_response *answer)
{
	struct entry_request *request = entry_request_ref(owner);
	usec_t now = g_get_monotonic_time();
	struct site_answer info;
	struct site_copy copy;

	request->copy_fetch = NULL;
	if (answer->head != NULL) {
		request->entry->site->read_answer(answer->head, &info);
		if (info.leaving)
			departures_note(
			    request->entry, &request->copy_source, "copy");
	}
	request->entry->site->read_copy_answer(
	    answer->status, answer->body, answer->len, &copy);
	log_event(LOG_LEVEL_INFO, "handover-copy",
	    "id=%s source=%s target=%s state=%d status=%u handle=%s "
	    "events_made=%" G_GINT64_FORMAT " events_passed=%u",
	    request->params.id, request->copy_source.id,
	    request->copy_target.id, (int)request->handover.state,
	    answer->status, copy.handle[0] == '\0' ? "-" : copy.handle,
	    copy.events, request->events_sent);
	if (copy.outcome == SITE_COPY_MADE) {
		request->events_copied = copy.events;
		handover_copy_completed(&request->handover, now, copy.handle);
	} else {
		handover_copy_failed(
		    &request->handover, now, map_copy_failure(copy.outcome));
		if (request->handover.state == HANDOVER_NOTICED)
			release_copy_load(request);
	}
	continuation_advance(request);
	if (!request->is_done)
		entry_request_set_timer(request);
	entry_request_unref(request);
}

/// Requests a copy from the source.
static void
send_copy_request(struct entry_request *request, enum handover_step step)
{
	struct fetch_options options = {
	    .max_body = FETCH_UPSTREAM_BYTES_MAX,
	    .pool = request->entry->pool,
	    .address = request->copy_source.address,
	    .method = "POST",
	    /* An answer doesn't say which call it belongs to. */
	    .needs_new_connection = true,
	    .deadline = g_get_monotonic_time() + CONTINUATION_COPY_TIMEOUT,
	    .handler = on_copy_response,
	    .owner = request,
	};
	char *target;
	char *body;

	request->entry->site->write_copy_request(request->params.id,
	    request->copy_target.address, step == HANDOVER_STOP, &target,
	    &body);
	options.target = target;
	options.body = body;
	handover_copy_requested(&request->handover, step);
	g_assert(request->copy_fetch == NULL);
	request->copy_fetch = fetch_start(&options);
	g_free(target);
	g_free(body);
}

/// Makes a deep copy of a target.
static void
clone_target(struct dispatch_target *to, const struct dispatch_target *from)
{
	dispatch_target_clear(to);
	to->id = g_strdup(from->id);
	to->address = g_strdup(from->address);
	to->zone = g_strdup(from->zone);
	to->key = from->key;
	to->incarnation_key = from->incarnation_key;
	to->version_key = from->version_key;
}

/// Replaces the target that has the copy of a generation by a new one, whose
/// first copy is about to be requested.
///
/// @param found  the new target; its strings are moved
static void
replace_copy_target(
    struct entry_request *request, const struct dispatch_target *found)
{
	/* A repeated copy to the same target transfers only what is new. */
	if (handover_has_copy(&request->handover) &&
	    found->key != request->copy_target.key)
		free_copy(request);
	release_copy_load(request);
	dispatch_target_clear(&request->copy_target);
	request->copy_target = *found;
	clone_target(&request->copy_source, &request->target);
	charge_copy_load(request);
}

/// Chooses a target for the first copy and requests the copy. Begun responses
/// that wait for a place come first.
static void
start_copy(struct entry_request *request)
{
	/* A target that has a copy may be chosen again, if it is eligible. */
	const uint64_t tried[] = {request->target.key,
	    handover_has_copy(&request->handover) ? request->target.key
						  : request->copy_target.key};
	const struct dispatch_request placement = {
	    .deployment = request->deployment,
	    .service = request->service,
	    .place = entry_request_make_place_request(request),
	    .target_gap = request->route->target_gap,
	    .zone = request->target.zone,
	    .tried = tried,
	    .n_tried = G_N_ELEMENTS(tried),
	    .needs_version = true,
	    .version_key = request->target.version_key,
	};
	struct dispatch_request move = placement;
	struct dispatch_target found = {0};
	enum place_outcome outcome;

	/* A change may have made room for which none of those was tried yet. */
	if (request->entry->update_source != 0)
		entry_request_place_begun(request->entry);
	move.place.is_move = true;
	move.place.prompt_tokens = 0;
	outcome = dispatch_place(request->entry->dispatch, &move, &found);
	if (outcome != PLACE_FOUND) {
		log_event(LOG_LEVEL_WARN, "handover-no-target",
		    "id=%s source=%s outcome=%s", request->params.id,
		    request->target.id, dispatch_outcome_name(outcome));
		handover_target_unavailable(
		    &request->handover, g_get_monotonic_time());
		return;
	}
	if (send_check(request, &found, SEND_COPY).reason != ELIGIBLE) {
		handover_target_unavailable(
		    &request->handover, g_get_monotonic_time());
		dispatch_target_clear(&found);
		return;
	}
	replace_copy_target(request, &found);
	send_copy_request(request, HANDOVER_COPY);
}

/// Sends a request to the upstream in `target`, to resume from its copy.
static void
send_resume(struct entry_request *request)
{
	const struct site_upstream_request continuation = {
	    .last_event = request->last_event_id,
	    .copy_source = request->copy_source.address,
	    .copy_handle = request->handover.handle,
	};

	/* A pending copy would be of an attempt that has ended. */
	g_clear_pointer(&request->copy_fetch, fetch_cancel);
	entry_request_cancel_exchange(request);
	request->is_resuming = true;
	request->handovers += request->handover.resume_until == 0;
	log_event(LOG_LEVEL_INFO, "handover-resumed",
	    "id=%s source=%s target=%s handle=%s last_event=%" G_GINT64_FORMAT
	    " silent_ms=%" G_GINT64_FORMAT,
	    request->params.id, request->copy_source.id, request->target.id,
	    request->handover.handle, request->last_event_id,
	    request->last_event_at == 0
		? -1
		: (g_get_monotonic_time() - request->last_event_at) /
		    USEC_PER_MSEC);
	entry_request_send(request, &continuation);
}

/// Resumes a generation at the upstream that has the copy, if that may get
/// requests now or soon. Otherwise the stream is restarted or fails.
static void
resume_at_copy_target(struct entry_request *request)
{
	struct eligibility allowed =
	    send_check(request, &request->copy_target, SEND_RESUME);

	if (allowed.reason == INELIGIBLE_PAUSED &&
	    handover_defer_resume(
		&request->handover, g_get_monotonic_time(), allowed.until)) {
		continuation_advance(request);
		return;
	}
	entry_request_cancel_exchange(request);
	if (allowed.reason != ELIGIBLE) {
		continuation_handle_refusal(request, "resume-target-gone");
		return;
	}
	release_copy_load(request);
	clone_target(&request->target, &request->copy_target);
	send_resume(request);
}

/// Restarts a stream without a copy, at the event after the last one sent to
/// the caller, if the route and the retry budget allow this; otherwise fails
/// the request.
static void
restart_or_fail(struct entry_request *request, const char *reason)
{
	if (entry_request_can_be_retried(request) &&
	    entry_request_take_retry_permit(request)) {
		reset_handover(request);
		entry_request_place(request);
		return;
	}
	entry_request_fail(request, 502, reason);
}

/// Has the copy of a running generation made again at another target, if the
/// one that has it may get no requests any more. If the time doesn't suffice,
/// that one is kept while the stream may still be resumed there.
static void
check_copy_target(struct entry_request *request)
{
	struct handover *handover = &request->handover;
	usec_t now = g_get_monotonic_time();

	if (handover->state != HANDOVER_COPIED || handover->cut_at != 0)
		return;
	if (!handover_has_recopy_time(handover, now) &&
	    dispatch_check_send(
		request->entry->dispatch, &request->copy_target, SEND_RESUME)
		    .reason == ELIGIBLE)
		return;
	if (send_check(request, &request->copy_target, SEND_COPY).reason !=
	    ELIGIBLE)
		handover_target_lost(handover, now);
}

/// Checks whether a step of a request's handover may become due: not while the
/// request is resuming, or waits for a place.
static bool
can_advance(const struct entry_request *request)
{
	if (request->is_resuming || request->is_done)
		return false;
	return request->exchange != NULL || request->handover.cut_at != 0;
}

/// @param request  request in any state
/// @return when to call continuation_advance() again; USEC_NEVER: only after
///         another event
usec_t
continuation_wake_time(const struct entry_request *request)
{
	return can_advance(request) ? handover_wake_time(&request->handover)
				    : USEC_NEVER;
}

/// Runs the step of a request's handover that is due.
///
/// @param request  request in any state
void
continuation_advance(struct entry_request *request)
{
	enum handover_step step;

	if (!can_advance(request))
		return;
	check_copy_target(request);
	step = handover_next_step(&request->handover, g_get_monotonic_time());
	if (step != HANDOVER_WAIT)
		series_add(
		    &entry_metric_handovers, handover_step_name(step), NULL, 1);
	switch (step) {
	case HANDOVER_COPY:
		start_copy(request);
		break;
	case HANDOVER_REFRESH:
	case HANDOVER_STOP:
		send_copy_request(request, step);
		break;
	case HANDOVER_RESUME:
		if (entry_request_can_go_on(request))
			resume_at_copy_target(request);
		else
			restart_or_fail(request, "stream-unnumbered");
		break;
	case HANDOVER_BREAK:
		restart_or_fail(request, "stream-cut");
		break;
	case HANDOVER_FINISH:
		answer_complete(request);
		break;
	default:
		break;
	}
}

/// Handles a stream that was cut before its end.
///
/// @param request  request without an exchange
/// @param reason   one word for the log and the metrics
void
continuation_handle_cut(struct entry_request *request, const char *reason)
{
	request->verdict =
	    verdict_raise(request->verdict, VERDICT_MAY_HAVE_RUN);
	if (request->is_resuming) {
		/* The attempt that was cut has used the copy up. */
		request->is_resuming = false;
		reset_handover(request);
		restart_or_fail(request, reason);
		return;
	}
	handover_stream_cut(&request->handover, g_get_monotonic_time());
	continuation_advance(request);
	if (!request->is_done)
		entry_request_set_timer(request);
}

/// Handles a stream that has ended with its connection, between two events.
///
/// @param request  request without an exchange
/// @return false if the stream is complete
bool
continuation_handle_end(struct entry_request *request)
{
	if (!handover_stream_ended(&request->handover, g_get_monotonic_time()))
		return false;
	log_event(LOG_LEVEL_INFO, "handover-stream-ended",
	    "id=%s source=%s last_event=%" G_GINT64_FORMAT
	    " outcome=awaits-stop",
	    request->params.id, request->target.id, request->last_event_id);
	entry_request_cancel_exchange(request);
	continuation_advance(request);
	if (!request->is_done)
		entry_request_set_timer(request);
	return true;
}

/// Completes the handover when the first event of a resumed stream arrives.
/// Starts another one if the new upstream is draining.
///
/// @param request  request that is resuming
void
continuation_handle_resumed(struct entry_request *request)
{
	struct eligibility allowed;

	log_event(LOG_LEVEL_INFO, "handover-continued",
	    "id=%s target=%s last_event=%" G_GINT64_FORMAT
	    " events_copied=%" G_GINT64_FORMAT " silent_ms=%" G_GINT64_FORMAT,
	    request->params.id, request->target.id, request->last_event_id,
	    request->events_copied,
	    request->last_event_at == 0
		? -1
		: (g_get_monotonic_time() - request->last_event_at) /
		    USEC_PER_MSEC);
	request->is_resuming = false;
	reset_handover(request);
	dispatch_target_clear(&request->copy_target);
	dispatch_target_clear(&request->copy_source);
	allowed = dispatch_check_send(
	    request->entry->dispatch, &request->target, SEND_FIRST);
	if (allowed.reason != INELIGIBLE_DRAINING &&
	    allowed.reason != INELIGIBLE_LEAVING)
		return;
	reports_schedule_query(request->entry->reports, request->target.id,
	    request->target.address);
	continuation_note_leaving(request, 0);
}

/// Handles an upstream that did not resume a stream from its copy: the stream
/// is restarted without one, or the request fails.
///
/// @param request  request without an exchange
/// @param reason   one word for the log and the metrics
void
continuation_handle_refusal(struct entry_request *request, const char *reason)
{
	request->is_resuming = false;
	log_event(LOG_LEVEL_WARN, "handover-refused",
	    "id=%s target=%s reason=%s", request->params.id, request->target.id,
	    reason);
	reset_handover(request);
	restart_or_fail(request, reason);
}

/// Handles a target that didn't take the request that was to resume a stream.
/// It still holds the copy and is tried again for a while, unless the stream
/// can be begun again elsewhere.
///
/// @param request      request without an exchange
/// @param reason       one word for the log and the metrics
/// @param has_arrived  the target has turned it away, so that another try needs
///                     a permit
void
continuation_handle_not_taken(
    struct entry_request *request, const char *reason, bool has_arrived)
{
	usec_t now = g_get_monotonic_time();
	enum eligibility_reason reason_not =
	    send_check(request, &request->copy_target, SEND_RESUME).reason;

	if (entry_request_can_be_retried(request) ||
	    (reason_not != ELIGIBLE && reason_not != INELIGIBLE_PAUSED) ||
	    !handover_resume_failed(&request->handover, now) ||
	    (has_arrived && !entry_request_take_retry_permit(request))) {
		continuation_handle_refusal(request, reason);
		return;
	}
	request->is_resuming = false;
	log_event(LOG_LEVEL_WARN, "handover-not-taken",
	    "id=%s target=%s reason=%s again_ms=%" G_GINT64_FORMAT
	    " gives_up_ms=%" G_GINT64_FORMAT,
	    request->params.id, request->target.id, reason,
	    (request->handover.resume_at - now) / USEC_PER_MSEC,
	    (request->handover.resume_until - now) / USEC_PER_MSEC);
	continuation_advance(request);
	if (!request->is_done)
		entry_request_set_timer(request);
}

/// Checks whether the handover of a request is in progress.
///
/// @param request  request in any state
/// @return true from the leave notice until the stream continues elsewhere
bool
continuation_is_in_progress(const struct entry_request *request)
{
	return request->is_resuming || request->handover.state != HANDOVER_IDLE;
}
