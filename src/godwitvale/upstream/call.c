/*
 * Sends calls to plain services and returns their responses to the callers. A
 * call that isn't idempotent is sent on a new connection, so that the HTTP
 * client never sends it twice. The call's verdict becomes "may have run" right
 * before its first byte is sent.
 */
#include "godwitvale/upstream/call.h"

#include <string.h>

#include "godwitvale/core/verdict.h"
#include "godwitvale/ops/log.h"
#include "godwitvale/ops/metrics.h"
#include "godwitvale/serve/actions.h"
#include "godwitvale/serve/request.h"
#include "godwitvale/upstream/upstream.h"

/// HTTP status 429, for which libsoup has no constant.
#define STATUS_TOO_MANY_REQUESTS 429
/// Delay after which a caller may retry a failed call.
#define FAILURE_RETRY_DELAY (1 * USEC_PER_SEC)
/// Size limit of a cached response body, in bytes.
#define CACHED_RESPONSE_BYTES_MAX (16 * 1024)
/// Limit on the number of cached responses.
#define CACHED_RESPONSES_MAX 1024

/// One HTTP exchange with a plain service.
struct exchange {
	struct instance *instance;
	request_handle handle;
	SoupMessage *message;
	GCancellable *cancellable;
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
/// @param message  the finished HTTP exchange with the service
/// @param body     body of the response
static void
cache_response(
    const struct request *request, SoupMessage *message, GBytes *body)
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
	response->status = soup_message_get_status(message);
	response->content_type = g_strdup(soup_message_headers_get_content_type(
	    soup_message_get_response_headers(message), NULL));
	response->body = g_bytes_ref(body);
	response->expires_at = g_get_monotonic_time() + service->resend_window;
	g_hash_table_insert(
	    instance->kept_answers, format_cache_key(&request->key), response);
}

/// Frees an exchange.
///
/// @param exchange  an exchange that has finished
static void
exchange_free(struct exchange *exchange)
{
	g_object_unref(exchange->message);
	g_object_unref(exchange->cancellable);
	g_free(exchange);
}

/// Checks, right before the first byte of the call is sent, whether the call
/// may still be sent, and cancels the exchange if not. Once the first byte is
/// sent, the service may have run the call.
///
/// @param message  unused
/// @param data     the struct exchange of the call
static void
on_starting(SoupMessage *message, gpointer data)
{
	struct exchange *exchange = data;
	struct instance *instance = exchange->instance;
	struct request *request = request_find(instance, exchange->handle);
	usec_t now = g_get_monotonic_time();
	struct upstream *upstream;
	bool may_send;

	(void)message;
	if (request == NULL) {
		g_cancellable_cancel(exchange->cancellable);
		return;
	}
	upstream = upstream_find(instance->upstreams, request->upstream);
	may_send = upstream != NULL && upstream->in_service &&
	    bundle_freshness_may_admit(&instance->bundle_freshness, now);
	if (!request->idempotent && may_send)
		may_send =
		    quorum_may_act(instance->quorum, now, request->ticket);
	if (!may_send) {
		g_cancellable_cancel(exchange->cancellable);
		return;
	}
	request->verdict =
	    verdict_raise(request->verdict, VERDICT_MAY_HAVE_RUN);
}

/// Forwards a service's response to the caller.
///
/// @param request  the call
/// @param message  the finished HTTP exchange with the service
/// @param body     body of the response
static void
forward_response(struct request *request, SoupMessage *message, GBytes *body)
{
	request->verdict = verdict_raise(request->verdict, VERDICT_RAN);
	cache_response(request, message, body);
	request_answer(request, soup_message_get_status(message),
	    soup_message_headers_get_content_type(
		soup_message_get_response_headers(message), NULL),
	    body);
}

/// Checks whether a response states that the service did not run the call: its
/// status is 429 or 503 and its X-Verdict header says so.
///
/// @param message  the finished HTTP exchange with the service
/// @return true if the service did not run the call
static bool
reports_not_run(SoupMessage *message)
{
	const char *verdict = soup_message_headers_get_one(
	    soup_message_get_response_headers(message), "X-Verdict");
	unsigned status = soup_message_get_status(message);

	return verdict != NULL &&
	    (status == STATUS_TOO_MANY_REQUESTS ||
		status == SOUP_STATUS_SERVICE_UNAVAILABLE) &&
	    strcmp(verdict, verdict_name(VERDICT_NOT_RUN)) == 0;
}

