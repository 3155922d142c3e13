/*
 * Plain services' calls: sent once, on a new connection where they must not
 * be repeated, with a verdict made where their bytes leave.
 */
#include "godwitvale/upstream/call.h"

#include <string.h>

#include "godwitvale/core/verdict.h"
#include "godwitvale/ops/log.h"
#include "godwitvale/ops/metrics.h"
#include "godwitvale/serve/actions.h"
#include "godwitvale/serve/request.h"
#include "godwitvale/upstream/upstream.h"

/// HTTP status that libsoup has no name for.
#define STATUS_TOO_MANY_REQUESTS 429
/// When a caller may ask again after a failure.
#define RETRY_AFTER_FAILURE (1 * USEC_PER_SEC)
/// Largest answer kept for repeats, in bytes.
#define KEPT_ANSWER_BYTES_MAX (16 * 1024)
/// Most answers kept for repeats.
#define KEPT_ANSWERS_MAX 1024

/// One HTTP exchange with a plain service.
struct exchange {
	struct instance *instance;
	request_handle handle;
	SoupMessage *message;
	GCancellable *cancellable;
};

/// Releases a kept answer.
///
/// @param data  the answer
static void
kept_answer_free(gpointer data)
{
	struct kept_answer *answer = data;

	g_free(answer->content_type);
	g_bytes_unref(answer->body);
	g_free(answer);
}

/// Makes the name under which an answer is kept.
///
/// @param key  the call's identity
/// @return the name; the caller frees it
static char *
answer_name(const struct quorum_key *key)
{
	return g_strdup_printf("%016" G_GINT64_MODIFIER
			       "x%016" G_GINT64_MODIFIER "x",
	    key->high, key->low);
}

/// Keeps the answer of a call for its repeats.
///
/// @param request  the call
/// @param message  the exchange
/// @param body     the answer
static void
keep_answer(const struct request *request, SoupMessage *message, GBytes *body)
{
	struct instance *instance = request->instance;
	const struct bundle_service *service =
	    bundle_find_service(instance->bundle, request->target);
	struct kept_answer *answer;

	if (request->idempotent || service == NULL ||
	    g_bytes_get_size(body) > KEPT_ANSWER_BYTES_MAX ||
	    g_hash_table_size(instance->kept_answers) >= KEPT_ANSWERS_MAX)
		return;
	answer = g_new0(struct kept_answer, 1);
	answer->status = soup_message_get_status(message);
	answer->content_type = g_strdup(soup_message_headers_get_content_type(
	    soup_message_get_response_headers(message), NULL));
	answer->body = g_bytes_ref(body);
	answer->forget_at = g_get_monotonic_time() + service->resend_window;
	g_hash_table_insert(
	    instance->kept_answers, answer_name(&request->key), answer);
}

/// Releases an exchange.
///
/// @param exchange  the exchange
static void
exchange_free(struct exchange *exchange)
{
	g_object_unref(exchange->message);
	g_object_unref(exchange->cancellable);
	g_free(exchange);
}

/// Checks, in the step that sends, that the call may still leave; from here
/// on it may have run.
///
/// @param message  the exchange's message
/// @param data     the exchange
static void
on_starting(SoupMessage *message, gpointer data)
{
	struct exchange *exchange = data;
	struct instance *instance = exchange->instance;
	struct request *request = request_find(instance, exchange->handle);
	usec_t now = g_get_monotonic_time();
	struct upstream *upstream;
	bool may_leave;

	(void)message;
	if (request == NULL) {
		g_cancellable_cancel(exchange->cancellable);
		return;
	}
	upstream = upstream_find(instance->upstreams, request->upstream);
	may_leave = upstream != NULL && upstream->in_service &&
	    authority_may_admit(&instance->authority, now);
	if (!request->idempotent && may_leave)
		may_leave =
		    quorum_may_act(instance->quorum, now, request->ticket);
	if (!may_leave) {
		g_cancellable_cancel(exchange->cancellable);
		return;
	}
	request->verdict =
	    verdict_raise(request->verdict, VERDICT_MAY_HAVE_RUN);
}

/// Passes a service's answer to the caller.
///
/// @param request  the call
/// @param message  the exchange
/// @param body     the answer
static void
pass_answer(struct request *request, SoupMessage *message, GBytes *body)
{
	request->verdict = verdict_raise(request->verdict, VERDICT_RAN);
	keep_answer(request, message, body);
	request_answer(request, soup_message_get_status(message),
	    soup_message_headers_get_content_type(
		soup_message_get_response_headers(message), NULL),
	    body);
}

/// Tells whether a service says that it did not run the call.
///
/// @param message  the exchange
/// @return true when it says so
static bool
says_not_run(SoupMessage *message)
{
	const char *verdict = soup_message_headers_get_one(
	    soup_message_get_response_headers(message), "X-Verdict");
	unsigned status = soup_message_get_status(message);

	return verdict != NULL &&
	    (status == STATUS_TOO_MANY_REQUESTS ||
		status == SOUP_STATUS_SERVICE_UNAVAILABLE) &&
	    strcmp(verdict, verdict_name(VERDICT_NOT_RUN)) == 0;
}

