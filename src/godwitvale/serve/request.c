/* Table of the requests in progress, and the answers that callers get. */
#include "godwitvale/serve/request.h"

#include <string.h>

#include <json-c/json.h>

#include "godwitvale/core/verdict.h"
#include "godwitvale/ops/log.h"
#include "godwitvale/ops/metrics.h"
#include "godwitvale/upstream/generation.h"

/// Bits of a handle that hold its place in the table.
#define HANDLE_INDEX_BITS 20
#define HANDLE_INDEX_MASK ((1u << HANDLE_INDEX_BITS) - 1)

static uint64_t last_serial;

/// Finds a free place in the table.
///
/// @param requests  the table; grown where it is full
/// @return an index
static guint
free_index(GPtrArray *requests)
{
	for (guint i = 0; i < requests->len; i++) {
		if (g_ptr_array_index(requests, i) == NULL)
			return i;
	}
	g_ptr_array_add(requests, NULL);
	return requests->len - 1;
}

/// Releases a request and its place in the table.
///
/// @param request  a request whose caller is gone or answered
static void
request_free(struct request *request)
{
	GPtrArray *table = request->instance->requests;

	table->pdata[request->handle & HANDLE_INDEX_MASK] = NULL;
	if (request->message != NULL) {
		g_signal_handler_disconnect(
		    request->message, request->finished_signal);
		g_object_unref(request->message);
	}
	g_cancellable_cancel(request->cancellable);
	g_object_unref(request->cancellable);
	g_clear_pointer(&request->body, g_bytes_unref);
	g_free(request->path);
	g_free(request->target);
	g_free(request->end_chunk);
	g_string_free(request->text, TRUE);
	g_string_free(request->pending, TRUE);
	g_free(request);
}

/// Takes the end of the exchange with the caller, whole or broken off.
///
/// @param message  the exchange
/// @param data     the request
static void
on_caller_finished(SoupServerMessage *message, gpointer data)
{
	struct request *request = data;
	enum router_outcome end =
	    request->answered ? ROUTER_OUTCOME_DONE : ROUTER_OUTCOME_CANCELLED;

	(void)message;
	if (request->kind == REQUEST_CALL && !request->idempotent &&
	    !request->answered && request->granted) {
		/* The call goes on: its outcome serves a repeat. */
		g_signal_handler_disconnect(
		    request->message, request->finished_signal);
		g_clear_object(&request->message);
		return;
	}
	if (request->kind == REQUEST_GENERATION && request->upstream != 0)
		generation_abandon(request);
	request_leave_router(request, end, request->relay.next_offset);
	request_settle_claim(request);
	request_free(request);
}

/// Sets what every answer carries.
///
/// @param request  the request
/// @param status   HTTP status
static void
set_answer_headers(struct request *request, unsigned status)
{
	SoupMessageHeaders *headers =
	    soup_server_message_get_response_headers(request->message);

	soup_server_message_set_status(request->message, status, NULL);
	soup_message_headers_replace(
	    headers, "X-Verdict", verdict_name(request->verdict));
	if (request->instance->draining)
		soup_message_headers_replace(headers, "Connection", "close");
}

/// Enters a caller's request into the table.
///
/// @param instance  the instance
/// @param message   the exchange; it is paused until an answer is there
/// @return the request, at the first filter
struct request *
request_new(struct instance *instance, SoupServerMessage *message)
{
	struct request *request = g_new0(struct request, 1);
	guint index = free_index(instance->requests);

	request->instance = instance;
	request->stage = request_filters;
	request->message = g_object_ref(message);
	request->cancellable = g_cancellable_new();
	request->text = g_string_new(NULL);
	request->pending = g_string_new(NULL);
	request->handle = (++last_serial << HANDLE_INDEX_BITS) | index;
	request->finished_signal = g_signal_connect(
	    message, "finished", G_CALLBACK(on_caller_finished), request);
	instance->requests->pdata[index] = request;
	soup_server_message_pause(message);
	return request;
}

