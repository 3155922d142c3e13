/* HTTP servers for readiness, snapshots, metrics and status. */
#include "godwitvale/entry/admin.h"

#include <string.h>

#include <json-c/json.h>

#include "godwitvale/core/hash.h"
#include "godwitvale/entry/client_guard.h"
#include "godwitvale/entry/entry_metrics.h"
#include "godwitvale/entry/forwarding.h"
#include "godwitvale/entry/segment_guard.h"
#include "godwitvale/entry/share_monitor.h"
#include "godwitvale/fleet/snapshot_sync.h"
#include "godwitvale/ops/log.h"

/// Target of a GET for the metrics.
#define ADMIN_METRICS_TARGET "/metrics"
/// Target of a GET for the status of this instance.
#define ADMIN_STATUS_TARGET "/status"
/// Limits of these servers. Only requests that other instances forward have a
/// body; it is as long as that of a caller at least.
#define ADMIN_HEAD_BYTES 65536
#define ADMIN_BODY_BYTES 1024
#define ADMIN_FORWARD_BYTES_MIN (4 * 1024 * 1024)
#define ADMIN_TIMEOUT (5 * USEC_PER_SEC)
#define ADMIN_IDLE_TIMEOUT (30 * USEC_PER_SEC)

/// Checks whether balancers may send callers to this instance.
///
/// @param entry  instance to be checked
/// @return true if it isn't shutting down and knows its configuration and
///         upstreams
bool
admin_is_ready(const struct entry *entry)
{
	return !entry->leaving && view_is_complete(entry->view);
}

/// Sends a complete answer.
static void
send_answer(struct http_call *call, unsigned status, const char *type,
    const char *body, size_t len)
{
	struct http_head head;

	http_head_init(&head);
	head.status = status;
	if (type != NULL)
		http_head_add(&head, "Content-Type", type);
	http_call_respond(call, &head, body, len);
	http_head_clear(&head);
}

/// Server callback: a balancer checks the readiness.
static void
on_ready(void *owner, struct http_call *call)
{
	struct entry *entry = owner;
	bool ready = admin_is_ready(entry);

	if (ready != entry->was_ready)
		log_event(LOG_LEVEL_INFO, ready ? "ready" : "not-ready",
		    "leaving=%d config_version=%" G_GUINT64_FORMAT
		    " upstreams=%u",
		    entry->leaving,
		    view_deployment(entry->view) == NULL
			? 0
			: view_deployment(entry->view)->version,
		    directory_size(view_directory(entry->view)));
	entry->was_ready = ready;
	send_answer(call, ready ? 200 : 503, NULL, "", 0);
}

/// Server callback: another instance requests a snapshot, or forwards a
/// request.
static void
on_member_request(void *owner, struct http_call *call)
{
	struct entry *entry = owner;
	GBytes *snapshot = NULL;
	gsize len;
	const char *bytes;

	if (forwarding_is_forwarded(http_call_head(call))) {
		forwarding_accept(entry, call);
		return;
	}
	if (strcmp(http_call_head(call)->target, SNAPSHOT_SYNC_TARGET) != 0) {
		send_answer(call, 404, NULL, "", 0);
		return;
	}
	snapshot = snapshot_sync_encode(entry->view);
	if (snapshot == NULL) {
		send_answer(call, 503, NULL, "", 0);
		return;
	}
	bytes = g_bytes_get_data(snapshot, &len);
	send_answer(call, 200, "application/octet-stream", bytes, len);
	g_bytes_unref(snapshot);
}

