/*
 * Table of upstreams. Applies each bundle to the table and the router, and
 * polls the upstreams for load reports and cache events.
 */
#include "godwitvale/upstream/upstream.h"

#include <string.h>

#include <json-c/json.h>

#include "godwitvale/registry/http_get.h"
#include "godwitvale/serve/actions.h"
#include "godwitvale/serve/parse.h"
#include "godwitvale/serve/request.h"
#include "godwitvale/upstream/watch.h"

/// Timeout of a query for a report. An upstream whose load report times out is
/// marked as unresponsive.
#define REPORT_TIMEOUT (2 * USEC_PER_SEC)

/// The upstreams that the bundle in force lists, and retired ones.
struct upstream_table {
	struct instance *instance;
	GPtrArray *upstreams; /// elements: struct upstream *
};

/// One query to an upstream. The upstream is referenced by its handle, as it
/// may have been removed when the response arrives.
struct query {
	struct instance *instance;
	router_upstream handle;
	usec_t sent_at;
};

/// Frees an upstream.
///
/// @param data  a struct upstream
static void
upstream_free(gpointer data)
{
	struct upstream *upstream = data;

	watch_free(upstream->watch);
	g_free(upstream->name);
	g_free(upstream->base_uri);
	g_free(upstream->address.ip);
	g_free(upstream->zone);
	g_free(upstream->model);
	g_free(upstream);
}

/// Finds an upstream that isn't retired by its name and address.
///
/// @param table     the table
/// @param name      name of the upstream
/// @param base_uri  address of the upstream, as a base URI
/// @return the upstream, or NULL
static struct upstream *
find_upstream_by_name(
    struct upstream_table *table, const char *name, const char *base_uri)
{
	for (guint i = 0; i < table->upstreams->len; i++) {
		struct upstream *upstream =
		    g_ptr_array_index(table->upstreams, i);

		if (!upstream->retired && strcmp(upstream->name, name) == 0 &&
		    strcmp(upstream->base_uri, base_uri) == 0)
			return upstream;
	}
	return NULL;
}

/// Builds the router's options of an upstream.
///
/// @param entry  the upstream's entry in the bundle
/// @return the options
static struct router_upstream_options
get_router_options(const struct bundle_upstream *entry)
{
	struct router_upstream_options router_options = {
	    .kind = entry->engine ? UPSTREAM_ENGINE : UPSTREAM_SERVICE,
	    .service = g_quark_from_string(entry->serves),
	    .zone = g_quark_from_string(entry->zone),
	    .memory_tokens = entry->memory_tokens,
	    .max_running = entry->max_running,
	    .cold_limit = entry->cold_limit,
	    .warm_span = entry->warm_span,
	};

	return router_options;
}

/// Compares the router's options of two upstreams.
///
/// @param left   options of an upstream
/// @param right  options of another upstream
/// @return true if all options are equal
static bool
options_equal(const struct router_upstream_options *left,
    const struct router_upstream_options *right)
{
	return left->kind == right->kind && left->service == right->service &&
	    left->zone == right->zone &&
	    left->memory_tokens == right->memory_tokens &&
	    left->max_running == right->max_running &&
	    left->cold_limit == right->cold_limit &&
	    left->warm_span == right->warm_span;
}

/// Adds an upstream to the table and to the router, and watches it if there are
/// fewer than WATCH_UPSTREAMS_MAX upstreams in the table.
///
/// @param table     the table
/// @param entry     the upstream's entry in the bundle
/// @param base_uri  base URI of the upstream; the upstream takes ownership
/// @return the upstream
static struct upstream *
add_upstream(struct upstream_table *table, const struct bundle_upstream *entry,
    char *base_uri)
{
	struct upstream *upstream = g_new0(struct upstream, 1);

	upstream->name = g_strdup(entry->name);
	upstream->base_uri = base_uri;
	upstream->address.ip = g_strdup(entry->ip);
	upstream->address.port = entry->port;
	upstream->zone = g_strdup(entry->zone);
	upstream->options = get_router_options(entry);
	upstream->serves = upstream->options.service;
	upstream->is_engine = entry->engine;
	upstream->checks_fence = entry->checks_fence;
	upstream->in_service = true;
	upstream->handle = router_add_upstream(table->instance->router,
	    g_get_monotonic_time(), &upstream->options);
	if (table->upstreams->len < WATCH_UPSTREAMS_MAX)
		upstream->watch = watch_new(table->instance, upstream);
	g_ptr_array_add(table->upstreams, upstream);
	return upstream;
}