/// Finds a request by its handle.
///
/// @param instance  the instance
/// @param handle    a handle, perhaps of a request that has ended
/// @return the request, or NULL
struct request *
request_find(struct instance *instance, request_handle handle)
{
	guint index = handle & HANDLE_INDEX_MASK;
	struct request *request;

	if (index >= instance->requests->len)
		return NULL;
	request = g_ptr_array_index(instance->requests, index);
	return request != NULL && request->handle == handle ? request : NULL;
}

/// Finds a request by the router's handle of it.
///
/// @param instance  the instance
/// @param routed    the router's handle
/// @return the request, or NULL
struct request *
request_find_routed(struct instance *instance, router_request routed)
{
	for (guint i = 0; i < instance->requests->len; i++) {
		struct request *request =
		    g_ptr_array_index(instance->requests, i);

		if (request != NULL && request->routed == routed)
			return request;
	}
	return NULL;
}

/// Finds a request by its claim.
///
/// @param instance  the instance
/// @param ticket    the claim
/// @return the request, or NULL
struct request *
request_find_ticket(struct instance *instance, quorum_ticket ticket)
{
	for (guint i = 0; i < instance->requests->len; i++) {
		struct request *request =
		    g_ptr_array_index(instance->requests, i);

		if (request != NULL && request->ticket == ticket)
			return request;
	}
	return NULL;
}

/// Counts the requests in progress.
///
/// @param instance  the instance
/// @return their number
unsigned
request_count(const struct instance *instance)
{
	unsigned count = 0;

	for (guint i = 0; i < instance->requests->len; i++)
		count += g_ptr_array_index(instance->requests, i) != NULL;
	return count;
}

/// Runs a request's filters until one waits or answers.
///
/// @param request  the request; may be gone afterwards
void
request_advance(struct request *request)
{
	enum filter_result result;

	do {
		const struct filter *filter = request->stage;

		g_assert(filter->run != NULL);
		request->stage++;
		result = filter->run(request);
	} while (result == FILTER_NEXT);
}

/// Queues a request whose sending failed once more, where budget and verdict
/// allow it.
///
/// @param request  the request
/// @param end      how the sending ended: ROUTER_OUTCOME_FAILED or _BUSY
/// @return false when the caller is to get its final answer now
bool
request_retry(struct request *request, enum router_outcome end)
{
	struct router *router = request->instance->router;
	usec_t now = g_get_monotonic_time();

	router_finish(
	    router, now, request->routed, end, request->relay.next_offset);
	if (!router_retry(router, now, request->routed, request->verdict)) {
		request->routed = 0;
		return false;
	}
	metrics_add(METRIC_RETRIES, 1);
	request_settle_claim(request);
	request->upstream = 0;
	request->granted = false;
	request->stage = request_placed_filter;
	return true;
}

/// Formats a refusal as callers get it.
///
/// @param request  the request
/// @param words    what the refusal says
/// @param detail   more for a person, or NULL
/// @return JSON text; the caller frees it
static char *
format_refusal(const struct request *request, const struct refusal_words *words,
    const char *detail)
{
	struct json_object *root = json_object_new_object();
	struct json_object *error = json_object_new_object();
	char *text;

	json_object_object_add(
	    error, "type", json_object_new_string(words->type));
	json_object_object_add(error, "message",
	    json_object_new_string(detail == NULL ? words->message : detail));
	json_object_object_add(error, "verdict",
	    json_object_new_string(verdict_name(request->verdict)));
	json_object_object_add(root, "error", error);
	text = g_strdup(
	    json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN));
	json_object_put(root);
	return text;
}

