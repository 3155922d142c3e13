/*
 * What the store's history tells of upstreams before this instance began to
 * watch them: reads as much of it as the store still has, once, when a caller
 * takes up a stream that nobody remembers. core/entry_changes.h judges it.
 */
#ifndef GODWITVALE_ENTRY_UPSTREAM_HISTORY_H
#define GODWITVALE_ENTRY_UPSTREAM_HISTORY_H

#include "godwitvale/entry/entry_defs.h"

struct upstream_history;

/// Callbacks of a history.
struct upstream_history_vtable {
	/// Reading is over. The versions that were found are noted.
	///
	/// @param is_read  false: the store has failed to answer
	void (*done)(void *owner, bool is_read);
};

/// Options of a history.
struct upstream_history_options {
	const struct upstream_history_vtable *vtable;
	void *owner;         /// passed to the callbacks
	struct entry *entry; /// its view, pool and settings are set
};

struct upstream_history *upstream_history_new(
    const struct upstream_history_options *options);
void upstream_history_free(struct upstream_history *history);
void upstream_history_read(struct upstream_history *history, usec_t since);
bool upstream_history_is_exhausted(const struct upstream_history *history);
usec_t upstream_history_known_since(const struct upstream_history *history);

#endif
