/*
 * Sends calls to plain services and returns their responses to the callers. A
 * call that isn't idempotent is sent on a new connection, as the service may
 * close an idle one just then. The call's verdict becomes "may have run" right
 * before its first byte is sent.
 */
#include "godwitvale/upstream/call.h"

#include <string.h>

#include "godwitvale/core/verdict.h"
#include "godwitvale/http/exchange.h"
#include "godwitvale/ops/log.h"
#include "godwitvale/ops/metrics.h"
#include "godwitvale/serve/actions.h"
#include "godwitvale/serve/request.h"
#include "godwitvale/upstream/upstream.h"

/// HTTP statuses with which a service may say that it has not run a call.
#define STATUS_TOO_MANY_REQUESTS 429
#define STATUS_UNAVAILABLE 503
/// Delay after which a caller may retry a failed call.
#define FAILURE_RETRY_DELAY (1 * USEC_PER_SEC)
/// Size limit of a cached response body, in bytes.
#define CACHED_RESPONSE_BYTES_MAX (16 * 1024)
/// Limit on the number of cached responses.
#define CACHED_RESPONSES_MAX 1024

/// One exchange of a call with a plain service.
struct attempt {
	struct instance *instance;
	request_handle handle;
	struct exchange *exchange; /// NULL: ended
	/// what was known before the first byte of this attempt was sent
	enum verdict earlier_verdict;
	struct http_head head; /// of the response
	GByteArray *body;      /// of the response
	GCancellable *cancellable;
	gulong cancel_handler;
	guint cancel_source; /// ends the exchange from the loop; 0: none
};

/// Frees a cached response.
///
/// @param data  a struct cached_response
static void
cached_response_free(gpointer data)
{
	struct cached_response *response = data;

	g_free(response->content_type);
	g_bytes_unref(response->body);
	g_free(response);
}

/// Formats the cache key of a call's response.
///
/// @param key  identity of the call
/// @return the cache key; the caller frees it
static char *
format_cache_key(const struct quorum_key *key)
{
	return g_strdup_printf("%016" G_GINT64_MODIFIER
			       "x%016" G_GINT64_MODIFIER "x",
	    key->high, key->low);
}

/// Caches the response of a call for duplicates of the call. Does nothing if
/// the call is idempotent, the response is over the size limit or the cache is
/// full.
///
/// @param request  the call
/// @param head     head of the response
/// @param body     body of the response
static void
cache_response(
    const struct request *request, const struct http_head *head, GBytes *body)
{
	struct instance *instance = request->instance;
	const struct bundle_service *service =
	    bundle_find_service(instance->bundle, request->target);
	struct cached_response *response;

	if (request->idempotent || service == NULL ||
	    g_bytes_get_size(body) > CACHED_RESPONSE_BYTES_MAX ||
	    g_hash_table_size(instance->kept_answers) >= CACHED_RESPONSES_MAX)
		return;
	response = g_new0(struct cached_response, 1);
	response->status = head->status;
	response->content_type = g_strdup(http_head_get(head, "Content-Type"));
	response->body = g_bytes_ref(body);
	response->expires_at = g_get_monotonic_time() + service->resend_window;
	g_hash_table_insert(
	    instance->kept_answers, format_cache_key(&request->key), response);
}

/// Frees an attempt whose exchange has ended.
static void
attempt_free(struct attempt *attempt)
{
	if (attempt->cancel_source != 0)
		g_source_remove(attempt->cancel_source);
	g_cancellable_disconnect(attempt->cancellable, attempt->cancel_handler);
	g_object_unref(attempt->cancellable);
	http_head_clear(&attempt->head);
	g_byte_array_unref(attempt->body);
	g_free(attempt);
}

/// Checks, right before the first byte of a call is sent, whether it may still
/// be sent. Once the first byte is sent, the service may have run the call.
///
/// @param attempt  an attempt of the call
/// @return false if it must not be sent
static bool
begin_sending(struct attempt *attempt)
{
	struct instance *instance = attempt->instance;
	struct request *request = request_find(instance, attempt->handle);
	usec_t now = g_get_monotonic_time();
	struct upstream *upstream;

	if (request == NULL)
		return false;
	upstream = upstream_find(instance->upstreams, request->upstream);
	if (upstream == NULL || !upstream->in_service ||
	    !bundle_freshness_may_admit(&instance->bundle_freshness, now))
		return false;
	if (!request->idempotent &&
	    !quorum_may_act(instance->quorum, now, request->ticket))
		return false;
	attempt->earlier_verdict = request->verdict;
	request->verdict =
	    verdict_raise(request->verdict, VERDICT_MAY_HAVE_RUN);
	return true;
}

/// Exchange callback: the call is about to be sent on a new connection.
static bool
on_starting(void *owner)
{
	return begin_sending(owner);
}

/// Forwards a service's response to the caller.
///
/// @param request  the call
/// @param head     head of the response
/// @param body     body of the response
static void
forward_response(
    struct request *request, const struct http_head *head, GBytes *body)
{
	request->verdict = verdict_raise(request->verdict, VERDICT_RAN);
	cache_response(request, head, body);
	request_answer(
	    request, head->status, http_head_get(head, "Content-Type"), body);
}

