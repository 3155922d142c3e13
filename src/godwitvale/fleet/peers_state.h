/* State of struct peers, shared by the files named peers*.c. */
#ifndef GODWITVALE_FLEET_PEERS_STATE_H
#define GODWITVALE_FLEET_PEERS_STATE_H

#include "godwitvale/core/address_book.h"
#include "godwitvale/fleet/hub.h"
#include "godwitvale/fleet/peers.h"

/// Minimum interval of heartbeats, in milliseconds. The timer that checks for
/// due work has the same interval.
#define PEERS_HEARTBEAT_MIN_MS 200
/// Time for which heartbeats are still sent to an address after the last
/// heartbeat that contained it, so that both sides of a network partition find
/// each other again.
#define PEERS_TARGET_TTL (60 * USEC_PER_SEC)
/// A process that handles nothing for longer than this has stood still. The
/// ages in datagrams that have waited meanwhile are too low.
#define PEERS_STALL_SPAN (600 * USEC_PER_MSEC)
/// Number of random instances that get what this instance knows of prompt
/// segments and upstreams with each heartbeat, and of random addresses that get
/// a whole heartbeat directly. Each passes it on, so that it also reaches
/// instances that were restarted or can't be reached from here.
#define PEERS_GOSSIP_FANOUT 3
/// Size of the buffers for encoded and received datagrams, in bytes.
#define PEERS_BUFFER_BYTES 65536

struct peers {
	struct peers_options options;
	char *name;
	char *ip;
	char *zone;
	struct membership *membership;
	struct address_book *addresses; /// that heartbeats are sent to
	uint64_t incarnation;
	int fd;
	guint socket_source;
	guint tick_timer;
	guint load_timer;  /// sends the changed loads; 0: not scheduled
	guint flush_timer; /// passes on what the hub gathered; 0: not scheduled
	usec_t next_heartbeat_at;    /// when the next heartbeat is due
	usec_t list_addresses_until; /// every heartbeat lists them until then
	unsigned n_heartbeats;       /// sent so far
	uint64_t sequence;           /// of the last numbered message
	/// what the last whole heartbeat said, but for the loads, as a hash
	uint64_t told_state;
	/// when this process last handled its peers, by boot time
	usec_t last_run_at;
	/// it has stood still, and datagrams may have waited meanwhile
	bool has_stalled;
	bool leaving;
	struct hub *hub;
	struct snapshot_sync *snapshot_sync;
	struct stream_sync *stream_sync;
};

/* peers.c */
void peers_note_run(struct peers *peers);
uint32_t peers_parse_ipv4(const char *ip);

/* peers_send.c */
void peers_send_datagram(
    struct peers *peers, uint32_t number, const char *bytes, size_t len);
void peers_send_to_addresses(
    struct peers *peers, GArray *addresses, const char *bytes, size_t len);
void peers_send_to_known(struct peers *peers, const char *bytes, size_t len);
void peers_send_to_hubless(
    struct peers *peers, uint64_t feature, const char *bytes, size_t len);
void peers_send_to_featured(
    struct peers *peers, uint64_t feature, const char *bytes, size_t len);
void peers_send_to_builds(
    struct peers *peers, uint64_t feature, const char *bytes, size_t len);
void peers_send_to_all(
    struct peers *peers, enum hub_copies copies, const char *bytes, size_t len);
GPtrArray *peers_list_members(const struct peers *peers, uint64_t feature);
size_t peers_encode(struct peers *peers, const fleet_message *message,
    uint64_t era, uint64_t sequence, char *bytes, size_t size);

/* peers_heartbeat.c */
void peers_send_heartbeat(struct peers *peers);
void peers_announce(struct peers *peers);
void peers_greet_hub(struct peers *peers, uint32_t address);

/* peers_topics.c */
void peers_gossip(struct peers *peers);
void peers_repeat_outcomes(struct peers *peers);

/* peers_receive.c */
void peers_deliver(void *owner, const char *bytes, size_t len);
gboolean peers_on_readable(gint fd, GIOCondition condition, gpointer data);

#endif
