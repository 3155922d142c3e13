/*
 * Serves HTTP requests from callers. Limits the size of a request body and the
 * number of open requests, and starts the filters of each accepted request.
 */
#include "godwitvale/caller/caller.h"

#include "godwitvale/caller/listener.h"
#include "godwitvale/ops/metrics.h"
#include "godwitvale/serve/actions.h"
#include "godwitvale/serve/request.h"

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

	request->body = connections_take_body(message);
	(void)server;
	(void)path;
	(void)query;
	metrics_add(METRIC_REQUESTS, 1);
	if (request->body == NULL) {
		request_refuse(request, REFUSAL_BODY_TOO_LARGE, retry_at, NULL);
		actions_execute_pending(instance);
		return;
	}
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
	const struct connections_options options = {
	    .name = "caller",
	    .limits = instance->client_limits,
	    .max_connections = instance->client_connections.callers,
	    .max_body = instance->settings->max_request_bytes,
	};
	SoupServer *server;

	instance->caller_listener =
	    listener_new(&instance->settings->caller, &options, error);
	if (instance->caller_listener == NULL)
		return false;
	server = listener_get_server(instance->caller_listener);
	soup_server_add_handler(server, NULL, on_request, instance, NULL);
	return true;
}
