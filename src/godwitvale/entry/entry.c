/*
 * Starts an entry instance, connects its modules to each other and reloads its
 * settings.
 */
#include "godwitvale/entry/entry.h"

#include <signal.h>
#include <time.h>

#include <glib-unix.h>

#include "godwitvale/core/hash.h"
#include "godwitvale/entry/admin.h"
#include "godwitvale/entry/client_guard.h"
#include "godwitvale/entry/crash_probe.h"
#include "godwitvale/entry/departures.h"
#include "godwitvale/entry/entry_metrics.h"
#include "godwitvale/entry/entry_peers.h"
#include "godwitvale/entry/reports.h"
#include "godwitvale/entry/entry_request.h"
#include "godwitvale/entry/reach_monitor.h"
#include "godwitvale/entry/request_guard.h"
#include "godwitvale/entry/resumption.h"
#include "godwitvale/entry/segment_guard.h"
#include "godwitvale/entry/share_monitor.h"
#include "godwitvale/entry/shutdown.h"
#include "godwitvale/entry/stream_lookup.h"
#include "godwitvale/entry/version_check.h"
#include "godwitvale/ops/cmd.h"
#include "godwitvale/ops/crash.h"
#include "godwitvale/ops/log.h"
#include "godwitvale/ops/term_watch.h"

/// Interval of the periodic tick, in milliseconds.
#define ENTRY_TICK_MS 50
/// After a pause of the whole machine that is longer than this, the state of
/// other instances and upstreams counts as outdated: this instance has missed
/// their heartbeats and updates.
#define ENTRY_PAUSE_THRESHOLD (500 * USEC_PER_MSEC)
/// Limits for callers until a configuration is in force.
#define ENTRY_HEAD_BYTES 16384
#define ENTRY_BODY_BYTES (4u * 1024 * 1024)
#define ENTRY_HEAD_TIMEOUT (3 * USEC_PER_SEC)
#define ENTRY_IDLE_TIMEOUT (15 * USEC_PER_SEC)

/// Server callback: a complete request was received.
static void
on_request(void *owner, struct http_call *call)
{
	entry_request_start(owner, call);
}

/// Server callback: invalid input of a caller was refused.
static void
on_refused(void *owner, unsigned status)
{
	char text[16];

	(void)owner;
	g_snprintf(text, sizeof(text), "%u", status);
	series_add(&entry_metric_input_refused, text, NULL, 1);
	/* A limit on memory, which is logged as such. */
	if (status == 503)
		return;
	log_event(LOG_LEVEL_WARN, "caller-input-refused", "status=%u", status);
}

/// Server callback: a connection ended before its caller had all of a response.
static void
on_lost(void *owner, const struct http_loss *loss)
{
	const char *cause = http_loss_cause_name(loss->cause);

	(void)owner;
	series_add(&entry_metric_responses_lost, cause, NULL, 1);
	log_event(LOG_LEVEL_WARN, "response-lost",
	    "conn=%" G_GUINT64_FORMAT " cause=%s open=%d unsent=%zu",
	    loss->connection, cause, loss->has_call, loss->unsent);
}

/// Server callback: a limit on what callers use together has taken effect.
static void
on_limited(void *owner, enum http_limit limit)
{
	const struct entry *entry = owner;

	client_guard_note_limit(entry->client_guard, limit, "caller");
}

static const struct http_server_vtable callers_vtable = {
    .request = on_request,
    .refused = on_refused,
    .lost = on_lost,
    .limited = on_limited,
};

/// Loop callback: handles departing upstreams and places waiting requests. A
/// begun response that waits gets room before the copy of one that still runs.
static gboolean
on_update_due(gpointer data)
{
	struct entry *entry = data;

	entry->update_source = 0;
	entry_request_place_begun(entry);
	departures_handle(entry);
	entry_request_place_waiting(entry);
	return G_SOURCE_REMOVE;
}

/// Schedules the handling of departures and the placement of waiting requests,
/// unless it is scheduled already.
///
/// @param entry  instance whose departures are handled
void
entry_schedule_update(struct entry *entry)
{
	if (entry->update_source == 0)
		entry->update_source = g_idle_add(on_update_due, entry);
}

/// Schedules the placement of waiting requests, because there may be capacity
/// for them.
///
/// @param entry  instance whose wait queue is checked
void
entry_schedule_placement(struct entry *entry)
{
	if (wait_queue_length(entry->waiting) > 0)
		entry_schedule_update(entry);
}

