/*
 * Tracks the other instances by their heartbeats: which of them are alive,
 * which read the store on behalf of all instances, and up to which store
 * revision each of them knows the upstreams and the configuration.
 *
 * Load pattern: without coordination every instance would read the same
 * changes from the store. Only two live instances read it and pass the changes
 * on to the others. When both stop sending heartbeats, the next two instances
 * by name take over as soon as the first two count as lost.
 */
#ifndef GODWITVALE_CORE_MEMBERSHIP_H
#define GODWITVALE_CORE_MEMBERSHIP_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "godwitvale/core/time_defs.h"

/// Number of instances that read the store for the others.
#define MEMBERSHIP_STORE_READERS 2

/// The instance's build remembers and answers for the versions of streams.
#define MEMBER_FEATURE_STREAMS 1
/// The instance's build takes turns at upstreams with a low limit.
#define MEMBER_FEATURE_TURNS 2
/// The instance's build exchanges evidence on requests that crash upstreams.
#define MEMBER_FEATURE_SUSPECTS 4
/// The instance's build serves requests that other instances forward.
#define MEMBER_FEATURE_FORWARDS 8
/// The instance's build exchanges messages through hubs.
#define MEMBER_FEATURE_HUBS 16
/// The instance's build takes the operator's changes from other instances.
#define MEMBER_FEATURE_OPERATOR 32
/// The instance's build says since when it has watched the upstreams.
#define MEMBER_FEATURE_WITNESS 64
/// The instance's build exchanges crashes before an answer had begun.
#define MEMBER_FEATURE_EARLY_CRASHES 128
/// The instance's build exchanges the base intervals of engines.
#define MEMBER_FEATURE_PACES 512
/// The instance's build exchanges the results of requests to plain services.
#define MEMBER_FEATURE_OUTCOMES 256
/// The instance's build exchanges what organisations hold of engine memory.
#define MEMBER_FEATURE_SHARES 1024
/// The instance's build names the store's era of all that it sends, also if it
/// is 0.
#define MEMBER_FEATURE_ERAS 2048
/// Features of this build.
#define MEMBER_FEATURES                                             \
	(MEMBER_FEATURE_STREAMS | MEMBER_FEATURE_TURNS |            \
	    MEMBER_FEATURE_SUSPECTS | MEMBER_FEATURE_FORWARDS |     \
	    MEMBER_FEATURE_HUBS | MEMBER_FEATURE_OPERATOR |         \
	    MEMBER_FEATURE_WITNESS | MEMBER_FEATURE_EARLY_CRASHES | \
	    MEMBER_FEATURE_OUTCOMES | MEMBER_FEATURE_PACES |        \
	    MEMBER_FEATURE_SHARES | MEMBER_FEATURE_ERAS)
/// Not a feature of the build: the instance has subscribers as a hub.
#define MEMBER_IS_HUB (UINT64_C(1) << 32)

/// Contents of a heartbeat.
struct member_heartbeat {
	const char *name;     /// name of the sender
	const char *ip;       /// IP address of the sender
	uint64_t incarnation; /// sender's start time, in Unix microseconds
	/// store revision of the upstream entries that the sender knows
	uint64_t directory_revision;
	/// store revision of the configuration that the sender knows
	uint64_t config_revision;
	uint64_t config_version; /// of the sender; 0: unknown
	uint64_t store_era;      /// of the sender's data; 0: unknown
	usec_t interval;         /// time until the sender's next heartbeat
	uint64_t features;       /// MEMBER_FEATURE_... of the sender's build
	uint64_t zone;           /// hash of the sender's zone; 0: unknown
	uint64_t sequence;       /// of the message; 0: unknown
	uint64_t link_mbps;      /// of the sender's link; 0: unknown
	bool store_reachable;    /// the sender can read the store
	bool leaving;            /// the sender is shutting down
};

/// Another instance. Fields without a comment are those of its last heartbeat.
struct member {
	char *name;
	char *ip;
	uint64_t name_hash; /// hash_name() of `name`
	uint64_t incarnation;
	uint64_t directory_revision;
	uint64_t config_revision;
	uint64_t config_version;
	uint64_t store_era;
	usec_t last_heartbeat_at;
	/// when the member counts as lost; each heartbeat postpones it
	usec_t lost_deadline;
	uint64_t features;
	uint64_t zone;
	uint64_t sequence; /// of the last message with a number
	uint64_t link_mbps;
	usec_t interval; /// time until the next heartbeat
	bool store_reachable;
	bool leaving;
};

/// A change of one member, as reported to the listener.
enum member_change {
	MEMBER_JOINED = 1,
	MEMBER_RESTARTED,
	MEMBER_LOST, /// no heartbeats, or membership_forget_all() was called
	/// the member reports that it can reach the store; by the last
	/// heartbeats before this one, no member could
	MEMBER_REACHED_STORE,
};

/// Called on each change. `member` is valid during the call only.
typedef void (*membership_listener)(
    void *owner, enum member_change change, const struct member *member);

struct membership;

struct membership *membership_new(const char *own_name, usec_t lost_timeout,
    membership_listener listener, void *owner);
void membership_free(struct membership *membership);
const struct member *membership_handle_heartbeat(struct membership *membership,
    usec_t now, const struct member_heartbeat *heartbeat);
const struct member *membership_handle_alive(struct membership *membership,
    usec_t now, uint64_t name_hash, uint64_t incarnation);
bool membership_accept_sequence(
    struct membership *membership, const char *name, uint64_t sequence);
void membership_tick(struct membership *membership, usec_t now);
void membership_forget_all(struct membership *membership);
unsigned membership_size(const struct membership *membership);
unsigned membership_position(const struct membership *membership);
unsigned membership_peak_size(const struct membership *membership);
int membership_reader_rank(
    const struct membership *membership, bool store_reachable);
const struct member *membership_find(
    const struct membership *membership, const char *name);
const struct member *membership_find_by_hash(
    const struct membership *membership, uint64_t name_hash);
unsigned membership_count_silent(
    const struct membership *membership, usec_t now, unsigned n_intervals);
const struct member *membership_find_newest_config(
    const struct membership *membership);
unsigned membership_task_rank(
    const struct membership *membership, uint64_t task);
const struct member *membership_find_newest_era(
    const struct membership *membership);
const struct member *membership_find_newest_directory(
    const struct membership *membership);
GPtrArray *membership_list(const struct membership *membership);

#endif
