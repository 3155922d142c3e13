/*
 * Life cycle of a caller's request: sends it and ends it with exactly one final
 * answer. entry_request_start.c begins it, entry_request_place.c places it;
 * answer.c handles the answers of upstreams; continuation.c moves generations
 * away from upstreams that are leaving.
 */
#include "godwitvale/entry/entry_request.h"

#include <string.h>

#include "godwitvale/core/hash.h"
#include "godwitvale/entry/entry.h"
#include "godwitvale/entry/entry_metrics.h"
#include "godwitvale/entry/entry_request_defs.h"
#include "godwitvale/entry/forward_fields.h"
#include "godwitvale/entry/reply.h"
#include "godwitvale/entry/reservation.h"
#include "godwitvale/entry/resumption.h"
#include "godwitvale/entry/segment_guard.h"
#include "godwitvale/entry/stream_lookup.h"
#include "godwitvale/entry/version_check.h"
#include "godwitvale/ops/log.h"

/// An upstream that accepts no connection within this time is unreachable.
#define ENTRY_REQUEST_CONNECT_TIMEOUT (600 * USEC_PER_MSEC)

/// Adds a reference.
///
/// @param request  request to keep
/// @return the same request; release with entry_request_unref()
struct entry_request *
entry_request_ref(struct entry_request *request)
{
	request->refs++;
	return request;
}

/// Removes a reference and frees the request if it was the last one.
///
/// @param request  request to release
void
entry_request_unref(struct entry_request *request)
{
	if (--request->refs > 0)
		return;
	if (request->timer != 0)
		g_source_remove(request->timer);
	dispatch_target_clear(&request->target);
	http_head_clear(&request->answer_head);
	g_string_free(request->answer_body, true);
	client_hold_clear(&request->answer_hold);
	event_splitter_clear(&request->splitter);
	deployment_unref(request->deployment);
	g_free((char *)request->params.id);
	g_free(request);
}

/// @param request  request with a deadline
/// @return time until the deadline
usec_t
entry_request_time_left(const struct entry_request *request)
{
	return request->deadline - g_get_monotonic_time();
}

/// Records that a request was sent to an upstream, so that it isn't placed
/// there again. Does nothing after DISPATCH_TRIED_MAX upstreams.
///
/// @param request  request that is sent
/// @param key      hash of the upstream's id
void
entry_request_add_tried(struct entry_request *request, uint64_t key)
{
	if (request->n_tried < DISPATCH_TRIED_MAX)
		request->tried[request->n_tried++] = key;
}

/// Raises the verdict to VERDICT_MAY_HAVE_RUN if bytes of the current attempt
/// may have been sent.
///
/// @param request  request in any state
void
entry_request_note_sent(struct entry_request *request)
{
	if (request->exchange != NULL &&
	    exchange_may_have_sent(request->exchange))
		request->verdict =
		    verdict_raise(request->verdict, VERDICT_MAY_HAVE_RUN);
}

/// Ends the current exchange, if there is one, and removes the request's load
/// from its upstream.
static void
end_exchange(struct entry_request *request)
{
	g_clear_pointer(&request->exchange, exchange_cancel);
	if (request->is_charged)
		entry_request_adjust_load(
		    request, &request->target, &request->charged_load, -1);
	request->is_charged = false;
}

/// Cancels the current exchange, if there is one. Its upstream may have run the
/// request if any byte of it was sent.
///
/// @param request  request in any state
void
entry_request_cancel_exchange(struct entry_request *request)
{
	entry_request_note_sent(request);
	end_exchange(request);
}

/// Cancels the current exchange, whose upstream has stated that it has not run
/// the request.
///
/// @param request  request with an exchange
void
entry_request_cancel_refused_exchange(struct entry_request *request)
{
	end_exchange(request);
}

/// Releases the resources of a request whose final answer was written or
/// aborted, and removes the request from all tables.
static void
remove_request(struct entry_request *request)
{
	struct entry *entry = request->entry;

	request->is_done = true;
	entry_request_cancel_exchange(request);
	continuation_clear(request);
	stream_lookup_clear(request);
	version_check_cancel(request);
	reservation_clear(request);
	entry_request_stop_waiting(request);
	if (request->timer != 0)
		g_source_remove(request->timer);
	request->timer = 0;
	g_hash_table_remove(entry->requests, request);
	entry_schedule_placement(entry);
	/* The caller of this function holds a reference of its own. */
	g_assert(request->refs > 1);
	entry_request_unref(request);
}

