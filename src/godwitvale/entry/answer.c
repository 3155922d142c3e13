/*
 * Answers of upstreams: what is passed on to the caller, and what follows
 * when none comes or it breaks off.
 */
#include <string.h>

#include "godwitvale/entry/meters.h"
#include "godwitvale/entry/rq_defs.h"
#include "godwitvale/ops/log.h"

/// Longest answer that is taken whole before any of it is passed on, in
/// bytes. A shorter one that breaks off can still be repeated.
#define ANSWER_WHOLE_BYTES (256 * 1024)
/// Bytes that a caller may leave untaken before its upstream is held back.
#define ANSWER_AHEAD_BYTES (256 * 1024)

/// Events after which the expected length of a generation is looked at anew.
#define ANSWER_GROW_EVENTS 32

/// Begins the answer to the caller.
static void
begin(struct entry_request *request)
{
	if (request->begun)
		return;
	request->begun = true;
	http_call_begin(request->call, &request->answer);
}

/// Ends a request whose answer is complete.
static void
complete(struct entry_request *request)
{
	struct http_call *call = request->call;

	if (request->begun)
		http_call_end(call);
	else
		http_call_answer(call, &request->answer, request->body->str,
		    request->body->len);
	rq_done(request, request->answer.status, "answered");
}

/// Tells the dispatch what the current attempt came to.
static void
sign(struct entry_request *request, enum outlier_result what)
{
	static const char *const names[] = {
	    [OUTLIER_SERVED] = "served",
	    [OUTLIER_ERROR] = "error",
	    [OUTLIER_BROKEN] = "broken",
	    [OUTLIER_UNREACHABLE] = "unreachable",
	};

	series_add(&meter_attempts, request->service, names[what], 1);
	dispatch_record_result(
	    request->entry->dispatch, &request->target, what);
}

/// Whether the request may be sent to another upstream.
static bool
can_repeat(struct entry_request *request)
{
	if (request->begun && !request->is_stream)
		return false;
	if (request->attempts >= request->route->max_attempts)
		return false;
	return dispatch_take_retry_permit(
	    request->entry->dispatch, request->service);
}

/// The upstream has not run the request: sends it elsewhere, or refuses it.
static void
take_not_run(struct entry_request *request, const struct site_answer *facts)
{
	struct dispatch *dispatch = request->entry->dispatch;

	log_event(LOG_LEVEL_INFO, "upstream-refused",
	    "id=%s upstream=%s misdirected=%d attempt=%u "
	    "age_ms=%" G_GINT64_FORMAT,
	    request->facts.id, request->target.id, facts->misdirected,
	    request->attempts,
	    (g_get_monotonic_time() - request->sent_at) / USEC_PER_MSEC);
	series_add(&meter_attempts, request->service,
	    facts->misdirected ? "misdirected" : "refused", 1);
	if (facts->misdirected) {
		dispatch_set_misdirected(dispatch, &request->target);
		/* It was meant for another one: no attempt was made. */
		request->attempts--;
	} else {
		dispatch_set_full(dispatch, &request->target);
	}
	rq_drop_exchange(request);
	if (request->resuming) {
		continuation_refused(request, "resume-refused");
		return;
	}
	if (can_repeat(request))
		rq_place(request);
	else
		rq_refuse(request, RETRY_AFTER_UPSTREAMS_FULL, "upstream-full");
}

/// Whether an answer can't go on with a stream whose events the caller has: it
/// must not be passed on, as its end would look like the stream's.
static bool
is_unfit(const struct entry_request *request, const struct http_head *head,
    const struct site_answer *facts)
{
	return request->begun && request->is_stream &&
	    (head->status != 200 || !facts->is_stream);
}

/// The upstream answers something else than the rest of a stream.
static void
take_unfit(struct entry_request *request, const struct http_head *head)
{
	log_event(LOG_LEVEL_WARN, "answer-unfit",
	    "id=%s upstream=%s status=%u last_event=%" G_GINT64_FORMAT
	    " outcome=dropped",
	    request->facts.id, request->target.id, head->status,
	    request->last_event);
	sign(request, OUTLIER_ERROR);
	rq_drop_exchange(request);
	continuation_refused(request, "resume-failed");
}

