/* Questions over HTTP. */
#include "godwitvale/http/fetch.h"

#include <string.h>

#include "godwitvale/http/exchange.h"

struct fetch {
	fetch_handler handler;
	void *owner;
	struct exchange *exchange;
	struct http_head head; /// of the answer
	GString *body;
	guint timer;
};

/// Frees a question.
static void
fetch_free(struct fetch *fetch)
{
	if (fetch->timer != 0)
		g_source_remove(fetch->timer);
	http_head_clear(&fetch->head);
	g_string_free(fetch->body, true);
	g_free(fetch);
}

/// Hands the outcome on.
static void
finish(struct fetch *fetch, const char *failure)
{
	const struct fetch_answer answer = {
	    .status = failure == NULL ? fetch->head.status : 0,
	    .head = failure == NULL ? &fetch->head : NULL,
	    .body = fetch->body->str,
	    .len = fetch->body->len,
	    .failure = failure,
	};

	fetch->handler(fetch->owner, &answer);
	fetch_free(fetch);
}

/// Exchange callback: the answer's head.
static void
on_head(void *owner, const struct http_head *head)
{
	struct fetch *fetch = owner;

	fetch->head.status = head->status;
	http_head_copy_end_to_end(&fetch->head, head);
}

/// Exchange callback: bytes of the answer.
static void
on_body(void *owner, const char *data, size_t len)
{
	struct fetch *fetch = owner;

	if (fetch->body->len + len > FETCH_BYTES_MAX) {
		exchange_cancel(fetch->exchange);
		fetch->exchange = NULL;
		finish(fetch, "too-long");
		return;
	}
	g_string_append_len(fetch->body, data, (gssize)len);
}

/// Exchange callback: the answer is complete.
static void
on_complete(void *owner)
{
	struct fetch *fetch = owner;

	fetch->exchange = NULL;
	finish(fetch, NULL);
}

/// Exchange callback: no complete answer.
static void
on_failed(void *owner, enum exchange_failure failure)
{
	struct fetch *fetch = owner;

	fetch->exchange = NULL;
	finish(fetch, exchange_failure_name(failure));
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
	finish(fetch, "timeout");
	return G_SOURCE_REMOVE;
}

/// Asks a question.
///
/// @param options  how; read before it returns
/// @return the question, until its handler has been called
struct fetch *
fetch_start(const struct fetch_options *options)
{
	struct fetch *fetch = g_new0(struct fetch, 1);
	struct http_head head;
	struct exchange_options exchange = {
	    .vtable = &exchange_vtable,
	    .owner = fetch,
	    .pool = options->pool,
	    .address = options->address,
	    .head = &head,
	    .body = options->body == NULL ? "" : options->body,
	};
	usec_t left = options->deadline - g_get_monotonic_time();

	exchange.body_len = strlen(exchange.body);
	fetch->handler = options->handler;
	fetch->owner = options->owner;
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
		    &head, "Content-Length", exchange.body_len);
	fetch->exchange = exchange_start(&exchange);
	fetch->timer = g_timeout_add(
	    left > 0 ? (guint)(left / USEC_PER_MSEC) : 0, on_deadline, fetch);
	http_head_clear(&head);
	return fetch;
}

/// Gives a question up; its handler is not called.
///
/// @param fetch  the question
void
fetch_cancel(struct fetch *fetch)
{
	exchange_cancel(fetch->exchange);
	fetch_free(fetch);
}