/// Says when to come back, in whole seconds.
///
/// @param request   the request
/// @param retry_at  the time
static void
set_retry_after(struct request *request, usec_t retry_at)
{
	usec_t left = MAX(retry_at - g_get_monotonic_time(), 1);
	char seconds[24];

	g_snprintf(seconds, sizeof(seconds), "%" G_GINT64_FORMAT,
	    (left + USEC_PER_SEC - 1) / USEC_PER_SEC);
	soup_message_headers_replace(
	    soup_server_message_get_response_headers(request->message),
	    "Retry-After", seconds);
}

/// Tells whether an earlier arrival of a call may have run for all that is
/// known here: neither was it granted, nor did the voters tell.
///
/// @param request  the request
/// @param refusal  why it is refused
/// @return true when "not run" can't be claimed
static bool
in_doubt(const struct request *request, enum refusal refusal)
{
	if (request->kind != REQUEST_CALL || request->idempotent ||
	    request->denied)
		return false;
	/* Once a grant has lapsed, a repeat may have got one of its own. */
	if (request->granted && request->ticket != 0 &&
	    quorum_may_act(request->instance->quorum, g_get_monotonic_time(),
		request->ticket))
		return false;
	return request->key.kind != 0 || refusal == REFUSAL_NO_BUNDLE ||
	    refusal == REFUSAL_TOO_MANY || refusal == REFUSAL_ISOLATED;
}

/// Refuses a request that has not been sent. Where an earlier arrival may have
/// run, the voters are asked first, so that the verdict is true.
///
/// @param request   the request
/// @param refusal   why
/// @param retry_at  when to come back
void
request_refuse_checked(
    struct request *request, enum refusal refusal, usec_t retry_at)
{
	struct quorum_claim_options options = {0};

	if (request->key.kind == 0 || !in_doubt(request, refusal)) {
		request_refuse(request, refusal, retry_at, NULL);
		return;
	}
	request->refusing = true;
	request->refusal = refusal;
	request->retry_at = retry_at;
	request->ticket = quorum_start_claim(request->instance->quorum,
	    g_get_monotonic_time(), &request->key, &options);
}

/// Gives the final answer, at once, to a request that is refused or failed.
///
/// @param request   the request; its verdict goes into the answer
/// @param refusal   why
/// @param retry_at  when to come back, where that can help
/// @param detail    more for a person, or NULL
void
request_refuse(struct request *request, enum refusal refusal, usec_t retry_at,
    const char *detail)
{
	const struct refusal_words *words = refusal_words(refusal);
	char *text;
	GBytes *body;

	if (in_doubt(request, refusal))
		request->verdict =
		    verdict_raise(request->verdict, VERDICT_MAY_HAVE_RUN);
	text = format_refusal(request, words, detail);
	log_event(LOG_LEVEL_INFO, "refused", "type=%s verdict=%s target=%s",
	    words->type, verdict_name(request->verdict),
	    request->target == NULL ? "-" : request->target);
	metrics_add(words->metric, 1);
	if (request->headers_sent) {
		g_string_append_printf(
		    request->pending, "event: error\ndata: %s\n\n", text);
		g_free(text);
		request_stream_end(request);
		return;
	}
	if (request->message != NULL && words->retry)
		set_retry_after(request, retry_at);
	body = g_bytes_new_take(text, strlen(text));
	request_answer(request, words->status, "application/json", body);
	g_bytes_unref(body);
}

/// Notes that a request has its final answer.
///
/// @param request  the request; it no longer counts at the router
static void
note_answered(struct request *request)
{
	static const enum metric metrics[] = {
	    [VERDICT_NOT_RUN] = METRIC_ENDED_NOT_RUN,
	    [VERDICT_MAY_HAVE_RUN] = METRIC_ENDED_MAY_HAVE_RUN,
	    [VERDICT_RAN] = METRIC_ENDED_RAN,
	};

	g_assert(!request->answered);
	request->answered = true;
	metrics_add(metrics[request->verdict], 1);
	if (request->key.kind != 0 && request->verdict == VERDICT_MAY_HAVE_RUN)
		metrics_add(METRIC_ORDERS_MAY_HAVE_RUN, 1);
	request_leave_router(
	    request, ROUTER_OUTCOME_DONE, request->relay.next_offset);
}

