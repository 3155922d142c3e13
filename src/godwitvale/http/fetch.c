/* HTTP requests with a deadline whose responses are buffered whole. */
#include "godwitvale/http/fetch.h"

#include <string.h>

#include "godwitvale/http/exchange.h"

struct fetch {
	fetch_handler handler;
	void *owner;
	struct exchange *exchange;
	struct http_head head; /// of the response
	GString *body;
	size_t max_body;
	bool is_too_long;
	guint timer;
};

/// Frees a fetch whose exchange has ended.
static void
fetch_free(struct fetch *fetch)
{
	if (fetch->timer != 0)
		g_source_remove(fetch->timer);
	http_head_clear(&fetch->head);
	g_string_free(fetch->body, true);
	g_free(fetch);
}

/// Passes the outcome to the handler and frees the fetch.
///
/// @param failure  reason as one word; NULL: the response is complete
static void
complete_fetch(struct fetch *fetch, const char *failure)
{
	const struct fetch_response response = {
	    .status = failure == NULL ? fetch->head.status : 0,
	    .head = failure == NULL ? &fetch->head : NULL,
	    .body = fetch->body->str,
	    .len = fetch->body->len,
	    .failure = failure,
	    .is_too_long = fetch->is_too_long,
	};

	fetch->handler(fetch->owner, &response);
	fetch_free(fetch);
}

/// Exchange callback: the response's head is complete.
static void
on_head(void *owner, const struct http_head *head)
{
	struct fetch *fetch = owner;

	fetch->head.status = head->status;
	http_head_copy_end_to_end(&fetch->head, head);
}

/// Exchange callback: bytes of the response's body.
static void
on_body(void *owner, const char *data, size_t len)
{
	struct fetch *fetch = owner;

	if (fetch->body->len + len > fetch->max_body) {
		exchange_cancel(fetch->exchange);
		fetch->exchange = NULL;
		fetch->is_too_long = true;
		complete_fetch(fetch, "too-long");
		return;
	}
	g_string_append_len(fetch->body, data, (gssize)len);
}

/// Exchange callback: the response is complete.
static void
on_complete(void *owner)
{
	struct fetch *fetch = owner;

	fetch->exchange = NULL;
	complete_fetch(fetch, NULL);
}

/// Exchange callback: there is no complete response.
static void
on_failed(void *owner, enum exchange_failure failure)
{
	struct fetch *fetch = owner;

	fetch->exchange = NULL;
	complete_fetch(fetch, exchange_failure_name(failure));
}

static const struct exchange_vtable exchange_vtable = {
    .head = on_head,
    .body = on_body,
    .complete = on_complete,
    .failed = on_failed,
};

/// Loop callback: the deadline has passed.
static gboolean
on_deadline(gpointer data)
{
	struct fetch *fetch = data;

	fetch->timer = 0;
	exchange_cancel(fetch->exchange);
	fetch->exchange = NULL;
	complete_fetch(fetch, "timeout");
	return G_SOURCE_REMOVE;
}

/// Starts a fetch.
///
/// @param options  read before the return, not kept
/// @return the fetch; valid until its handler returns or it is cancelled
struct fetch *
fetch_start(const struct fetch_options *options)
{
	struct fetch *fetch = g_new0(struct fetch, 1);
	struct http_head head;
	struct exchange_options exchange_options = {
	    .vtable = &exchange_vtable,
	    .owner = fetch,
	    .pool = options->pool,
	    .address = options->address,
	    .needs_new_connection = options->needs_new_connection,
	    .head = &head,
	    .body = options->body == NULL ? "" : options->body,
	};
	usec_t remaining = options->deadline - g_get_monotonic_time();

	exchange_options.body_len = strlen(exchange_options.body);
	fetch->handler = options->handler;
	fetch->owner = options->owner;
	fetch->max_body = options->max_body;
	fetch->body = g_string_new(NULL);
	http_head_init(&fetch->head);
	http_head_init(&head);
	head.method = g_strdup(options->method);
	head.target = g_strdup(options->target);
	http_head_add(&head, "Host", options->address);
	if (options->body != NULL)
		http_head_add(&head, "Content-Type", "application/json");
	if (options->body != NULL || strcmp(options->method, "GET") != 0)
		http_head_add_number(
		    &head, "Content-Length", exchange_options.body_len);
	fetch->exchange = exchange_start(&exchange_options);
	fetch->timer = g_timeout_add(
	    remaining > 0 ? (guint)(remaining / USEC_PER_MSEC) : 0, on_deadline,
	    fetch);
	http_head_clear(&head);
	return fetch;
}

/// Cancels a fetch without calling its handler.
///
/// @param fetch  invalid afterwards
void
fetch_cancel(struct fetch *fetch)
{
	exchange_cancel(fetch->exchange);
	fetch_free(fetch);
}
