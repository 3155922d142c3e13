/*
 * Sends model orders to engines, and probes the weight store. The lease is
 * checked right before the first byte of an order is sent, so that a paused
 * process sends no order under a lease that has expired.
 */
#include "godwitvale/upstream/model_send.h"

#include <string.h>

#include <json-c/json.h>

#include "godwitvale/ops/log.h"
#include "godwitvale/registry/http_get.h"
#include "godwitvale/upstream/upstream.h"

/// Time after which an exchange is cancelled.
#define EXCHANGE_TIMEOUT (5 * USEC_PER_SEC)
/// Default value and largest accepted value of the store's Retry-After header,
/// in seconds. A larger value is replaced by the default value.
#define RETRY_AFTER_DEFAULT 1
#define RETRY_AFTER_MAX 3600
/// HTTP status 429, for which libsoup has no constant.
#define STATUS_TOO_MANY_REQUESTS 429

/// One HTTP exchange with an engine or the weight store.
struct exchange {
	struct model_orders *orders;
	struct model_order
	    order;       /// without its strings, which may have been freed
	char *target;    /// "NAME/VERSION"
	bool maybe_sent; /// a byte of the order may have been sent
	SoupMessage *message;
	GCancellable *cancellable;
	guint timeout_source;
};

/// Cancels an exchange whose timeout has passed.
///
/// @param data  the struct exchange
/// @return G_SOURCE_REMOVE
static gboolean
on_timeout(gpointer data)
{
	struct exchange *exchange = data;

	exchange->timeout_source = 0;
	g_cancellable_cancel(exchange->cancellable);
	return G_SOURCE_REMOVE;
}

/// Creates the record of an exchange and starts its timeout.
///
/// @param orders   the model orders
/// @param order    the order that the exchange sends or probes for
/// @param message  the HTTP message; the record takes ownership
/// @return the record
static struct exchange *
exchange_new(struct model_orders *orders, const struct model_order *order,
    SoupMessage *message)
{
	struct exchange *exchange = g_new0(struct exchange, 1);

	exchange->orders = orders;
	exchange->order = *order;
	exchange->target = g_strconcat(order->model, "/", order->version, NULL);
	exchange->message = message;
	exchange->cancellable = g_cancellable_new();
	exchange->timeout_source = g_timeout_add(
	    EXCHANGE_TIMEOUT / USEC_PER_MSEC, on_timeout, exchange);
	return exchange;
}

/// Frees the record of an exchange.
///
/// @param exchange  an exchange that has finished
static void
exchange_free(struct exchange *exchange)
{
	if (exchange->timeout_source != 0)
		g_source_remove(exchange->timeout_source);
	g_object_unref(exchange->message);
	g_object_unref(exchange->cancellable);
	g_free(exchange->target);
	g_free(exchange);
}

/// Checks, right before the first byte of an order is sent, whether the order
/// may still be sent, and cancels the exchange if not.
///
/// @param message  unused
/// @param data     the struct exchange of the order
static void
on_starting(SoupMessage *message, gpointer data)
{
	struct exchange *exchange = data;
	struct model_orders *orders = exchange->orders;
	struct instance *instance = orders->instance;
	const struct model_order *order = &exchange->order;
	const struct upstream *upstream =
	    upstream_find(instance->upstreams, order->engine);
	usec_t now = g_get_monotonic_time();

	(void)message;
	if (upstream == NULL || instance->draining ||
	    !quorum_may_act(instance->quorum, now, orders->ticket) ||
	    !bundle_freshness_may_admit(&instance->bundle_freshness, now) ||
	    !model_plan_can_send(orders->plan, now, order)) {
		log_event(LOG_LEVEL_INFO, "model_order_held_back",
		    "target=%s fence=%" G_GUINT64_FORMAT, exchange->target,
		    order->fence);
		g_cancellable_cancel(exchange->cancellable);
		return;
	}
	exchange->maybe_sent = true;
	orders->n_sent++;
	audit_add(instance->audit, AUDIT_MODEL_ORDER, upstream->name,
	    instance->bundle->signed_by, order->bundle_version,
	    "load-model %s fence=%" G_GUINT64_FORMAT, exchange->target,
	    order->fence);
	log_event(LOG_LEVEL_INFO, "model_order_sent",
	    "upstream=%s target=%s fence=%" G_GUINT64_FORMAT, upstream->name,
	    exchange->target, order->fence);
}

