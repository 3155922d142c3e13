/* State of struct hub, shared by hub.c and hub_queue.c. */
#ifndef GODWITVALE_FLEET_HUB_STATE_H
#define GODWITVALE_FLEET_HUB_STATE_H

#include "godwitvale/fleet/hub.h"

/// An instance that gets what this one passes on as its hub.
struct subscriber {
	uint32_t ip;
	usec_t expires_at;
};

/// A message that waits to be passed on.
struct queued_message {
	uint64_t origin; /// hash of the name of the instance that published it
	GBytes *bytes;
	bool from_hub; /// another hub has passed it on
};

/// Last whole heartbeat that an instance has published.
struct kept_heartbeat {
	GBytes *bytes;
	bool from_hub; /// another hub has passed it on
};

struct hub {
	struct hub_options options;
	struct hub_self self;
	struct hub_choice choice;
	GHashTable *subscribers; /// hash of the name -> struct subscriber *
	GPtrArray *queue;        /// struct queued_message *
	GHashTable *heartbeats;  /// hash of the name -> struct kept_heartbeat *
	bool flush_scheduled;
	usec_t last_sent_at; /// to the subscribers
	usec_t small_since;  /// the fleet is small since then; 0: it isn't
	bool is_dissolved;   /// it has been small for HUB_SMALL_SPAN
	bool was_hub;        /// as the owner was told last
};

/* hub_queue.c */
void hub_free_queued(void *data);
void hub_free_kept(void *data);
uint32_t hub_member_address(const struct member *member);
void hub_send_pack(struct hub *hub, const fleet_pack *pack,
    const uint32_t *receivers, size_t n_receivers);
void hub_send_kept(struct hub *hub, usec_t now, fleet_hop hop, uint32_t ip);
void hub_send_idle_pack(struct hub *hub, usec_t now);
void hub_queue_message(struct hub *hub, uint64_t origin, const char *bytes,
    size_t len, bool from_hub);

#endif
