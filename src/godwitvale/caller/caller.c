/*
 * The callers' side: bounds what a caller may send, and starts the pipe for
 * each request.
 */
#include "godwitvale/caller/caller.h"

#include "godwitvale/caller/listener.h"
#include "godwitvale/ops/metrics.h"
#include "godwitvale/serve/actions.h"
#include "godwitvale/serve/request.h"

/// Set on an exchange whose body is larger than allowed.
#define TOO_LARGE_KEY "godwitvale-too-large"

/// Counts the bytes of a body that comes without a length.
///
/// @param message  the exchange
/// @param chunk    the bytes
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

/// Looks at a request's head, before its body is read.
///
/// @param server   unused
/// @param message  the exchange
/// @param path     unused
/// @param query    unused
/// @param data     the instance
static void
on_head(SoupServer *server, SoupServerMessage *message, const char *path,
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

/// Refuses a request for which there is no room.
///
/// @param request   the request
/// @param path      its path
/// @param retry_at  when to come back
static void
refuse_unread(struct request *request, const char *path, usec_t retry_at)
{
	if (g_str_has_prefix(path, SERVICE_PREFIX))
		request->kind = REQUEST_CALL;
	request_refuse(request, REFUSAL_TOO_MANY_REQUESTS, retry_at, NULL);
}

/// Takes a whole request.
///
/// @param server   unused
/// @param message  the exchange
/// @param path     unused
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
		refuse_unread(request, path, retry_at);
	else
		request_advance(request);
	actions_execute_pending(instance);
}

/// Starts to listen for callers.
///
/// @param instance  the instance
/// @param error     set when the address can't be listened on
/// @return false on failure
bool
caller_open(struct instance *instance, GError **error)
{
	SoupServer *server;

	instance->caller_listener =
	    listener_new(&instance->settings->caller, error);
	if (instance->caller_listener == NULL)
		return false;
	server = listener_server(instance->caller_listener);
	soup_server_add_early_handler(server, NULL, on_head, instance, NULL);
	soup_server_add_handler(server, NULL, on_request, instance, NULL);
	return true;
}
