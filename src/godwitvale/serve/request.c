/*
 * Keeps the table of the requests in progress, runs their filters, and sends
 * answers and refusals to callers.
 */
#include "godwitvale/serve/request.h"

#include <string.h>

#include <json-c/json.h>

#include "godwitvale/core/verdict.h"
#include "godwitvale/ops/log.h"
#include "godwitvale/ops/metrics.h"
#include "godwitvale/upstream/generation.h"

/// Number of low bits of a handle that hold the index in the table; the other
/// bits hold a serial number.
#define HANDLE_INDEX_BITS 20
#define HANDLE_INDEX_MASK ((1u << HANDLE_INDEX_BITS) - 1)

static uint64_t last_serial;

/// Finds a free entry in the table, or appends one.
///
/// @param requests  table of the requests
/// @return index of an entry that is NULL
static guint
find_free_index(GPtrArray *requests)
{
	for (guint i = 0; i < requests->len; i++) {
		if (g_ptr_array_index(requests, i) == NULL)
			return i;
	}
	g_ptr_array_add(requests, NULL);
	return requests->len - 1;
}

/// Frees a request and its entry in the table, and cancels its attempt.
///
/// @param request  a request whose caller has disconnected or has its answer
static void
request_free(struct request *request)
{
	GPtrArray *table = request->instance->requests;

	table->pdata[request->handle & HANDLE_INDEX_MASK] = NULL;
	if (request->message != NULL) {
		g_signal_handler_disconnect(
		    request->message, request->finished_handler_id);
		g_object_unref(request->message);
	}
	g_cancellable_cancel(request->cancellable);
	g_object_unref(request->cancellable);
	g_clear_pointer(&request->body, g_bytes_unref);
	g_free(request->path);
	g_free(request->target);
	g_free(request->end_event_data);
	g_string_free(request->answer_text, TRUE);
	g_string_free(request->unsent, TRUE);
	g_free(request);
}

/// Handles the end of the HTTP exchange with the caller, whether the answer was
/// sent completely or the connection failed.
///
/// @param message  HTTP exchange with the caller; unused
/// @param data     the request
static void
on_exchange_finished(SoupServerMessage *message, gpointer data)
{
	struct request *request = data;
	enum router_outcome outcome =
	    request->answered ? ROUTER_OUTCOME_DONE : ROUTER_OUTCOME_CANCELLED;

	(void)message;
	if (request->kind == REQUEST_CALL && !request->idempotent &&
	    !request->answered && request->claim_granted) {
		/* Keep the call running; a repeat of it gets its answer. */
		g_signal_handler_disconnect(
		    request->message, request->finished_handler_id);
		g_clear_object(&request->message);
		return;
	}
	if (request->kind == REQUEST_GENERATION && request->upstream != 0)
		generation_cancel(request);
	request_report_router_outcome(
	    request, outcome, request->relay.next_offset);
	request_close_claim(request);
	request_free(request);
}

/// Sets the status and the headers that every answer has.
///
/// @param request  a request with a connected caller
/// @param status   HTTP status of the answer
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

/// Creates a request for an HTTP exchange and enters it into the table. The
/// exchange is paused until there are bytes of an answer.
///
/// @param instance  owner of the table
/// @param message   HTTP exchange with the caller
/// @return a request whose next filter is the first one; freed when the
///         exchange ends
struct request *
request_new(struct instance *instance, SoupServerMessage *message)
{
	struct request *request = g_new0(struct request, 1);
	guint index = find_free_index(instance->requests);

	request->instance = instance;
	request->stage = request_filters;
	request->message = g_object_ref(message);
	request->cancellable = g_cancellable_new();
	request->answer_text = g_string_new(NULL);
	request->unsent = g_string_new(NULL);
	request->handle = (++last_serial << HANDLE_INDEX_BITS) | index;
	request->finished_handler_id = g_signal_connect(
	    message, "finished", G_CALLBACK(on_exchange_finished), request);
	instance->requests->pdata[index] = request;
	soup_server_message_pause(message);
	return request;
}