/// Derives the outcome of an order from its exchange.
///
/// @param exchange      the finished exchange
/// @param has_response  whether the response was received in full
/// @return the outcome
static enum model_order_outcome
get_order_outcome(const struct exchange *exchange, bool has_response)
{
	unsigned status = soup_message_get_status(exchange->message);

	if (!exchange->maybe_sent)
		return MODEL_ORDER_NOT_SENT;
	if (!has_response)
		return MODEL_ORDER_UNKNOWN;
	if (SOUP_STATUS_IS_SUCCESSFUL(status))
		return MODEL_ORDER_ACCEPTED;
	if (status == SOUP_STATUS_CONFLICT)
		return MODEL_ORDER_OLD_FENCE;
	if (SOUP_STATUS_IS_CLIENT_ERROR(status) ||
	    status == SOUP_STATUS_SERVICE_UNAVAILABLE)
		return MODEL_ORDER_REFUSED;
	return MODEL_ORDER_UNKNOWN;
}

/// Counts, audits and logs an order that an engine refused for its old fence.
///
/// @param exchange  the exchange of the order
static void
record_old_fence(const struct exchange *exchange)
{
	struct model_orders *orders = exchange->orders;
	struct instance *instance = orders->instance;
	const struct upstream *upstream =
	    upstream_find(instance->upstreams, exchange->order.engine);

	orders->n_old_fence++;
	orders->fence_is_old = true;
	audit_add(instance->audit, AUDIT_MODEL_ORDER,
	    upstream == NULL ? exchange->target : upstream->name,
	    instance->settings->instance, exchange->order.bundle_version,
	    "load-model %s fence=%" G_GUINT64_FORMAT
	    " refused: old fence, %" G_GUINT64_FORMAT " so far",
	    exchange->target, exchange->order.fence, orders->n_old_fence);
	log_event(LOG_LEVEL_WARN, "model_order_old_fence",
	    "target=%s fence=%" G_GUINT64_FORMAT " count=%" G_GUINT64_FORMAT,
	    exchange->target, exchange->order.fence, orders->n_old_fence);
}

/// Handles an engine's response to an order, or the failure of the exchange.
///
/// @param source  the HTTP session
/// @param result  result of sending the order and reading the response
/// @param data    the struct exchange of the order; freed
static void
on_order_response(GObject *source, GAsyncResult *result, gpointer data)
{
	struct exchange *exchange = data;
	GBytes *body = soup_session_send_and_read_finish(
	    SOUP_SESSION(source), result, NULL);
	enum model_order_outcome outcome =
	    get_order_outcome(exchange, body != NULL);

	if (outcome == MODEL_ORDER_OLD_FENCE)
		record_old_fence(exchange);
	else if (outcome != MODEL_ORDER_ACCEPTED)
		log_event(LOG_LEVEL_WARN, "model_order_failed",
		    "target=%s status=%u left=%d", exchange->target,
		    soup_message_get_status(exchange->message),
		    exchange->maybe_sent);
	model_plan_finish_order(exchange->orders->plan, g_get_monotonic_time(),
	    &exchange->order, outcome);
	g_clear_pointer(&body, g_bytes_unref);
	exchange_free(exchange);
}

/// Parses the Retry-After header of the weight store's response.
///
/// @param message  the HTTP exchange with the store
/// @return delay before the next probe, in microseconds, at least one second
static usec_t
parse_retry_after(SoupMessage *message)
{
	const char *text = soup_message_headers_get_one(
	    soup_message_get_response_headers(message), "Retry-After");
	guint64 seconds = RETRY_AFTER_DEFAULT;

	if (text != NULL)
		g_ascii_string_to_unsigned(
		    text, 10, 0, RETRY_AFTER_MAX, &seconds, NULL);
	return (usec_t)MAX(seconds, 1) * USEC_PER_SEC;
}

