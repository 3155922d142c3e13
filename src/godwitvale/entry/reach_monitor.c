/* Watches requests for silence, and sends the probes. */
#include "godwitvale/entry/reach_monitor.h"

#include "godwitvale/entry/crash_probe.h"
#include "godwitvale/entry/entry.h"
#include "godwitvale/entry/entry_metrics.h"
#include "godwitvale/entry/forwarding.h"
#include "godwitvale/http/fetch.h"
#include "godwitvale/ops/log.h"

/// A request to a plain service, or a stream that has begun, is silent when
/// nothing has come for this long.
#define REACH_SILENT_SPAN (400 * USEC_PER_MSEC)
/// The same while an engine reads the prompt.
#define REACH_SILENT_PROMPT_SPAN (1200 * USEC_PER_MSEC)
/// A begun answer isn't given up before nothing has come for this long. An
/// upstream in order may be silent for a second or two; a connection that is
/// really cut ends by its keep-alive probes in this time.
#define REACH_BEGUN_ANSWER_SPAN (3 * USEC_PER_SEC)
/// Time that an upstream has to answer a probe.
#define REACH_PROBE_TIMEOUT (400 * USEC_PER_MSEC)
/// Number of upstreams of each service that a verification probes.
#define REACH_VERIFY_PROBES 2
/// Minimum time from one verification to the next.
#define REACH_VERIFY_INTERVAL (20 * USEC_PER_MSEC)
/// Interval of the search for silent requests.
#define REACH_SCAN_INTERVAL (100 * USEC_PER_MSEC)

struct reach_monitor {
	struct entry *entry;
	struct reachability *reachability;
	GHashTable *probes; /// set of struct reach_probe *; owns them
	usec_t next_scan_at;
	usec_t next_verify_at; /// reach_monitor_verify() does nothing before
	guint next_probed;     /// turns over the upstreams of a service
	guint next_verified;   /// the same for reach_monitor_verify()
};

/// A query to one upstream.
struct reach_probe {
	struct reach_monitor *monitor;
	struct fetch *fetch;
	char *service;
	char *upstream; /// id
	usec_t sent_at;
	/// An answer shows that this instance reaches upstreams at all; the
	/// outcome doesn't matter to core/reachability.c.
	bool is_verification;
};

/// Frees a probe; cancels its query if it is pending.
static void
probe_free(void *data)
{
	struct reach_probe *probe = data;

	g_clear_pointer(&probe->fetch, fetch_cancel);
	g_free(probe->service);
	g_free(probe->upstream);
	g_free(probe);
}

/// Fetch callback: an upstream has answered a probe, or has not.
static void
on_probe_answered(void *owner, const struct fetch_response *answer)
{
	struct reach_probe *probe = owner;
	struct reach_monitor *monitor = probe->monitor;
	usec_t now = g_get_monotonic_time();
	bool has_answered = answer->status != 0;

	probe->fetch = NULL;
	log_event(has_answered ? LOG_LEVEL_DEBUG : LOG_LEVEL_INFO,
	    "reach-probe",
	    "service=%s upstream=%s status=%u failure=%s "
	    "age_ms=%" G_GINT64_FORMAT,
	    probe->service, probe->upstream, answer->status,
	    answer->failure == NULL ? "-" : answer->failure,
	    (now - probe->sent_at) / USEC_PER_MSEC);
	series_add(&entry_metric_reach_probes, probe->service,
	    has_answered ? "answered" : "failed", 1);
	if (has_answered)
		crash_probes_note_round_trip(monitor->entry, probe->sent_at);
	if (!probe->is_verification)
		reachability_note_probe(
		    monitor->reachability, now, probe->service, has_answered);
	g_hash_table_remove(monitor->probes, probe);
}

