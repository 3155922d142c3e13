/*
 * Start, periodic work and end of the exchange of messages with other
 * instances. peers_send.c sends the messages of peers_heartbeat.c,
 * peers_changes.c and peers_topics.c; peers_receive.c handles them.
 */
#include "godwitvale/fleet/peers.h"

#include <errno.h>
#include <time.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <gio/gio.h>
#include <glib-unix.h>
#include <sys/socket.h>

#include "godwitvale/core/hash.h"
#include "godwitvale/fleet/peers_state.h"
#include "godwitvale/fleet/snapshot_sync.h"
#include "godwitvale/http/address.h"
#include "godwitvale/ops/log.h"

/// After an instance has joined, restarted or been lost, every heartbeat lists
/// the addresses of live members for this long, so that instances that know
/// fewer members learn of the others.
#define PEERS_ADDRESS_LIST_SPAN (5 * USEC_PER_SEC)
/// Minimum time without heartbeats after which an instance counts as lost. It
/// spans several heartbeats, as the loss of a few datagrams doesn't mean that
/// the instance has failed.
#define PEERS_LOST_TIMEOUT (1200 * USEC_PER_MSEC)

/// @param ip  an IPv4 address in dotted decimal
/// @return the address as a number in host byte order; 0 when it is invalid
uint32_t
peers_parse_ipv4(const char *ip)
{
	struct in_addr address;

	return inet_pton(AF_INET, ip, &address) == 1 ? ntohl(address.s_addr)
						     : 0;
}

/// @return time since the machine's start, in microseconds, with the time for
///         which it was suspended
static usec_t
get_boot_time(void)
{
	struct timespec boot;

	clock_gettime(CLOCK_BOOTTIME, &boot);
	return (usec_t)boot.tv_sec * USEC_PER_SEC + boot.tv_nsec / 1000;
}

/// Notes that this process runs, and detects that it has stood still.
///
/// @param peers  marked if it has
void
peers_note_run(struct peers *peers)
{
	usec_t now = get_boot_time();

	if (peers->last_run_at != 0 &&
	    now > peers->last_run_at + PEERS_STALL_SPAN) {
		peers->has_stalled = true;
		log_event(LOG_LEVEL_WARN, "peers-stalled",
		    "for_ms=%" G_GINT64_FORMAT " outcome=evidence-dropped",
		    (now - peers->last_run_at) / USEC_PER_MSEC);
	}
	peers->last_run_at = now;
}

/// Loop callback: performs periodic work and sends a heartbeat when it is due.
static gboolean
on_tick(gpointer data)
{
	struct peers *peers = data;
	usec_t now = g_get_monotonic_time();

	peers_note_run(peers);
	membership_tick(peers->membership, now);
	address_book_expire(peers->addresses, now);
	hub_tick(peers->hub, now);
	if (now >= peers->next_heartbeat_at) {
		peers_send_heartbeat(peers);
		peers_gossip(peers);
		peers_repeat_outcomes(peers);
	}
	snapshot_sync_tick(peers->snapshot_sync, now);
	return G_SOURCE_CONTINUE;
}

/// Removes what a lost or restarted instance has reported of its requests.
static void
forget_member_loads(struct peers *peers, const struct member *member)
{
	loads_remove_peer(peers->options.loads, member->name_hash);
	if (peers->options.shares != NULL)
		organisation_shares_remove_peer(
		    peers->options.shares, member->name_hash);
}

/// Membership callback: the state of another instance has changed.
static void
on_member_change(
    void *owner, enum member_change change, const struct member *member)
{
	static const char *const names[] = {
	    [MEMBER_JOINED] = "peer-joined",
	    [MEMBER_RESTARTED] = "peer-restarted",
	    [MEMBER_LOST] = "peer-lost",
	    [MEMBER_REACHED_STORE] = "peer-reads-store",
	};
	struct peers *peers = owner;

	if (change != MEMBER_REACHED_STORE)
		peers->list_addresses_until =
		    g_get_monotonic_time() + PEERS_ADDRESS_LIST_SPAN;
	log_event(LOG_LEVEL_INFO, names[change],
	    "peer=%s silent_ms=%" G_GINT64_FORMAT, member->name,
	    member->last_heartbeat_at == 0
		? 0
		: (g_get_monotonic_time() - member->last_heartbeat_at) /
		    USEC_PER_MSEC);
	if (change == MEMBER_REACHED_STORE)
		peers->options.vtable->peer_reached_store(peers->options.owner);
	if (change == MEMBER_RESTARTED || change == MEMBER_LOST)
		forget_member_loads(peers, member);
	stream_sync_on_member_change(peers->stream_sync, change, member);
	/* After a pause of this process members are forgotten, not silent. */
	if (change == MEMBER_LOST &&
	    g_get_monotonic_time() >= member->lost_deadline)
		peers->options.vtable->member_silent(
		    peers->options.owner, member);
	if (change == MEMBER_JOINED || change == MEMBER_RESTARTED)
		peers->options.vtable->member_started(
		    peers->options.owner, member);
}