/// Writes this instance's gauges and its counter of calls to the store as
/// Prometheus text.
static void
write_gauges(const struct entry *entry, GString *out)
{
	const struct {
		const char *name;
		const char *help;
		uint64_t value;
	} gauges[] = {
	    {"entry_waiting", "Requests that wait for room.",
		wait_queue_length(entry->waiting)},
	    {"entry_open_requests", "Requests that are being answered.",
		http_server_count_open_calls(entry->caller_server)},
	    {"entry_client_bytes", "Bytes held on behalf of clients.",
		client_limits_held(client_guard_limits(entry->client_guard))},
	    {"entry_client_bytes_max", "Bound on these bytes.",
		client_limits_bound(client_guard_limits(entry->client_guard))},
	    {"entry_socket_buffer_bytes",
		"Size of the kernel's buffers of the next client's socket, for "
		"one direction.",
		client_limits_socket_buffer(
		    client_guard_limits(entry->client_guard))},
	    {"entry_callers", "Connections of callers.",
		http_server_count_callers(entry->caller_server)},
	    {"entry_config_version", "Configuration in force; 0: none.",
		view_deployment(entry->view) == NULL
		    ? 0
		    : view_deployment(entry->view)->version},
	    {"entry_upstreams", "Upstreams known.",
		directory_size(view_directory(entry->view))},
	    {"entry_peers", "Other instances alive.",
		membership_size(peers_membership(entry->peers)) - 1},
	    {"entry_hub_subscribers",
		"Instances that get the fleet's messages from this one.",
		hub_count_subscribers(peers_hub(entry->peers))},
	    {"entry_limited_upstreams", "Upstreams with a limit in force.",
		rate_limits_count(entry->rate_limits)},
	    {"entry_paused_upstreams", "Upstreams that want a pause.",
		upstream_notices_count_paused(
		    entry->notices, g_get_monotonic_time())},
	    {"entry_limited_organisations",
		"Organisations above their fair share of scarce engine memory.",
		entry->shares == NULL
		    ? 0
		    : organisation_shares_count_limited(entry->shares)},
	    {"entry_share_reports",
		"Other instances whose reports of engine memory count.",
		entry->shares == NULL
		    ? 0
		    : organisation_shares_count_reporting(entry->shares)},
	    {"entry_quarantines", "Quarantines of prompt segments in force.",
		quarantine_count_rules(segment_guard_quarantine(entry->guard))},
	    {"entry_store_era", "Era of the store's data; 0: it names none.",
		view_era(entry->view)},
	    {"entry_store_reachable", "Whether the store answers.",
		store_is_reachable(entry->store)},
	    {"entry_ready", "Whether callers may be sent here.",
		admin_is_ready(entry)},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(gauges); i++)
		g_string_append_printf(out,
		    "# HELP godwitvale_%s %s\n"
		    "# TYPE godwitvale_%s gauge\n"
		    "godwitvale_%s %" G_GUINT64_FORMAT "\n",
		    gauges[i].name, gauges[i].help, gauges[i].name,
		    gauges[i].name, gauges[i].value);
	g_string_append_printf(out,
	    "# HELP godwitvale_entry_store_calls_total Calls to the store.\n"
	    "# TYPE godwitvale_entry_store_calls_total counter\n"
	    "godwitvale_entry_store_calls_total %" G_GUINT64_FORMAT "\n",
	    store_call_count(entry->store));
}

/// Describes the upstreams in the directory of this instance, as JSON.
static json_object *
describe_upstreams(const struct entry *entry)
{
	GPtrArray *records =
	    directory_list_records(view_directory(entry->view));
	json_object *list = json_object_new_array();

	for (guint i = 0; i < records->len; i++) {
		const struct upstream_record *record = records->pdata[i];
		struct load load =
		    loads_get_total(entry->loads, hash_name(record->entry.id));
		json_object *row = json_object_new_object();

		json_object_object_add(
		    row, "id", json_object_new_string(record->entry.id));
		json_object_object_add(row, "service",
		    json_object_new_string(record->entry.service));
		json_object_object_add(
		    row, "zone", json_object_new_string(record->entry.zone));
		json_object_object_add(row, "ready",
		    json_object_new_boolean(
			record->entry.state == UPSTREAM_READY));
		json_object_object_add(
		    row, "requests", json_object_new_int(load.requests));
		json_object_object_add(
		    row, "tokens", json_object_new_int(load.tokens));
		json_object_array_add(list, row);
	}
	g_ptr_array_unref(records);
	return list;
}