/// Ends a call that got no answer: retries it where that is safe.
///
/// @param request  the call
/// @param end      how it ended
static void
fail(struct request *request, enum router_outcome end)
{
	usec_t now = g_get_monotonic_time();

	if (request->message != NULL && request_retry(request, end))
		return;
	request_refuse(
	    request, REFUSAL_SERVICE_FAILED, now + RETRY_AFTER_FAILURE, NULL);
}

/// Takes the answer of a plain service.
///
/// @param source  the session
/// @param result  the answer
/// @param data    the exchange
static void
on_answer(GObject *source, GAsyncResult *result, gpointer data)
{
	struct exchange *exchange = data;
	struct instance *instance = exchange->instance;
	struct request *request = request_find(instance, exchange->handle);
	GError *error = NULL;
	GBytes *body = soup_session_send_and_read_finish(
	    SOUP_SESSION(source), result, &error);

	if (request == NULL || request->answered)
		goto out;
	if (body != NULL && says_not_run(exchange->message)) {
		request->verdict = VERDICT_NOT_RUN;
		fail(request, ROUTER_OUTCOME_BUSY);
	} else if (body != NULL) {
		pass_answer(request, exchange->message, body);
	} else {
		log_event(LOG_LEVEL_INFO, "call_failed",
		    "verdict=%s error=\"%s\"", verdict_name(request->verdict),
		    error->message);
		fail(request, ROUTER_OUTCOME_FAILED);
	}
	actions_execute_pending(instance);
out:
	g_clear_error(&error);
	g_clear_pointer(&body, g_bytes_unref);
	exchange_free(exchange);
}

/// Passes one of the caller's headers on.
///
/// @param message  to the service
/// @param from     the caller's headers
/// @param name     the header
static void
copy_header(SoupMessage *message, SoupMessageHeaders *from, const char *name)
{
	const char *value = soup_message_headers_get_one(from, name);

	if (value != NULL)
		soup_message_headers_replace(
		    soup_message_get_request_headers(message), name, value);
}

/// Makes the message of a call.
///
/// @param request   the call
/// @param upstream  its service
/// @return the message
static SoupMessage *
make_message(const struct request *request, const struct upstream *upstream)
{
	SoupMessageHeaders *from =
	    soup_server_message_get_request_headers(request->message);
	char *uri = g_strconcat(upstream->base, request->path, NULL);
	SoupMessage *message = soup_message_new(
	    soup_server_message_get_method(request->message), uri);
	const struct bundle_service *service =
	    bundle_find_service(request->instance->bundle, request->target);

	g_free(uri);
	if (message == NULL)
		return NULL;
	if (g_bytes_get_size(request->body) > 0)
		soup_message_set_request_body_from_bytes(message,
		    soup_message_headers_get_content_type(from, NULL),
		    request->body);
	copy_header(message, from, "X-Request-Id");
	if (service != NULL && service->identity_header != NULL)
		copy_header(message, from, service->identity_header);
	soup_message_add_flags(message, SOUP_MESSAGE_NO_REDIRECT);
	if (!request->idempotent)
		soup_message_add_flags(message, SOUP_MESSAGE_NEW_CONNECTION);
	return message;
}

/// Makes the table of kept answers.
///
/// @return the table
GHashTable *
call_answers_new(void)
{
	return g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, kept_answer_free);
}

/// Sends a placed call to its service.
///
/// @param request  the call
void
call_start(struct request *request)
{
	struct instance *instance = request->instance;
	struct upstream *upstream =
	    upstream_find(instance->upstreams, request->upstream);
	struct exchange *exchange;
	SoupMessage *message =
	    upstream == NULL ? NULL : make_message(request, upstream);

	if (message == NULL) {
		fail(request, ROUTER_OUTCOME_FAILED);
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
	    G_PRIORITY_DEFAULT, exchange->cancellable, on_answer, exchange);
}

/// Gives a call up at its deadline.
///
/// @param request  a call
/// @param now      current time
void
call_tick(struct request *request, usec_t now)
{
	if (request->upstream == 0 || request->answered ||
	    request->call_deadline == 0 || now < request->call_deadline)
		return;
	g_cancellable_cancel(request->cancellable);
}

/// Finds the answer of a call that ran through this instance.
///
/// @param instance  the instance
/// @param key       the call's identity
/// @return the answer, or NULL
const struct kept_answer *
call_find_answer(struct instance *instance, const struct quorum_key *key)
{
	char *name = answer_name(key);
	struct kept_answer *answer =
	    g_hash_table_lookup(instance->kept_answers, name);

	g_free(name);
	return answer;
}

/// Tells whether a call is running through this instance.
///
/// @param instance  the instance
/// @param key       the call's identity
/// @return true while its outcome is open
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

/// Forgets the kept answers whose window has passed.
///
/// @param instance  the instance
/// @param now       current time
void
call_forget_answers(struct instance *instance, usec_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, instance->kept_answers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct kept_answer *answer = value;

		if (now >= answer->forget_at)
			g_hash_table_iter_remove(&iter);
	}
}
