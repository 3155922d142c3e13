/* Readiness, other instances' questions, counters. */
#include "godwitvale/entry/admin.h"

#include <string.h>

#include "godwitvale/ops/log.h"
#include "godwitvale/ops/metrics.h"

/// Target of a GET for the counters.
#define ADMIN_METRICS_TARGET "/metrics"
/// Bounds on what these addresses take: questions without a body.
#define ADMIN_HEAD_BYTES 8192
#define ADMIN_BODY_BYTES 1024
#define ADMIN_TIMEOUT (5 * USEC_PER_SEC)
#define ADMIN_IDLE_TIMEOUT (30 * USEC_PER_SEC)
#define ADMIN_CALLERS 256

/// @param entry  the instance
/// @return whether callers may be sent here
bool
admin_is_ready(const struct entry *entry)
{
	return !entry->leaving && view_is_complete(entry->view);
}

/// Answers a question.
static void
answer(struct http_call *call, unsigned status, const char *type,
    const char *body, size_t len)
{
	struct http_head head;

	http_head_init(&head);
	head.status = status;
	if (type != NULL)
		http_head_add(&head, "Content-Type", type);
	http_call_answer(call, &head, body, len);
	http_head_clear(&head);
}

/// Server callback: whether callers may be sent here.
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
	answer(call, ready ? 200 : 503, NULL, "", 0);
}

/// Server callback: another instance asks.
static void
on_control(void *owner, struct http_call *call)
{
	struct entry *entry = owner;
	GBytes *snapshot = NULL;
	gsize len;
	const char *bytes;

	if (strcmp(http_call_head(call)->target, PEERS_SNAPSHOT_TARGET) != 0) {
		answer(call, 404, NULL, "", 0);
		return;
	}
	snapshot = peers_snapshot(entry->view);
	if (snapshot == NULL) {
		answer(call, 503, NULL, "", 0);
		return;
	}
	bytes = g_bytes_get_data(snapshot, &len);
	answer(call, 200, "application/octet-stream", bytes, len);
	g_bytes_unref(snapshot);
}

/// Server callback: the counters.
static void
on_metrics(void *owner, struct http_call *call)
{
	struct entry *entry = owner;
	GString *text;

	if (strcmp(http_call_head(call)->target, ADMIN_METRICS_TARGET) != 0) {
		answer(call, 404, NULL, "", 0);
		return;
	}
	metrics_set(METRIC_QUEUE_LENGTH, wait_queue_length(entry->waiting));
	metrics_set(METRIC_IN_FLIGHT, http_server_open_calls(entry->callers));
	text = metrics_to_text();
	answer(call, 200, "text/plain; version=0.0.4", text->str, text->len);
	g_string_free(text, true);
}

/// Server callback: bad input was refused.
static void
on_refused(void *owner, unsigned status)
{
	(void)owner;
	log_event(LOG_LEVEL_WARN, "admin-input-refused", "status=%u", status);
}

static const struct http_server_vtable ready_vtable = {on_ready, on_refused};
static const struct http_server_vtable control_vtable = {
    on_control, on_refused};
static const struct http_server_vtable metrics_vtable = {
    on_metrics, on_refused};

/// Listens on one address.
static struct http_server *
listen_on(struct entry *entry, const struct http_server_vtable *vtable,
    const char *ip, uint16_t port, GError **error)
{
	const struct http_server_options options = {
	    .vtable = vtable,
	    .owner = entry,
	    .ip = ip,
	    .port = port,
	    .limits = {.max_head = ADMIN_HEAD_BYTES,
		.max_body = ADMIN_BODY_BYTES,
		.head_timeout = ADMIN_TIMEOUT,
		.idle_timeout = ADMIN_IDLE_TIMEOUT,
		.max_callers = ADMIN_CALLERS},
	};

	return http_server_new(&options, error);
}

/// Starts to listen.
///
/// @param entry  the instance
/// @param error  set when an address can't be listened on
/// @return false with error set
bool
admin_open(struct entry *entry, GError **error)
{
	const struct entry_settings *settings = entry->settings;

	entry->ready = listen_on(entry, &ready_vtable, settings->ready.ip,
	    settings->ready.port, error);
	if (entry->ready == NULL)
		return false;
	entry->control = listen_on(entry, &control_vtable, settings->control.ip,
	    settings->control.port, error);
	if (entry->control == NULL)
		return false;
	if (settings->metrics_port == 0)
		return true;
	entry->metrics = listen_on(entry, &metrics_vtable, settings->control.ip,
	    settings->metrics_port, error);
	return entry->metrics != NULL;
}

/// Stops to listen.
///
/// @param entry  the instance
void
admin_close(struct entry *entry)
{
	g_clear_pointer(&entry->ready, http_server_free);
	g_clear_pointer(&entry->control, http_server_free);
	g_clear_pointer(&entry->metrics, http_server_free);
}