/// View callback: a new configuration is in force.
static void
on_config(void *owner, struct deployment *deployment)
{
	struct entry *entry = owner;
	const struct http_limits limits = {
	    .max_head = deployment->limits.max_head_bytes,
	    .max_body = deployment->limits.max_body_bytes,
	    .head_timeout = deployment->limits.head_timeout,
	    .idle_timeout = deployment->limits.idle_timeout,
	    .stall_timeout = HTTP_STALL_TIMEOUT,
	    .max_callers =
		client_guard_connections(entry->client_guard).callers,
	    .body = client_guard_body_limits(entry->client_guard),
	};

	client_guard_set_max_body(entry->client_guard, limits.max_body);
	http_server_set_limits(entry->caller_server, &limits);
	if (entry->control_server != NULL)
		admin_set_max_body(entry, limits.max_body);
	entry_schedule_placement(entry);
}

/// View callback: the evacuation of a zone began or ended.
static void
on_zone(void *owner, const char *zone, bool evacuated)
{
	struct entry *entry = owner;

	(void)zone;
	entry_schedule_placement(entry);
	if (evacuated && entry->dispatch != NULL)
		entry_schedule_update(entry);
}

/// View callback: an upstream was added, changed or removed.
static void
on_upstream(void *owner, enum directory_change change,
    const struct upstream_record *record)
{
	static const char *const names[] = {
	    [DIRECTORY_ADDED] = "upstream-added",
	    [DIRECTORY_RESTARTED] = "upstream-reborn",
	    [DIRECTORY_DRAINING] = "upstream-draining",
	    [DIRECTORY_READY] = "upstream-ready",
	    [DIRECTORY_READY_IGNORED] = "upstream-ready-ignored",
	    [DIRECTORY_REMOVED] = "upstream-removed",
	    [DIRECTORY_HELD] = "upstream-held",
	    [DIRECTORY_COLD] = "upstream-cold",
	};
	struct entry *entry = owner;

	series_add(&entry_metric_upstream_changes, names[change], NULL, 1);
	log_event(LOG_LEVEL_INFO, names[change],
	    "upstream=%s service=%s version=%s "
	    "version_key=%016" G_GINT64_MODIFIER "x address=%s zone=%s "
	    "revision=%" G_GUINT64_FORMAT " cold_ms=%" G_GINT64_FORMAT,
	    record->entry.id, record->entry.service,
	    record->entry.software_version, record->version_key,
	    record->entry.address, record->entry.zone,
	    store_revision_number(record->revision),
	    record->entry.cold_left / USEC_PER_MSEC);
	if (entry->dispatch == NULL)
		return;
	dispatch_on_upstream_change(entry->dispatch, change, record);
	if (change == DIRECTORY_REMOVED || change == DIRECTORY_RESTARTED)
		request_guard_forget_upstream(
		    entry->request_guard, record->key);
	if (change == DIRECTORY_REMOVED)
		version_checks_forget(entry->version_checks, record->key);
	resumption_on_upstream_change(entry->resumption, change, record);
	if (change == DIRECTORY_READY_IGNORED)
		departures_share(entry, record);
	if (change == DIRECTORY_DRAINING || change == DIRECTORY_REMOVED)
		g_hash_table_replace(entry->departing,
		    g_strdup(record->entry.id),
		    g_strdup(record->entry.address));
	entry_schedule_update(entry);
}

/// View callback: an upstream's entry was read.
static void
on_entry_read(void *owner, const struct upstream_entry *upstream)
{
	const struct entry *entry = owner;

	if (entry->resumption != NULL)
		resumption_note_entry(entry->resumption, upstream);
}

static const struct view_vtable view_vtable = {
    .entry_read = on_entry_read,
    .config_changed = on_config,
    .zone_changed = on_zone,
    .upstream_changed = on_upstream,
};

/// Store callback: returns this instance's rank among the instances that read
/// the store on behalf of all; negative if it isn't one of them.
static int
reader_rank(void *owner)
{
	const struct entry *entry = owner;

	if (entry->peers == NULL || entry->store == NULL || entry->leaving)
		return -1;
	return membership_reader_rank(
	    peers_membership(entry->peers), store_is_reachable(entry->store));
}

