/*
 * Sends asynchronous HTTP GET requests with a timeout to the platform's
 * services, upstreams and other instances.
 */
#include "godwitvale/registry/http_get.h"

#include <string.h>

/// One request in progress.
struct http_get {
	SoupMessage *message;
	GCancellable *cancellable;
	guint timeout_source; /// runs on_timeout(); 0: timed out
	http_get_handler handler;
	gpointer data; /// passed to handler
};

/// Cancels a request at its timeout. on_response() then reports the failure to
/// the handler.
///
/// @param data  the request
/// @return G_SOURCE_REMOVE
static gboolean
on_timeout(gpointer data)
{
	struct http_get *request = data;

	request->timeout_source = 0;
	g_cancellable_cancel(request->cancellable);
	return G_SOURCE_REMOVE;
}

/// Passes the response, or the failure, to the handler and frees the request.
///
/// @param source  HTTP session that sent the request
/// @param result  result of the asynchronous operation
/// @param data    the request
static void
on_response(GObject *source, GAsyncResult *result, gpointer data)
{
	struct http_get *request = data;
	GBytes *body = soup_session_send_and_read_finish(
	    SOUP_SESSION(source), result, NULL);
	unsigned status =
	    body == NULL ? 0 : soup_message_get_status(request->message);

	request->handler(status, body, request->data);
	g_clear_pointer(&body, g_bytes_unref);
	if (request->timeout_source != 0)
		g_source_remove(request->timeout_source);
	g_object_unref(request->message);
	g_object_unref(request->cancellable);
	g_free(request);
}

/// Formats an HTTP URI.
///
/// @param address  IP address and port of the server
/// @param path     path and query; may be empty
/// @return the URI; the caller frees the string
char *
http_get_format_uri(const struct settings_address *address, const char *path)
{
	bool is_ipv6 = strchr(address->ip, ':') != NULL;

	return g_strdup_printf("http://%s%s%s:%u%s", is_ipv6 ? "[" : "",
	    address->ip, is_ipv6 ? "]" : "", address->port, path);
}

/// Sends a GET request.
///
/// @param instance  instance whose HTTP session sends the request
/// @param address   IP address and port of the server
/// @param path      path and query
/// @param timeout   time until the request is cancelled, in microseconds
/// @param handler   called once, with the response or the failure
/// @param data      passed to the handler; must outlive the request
void
http_get_start(struct instance *instance,
    const struct settings_address *address, const char *path, usec_t timeout,
    http_get_handler handler, gpointer data)
{
	struct http_get *request = g_new0(struct http_get, 1);
	char *uri = http_get_format_uri(address, path);

	request->message = soup_message_new("GET", uri);
	request->cancellable = g_cancellable_new();
	request->handler = handler;
	request->data = data;
	request->timeout_source = g_timeout_add(
	    (guint)(timeout / USEC_PER_MSEC), on_timeout, request);
	soup_session_send_and_read_async(instance->session, request->message,
	    G_PRIORITY_DEFAULT, request->cancellable, on_response, request);
	g_free(uri);
}
