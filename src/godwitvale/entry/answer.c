/*
 * Answers of upstreams: forwards them to the callers, and retries, continues or
 * fails requests whose answer is missing, incomplete or unusable.
 */
#include <string.h>

#include "godwitvale/core/hash.h"
#include "godwitvale/core/stream_order.h"
#include "godwitvale/entry/departures.h"
#include "godwitvale/entry/entry.h"
#include "godwitvale/entry/entry_metrics.h"
#include "godwitvale/entry/entry_request_defs.h"
#include "godwitvale/entry/forward_fields.h"
#include "godwitvale/entry/forwarding.h"
#include "godwitvale/entry/reach_monitor.h"
#include "godwitvale/entry/reply.h"
#include "godwitvale/entry/request_guard.h"
#include "godwitvale/entry/resumption.h"
#include "godwitvale/entry/segment_guard.h"
#include "godwitvale/entry/version_check.h"
#include "godwitvale/ops/log.h"

/// Longest answer, in bytes, that is buffered as a whole before it is
/// forwarded. If it is cut before its end, the request can still be retried.
#define ANSWER_BUFFERED_BYTES_MAX (256 * 1024)
/// Number of unsent bytes to a slow caller above which reading from the
/// upstream is paused.
#define ANSWER_UNSENT_BYTES_MAX (256 * 1024)

/// Time from the first event of an answer after which the upstream has survived
/// its beginning. An engine that a prompt crashes as it begins to write may
/// still send an event. The longer this is, the more answers that only run
/// beside such a prompt are held against their segments.
#define ANSWER_SURVIVAL_SPAN (50 * USEC_PER_MSEC)

/// The load of a generation is updated after each multiple of this number of
/// events.
#define ANSWER_LOAD_UPDATE_EVENTS 32

G_STATIC_ASSERT(SITE_NO_EVENT == STREAM_ORDER_NO_EVENT);

/// Ends a request whose answer is complete.
static void
finish_response(struct entry_request *request)
{
	reply_finish(request);
	entry_request_finish(request, request->answer_head.status, "answered");
}

/// Records the result of the current attempt, for metrics and the detection of
/// outliers.
static void
record_result(struct entry_request *request, enum outlier_result result)
{
	static const char *const names[] = {
	    [OUTLIER_SERVED] = "served",
	    [OUTLIER_ERROR] = "error",
	    [OUTLIER_BROKEN] = "broken",
	    [OUTLIER_UNREACHABLE] = "unreachable",
	};

	const struct dispatch_result recorded = {result, request->fingerprint};

	series_add(&entry_metric_attempts, request->service, names[result], 1);
	dispatch_record_result(
	    request->entry->dispatch, &request->target, &recorded);
}

/// Checks whether the request may be sent to another upstream, and takes a
/// permit for the retry from the service's budget.
static bool
acquire_retry(struct entry_request *request)
{
	if (request->response_started && !request->is_stream)
		return false;
	/* The instance that it was forwarded to has retried it. */
	if (request->is_forwarding)
		return false;
	if (request->attempts >= request->route->max_attempts)
		return false;
	return entry_request_take_retry_permit(request);
}

/// Notes the pause that an upstream asks for as it turns a request away.
static void
note_pause(struct entry_request *request, const struct site_answer *info)
{
	if (info->pause == SITE_STATEMENT_NONE)
		return;
	log_event(LOG_LEVEL_INFO, "upstream-asks-pause",
	    "id=%s upstream=%s for_ms=%" G_GINT64_FORMAT " outcome=%s",
	    request->params.id, request->target.id,
	    info->pause == SITE_STATEMENT_MADE
		? info->pause_span / USEC_PER_MSEC
		: -1,
	    info->pause == SITE_STATEMENT_MADE ? "paused"
					       : "unreadable-ignored");
	if (info->pause == SITE_STATEMENT_MADE)
		dispatch_set_pause(request->entry->dispatch, &request->target,
		    info->pause_span);
}

/// Handles the refusal of a target to resume a stream. Its copy is unused.
static void
handle_resume_refusal(
    struct entry_request *request, const struct site_answer *info)
{
	if (info->misdirected)
		continuation_handle_refusal(request, "resume-refused");
	else
		continuation_handle_not_taken(request, "resume-refused", true);
}

