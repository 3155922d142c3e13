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
/// One in this many heartbeats through hubs is a whole one, unless it says
/// something new.
#define PEERS_WHOLE_HEARTBEAT_PERIOD 10
/// Delay from the placement of a request until the changed loads are sent, in
/// milliseconds. It is short because other instances that place requests at the
/// same time must not choose the same upstream.
#define PEERS_LOAD_UPDATE_DELAY_MS 10
/// Maximum total size of the values in one datagram with changes, in bytes. It
/// keeps the datagram to about the size of one Ethernet packet.
#define PEERS_CHANGE_BYTES_MAX 1400
/// Maximum length of a datagram with the operator's changes, in bytes. Longer
/// ones, sent to many, would fill the socket's buffer on a slow link.
#define PEERS_OPERATOR_BYTES_MAX 1400
/// Number of instances that get what this instance knows of prompt segments and
/// upstreams with each heartbeat. Each of them passes it on, so that it
/// also reaches instances that were restarted or can't be reached from here.
#define PEERS_GOSSIP_FANOUT 3
/// Copies of each message on a turn. An instance that misses them all sends a
/// request too many.
#define PEERS_TURN_COPIES 3
/// Size of the buffer for a message on a turn, in bytes.
#define PEERS_TURN_BYTES 64
/// Size of the buffer for a heartbeat without loads and addresses, in bytes.
#define PEERS_STATE_BYTES 1024
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

/// Sends one datagram to some addresses, and frees their list.
static void
send_datagram_to(
    struct peers *peers, GArray *addresses, const char *bytes, size_t len)
{
	for (guint i = 0; i < addresses->len; i++)
		peers_send_datagram(
		    peers, g_array_index(addresses, uint32_t, i), bytes, len);
	g_array_unref(addresses);
}