/// Exchange callback: the head of an answer.
static void
on_head(void *owner, const struct http_head *head)
{
	struct entry_request *request = rq_ref(owner);
	struct site_answer facts;

	request->entry->site->read_answer(head, &facts);
	if (facts.not_run) {
		take_not_run(request, &facts);
		goto out;
	}
	request->verdict = verdict_raise(request->verdict, VERDICT_RAN);
	if (head->status / 100 == 2 && !facts.is_signed) {
		log_event(LOG_LEVEL_WARN, "answer-unsigned",
		    "id=%s upstream=%s status=%u outcome=dropped",
		    request->facts.id, request->target.id, head->status);
		rq_drop_exchange(request);
		answer_vtable()->failed(request, EXCHANGE_GARBLED);
		goto out;
	}
	if (is_unfit(request, head, &facts)) {
		take_unfit(request, head);
		goto out;
	}
	if (request->begun)
		goto out; /* goes on: the first head stands */
	http_head_clear(&request->answer);
	http_head_init(&request->answer);
	request->answer.status = head->status;
	http_head_copy_end_to_end(&request->answer, head);
	request->is_stream = facts.is_stream && head->status == 200;
out:
	rq_unref(request);
}

/// The first event of an attempt has come: its prompt was read.
static void
take_first_event(struct entry_request *request)
{
	const struct load prompt = {
	    .prompt_tokens = request->charged.prompt_tokens};

	if (request->is_charged && request->charged.prompt_tokens != 0) {
		dispatch_adjust_load(
		    request->entry->dispatch, &request->target, &prompt, -1);
		request->charged.prompt_tokens = 0;
	}
	if (request->resuming)
		continuation_resumed(request);
	if (request->first_event_at == 0)
		request->first_event_at = g_get_monotonic_time();
}

/// Takes the span since the last event.
static void
note_span(struct entry_request *request)
{
	usec_t now = g_get_monotonic_time();
	usec_t span = now - request->last_event_at;

	if (request->last_event_at != 0) {
		request->longest_gap = MAX(request->longest_gap, span);
		/* The first event of a run tells of its start. */
		if (request->events_of_run > 0)
			dispatch_record_event_interval(request->entry->dispatch,
			    request->service, &request->target, span);
	}
	request->events_of_run++;
	request->last_event_at = now;
}

/// Splitter callback: one whole event.
///
/// @return false when the stream can't go on
static bool
on_event(void *owner, const struct event *event)
{
	struct entry_request *request = owner;

	if (request->done)
		return false;
	if (event->has_id && request->last_event != SITE_NO_EVENT) {
		if ((int64_t)event->id <= request->last_event)
			return true; /* the caller has it */
		if ((int64_t)event->id > request->last_event + 1) {
			log_event(LOG_LEVEL_WARN, "event-missing",
			    "id=%s upstream=%s last=%" G_GINT64_FORMAT
			    " next=%" G_GUINT64_FORMAT,
			    request->facts.id, request->target.id,
			    request->last_event, event->id);
			return false;
		}
	}
	take_first_event(request);
	begin(request);
	http_call_write(request->call, event->bytes, event->len);
	if (event->has_id)
		request->last_event = (int64_t)event->id;
	request->events++;
	note_span(request);
	if (request->events % ANSWER_GROW_EVENTS == 0)
		rq_grow(request);
	return true;
}

/// Takes bytes of an answer that isn't a stream of events.
static void
take_plain(struct entry_request *request, const char *data, size_t len)
{
	if (request->begun) {
		http_call_write(request->call, data, len);
		return;
	}
	g_string_append_len(request->body, data, (gssize)len);
	if (request->body->len <= ANSWER_WHOLE_BYTES)
		return;
	begin(request);
	http_call_write(request->call, request->body->str, request->body->len);
	g_string_truncate(request->body, 0);
}

/// Server callback: the caller has taken all, so that its upstream may go on.
static void
on_drained(void *owner)
{
	struct entry_request *request = owner;

	if (request->exchange != NULL)
		exchange_pause(request->exchange, false);
}