/// Store callback: returns the number of live instances, including this one.
static unsigned
fleet_size(void *owner)
{
	const struct entry *entry = owner;

	return entry->peers == NULL
	    ? 1
	    : membership_size(peers_membership(entry->peers));
}

/// Store callback: sends changes that this instance has read to the others.
static void
on_changes_read(void *owner, enum site_scope scope, GPtrArray *items,
    uint64_t after, uint64_t as_of)
{
	struct entry *entry = owner;

	if (entry->peers == NULL)
		return;
	if (scope == SITE_SCOPE_UPSTREAMS)
		peers_send_changes(entry->peers, items, after, as_of);
	else
		peers_send_operator_changes(entry->peers, items, after, as_of);
}

static const struct store_vtable store_vtable = {
    .reader_rank = reader_rank,
    .fleet_size = fleet_size,
    .changes_read = on_changes_read,
};

/// @return CLOCK_BOOTTIME minus the monotonic clock, in microseconds. It grows
///         while the machine is suspended, as only CLOCK_BOOTTIME runs then.
static usec_t
get_boot_clock_offset(void)
{
	struct timespec boot;

	clock_gettime(CLOCK_BOOTTIME, &boot);
	return (usec_t)boot.tv_sec * USEC_PER_SEC + boot.tv_nsec / 1000 -
	    g_get_monotonic_time();
}

/// Detects that the machine was suspended, and marks the state of other
/// instances and upstreams as outdated.
static void
check_pause(struct entry *entry)
{
	usec_t offset = get_boot_clock_offset();
	usec_t pause = offset - entry->boot_clock_offset;

	entry->boot_clock_offset = offset;
	if (pause < ENTRY_PAUSE_THRESHOLD)
		return;
	log_event(LOG_LEVEL_WARN, "paused",
	    "for_ms=%" G_GINT64_FORMAT " outcome=distrust",
	    pause / USEC_PER_MSEC);
	view_mark_stale(entry->view);
	peers_forget_all(entry->peers);
	store_restart_calls(entry->store);
}

/// Tells the other instances of the results of this one's requests, if there is
/// news.
static void
tell_outcomes(struct entry *entry)
{
	if (entry->outcomes != NULL && fleet_outcomes_has_news(entry->outcomes))
		peers_broadcast(entry->peers, PEERS_OUTCOMES);
}

/// Loop callback: handles timeouts and periodic work.
static gboolean
on_tick(gpointer data)
{
	struct entry *entry = data;
	usec_t now = g_get_monotonic_time();

	check_pause(entry);
	view_tick(entry->view, now);
	reports_tick(entry->reports, now);
	segment_guard_tick(entry->guard, now);
	request_guard_tick(entry->request_guard, now);
	crash_probes_tick(entry->crash_probes, now);
	reach_monitor_tick(entry->reach_monitor, now);
	resumption_tick(entry->resumption, now);
	rate_limits_tick(entry->rate_limits, now);
	engine_pace_tick(entry->pace, now);
	upstream_notices_tick(entry->notices, now);
	dispatch_tick(entry->dispatch, now);
	share_monitor_tick(entry, now);
	tell_outcomes(entry);
	pool_expire_idle(entry->pool, now);
	entry_request_place_waiting(entry);
	shutdown_tick(entry, now);
	return G_SOURCE_CONTINUE;
}

/// Watch callback: SIGTERM has come.
static void
on_terminate(void *owner, usec_t not_before)
{
	shutdown_begin(owner, not_before);
}

/// Loop callback for SIGHUP: reads the settings again and applies those that
/// can change while the process runs, which are only the seeds.
static gboolean
on_reload(gpointer data)
{
	struct entry *entry = data;
	GError *error = NULL;
	struct entry_settings *settings =
	    entry_settings_load(entry->settings_path, &error);

	if (settings == NULL) {
		log_event(LOG_LEVEL_ERROR, "reload",
		    "outcome=kept reason=\"%s\"", error->message);
		g_error_free(error);
		return G_SOURCE_CONTINUE;
	}
	log_event(LOG_LEVEL_INFO, "reload", "outcome=taken seeds=%s",
	    settings->seeds);
	peers_add_seeds(entry->peers, settings->seeds);
	entry_settings_free(settings);
	return G_SOURCE_CONTINUE;
}