/// Sends a probe to an upstream, over a new connection: an old one may live on
/// while new ones are refused.
static void
start_probe(struct reach_monitor *monitor, const char *service,
    const struct upstream_record *record, bool is_verification)
{
	struct entry *entry = monitor->entry;
	const struct service *settings =
	    deployment_find_service(view_deployment(entry->view), service);
	struct reach_probe *probe = g_new0(struct reach_probe, 1);
	struct fetch_options options = {
	    .max_body = FETCH_UPSTREAM_BYTES_MAX,
	    .pool = entry->pool,
	    .address = record->entry.address,
	    .method = "GET",
	    .target = entry->site->report_target,
	    .needs_new_connection = true,
	    .handler = on_probe_answered,
	    .owner = probe,
	};

	if (settings != NULL && !settings->has_engine &&
	    settings->health_path != NULL)
		options.target = settings->health_path;
	probe->monitor = monitor;
	probe->is_verification = is_verification;
	probe->service = g_strdup(service);
	probe->upstream = g_strdup(record->entry.id);
	probe->sent_at = g_get_monotonic_time();
	options.deadline = probe->sent_at + REACH_PROBE_TIMEOUT;
	g_hash_table_add(monitor->probes, probe);
	probe->fetch = fetch_start(&options);
}

/// Checks whether an upstream should answer, as far as is known.
static bool
is_probe_worthwhile(
    const struct entry *entry, const struct upstream_record *record)
{
	return record->entry.state == UPSTREAM_READY &&
	    !view_is_zone_evacuated(entry->view, record->entry.zone);
}

/// Probes upstreams of a service.
///
/// @param next  index of the first one to consider; advanced
/// @return number of probes that were begun
static unsigned
probe_upstreams(struct reach_monitor *monitor, const char *service, guint *next,
    unsigned n_probes, bool is_verification)
{
	const GPtrArray *records = directory_get_service_records(
	    view_directory(monitor->entry->view), service);
	guint n_records = records == NULL ? 0 : records->len;
	unsigned n = 0;

	for (guint i = 0; i < n_records && n < n_probes; i++) {
		const struct upstream_record *record =
		    records->pdata[(*next)++ % n_records];

		if (!is_probe_worthwhile(monitor->entry, record))
			continue;
		start_probe(monitor, service, record, is_verification);
		n++;
	}
	return n;
}

/// Reachability callback: probes upstreams of a service, each time others.
static unsigned
send_probes(void *owner, const char *service, unsigned n_probes)
{
	struct reach_monitor *monitor = owner;

	return probe_upstreams(
	    monitor, service, &monitor->next_probed, n_probes, false);
}

/// Closes the idle connections to all upstreams of a service. Those that were
/// cut off silently would hang.
static void
close_idle_connections(struct entry *entry, const char *service)
{
	const GPtrArray *records =
	    directory_get_service_records(view_directory(entry->view), service);

	for (guint i = 0; records != NULL && i < records->len; i++) {
		const struct upstream_record *record = records->pdata[i];

		pool_close_idle(entry->pool, record->entry.address);
	}
}

/// Reachability callback: this instance is cut off from a service, or reaches
/// it again.
static void
on_change(void *owner, enum reachability_change change, const char *service)
{
	struct reach_monitor *monitor = owner;
	struct entry *entry = monitor->entry;
	const char *name = change == REACHABILITY_CUT_OFF
	    ? "service-cut-off"
	    : "service-reached-again";

	series_add(&entry_metric_upstream_changes, name, NULL, 1);
	log_event(LOG_LEVEL_WARN, name, "service=%s peers=%u", service,
	    membership_size(peers_membership(entry->peers)) - 1);
	if (change == REACHABILITY_CUT_OFF)
		close_idle_connections(entry, service);
	peers_tell_services(entry->peers);
	entry_schedule_placement(entry);
}

/// @param entry  not owned; must outlive the monitor
/// @return the monitor of an instance that reaches all services; free with
///         reach_monitor_free()
struct reach_monitor *
reach_monitor_new(struct entry *entry)
{
	struct reach_monitor *monitor = g_new0(struct reach_monitor, 1);

	monitor->entry = entry;
	monitor->reachability =
	    reachability_new(on_change, send_probes, monitor);
	monitor->probes = g_hash_table_new_full(NULL, NULL, probe_free, NULL);
	return monitor;
}

/// Frees a monitor and cancels its probes.
///
/// @param monitor  not NULL
void
reach_monitor_free(struct reach_monitor *monitor)
{
	g_hash_table_unref(monitor->probes);
	reachability_free(monitor->reachability);
	g_free(monitor);
}

