/*
 * The one client of the platform's store. It keeps a view up to date: every
 * instance waits for the operator's changes; those of the upstreams, which
 * come many times a second, are read by a few instances for all.
 */
#ifndef GODWITVALE_FLEET_STORE_H
#define GODWITVALE_FLEET_STORE_H

#include "godwitvale/fleet/view.h"
#include "godwitvale/http/pool.h"

struct store;

/// What the store's client asks and tells.
struct store_vtable {
	/// This instance's place among those that read the upstreams' changes
	/// for all; negative: it isn't one of them.
	int (*reader_rank)(void *owner);
	/// Live instances, this one included.
	unsigned (*fleet_size)(void *owner);
	/// Changes of the upstreams were read; told before the view has them.
	void (*news)(
	    void *owner, GPtrArray *items, uint64_t after, uint64_t as_of);
};

/// How the client is built.
struct store_options {
	const struct store_vtable *vtable;
	void *owner;
	const struct site *site;
	struct view *view;
	struct pool *pool;
	const char *address; /// IP:PORT
};

struct store *store_new(const struct store_options *options);
void store_free(struct store *store);
bool store_is_reachable(const struct store *store);
void store_hurry(struct store *store);
void store_heard(struct store *store);
uint64_t store_calls(const struct store *store);

#endif