/// Handles the status and the headers of the store's response to a probe. The
/// body, with weights, isn't read.
///
/// @param source  the HTTP session
/// @param result  input stream of the response, or an error
/// @param data    the struct exchange of the probe; freed
static void
on_probe_response(GObject *source, GAsyncResult *result, gpointer data)
{
	struct exchange *exchange = data;
	GInputStream *stream =
	    soup_session_send_finish(SOUP_SESSION(source), result, NULL);
	unsigned status =
	    stream == NULL ? 0 : soup_message_get_status(exchange->message);
	enum model_probe_outcome outcome = MODEL_PROBE_FAILED;
	usec_t now = g_get_monotonic_time();

	if (SOUP_STATUS_IS_SUCCESSFUL(status))
		outcome = MODEL_PROBE_SERVED;
	else if (status == STATUS_TOO_MANY_REQUESTS)
		outcome = MODEL_PROBE_RATE_LIMITED;
	log_event(
	    outcome == MODEL_PROBE_FAILED ? LOG_LEVEL_WARN : LOG_LEVEL_DEBUG,
	    "weights_probed", "target=%s status=%u", exchange->target, status);
	model_plan_finish_probe(exchange->orders->plan, now, outcome,
	    now + parse_retry_after(exchange->message));
	g_clear_object(&stream);
	exchange_free(exchange);
}

/// Sends an order to its engine, and reports the outcome to the plan.
///
/// @param orders  the model orders
/// @param order   the order that the plan decided
void
model_send_order(struct model_orders *orders, const struct model_order *order)
{
	struct instance *instance = orders->instance;
	const struct upstream *upstream =
	    upstream_find(instance->upstreams, order->engine);
	struct json_object *root;
	struct exchange *exchange;
	SoupMessage *message;
	GBytes *body;
	const char *text;
	char *uri;

	if (upstream == NULL) {
		model_plan_finish_order(orders->plan, g_get_monotonic_time(),
		    order, MODEL_ORDER_NOT_SENT);
		return;
	}
	root = json_object_new_object();
	json_object_object_add(
	    root, "fence", json_object_new_uint64(order->fence));
	json_object_object_add(
	    root, "action", json_object_new_string("load-model"));
	json_object_object_add(
	    root, "name", json_object_new_string(order->model));
	json_object_object_add(
	    root, "version", json_object_new_string(order->version));
	text = json_object_to_json_string(root);
	body = g_bytes_new(text, strlen(text));
	uri = g_strconcat(upstream->base_uri, "/orders", NULL);
	message = soup_message_new("POST", uri);
	soup_message_set_request_body_from_bytes(
	    message, "application/json", body);
	// The session may resend a message on a reused connection, but never
	// on a new one.
	soup_message_add_flags(
	    message, SOUP_MESSAGE_NO_REDIRECT | SOUP_MESSAGE_NEW_CONNECTION);
	exchange = exchange_new(orders, order, message);
	g_signal_connect(
	    message, "starting", G_CALLBACK(on_starting), exchange);
	soup_session_send_and_read_async(instance->session, message,
	    G_PRIORITY_DEFAULT, exchange->cancellable, on_order_response,
	    exchange);
	g_bytes_unref(body);
	g_free(uri);
	json_object_put(root);
}

/// Requests one byte of an order's weights from the weight store, and reports
/// the outcome to the plan.
///
/// @param orders  the model orders
/// @param order   the order that the plan decided
void
model_send_probe(struct model_orders *orders, const struct model_order *order)
{
	const struct settings_address *store =
	    &orders->instance->settings->weights;
	char *model = g_uri_escape_string(order->model, NULL, FALSE);
	char *version = g_uri_escape_string(order->version, NULL, FALSE);
	char *path = g_strconcat("/weights/", model, "/", version, NULL);
	char *uri = http_get_format_uri(store, path);
	SoupMessage *message = soup_message_new("GET", uri);
	struct exchange *exchange = exchange_new(orders, order, message);

	soup_message_headers_set_range(
	    soup_message_get_request_headers(message), 0, 0);
	soup_session_send_async(orders->instance->session, message,
	    G_PRIORITY_DEFAULT, exchange->cancellable, on_probe_response,
	    exchange);
	g_free(uri);
	g_free(path);
	g_free(version);
	g_free(model);
}