/// @param monitor  monitor to query
/// @return what is decided, owned by the monitor
struct reachability *
reach_monitor_reachability(const struct reach_monitor *monitor)
{
	return monitor->reachability;
}

/// Notes that an attempt at an upstream has failed, which may be a sign that
/// this instance is cut off.
///
/// @param request  request that was sent to the upstream, or was to be
void
reach_monitor_note_failed(const struct entry_request *request)
{
	reachability_suspect(request->entry->reach_monitor->reachability,
	    g_get_monotonic_time(), request->service);
}

/// Has upstreams of all services probed at once, each time others, to find out
/// whether this instance reaches any. crash_probes_note_round_trip() hears of
/// their answers. Does nothing if that was just done.
///
/// @param entry  instance that may be cut off from all upstreams
void
reach_monitor_verify(struct entry *entry)
{
	struct reach_monitor *monitor = entry->reach_monitor;
	usec_t now = g_get_monotonic_time();
	GHashTableIter iter;
	void *service;

	if (now < monitor->next_verify_at)
		return;
	monitor->next_verify_at = now + REACH_VERIFY_INTERVAL;
	g_hash_table_iter_init(&iter, view_deployment(entry->view)->services);
	while (g_hash_table_iter_next(&iter, &service, NULL)) {
		guint next = monitor->next_verified;

		probe_upstreams(
		    monitor, service, &next, REACH_VERIFY_PROBES, true);
	}
	monitor->next_verified += REACH_VERIFY_PROBES;
}

/// Checks whether nothing has come from a request's upstream for long.
static bool
is_silent(const struct entry_request *request, usec_t now)
{
	bool reads_prompt =
	    request->route->is_generation && request->events_of_attempt == 0;
	usec_t span =
	    reads_prompt ? REACH_SILENT_PROMPT_SPAN : REACH_SILENT_SPAN;

	return request->exchange != NULL && !request->is_forwarding &&
	    http_call_unsent_bytes(request->call) == 0 &&
	    now >= MAX(request->sent_at, request->heard_at) + span;
}

/// Checks whether a request's upstream doesn't matter any more: it is out of
/// reach, and another instance may be asked to serve the request. If that
/// doesn't, a begun answer is lost.
static bool
is_to_be_given_up(const struct reach_monitor *monitor,
    const struct entry_request *request, usec_t now)
{
	if (request->response_started &&
	    now < request->heard_at + REACH_BEGUN_ANSWER_SPAN)
		return false;
	return reachability_is_cut_off(
		   monitor->reachability, request->service) &&
	    exchange_may_have_sent(request->exchange) &&
	    entry_request_can_be_retried(request) &&
	    forwarding_is_possible(request) &&
	    !continuation_is_in_progress(request);
}

/// Handles a request whose upstream is silent.
static void
handle_silent(
    struct reach_monitor *monitor, struct entry_request *request, usec_t now)
{
	if (!is_to_be_given_up(monitor, request, now)) {
		reachability_suspect(
		    monitor->reachability, now, request->service);
		return;
	}
	entry_request_ref(request);
	entry_request_cancel_exchange(request);
	answer_vtable()->failed(request, EXCHANGE_NO_ANSWER);
	entry_request_unref(request);
}

/// Looks for requests whose upstreams are silent, and sends the probes that are
/// due.
///
/// @param monitor  monitor of this instance
/// @param now      current time
void
reach_monitor_tick(struct reach_monitor *monitor, usec_t now)
{
	GList *requests;

	reachability_tick(monitor->reachability, now);
	if (now < monitor->next_scan_at)
		return;
	monitor->next_scan_at = now + REACH_SCAN_INTERVAL;
	requests = g_hash_table_get_keys(monitor->entry->requests);
	for (GList *l = requests; l != NULL; l = l->next)
		entry_request_ref(l->data);
	for (GList *l = requests; l != NULL; l = l->next) {
		struct entry_request *request = l->data;

		if (!request->is_done && is_silent(request, now))
			handle_silent(monitor, request, now);
		entry_request_unref(request);
	}
	g_list_free(requests);
}
