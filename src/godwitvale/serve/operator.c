/* Serves the read-only HTTP paths for operators: /status, /audit, /metrics. */
#include "godwitvale/serve/operator.h"

#include <string.h>

#include <json-c/json.h>

#include "godwitvale/caller/listener.h"
#include "godwitvale/ops/metrics.h"
#include "godwitvale/registry/member_list.h"
#include "godwitvale/serve/request.h"
#include "godwitvale/upstream/upstream.h"

/// Sends a response with status 200.
///
/// @param message  HTTP exchange with the operator
/// @param type     content type
/// @param text     body; copied
/// @param len      length of the body in bytes
static void
send_response(
    SoupServerMessage *message, const char *type, const char *text, size_t len)
{
	soup_server_message_set_status(message, SOUP_STATUS_OK, NULL);
	soup_server_message_set_response(
	    message, type, SOUP_MEMORY_COPY, text, len);
}

/// Describes an upstream as one entry of the status.
///
/// @param upstream  an upstream of the bundle in force
/// @return a new JSON object, owned by the caller
static struct json_object *
upstream_to_json(const struct upstream *upstream)
{
	struct json_object *entry = json_object_new_object();

	json_object_object_add(
	    entry, "name", json_object_new_string(upstream->name));
	json_object_object_add(
	    entry, "zone", json_object_new_string(upstream->zone));
	json_object_object_add(
	    entry, "in_service", json_object_new_boolean(upstream->in_service));
	json_object_object_add(entry, "reported",
	    json_object_new_boolean(upstream->report_requested_at != 0));
	return entry;
}

/// Serves /status: the state of this instance and of its upstreams.
///
/// @param server   unused
/// @param message  HTTP exchange with the operator
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
	    json_object_new_uint64(
		member_list_get_revision(instance->members)));
	json_object_object_add(root, "authorised",
	    json_object_new_boolean(
		bundle_freshness_may_admit(&instance->bundle_freshness, now)));
	json_object_object_add(root, "votes",
	    json_object_new_boolean(quorum_is_ready(instance->quorum, now)));
	json_object_object_add(root, "in_service",
	    json_object_new_boolean(!instance->out_of_service));
	json_object_object_add(
	    root, "draining", json_object_new_boolean(instance->draining));
	json_object_object_add(root, "in_progress",
	    json_object_new_int64(request_count(instance)));
	for (guint i = 0; i < list->len; i++)
		json_object_array_add(
		    upstreams, upstream_to_json(g_ptr_array_index(list, i)));
	json_object_object_add(root, "upstreams", upstreams);
	text = json_object_to_json_string_ext(root, JSON_C_TO_STRING_PRETTY);
	send_response(message, "application/json", text, strlen(text));
	json_object_put(root);
}

/// Serves /audit: the audit trail as JSON.
///
/// @param server   unused
/// @param message  HTTP exchange with the operator
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
	send_response(message, "application/json", text->str, text->len);
	g_string_free(text, TRUE);
}

/// Serves /metrics. Updates the gauges that are read from the router first.
///
/// @param server   unused
/// @param message  HTTP exchange with the operator
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
	send_response(
	    message, "text/plain; version=0.0.4", text->str, text->len);
	g_string_free(text, TRUE);
}

/// Opens the listener for operators.
///
/// @param instance  owner of the listener
/// @param error     set if listening on the address fails
/// @return false on failure
bool
operator_open(struct instance *instance, GError **error)
{
	const struct connections_options options = {
	    .name = "operator",
	    .limits = instance->client_limits,
	    .max_connections = instance->client_connections.admin,
	};
	SoupServer *server;

	instance->operator_listener =
	    listener_new(&instance->settings->operator_, &options, error);
	if (instance->operator_listener == NULL)
		return false;
	server = listener_get_server(instance->operator_listener);
	soup_server_add_handler(server, "/status", on_status, instance, NULL);
	soup_server_add_handler(server, "/audit", on_audit, instance, NULL);
	soup_server_add_handler(server, "/metrics", on_metrics, instance, NULL);
	return true;
}
