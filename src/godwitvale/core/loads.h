/*
 * Counts the load of each upstream: the work in flight of this instance and the
 * work in flight that the other instances (peers) report.
 *
 * Load pattern: all instances send to the same few upstreams, and an
 * upstream's own load report arrives late. An instance counts its own work
 * immediately. Peers report theirs with each heartbeat and when it changes.
 */
#ifndef GODWITVALE_CORE_LOADS_H
#define GODWITVALE_CORE_LOADS_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/// Work in flight at one upstream.
struct load {
	int32_t requests;
	/// memory that the generations will use at their end, in tokens
	int32_t tokens;
	/// prompt tokens of the generations that have sent no event yet
	int32_t prompt_tokens;
};

/// Work in flight of one instance at one upstream. Instances report their work
/// to each other as lists of these entries.
struct load_entry {
	uint64_t upstream; /// hash of the upstream's id
	struct load load;
};

struct loads;

struct loads *loads_new(void);
void loads_free(struct loads *loads);
void loads_add_own(
    struct loads *loads, uint64_t upstream, const struct load *delta);
void loads_set_peer(struct loads *loads, uint64_t peer,
    const struct load_entry *entries, size_t n_entries);
void loads_merge_peer(struct loads *loads, uint64_t peer,
    const struct load_entry *entries, size_t n_entries);
void loads_remove_peer(struct loads *loads, uint64_t peer);
struct load loads_get_own(const struct loads *loads, uint64_t upstream);
struct load loads_get_total(const struct loads *loads, uint64_t upstream);
size_t loads_list_own(
    struct loads *loads, struct load_entry *entries, size_t max);
size_t loads_list_changed(
    struct loads *loads, struct load_entry *entries, size_t max);

#endif
