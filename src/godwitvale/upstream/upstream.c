/* The table of upstreams: follows the bundle, and asks for load reports. */
#include "godwitvale/upstream/upstream.h"

#include <string.h>

#include <json-c/json.h>

#include "godwitvale/registry/ask.h"
#include "godwitvale/serve/actions.h"
#include "godwitvale/serve/parse.h"
#include "godwitvale/serve/request.h"
#include "godwitvale/upstream/watch.h"

/// A report that takes longer counts as silence.
#define REPORT_TIMEOUT (2 * USEC_PER_SEC)

struct upstream_table {
	struct instance *instance;
	GPtrArray *upstreams; /// of struct upstream
};

/// One question to an upstream; it may be gone when the answer comes.
struct question {
	struct instance *instance;
	router_upstream handle;
	usec_t asked_at;
};

/// Releases an upstream.
///
/// @param data  the upstream
static void
upstream_free(gpointer data)
{
	struct upstream *upstream = data;

	watch_free(upstream->watch);
	g_free(upstream->name);
	g_free(upstream->base);
	g_free(upstream->address.ip);
	g_free(upstream->zone);
	g_free(upstream->model);
	g_free(upstream);
}

/// Finds an upstream by name and address.
///
/// @param table  the table
/// @param name   its name
/// @param base   its address, as a base URI
/// @return the upstream, or NULL
static struct upstream *
find_named(struct upstream_table *table, const char *name, const char *base)
{
	for (guint i = 0; i < table->upstreams->len; i++) {
		struct upstream *upstream =
		    g_ptr_array_index(table->upstreams, i);

		if (!upstream->retired && strcmp(upstream->name, name) == 0 &&
		    strcmp(upstream->base, base) == 0)
			return upstream;
	}
	return NULL;
}

/// Says what the router is to know of an upstream.
///
/// @param options  the upstream's part of the bundle
/// @return its options for the router
static struct router_upstream_options
router_options_of(const struct bundle_upstream *options)
{
	struct router_upstream_options routed = {
	    .kind = options->engine ? UPSTREAM_ENGINE : UPSTREAM_SERVICE,
	    .service = g_quark_from_string(options->serves),
	    .zone = g_quark_from_string(options->zone),
	    .memory_tokens = options->memory_tokens,
	    .max_running = options->max_running,
	    .cold_limit = options->cold_limit,
	    .warm_span = options->warm_span,
	};

	return routed;
}

/// Compares what the router knows of an upstream.
///
/// @param left   one description
/// @param right  the other
/// @return true when they are alike
static bool
same_options(const struct router_upstream_options *left,
    const struct router_upstream_options *right)
{
	return left->kind == right->kind && left->service == right->service &&
	    left->zone == right->zone &&
	    left->memory_tokens == right->memory_tokens &&
	    left->max_running == right->max_running &&
	    left->cold_limit == right->cold_limit &&
	    left->warm_span == right->warm_span;
}

/// Enters an upstream.
///
/// @param table    the table
/// @param options  its part of the bundle
/// @param base     its base URI; taken over
/// @return the upstream
static struct upstream *
add_upstream(struct upstream_table *table,
    const struct bundle_upstream *options, char *base)
{
	struct upstream *upstream = g_new0(struct upstream, 1);

	upstream->name = g_strdup(options->name);
	upstream->base = base;
	upstream->address.ip = g_strdup(options->ip);
	upstream->address.port = options->port;
	upstream->zone = g_strdup(options->zone);
	upstream->options = router_options_of(options);
	upstream->serves = upstream->options.service;
	upstream->engine = options->engine;
	upstream->checks_fence = options->checks_fence;
	upstream->in_service = true;
	upstream->handle = router_add_upstream(table->instance->router,
	    g_get_monotonic_time(), &upstream->options);
	if (table->upstreams->len < WATCH_UPSTREAMS_MAX)
		upstream->watch = watch_new(table->instance, upstream);
	g_ptr_array_add(table->upstreams, upstream);
	return upstream;
}

/// Takes an upstream out that the bundle no longer has. It stays in the table
/// for the requests that it still serves.
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

/// Tells whether a request still uses an upstream.
///
/// @param instance  the instance
/// @param handle    the upstream
/// @return true while one does
static bool
is_used(const struct instance *instance, router_upstream handle)
{
	for (guint i = 0; i < instance->requests->len; i++) {
		const struct request *request =
		    g_ptr_array_index(instance->requests, i);

		if (request != NULL && request->upstream == handle)
			return true;
	}
	return false;
}

