/* Sends heartbeats, and the loads that this instance places. */
#include <glib.h>

#include "godwitvale/core/hash.h"
#include "godwitvale/fleet/fleet_codec.h"
#include "godwitvale/fleet/peers_state.h"

/// Interval of heartbeats for each instance of the fleet, in milliseconds, so
/// that a larger fleet's heartbeats don't grow with the square of its size.
#define PEERS_HEARTBEAT_PER_INSTANCE_MS 5
/// Maximum interval of heartbeats, in milliseconds.
#define PEERS_HEARTBEAT_MAX_MS 1000
/// At other times one in this many heartbeats lists the addresses.
#define PEERS_ADDRESS_LIST_PERIOD 5
/// One in this many heartbeats through hubs is a whole one, unless it says
/// something new.
#define PEERS_WHOLE_HEARTBEAT_PERIOD 10
/// Delay from the placement of a request until the changed loads are sent, in
/// milliseconds. It is short because other instances that place requests at the
/// same time must not choose the same upstream.
#define PEERS_LOAD_UPDATE_DELAY_MS 10
/// Size of the buffer for a heartbeat without loads and addresses, in bytes.
#define PEERS_STATE_BYTES 1024
/// Size of the buffer for a heartbeat that says only that its sender runs, in
/// bytes.
#define PEERS_ALIVE_BYTES 64

/// Converts loads to their wire format.
static void
encode_loads(const struct load_entry *loads, size_t n_loads, fleet_load *wire)
{
	for (size_t i = 0; i < n_loads; i++)
		wire[i] =
		    (fleet_load){loads[i].upstream, loads[i].load.requests,
			loads[i].load.tokens, loads[i].load.prompt_tokens};
}

/// @return the interval of heartbeats, in milliseconds
static unsigned
heartbeat_interval_ms(const struct peers *peers)
{
	return CLAMP(PEERS_HEARTBEAT_PER_INSTANCE_MS *
		membership_size(peers->membership),
	    PEERS_HEARTBEAT_MIN_MS, PEERS_HEARTBEAT_MAX_MS);
}

/// Checks whether the next heartbeat lists the addresses of members.
static bool
should_list_addresses(const struct peers *peers, usec_t now)
{
	return now < peers->list_addresses_until ||
	    peers->n_heartbeats % PEERS_ADDRESS_LIST_PERIOD == 0;
}

/// Sends the loads that have changed since they were last sent.
static void
send_changed_loads(struct peers *peers)
{
	struct load_entry loads[FLEET_LOADS];
	fleet_load wire[FLEET_LOADS];
	char bytes[PEERS_BUFFER_BYTES];
	fleet_message message = {.kind = FLEET_WORK};
	fleet_work *work = &message.fleet_message_u.work;
	size_t n_loads =
	    loads_list_changed(peers->options.loads, loads, FLEET_LOADS);
	size_t len;

	if (n_loads == 0)
		return;
	encode_loads(loads, n_loads, wire);
	*work = (fleet_work){
	    .name = peers->name,
	    .incarnation = peers->incarnation,
	    .loads = {.loads_len = (u_int)n_loads, .loads_val = wire},
	};
	len = peers_encode(
	    peers, &message, 0, ++peers->sequence, bytes, sizeof(bytes));
	if (len > 0)
		peers_send_to_all(peers, HUB_ONE_COPY, bytes, len);
}

/// Parts of a heartbeat that are encoded, but not part of the message.
struct heartbeat_parts {
	fleet_load loads[FLEET_LOADS];
	u_int addresses[FLEET_KNOWN];
	uint64_t unreachable[FLEET_GONE];
};

/// Fills in a heartbeat, but for the loads and the addresses of members.
///
/// @param parts  the message refers to it
static void
fill_heartbeat(const struct peers *peers, fleet_beat *heartbeat,
    struct heartbeat_parts *parts)
{
	const struct peers_options *options = &peers->options;