/// Takes an upstream out of service that is no longer in the bundle with its
/// options. The upstream stays in the table until no request uses it.
///
/// @param table     the table
/// @param upstream  the upstream
static void
retire_upstream(struct upstream_table *table, struct upstream *upstream)
{
	upstream->retired = true;
	upstream->in_service = false;
	router_set_in_service(table->instance->router, g_get_monotonic_time(),
	    upstream->handle, false);
}

/// Checks whether a request uses an upstream.
///
/// @param instance  the local instance
/// @param handle    the upstream
/// @return true if a request of this instance is placed on the upstream
static bool
is_upstream_in_use(const struct instance *instance, router_upstream handle)
{
	for (guint i = 0; i < instance->requests->len; i++) {
		const struct request *request =
		    g_ptr_array_index(instance->requests, i);

		if (request != NULL && request->upstream == handle)
			return true;
	}
	return false;
}

/// Removes retired upstreams that no request uses from the table and from the
/// router.
///
/// @param table  the table
static void
remove_retired_upstreams(struct upstream_table *table)
{
	for (guint i = table->upstreams->len; i > 0; i--) {
		struct upstream *upstream =
		    g_ptr_array_index(table->upstreams, i - 1);

		if (!upstream->retired ||
		    is_upstream_in_use(table->instance, upstream->handle))
			continue;
		router_remove_upstream(table->instance->router,
		    g_get_monotonic_time(), upstream->handle);
		g_ptr_array_remove_index(table->upstreams, i - 1);
	}
}

/// Puts an upstream in or out of service, and audits the change. An upstream is
/// in service if the bundle has both the upstream and its zone in service.
///
/// @param table     the table
/// @param bundle    the bundle in force
/// @param upstream  the upstream
/// @param entry     the upstream's entry in the bundle
static void
apply_service_state(struct upstream_table *table, const struct bundle *bundle,
    struct upstream *upstream, const struct bundle_upstream *entry)
{
	const struct bundle_zone *zone = bundle_find_zone(bundle, entry->zone);
	bool in_service = entry->state == BUNDLE_IN_SERVICE &&
	    (zone == NULL || zone->state == BUNDLE_IN_SERVICE);

	upstream->checks_fence = entry->checks_fence;
	router_set_in_service(table->instance->router, g_get_monotonic_time(),
	    upstream->handle, in_service);
	if (upstream->in_service == in_service)
		return;
	upstream->in_service = in_service;
	audit_add(table->instance->audit, AUDIT_UPSTREAM, upstream->name,
	    bundle->signed_by, bundle->version, "%s",
	    in_service ? "in service" : "out of service");
}

/// Reads a number from a report.
///
/// @param root  the report, a JSON object
/// @param name  name of the field
/// @return value of the field, or 0 if the field is missing
static uint64_t
get_report_number(struct json_object *root, const char *name)
{
	struct json_object *value;

	if (!json_object_object_get_ex(root, name, &value))
		return 0;
	return json_object_get_uint64(value);
}

/// Parses the body of a response as JSON.
///
/// @param body  body of the response
/// @return the JSON value, or NULL if the body is malformed
static struct json_object *
parse_body(GBytes *body)
{
	gsize len = 0;
	const char *text = g_bytes_get_data(body, &len);

	return parse_json(text, len, NULL);
}

/// Passes an engine's cache events to the router.
///
/// @param instance  the local instance
/// @param upstream  the engine
/// @param events    JSON array of the events
static void
handle_cache_events(struct instance *instance, const struct upstream *upstream,
    struct json_object *events)
{
	usec_t now = g_get_monotonic_time();
	size_t n_events = json_object_array_length(events);