/// Handles an upstream's statement that it has not run the request: sends the
/// request to another upstream or refuses it.
static void
handle_upstream_refusal(
    struct entry_request *request, const struct site_answer *info)
{
	struct dispatch *dispatch = request->entry->dispatch;

	log_event(LOG_LEVEL_INFO, "upstream-refused",
	    "id=%s upstream=%s misdirected=%d attempt=%u "
	    "age_ms=%" G_GINT64_FORMAT,
	    request->params.id, request->target.id, info->misdirected,
	    request->attempts,
	    (g_get_monotonic_time() - request->sent_at) / USEC_PER_MSEC);
	series_add(&entry_metric_attempts, request->service,
	    info->misdirected ? "misdirected" : "refused", 1);
	if (info->misdirected) {
		dispatch_set_misdirected(dispatch, &request->target);
		/*
		 * The request didn't reach the intended upstream, so
		 * this doesn't count as an attempt.
		 */
		request->attempts--;
	} else {
		dispatch_set_full(dispatch, &request->target, request->service);
	}
	entry_request_cancel_refused_exchange(request);
	if (request->is_resuming) {
		handle_resume_refusal(request, info);
		return;
	}
	if (acquire_retry(request))
		entry_request_place(request);
	else
		entry_request_refuse(
		    request, RETRY_AFTER_UPSTREAMS_FULL, "upstream-full");
}

/// Checks whether an answer can't continue a stream that the caller has events
/// of. It must not be forwarded, because its end would look like the end of the
/// stream.
static bool
is_unfit_for_stream(const struct entry_request *request,
    const struct http_head *head, const struct site_answer *info)
{
	return request->response_started && request->is_stream &&
	    (head->status != 200 || !info->is_stream);
}

/// Discards an answer that isn't the rest of the stream.
static void
handle_unfit_answer(struct entry_request *request, const struct http_head *head)
{
	log_event(LOG_LEVEL_WARN, "answer-unfit",
	    "id=%s upstream=%s status=%u last_event=%" G_GINT64_FORMAT
	    " outcome=dropped",
	    request->params.id, request->target.id, head->status,
	    request->last_event_id);
	record_result(request, OUTLIER_ERROR);
	entry_request_cancel_exchange(request);
	continuation_handle_refusal(request, "resume-failed");
}

/// Notes the limit that an upstream names in an answer, or that it names none,
/// and tells the other instances if this is new.
static void
note_limit(struct entry_request *request, const struct site_answer *info)
{
	struct entry *entry = request->entry;

	if (info->limit == SITE_STATEMENT_UNREADABLE) {
		log_event(LOG_LEVEL_WARN, "upstream-limit-unreadable",
		    "id=%s upstream=%s outcome=ignored", request->params.id,
		    request->target.id);
		return;
	}
	request->named_limit =
	    info->limit == SITE_STATEMENT_MADE ? info->rate_limit : -1;
	if (dispatch_set_limit(entry->dispatch, &request->target,
		request->named_limit) != RATE_LIMIT_SAME)
		peers_broadcast(entry->peers, PEERS_LIMITS);
}

/// Handles an answer that the caller must not get, because its status would say
/// that the request has not run. Repeats the request if that is allowed; a
/// generation that is being handed over begins anew, without its copy.
static void
handle_withheld_status(
    struct entry_request *request, const struct http_head *head)
{
	bool is_moving = continuation_is_in_progress(request);
	bool is_retried = !is_moving && entry_request_is_repeatable(request) &&
	    acquire_retry(request);

	log_event(LOG_LEVEL_WARN, "answer-status-withheld",
	    "id=%s upstream=%s status=%u verdict=%s attempt=%u outcome=%s",
	    request->params.id, request->target.id, head->status,
	    verdict_name(request->verdict), request->attempts,
	    is_moving        ? "not-resumed"
		: is_retried ? "retried"
			     : "failed");
	record_result(request, OUTLIER_ERROR);
	if (request->is_forwarding)
		series_add(
		    &entry_metric_forwards, request->service, "not-served", 1);
	entry_request_cancel_exchange(request);
	if (is_moving)
		continuation_handle_refusal(request, "status-withheld");
	else if (is_retried)
		entry_request_place(request);
	else
		entry_request_fail(request, 502, "status-withheld");
}