/// Checks whether a response states that the service did not run the call: its
/// status is 429 or 503 and its X-Verdict header says so.
///
/// @param head  head of the response
/// @return true if the service did not run the call
static bool
reports_not_run(const struct http_head *head)
{
	const char *verdict = http_head_get(head, "X-Verdict");

	return verdict != NULL &&
	    (head->status == STATUS_TOO_MANY_REQUESTS ||
		head->status == STATUS_UNAVAILABLE) &&
	    strcmp(verdict, verdict_name(VERDICT_NOT_RUN)) == 0;
}

/// Retries a failed call if a retry is safe, and refuses the call otherwise.
///
/// @param request  a call that failed, or that its service did not run
/// @param outcome  outcome of the failed attempt, for the router
/// @param verdict  of that attempt alone
static void
retry_or_refuse_call(
    struct request *request, enum router_outcome outcome, enum verdict verdict)
{
	usec_t now = g_get_monotonic_time();

	if (request->message != NULL &&
	    request_retry(request, outcome, verdict))
		return;
	request_refuse(
	    request, REFUSAL_SERVICE_FAILED, now + FAILURE_RETRY_DELAY, NULL);
}

/// Returns the call of an attempt, if it still waits for its response.
static struct request *
find_waiting_request(const struct attempt *attempt)
{
	struct request *request =
	    request_find(attempt->instance, attempt->handle);

	return request == NULL || request->answered ? NULL : request;
}

/// Ends an attempt without a complete response.
///
/// @param attempt  freed
/// @param reason   one word for the log
static void
fail_attempt(struct attempt *attempt, const char *reason)
{
	struct instance *instance = attempt->instance;
	struct request *request = find_waiting_request(attempt);

	attempt_free(attempt);
	if (request == NULL)
		return;
	log_event(LOG_LEVEL_INFO, "call_failed", "verdict=%s error=\"%s\"",
	    verdict_name(request->verdict), reason);
	retry_or_refuse_call(request, ROUTER_OUTCOME_FAILED, request->verdict);
	actions_execute_pending(instance);
}

/// Exchange callback: the head of the response has arrived.
static void
on_head(void *owner, const struct http_head *head)
{
	struct attempt *attempt = owner;

	attempt->head.status = head->status;
	http_head_copy_end_to_end(&attempt->head, head);
}

/// Exchange callback: bytes of the response's body have arrived.
static void
on_body(void *owner, const char *data, size_t len)
{
	struct attempt *attempt = owner;

	g_byte_array_append(attempt->body, (const guint8 *)data, (guint)len);
}

/// Exchange callback: the response is complete.
static void
on_complete(void *owner)
{
	struct attempt *attempt = owner;
	struct instance *instance = attempt->instance;
	struct request *request = find_waiting_request(attempt);
	GBytes *body;

	if (request == NULL) {
		attempt_free(attempt);
		return;
	}
	if (reports_not_run(&attempt->head)) {
		/* An earlier attempt may have run nevertheless. */
		request->verdict = attempt->earlier_verdict;
		retry_or_refuse_call(
		    request, ROUTER_OUTCOME_BUSY, VERDICT_NOT_RUN);
	} else {
		body = g_bytes_new(attempt->body->data, attempt->body->len);
		forward_response(request, &attempt->head, body);
		g_bytes_unref(body);
	}
	attempt_free(attempt);
	actions_execute_pending(instance);
}

/// Exchange callback: there is no complete response.
static void
on_failed(void *owner, enum exchange_failure failure)
{
	fail_attempt(owner, exchange_failure_name(failure));
}

static const struct exchange_vtable exchange_vtable = {
    .head = on_head,
    .body = on_body,
    .complete = on_complete,
    .failed = on_failed,
    .starting = on_starting,
};

/// Loop callback: the attempt was cancelled.
static gboolean
on_cancel_due(gpointer data)
{
	struct attempt *attempt = data;

	attempt->cancel_source = 0;
	exchange_cancel(attempt->exchange);
	fail_attempt(attempt, "cancelled");
	return G_SOURCE_REMOVE;
}

/// Cancellable callback: the attempt is cancelled. It ends in the loop, as the
/// handler can't be disconnected in here.
static void
on_cancelled(GCancellable *cancellable, gpointer data)
{
	struct attempt *attempt = data;

	(void)cancellable;
	if (attempt->cancel_source == 0)
		attempt->cancel_source = g_idle_add(on_cancel_due, attempt);
}

/// Copies a header of the caller's request to that for the service. Does
/// nothing if the caller's request doesn't have the header.
///
/// @param head            head of the request for the service
/// @param caller_headers  headers of the caller's request
/// @param name            name of the header
static void
copy_header(struct http_head *head, SoupMessageHeaders *caller_headers,
    const char *name)
{
	const char *value = soup_message_headers_get_one(caller_headers, name);

	if (value != NULL && http_head_get(head, name) == NULL)
		http_head_add(head, name, value);
}