/// Ends a request whose final answer was written or aborted.
///
/// @param request  request to end; the caller holds a reference
/// @param status   HTTP status of the answer; 0 if it was aborted
/// @param outcome  one word for the log and the metrics
void
entry_request_finish(
    struct entry_request *request, unsigned status, const char *outcome)
{
	entry_request_note_sent(request);
	entry_request_log_end(request, status, outcome);
	entry_request_record_metrics(request, outcome);
	remove_request(request);
}

/// Refuses a request that has not run and won't run, and names the time after
/// which the caller may retry. A request that may have run fails with status
/// 502 instead, because a retry might run it twice.
///
/// @param request   request to end; the caller holds a reference
/// @param retry_at  earliest time at which a retry may be served; USEC_NEVER:
///                  unknown, `reason` determines the time
/// @param reason    why the request is refused
/// @param outcome   one word for the log and the metrics
void
entry_request_refuse_until(struct entry_request *request, usec_t retry_at,
    enum retry_after_reason reason, const char *outcome)
{
	usec_t target =
	    request->route == NULL ? 0 : request->route->target_latency;
	double jitter = g_random_double();
	usec_t span;

	entry_request_note_sent(request);
	if (request->verdict != VERDICT_NOT_RUN) {
		entry_request_fail(request, 502, outcome);
		return;
	}
	if (retry_at == USEC_NEVER)
		span = retry_after_span(
		    reason, target, entry_request_time_left(request), jitter);
	else
		span = retry_after_spread(
		    retry_at - g_get_monotonic_time(), jitter);
	entry_request_finish(
	    request, reply_send_own(request, 503, reason, span), outcome);
}

/// Refuses a request that has not run and won't run; see
/// entry_request_refuse_until().
///
/// @param request  request to end; the caller holds a reference
/// @param reason   determines the time to retry
/// @param outcome  one word for the log and the metrics
void
entry_request_refuse(struct entry_request *request,
    enum retry_after_reason reason, const char *outcome)
{
	entry_request_refuse_until(request, USEC_NEVER, reason, outcome);
}

/// Ends a request because a quarantine covers it. Cancels its attempt, so that
/// its upstream doesn't begin to answer it.
///
/// @param request  request to end; the caller holds a reference
/// @param outcome  one word for the log and the metrics
void
entry_request_refuse_quarantined(
    struct entry_request *request, const char *outcome)
{
	entry_request_cancel_exchange(request);
	entry_request_refuse(request, RETRY_AFTER_QUARANTINED, outcome);
}

/// Ends a request without success. A response that was started is aborted, so
/// that it can't be mistaken for a complete one.
///
/// @param request  request to end; the caller holds a reference
/// @param status   HTTP status to send if no response was started
/// @param outcome  one word for the log and the metrics
void
entry_request_fail(
    struct entry_request *request, unsigned status, const char *outcome)
{
	if (request->response_started) {
		http_call_abort(request->call);
		status = 0;
	} else {
		status = reply_send_own(
		    request, status, (enum retry_after_reason)0, 0);
	}
	entry_request_finish(request, status, outcome);
}

/// Ends a request that has no final answer at its deadline.
static void
handle_deadline(struct entry_request *request)
{
	entry_request_note_sent(request);
	if (!request->response_started && request->verdict == VERDICT_NOT_RUN)
		entry_request_refuse(
		    request, RETRY_AFTER_UPSTREAMS_FULL, "deadline-not-run");
	else
		entry_request_fail(request, 504, "deadline");
}

/// Refuses a request that has waited for room in vain.
///
/// @param request  request to end; the caller holds a reference
void
entry_request_refuse_without_room(struct entry_request *request)
{
	usec_t retry_at = USEC_NEVER;

	if (entry_request_is_engine_scarce(request))
		retry_at = g_get_monotonic_time() +
		    retry_after_scarce_span(entry_request_time_left(request));
	entry_request_refuse_until(
	    request, retry_at, RETRY_AFTER_UPSTREAMS_FULL, "no-room");
}

