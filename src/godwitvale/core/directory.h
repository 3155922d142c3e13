/*
 * The directory of upstreams: which are known, ready, draining or gone, as
 * their entries in the store tell.
 *
 * Load pattern: while the store is away its leases run out, and every entry
 * seems to vanish at once on its return. An entry that vanishes in calm gets
 * nothing new from that moment; one that vanishes around an outage is kept
 * until it had time to come back.
 */
#ifndef GODWITVALE_CORE_DIRECTORY_H
#define GODWITVALE_CORE_DIRECTORY_H

#include "godwitvale/core/deployment_defs.h"

/// Entries that lapsed during an outage are back within this span of its end.
#define DIRECTORY_RETURN_SPAN (2 * USEC_PER_SEC)

/// One known upstream. Valid until the next call that changes the directory.
struct upstream_record {
	struct upstream_entry entry;
	uint64_t revision;       /// of its last entry
	usec_t draining_since;   /// 0: it isn't draining
	usec_t cold_until;       /// 0: warm
	usec_t missing_deadline; /// gone for good then; 0: present
	uint32_t handle;
};

/// What a change did, for whoever follows the directory.
enum directory_change {
	DIRECTORY_SAME = 0,
	DIRECTORY_ADDED,
	DIRECTORY_REBORN,   /// same id, new incarnation: nothing known holds
	DIRECTORY_DRAINING, /// it leaves
	DIRECTORY_READY,    /// it is ready again
	DIRECTORY_REMOVED,
	DIRECTORY_HELD, /// missing around an outage: kept for now
	DIRECTORY_COLD, /// it has turned cold
};

/// Told of each change.
typedef void (*directory_listener)(void *owner, enum directory_change change,
    const struct upstream_record *record);

struct directory;

struct directory *directory_new(directory_listener listener, void *owner);
void directory_free(struct directory *directory);
void directory_put(struct directory *directory, usec_t now,
    const struct upstream_entry *entry, uint64_t revision);
void directory_unreadable(
    struct directory *directory, usec_t now, const char *id, uint64_t revision);
void directory_delete(
    struct directory *directory, usec_t now, const char *id, uint64_t revision);
void directory_replace_begin(struct directory *directory);
void directory_replace_end(
    struct directory *directory, usec_t now, uint64_t as_of);
void directory_store_lost(struct directory *directory);
void directory_store_back(struct directory *directory, usec_t now);
void directory_tick(struct directory *directory, usec_t now);

const struct upstream_record *directory_find(
    const struct directory *directory, const char *id);
const struct upstream_record *directory_get(
    const struct directory *directory, uint32_t handle);
const GPtrArray *directory_of_service(
    const struct directory *directory, const char *service);
GPtrArray *directory_list(const struct directory *directory);
guint directory_size(const struct directory *directory);

#endif