/// Writes the head of the request for the service.
///
/// @param request  the call
/// @param address  address of the service
/// @param head     an empty head; filled in
static void
write_head(
    const struct request *request, const char *address, struct http_head *head)
{
	SoupMessageHeaders *caller_headers =
	    soup_server_message_get_request_headers(request->message);
	const struct bundle_service *service =
	    bundle_find_service(request->instance->bundle, request->target);
	gsize len = g_bytes_get_size(request->body);

	head->method =
	    g_strdup(soup_server_message_get_method(request->message));
	head->target = g_strdup(request->path);
	http_head_add(head, "Host", address);
	copy_header(head, caller_headers, "X-Request-Id");
	if (service != NULL && service->identity_header != NULL)
		copy_header(head, caller_headers, service->identity_header);
	if (len > 0)
		copy_header(head, caller_headers, "Content-Type");
	if (len > 0 || strcmp(head->method, "GET") != 0)
		http_head_add_number(head, "Content-Length", len);
}

/// Creates the cache of responses, which maps cache keys to responses.
///
/// @return the cache; the caller owns it
GHashTable *
call_response_cache_new(void)
{
	return g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, cached_response_free);
}

/// Creates an attempt of a call, whose exchange isn't started yet.
static struct attempt *
attempt_new(struct request *request)
{
	struct attempt *attempt = g_new0(struct attempt, 1);

	attempt->instance = request->instance;
	attempt->handle = request->handle;
	attempt->body = g_byte_array_new();
	http_head_init(&attempt->head);
	g_object_unref(request->cancellable);
	request->cancellable = g_cancellable_new();
	attempt->cancellable = g_object_ref(request->cancellable);
	attempt->cancel_handler = g_cancellable_connect(
	    attempt->cancellable, G_CALLBACK(on_cancelled), attempt, NULL);
	return attempt;
}

/// Sends a call to the service that it was placed on.
///
/// @param request  a call that has been placed
void
call_send(struct request *request)
{
	struct instance *instance = request->instance;
	const struct upstream *upstream =
	    upstream_find(instance->upstreams, request->upstream);
	struct http_head head;
	struct exchange_options options = {
	    .vtable = &exchange_vtable,
	    .pool = instance->pool,
	    .head = &head,
	    .needs_new_connection = !request->idempotent,
	};
	struct attempt *attempt;
	gsize len;

	if (upstream == NULL) {
		retry_or_refuse_call(
		    request, ROUTER_OUTCOME_FAILED, request->verdict);
		return;
	}
	options.address = upstream->base_uri + strlen("http://");
	options.body = g_bytes_get_data(request->body, &len);
	options.body_len = len;
	attempt = attempt_new(request);
	options.owner = attempt;
	http_head_init(&head);
	write_head(request, options.address, &head);
	request->call_deadline = g_get_monotonic_time() + request->call_timeout;
	attempt->exchange = exchange_start(&options);
	http_head_clear(&head);
}

/// Cancels the exchanges of all calls, because the process ends.
///
/// @param instance  the local instance, whose loop must still run once
void
call_cancel_all(struct instance *instance)
{
	for (guint i = 0; i < instance->requests->len; i++) {
		const struct request *request =
		    g_ptr_array_index(instance->requests, i);

		if (request != NULL)
			g_cancellable_cancel(request->cancellable);
	}
}

/// Cancels the HTTP exchange of a call whose timeout has passed.
///
/// @param request  a call
/// @param now      current monotonic time, in microseconds
void
call_check_timeout(struct request *request, usec_t now)
{
	if (request->upstream == 0 || request->answered ||
	    request->call_deadline == 0 || now < request->call_deadline)
		return;
	g_cancellable_cancel(request->cancellable);
}

/// Finds the cached response of a call that this instance sent.
///
/// @param instance  the local instance
/// @param key       identity of the call
/// @return the response, owned by the cache, or NULL
const struct cached_response *
call_find_response(struct instance *instance, const struct quorum_key *key)
{
	char *cache_key = format_cache_key(key);
	struct cached_response *response =
	    g_hash_table_lookup(instance->kept_answers, cache_key);

	g_free(cache_key);
	return response;
}

/// Checks whether this instance is running a call: the call has been granted
/// and its caller doesn't have the final response yet.
///
/// @param instance  the local instance
/// @param key       identity of the call
/// @return true if the call is in progress
bool
call_in_progress(struct instance *instance, const struct quorum_key *key)
{
	for (guint i = 0; i < instance->requests->len; i++) {
		const struct request *request =
		    g_ptr_array_index(instance->requests, i);

		if (request != NULL && request->claim_granted &&
		    !request->answered && request->key.high == key->high &&
		    request->key.low == key->low)
			return true;
	}
	return false;
}

/// Removes expired responses from the cache.
///
/// @param instance  the local instance
/// @param now       current monotonic time, in microseconds
void
call_expire_responses(struct instance *instance, usec_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, instance->kept_answers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct cached_response *response = value;

		if (now >= response->expires_at)
			g_hash_table_iter_remove(&iter);
	}
}