	for (size_t i = 0; i < n_events; i++) {
		struct json_object *event =
		    json_object_array_get_idx(events, i);
		struct json_object *op = NULL;

		if (!json_object_object_get_ex(event, "op", &op))
			continue;
		router_handle_cache_event(instance->router, now,
		    upstream->handle, get_report_number(event, "seq"),
		    get_report_number(event, "block"),
		    strcmp(json_object_get_string(op), "stored") == 0);
	}
}

/// Stores a load report and passes it to the router.
///
/// @param query     the query for the report
/// @param upstream  the upstream
/// @param root      the report, a JSON object
static void
handle_load_report(const struct query *query, struct upstream *upstream,
    struct json_object *root)
{
	struct router_load_report report = {
	    .requested_at = query->sent_at,
	    .start_epoch = get_report_number(root, "start_epoch"),
	    .uptime =
		(usec_t)get_report_number(root, "uptime_ms") * USEC_PER_MSEC,
	    .used_tokens = get_report_number(root, "used_tokens"),
	    .running = (uint32_t)get_report_number(root, "running"),
	    .waiting = (uint32_t)get_report_number(root, "waiting"),
	    .preemptions = get_report_number(root, "preemptions"),
	};
	struct json_object *model;

	upstream->start_epoch = report.start_epoch;
	upstream->fence = get_report_number(root, "fence");
	upstream->report_requested_at = query->sent_at;
	g_clear_pointer(&upstream->model, g_free);
	if (json_object_object_get_ex(root, "model", &model))
		upstream->model = g_strdup(json_object_get_string(model));
	router_report_load(query->instance->router, g_get_monotonic_time(),
	    upstream->handle, &report);
}

/// Handles the response to a query for a load report. An upstream without a
/// valid report is marked as unresponsive.
///
/// @param status  HTTP status, or 0 if the query failed
/// @param body    the report, or NULL
/// @param data    the struct query; freed
static void
on_load_report(unsigned status, GBytes *body, gpointer data)
{
	struct query *query = data;
	struct instance *instance = query->instance;
	struct upstream *upstream =
	    upstream_find(instance->upstreams, query->handle);
	struct json_object *root = NULL;

	if (upstream == NULL)
		goto out;
	upstream->report_pending = false;
	/* A report that was requested before a restart is outdated. */
	if (query->sent_at < upstream->disconnected_at)
		goto out;
	if (status == SOUP_STATUS_OK)
		root = parse_body(body);
	if (json_object_is_type(root, json_type_object))
		handle_load_report(query, upstream, root);
	else
		router_mark_unresponsive(
		    instance->router, g_get_monotonic_time(), upstream->handle);
	actions_execute_pending(instance);
out:
	json_object_put(root);
	g_free(query);
}

/// Handles the response to a query for an engine's cache events.
///
/// @param status  HTTP status, or 0 if the query failed
/// @param body    the events, or NULL
/// @param data    the struct query; freed
static void
on_cache_events(unsigned status, GBytes *body, gpointer data)
{
	struct query *query = data;
	struct upstream *upstream =
	    upstream_find(query->instance->upstreams, query->handle);
	struct json_object *root = NULL;
	struct json_object *events = NULL;

	if (upstream == NULL || status != SOUP_STATUS_OK)
		goto out;
	root = parse_body(body);
	if (json_object_is_type(root, json_type_object) &&
	    json_object_object_get_ex(root, "events", &events) &&
	    json_object_is_type(events, json_type_array)) {
		handle_cache_events(query->instance, upstream, events);
		upstream->cache_sequence = get_report_number(root, "next");
	}
out:
	json_object_put(root);
	g_free(query);
}

/// Requests the load report of an upstream, and an engine's cache events if the
/// policy gives prefix matches a weight.
///
/// @param table     the table
/// @param upstream  the upstream
/// @param now       current monotonic time, in microseconds
static void
request_load_report(
    struct upstream_table *table, struct upstream *upstream, usec_t now)
{
	struct instance *instance = table->instance;
	struct query query = {instance, upstream->handle, now};
	char *path;

