/* The operators' side, read only: /status, /audit and /metrics. */
#include "godwitvale/serve/operator.h"

#include <string.h>

#include <json-c/json.h>

#include "godwitvale/caller/listener.h"
#include "godwitvale/ops/metrics.h"
#include "godwitvale/registry/members.h"
#include "godwitvale/serve/request.h"
#include "godwitvale/upstream/upstream.h"

/// Answers in one piece.
///
/// @param message  the exchange
/// @param type     content type
/// @param text     the answer
/// @param len      number of bytes
static void
answer(
    SoupServerMessage *message, const char *type, const char *text, size_t len)
{
	soup_server_message_set_status(message, SOUP_STATUS_OK, NULL);
	soup_server_message_set_response(
	    message, type, SOUP_MEMORY_COPY, text, len);
}

/// Describes one upstream.
///
/// @param upstream  the upstream
/// @return a JSON object
static struct json_object *
describe_upstream(const struct upstream *upstream)
{
	struct json_object *entry = json_object_new_object();

	json_object_object_add(
	    entry, "name", json_object_new_string(upstream->name));
	json_object_object_add(
	    entry, "zone", json_object_new_string(upstream->zone));
	json_object_object_add(
	    entry, "in_service", json_object_new_boolean(upstream->in_service));
	json_object_object_add(entry, "reported",
	    json_object_new_boolean(upstream->reported_at != 0));
	return entry;
}

/// Serves the status.
///
/// @param server   unused
/// @param message  the exchange
/// @param path     unused
/// @param query    unused
/// @param data     the instance
static void
on_status(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer data)
{
	struct instance *instance = data;
	usec_t now = g_get_monotonic_time();
	struct json_object *root = json_object_new_object();
	struct json_object *upstreams = json_object_new_array();
	GPtrArray *list = upstream_list(instance->upstreams);
	const char *text;

	(void)server;
	(void)path;
	(void)query;
	json_object_object_add(root, "instance",
	    json_object_new_string(instance->settings->instance));
	json_object_object_add(
	    root, "zone", json_object_new_string(instance->settings->zone));
	json_object_object_add(root, "bundle_version",
	    json_object_new_uint64(
		instance->bundle == NULL ? 0 : instance->bundle->version));
	json_object_object_add(root, "members_revision",
	    json_object_new_uint64(member_list_revision(instance->members)));
	json_object_object_add(root, "authorised",
	    json_object_new_boolean(
		authority_may_admit(&instance->authority, now)));
	json_object_object_add(root, "votes",
	    json_object_new_boolean(quorum_is_ready(instance->quorum, now)));
	json_object_object_add(
	    root, "in_service", json_object_new_boolean(!instance->taken_out));
	json_object_object_add(
	    root, "draining", json_object_new_boolean(instance->draining));
	json_object_object_add(root, "in_progress",
	    json_object_new_int64(request_count(instance)));
	for (guint i = 0; i < list->len; i++)
		json_object_array_add(
		    upstreams, describe_upstream(g_ptr_array_index(list, i)));
	json_object_object_add(root, "upstreams", upstreams);
	text = json_object_to_json_string_ext(root, JSON_C_TO_STRING_PRETTY);
	answer(message, "application/json", text, strlen(text));
	json_object_put(root);
}

/// Serves the audit trail.
///
/// @param server   unused
/// @param message  the exchange
/// @param path     unused
/// @param query    unused
/// @param data     the instance
static void
on_audit(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer data)
{
	struct instance *instance = data;
	GString *text = audit_to_json(instance->audit);

	(void)server;
	(void)path;
	(void)query;
	answer(message, "application/json", text->str, text->len);
	g_string_free(text, TRUE);
}

/// Serves the counters.
///
/// @param server   unused
/// @param message  the exchange
/// @param path     unused
/// @param query    unused
/// @param data     the instance
static void
on_metrics(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer data)
{
	struct instance *instance = data;
	struct router_counts counts;
	GString *text;

	(void)server;
	(void)path;
	(void)query;
	router_get_counts(instance->router, g_get_monotonic_time(), &counts);
	metrics_set(METRIC_IN_FLIGHT, counts.running);
	metrics_set(METRIC_QUEUE_LENGTH, counts.waiting);
	metrics_set(METRIC_UPSTREAMS_COLD, counts.cold);
	text = metrics_to_text();
	answer(message, "text/plain; version=0.0.4", text->str, text->len);
	g_string_free(text, TRUE);
}

/// Starts to listen for operators.
///
/// @param instance  the instance
/// @param error     set when the address can't be listened on
/// @return false on failure
bool
operator_open(struct instance *instance, GError **error)
{
	SoupServer *server;

	instance->operator_listener =
	    listener_new(&instance->settings->operator_, error);
	if (instance->operator_listener == NULL)
		return false;
	server = listener_server(instance->operator_listener);
	soup_server_add_handler(server, "/status", on_status, instance, NULL);
	soup_server_add_handler(server, "/audit", on_audit, instance, NULL);
	soup_server_add_handler(server, "/metrics", on_metrics, instance, NULL);
	return true;
}
