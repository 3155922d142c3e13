/* Tells other instances what this one knows on a topic, of services and turns.
 */
#include <glib.h>

#include "godwitvale/core/hash.h"
#include "godwitvale/fleet/departure_sync.h"
#include "godwitvale/fleet/evidence_sync.h"
#include "godwitvale/fleet/fleet_codec.h"
#include "godwitvale/fleet/limit_sync.h"
#include "godwitvale/fleet/outcome_sync.h"
#include "godwitvale/fleet/pace_sync.h"
#include "godwitvale/fleet/peers_state.h"
#include "godwitvale/fleet/share_sync.h"
#include "godwitvale/fleet/suspect_sync.h"

/// Copies of each message on a turn. An instance that misses them all sends a
/// request too many.
#define PEERS_TURN_COPIES 3
/// Size of the buffer for a message on a turn, in bytes.
#define PEERS_TURN_BYTES 64
/// Size of the buffer for a message on services, in bytes.
#define PEERS_SERVICES_BYTES 1024

/// Sends a datagram to some random live members whose build has a feature.
static void
send_datagram_to_some(
    struct peers *peers, uint64_t feature, const char *bytes, size_t len)
{
	GPtrArray *members = peers_list_members(peers, feature);

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

/// Encodes the outcomes of requests to plain services. While this instance is
/// cut off from a service, failures don't tell anything of upstreams.
///
/// @return number of bytes; 0 if there is nothing to tell
static size_t
encode_outcomes(struct peers *peers, usec_t now, char *bytes, size_t size)
{
	const struct peers_options *options = &peers->options;
	uint64_t service;

	if (options->vtable->list_cut_off(options->owner, &service, 1) > 0)
		return 0;
	return outcome_sync_encode(options->outcomes, now,
	    hash_name(peers->name), peers->incarnation, bytes, size);
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
	case PEERS_PACES:
		return pace_sync_encode(options->pace, now, bytes, size);
	case PEERS_EARLY_CRASHES:
		return evidence_sync_encode_early(
		    options->quarantine, now, bytes, size);
	case PEERS_OUTCOMES:
		return encode_outcomes(peers, now, bytes, size);
	case PEERS_SHARES:
		return share_sync_encode(options->shares, now,
		    hash_name(peers->name), peers->incarnation, bytes, size);
	default:
		return suspect_sync_encode(options->suspects, now, bytes, size);
	}
}

/// @return the feature of the builds that read a topic's messages; 0: all do
static uint64_t
topic_feature(enum peers_topic topic)
{
	switch (topic) {
	case PEERS_SUSPECTS:
		return MEMBER_FEATURE_SUSPECTS;
	case PEERS_PACES:
		return MEMBER_FEATURE_PACES;
	case PEERS_EARLY_CRASHES:
		return MEMBER_FEATURE_EARLY_CRASHES;
	case PEERS_OUTCOMES:
		return MEMBER_FEATURE_OUTCOMES;
	case PEERS_SHARES:
		return MEMBER_FEATURE_SHARES;
	default:
		return 0;
	}
}

/// Sends what this instance knows on all topics to some random live members.
/// Outcomes and shares are left out: they aren't passed on by others, so all
/// members need them; see peers_repeat_outcomes() and
/// organisation_shares_list().
///
/// @param peers  sends to its members
void
peers_gossip(struct peers *peers)
{
	char bytes[PEERS_BUFFER_BYTES];

	for (int topic = 0; topic < PEERS_N_TOPICS; topic++) {
		size_t len;

		if (topic == PEERS_OUTCOMES || topic == PEERS_SHARES)
			continue;
		len = encode_topic(
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
	if (topic == PEERS_SHARES)
		peers_send_to_builds(peers, feature, bytes, len);
	else if (feature == 0)
		peers_send_to_all(peers, HUB_TWO_COPIES, bytes, len);
	else
		peers_send_to_featured(peers, feature, bytes, len);
}

/// Tells all instances again of the outcomes of this one's requests, while they
/// may have missed them. Called with each heartbeat.
///
/// @param peers  sends to all members whose build exchanges outcomes
void
peers_repeat_outcomes(struct peers *peers)
{
	struct fleet_outcomes *outcomes = peers->options.outcomes;

	if (outcomes != NULL && fleet_outcomes_take_repeat(outcomes))
		peers_broadcast(peers, PEERS_OUTCOMES);
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
		peers_send_to_featured(
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
	GPtrArray *members = peers_list_members(peers, MEMBER_FEATURE_TURNS);

	for (guint i = 0; len > 0 && i < members->len; i++) {
		const struct member *member = members->pdata[i];

		for (int copy = 0; copy < PEERS_TURN_COPIES; copy++)
			peers_send_datagram(
			    peers, peers_parse_ipv4(member->ip), bytes, len);
	}
	g_ptr_array_unref(members);
}
