/*
 * Judges what a part of the store's history tells of the software versions that
 * services had, and since when.
 *
 * Load pattern: all instances are lost at once, and callers take their streams
 * up at the ones that are started in their place. None of these has seen which
 * versions there were. The store still names each upstream that has gone since
 * the oldest revision that it keeps, but not when that was.
 *
 * Times come from the entries themselves. An upstream's entry names its start
 * in Unix time, and counts its heartbeats since then. Its first entry is
 * written right after its start. A later one is written as far between the
 * start and its newest entry as the count says, as heartbeats are evenly
 * spaced. All bounds are chosen so that a time is never taken for longer ago
 * than it is:
 *
 * - clocks may differ by ENTRY_CHANGES_CLOCK_SKEW;
 * - one upstream alone isn't believed: it may have stood still, have been cut
 *   off from the store at its start, or have a wrong clock. The second oldest
 *   time that upstreams name counts;
 * - an upstream that doesn't tell its start names no times;
 * - if what was there before an upstream's first change isn't certain (its
 *   entry is deleted, unreadable, or the first one of a process that took the
 *   place of another), versions are known from that change on only.
 */
#ifndef GODWITVALE_CORE_ENTRY_CHANGES_H
#define GODWITVALE_CORE_ENTRY_CHANGES_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "godwitvale/core/time_defs.h"

/// Maximum difference between the Unix times of two machines.
#define ENTRY_CHANGES_CLOCK_SKEW (5 * USEC_PER_SEC)

/// What was done to an upstream's entry.
enum entry_change_kind {
	ENTRY_CHANGE_WRITTEN = 1,
	ENTRY_CHANGE_UNREADABLE, /// written, but it names no upstream to use
	ENTRY_CHANGE_DELETED,
};

/// One change of an upstream's entry.
struct entry_change {
	enum entry_change_kind kind;
	uint64_t upstream; /// hash of its id
	uint64_t revision; /// of the store
	bool is_created;   /// there was no entry of that id before

	/* Valid with ENTRY_CHANGE_WRITTEN. */
	uint64_t service;     /// hash of the service's name
	uint64_t version_key; /// hash of the service and the version
	uint64_t incarnation; /// Unix milliseconds of its start; 0: not told
	uint64_t sequence;    /// heartbeats since then; the first entry has 1
};

/// Version that a service had.
struct entry_version {
	uint64_t service;
	uint64_t version_key;
	/// no upstream had it for at least this long until now; 0: one may
	/// still have it
	usec_t gone_span;
};

struct entry_changes;

struct entry_changes *entry_changes_new(uint64_t from);
void entry_changes_free(struct entry_changes *changes);
void entry_changes_add(
    struct entry_changes *changes, const struct entry_change *change);
void entry_changes_judge(struct entry_changes *changes, usec_t unix_now);
usec_t entry_changes_age(
    const struct entry_changes *changes, uint64_t revision);
usec_t entry_changes_known_span(const struct entry_changes *changes);
GArray *entry_changes_list_versions(const struct entry_changes *changes);

#endif