/// Drops the retired upstreams that no request uses any more.
///
/// @param table  the table
static void
sweep_retired(struct upstream_table *table)
{
	for (guint i = table->upstreams->len; i > 0; i--) {
		struct upstream *upstream =
		    g_ptr_array_index(table->upstreams, i - 1);

		if (!upstream->retired ||
		    is_used(table->instance, upstream->handle))
			continue;
		router_remove_upstream(table->instance->router,
		    g_get_monotonic_time(), upstream->handle);
		g_ptr_array_remove_index(table->upstreams, i - 1);
	}
}

/// Puts an upstream in or out of service, with its zone.
///
/// @param table    the table
/// @param bundle   the bundle
/// @param upstream the upstream
/// @param options  its part of the bundle
static void
apply_state(struct upstream_table *table, const struct bundle *bundle,
    struct upstream *upstream, const struct bundle_upstream *options)
{
	const struct bundle_zone *zone =
	    bundle_find_zone(bundle, options->zone);
	bool in_service = options->state == BUNDLE_IN_SERVICE &&
	    (zone == NULL || zone->state == BUNDLE_IN_SERVICE);

	upstream->checks_fence = options->checks_fence;
	router_set_in_service(table->instance->router, g_get_monotonic_time(),
	    upstream->handle, in_service);
	if (upstream->in_service == in_service)
		return;
	upstream->in_service = in_service;
	audit_add(table->instance->audit, AUDIT_UPSTREAM, upstream->name,
	    bundle->signed_by, bundle->version, "%s",
	    in_service ? "in service" : "out of service");
}

/// Reads a number out of a report.
///
/// @param root  the report
/// @param name  the field
/// @return its value, 0 where missing
static uint64_t
report_number(struct json_object *root, const char *name)
{
	struct json_object *value;

	if (!json_object_object_get_ex(root, name, &value))
		return 0;
	return json_object_get_uint64(value);
}

/// Parses an answer's body.
///
/// @param body  the answer
/// @return its JSON value, or NULL
static struct json_object *
parse_bytes(GBytes *body)
{
	gsize len = 0;
	const char *text = g_bytes_get_data(body, &len);

	return parse_json(text, len, NULL);
}

/// Hands cache events to the router.
///
/// @param instance  the instance
/// @param upstream  the engine
/// @param events    a JSON array
static void
take_cache_events(struct instance *instance, const struct upstream *upstream,
    struct json_object *events)
{
	usec_t now = g_get_monotonic_time();
	size_t n = json_object_array_length(events);

	for (size_t i = 0; i < n; i++) {
		struct json_object *event =
		    json_object_array_get_idx(events, i);
		struct json_object *op = NULL;

		if (!json_object_object_get_ex(event, "op", &op))
			continue;
		router_handle_cache_event(instance->router, now,
		    upstream->handle, report_number(event, "seq"),
		    report_number(event, "block"),
		    strcmp(json_object_get_string(op), "stored") == 0);
	}
}

/// Takes a load report.
///
/// @param question  what was asked
/// @param upstream  the upstream
/// @param root      the report
static void
take_report(const struct question *question, struct upstream *upstream,
    struct json_object *root)
{
	struct router_load_report report = {
	    .requested_at = question->asked_at,
	    .start_epoch = report_number(root, "start_epoch"),
	    .uptime = (usec_t)report_number(root, "uptime_ms") * USEC_PER_MSEC,
	    .used_tokens = report_number(root, "used_tokens"),
	    .running = (uint32_t)report_number(root, "running"),
	    .waiting = (uint32_t)report_number(root, "waiting"),
	    .preemptions = report_number(root, "preemptions"),
	};
	struct json_object *model;

	upstream->start_epoch = report.start_epoch;
	upstream->fence = report_number(root, "fence");
	upstream->reported_at = question->asked_at;
	g_clear_pointer(&upstream->model, g_free);
	if (json_object_object_get_ex(root, "model", &model))
		upstream->model = g_strdup(json_object_get_string(model));
	router_report_load(question->instance->router, g_get_monotonic_time(),
	    upstream->handle, &report);
}

/// Takes the answer to a question for a load report.
///
/// @param status  HTTP status, 0 on failure
/// @param body    the report, or NULL
/// @param data    the question; released
static void
on_report(unsigned status, GBytes *body, gpointer data)
{
	struct question *question = data;
	struct instance *instance = question->instance;
	struct upstream *upstream =
	    upstream_find(instance->upstreams, question->handle);
	struct json_object *root = NULL;

	if (upstream == NULL)
		goto out;
	upstream->report_pending = false;
	/* A report from before a restart says nothing of what runs now. */
	if (question->asked_at < upstream->lost_at)
		goto out;
	if (status == SOUP_STATUS_OK)
		root = parse_bytes(body);
	if (json_object_is_type(root, json_type_object))
		take_report(question, upstream, root);
	else
		router_mark_unresponsive(
		    instance->router, g_get_monotonic_time(), upstream->handle);
	actions_execute_pending(instance);
out:
	json_object_put(root);
	g_free(question);
}