/// Finds a request by its handle.
///
/// @param instance  owner of the table
/// @param handle    a handle; its request may have been freed
/// @return the request, or NULL if it has been freed
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

/// Finds a request by the handle that the router assigned to it.
///
/// @param instance  owner of the table
/// @param handle    handle in the router; not 0
/// @return the request, or NULL
struct request *
request_find_by_router_handle(struct instance *instance, router_request handle)
{
	for (guint i = 0; i < instance->requests->len; i++) {
		struct request *request =
		    g_ptr_array_index(instance->requests, i);

		if (request != NULL && request->router_handle == handle)
			return request;
	}
	return NULL;
}

/// Finds the request that made a claim.
///
/// @param instance  owner of the table
/// @param ticket    ticket of the claim; not 0
/// @return the request, or NULL if no request made this claim
struct request *
request_find_by_ticket(struct instance *instance, quorum_ticket ticket)
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
/// @param instance  owner of the table
/// @return number of requests in the table
unsigned
request_count(const struct instance *instance)
{
	unsigned count = 0;

	for (guint i = 0; i < instance->requests->len; i++)
		count += g_ptr_array_index(instance->requests, i) != NULL;
	return count;
}

/// Runs the remaining filters of a request until a filter waits for an event or
/// the request has its final answer.
///
/// @param request  a request with a next filter; may be freed
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

/// Queues a request again after a failed attempt, if the retry budget and the
/// request's verdict allow a retry.
///
/// @param request  a request that was sent to an upstream
/// @param outcome  ROUTER_OUTCOME_FAILED or ROUTER_OUTCOME_BUSY
/// @param verdict  of the attempt that has failed alone
/// @return false if no retry is allowed; the request must be refused now
bool
request_retry(
    struct request *request, enum router_outcome outcome, enum verdict verdict)
{
	struct router *router = request->instance->router;
	usec_t now = g_get_monotonic_time();

	router_finish(router, now, request->router_handle, outcome,
	    request->relay.next_offset);
	if (!router_retry(router, now, request->router_handle, verdict)) {
		request->router_handle = 0;
		return false;
	}
	metrics_add(METRIC_RETRIES, 1);
	request_close_claim(request);
	request->upstream = 0;
	request->claim_granted = false;
	request->stage = request_filter_after_placement;
	return true;
}

/// Formats a refusal as the JSON body of an answer.
///
/// @param request  the refused request; its verdict is included
/// @param info     properties of the refusal
/// @param detail   message that replaces the default one, or NULL
/// @return JSON text, owned by the caller
static char *
format_refusal(const struct request *request, const struct refusal_info *info,
    const char *detail)
{
	struct json_object *root = json_object_new_object();
	struct json_object *error = json_object_new_object();
	char *text;

	json_object_object_add(
	    error, "type", json_object_new_string(info->type));
	json_object_object_add(error, "message",
	    json_object_new_string(detail == NULL ? info->message : detail));
	json_object_object_add(error, "verdict",
	    json_object_new_string(verdict_name(request->verdict)));
	json_object_object_add(root, "error", error);
	text = g_strdup(
	    json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN));
	json_object_put(root);
	return text;
}

/// Sets the Retry-After header to the time until a retry, in whole seconds,
/// rounded up.
///
/// @param request   a request with a connected caller
/// @param retry_at  time from which the caller may retry
static void
set_retry_after(struct request *request, usec_t retry_at)
{
	usec_t remaining = MAX(retry_at - g_get_monotonic_time(), 1);
	char seconds[24];

	g_snprintf(seconds, sizeof(seconds), "%" G_GINT64_FORMAT,
	    (remaining + USEC_PER_SEC - 1) / USEC_PER_SEC);
	soup_message_headers_replace(
	    soup_server_message_get_response_headers(request->message),
	    "Retry-After", seconds);
}

