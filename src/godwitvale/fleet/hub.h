/*
 * Exchange of messages through hubs, in large fleets: subscribes to the hub of
 * this instance, publishes through it, and serves other instances as their hub.
 * It reads no clock and does no I/O itself.
 */
#ifndef GODWITVALE_FLEET_HUB_H
#define GODWITVALE_FLEET_HUB_H

#include <glib.h>

#include "godwitvale/core/hub_choice.h"
#include "godwitvale/fleet/fleet_wire_xdr.h"

/// Time for which a hub gathers messages before it passes them on.
#define HUB_GATHER_SPAN (20 * USEC_PER_MSEC)
/// Interval at which hub_tick() is to be called.
#define HUB_TICK_INTERVAL (200 * USEC_PER_MSEC)
/// Maximum length of a message that can be published, in bytes.
#define HUB_MESSAGE_BYTES_MAX FLEET_PACKED_BYTES

struct hub;

/// Callbacks from struct hub to its owner.
struct hub_vtable {
	/// Sends a datagram. `ip` is in host byte order.
	void (*send)(void *owner, uint32_t ip, const char *bytes, size_t len);
	/// A message of another instance has arrived.
	void (*deliver)(void *owner, const char *bytes, size_t len);
	/// hub_flush() is to be called after HUB_GATHER_SPAN.
	void (*flush_needed)(void *owner);
	/// This instance has become a hub, or is none any more.
	void (*role_changed)(void *owner, bool is_hub);
	/// This instance uses another hub.
	void (*hub_changed)(
	    void *owner, enum hub_change reason, const char *name);
};

/// Options of the exchange.
struct hub_options {
	const struct hub_vtable *vtable;
	void *owner;        /// passed to the callbacks
	const char *name;   /// of this instance; copied
	uint64_t zone;      /// hash of its availability zone
	uint32_t ip;        /// of this instance, in host byte order
	uint64_t link_mbps; /// of this instance's link; 0: unknown
	/// size of the fleet from which on messages go through hubs
	unsigned min_instances;
	const struct membership *membership;
};

/// Whether one hub is enough for a message.
enum hub_copies {
	HUB_ONE_COPY = 1,
	HUB_TWO_COPIES = 2, /// it isn't sent again soon
};

struct hub *hub_new(const struct hub_options *options);
void hub_free(struct hub *hub);
bool hub_is_active(const struct hub *hub);
bool hub_is_hub(const struct hub *hub);
unsigned hub_count_subscribers(const struct hub *hub);
const char *hub_own_hub_name(const struct hub *hub);
void hub_set_leaving(struct hub *hub);
size_t hub_list_addresses(const struct hub *hub, u_int *addresses);
void hub_publish(struct hub *hub, usec_t now, enum hub_copies copies,
    const char *bytes, size_t len);
void hub_subscribe(struct hub *hub, usec_t now);
void hub_receive(
    struct hub *hub, usec_t now, const fleet_pack *pack, bool has_stalled);
void hub_flush(struct hub *hub, usec_t now);
void hub_greet(struct hub *hub, usec_t now, uint32_t ip);
void hub_tick(struct hub *hub, usec_t now);

#endif