/// Loop callback: a time limit has passed or a handover step is due.
static gboolean
on_timer(gpointer data)
{
	struct entry_request *request = entry_request_ref(data);
	usec_t now = g_get_monotonic_time();

	request->timer = 0;
	if (now >= request->deadline) {
		handle_deadline(request);
	} else if (request->is_waiting && now >= request->wait_deadline) {
		entry_request_refuse_without_room(request);
	} else if (request->lookup != NULL) {
		stream_lookup_advance(request);
	} else {
		if (request->exchange != NULL &&
		    !exchange_may_have_sent(request->exchange) &&
		    now >= request->sent_at + ENTRY_REQUEST_CONNECT_TIMEOUT) {
			entry_request_cancel_exchange(request);
			answer_vtable()->failed(request, EXCHANGE_UNREACHABLE);
		} else {
			continuation_advance(request);
		}
		if (!request->is_done)
			entry_request_set_timer(request);
	}
	entry_request_unref(request);
	return G_SOURCE_REMOVE;
}

/// Sets the timer to the earliest of the request's time limits and the next
/// step of its handover.
///
/// @param request  request that isn't done
void
entry_request_set_timer(struct entry_request *request)
{
	usec_t now = g_get_monotonic_time();
	usec_t wake_at =
	    MIN(request->deadline, continuation_wake_time(request));

	wake_at = MIN(wake_at, stream_lookup_wake_time(request));
	if (request->is_waiting)
		wake_at = MIN(wake_at, request->wait_deadline);
	if (request->exchange != NULL &&
	    !exchange_may_have_sent(request->exchange))
		wake_at = MIN(
		    wake_at, request->sent_at + ENTRY_REQUEST_CONNECT_TIMEOUT);
	if (request->timer != 0)
		g_source_remove(request->timer);
	request->timer = g_timeout_add(
	    wake_at <= now ? 0 : (guint)((wake_at - now) / USEC_PER_MSEC + 1),
	    on_timer, request);
}

/// Adds a request's load to its target, and has the other instances told.
///
/// @param request  request with a target; it isn't charged yet
void
entry_request_charge(struct entry_request *request)
{
	request->charged_load = entry_request_estimate_load(request);
	request->is_charged = true;
	entry_request_adjust_load(
	    request, &request->target, &request->charged_load, 1);
	if (request->route->is_generation)
		peers_schedule_load_update(request->entry->peers);
}

/// Sends a request to the upstream in `target`.
///
/// @param request       request without an exchange
/// @param continuation  last event that the caller has, and the copy to resume
///                      from, if any; the other fields are filled in
void
entry_request_send(struct entry_request *request,
    const struct site_upstream_request *continuation)
{
	struct entry *entry = request->entry;
	struct site_upstream_request send = *continuation;
	struct http_head head;
	struct exchange_options options = {
	    .vtable = answer_vtable(),
	    .owner = request,
	    .pool = entry->pool,
	    .address = request->target.address,
	    .head = &head,
	    .echo_field = entry->site->id_field,
	    .echo_value = request->params.id,
	};

	options.body = http_call_body(request->call, &options.body_len);
	send.timeout = entry_request_time_left(request);
	send.upstream_id = request->target.id;
	if (request->reservation[0] != '\0')
		send.reservation = request->reservation;
	send.organisation =
	    request->organisation == NULL ? NULL : request->organisation->name;
	http_head_init(&head);
	entry->site->write_request(http_call_head(request->call), &send, &head);
	forward_fields_remove(&head);
	if (options.body_len > 0 || strcmp(head.method, "GET") != 0)
		http_head_add_number(&head, "Content-Length", options.body_len);
	request->sent_at = g_get_monotonic_time();
	version_check_note_sent(request);
	request->heard_at = request->sent_at;
	if (!request->is_charged)
		entry_request_charge(request);
	event_splitter_reset(&request->splitter);
	g_string_truncate(request->answer_body, 0);
	request->events_of_attempt = 0;
	request->answer_began = false;
	request->has_survived = false;
	request->is_forwarding = false;
	request->is_own_answer = false;
	request->exchange = exchange_start(&options);
	http_head_clear(&head);
	entry_request_set_timer(request);
}

/// Checks whether another attempt may go on with what the caller has: nothing
/// yet, or a stream of events up to a known one.
///
/// @param request  request in any state
/// @return false if any further part could belong to another answer
bool
entry_request_can_go_on(const struct entry_request *request)
{
	return !request->response_started ||
	    (request->is_stream && !request->has_unnumbered_tail);
}

/// Checks whether a request may be sent again although it may have run.
///
/// @param request  request whose route is known
/// @return false if it must run at most once, or if the caller has a part of
///         the answer that no other attempt can continue
bool
entry_request_is_repeatable(const struct entry_request *request)
{
	switch (request->route->kind) {
	case ROUTE_IDEMPOTENT:
		return !request->response_started;
	case ROUTE_STREAM:
		return request->route->resumable &&
		    entry_request_can_go_on(request);
	default:
		return false;
	}
}

