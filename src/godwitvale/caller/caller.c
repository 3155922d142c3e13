/*
 * Serves HTTP requests from callers. Limits the size of a request body and the
 * number of open requests, and starts the filters of each accepted request.
 */
#include "godwitvale/caller/caller.h"

#include "godwitvale/caller/listener.h"
#include "godwitvale/ops/metrics.h"
#include "godwitvale/serve/actions.h"
#include "godwitvale/serve/request.h"

/// Data key that is set on an HTTP exchange whose body exceeds
/// max_request_bytes.
#define TOO_LARGE_KEY "godwitvale-too-large"

/// Checks the size of a request body after each chunk, as a body without a
/// Content-Length may turn out too large. Stops storing such a body.
///
/// @param message  HTTP exchange of the request
/// @param chunk    unused
/// @param data     the instance
static void
on_chunk(SoupServerMessage *message, GBytes *chunk, gpointer data)
{
	struct instance *instance = data;
	SoupMessageBody *body = soup_server_message_get_request_body(message);

	(void)chunk;
	if (soup_message_body_get_accumulate(body) &&
	    body->length > instance->settings->max_request_bytes) {
		soup_message_body_set_accumulate(body, FALSE);
		g_object_set_data(
		    G_OBJECT(message), TOO_LARGE_KEY, GINT_TO_POINTER(1));
	}
}

/// Checks the Content-Length of a request before its body is read.
///
/// @param server   unused
/// @param message  HTTP exchange of the request
/// @param path     unused
/// @param query    unused
/// @param data     the instance
static void
on_headers(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer data)
{
	struct instance *instance = data;
	SoupMessageHeaders *headers =
	    soup_server_message_get_request_headers(message);

	(void)server;
	(void)path;
	(void)query;
	if (soup_message_headers_get_content_length(headers) >
	    instance->settings->max_request_bytes) {
		g_object_set_data(
		    G_OBJECT(message), TOO_LARGE_KEY, GINT_TO_POINTER(1));
		soup_message_body_set_accumulate(
		    soup_server_message_get_request_body(message), FALSE);
		return;
	}
	g_signal_connect(message, "got-chunk", G_CALLBACK(on_chunk), instance);
}

/// Refuses a request because this instance has too many open requests.
///
/// @param request   request to refuse
/// @param path      HTTP path of the request
/// @param retry_at  time from which the caller may retry
static void
refuse_over_limit(struct request *request, const char *path, usec_t retry_at)
{
	if (g_str_has_prefix(path, SERVICE_PREFIX))
		request->kind = REQUEST_CALL;
	request_refuse(request, REFUSAL_TOO_MANY_REQUESTS, retry_at, NULL);
}

/// Handles a request whose body was read: starts its filters, or refuses it
/// when it is too large or this instance has too many open requests.
///
/// @param server   unused
/// @param message  HTTP exchange of the request
/// @param path     HTTP path of the request
/// @param query    unused
/// @param data     the instance
static void
on_request(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer data)
{
	struct instance *instance = data;
	struct request *request = request_new(instance, message);
	usec_t retry_at = g_get_monotonic_time() + USEC_PER_SEC;

	(void)server;
	(void)path;
	(void)query;
	metrics_add(METRIC_REQUESTS, 1);
	if (g_object_get_data(G_OBJECT(message), TOO_LARGE_KEY) != NULL) {
		request_refuse(request, REFUSAL_BODY_TOO_LARGE, retry_at, NULL);
		actions_execute_pending(instance);
		return;
	}
	request->body = soup_message_body_flatten(
	    soup_server_message_get_request_body(message));
	if (request_count(instance) > instance->settings->max_requests)
		refuse_over_limit(request, path, retry_at);
	else
		request_advance(request);
	actions_execute_pending(instance);
}

/// Starts the HTTP server for callers.
///
/// @param instance  instance that serves; receives the listener
/// @param error     set when the server can't listen on the caller address
/// @return false on failure
bool
caller_open(struct instance *instance, GError **error)
{
	SoupServer *server;

	instance->caller_listener =
	    listener_new(&instance->settings->caller, error);
	if (instance->caller_listener == NULL)
		return false;
	server = listener_get_server(instance->caller_listener);
	soup_server_add_early_handler(server, NULL, on_headers, instance, NULL);
	soup_server_add_handler(server, NULL, on_request, instance, NULL);
	return true;
}
