/*
 * The other instances: who is alive, who reads the store for all, and how
 * fresh what they pass on is.
 *
 * Load pattern: every instance would read the same changes from the store.
 * Two live ones do, the others hear from them; when both fall silent the next
 * two take over, within the span in which a heartbeat must come.
 */
#ifndef GODWITVALE_CORE_MEMBERSHIP_H
#define GODWITVALE_CORE_MEMBERSHIP_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "godwitvale/core/time_defs.h"

/// Instances that read the store for the others.
#define MEMBERSHIP_READERS 2

/// What a heartbeat says of its sender.
struct member_beat {
	const char *name;
	const char *ip;
	uint64_t incarnation;        /// Unix microseconds of its start
	uint64_t directory_revision; /// the store's, up to which it has read
	uint64_t config_revision;    /// the store's, of its configuration
	usec_t interval;             /// until its next one
	bool reads_store;            /// it can read the store
	bool leaving;
};

/// One other instance.
struct member {
	char *name;
	char *ip;
	uint64_t key; /// hash of its name
	uint64_t incarnation;
	uint64_t directory_revision;
	uint64_t config_revision;
	usec_t heard_at;
	usec_t lost_at; /// unless it is heard before
	bool reads_store;
	bool leaving;
};

/// What a change is.
enum member_change {
	MEMBER_JOINED = 1,
	MEMBER_RESTARTED,
	MEMBER_LOST,
	MEMBER_READS, /// it reaches the store, as the first of all members
};

/// Told of each change.
typedef void (*membership_listener)(
    void *owner, enum member_change change, const struct member *member);

struct membership;

struct membership *membership_new(const char *own_name, usec_t lost_span,
    membership_listener listener, void *owner);
void membership_free(struct membership *membership);
const struct member *membership_heard(
    struct membership *membership, usec_t now, const struct member_beat *beat);
void membership_tick(struct membership *membership, usec_t now);
void membership_forget_all(struct membership *membership);
unsigned membership_size(const struct membership *membership);
unsigned membership_peak(const struct membership *membership);
int membership_reader_rank(
    const struct membership *membership, bool reads_store);
const struct member *membership_find(
    const struct membership *membership, const char *name);
const struct member *membership_newest_config(
    const struct membership *membership);
GPtrArray *membership_list(const struct membership *membership);

#endif
