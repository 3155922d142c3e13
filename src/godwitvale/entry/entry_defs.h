/* An entry instance on a site: its parts. */
#ifndef GODWITVALE_ENTRY_ENTRY_DEFS_H
#define GODWITVALE_ENTRY_ENTRY_DEFS_H

#include "godwitvale/core/estimate.h"
#include "godwitvale/core/wait_queue.h"
#include "godwitvale/entry/dispatch.h"
#include "godwitvale/entry/entry_settings.h"
#include "godwitvale/fleet/peers.h"
#include "godwitvale/fleet/store.h"
#include "godwitvale/http/server.h"

/// The parts of an entry instance. Each owns what it holds; the instance
/// wires them together.
struct entry {
	char *settings_path;
	struct entry_settings *settings;
	const struct site *site;
	GMainLoop *loop;
	struct pool *pool;
	struct loads *loads;
	struct view *view;
	struct peers *peers;
	struct store *store;
	struct dispatch *dispatch;
	struct reports *reports;
	struct wait_queue *waiting;
	struct estimate *estimate; /// of output lengths, by route
	struct http_server *callers;
	struct http_server *ready;
	struct http_server *control;
	struct http_server *metrics;
	GHashTable *requests; /// struct entry_request * as a set
	guint tick;
	GHashTable *left;  /// ids of upstreams that leave, not yet acted on
	guint settle;      /// a run of the waiting ones is due
	usec_t boot_ahead; /// boot time less steady time: grows in a pause
	bool leaving;
	bool was_ready;
	usec_t leave_at;       /// when SIGTERM came
	usec_t leave_deadline; /// the process ends by then
};

#endif