/// Loop callback: the hub has gathered messages for long enough.
static gboolean
on_flush_due(gpointer data)
{
	struct peers *peers = data;

	peers->flush_timer = 0;
	peers_note_run(peers);
	hub_flush(peers->hub, g_get_monotonic_time());
	return G_SOURCE_REMOVE;
}

/// Hub callback: the hub has begun to gather messages.
static void
schedule_flush(void *owner)
{
	struct peers *peers = owner;

	if (peers->flush_timer == 0)
		peers->flush_timer =
		    g_timeout_add((guint)(HUB_GATHER_SPAN / USEC_PER_MSEC),
			on_flush_due, peers);
}

/// Hub callback: sends a datagram.
static void
send_to_address(void *owner, uint32_t ip, const char *bytes, size_t len)
{
	peers_send_datagram(owner, ip, bytes, len);
}

/// Hub callback: this instance has become a hub, or is none any more.
static void
on_role_changed(void *owner, bool is_hub)
{
	struct peers *peers = owner;

	log_event(LOG_LEVEL_INFO, "hub-role", "is_hub=%d subscribers=%u",
	    is_hub, hub_count_subscribers(peers->hub));
	peers_announce(peers);
}

/// Hub callback: this instance uses another hub.
static void
on_hub_changed(void *owner, enum hub_change reason, const char *name)
{
	static const char *const reasons[] = {
	    [HUB_KEPT] = "none",
	    [HUB_CHOSEN] = "members",
	    [HUB_SILENT] = "silent",
	    [HUB_CUT_OFF] = "cut-off",
	};
	struct peers *peers = owner;

	/* What the last hub did not pass on is in a whole heartbeat. */
	peers->told_state = 0;
	log_event(LOG_LEVEL_INFO, "hub-changed", "hub=%s reason=%s members=%u",
	    name, reasons[reason], membership_size(peers->membership));
}

static const struct hub_vtable hub_vtable = {
    .send = send_to_address,
    .deliver = peers_deliver,
    .flush_needed = schedule_flush,
    .role_changed = on_role_changed,
    .hub_changed = on_hub_changed,
};

/// Creates the exchange through hubs.
static struct hub *
open_hub(struct peers *peers)
{
	const struct hub_options options = {
	    .vtable = &hub_vtable,
	    .owner = peers,
	    .name = peers->name,
	    .zone = hash_name(peers->zone),
	    .ip = peers_parse_ipv4(peers->ip),
	    .link_mbps = peers->options.link_mbps,
	    .min_instances = peers->options.hub_min_instances,
	    .membership = peers->membership,
	};

	return hub_new(&options);
}

/// Stream callback: sends a datagram to one instance.
static void
send_to_ip(void *owner, const char *ip, const char *bytes, size_t len)
{
	peers_send_datagram(owner, peers_parse_ipv4(ip), bytes, len);
}

/// Stream callback: fills in what is known of the versions of a service.
static void
testify(
    void *owner, uint64_t service, usec_t span, struct version_witness *witness)
{
	const struct peers *peers = owner;

	peers->options.vtable->testify(
	    peers->options.owner, service, span, witness);
}

/// Stream callback: another instance has answered for a stream.
static void
on_stream_answered(void *owner, uint64_t stream, uint64_t instance,
    const struct version_witness *witness)
{
	const struct peers *peers = owner;

	peers->options.vtable->stream_answered(
	    peers->options.owner, stream, instance, witness);
}

static const struct stream_sync_vtable stream_sync_vtable = {
    .send = send_to_ip,
    .testify = testify,
    .answered = on_stream_answered,
};

/// Creates the exchange of the versions of streams.
static struct stream_sync *
open_stream_sync(struct peers *peers)
{
	const struct stream_sync_options options = {
	    .vtable = &stream_sync_vtable,
	    .owner = peers,
	    .name = peers->name,
	    .ip = peers->ip,
	    .membership = peers->membership,
	    .versions = peers->options.stream_versions,
	};

	return stream_sync_new(&options);
}