/// Describes the organisations at services whose engine memory is scarce, as
/// JSON, the largest first.
static json_object *
describe_organisations(const struct entry *entry)
{
	struct organisation_state states[SHARE_MONITOR_STATES_MAX];
	json_object *list = json_object_new_array();
	size_t n = entry->shares == NULL
	    ? 0
	    : organisation_shares_list_states(
		  entry->shares, states, SHARE_MONITOR_STATES_MAX);

	for (size_t i = 0; i < n; i++) {
		const struct organisation_state *state = &states[i];
		json_object *row = json_object_new_object();

		json_object_object_add(row, "organisation",
		    json_object_new_string(share_monitor_find_organisation(
			entry, state->organisation)));
		json_object_object_add(row, "service",
		    json_object_new_string(
			share_monitor_find_service(entry, state->service)));
		json_object_object_add(
		    row, "held_tokens", json_object_new_int64(state->held));
		json_object_object_add(
		    row, "share_tokens", json_object_new_int64(state->share));
		json_object_object_add(
		    row, "headroom", json_object_new_double(state->headroom));
		json_object_object_add(
		    row, "limited", json_object_new_boolean(state->is_limited));
		json_object_object_add(row, "estimate",
		    json_object_new_boolean(state->is_estimate));
		json_object_array_add(list, row);
	}
	return list;
}

/// Sends the status of this instance, as JSON.
static void
answer_status(struct entry *entry, struct http_call *call)
{
	const struct deployment *deployment = view_deployment(entry->view);
	json_object *root = json_object_new_object();
	const char *text;

	json_object_object_add(root, "instance",
	    json_object_new_string(entry->settings->instance));
	json_object_object_add(
	    root, "zone", json_object_new_string(entry->settings->zone));
	json_object_object_add(
	    root, "ready", json_object_new_boolean(admin_is_ready(entry)));
	json_object_object_add(
	    root, "leaving", json_object_new_boolean(entry->leaving));
	json_object_object_add(root, "config_version",
	    json_object_new_uint64(
		deployment == NULL ? 0 : deployment->version));
	json_object_object_add(root, "store_reachable",
	    json_object_new_boolean(store_is_reachable(entry->store)));
	json_object_object_add(root, "peers",
	    json_object_new_int(
		(int)membership_size(peers_membership(entry->peers)) - 1));
	json_object_object_add(root, "hub",
	    json_object_new_string(hub_own_hub_name(peers_hub(entry->peers))));
	json_object_object_add(root, "hub_subscribers",
	    json_object_new_int(
		(int)hub_count_subscribers(peers_hub(entry->peers))));
	json_object_object_add(root, "open_requests",
	    json_object_new_int(
		(int)http_server_count_open_calls(entry->caller_server)));
	json_object_object_add(root, "waiting",
	    json_object_new_int((int)wait_queue_length(entry->waiting)));
	json_object_object_add(
	    root, "organisations", describe_organisations(entry));
	json_object_object_add(root, "upstreams", describe_upstreams(entry));
	text = json_object_to_json_string_ext(root, JSON_C_TO_STRING_PRETTY);
	send_answer(call, 200, "application/json", text, strlen(text));
	json_object_put(root);
}

/// Server callback: an operator requests the metrics or the status.
static void
on_metrics(void *owner, struct http_call *call)
{
	struct entry *entry = owner;
	const char *target = http_call_head(call)->target;
	GString *text;

	if (strcmp(target, ADMIN_STATUS_TARGET) == 0) {
		answer_status(entry, call);
		return;
	}
	if (strcmp(target, ADMIN_METRICS_TARGET) != 0) {
		send_answer(call, 404, NULL, "", 0);
		return;
	}
	text = g_string_new(NULL);
	write_gauges(entry, text);
	series_to_text(text);
	send_answer(
	    call, 200, "text/plain; version=0.0.4", text->str, text->len);
	g_string_free(text, true);
}

