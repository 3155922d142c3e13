/*
 * Start, periodic work and end of the exchange of messages with other
 * instances. peers_send.c sends the messages, peers_receive.c handles them.
 */
#include "godwitvale/fleet/peers.h"

#include <errno.h>
#include <time.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <gio/gio.h>
#include <glib-unix.h>
#include <sys/socket.h>

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

/// Adds an address to the heartbeat targets, or extends its lifetime. Ignores
/// an invalid address and the address of this instance.
///
/// @param peers       sends heartbeats to the address
/// @param number      the address, in host byte order
/// @param expires_at  when to stop, unless another heartbeat names it
/// @param is_seed     whether it is from the settings, and never expires
void
peers_add_target(
    struct peers *peers, uint32_t number, usec_t expires_at, bool is_seed)
{
	struct heartbeat_target *target;

	if (number == 0 || number == peers_parse_ipv4(peers->ip))
		return;
	target = g_hash_table_lookup(peers->targets, GUINT_TO_POINTER(number));
	if (target == NULL) {
		target = g_new0(struct heartbeat_target, 1);
		g_hash_table_insert(
		    peers->targets, GUINT_TO_POINTER(number), target);
	}
	target->expires_at = MAX(target->expires_at, expires_at);
	target->is_seed = target->is_seed || is_seed;
}

/// Removes targets whose address no heartbeat has contained for
/// PEERS_TARGET_TTL. Seeds are never removed.
static void
remove_expired_targets(struct peers *peers, usec_t now)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, peers->targets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct heartbeat_target *target = value;

		if (!target->is_seed && now >= target->expires_at)
			g_hash_table_iter_remove(&iter);
	}
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
	remove_expired_targets(peers, now);
	if (now >= peers->next_heartbeat_at) {
		peers_send_heartbeat(peers);
		peers_gossip(peers);
	}
	snapshot_sync_tick(peers->snapshot_sync, now);
	return G_SOURCE_CONTINUE;
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
		loads_remove_peer(peers->options.loads, member->name_hash);
	stream_sync_on_member_change(peers->stream_sync, change, member);
	/* After a pause of this process members are forgotten, not silent. */
	if (change == MEMBER_RESTARTED ||
	    (change == MEMBER_LOST &&
		g_get_monotonic_time() >= member->lost_deadline))
		peers->options.vtable->member_lost(
		    peers->options.owner, member);
}

/// Stream callback: sends a datagram to one instance.
static void
send_to_ip(void *owner, const char *ip, const char *bytes, size_t len)
{
	peers_send_datagram(owner, peers_parse_ipv4(ip), bytes, len);
}

/// Stream callback: checks whether a service has had several versions.
static bool
has_several_versions(void *owner, uint64_t service)
{
	const struct peers *peers = owner;

	return peers->options.vtable->has_several_versions(
	    peers->options.owner, service);
}

/// Stream callback: another instance has answered for a stream.
static void
on_stream_answered(
    void *owner, uint64_t stream, uint64_t instance, bool several_versions)
{
	const struct peers *peers = owner;

	peers->options.vtable->stream_answered(
	    peers->options.owner, stream, instance, several_versions);
}

static const struct stream_sync_vtable stream_sync_vtable = {
    .send = send_to_ip,
    .has_several_versions = has_several_versions,
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
	peers->targets = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	peers->membership = membership_new(
	    peers->name, PEERS_LOST_TIMEOUT, on_member_change, peers);
	peers->snapshot_sync = snapshot_sync_new(options->view, options->pool,
	    peers->membership, options->control_port);
	peers->stream_sync = open_stream_sync(peers);
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
	g_clear_pointer(&peers->snapshot_sync, snapshot_sync_free);
	if (peers->fd >= 0)
		close(peers->fd);
	membership_free(peers->membership);
	stream_sync_free(peers->stream_sync);
	g_hash_table_unref(peers->targets);
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
			peers_add_target(
			    peers, peers_parse_ipv4(address.ip), 0, true);
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
