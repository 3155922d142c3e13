/*
 * Messages between instances: heartbeats, the sender's load on each
 * upstream, and changes of the upstreams for instances that don't read the
 * store themselves.
 */
#ifndef GODWITVALE_FLEET_PEERS_H
#define GODWITVALE_FLEET_PEERS_H

#include "godwitvale/core/crash_suspects.h"
#include "godwitvale/core/engine_pace.h"
#include "godwitvale/core/fleet_outcomes.h"
#include "godwitvale/core/loads.h"
#include "godwitvale/core/membership.h"
#include "godwitvale/core/organisation_shares.h"
#include "godwitvale/core/quarantine.h"
#include "godwitvale/core/rate_limits.h"
#include "godwitvale/core/upstream_notices.h"
#include "godwitvale/fleet/hub.h"
#include "godwitvale/fleet/stream_sync.h"
#include "godwitvale/fleet/view.h"
#include "godwitvale/http/pool.h"

struct peers;

/// What instances tell each other of prompts, requests and upstreams.
enum peers_topic {
	PEERS_EVIDENCE = 0, /// on prompt segments that crash engines
	PEERS_LIMITS,       /// that upstreams have named
	PEERS_DEPARTURES,   /// of upstreams that say that they leave
	PEERS_SUSPECTS,     /// on requests that crash upstreams
	/// on prompt segments that crash engines before an answer begins
	PEERS_EARLY_CRASHES,
	PEERS_PACES,    /// on the speed of engines
	PEERS_OUTCOMES, /// of requests to plain services
	PEERS_SHARES,   /// of organisations in scarce engine memory
	PEERS_N_TOPICS,
};

/// A service whose upstreams fall over when they must turn requests away.
struct peers_brittle {
	uint64_t service; /// hash of its name
	usec_t left;      /// time for which this holds
};

/// Callbacks from struct peers to its owner.
struct peers_vtable {
	/// Returns whether this instance can reach the store.
	bool (*is_store_reachable)(void *owner);
	/// Another instance can reach the store, and no other could before.
	void (*peer_reached_store)(void *owner);
	/// The load that other instances place on the upstreams has changed.
	void (*loads_changed)(void *owner);
	/// Lists upstreams that accept no connection, as hashes of their ids.
	/// Returns their number, at most `max`.
	size_t (*list_unreachable)(
	    void *owner, uint64_t *upstreams, size_t max);
	/// Lists the services of which this instance reaches no upstream, as
	/// hashes of their names. Returns their number, at most `max`.
	size_t (*list_cut_off)(void *owner, uint64_t *services, size_t max);
	/// Another instance says of which services it reaches no upstream.
	void (*reach_reported)(void *owner, uint64_t member,
	    const uint64_t *services, size_t n_services);
	/// Lists the services whose upstreams say that they are brittle.
	/// Returns their number, at most `max`.
	size_t (*list_brittle)(
	    void *owner, struct peers_brittle *brittle, size_t max);
	/// Another instance says that a service is brittle.
	void (*brittle_reported)(
	    void *owner, const struct peers_brittle *brittle);
	/// Another instance has fallen silent; it may go on later.
	void (*member_silent)(void *owner, const struct member *member);
	/// Another instance is heard, for the first time since it was started
	/// or fell silent. Earlier incarnations of it have ended.
	void (*member_started)(void *owner, const struct member *member);
	/// Another instance reports that an upstream accepts no connection.
	void (*unreachable_reported)(void *owner, uint64_t upstream);
	/// Another instance reports a limit of an upstream, or its end.
	void (*limit_reported)(void *owner, enum rate_limit_change change,
	    const struct rate_limit_statement *statement);
	/// Another instance has data of a later era of the store.
	void (*later_era_reported)(void *owner, uint64_t era);
	/// Another instance has read changes of the operator, and can't pass
	/// them on.
	void (*operator_changed)(void *owner);
	/// Another instance reports that an upstream leaves. `upstream` is the
	/// hash of its id and incarnation.
	void (*departure_reported)(void *owner, uint64_t upstream, usec_t at);
	/// These two are as in struct stream_sync_vtable.
	void (*testify)(void *owner, uint64_t service, usec_t span,
	    struct version_witness *witness);
	void (*stream_answered)(void *owner, uint64_t stream, uint64_t instance,
	    const struct version_witness *witness);
};

/// Options of the peers.
struct peers_options {
	const struct peers_vtable *vtable;
	void *owner;           /// passed to the callbacks
	const char *name;      /// of this instance
	const char *zone;      /// of this instance
	const char *ip;        /// of this instance, reachable by others
	uint16_t port;         /// UDP port, the same at every instance
	uint16_t control_port; /// HTTP port, the same at every instance
	const char *seeds;     /// IP:PORT,... of instances; may be outdated
	uint64_t link_mbps;    /// of this instance's link; 0: unknown
	/// size of the fleet from which on messages go through hubs
	unsigned hub_min_instances;
	struct view *view;
	struct loads *loads;
	struct engine_pace *pace;
	struct quarantine *quarantine;
	struct crash_suspects *suspects;
	struct rate_limits *rate_limits;
	struct upstream_notices *notices;
	struct fleet_outcomes *outcomes;    /// NULL: they aren't exchanged
	struct organisation_shares *shares; /// NULL: they aren't exchanged
	struct stream_versions *stream_versions;
	struct pool *pool;
};

struct peers *peers_new(const struct peers_options *options, GError **error);
void peers_free(struct peers *peers);
void peers_add_seeds(struct peers *peers, const char *seeds);
void peers_schedule_load_update(struct peers *peers);
void peers_set_leaving(struct peers *peers);
void peers_send_changes(
    struct peers *peers, GPtrArray *items, uint64_t after, uint64_t as_of);
void peers_send_operator_changes(
    struct peers *peers, GPtrArray *items, uint64_t after, uint64_t as_of);
void peers_broadcast(struct peers *peers, enum peers_topic topic);
void peers_tell_services(struct peers *peers);
void peers_tell_turn(struct peers *peers, const struct rate_limit_turn *turn);
void peers_forget_all(struct peers *peers);
struct stream_sync *peers_stream_sync(const struct peers *peers);
struct membership *peers_membership(const struct peers *peers);
const struct hub *peers_hub(const struct peers *peers);
uint64_t peers_incarnation(const struct peers *peers);

#endif
