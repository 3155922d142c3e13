/* Types of one entry instance: what its parts share. */
#ifndef GODWITVALE_SERVE_INSTANCE_DEFS_H
#define GODWITVALE_SERVE_INSTANCE_DEFS_H

#include <gio/gio.h>
#include <libsoup/soup.h>

#include "godwitvale/core/authority.h"
#include "godwitvale/core/quorum.h"
#include "godwitvale/core/router.h"
#include "godwitvale/ops/audit.h"
#include "godwitvale/ops/bundle.h"
#include "godwitvale/ops/settings.h"

struct config_watch;
struct listener;
struct member_list;
struct model_orders;
struct peer;
struct request;
struct upstream_table;

/// One entry instance. Its parts find one another through it.
struct instance {
	const struct settings *settings;
	GMainLoop *loop;
	GRand *random;
	uint64_t boot; /// new at every start
	usec_t started_at;
	struct audit *audit;
	struct bundle *bundle; /// in force; NULL until the first
	GBytes *bundle_text;   /// its signed form, for peers
	struct router *router;
	struct quorum *quorum;
	struct peer *peer;
	struct config_watch *config;
	struct member_list *members;
	struct upstream_table *upstreams;
	struct model_orders *model_orders;
	GPtrArray *requests;  /// table of struct request, by handle
	SoupSession *session; /// towards upstreams and the platform
	struct listener *caller_listener;
	struct listener *operator_listener;
	struct listener *peer_listener;
	struct quorum_key bundle_key; /// the newest accepted version's register
	struct authority authority;   /// whether new work may be taken
	bool fetch_pending;           /// a bundle is being fetched from a peer
	bool draining;                /// leaving: no new work
	bool taken_out;      /// operators took this instance or zone out
	GHashTable *answers; /// answers of calls that ran, for repeats
	GArray *slots;       /// slots of cold upstreams held or asked for
	usec_t requests_due; /// when requests are looked at next
	usec_t leave_after;  /// leaving: not before this
};

#endif
