/*
 * Tracks which upstreams are known, ready, draining or removed, according to
 * their entries in the store, and reports changes to a listener.
 *
 * Load pattern: while the store is unreachable, the leases of all entries
 * expire, so that every entry appears to be deleted when the store returns.
 * Without an outage, the deletion of an entry removes the upstream immediately,
 * so that it gets no new requests. During an outage and shortly after it, an
 * upstream whose entry is deleted is held: it stays in the directory until it
 * has had time to write its entry again.
 *
 * A store that was restored from a copy shows entries of some seconds ago. Of
 * the entries of one upstream, the one with the later incarnation, or the
 * higher sequence number, is newer, whatever their revisions are.
 *
 * An upstream reports its state by heartbeats, and one that was written before
 * it began to drain may reach the store after that. So an incarnation that
 * drains is never ready again, also if its entry was deleted in between or the
 * store was restored. An entry without an incarnation, as old builds of
 * upstreams write it, is taken as it is, since the upstream may have started
 * again.
 *
 * An address belongs to one upstream. An entry whose service the configuration
 * doesn't name takes no address from one whose service it names. Its upstream
 * stays known unless such an entry has its address, so that requests that it
 * executes can end. The caller puts the entries again that have no record when
 * the configuration has changed or entries were deleted.
 */
#ifndef GODWITVALE_CORE_DIRECTORY_H
#define GODWITVALE_CORE_DIRECTORY_H

#include "godwitvale/core/deployment_defs.h"
#include "godwitvale/core/store_revision.h"

/// Time after the end of a store outage within which running upstreams write
/// their entries again if the leases expired during the outage.
#define DIRECTORY_OUTAGE_GRACE (2 * USEC_PER_SEC)

/// One known upstream. Valid until the next call that changes the directory.
struct upstream_record {
	struct upstream_entry entry;
	uint64_t key;             /// hash of the id
	uint64_t incarnation_key; /// hash of the id and the incarnation
	uint64_t version_key;  /// hash of the service and the software version
	uint64_t revision;     /// store revision of `entry`
	usec_t draining_since; /// when draining was first seen; 0: not draining
	usec_t cold_until;     /// end of the warm-up; 0: warm
	/// when a held upstream is removed; 0: the upstream isn't held, because
	/// its entry exists; USEC_NEVER: held until the store is reachable
	/// again, which sets the deadline
	usec_t missing_deadline;
	uint32_t handle; /// for directory_find_by_handle()
};

/// A change of one upstream, as reported to the listener.
enum directory_change {
	DIRECTORY_UNCHANGED = 0,
	DIRECTORY_ADDED,
	/// the entry now describes another process, service or address; the
	/// state known of the earlier process is obsolete
	DIRECTORY_RESTARTED,
	DIRECTORY_DRAINING, /// the upstream will leave; takes no new requests
	/// the upstream is no longer draining; only without an incarnation
	DIRECTORY_READY,
	DIRECTORY_REMOVED,
	/// the entry was deleted around a store outage; the upstream is kept
	/// until its `missing_deadline`
	DIRECTORY_HELD,
	DIRECTORY_COLD, /// a warm upstream has become cold
	/// an entry says ready of an incarnation that drains, and still does;
	/// instances that read only this entry don't know
	DIRECTORY_READY_IGNORED,
};

/// Called on each change. `record` is valid during the call only.
typedef void (*directory_listener)(void *owner, enum directory_change change,
    const struct upstream_record *record);

struct directory;

struct directory *directory_new(directory_listener listener, void *owner);
void directory_free(struct directory *directory);
void directory_set_deployment(
    struct directory *directory, struct deployment *deployment);
bool directory_put_entry(struct directory *directory, usec_t now,
    const struct upstream_entry *entry, uint64_t revision);
void directory_put_unused_entry(struct directory *directory, usec_t now,
    const struct upstream_entry *entry, uint64_t revision);
void directory_put_unreadable_entry(
    struct directory *directory, usec_t now, const char *id, uint64_t revision);
void directory_delete_entry(
    struct directory *directory, usec_t now, const char *id, uint64_t revision);
void directory_begin_full_list(struct directory *directory);
void directory_end_full_list(
    struct directory *directory, usec_t now, uint64_t as_of);
void directory_on_store_lost(struct directory *directory);
void directory_on_store_restored(struct directory *directory, usec_t now);
void directory_on_store_regained(struct directory *directory, usec_t now);
void directory_tick(struct directory *directory, usec_t now);

const struct upstream_record *directory_find(
    const struct directory *directory, const char *id);
const struct upstream_record *directory_find_by_handle(
    const struct directory *directory, uint32_t handle);
const GPtrArray *directory_get_service_records(
    const struct directory *directory, const char *service);
GPtrArray *directory_list_records(const struct directory *directory);
guint directory_size(const struct directory *directory);

#endif
