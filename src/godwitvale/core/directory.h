/*
 * The directory of upstreams: which upstreams are known, ready, draining or
 * removed, according to their entries in the store.
 *
 * Load pattern: while the store is unreachable, the leases of all entries
 * expire, so that every entry appears to be deleted when the store returns.
 * Without an outage, a deleted entry is removed immediately and its upstream
 * gets no new requests. During an outage and shortly after it, a deleted entry
 * is held until its upstream has had time to announce itself again.
 */
#ifndef GODWITVALE_CORE_DIRECTORY_H
#define GODWITVALE_CORE_DIRECTORY_H

#include "godwitvale/core/deployment_defs.h"

/// Entries whose leases expired during an outage are written again within this
/// span after its end.
#define DIRECTORY_OUTAGE_GRACE (2 * USEC_PER_SEC)

/// One known upstream. Valid until the next call that changes the directory.
struct upstream_record {
	struct upstream_entry entry;
	uint64_t revision;     /// store revision of the latest entry
	usec_t draining_since; /// 0: not draining
	usec_t cold_until;     /// end of the warm-up; 0: warm
	/// when a held upstream is removed; 0: its entry exists; USEC_NEVER:
	/// not set before the store is reachable again
	usec_t missing_deadline;
	uint32_t handle;
};

/// A change of one upstream, as reported to the listener.
enum directory_change {
	DIRECTORY_UNCHANGED = 0,
	DIRECTORY_ADDED,
	DIRECTORY_RESTARTED, /// same id, other process: its state is obsolete
	DIRECTORY_DRAINING,  /// takes no new requests and is about to leave
	DIRECTORY_READY,     /// no longer draining
	DIRECTORY_REMOVED,
	DIRECTORY_HELD, /// entry deleted around an outage; kept for now
	DIRECTORY_COLD, /// a warm upstream has become cold
};

/// Called on each change. `record` is valid during the call only.
typedef void (*directory_listener)(void *owner, enum directory_change change,
    const struct upstream_record *record);

struct directory;

struct directory *directory_new(directory_listener listener, void *owner);
void directory_free(struct directory *directory);
void directory_put(struct directory *directory, usec_t now,
    const struct upstream_entry *entry, uint64_t revision);
void directory_put_unreadable(
    struct directory *directory, usec_t now, const char *id, uint64_t revision);
void directory_delete(
    struct directory *directory, usec_t now, const char *id, uint64_t revision);
void directory_begin_full_list(struct directory *directory);
void directory_end_full_list(
    struct directory *directory, usec_t now, uint64_t as_of);
void directory_on_store_lost(struct directory *directory);
void directory_on_store_regained(struct directory *directory, usec_t now);
void directory_tick(struct directory *directory, usec_t now);

const struct upstream_record *directory_find(
    const struct directory *directory, const char *id);
const struct upstream_record *directory_find_by_handle(
    const struct directory *directory, uint32_t handle);
const GPtrArray *directory_get_service_records(
    const struct directory *directory, const char *service);
GPtrArray *directory_list(const struct directory *directory);
guint directory_size(const struct directory *directory);

#endif