/// Checks the head of an upstream's answer, and takes it for the caller.
///
/// @param request  request that is answered; the caller holds a reference
/// @param head     head of the answer
/// @param info     its fields
/// @return whether it is the head that the caller gets; false if the answer is
///         dropped, or the caller has the head of an earlier one
bool
answer_accept_head(struct entry_request *request, const struct http_head *head,
    const struct site_answer *info)
{
	request->verdict = verdict_raise(request->verdict, VERDICT_RAN);
	request->answer_began = true;
	if (head->status / 100 == 2 && !info->is_signed) {
		log_event(LOG_LEVEL_WARN, "answer-unsigned",
		    "id=%s upstream=%s status=%u outcome=dropped",
		    request->params.id, request->target.id, head->status);
		entry_request_cancel_exchange(request);
		answer_vtable()->failed(request, EXCHANGE_GARBLED);
		return false;
	}
	if (is_unfit_for_stream(request, head, info)) {
		handle_unfit_answer(request, head);
		return false;
	}
	if (request->response_started)
		return false;
	if (!reply_take_head(request, head)) {
		handle_withheld_status(request, head);
		return false;
	}
	request->is_stream = info->is_stream && head->status == 200;
	return true;
}

/// Notes an upstream's statement that it falls over when it must turn requests
/// away, and tells the other instances if this is new.
static void
note_brittle(struct entry_request *request, const struct site_answer *info)
{
	struct entry *entry = request->entry;

	/* A number that can't be read is taken for a low one. */
	if (info->brittle == SITE_STATEMENT_NONE ||
	    !dispatch_set_brittle(entry->dispatch, hash_name(request->service),
		DISPATCH_BRITTLE_SPAN))
		return;
	log_event(LOG_LEVEL_WARN, "service-brittle",
	    "id=%s service=%s upstream=%s refusals=%.2f outcome=places-divided",
	    request->params.id, request->service, request->target.id,
	    info->brittle == SITE_STATEMENT_MADE ? info->tolerated_refusals
						 : -1);
	peers_tell_services(entry->peers);
}

/// Exchange callback: the head of an answer has arrived.
static void
on_head(void *owner, const struct http_head *head)
{
	struct entry_request *request = entry_request_ref(owner);
	struct site_answer info;

	request->heard_at = g_get_monotonic_time();
	request->entry->site->read_answer(head, &info);
	request_guard_note_alive(request);
	crash_probes_note_round_trip(request->entry, request->sent_at);
	note_limit(request, &info);
	note_pause(request, &info);
	note_brittle(request, &info);
	if (info.leaving && !info.misdirected)
		departures_note(request->entry, &request->target, "answer");
	if (info.not_run) {
		handle_upstream_refusal(request, &info);
		goto out;
	}
	if (answer_accept_head(request, head, &info) && request->is_forwarded)
		forward_fields_write_version(
		    &request->answer_head, request->target.version_key);
out:
	entry_request_unref(request);
}

/// Notes the first event of an attempt: the upstream has read the prompt, which
/// no longer adds to its load. Later events have no effect.
static void
finish_prompt_phase(struct entry_request *request)
{
	const struct load prompt_load = {
	    .prompt_tokens = request->charged_load.prompt_tokens};

	if (request->is_charged && request->charged_load.prompt_tokens != 0) {
		entry_request_adjust_load(
		    request, &request->target, &prompt_load, -1);
		request->charged_load.prompt_tokens = 0;
	}
	if (request->is_resuming)
		continuation_handle_resumed(request);
	if (request->first_event_at != 0)
		return;
	request->first_event_at = g_get_monotonic_time();
	if (request->route->is_generation && !request->is_forwarding &&
	    request->handovers == 0)
		dispatch_record_read(request->entry->dispatch, request->service,
		    &request->target, request->params.prompt_tokens,
		    request->first_event_at - request->sent_at);
}