/// Opens and binds the socket.
static bool
open_socket(struct peers *peers, GError **error)
{
	struct sockaddr_in address = {.sin_family = AF_INET};

	peers->fd =
	    socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	address.sin_addr.s_addr = htonl(peers_parse_ipv4(peers->ip));
	address.sin_port = htons(peers->options.port);
	if (peers->fd >= 0 &&
	    bind(peers->fd, (struct sockaddr *)&address, sizeof(address)) == 0)
		return true;
	g_set_error(error, G_IO_ERROR, g_io_error_from_errno(errno),
	    "UDP %s:%u: %s", peers->ip, peers->options.port, g_strerror(errno));
	return false;
}

/// Opens the socket and starts the exchange of messages with other instances.
///
/// @param options  copied; what the fields point to must outlive the peers,
///                 except for the strings
/// @param error    set when the address can't be bound
/// @return the peers, or NULL on error; free with peers_free()
struct peers *
peers_new(const struct peers_options *options, GError **error)
{
	struct peers *peers = g_new0(struct peers, 1);

	peers->options = *options;
	peers->name = g_strdup(options->name);
	peers->ip = g_strdup(options->ip);
	peers->zone = g_strdup(options->zone);
	peers->incarnation = (uint64_t)g_get_real_time();
	peers->addresses =
	    address_book_new(peers_parse_ipv4(peers->ip), g_random_int());
	peers->membership = membership_new(
	    peers->name, PEERS_LOST_TIMEOUT, on_member_change, peers);
	peers->snapshot_sync = snapshot_sync_new(options->view, options->pool,
	    peers->membership, options->control_port);
	peers->stream_sync = open_stream_sync(peers);
	peers->hub = open_hub(peers);
	if (!open_socket(peers, error)) {
		peers_free(peers);
		return NULL;
	}
	peers_add_seeds(peers, options->seeds);
	peers->socket_source =
	    g_unix_fd_add(peers->fd, G_IO_IN, peers_on_readable, peers);
	peers->tick_timer =
	    g_timeout_add(PEERS_HEARTBEAT_MIN_MS, on_tick, peers);
	peers_send_heartbeat(peers);
	return peers;
}

/// Stops the exchange of messages and frees the peers.
///
/// @param peers  not NULL
void
peers_free(struct peers *peers)
{
	if (peers->socket_source != 0)
		g_source_remove(peers->socket_source);
	if (peers->tick_timer != 0)
		g_source_remove(peers->tick_timer);
	if (peers->load_timer != 0)
		g_source_remove(peers->load_timer);
	if (peers->flush_timer != 0)
		g_source_remove(peers->flush_timer);
	g_clear_pointer(&peers->snapshot_sync, snapshot_sync_free);
	if (peers->fd >= 0)
		close(peers->fd);
	hub_free(peers->hub);
	membership_free(peers->membership);
	stream_sync_free(peers->stream_sync);
	address_book_free(peers->addresses);
	g_free(peers->name);
	g_free(peers->ip);
	g_free(peers->zone);
	g_free(peers);
}

/// Adds seeds: addresses that always get heartbeats. Earlier seeds stay.
///
/// @param peers  sends heartbeats to the seeds from now on
/// @param seeds  IP:PORT,...; the ports are not used
void
peers_add_seeds(struct peers *peers, const char *seeds)
{
	char **seed_list = g_strsplit(seeds, ",", -1);

	for (char **seed = seed_list; *seed != NULL; seed++) {
		struct address address;

		if (address_parse(g_strstrip(*seed), &address))
			address_book_add_seed(
			    peers->addresses, peers_parse_ipv4(address.ip));
	}
	g_strfreev(seed_list);
}

/// Announces to the other instances that this instance is leaving.
///
/// @param peers  sends a heartbeat at once; later ones contain it too
void
peers_set_leaving(struct peers *peers)
{
	peers->leaving = true;
	hub_set_leaving(peers->hub);
	peers_send_heartbeat(peers);
}

/// Forgets the state of the other instances. Called after this process was
/// paused, as the state is out of date then.
///
/// @param peers  loses its members; its targets stay
void
peers_forget_all(struct peers *peers)
{
	membership_forget_all(peers->membership);
}

/// @param peers  peers to query
/// @return the exchange of the versions of streams, owned by the peers
struct stream_sync *
peers_stream_sync(const struct peers *peers)
{
	return peers->stream_sync;
}

/// @param peers  peers to query
/// @return start time of this instance, as its heartbeats name it
uint64_t
peers_incarnation(const struct peers *peers)
{
	return peers->incarnation;
}

/// @param peers  peers to query
/// @return state of the other instances, owned by the peers
struct membership *
peers_membership(const struct peers *peers)
{
	return peers->membership;
}

/// @param peers  peers to query
/// @return exchange of messages through hubs, owned by the peers
const struct hub *
peers_hub(const struct peers *peers)
{
	return peers->hub;
}
