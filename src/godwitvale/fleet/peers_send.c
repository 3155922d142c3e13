/* Sends the datagrams to other instances, directly and through hubs. */
#include <arpa/inet.h>
#include <glib.h>
#include <sys/socket.h>

#include "godwitvale/core/hash.h"
#include "godwitvale/fleet/fleet_codec.h"
#include "godwitvale/fleet/peers_state.h"

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

/// Sends one datagram to some addresses.
///
/// @param peers      has the socket
/// @param addresses  uint32_t in host byte order; freed
/// @param bytes      the datagram
/// @param len        its length in bytes
void
peers_send_to_addresses(
    struct peers *peers, GArray *addresses, const char *bytes, size_t len)
{
	for (guint i = 0; i < addresses->len; i++)
		peers_send_datagram(
		    peers, g_array_index(addresses, uint32_t, i), bytes, len);
	g_array_unref(addresses);
}

/// Sends one datagram to every known address.
///
/// @param peers  has the socket and the addresses
/// @param bytes  the datagram
/// @param len    its length in bytes
void
peers_send_to_known(struct peers *peers, const char *bytes, size_t len)
{
	peers_send_to_addresses(
	    peers, address_book_list(peers->addresses), bytes, len);
}

/// Lists the live members whose build has a feature.
///
/// @param peers    peers to query
/// @param feature  MEMBER_FEATURE_...; 0: all members
/// @return struct member *; free with g_ptr_array_unref()
GPtrArray *
peers_list_members(const struct peers *peers, uint64_t feature)
{
	GPtrArray *members = membership_list(peers->membership);

	for (guint i = members->len; i > 0; i--) {
		const struct member *member = members->pdata[i - 1];

		if ((member->features & feature) != feature)
			g_ptr_array_remove_index_fast(members, i - 1);
	}
	return members;
}

/// Sends a datagram to the live members that know no hubs.
///
/// @param peers    has the socket
/// @param feature  only to those whose build has it; 0: to all of them
/// @param bytes    the datagram
/// @param len      its length in bytes
void
peers_send_to_hubless(
    struct peers *peers, uint64_t feature, const char *bytes, size_t len)
{
	GPtrArray *members = peers_list_members(peers, feature);

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
/// @param peers   sends the message
/// @param copies  number of hubs that pass it on
/// @param bytes   the message
/// @param len     its length in bytes
void
peers_send_to_all(
    struct peers *peers, enum hub_copies copies, const char *bytes, size_t len)
{
	if (!goes_through_hubs(peers, len)) {
		peers_send_to_known(peers, bytes, len);
		return;
	}
	hub_publish(peers->hub, g_get_monotonic_time(), copies, bytes, len);
	peers_send_to_hubless(peers, 0, bytes, len);
}

/// Sends a datagram directly to the live members whose build has a feature.
static void
send_directly(
    struct peers *peers, uint64_t feature, const char *bytes, size_t len)
{
	GPtrArray *members = peers_list_members(peers, feature);

	for (guint i = 0; i < members->len; i++) {
		const struct member *member = members->pdata[i];

		peers_send_datagram(
		    peers, peers_parse_ipv4(member->ip), bytes, len);
	}
	g_ptr_array_unref(members);
}

/// Sends a message to all live members whose build has a feature. Where it goes
/// through hubs, those without the feature may get it, too.
///
/// @param peers    sends the message
/// @param feature  MEMBER_FEATURE_...
/// @param bytes    the message
/// @param len      its length in bytes
void
peers_send_to_featured(
    struct peers *peers, uint64_t feature, const char *bytes, size_t len)
{
	if (!goes_through_hubs(peers, len)) {
		send_directly(peers, feature, bytes, len);
		return;
	}
	hub_publish(
	    peers->hub, g_get_monotonic_time(), HUB_TWO_COPIES, bytes, len);
	peers_send_to_hubless(peers, feature, bytes, len);
}

/// Checks whether all live members that use hubs have a feature.
static bool
do_subscribers_have(const struct peers *peers, uint64_t feature)
{
	GPtrArray *members = peers_list_members(peers, MEMBER_FEATURE_HUBS);
	bool found = true;

	for (guint i = 0; i < members->len && found; i++) {
		const struct member *member = members->pdata[i];

		found = (member->features & feature) == feature;
	}
	g_ptr_array_unref(members);
	return found;
}

/// Sends a message that is sent again soon to all live members whose build has
/// a feature, and to no others: through one hub if all that use hubs have it,
/// else directly.
///
/// @param peers    sends the message
/// @param feature  MEMBER_FEATURE_...
/// @param bytes    the message
/// @param len      its length in bytes
void
peers_send_to_builds(
    struct peers *peers, uint64_t feature, const char *bytes, size_t len)
{
	if (!goes_through_hubs(peers, len) ||
	    !do_subscribers_have(peers, feature)) {
		send_directly(peers, feature, bytes, len);
		return;
	}
	hub_publish(
	    peers->hub, g_get_monotonic_time(), HUB_ONE_COPY, bytes, len);
	peers_send_to_hubless(peers, feature, bytes, len);
}

/// Encodes a message with a trailer.
///
/// @param peers     describe themselves in the trailer
/// @param message   not changed
/// @param era       store era of the revisions in the message; 0: it has none
/// @param sequence  number of the message; 0: it isn't numbered
/// @param bytes     buffer that receives the message
/// @param size      size of the buffer, in bytes
/// @return length of the message; 0 when the buffer is too small
size_t
peers_encode(struct peers *peers, const fleet_message *message, uint64_t era,
    uint64_t sequence, char *bytes, size_t size)
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
