/* Sends the datagrams to other instances. */
#include <arpa/inet.h>
#include <glib.h>
#include <sys/socket.h>

#include "godwitvale/core/hash.h"
#include "godwitvale/fleet/departure_sync.h"
#include "godwitvale/fleet/evidence_sync.h"
#include "godwitvale/fleet/fleet_codec.h"
#include "godwitvale/fleet/limit_sync.h"
#include "godwitvale/fleet/peers_state.h"
#include "godwitvale/fleet/suspect_sync.h"

/// Interval of heartbeats for each instance of the fleet, in milliseconds.
/// Every instance sends its heartbeats to all others, so with a constant
/// interval their number would grow with the square of the fleet size.
#define PEERS_HEARTBEAT_PER_INSTANCE_MS 5
/// Maximum interval of heartbeats, in milliseconds.
#define PEERS_HEARTBEAT_MAX_MS 1000
/// At other times one in this many heartbeats lists the addresses.
#define PEERS_ADDRESS_LIST_PERIOD 5
/// Delay from the placement of a request until the changed loads are sent, in
/// milliseconds. It is short because other instances that place requests at the
/// same time must not choose the same upstream.
#define PEERS_LOAD_UPDATE_DELAY_MS 10
/// Maximum total size of the values in one datagram with changes, in bytes. It
/// keeps the datagram to about the size of one Ethernet packet.
#define PEERS_CHANGE_BYTES_MAX 1400
/// Number of instances that get what this instance knows of prompt segments and
/// upstreams with each heartbeat. Each of them passes it on, so that it
/// also reaches instances that were restarted or can't be reached from here.
#define PEERS_GOSSIP_FANOUT 3
/// Copies of each message on a turn. An instance that misses them all sends a
/// request too many.
#define PEERS_TURN_COPIES 3
/// Size of the buffer for a message on a turn, in bytes.
#define PEERS_TURN_BYTES 64
/// Size of the buffer for a message on services, in bytes.
#define PEERS_SERVICES_BYTES 1024

/// Sends one datagram. Errors are ignored, as later datagrams make up for a
/// lost one.
///
/// @param peers   has the socket
/// @param number  address of the instance, in host byte order
/// @param bytes   the datagram
/// @param len     its length in bytes
void
peers_send_datagram(
    struct peers *peers, uint32_t number, const char *bytes, size_t len)
{
	struct sockaddr_in address = {.sin_family = AF_INET};

	address.sin_addr.s_addr = htonl(number);
	address.sin_port = htons(peers->options.port);
	sendto(peers->fd, bytes, len, MSG_DONTWAIT | MSG_NOSIGNAL,
	    (struct sockaddr *)&address, sizeof(address));
}

/// Sends one datagram to every heartbeat target.
static void
send_datagram_to_all(struct peers *peers, const char *bytes, size_t len)
{
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, peers->targets);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		peers_send_datagram(peers, GPOINTER_TO_UINT(key), bytes, len);
}

/// Lists addresses of live members, for instances that know fewer members. The
/// list starts at a random member when there are more than fit.
///
/// @param addresses  filled in; room for FLEET_KNOWN addresses
/// @return number of addresses
static size_t
list_member_addresses(struct peers *peers, u_int *addresses)
{
	GPtrArray *members = membership_list(peers->membership);
	size_t n = 0;
	guint first = members->len > FLEET_KNOWN
	    ? (guint)g_random_int_range(0, (gint32)members->len)
	    : 0;

	for (guint i = 0; i < members->len && n < FLEET_KNOWN; i++) {
		const struct member *member =
		    members->pdata[(first + i) % members->len];

		addresses[n++] = peers_parse_ipv4(member->ip);
	}
	g_ptr_array_unref(members);
	return n;
}

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

/// Encodes a message with revisions of the store, and their era.
static size_t
encode_with_trailer(struct peers *peers, const fleet_message *message,
    uint64_t era, char *bytes, size_t size)
{
	const struct fleet_trailer trailer = {era,
	    view_config_version(peers->options.view), MEMBER_FEATURES,
	    hash_name(peers->zone)};
	size_t len = fleet_message_encode(message, bytes, size);

	return fleet_trailer_append(&trailer, bytes, len, size);
}