/// Retries a failed call if a retry is safe, and refuses the call otherwise.
///
/// @param request  a call that failed, or that its service did not run
/// @param outcome  outcome of the failed attempt, for the router
static void
retry_or_refuse_call(struct request *request, enum router_outcome outcome)
{
	usec_t now = g_get_monotonic_time();

	if (request->message != NULL && request_retry(request, outcome))
		return;
	request_refuse(
	    request, REFUSAL_SERVICE_FAILED, now + FAILURE_RETRY_DELAY, NULL);
}

/// Handles the response of a plain service, or the failure of the exchange.
///
/// @param source  the HTTP session
/// @param result  result of sending the call and reading the response
/// @param data    the struct exchange of the call; freed
static void
on_response(GObject *source, GAsyncResult *result, gpointer data)
{
	struct exchange *exchange = data;
	struct instance *instance = exchange->instance;
	struct request *request = request_find(instance, exchange->handle);
	GError *error = NULL;
	GBytes *body = soup_session_send_and_read_finish(
	    SOUP_SESSION(source), result, &error);

	if (request == NULL || request->answered)
		goto out;
	if (body != NULL && reports_not_run(exchange->message)) {
		request->verdict = VERDICT_NOT_RUN;
		retry_or_refuse_call(request, ROUTER_OUTCOME_BUSY);
	} else if (body != NULL) {
		forward_response(request, exchange->message, body);
	} else {
		log_event(LOG_LEVEL_INFO, "call_failed",
		    "verdict=%s error=\"%s\"", verdict_name(request->verdict),
		    error->message);
		retry_or_refuse_call(request, ROUTER_OUTCOME_FAILED);
	}
	actions_execute_pending(instance);
out:
	g_clear_error(&error);
	g_clear_pointer(&body, g_bytes_unref);
	exchange_free(exchange);
}

/// Copies a header of the caller's request to the message for the service. Does
/// nothing if the caller's request doesn't have the header.
///
/// @param message         the message for the service
/// @param caller_headers  headers of the caller's request
/// @param name            name of the header
static void
copy_header(
    SoupMessage *message, SoupMessageHeaders *caller_headers, const char *name)
{
	const char *value = soup_message_headers_get_one(caller_headers, name);

	if (value != NULL)
		soup_message_headers_replace(
		    soup_message_get_request_headers(message), name, value);
}

/// Creates the HTTP message of a call.
///
/// @param request   the call
/// @param upstream  the service that the call was placed on
/// @return the message, or NULL if the URI is invalid
static SoupMessage *
create_message(const struct request *request, const struct upstream *upstream)
{
	SoupMessageHeaders *caller_headers =
	    soup_server_message_get_request_headers(request->message);
	char *uri = g_strconcat(upstream->base_uri, request->path, NULL);
	SoupMessage *message = soup_message_new(
	    soup_server_message_get_method(request->message), uri);
	const struct bundle_service *service =
	    bundle_find_service(request->instance->bundle, request->target);

	g_free(uri);
	if (message == NULL)
		return NULL;
	if (g_bytes_get_size(request->body) > 0)
		soup_message_set_request_body_from_bytes(message,
		    soup_message_headers_get_content_type(caller_headers, NULL),
		    request->body);
	copy_header(message, caller_headers, "X-Request-Id");
	if (service != NULL && service->identity_header != NULL)
		copy_header(message, caller_headers, service->identity_header);
	soup_message_add_flags(message, SOUP_MESSAGE_NO_REDIRECT);
	if (!request->idempotent)
		soup_message_add_flags(message, SOUP_MESSAGE_NEW_CONNECTION);
	return message;
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

/// Sends a call to the service that it was placed on.
///
/// @param request  a call that has been placed
void
call_send(struct request *request)
{
	struct instance *instance = request->instance;
	struct upstream *upstream =
	    upstream_find(instance->upstreams, request->upstream);
	struct exchange *exchange;
	SoupMessage *message =
	    upstream == NULL ? NULL : create_message(request, upstream);

	if (message == NULL) {
		retry_or_refuse_call(request, ROUTER_OUTCOME_FAILED);
		return;
	}
	exchange = g_new0(struct exchange, 1);
	exchange->instance = instance;
	exchange->handle = request->handle;
	exchange->message = message;
	g_object_unref(request->cancellable);
	request->cancellable = g_cancellable_new();
	exchange->cancellable = g_object_ref(request->cancellable);
	request->call_deadline = g_get_monotonic_time() + request->call_timeout;
	g_signal_connect(
	    message, "starting", G_CALLBACK(on_starting), exchange);
	soup_session_send_and_read_async(instance->session, message,
	    G_PRIORITY_DEFAULT, exchange->cancellable, on_response, exchange);
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