/// Opens the server for callers.
static bool
open_callers(struct entry *entry, GError **error)
{
	const struct http_server_options options = {
	    .vtable = &callers_vtable,
	    .owner = entry,
	    .ip = entry->settings->caller.ip,
	    .port = entry->settings->caller.port,
	    .limits = {.max_head = ENTRY_HEAD_BYTES,
		.max_body = ENTRY_BODY_BYTES,
		.head_timeout = ENTRY_HEAD_TIMEOUT,
		.idle_timeout = ENTRY_IDLE_TIMEOUT,
		.stall_timeout = HTTP_STALL_TIMEOUT,
		.max_callers =
		    client_guard_connections(entry->client_guard).callers,
		.body = client_guard_body_limits(entry->client_guard)},
	    .clients = client_guard_limits(entry->client_guard),
	};

	client_guard_set_max_body(entry->client_guard, ENTRY_BODY_BYTES);

	entry->caller_server = http_server_new(&options, error);
	return entry->caller_server != NULL;
}

/// Dispatch callback: this instance sends a request to an upstream with a low
/// limit.
static void
on_turn_taken(void *owner, const struct rate_limit_turn *turn)
{
	const struct entry *entry = owner;

	peers_tell_turn(entry->peers, turn);
}

/// Dispatch callback: tells the other instances of an engine's speed.
static void
on_pace_learnt(void *owner)
{
	const struct entry *entry = owner;

	peers_broadcast(entry->peers, PEERS_PACES);
}

/// Dispatch callback: this instance sends a trial request to an upstream that
/// is ejected. The others must know before it is their turn.
static void
on_trial_begun(void *owner)
{
	const struct entry *entry = owner;

	peers_broadcast(entry->peers, PEERS_OUTCOMES);
}

/// Dispatch callback: checks whether an upstream's version isn't known.
static bool
is_version_doubtful(void *owner, const struct upstream_record *record)
{
	const struct entry *entry = owner;

	return version_checks_is_doubtful(entry->version_checks, record);
}

/// Creates the dispatch, the reports and the client of the store.
static void
open_dispatch_and_store(struct entry *entry)
{
	const struct dispatch_options dispatch = {
	    .settings = entry->settings,
	    .view = entry->view,
	    .loads = entry->loads,
	    .pace = entry->pace,
	    .rate_limits = entry->rate_limits,
	    .notices = entry->notices,
	    .pool = entry->pool,
	    .membership = peers_membership(entry->peers),
	    .outcomes = entry->outcomes,
	    .turn_taken = on_turn_taken,
	    .pace_learnt = on_pace_learnt,
	    .trial_begun = on_trial_begun,
	    .is_version_doubtful = is_version_doubtful,
	    .owner = entry,
	};
	const struct store_options store = {
	    .vtable = &store_vtable,
	    .owner = entry,
	    .site = entry->site,
	    .view = entry->view,
	    .pool = entry->pool,
	    .address = entry->settings->store,
	};

	entry->dispatch = dispatch_new(&dispatch);
	entry->reports = reports_new(entry);
	entry->store = store_new(&store);
}

/// Creates all parts of an instance.
static bool
entry_open(struct entry *entry, GError **error)
{
	const struct view_options view = {
	    .vtable = &view_vtable,
	    .owner = entry,
	    .site = entry->site,
	};

	entry->loop = g_main_loop_new(NULL, false);
	entry->client_guard = client_guard_new(entry->settings);
	entry->pool = pool_new();
	pool_set_account(entry->pool, client_guard_limits(entry->client_guard));
	if (entry->settings->upstream_source[0] != '\0')
		pool_set_source(entry->pool, entry->settings->upstream_source);
	entry->loads = loads_new();
	entry->pace = engine_pace_new(entry->settings->pace_enabled);
	entry->rate_limits = rate_limits_new();
	entry->notices = upstream_notices_new();
	if (entry->settings->exchange_outcomes)
		entry->outcomes =
		    fleet_outcomes_new(hash_name(entry->settings->instance));
	if (entry->settings->share_memory)
		entry->shares = organisation_shares_new(
		    hash_name(entry->settings->instance));
	entry->waiting = wait_queue_new();
	entry->estimate = estimate_new();
	entry->earlier_waits = earlier_waits_new();
	entry->requests = g_hash_table_new(NULL, NULL);
	entry->departing =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	entry->boot_clock_offset = get_boot_clock_offset();
	entry->view = view_new(&view);
	entry->guard = segment_guard_new(entry);
	entry->request_guard = request_guard_new(entry);
	entry->crash_probes = crash_probes_new(entry);
	entry->reach_monitor = reach_monitor_new(entry);
	entry->resumption = resumption_new(entry);
	entry->stream_lookups = stream_lookups_new(entry);
	entry->version_checks = version_checks_new(entry);
	if (!open_callers(entry, error) || !entry_peers_open(entry, error))
		return false;
	open_dispatch_and_store(entry);
	if (!admin_open(entry, error))
		return false;
	entry->tick_source = g_timeout_add(ENTRY_TICK_MS, on_tick, entry);
	return true;
}