/// Records the interval since the last event.
static void
record_event_interval(struct entry_request *request)
{
	usec_t now = g_get_monotonic_time();
	usec_t interval = now - request->last_event_at;

	if (request->last_event_at != 0) {
		request->longest_gap = MAX(request->longest_gap, interval);
		/* The time to an attempt's first event isn't an interval. */
		if (request->events_of_attempt > 0)
			dispatch_record_event_interval(request->entry->dispatch,
			    request->service, &request->target,
			    request->last_interval, interval);
		request->last_interval =
		    request->events_of_attempt > 0 ? interval : 0;
	}
	request->events_of_attempt++;
	request->last_event_at = now;
}

/// Logs an event that can't follow those that the caller has.
static void
log_unfit_event(const struct entry_request *request, const struct event *event,
    enum stream_order_step step)
{
	static const char *const names[] = {
	    [STREAM_ORDER_MISSING] = "event-missing",
	    [STREAM_ORDER_NOT_THE_REST] = "answer-not-the-rest",
	    [STREAM_ORDER_OTHER_ANSWER] = "event-holds-answer",
	};

	log_event(LOG_LEVEL_WARN, names[step],
	    "id=%s upstream=%s last=%" G_GINT64_FORMAT
	    " has_id=%d next=%" G_GUINT64_FORMAT,
	    request->params.id, request->target.id, request->last_event_id,
	    event->has_id, event->id);
}

/// Notes that an upstream has survived the beginning of an answer, which counts
/// for the segments of the prompt. Later calls have no effect.
static void
note_survived(struct entry_request *request)
{
	if (request->has_survived)
		return;
	request->has_survived = true;
	segment_guard_note_answered(request);
}

/// Notes how far the caller has the stream, after an event was forwarded.
static void
note_position(struct entry_request *request, const struct event *event)
{
	request->has_unnumbered_tail = !stream_order_has_position(event);
	if (!request->has_unnumbered_tail)
		request->last_event_id = (int64_t)event->id;
}

/// Forwards comments, which are no event and have no place in the stream.
static void
forward_comment(struct entry_request *request, const struct event *event)
{
	reply_start(request);
	http_call_write_body(request->call, event->bytes, event->len);
}

/// Splitter callback: forwards one complete event.
///
/// @return false if the stream can't continue
static bool
on_event(void *owner, const struct event *event)
{
	struct entry_request *request = owner;
	const struct stream_order_inputs inputs = {
	    .event = event,
	    .last_event = request->last_event_id,
	    .is_first = request->events_of_attempt == 0,
	};
	enum stream_order_step step;

	if (request->is_done)
		return false;
	step = stream_order_decide(&inputs);
	if (step == STREAM_ORDER_SKIP)
		return true;
	if (step != STREAM_ORDER_FORWARD) {
		log_unfit_event(request, event, step);
		return false;
	}
	if (stream_order_is_comment(event)) {
		forward_comment(request, event);
		return true;
	}
	if (request->events_of_attempt == 0) {
		request_guard_note_answered(request);
		if (!resumption_admits_event(request))
			return false;
		request->survives_at =
		    g_get_monotonic_time() + ANSWER_SURVIVAL_SPAN;
	}
	finish_prompt_phase(request);
	reply_start(request);
	http_call_write_body(request->call, event->bytes, event->len);
	note_position(request, event);
	request->events_sent++;
	record_event_interval(request);
	if (request->last_event_at >= request->survives_at)
		note_survived(request);
	if (request->events_sent % ANSWER_LOAD_UPDATE_EVENTS == 0)
		entry_request_update_load(request);
	return true;
}

/// Buffers or forwards bytes of an answer that isn't a stream of events.
static void
handle_plain_body(struct entry_request *request, const char *data, size_t len)
{
	if (request->response_started) {
		http_call_write_body(request->call, data, len);
		return;
	}
	g_string_append_len(request->answer_body, data, (gssize)len);
	client_hold_set(
	    &request->answer_hold, request->answer_body->allocated_len);
	if (request->answer_body->len <=
	    http_call_buffer_max(request->call, ANSWER_BUFFERED_BYTES_MAX))
		return;
	reply_start(request);
	http_call_write_body(request->call, request->answer_body->str,
	    request->answer_body->len);
	/* Nothing more is buffered, as the response has begun. */
	g_string_free(request->answer_body, true);
	request->answer_body = g_string_new(NULL);
	client_hold_clear(&request->answer_hold);
}