/// Sends a heartbeat and sets the time of the next one.
///
/// @param peers  sends to all its targets
void
peers_send_heartbeat(struct peers *peers)
{
	usec_t now = g_get_monotonic_time();
	const struct peers_options *options = &peers->options;
	struct load_entry loads[FLEET_LOADS];
	fleet_load wire[FLEET_LOADS];
	u_int addresses[FLEET_KNOWN];
	uint64_t unreachable[FLEET_GONE];
	uint64_t cut_off[1];
	struct peers_brittle brittle;
	char bytes[PEERS_BUFFER_BYTES];
	fleet_message message = {.kind = FLEET_BEAT};
	fleet_beat *heartbeat = &message.fleet_message_u.beat;
	size_t n_loads = loads_list_own(options->loads, loads, FLEET_LOADS);
	size_t len;

	encode_loads(loads, n_loads, wire);
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
	    .loads = {.loads_len = (u_int)n_loads, .loads_val = wire},
	    .known = {.known_val = addresses},
	};
	if (should_list_addresses(peers, now))
		heartbeat->known.known_len =
		    (u_int)list_member_addresses(peers, addresses);
	peers->n_heartbeats++;
	peers->next_heartbeat_at = now + heartbeat->interval_ms * USEC_PER_MSEC;
	heartbeat->gone.gone_len = (u_int)options->vtable->list_unreachable(
	    options->owner, unreachable, FLEET_GONE);
	heartbeat->gone.gone_val = unreachable;
	len = encode_with_trailer(
	    peers, &message, view_era(options->view), bytes, sizeof(bytes));
	if (len > 0)
		send_datagram_to_all(peers, bytes, len);
	if (options->vtable->list_cut_off(options->owner, cut_off, 1) > 0 ||
	    options->vtable->list_brittle(options->owner, &brittle, 1) > 0)
		peers_tell_services(peers);
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
	len = fleet_message_encode(&message, bytes, sizeof(bytes));
	if (len > 0)
		send_datagram_to_all(peers, bytes, len);
}

/// Lists the live members whose build has a feature; 0: all of them.
static GPtrArray *
list_members_with(const struct peers *peers, uint64_t feature)
{
	GPtrArray *members = membership_list(peers->membership);

	for (guint i = members->len; i > 0; i--) {
		const struct member *member = members->pdata[i - 1];

		if ((member->features & feature) != feature)
			g_ptr_array_remove_index_fast(members, i - 1);
	}
	return members;
}

/// Sends a datagram to all live members whose build has a feature.
static void
send_datagram_to_featured(
    struct peers *peers, uint64_t feature, const char *bytes, size_t len)
{
	GPtrArray *members = list_members_with(peers, feature);

	for (guint i = 0; i < members->len; i++) {
		const struct member *member = members->pdata[i];

		peers_send_datagram(
		    peers, peers_parse_ipv4(member->ip), bytes, len);
	}
	g_ptr_array_unref(members);
}

/// Sends a datagram to some random live members whose build has a feature.
static void
send_datagram_to_some(
    struct peers *peers, uint64_t feature, const char *bytes, size_t len)
{
	GPtrArray *members = list_members_with(peers, feature);

	for (int i = 0; i < PEERS_GOSSIP_FANOUT && members->len > 0; i++) {
		guint picked =
		    (guint)g_random_int_range(0, (gint32)members->len);
		const struct member *member = members->pdata[picked];

		peers_send_datagram(
		    peers, peers_parse_ipv4(member->ip), bytes, len);
		g_ptr_array_remove_index_fast(members, picked);
	}
	g_ptr_array_unref(members);
}

/// Encodes what this instance knows on a topic.
///
/// @return number of bytes; 0 if it knows nothing
static size_t
encode_topic(
    struct peers *peers, enum peers_topic topic, char *bytes, size_t size)
{
	const struct peers_options *options = &peers->options;
	usec_t now = g_get_monotonic_time();

	switch (topic) {
	case PEERS_EVIDENCE:
		return evidence_sync_encode(
		    options->quarantine, now, peers->name, bytes, size);
	case PEERS_LIMITS:
		return limit_sync_encode(
		    options->rate_limits, now, bytes, size);
	case PEERS_DEPARTURES:
		return departure_sync_encode(
		    options->notices, now, bytes, size);
	default:
		return suspect_sync_encode(options->suspects, now, bytes, size);
	}
}

/// @return the feature of the builds that read a topic's messages; 0: all do
static uint64_t
topic_feature(enum peers_topic topic)
{
	return topic == PEERS_SUSPECTS ? MEMBER_FEATURE_SUSPECTS : 0;
}

/// Sends what this instance knows on all topics to some random live members.
///
/// @param peers  sends to its members
void
peers_gossip(struct peers *peers)
{
	char bytes[PEERS_BUFFER_BYTES];

	for (int topic = 0; topic < PEERS_N_TOPICS; topic++) {
		size_t len = encode_topic(
		    peers, (enum peers_topic)topic, bytes, sizeof(bytes));

		if (len > 0)
			send_datagram_to_some(peers,
			    topic_feature((enum peers_topic)topic), bytes, len);
	}
}

/// Sends what this instance knows on a topic to all instances. Called when
/// there is news.
///
/// @param peers  sends to all its targets
/// @param topic  the topic with news
void
peers_broadcast(struct peers *peers, enum peers_topic topic)
{
	char bytes[PEERS_BUFFER_BYTES];
	size_t len = encode_topic(peers, topic, bytes, sizeof(bytes));
	uint64_t feature = topic_feature(topic);

	if (len == 0)
		return;
	if (feature == 0)
		send_datagram_to_all(peers, bytes, len);
	else
		send_datagram_to_featured(peers, feature, bytes, len);
}