/// Aborts all requests and frees all parts of an instance.
static void
entry_close(struct entry *entry)
{
	if (entry->requests != NULL)
		entry_request_abort_all(entry);
	if (entry->tick_source != 0)
		g_source_remove(entry->tick_source);
	if (entry->update_source != 0)
		g_source_remove(entry->update_source);
	admin_close(entry);
	g_clear_pointer(&entry->store, store_free);
	g_clear_pointer(&entry->caller_server, http_server_free);
	g_clear_pointer(&entry->peers, peers_free);
	g_clear_pointer(&entry->reports, reports_free);
	g_clear_pointer(&entry->crash_probes, crash_probes_free);
	g_clear_pointer(&entry->reach_monitor, reach_monitor_free);
	g_clear_pointer(&entry->guard, segment_guard_free);
	g_clear_pointer(&entry->request_guard, request_guard_free);
	g_clear_pointer(&entry->stream_lookups, stream_lookups_free);
	g_clear_pointer(&entry->resumption, resumption_free);
	g_clear_pointer(&entry->version_checks, version_checks_free);
	g_clear_pointer(&entry->dispatch, dispatch_free);
	g_clear_pointer(&entry->view, view_free);
	g_clear_pointer(&entry->waiting, wait_queue_free);
	g_clear_pointer(&entry->estimate, estimate_free);
	g_clear_pointer(&entry->earlier_waits, earlier_waits_free);
	g_clear_pointer(&entry->requests, g_hash_table_unref);
	g_clear_pointer(&entry->departing, g_hash_table_unref);
	g_clear_pointer(&entry->loads, loads_free);
	g_clear_pointer(&entry->rate_limits, rate_limits_free);
	g_clear_pointer(&entry->pace, engine_pace_free);
	g_clear_pointer(&entry->notices, upstream_notices_free);
	g_clear_pointer(&entry->client_guard, client_guard_free);
	g_clear_pointer(&entry->outcomes, fleet_outcomes_free);
	g_clear_pointer(&entry->shares, organisation_shares_free);
	g_clear_pointer(&entry->loop, g_main_loop_unref);
}

/// Runs an entry instance until it is shut down by SIGTERM.
///
/// @param settings_path  path of its settings file
/// @param site           adapter to the site; not owned
/// @return one of enum cmd_status
int
entry_run(const char *settings_path, const struct site *site)
{
	struct entry entry = {.site = site};
	struct term_watch *term_watch;
	GError *error = NULL;
	int status = CMD_OK;

	/* Signals may come at once. They are handled when the loop runs. */
	term_watch = term_watch_new(on_terminate, &entry);
	g_unix_signal_add(SIGHUP, on_reload, &entry);
	entry.settings_path = g_strdup(settings_path);
	entry.settings = entry_settings_load(settings_path, &error);
	if (entry.settings == NULL) {
		cmd_report_error(settings_path, error);
		status = CMD_REFUSED;
		goto out;
	}
	signal(SIGPIPE, SIG_IGN);
	crash_report_enable();
	log_open_json(entry.settings->instance,
	    (enum log_level)entry.settings->log_level);
	if (!entry_open(&entry, &error)) {
		cmd_report_error(NULL, error);
		status = CMD_UNAVAILABLE;
		goto close;
	}
	log_event(LOG_LEVEL_INFO, "start", "zone=%s seeds=%s store=%s",
	    entry.settings->zone, entry.settings->seeds, entry.settings->store);
	g_main_loop_run(entry.loop);
	log_event(LOG_LEVEL_INFO, "stop", "status=%d", status);
close:
	entry_close(&entry);
	log_close();
out:
	entry_settings_free(entry.settings);
	g_free(entry.settings_path);
	term_watch_free(term_watch);
	return status;
}