/// Server callback: all bytes were sent to the caller. Resumes reading from the
/// upstream.
static void
on_drained(void *owner)
{
	struct entry_request *request = owner;

	if (request->exchange != NULL)
		exchange_set_paused(request->exchange, false);
}

/// Exchange callback: bytes of an answer's body have arrived.
static void
on_body(void *owner, const char *data, size_t len)
{
	struct entry_request *request = entry_request_ref(owner);

	request->heard_at = g_get_monotonic_time();
	if (!request->is_stream) {
		handle_plain_body(request, data, len);
	} else if (!event_splitter_feed(
		       &request->splitter, data, len, on_event, request) &&
	    !request->is_done) {
		entry_request_cancel_exchange(request);
		answer_vtable()->failed(request, EXCHANGE_GARBLED);
	}
	if (!request->is_done && request->exchange != NULL &&
	    http_call_unsent_bytes(request->call) >
		http_call_buffer_max(request->call, ANSWER_UNSENT_BYTES_MAX)) {
		exchange_set_paused(request->exchange, true);
		http_call_on_drain(request->call, on_drained, request);
	}
	entry_request_unref(request);
}

/// Checks whether an answer reports an error that a retry at another upstream
/// may avoid.
static bool
is_retryable_error(const struct entry_request *request)
{
	return request->answer_head.status >= 500 &&
	    entry_request_is_repeatable(request);
}

/// Retries, refuses or fails a request after an attempt without a complete
/// answer that can't be continued as a stream.
static void
handle_unresumable_failure(
    struct entry_request *request, enum exchange_failure failure)
{
	const char *reason = exchange_failure_name(failure);

	g_string_truncate(request->answer_body, 0);
	if (failure == EXCHANGE_UNREACHABLE) {
		/* No byte was sent, so this doesn't count as an attempt. */
		request->attempts--;
		request->n_unreachable++;
		if (request->n_tried < DISPATCH_TRIED_MAX)
			entry_request_place(request);
		else if (!forwarding_start(request))
			entry_request_refuse(
			    request, RETRY_AFTER_NO_UPSTREAM, reason);
		return;
	}
	request->verdict =
	    verdict_raise(request->verdict, VERDICT_MAY_HAVE_RUN);
	if (!request->response_started &&
	    entry_request_is_repeatable(request) && acquire_retry(request))
		entry_request_place(request);
	else
		entry_request_fail(request, 502, reason);
}

/// Exchange callback: the exchange ended without a complete answer.
static void
on_failed(void *owner, enum exchange_failure failure)
{
	struct entry_request *request = entry_request_ref(owner);
	char *segments = entry_request_format_segments(
	    request->params.segments, request->params.n_segments);
	bool was_down;

	request->exchange = NULL;
	log_event(LOG_LEVEL_WARN, "attempt-failed",
	    "id=%s upstream=%s attempt=%u reason=%s age_ms=%" G_GINT64_FORMAT
	    " last_event=%" G_GINT64_FORMAT " began=%d events=%u segments=%s"
	    " fingerprint=%016" G_GINT64_MODIFIER "x",
	    request->params.id, request->target.id, request->attempts,
	    exchange_failure_name(failure),
	    (g_get_monotonic_time() - request->sent_at) / USEC_PER_MSEC,
	    request->last_event_id, request->answer_began,
	    request->events_of_attempt, segments, request->fingerprint);
	g_free(segments);
	if (request->is_forwarding) {
		entry_request_cancel_exchange(request);
		forwarding_handle_failure(request, failure);
		entry_request_unref(request);
		return;
	}
	reach_monitor_note_failed(request);
	version_check_note_cut(request);
	resumption_note_broken(request);
	if (failure == EXCHANGE_UNREACHABLE)
		record_result(request, OUTLIER_UNREACHABLE);
	else if (!continuation_is_in_progress(request))
		record_result(request, OUTLIER_BROKEN);
	was_down = request_guard_note_failed(request);
	if (failure == EXCHANGE_CUT || failure == EXCHANGE_NO_ANSWER)
		crash_probes_note_cut(request, was_down);
	entry_request_cancel_exchange(request);
	if (request->is_resuming && failure == EXCHANGE_UNREACHABLE)
		continuation_handle_not_taken(
		    request, "resume-unreachable", false);
	else if (request->route->kind == ROUTE_STREAM &&
	    (request->is_stream || continuation_is_in_progress(request)) &&
	    failure != EXCHANGE_UNREACHABLE)
		continuation_handle_cut(
		    request, exchange_failure_name(failure));
	else
		handle_unresumable_failure(request, failure);
	entry_request_unref(request);
}

