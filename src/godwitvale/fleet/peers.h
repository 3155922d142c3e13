/*
 * Messages between entry instances: heartbeats with the sender's work at each
 * upstream, and news of the upstreams for those that don't read the store.
 */
#ifndef GODWITVALE_FLEET_PEERS_H
#define GODWITVALE_FLEET_PEERS_H

#include "godwitvale/core/loads.h"
#include "godwitvale/core/membership.h"
#include "godwitvale/fleet/view.h"
#include "godwitvale/http/pool.h"

struct peers;

/// What peers are asked and told.
struct peers_vtable {
	/// Whether this instance reaches the store.
	bool (*reads_store)(void *owner);
	/// Another instance reaches the store, where none did.
	void (*store_heard)(void *owner);
	/// The work of other instances has changed.
	void (*loads_changed)(void *owner);
	/// Lists upstreams (hashes of ids) that take no connection.
	size_t (*list_gone)(void *owner, uint64_t *upstreams, size_t max);
	/// Another instance lists an upstream as such.
	void (*heard_gone)(void *owner, uint64_t upstream);
};

/// How peers are built.
struct peers_options {
	const struct peers_vtable *vtable;
	void *owner;
	const char *name;      /// this instance's
	const char *ip;        /// its address, which others see
	uint16_t port;         /// UDP, the same at every instance
	uint16_t control_port; /// HTTP, the same at every instance
	const char *seeds;     /// IP:PORT,... of instances that may be stale
	struct view *view;
	struct loads *loads;
	struct pool *pool;
};

struct peers *peers_new(const struct peers_options *options, GError **error);
void peers_free(struct peers *peers);
void peers_set_seeds(struct peers *peers, const char *seeds);
void peers_hurry(struct peers *peers);
void peers_set_leaving(struct peers *peers);
void peers_send_news(
    struct peers *peers, GPtrArray *items, uint64_t after, uint64_t as_of);
void peers_distrust(struct peers *peers);
struct membership *peers_membership(const struct peers *peers);

#endif
