/*
 * The other instances: which of them are alive, which read the store on behalf
 * of all, and how recent the data that they pass on is.
 *
 * Load pattern: without coordination every instance would read the same
 * changes from the store. Only two live instances read it and pass the changes
 * on to the others. When both stop sending heartbeats, the next two take over
 * as soon as the former two count as lost.
 */
#ifndef GODWITVALE_CORE_MEMBERSHIP_H
#define GODWITVALE_CORE_MEMBERSHIP_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "godwitvale/core/time_defs.h"

/// Number of instances that read the store for the others.
#define MEMBERSHIP_STORE_READERS 2

/// Contents of a heartbeat.
struct member_heartbeat {
	const char *name; /// of the sender
	const char *ip;
	uint64_t incarnation;        /// start time, in Unix microseconds
	uint64_t directory_revision; /// store revision of its upstream entries
	uint64_t config_revision;    /// store revision of its configuration
	usec_t interval;             /// time until its next heartbeat
	bool store_reachable;        /// the sender can read the store
	bool leaving;                /// the sender is shutting down
};

/// One other instance.
struct member {
	char *name;
	char *ip;
	uint64_t name_hash;
	uint64_t incarnation;
	uint64_t directory_revision;
	uint64_t config_revision;
	usec_t last_heartbeat_at;
	usec_t lost_deadline; /// counts as lost then; each heartbeat extends it
	bool store_reachable;
	bool leaving;
};

/// A change of one member, as reported to the listener.
enum member_change {
	MEMBER_JOINED = 1,
	MEMBER_RESTARTED,
	MEMBER_LOST,
	/// the member can reach the store, and no other member could before
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
void membership_tick(struct membership *membership, usec_t now);
void membership_forget_all(struct membership *membership);
unsigned membership_size(const struct membership *membership);
unsigned membership_peak(const struct membership *membership);
int membership_reader_rank(
    const struct membership *membership, bool store_reachable);
const struct member *membership_find(
    const struct membership *membership, const char *name);
const struct member *membership_find_newest_config(
    const struct membership *membership);
GPtrArray *membership_list(const struct membership *membership);

#endif