/// Checks whether a stream whose message is complete was broken off: it ends
/// within an event, or this answer has no event and nothing but the end of the
/// connection marks its end. With a length or a last chunk, the upstream states
/// that there are no more events.
static bool
is_stream_broken_off(const struct entry_request *request)
{
	if (!request->is_stream)
		return false;
	return event_splitter_is_within_event(&request->splitter) ||
	    (request->events_of_attempt == 0 &&
		exchange_ends_with_connection(request->exchange));
}

/// Passes on the end of a complete answer, or sends the request to another
/// upstream if the answer is an error that this may avoid.
///
/// @param request  request without an exchange; the caller holds a reference
void
answer_complete(struct entry_request *request)
{
	if (request->is_stream &&
	    event_splitter_pending_len(&request->splitter) > 0) {
		/* Empty lines after the last event. */
		reply_start(request);
		http_call_write_body(request->call,
		    request->splitter.pending->str,
		    request->splitter.pending->len);
	}
	if (request->is_stream && request->output_series != NULL)
		estimate_add_sample(request->output_series,
		    entry_request_count_output_tokens(request));
	record_result(request,
	    request->answer_head.status >= 500 ? OUTLIER_ERROR
					       : OUTLIER_SERVED);
	if (!request->is_stream && request->answer_head.status < 500)
		request_guard_note_answered(request);
	if (!request->response_started && is_retryable_error(request) &&
	    acquire_retry(request)) {
		entry_request_cancel_exchange(request);
		g_string_truncate(request->answer_body, 0);
		entry_request_place(request);
	} else {
		finish_response(request);
	}
}

/// Exchange callback: the answer is complete.
static void
on_complete(void *owner)
{
	struct entry_request *request = entry_request_ref(owner);
	bool ends_with_connection =
	    exchange_ends_with_connection(request->exchange);

	if (is_stream_broken_off(request)) {
		on_failed(request, EXCHANGE_CUT);
		entry_request_unref(request);
		return;
	}
	request->exchange = NULL;
	if (request->is_stream && request->events_of_attempt > 0 &&
	    !ends_with_connection)
		note_survived(request);
	if (!request->is_stream || !ends_with_connection ||
	    !continuation_handle_end(request))
		answer_complete(request);
	entry_request_unref(request);
}

/// Exchange callback: a response on the request's connection isn't its own.
static void
on_skipped(void *owner, const struct http_head *head)
{
	const struct entry_request *request = owner;
	const char *id = http_head_get(head, request->entry->site->id_field);

	log_event(LOG_LEVEL_WARN, "answer-of-other-request",
	    "id=%s upstream=%s status=%u named=%d age_ms=%" G_GINT64_FORMAT
	    " outcome=skipped",
	    request->params.id, request->target.id, head->status, id != NULL,
	    (g_get_monotonic_time() - request->sent_at) / USEC_PER_MSEC);
}

/// @return the callbacks for an exchange that sends a request to an upstream;
///         the exchange's owner must be the struct entry_request
const struct exchange_vtable *
answer_vtable(void)
{
	static const struct exchange_vtable vtable = {
	    .head = on_head,
	    .body = on_body,
	    .complete = on_complete,
	    .failed = on_failed,
	    .skipped = on_skipped,
	};

	return &vtable;
}
