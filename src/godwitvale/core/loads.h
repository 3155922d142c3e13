/*
 * What is under way at each upstream: this instance's own work, and the sums
 * that its peers tell of theirs.
 *
 * Load pattern: all instances send to the same few upstreams, and an
 * upstream's own report is late. Each instance knows its own work at once and
 * that of the others a heartbeat later.
 */
#ifndef GODWITVALE_CORE_LOADS_H
#define GODWITVALE_CORE_LOADS_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/// Work at one upstream.
struct load {
	int32_t requests;
	int32_t tokens; /// of memory, once the generations have ended
	int32_t prompt; /// tokens of prompts whose first event is awaited
};

/// Work at one upstream, as peers tell it.
struct load_entry {
	uint64_t upstream; /// hash of its id
	struct load load;
};

struct loads;

struct loads *loads_new(void);
void loads_free(struct loads *loads);
void loads_add(
    struct loads *loads, uint64_t upstream, const struct load *delta);
void loads_set_peer(struct loads *loads, uint64_t peer,
    const struct load_entry *entries, size_t n_entries);
void loads_merge_peer(struct loads *loads, uint64_t peer,
    const struct load_entry *entries, size_t n_entries);
void loads_drop_peer(struct loads *loads, uint64_t peer);
struct load loads_own(const struct loads *loads, uint64_t upstream);
struct load loads_total(const struct loads *loads, uint64_t upstream);
size_t loads_list_own(
    struct loads *loads, struct load_entry *entries, size_t max);
size_t loads_list_changed(
    struct loads *loads, struct load_entry *entries, size_t max);

#endif