/// Gives the final answer to a request in one piece.
///
/// @param request       the request
/// @param status        HTTP status
/// @param content_type  type of the body, or NULL
/// @param body          the body
void
request_answer(struct request *request, unsigned status,
    const char *content_type, GBytes *body)
{
	SoupMessageBody *out;

	request_settle_claim(request);
	note_answered(request);
	if (request->message == NULL) {
		request_free(request);
		return;
	}
	set_answer_headers(request, status);
	out = soup_server_message_get_response_body(request->message);
	if (content_type != NULL)
		soup_message_headers_replace(
		    soup_server_message_get_response_headers(request->message),
		    "Content-Type", content_type);
	soup_message_body_append_bytes(out, body);
	soup_message_body_complete(out);
	soup_server_message_unpause(request->message);
}

/// Sends the headers of a streamed answer.
///
/// @param request  the request
void
request_stream_begin(struct request *request)
{
	SoupMessageHeaders *headers;
	bool old = soup_server_message_get_http_version(request->message) ==
	    SOUP_HTTP_1_0;

	if (request->headers_sent)
		return;
	request->headers_sent = true;
	set_answer_headers(request, SOUP_STATUS_OK);
	headers = soup_server_message_get_response_headers(request->message);
	soup_message_headers_replace(
	    headers, "Content-Type", "text/event-stream");
	soup_message_headers_replace(headers, "Cache-Control", "no-store");
	soup_message_headers_set_encoding(
	    headers, old ? SOUP_ENCODING_EOF : SOUP_ENCODING_CHUNKED);
	soup_message_body_set_accumulate(
	    soup_server_message_get_response_body(request->message), FALSE);
}

/// Adds bytes to a streamed answer; request_stream_flush() sends them.
///
/// @param request  the request
/// @param data     first byte
/// @param len      number of bytes
void
request_stream_write(struct request *request, const char *data, size_t len)
{
	g_string_append_len(request->pending, data, len);
}

/// Sends the bytes of a streamed answer that wait.
///
/// @param request  the request
void
request_stream_flush(struct request *request)
{
	GBytes *chunk;

	if (request->pending->len == 0 || request->message == NULL)
		return;
	request_stream_begin(request);
	chunk = g_string_free_to_bytes(request->pending);
	request->pending = g_string_new(NULL);
	soup_message_body_append_bytes(
	    soup_server_message_get_response_body(request->message), chunk);
	g_bytes_unref(chunk);
	soup_server_message_unpause(request->message);
}

/// Ends a streamed answer.
///
/// @param request  the request
void
request_stream_end(struct request *request)
{
	request_stream_flush(request);
	note_answered(request);
	soup_message_body_complete(
	    soup_server_message_get_response_body(request->message));
	soup_server_message_unpause(request->message);
}

/// Tells the router that a request no longer uses its upstream.
///
/// @param request  the request
/// @param end      how it ended
/// @param tokens   tokens generated
void
request_leave_router(
    struct request *request, enum router_outcome end, uint32_t tokens)
{
	if (request->routed == 0)
		return;
	router_finish(request->instance->router, g_get_monotonic_time(),
	    request->routed, end, tokens);
	request->routed = 0;
}

/// Records what became of a claimed call, so that repeats hear of it.
///
/// @param request  the request; nothing happens unless it has a claim
void
request_settle_claim(struct request *request)
{
	usec_t now = g_get_monotonic_time();
	struct quorum *quorum = request->instance->quorum;

	if (request->ticket == 0)
		return;
	if (request->granted && request->verdict != VERDICT_NOT_RUN)
		quorum_report_outcome(
		    quorum, now, request->ticket, request->verdict);
	else
		quorum_release_claim(quorum, now, request->ticket);
	request->ticket = 0;
}