/// Tells all instances what this one knows of services: of which it reaches no
/// upstream, and which are brittle.
///
/// @param peers  sends to all members whose build forwards requests
void
peers_tell_services(struct peers *peers)
{
	const struct peers_options *options = &peers->options;
	uint64_t cut_off[FLEET_SERVICES_MAX];
	struct peers_brittle brittle[FLEET_SERVICES_MAX];
	fleet_brittle wire[FLEET_SERVICES_MAX];
	char bytes[PEERS_SERVICES_BYTES];
	fleet_message message = {.kind = FLEET_SERVICES};
	fleet_services *services = &message.fleet_message_u.services;
	size_t n_brittle = options->vtable->list_brittle(
	    options->owner, brittle, FLEET_SERVICES_MAX);
	size_t len;

	for (size_t i = 0; i < n_brittle; i++)
		wire[i] = (fleet_brittle){brittle[i].service,
		    (u_int)(brittle[i].left / USEC_PER_MSEC)};
	*services = (fleet_services){
	    .name = peers->name,
	    .incarnation = peers->incarnation,
	    .cut_off = {.cut_off_val = cut_off},
	    .brittle = {(u_int)n_brittle, wire},
	};
	services->cut_off.cut_off_len = (u_int)options->vtable->list_cut_off(
	    options->owner, cut_off, FLEET_SERVICES_MAX);
	len = fleet_message_encode(&message, bytes, sizeof(bytes));
	if (len > 0)
		send_datagram_to_featured(
		    peers, MEMBER_FEATURE_FORWARDS, bytes, len);
}

/// Tells all instances at once of a request to an upstream with a low limit.
///
/// @param peers  sends to all members whose build takes turns
/// @param turn   the request
void
peers_tell_turn(struct peers *peers, const struct rate_limit_turn *turn)
{
	char bytes[PEERS_TURN_BYTES];
	size_t len = limit_sync_encode_turn(turn, hash_name(peers->name),
	    g_get_monotonic_time(), bytes, sizeof(bytes));
	GPtrArray *members = list_members_with(peers, MEMBER_FEATURE_TURNS);

	for (guint i = 0; len > 0 && i < members->len; i++) {
		const struct member *member = members->pdata[i];

		for (int copy = 0; copy < PEERS_TURN_COPIES; copy++)
			peers_send_datagram(
			    peers, peers_parse_ipv4(member->ip), bytes, len);
	}
	g_ptr_array_unref(members);
}

/// Sends one batch of changes.
static void
send_change_batch(
    struct peers *peers, GArray *batch, uint64_t after, uint64_t as_of)
{
	char bytes[PEERS_BUFFER_BYTES];
	fleet_message message = {.kind = FLEET_NEWS};
	fleet_news *changes = &message.fleet_message_u.news;
	size_t len;

	*changes = (fleet_news){
	    .name = peers->name,
	    .incarnation = peers->incarnation,
	    .after = store_revision_number(after),
	    .as_of = store_revision_number(as_of),
	    .items = {.items_len = batch->len,
		.items_val = (fleet_item *)(void *)batch->data},
	};
	len = encode_with_trailer(
	    peers, &message, store_revision_era(as_of), bytes, sizeof(bytes));
	if (len > 0)
		send_datagram_to_all(peers, bytes, len);
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

/// Sends the significant changes of the upstreams to all instances. Changes
/// that don't fit into one datagram are split into several, each of which
/// starts at the revision at which the one before ends.
///
/// @param peers  sends the changes to all its targets
/// @param items  struct site_item *, in the order of their revisions
/// @param after  store revision before the changes
/// @param as_of  store revision after the changes
void
peers_send_changes(
    struct peers *peers, GPtrArray *items, uint64_t after, uint64_t as_of)
{
	GArray *batch = g_array_new(false, false, sizeof(fleet_item));
	size_t bytes = 0;

	for (guint i = 0; i < items->len; i++) {
		const struct site_item *item = items->pdata[i];
		fleet_item wire;

		if (!view_is_significant_change(peers->options.view, item))
			continue;
		wire = fleet_item_from_store_item(item);
		if (batch->len > 0 &&
		    bytes + wire.value.value_len > PEERS_CHANGE_BYTES_MAX) {
			uint64_t last_revision =
			    store_revision_make(store_revision_era(as_of),
				g_array_index(batch, fleet_item, batch->len - 1)
				    .revision);

			send_change_batch(peers, batch, after, last_revision);
			after = last_revision;
			g_array_set_size(batch, 0);
			bytes = 0;
		}
		g_array_append_val(batch, wire);
		bytes += wire.value.value_len;
	}
	send_change_batch(peers, batch, after, as_of);
	g_array_unref(batch);
}