/// Exchange callback: bytes of an answer.
static void
on_body(void *owner, const char *data, size_t len)
{
	struct entry_request *request = rq_ref(owner);

	if (!request->is_stream) {
		take_plain(request, data, len);
	} else if (!event_splitter_feed(
		       &request->splitter, data, len, on_event, request) &&
	    !request->done) {
		rq_drop_exchange(request);
		rq_fail(request, 502, "stream-broken");
	}
	if (!request->done && request->exchange != NULL &&
	    http_call_unsent(request->call) > ANSWER_AHEAD_BYTES) {
		exchange_pause(request->exchange, true);
		http_call_on_drained(request->call, on_drained, request);
	}
	rq_unref(request);
}

/// Whether an answer reports an error that another upstream may not have.
static bool
is_worth_repeating(const struct entry_request *request)
{
	return request->answer.status >= 500 && rq_may_repeat(request);
}

/// Exchange callback: the answer is complete.
static void
on_complete(void *owner)
{
	struct entry_request *request = rq_ref(owner);

	request->exchange = NULL;
	if (request->is_stream &&
	    event_splitter_pending(&request->splitter) > 0) {
		/* The last event lacks its empty line. */
		begin(request);
		http_call_write(request->call, request->splitter.pending->str,
		    request->splitter.pending->len);
	}
	if (request->is_stream && request->series != NULL)
		estimate_add_sample(request->series, rq_tokens_made(request));
	sign(request,
	    request->answer.status >= 500 ? OUTLIER_ERROR : OUTLIER_SERVED);
	if (!request->begun && is_worth_repeating(request) &&
	    can_repeat(request)) {
		rq_drop_exchange(request);
		g_string_truncate(request->body, 0);
		rq_place(request);
	} else {
		complete(request);
	}
	rq_unref(request);
}

/// What follows when a plain request got no complete answer.
static void
take_plain_failure(struct entry_request *request, enum exchange_failure failure)
{
	const char *why = exchange_failure_name(failure);

	g_string_truncate(request->body, 0);
	if (failure == EXCHANGE_UNREACHABLE) {
		/* Nothing has left, so that no attempt was made. */
		request->attempts--;
		if (request->n_tried < DISPATCH_TRIED_MAX)
			rq_place(request);
		else
			rq_refuse(request, RETRY_AFTER_NO_UPSTREAM, why);
		return;
	}
	request->verdict =
	    verdict_raise(request->verdict, VERDICT_MAY_HAVE_RUN);
	if (!request->begun && rq_may_repeat(request) && can_repeat(request))
		rq_place(request);
	else
		rq_fail(request, 502, why);
}

/// Exchange callback: no complete answer.
static void
on_failed(void *owner, enum exchange_failure failure)
{
	struct entry_request *request = rq_ref(owner);

	request->exchange = NULL;
	log_event(LOG_LEVEL_WARN, "attempt-failed",
	    "id=%s upstream=%s attempt=%u reason=%s age_ms=%" G_GINT64_FORMAT
	    " last_event=%" G_GINT64_FORMAT,
	    request->facts.id, request->target.id, request->attempts,
	    exchange_failure_name(failure),
	    (g_get_monotonic_time() - request->sent_at) / USEC_PER_MSEC,
	    request->last_event);
	if (failure == EXCHANGE_UNREACHABLE)
		sign(request, OUTLIER_UNREACHABLE);
	else if (!continuation_is_possible(request))
		sign(request, OUTLIER_BROKEN);
	rq_drop_exchange(request);
	if (request->resuming && failure == EXCHANGE_UNREACHABLE)
		continuation_refused(request, "resume-refused");
	else if (request->route->kind == ROUTE_STREAM &&
	    (request->is_stream || continuation_is_possible(request)) &&
	    failure != EXCHANGE_UNREACHABLE)
		continuation_cut(request, exchange_failure_name(failure));
	else
		take_plain_failure(request, failure);
	rq_unref(request);
}

/// @return the callbacks that take the answers to requests
const struct exchange_vtable *
answer_vtable(void)
{
	static const struct exchange_vtable vtable = {
	    .head = on_head,
	    .body = on_body,
	    .complete = on_complete,
	    .failed = on_failed,
	};

	return &vtable;
}
