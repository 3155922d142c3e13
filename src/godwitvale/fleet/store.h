/*
 * The client of the platform's store, which keeps a view up to date.
 *
 * Load pattern: all instances need the same changes, and each call is paid for.
 * Only a few instances, the readers, read them from the store and pass them on
 * to all others. An instance that hears nothing from a reader for a while, or
 * whose data isn't as new as the reader's, reads the store itself.
 */
#ifndef GODWITVALE_FLEET_STORE_H
#define GODWITVALE_FLEET_STORE_H

#include "godwitvale/fleet/view.h"
#include "godwitvale/http/pool.h"

struct store;

/// Callbacks of the store's client.
struct store_vtable {
	/// Returns the rank of this instance among the readers of the
	/// upstreams' changes, from 0; negative: it is not a reader.
	int (*reader_rank)(void *owner);
	/// Returns the number of live instances, including this one.
	unsigned (*fleet_size)(void *owner);
	/// Changes of a scope were read, from the store revision `after` to
	/// `as_of`, by an instance that reads for the others. Called before
	/// they are applied to the view.
	void (*changes_read)(void *owner, enum site_scope scope,
	    GPtrArray *items, uint64_t after, uint64_t as_of);
};

/// Options of the client.
struct store_options {
	const struct store_vtable *vtable;
	void *owner; /// passed to the callbacks
	const struct site *site;
	struct view *view; /// updated
	struct pool *pool;
	const char *address; /// IP:PORT
};

struct store *store_new(const struct store_options *options);
void store_free(struct store *store);
bool store_is_reachable(const struct store *store);
void store_restart_calls(struct store *store);
void store_shorten_backoff(struct store *store);
void store_note_era(struct store *store, uint64_t era);
void store_read_operator(struct store *store);
uint64_t store_call_count(const struct store *store);

#endif
