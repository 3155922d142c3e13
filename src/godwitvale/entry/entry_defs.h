/* The state of an entry instance, shared by the modules in entry/. */
#ifndef GODWITVALE_ENTRY_ENTRY_DEFS_H
#define GODWITVALE_ENTRY_ENTRY_DEFS_H

#include "godwitvale/core/earlier_wait.h"
#include "godwitvale/core/estimate.h"
#include "godwitvale/core/shutdown_admission.h"
#include "godwitvale/core/wait_queue.h"
#include "godwitvale/entry/dispatch.h"
#include "godwitvale/entry/entry_settings.h"
#include "godwitvale/fleet/peers.h"
#include "godwitvale/fleet/store.h"
#include "godwitvale/http/server.h"

struct client_guard;
struct crash_probes;
struct reach_monitor;
struct request_guard;
struct resumption;
struct segment_guard;
struct stream_lookups;
struct version_checks;

/// An entry instance. Owns all of its members except `site`.
struct entry {
	char *settings_path;
	struct entry_settings *settings;
	const struct site *site;
	GMainLoop *loop;
	struct pool *pool;
	struct loads *loads;
	struct engine_pace *pace;
	struct rate_limits *rate_limits;
	struct upstream_notices *notices;
	struct fleet_outcomes *outcomes;    /// NULL if not exchanged
	struct organisation_shares *shares; /// NULL if not limited
	struct view *view;
	struct peers *peers;
	struct store *store;
	struct dispatch *dispatch;
	struct reports *reports;
	struct segment_guard *guard;
	struct request_guard *request_guard;
	struct crash_probes *crash_probes;
	struct reach_monitor *reach_monitor;
	struct resumption *resumption;
	struct stream_lookups *stream_lookups;
	struct version_checks *version_checks;
	struct wait_queue *waiting;
	struct estimate *estimate;           /// of output lengths, per route
	struct earlier_waits *earlier_waits; /// of callers, per route
	struct client_guard *client_guard;
	struct http_server *caller_server;  /// requests of callers
	struct http_server *ready_server;   /// readiness checks of balancers
	struct http_server *control_server; /// requests of other instances
	struct http_server *metrics_server; /// NULL if not configured
	GHashTable *requests;               /// set of struct entry_request *
	guint tick_source;        /// GLib source id of the periodic tick
	GHashTable *departing;    /// upstream id -> address, not handled yet
	guint update_source;      /// GLib source id; 0: no update is scheduled
	usec_t boot_clock_offset; /// CLOCK_BOOTTIME minus the monotonic clock
	bool leaving;             /// SIGTERM was received
	bool was_ready;           /// result of the last readiness check
	usec_t leaving_since;     /// when SIGTERM was noticed
	struct shutdown_schedule shutdown; /// valid if `leaving`
};

#endif