/// Checks whether a request may be sent to an upstream again although it may
/// have run: what it asks for may be repeated, it has attempts left, and there
/// is a permit.
///
/// @param request  request whose route is known
/// @return whether entry_request_take_retry_permit() would take a permit for it
bool
entry_request_can_be_retried(const struct entry_request *request)
{
	return entry_request_is_repeatable(request) &&
	    request->attempts < request->route->max_attempts &&
	    dispatch_has_retry_permit(
		request->entry->dispatch, request->service);
}

/// Takes a permit for the next attempt of a request. It holds for one send to
/// an upstream, whichever instance makes it.
///
/// @param request  request that was sent to an upstream before
/// @return false if this instance's share of the retries is used up
bool
entry_request_take_retry_permit(struct entry_request *request)
{
	request->is_counted = dispatch_take_retry_permit(
	    request->entry->dispatch, request->service);
	return request->is_counted;
}

/// Checks whether a request runs at an upstream.
static bool
runs_at(const struct entry_request *request, const char *id)
{
	return request->exchange != NULL && request->target.id != NULL &&
	    strcmp(request->target.id, id) == 0;
}

/// Starts the handover of the generations that run at a leaving upstream.
///
/// @param entry      instance that sent the generations
/// @param id         id of the upstream
/// @param leaves_at  time at which the upstream will be gone; 0 if unknown
/// @return number of requests in flight at the upstream
unsigned
entry_request_handle_leaving_upstream(
    struct entry *entry, const char *id, usec_t leaves_at)
{
	GList *requests = g_hash_table_get_keys(entry->requests);
	unsigned n_requests = 0;

	for (GList *l = requests; l != NULL; l = l->next) {
		struct entry_request *request = l->data;

		if (request->is_done || !runs_at(request, id))
			continue;
		entry_request_ref(request);
		continuation_note_leaving(request, leaves_at);
		entry_request_unref(request);
		n_requests++;
	}
	g_list_free(requests);
	return n_requests;
}

/// Has the generations copied elsewhere whose copy is at an upstream that may
/// get no requests any more, as it leaves or its zone is evacuated.
///
/// @param entry  instance that sent the generations
void
entry_request_check_copy_targets(struct entry *entry)
{
	GList *requests = g_hash_table_get_keys(entry->requests);

	for (GList *l = requests; l != NULL; l = l->next) {
		struct entry_request *request = l->data;

		if (request->is_done || request->copy_target.id == NULL)
			continue;
		entry_request_ref(request);
		continuation_advance(request);
		if (!request->is_done)
			entry_request_set_timer(request);
		entry_request_unref(request);
	}
	g_list_free(requests);
}

/// Checks whether the directory holds an upstream whose entry is missing.
static bool
is_held(const struct entry *entry, const char *id)
{
	const struct upstream_record *record =
	    directory_find(view_directory(entry->view), id);

	return record != NULL && record->missing_deadline != 0;
}

/// Checks whether the upstream of a request is to be asked for its report.
static bool
is_to_report(const struct entry_request *request, bool held_only)
{
	if (version_check_is_open(request))
		return true;
	return request->exchange != NULL &&
	    continuation_is_supported(request) &&
	    (!held_only || is_held(request->entry, request->target.id));
}

/// Lists the engines that run generations of this instance which can be handed
/// over, or go on elsewhere once the engine has confirmed its start.
///
/// @param entry      instance that sent the generations
/// @param held_only  of the first kind list only upstreams whose entries were
///                   deleted around an outage of the store
/// @return id -> address; free with g_hash_table_unref()
GHashTable *
entry_request_list_engines(struct entry *entry, bool held_only)
{
	GHashTable *engines =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, entry->requests);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct entry_request *request = key;

		if (is_to_report(request, held_only))
			g_hash_table_replace(engines,
			    g_strdup(request->target.id),
			    g_strdup(request->target.address));
	}
	return engines;
}

/// Ends all requests without success, because the process ends.
///
/// @param entry  instance that shuts down
void
entry_request_abort_all(struct entry *entry)
{
	GList *requests = g_hash_table_get_keys(entry->requests);

	for (GList *l = requests; l != NULL; l = l->next) {
		struct entry_request *request = l->data;

		entry_request_ref(request);
		if (!request->is_done)
			entry_request_fail(request, 502, "process-ends");
		entry_request_unref(request);
	}
	g_list_free(requests);
}