/// Checks whether an earlier copy of a call may have run. This is possible if
/// the call must run at most once, unless its claim was denied (the denial
/// contains the verdict) or it holds a grant that has not expired. A call that
/// was refused before its key was set counts as possible only if the reason is
/// temporary: no bundle, too many requests, or an unconfirmed bundle.
///
/// @param request  a request that is being refused
/// @param refusal  reason for the refusal
/// @return true if the verdict "not run" might be wrong
static bool
may_have_run_earlier(const struct request *request, enum refusal refusal)
{
	if (request->kind != REQUEST_CALL || request->idempotent ||
	    request->claim_denied)
		return false;
	/* After a grant expires, a repeat of the call may be granted. */
	if (request->claim_granted && request->ticket != 0 &&
	    quorum_may_act(request->instance->quorum, g_get_monotonic_time(),
		request->ticket))
		return false;
	return request->key.kind != 0 || refusal == REFUSAL_NO_BUNDLE ||
	    refusal == REFUSAL_TOO_MANY_REQUESTS || refusal == REFUSAL_ISOLATED;
}

/// Refuses a request that has not been sent to an upstream. If an earlier copy
/// of the call may have run, the voters are asked first by a claim, and the
/// refusal with the correct verdict follows when the claim is decided.
///
/// @param request   a request without an answer; may be freed
/// @param refusal   reason sent to the caller
/// @param retry_at  time from which the caller may retry
void
request_refuse_unsent(
    struct request *request, enum refusal refusal, usec_t retry_at)
{
	struct quorum_claim_options options = {0};

	if (request->key.kind == 0 || !may_have_run_earlier(request, refusal)) {
		request_refuse(request, refusal, retry_at, NULL);
		return;
	}
	request->refuse_after_claim = true;
	request->refusal = refusal;
	request->retry_at = retry_at;
	request->ticket = quorum_start_claim(request->instance->quorum,
	    g_get_monotonic_time(), &request->key, &options);
}

/// Ends a request with a refusal immediately. A streamed answer whose headers
/// were sent ends with an error event, any other request with an error status.
///
/// @param request   a request without a final answer; may be freed
/// @param refusal   reason sent to the caller
/// @param retry_at  time from which the caller may retry; ignored if the
///                  refusal is not retryable
/// @param detail    message that replaces the default one, or NULL
void
request_refuse(struct request *request, enum refusal refusal, usec_t retry_at,
    const char *detail)
{
	const struct refusal_info *info = refusal_get_info(refusal);
	char *text;
	GBytes *body;

	if (may_have_run_earlier(request, refusal))
		request->verdict =
		    verdict_raise(request->verdict, VERDICT_MAY_HAVE_RUN);
	text = format_refusal(request, info, detail);
	log_event(LOG_LEVEL_INFO, "refused", "type=%s verdict=%s target=%s",
	    info->type, verdict_name(request->verdict),
	    request->target == NULL ? "-" : request->target);
	metrics_add(info->metric, 1);
	if (request->headers_sent) {
		g_string_append_printf(
		    request->unsent, "event: error\ndata: %s\n\n", text);
		g_free(text);
		request_stream_end(request);
		return;
	}
	if (request->message != NULL && info->retryable)
		set_retry_after(request, retry_at);
	body = g_bytes_new_take(text, strlen(text));
	request_answer(request, info->http_status, "application/json", body);
	g_bytes_unref(body);
}

/// Marks a request as answered, counts its verdict and reports its end to the
/// router.
///
/// @param request  a request without a final answer
static void
record_answer(struct request *request)
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
	request_report_router_outcome(
	    request, ROUTER_OUTCOME_DONE, request->relay.next_offset);
}