/// Takes an engine's cache events.
///
/// @param status  HTTP status, 0 on failure
/// @param body    the events, or NULL
/// @param data    the question; released
static void
on_cache_events(unsigned status, GBytes *body, gpointer data)
{
	struct question *question = data;
	struct upstream *upstream =
	    upstream_find(question->instance->upstreams, question->handle);
	struct json_object *root = NULL;
	struct json_object *events = NULL;

	if (upstream == NULL || status != SOUP_STATUS_OK)
		goto out;
	root = parse_bytes(body);
	if (json_object_is_type(root, json_type_object) &&
	    json_object_object_get_ex(root, "events", &events) &&
	    json_object_is_type(events, json_type_array)) {
		take_cache_events(question->instance, upstream, events);
		upstream->cache_sequence = report_number(root, "next");
	}
out:
	json_object_put(root);
	g_free(question);
}

/// Asks one upstream for its load, and an engine for its cache events.
///
/// @param table     the table
/// @param upstream  the upstream
/// @param now       current time
static void
ask_report(struct upstream_table *table, struct upstream *upstream, usec_t now)
{
	struct instance *instance = table->instance;
	struct question question = {instance, upstream->handle, now};
	char *path;

	upstream->report_pending = true;
	ask_get(instance, &upstream->address, "/load", REPORT_TIMEOUT,
	    on_report, g_memdup2(&question, sizeof(question)));
	if (!upstream->engine || instance->bundle->policy.prefix_weight <= 0)
		return;
	path = g_strdup_printf(
	    "/cache-events?after=%" G_GUINT64_FORMAT, upstream->cache_sequence);
	ask_get(instance, &upstream->address, path, REPORT_TIMEOUT,
	    on_cache_events, g_memdup2(&question, sizeof(question)));
	g_free(path);
}

/// Makes an empty table.
///
/// @param instance  the instance
/// @return the table
struct upstream_table *
upstream_table_new(struct instance *instance)
{
	struct upstream_table *table = g_new0(struct upstream_table, 1);

	table->instance = instance;
	table->upstreams = g_ptr_array_new_with_free_func(upstream_free);
	return table;
}

/// Releases a table.
///
/// @param table  the table
void
upstream_table_free(struct upstream_table *table)
{
	g_ptr_array_unref(table->upstreams);
	g_free(table);
}

/// Makes the table follow a bundle that came in force.
///
/// @param table   the table
/// @param bundle  the bundle
void
upstream_table_apply(struct upstream_table *table, const struct bundle *bundle)
{
	GHashTable *kept = g_hash_table_new(NULL, NULL);

	for (guint i = 0; i < bundle->upstreams->len; i++) {
		const struct bundle_upstream *options =
		    g_ptr_array_index(bundle->upstreams, i);
		struct settings_address address = {options->ip, options->port};
		char *base = ask_uri(&address, "");
		struct upstream *upstream =
		    find_named(table, options->name, base);
		struct router_upstream_options routed =
		    router_options_of(options);

		if (upstream != NULL &&
		    !same_options(&routed, &upstream->options)) {
			retire_upstream(table, upstream);
			upstream = NULL;
		}
		if (upstream == NULL)
			upstream = add_upstream(table, options, base);
		else
			g_free(base);
		apply_state(table, bundle, upstream, options);
		g_hash_table_add(kept, upstream);
	}
	for (guint i = 0; i < table->upstreams->len; i++) {
		struct upstream *upstream =
		    g_ptr_array_index(table->upstreams, i);

		if (!g_hash_table_contains(kept, upstream))
			retire_upstream(table, upstream);
	}
	g_hash_table_unref(kept);
}

/// Finds an upstream by the router's handle.
///
/// @param table   the table
/// @param handle  the handle
/// @return the upstream, or NULL when it has left the bundle
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

/// Lists the upstreams.
///
/// @param table  the table
/// @return its own array of struct upstream
GPtrArray *
upstream_list(struct upstream_table *table)
{
	return table->upstreams;
}

/// Asks for the load reports that are due.
///
/// @param table  the table
/// @param now    current time
void
upstream_poll_reports(struct upstream_table *table, usec_t now)
{
	usec_t interval = table->instance->settings->report_interval;

	sweep_retired(table);
	for (guint i = 0; i < table->upstreams->len; i++) {
		struct upstream *upstream =
		    g_ptr_array_index(table->upstreams, i);

		if (upstream->watch != NULL && !upstream->retired)
			watch_tick(upstream->watch, now);
		if (upstream->retired || upstream->report_pending ||
		    now < upstream->report_due)
			continue;
		upstream->report_due = now + interval / 2 +
		    g_rand_int_range(
			table->instance->random, 0, (gint32)interval);
		ask_report(table, upstream, now);
	}
}
