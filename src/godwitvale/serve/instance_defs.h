/* State of one entry instance, shared by all modules of the daemon. */
#ifndef GODWITVALE_SERVE_INSTANCE_DEFS_H
#define GODWITVALE_SERVE_INSTANCE_DEFS_H

#include <gio/gio.h>
#include <libsoup/soup.h>

#include "godwitvale/core/bundle_freshness.h"
#include "godwitvale/core/client_limits.h"
#include "godwitvale/core/quorum.h"
#include "godwitvale/core/router.h"
#include "godwitvale/ops/audit.h"
#include "godwitvale/ops/bundle.h"
#include "godwitvale/ops/settings.h"

struct config_watch;
struct listener;
struct member_list;
struct model_orders;
struct peer_endpoint;
struct request;
struct upstream_table;

/// One entry instance. Modules access each other through this structure.
struct instance {
	const struct settings *settings;
	GMainLoop *loop;
	GRand *random;
	uint64_t boot_id; /// random; differs at each start of the process
	usec_t started_at;
	struct audit *audit;
	struct bundle *bundle; /// bundle in force, or NULL before the first one
	GBytes *bundle_text;   /// signed text of that bundle, served to peers
	struct router *router;
	struct quorum *quorum;
	struct peer_endpoint *peer;
	struct config_watch *config;
	struct member_list *members;
	struct upstream_table *upstreams;
	struct model_orders *model_orders;
	GPtrArray *requests;  /// struct request, or NULL for a free entry
	SoupSession *session; /// HTTP client for engines and the platform
	struct pool *pool;    /// connections to plain services
	struct client_limits *client_limits; /// of all listeners
	struct client_connections client_connections;
	struct listener *caller_listener;
	struct listener *operator_listener;
	struct listener *peer_listener;
	struct quorum_key bundle_key; /// version register of accepted bundles
	/// Decides whether new work may be admitted.
	struct bundle_freshness bundle_freshness;
	bool bundle_fetch_pending; /// a bundle fetch from a peer is running
	bool draining;             /// shutting down: new work is refused
	bool out_of_service;       /// the bundle disables this instance or zone
	GHashTable *kept_answers;  /// cached_response of calls, for repeats
	GArray *slots;             /// struct slot: leases held or claimed
	usec_t next_request_tick_at; /// next periodic checks of the requests
	usec_t earliest_exit_at;     /// draining: the process exits no earlier
};

#endif