/// Sends a complete final answer. If the caller has disconnected, frees the
/// request instead.
///
/// @param request       a request whose answer has not been started
/// @param status        HTTP status of the answer
/// @param content_type  type of the body, or NULL
/// @param body          body of the answer; the caller keeps its reference
void
request_answer(struct request *request, unsigned status,
    const char *content_type, GBytes *body)
{
	SoupMessageBody *response_body;

	request_close_claim(request);
	record_answer(request);
	if (request->message == NULL) {
		request_free(request);
		return;
	}
	set_answer_headers(request, status);
	response_body = soup_server_message_get_response_body(request->message);
	if (content_type != NULL)
		soup_message_headers_replace(
		    soup_server_message_get_response_headers(request->message),
		    "Content-Type", content_type);
	soup_message_body_append_bytes(response_body, body);
	soup_message_body_complete(response_body);
	soup_server_message_unpause(request->message);
}

/// Sets the headers of a streamed answer, which are sent with its first bytes.
/// Does nothing if the headers were set before.
///
/// @param request  a request with a connected caller
void
request_stream_set_headers(struct request *request)
{
	SoupMessageHeaders *headers;
	bool is_http_1_0 = soup_server_message_get_http_version(
			       request->message) == SOUP_HTTP_1_0;

	if (request->headers_sent)
		return;
	request->headers_sent = true;
	set_answer_headers(request, SOUP_STATUS_OK);
	headers = soup_server_message_get_response_headers(request->message);
	soup_message_headers_replace(
	    headers, "Content-Type", "text/event-stream");
	soup_message_headers_replace(headers, "Cache-Control", "no-store");
	soup_message_headers_set_encoding(
	    headers, is_http_1_0 ? SOUP_ENCODING_EOF : SOUP_ENCODING_CHUNKED);
	soup_message_body_set_accumulate(
	    soup_server_message_get_response_body(request->message), FALSE);
}

/// Appends bytes to a streamed answer; request_stream_flush() sends them.
///
/// @param request  a request with a streamed answer
/// @param data     bytes to append; copied
/// @param len      number of bytes
void
request_stream_write(struct request *request, const char *data, size_t len)
{
	g_string_append_len(request->unsent, data, len);
}

/// Sends the bytes that request_stream_write() has appended to a streamed
/// answer.
///
/// @param request  a request with a streamed answer
void
request_stream_flush(struct request *request)
{
	GBytes *chunk;

	if (request->unsent->len == 0 || request->message == NULL)
		return;
	request_stream_set_headers(request);
	chunk = g_string_free_to_bytes(request->unsent);
	request->unsent = g_string_new(NULL);
	soup_message_body_append_bytes(
	    soup_server_message_get_response_body(request->message), chunk);
	g_bytes_unref(chunk);
	soup_server_message_unpause(request->message);
}

/// Sends the remaining bytes of a streamed answer and completes the answer.
///
/// @param request  a request with a connected caller and no final answer
void
request_stream_end(struct request *request)
{
	request_stream_flush(request);
	record_answer(request);
	soup_message_body_complete(
	    soup_server_message_get_response_body(request->message));
	soup_server_message_unpause(request->message);
}

/// Reports to the router that a request no longer waits for or uses an
/// upstream. Does nothing if the router does not know the request.
///
/// @param request           a request that has ended
/// @param outcome           outcome of the last attempt
/// @param generated_tokens  number of tokens generated
void
request_report_router_outcome(struct request *request,
    enum router_outcome outcome, uint32_t generated_tokens)
{
	if (request->router_handle == 0)
		return;
	router_finish(request->instance->router, g_get_monotonic_time(),
	    request->router_handle, outcome, generated_tokens);
	request->router_handle = 0;
}

/// Closes the claim of a request: reports the verdict to the voters, which pass
/// it on to repeats of the call, or releases the claim if the call has not run.
/// Does nothing if the request has no claim.
///
/// @param request  a request that has ended or will be retried
void
request_close_claim(struct request *request)
{
	usec_t now = g_get_monotonic_time();
	struct quorum *quorum = request->instance->quorum;

	if (request->ticket == 0)
		return;
	if (request->claim_granted && request->verdict != VERDICT_NOT_RUN)
		quorum_report_outcome(
		    quorum, now, request->ticket, request->verdict);
	else
		quorum_release_claim(quorum, now, request->ticket);
	request->ticket = 0;
}