	upstream->report_pending = true;
	http_get_start(instance, &upstream->address, "/load", REPORT_TIMEOUT,
	    on_load_report, g_memdup2(&query, sizeof(query)));
	if (!upstream->is_engine || instance->bundle->policy.prefix_weight <= 0)
		return;
	path = g_strdup_printf(
	    "/cache-events?after=%" G_GUINT64_FORMAT, upstream->cache_sequence);
	http_get_start(instance, &upstream->address, path, REPORT_TIMEOUT,
	    on_cache_events, g_memdup2(&query, sizeof(query)));
	g_free(path);
}

/// Creates an empty table.
///
/// @param instance  the local instance
/// @return the table
struct upstream_table *
upstream_table_new(struct instance *instance)
{
	struct upstream_table *table = g_new0(struct upstream_table, 1);

	table->instance = instance;
	table->upstreams = g_ptr_array_new_with_free_func(upstream_free);
	return table;
}

/// Frees a table with its upstreams.
///
/// @param table  the table
void
upstream_table_free(struct upstream_table *table)
{
	g_ptr_array_unref(table->upstreams);
	g_free(table);
}

/// Updates the table to a bundle that came into force. An upstream whose name,
/// address or router options changed is retired, and added as a new upstream.
///
/// @param table   the table
/// @param bundle  the bundle
void
upstream_table_apply(struct upstream_table *table, const struct bundle *bundle)
{
	GHashTable *listed = g_hash_table_new(NULL, NULL);

	for (guint i = 0; i < bundle->upstreams->len; i++) {
		const struct bundle_upstream *entry =
		    g_ptr_array_index(bundle->upstreams, i);
		struct settings_address address = {entry->ip, entry->port};
		char *base_uri = http_get_format_uri(&address, "");
		struct upstream *upstream =
		    find_upstream_by_name(table, entry->name, base_uri);
		struct router_upstream_options router_options =
		    get_router_options(entry);

		if (upstream != NULL &&
		    !options_equal(&router_options, &upstream->options)) {
			retire_upstream(table, upstream);
			upstream = NULL;
		}
		if (upstream == NULL)
			upstream = add_upstream(table, entry, base_uri);
		else
			g_free(base_uri);
		apply_service_state(table, bundle, upstream, entry);
		g_hash_table_add(listed, upstream);
	}
	for (guint i = 0; i < table->upstreams->len; i++) {
		struct upstream *upstream =
		    g_ptr_array_index(table->upstreams, i);

		if (!g_hash_table_contains(listed, upstream))
			retire_upstream(table, upstream);
	}
	g_hash_table_unref(listed);
}

/// Finds an upstream by its handle at the router.
///
/// @param table   the table
/// @param handle  handle of the upstream
/// @return the upstream, or NULL if it has been removed
struct upstream *
upstream_find(struct upstream_table *table, router_upstream handle)
{
	for (guint i = 0; i < table->upstreams->len; i++) {
		struct upstream *upstream =
		    g_ptr_array_index(table->upstreams, i);

		if (upstream->handle == handle)
			return upstream;
	}
	return NULL;
}

/// Lists the upstreams, including retired ones.
///
/// @param table  the table
/// @return array of struct upstream pointers, owned by the table
GPtrArray *
upstream_list(struct upstream_table *table)
{
	return table->upstreams;
}

/// Requests the load reports that are due, reconnects the watches, and removes
/// retired upstreams that no request uses.
///
/// @param table  the table
/// @param now    current monotonic time, in microseconds
void
upstream_poll_reports(struct upstream_table *table, usec_t now)
{
	usec_t interval = table->instance->settings->report_interval;

	remove_retired_upstreams(table);
	for (guint i = 0; i < table->upstreams->len; i++) {
		struct upstream *upstream =
		    g_ptr_array_index(table->upstreams, i);

		if (upstream->watch != NULL && !upstream->retired)
			watch_reconnect(upstream->watch, now);
		if (upstream->retired || upstream->report_pending ||
		    now < upstream->report_due)
			continue;
		upstream->report_due = now + interval / 2 +
		    g_rand_int_range(
			table->instance->random, 0, (gint32)interval);
		request_load_report(table, upstream, now);
	}
}