/// Server callback: invalid input was refused.
static void
on_refused(void *owner, unsigned status)
{
	(void)owner;
	/* A limit on memory, which is logged as such. */
	if (status == 503)
		return;
	log_event(LOG_LEVEL_WARN, "admin-input-refused", "status=%u", status);
}

/// Server callback: a limit on what clients use together has taken effect.
static void
on_limited(void *owner, enum http_limit limit)
{
	const struct entry *entry = owner;

	client_guard_note_limit(entry->client_guard, limit, "admin");
}

static const struct http_server_vtable ready_vtable = {
    .request = on_ready,
    .refused = on_refused,
    .limited = on_limited,
};
static const struct http_server_vtable control_vtable = {
    .request = on_member_request,
    .refused = on_refused,
    .limited = on_limited,
};
static const struct http_server_vtable metrics_vtable = {
    .request = on_metrics,
    .refused = on_refused,
    .limited = on_limited,
};

/// Returns the limits of these servers.
static struct http_limits
make_limits(const struct entry *entry, size_t max_body, unsigned max_callers)
{
	return (struct http_limits){
	    .max_head = ADMIN_HEAD_BYTES,
	    .max_body = max_body,
	    .head_timeout = ADMIN_TIMEOUT,
	    .idle_timeout = ADMIN_IDLE_TIMEOUT,
	    .stall_timeout = HTTP_STALL_TIMEOUT,
	    .max_callers = max_callers,
	    .body = client_guard_body_limits(entry->client_guard),
	};
}

/// Opens a server on one address.
static struct http_server *
listen_on(struct entry *entry, const struct http_server_vtable *vtable,
    const char *ip, uint16_t port, const struct http_limits *limits,
    GError **error)
{
	const struct http_server_options options = {
	    .vtable = vtable,
	    .owner = entry,
	    .ip = ip,
	    .port = port,
	    .limits = *limits,
	    .clients = client_guard_limits(entry->client_guard),
	};

	return http_server_new(&options, error);
}

/// Sets the longest body of a request that another instance forwards.
///
/// @param entry     instance whose servers are open
/// @param max_body  bytes that callers of this instance may send
void
admin_set_max_body(struct entry *entry, size_t max_body)
{
	const struct http_limits limits =
	    make_limits(entry, MAX(max_body, ADMIN_FORWARD_BYTES_MIN),
		client_guard_connections(entry->client_guard).members);

	http_server_set_limits(entry->control_server, &limits);
}

/// Opens the servers for readiness, other instances and, if its port is set,
/// metrics.
///
/// @param entry  instance whose settings name the addresses
/// @param error  set if the instance can't listen on an address
/// @return false with error set on failure; the servers opened before stay open
///         until admin_close()
bool
admin_open(struct entry *entry, GError **error)
{
	const struct entry_settings *settings = entry->settings;
	const struct client_connections connections =
	    client_guard_connections(entry->client_guard);
	struct http_limits limits =
	    make_limits(entry, ADMIN_BODY_BYTES, connections.admin);
	const struct http_limits control_limits =
	    make_limits(entry, ADMIN_FORWARD_BYTES_MIN, connections.members);

	/* Callers that use up the memory don't make the instance unready. */
	limits.admits_all = true;
	entry->ready_server = listen_on(entry, &ready_vtable,
	    settings->ready.ip, settings->ready.port, &limits, error);
	if (entry->ready_server == NULL)
		return false;
	entry->control_server =
	    listen_on(entry, &control_vtable, settings->control.ip,
		settings->control.port, &control_limits, error);
	if (entry->control_server == NULL)
		return false;
	if (settings->metrics_port == 0)
		return true;
	entry->metrics_server = listen_on(entry, &metrics_vtable,
	    settings->control.ip, settings->metrics_port, &limits, error);
	return entry->metrics_server != NULL;
}

/// Closes these servers.
///
/// @param entry  instance whose servers are closed; may have none
void
admin_close(struct entry *entry)
{
	g_clear_pointer(&entry->ready_server, http_server_free);
	g_clear_pointer(&entry->control_server, http_server_free);
	g_clear_pointer(&entry->metrics_server, http_server_free);
}
