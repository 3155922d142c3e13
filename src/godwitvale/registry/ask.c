/* HTTP questions with a deadline. */
#include "godwitvale/registry/ask.h"

#include <string.h>

struct ask {
	SoupMessage *message;
	GCancellable *cancellable;
	guint timeout_source;
	ask_handler handler;
	gpointer data;
};

/// Gives a question up at its deadline.
///
/// @param data  the question
/// @return G_SOURCE_REMOVE
static gboolean
on_timeout(gpointer data)
{
	struct ask *ask = data;

	ask->timeout_source = 0;
	g_cancellable_cancel(ask->cancellable);
	return G_SOURCE_REMOVE;
}

/// Hands the answer on.
///
/// @param source  the session
/// @param result  the answer
/// @param data    the question
static void
on_answer(GObject *source, GAsyncResult *result, gpointer data)
{
	struct ask *ask = data;
	GBytes *body = soup_session_send_and_read_finish(
	    SOUP_SESSION(source), result, NULL);
	unsigned status =
	    body == NULL ? 0 : soup_message_get_status(ask->message);

	ask->handler(status, body, ask->data);
	g_clear_pointer(&body, g_bytes_unref);
	if (ask->timeout_source != 0)
		g_source_remove(ask->timeout_source);
	g_object_unref(ask->message);
	g_object_unref(ask->cancellable);
	g_free(ask);
}

/// Formats a URI.
///
/// @param address  IP number and port
/// @param path     path and query
/// @return the URI; the caller frees it
char *
ask_uri(const struct settings_address *address, const char *path)
{
	bool wide = strchr(address->ip, ':') != NULL;

	return g_strdup_printf("http://%s%s%s:%u%s", wide ? "[" : "",
	    address->ip, wide ? "]" : "", address->port, path);
}

/// Asks with GET.
///
/// @param instance  the instance
/// @param address   whom to ask
/// @param path      path and query
/// @param timeout   span until the question is given up
/// @param handler   called once with the answer
/// @param data      for the handler; outlives the question
void
ask_get(struct instance *instance, const struct settings_address *address,
    const char *path, usec_t timeout, ask_handler handler, gpointer data)
{
	struct ask *ask = g_new0(struct ask, 1);
	char *uri = ask_uri(address, path);

	ask->message = soup_message_new("GET", uri);
	ask->cancellable = g_cancellable_new();
	ask->handler = handler;
	ask->data = data;
	ask->timeout_source =
	    g_timeout_add((guint)(timeout / USEC_PER_MSEC), on_timeout, ask);
	soup_session_send_and_read_async(instance->session, ask->message,
	    G_PRIORITY_DEFAULT, ask->cancellable, on_answer, ask);
	g_free(uri);
}