	*heartbeat = (fleet_beat){
	    .name = peers->name,
	    .ip = peers->ip,
	    .incarnation = peers->incarnation,
	    .interval_ms = heartbeat_interval_ms(peers),
	    .directory_revision = store_revision_number(
		view_revision(options->view, SITE_SCOPE_UPSTREAMS)),
	    .config_revision =
		store_revision_number(view_config_revision(options->view)),
	    .reads_store = options->vtable->is_store_reachable(options->owner),
	    .leaving = peers->leaving,
	    .loads = {.loads_val = parts->loads},
	    .known = {.known_val = parts->addresses},
	    .gone = {.gone_val = parts->unreachable},
	};
	heartbeat->gone.gone_len = (u_int)options->vtable->list_unreachable(
	    options->owner, parts->unreachable, FLEET_GONE);
}

/// Computes a hash of what a heartbeat says, but for what changes all the time
/// and is told in other ways.
///
/// @param heartbeat  without loads and addresses
static uint64_t
hash_state(struct peers *peers, const fleet_beat *heartbeat)
{
	char bytes[PEERS_STATE_BYTES];
	fleet_message message = {
	    .kind = FLEET_BEAT, .fleet_message_u.beat = *heartbeat};
	fleet_beat *state = &message.fleet_message_u.beat;
	size_t len;

	/* Other instances look only at whether there is a revision. */
	state->directory_revision = state->directory_revision != 0;
	len = peers_encode(peers, &message, view_era(peers->options.view), 0,
	    bytes, sizeof(bytes));
	return hash_bytes(bytes, len, 0);
}

/// Encodes a whole heartbeat.
///
/// @param heartbeat  without loads and addresses; they are filled in
static size_t
encode_heartbeat(struct peers *peers, fleet_beat *heartbeat,
    struct heartbeat_parts *parts, char *bytes, size_t size)
{
	struct load_entry loads[FLEET_LOADS];
	size_t n_loads =
	    loads_list_own(peers->options.loads, loads, FLEET_LOADS);
	fleet_message message = {.kind = FLEET_BEAT};

	encode_loads(loads, n_loads, parts->loads);
	heartbeat->loads.loads_len = (u_int)n_loads;
	if (should_list_addresses(peers, g_get_monotonic_time()))
		heartbeat->known.known_len =
		    (u_int)hub_list_addresses(peers->hub, parts->addresses);
	message.fleet_message_u.beat = *heartbeat;
	return peers_encode(peers, &message, view_era(peers->options.view),
	    ++peers->sequence, bytes, size);
}

/// Sends a whole heartbeat to all known addresses.
static void
send_heartbeat_directly(
    struct peers *peers, fleet_beat *heartbeat, struct heartbeat_parts *parts)
{
	char bytes[PEERS_BUFFER_BYTES];
	size_t len =
	    encode_heartbeat(peers, heartbeat, parts, bytes, sizeof(bytes));

	if (len > 0)
		peers_send_to_known(peers, bytes, len);
}

/// Sends a whole heartbeat directly to some random addresses, and to those to
/// which it always goes directly: seeds while the fleet changes, and, from a
/// hub, the other hubs, also those that it knew before a partition.
static void
probe_addresses(struct peers *peers, usec_t now, const char *bytes, size_t len)
{
	const struct address_probes probes = {
	    .n_random = PEERS_GOSSIP_FANOUT,
	    .seeds = should_list_addresses(peers, now),
	    .hubs = hub_is_hub(peers->hub),
	};

	peers_send_to_addresses(peers,
	    address_book_list_probes(peers->addresses, &probes), bytes, len);
}

/// Tells all instances through hubs only that this one runs.
static void
publish_alive(struct peers *peers, usec_t now)
{
	char bytes[PEERS_ALIVE_BYTES];
	const fleet_message message = {
	    .kind = FLEET_ALIVE,
	    .fleet_message_u.alive = {hash_name(peers->name),
		peers->incarnation},
	};
	size_t len = fleet_message_encode(&message, bytes, sizeof(bytes));

	hub_publish(peers->hub, now, HUB_ONE_COPY, bytes, len);
}