/// Sends one datagram to every known address.
static void
send_datagram_to_all(struct peers *peers, const char *bytes, size_t len)
{
	send_datagram_to(
	    peers, address_book_list(peers->addresses), bytes, len);
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

/// Sends a datagram to the live members that know no hubs, and whose build has
/// a feature; 0: to all that know no hubs.
static void
send_datagram_to_hubless(
    struct peers *peers, uint64_t feature, const char *bytes, size_t len)
{
	GPtrArray *members = list_members_with(peers, feature);

	for (guint i = 0; i < members->len; i++) {
		const struct member *member = members->pdata[i];

		if ((member->features & MEMBER_FEATURE_HUBS) == 0)
			peers_send_datagram(
			    peers, peers_parse_ipv4(member->ip), bytes, len);
	}
	g_ptr_array_unref(members);
}

/// Checks whether a message of a length goes through hubs.
static bool
goes_through_hubs(const struct peers *peers, size_t len)
{
	return hub_is_active(peers->hub) && len <= HUB_MESSAGE_BYTES_MAX;
}

/// Sends a message to all instances: through hubs in a large fleet, directly in
/// a small one.
///
/// @param copies  number of hubs that pass it on
static void
send_to_all(
    struct peers *peers, enum hub_copies copies, const char *bytes, size_t len)
{
	if (!goes_through_hubs(peers, len)) {
		send_datagram_to_all(peers, bytes, len);
		return;
	}
	hub_publish(peers->hub, g_get_monotonic_time(), copies, bytes, len);
	send_datagram_to_hubless(peers, 0, bytes, len);
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

/// Encodes a message with a trailer.
///
/// @param era       store era of the revisions in the message; 0: it has none
/// @param sequence  number of the message; 0: it isn't numbered
static size_t
encode_with_trailer(struct peers *peers, const fleet_message *message,
    uint64_t era, uint64_t sequence, char *bytes, size_t size)
{
	const struct fleet_trailer trailer = {
	    .era = era,
	    .config_version = view_config_version(peers->options.view),
	    .features =
		MEMBER_FEATURES | (hub_is_hub(peers->hub) ? MEMBER_IS_HUB : 0),
	    .zone = hash_name(peers->zone),
	    .sequence = sequence,
	    .link_mbps = peers->options.link_mbps,
	};
	size_t len = fleet_message_encode(message, bytes, size);

	return fleet_trailer_append(&trailer, bytes, len, size);
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
	len = encode_with_trailer(
	    peers, &message, 0, ++peers->sequence, bytes, sizeof(bytes));
	if (len > 0)
		send_to_all(peers, HUB_ONE_COPY, bytes, len);
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
	len = encode_with_trailer(peers, &message,
	    view_era(peers->options.view), 0, bytes, sizeof(bytes));
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
	return encode_with_trailer(peers, &message,
	    view_era(peers->options.view), ++peers->sequence, bytes, size);
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
		send_datagram_to_all(peers, bytes, len);
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

	send_datagram_to(peers,
	    address_book_list_probes(peers->addresses, &probes), bytes, len);
}

/// Tells all instances through hubs only that this one runs.
static void
publish_alive(struct peers *peers, usec_t now)
{
	char bytes[PEERS_TURN_BYTES];
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
		send_to_all(peers, HUB_ONE_COPY, bytes, len);
		peers->told_state = state;
	} else {
		publish_alive(peers, now);
		send_datagram_to_hubless(peers, 0, bytes, len);
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
	send_datagram_to(peers, addresses, bytes, len);
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

/// Sends a datagram to all live members whose build has a feature.
static void
send_datagram_to_featured(
    struct peers *peers, uint64_t feature, const char *bytes, size_t len)
{
	GPtrArray *members;

	if (goes_through_hubs(peers, len)) {
		hub_publish(peers->hub, g_get_monotonic_time(), HUB_TWO_COPIES,
		    bytes, len);
		send_datagram_to_hubless(peers, feature, bytes, len);
		return;
	}
	members = list_members_with(peers, feature);
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
		send_to_all(peers, HUB_TWO_COPIES, bytes, len);
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
	len = encode_with_trailer(peers, &message, store_revision_era(as_of), 0,
	    bytes, sizeof(bytes));
	if (len > 0)
		send_to_all(peers, HUB_TWO_COPIES, bytes, len);
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

/// Converts the operator's items to their wire format.
///
/// @return fleet_item, whose contents belong to the items; free with
///         g_array_unref()
static GArray *
encode_operator_items(const GPtrArray *items)
{
	GArray *wire = g_array_new(false, false, sizeof(fleet_item));

	for (guint i = 0; i < items->len; i++) {
		const struct site_item *item = items->pdata[i];
		fleet_item encoded;

		if (item->kind == SITE_ITEM_OTHER)
			continue;
		encoded = fleet_item_from_store_item(item);
		g_array_append_val(wire, encoded);
	}
	return wire;
}

/// Sends the operator's changes to all instances whose build takes them. An
/// empty list confirms that there are none. Changes that are too long are
/// only announced, and each instance reads them.
///
/// @param peers  sends the changes to its members
/// @param items  struct site_item *, in the order of their revisions
/// @param after  store revision before the changes
/// @param as_of  store revision after the changes
void
peers_send_operator_changes(
    struct peers *peers, GPtrArray *items, uint64_t after, uint64_t as_of)
{
	GArray *wire = encode_operator_items(items);
	uint64_t era = store_revision_era(as_of);
	char bytes[PEERS_OPERATOR_BYTES_MAX];
	fleet_message message = {.kind = FLEET_OPERATOR};
	fleet_operator *news = &message.fleet_message_u.operator_news;
	size_t len;

	*news = (fleet_operator){
	    .changes = {.name = peers->name,
		.incarnation = peers->incarnation,
		.after = store_revision_number(after),
		.as_of = store_revision_number(as_of),
		.items = {wire->len, (fleet_item *)(void *)wire->data}},
	    .complete = true,
	};
	len =
	    encode_with_trailer(peers, &message, era, 0, bytes, sizeof(bytes));
	if (len == 0) {
		news->changes.items.items_len = 0;
		news->complete = false;
		len = encode_with_trailer(
		    peers, &message, era, 0, bytes, sizeof(bytes));
	}
	send_datagram_to_featured(peers, MEMBER_FEATURE_OPERATOR, bytes, len);
	g_array_unref(wire);
}