/// Checks whether the next heartbeat through hubs is a whole one.
static bool
is_whole_due(const struct peers *peers, usec_t now, uint64_t state)
{
	return state != peers->told_state ||
	    now < peers->list_addresses_until ||
	    peers->n_heartbeats % PEERS_WHOLE_HEARTBEAT_PERIOD == 0;
}

/// Sends a heartbeat through hubs, and a whole one directly to a few targets.
static void
send_heartbeat_through_hubs(struct peers *peers, usec_t now,
    fleet_beat *heartbeat, struct heartbeat_parts *parts)
{
	char bytes[PEERS_BUFFER_BYTES];
	uint64_t state = hash_state(peers, heartbeat);
	bool is_whole = is_whole_due(peers, now, state);
	size_t len;

	hub_subscribe(peers->hub, now);
	if (!is_whole)
		send_changed_loads(peers);
	len = encode_heartbeat(peers, heartbeat, parts, bytes, sizeof(bytes));
	if (len == 0)
		return;
	if (is_whole) {
		peers_send_to_all(peers, HUB_ONE_COPY, bytes, len);
		peers->told_state = state;
	} else {
		publish_alive(peers, now);
		peers_send_to_hubless(peers, 0, bytes, len);
	}
	probe_addresses(peers, now, bytes, len);
}

/// Sends a heartbeat and sets the time of the next one.
///
/// @param peers  sends to all instances
void
peers_send_heartbeat(struct peers *peers)
{
	usec_t now = g_get_monotonic_time();
	const struct peers_options *options = &peers->options;
	struct heartbeat_parts parts;
	fleet_beat heartbeat;
	uint64_t cut_off[1];
	struct peers_brittle brittle;

	fill_heartbeat(peers, &heartbeat, &parts);
	peers->n_heartbeats++;
	peers->next_heartbeat_at = now + heartbeat.interval_ms * USEC_PER_MSEC;
	if (hub_is_active(peers->hub))
		send_heartbeat_through_hubs(peers, now, &heartbeat, &parts);
	else
		send_heartbeat_directly(peers, &heartbeat, &parts);
	if (options->vtable->list_cut_off(options->owner, cut_off, 1) > 0 ||
	    options->vtable->list_brittle(options->owner, &brittle, 1) > 0)
		peers_tell_services(peers);
}

/// Sends a whole heartbeat directly to some addresses, and frees their list.
static void
send_extra_heartbeat(struct peers *peers, GArray *addresses)
{
	char bytes[PEERS_BUFFER_BYTES];
	struct heartbeat_parts parts;
	fleet_beat heartbeat;
	size_t len;

	/* The others have not been told of the loads that it contains. */
	send_changed_loads(peers);
	fill_heartbeat(peers, &heartbeat, &parts);
	len = encode_heartbeat(peers, &heartbeat, &parts, bytes, sizeof(bytes));
	peers_send_to_addresses(peers, addresses, bytes, len);
}

/// Tells all known addresses directly what this instance is. Called when it has
/// become a hub, as the others don't send to it as one yet.
///
/// @param peers  sends to all known addresses
void
peers_announce(struct peers *peers)
{
	send_extra_heartbeat(peers, address_book_list(peers->addresses));
}

/// Tells another hub that this instance is one.
///
/// @param peers    sends a heartbeat at once
/// @param address  of the other hub, in host byte order
void
peers_greet_hub(struct peers *peers, uint32_t address)
{
	GArray *addresses = g_array_new(false, false, sizeof(uint32_t));

	g_array_append_val(addresses, address);
	send_extra_heartbeat(peers, addresses);
}

/// Loop callback: the delay after the placement of a request is over.
static gboolean
on_load_timer(gpointer data)
{
	struct peers *peers = data;

	peers->load_timer = 0;
	send_changed_loads(peers);
	return G_SOURCE_REMOVE;
}

/// Schedules an update of this instance's loads to the others. Called after a
/// request was placed.
///
/// @param peers  sends the update, unless one is scheduled already
void
peers_schedule_load_update(struct peers *peers)
{
	if (peers->load_timer == 0)
		peers->load_timer = g_timeout_add(
		    PEERS_LOAD_UPDATE_DELAY_MS, on_load_timer, peers);
}
